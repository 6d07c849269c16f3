package maintenanceplanner

import (
	"math"
	"slices"

	"github.com/crillab/gophersat/solver"
)

// maxSolverStarts bounds what is given to the solver: begins that are open, over all nodes.
const maxSolverStarts = 1200

// Plan makes a timetable: by Greedy first; then, where the request is small enough, as short as it can be, by a solver for
// pseudo-Boolean constraints. Where there is none it tells why.
func Plan(r *Request) (Schedule, *InfeasibleError) {
	tt, proof := Greedy(r)
	first, last := r.bounds()
	if proof == nil {
		last = tt.Assignments[len(tt.Assignments)-1].End
		for _, x := range tt.Assignments {
			last = max(last, x.End)
		}
	}
	if len(r.Windows) == 0 || r.openStarts(last) > maxSolverStarts || r.FaultTolerance.Zones > 1 {
		return tt, proof
	}
	if proof != nil && !proof.Proven {
		if s, ok := r.solve(last); ok {
			tt, proof = s, nil
			last = first + s.Makespan
		} else {
			proof.Proven = true
			return tt, proof
		}
	}
	if proof != nil {
		return tt, proof
	}
	low := first + r.minMakespan()
	for high := last; low < high; { // the least end for which there is one
		mid := (low + high) / 2
		if s, ok := r.solve(mid); ok {
			tt, high = s, mid
		} else {
			low = mid + 1
		}
	}
	tt.Optimal = true
	return tt, nil
}

// bounds is the first begin and the last end that wishes allow.
func (r *Request) bounds() (first, last int) {
	first = r.SlotCount
	for _, w := range r.Windows {
		first, last = min(first, w.Earliest), max(last, w.Latest)
	}
	return
}

// minMakespan is how long a timetable takes at the least.
func (r *Request) minMakespan() (most int) {
	for _, w := range r.Windows {
		n := w.DurationSlots
		if w.MaxConcurrent > 0 {
			n *= (len(w.Nodes) + w.MaxConcurrent - 1) / w.MaxConcurrent
		}
		most = max(most, n)
	}
	return most
}

// openStarts counts the begins that are open where all must end by a slot.
func (r *Request) openStarts(end int) (n int) {
	for _, w := range r.Windows {
		n += len(w.Nodes) * max(min(w.Latest, end)-w.DurationSlots-w.Earliest+1, 0)
	}
	return n
}

// solve looks for a timetable that ends by a slot. Each node's begin is one of its open ones; for each slot, need and loss
// that must be borne, the nodes that are out may carry no more than what can be given up.
func (r *Request) solve(end int) (Schedule, bool) {
	t := newCapacityTable(r)
	type begin struct {
		j    placement
		from int
	}
	var all []begin
	vars := map[begin]int{}
	var cs []solver.PBConstr
	byWish := map[string][]begin{}
	for i, w := range r.Windows {
		for _, j := range r.placements(i, t.nodeIndex) {
			var lits []int
			for from := w.Earliest; from+w.DurationSlots <= min(w.Latest, end); from++ {
				b := begin{j, from}
				all = append(all, b)
				vars[b] = len(all)
				lits = append(lits, len(all))
				byWish[w.Name] = append(byWish[w.Name], b)
			}
			if len(lits) == 0 {
				return Schedule{}, false
			}
			cs = append(cs, solver.Eq(lits, slices.Repeat([]int{1}, len(lits)), 1)...)
		}
	}
	const scale = 1000
	most := func(room float64, at int, counts func(j placement) float64) {
		var lits, weights []int
		for _, b := range all {
			if b.from <= at && at < b.from+b.j.duration {
				if c := int(math.Ceil(counts(b.j) * scale)); c > 0 {
					lits, weights = append(lits, vars[b]), append(weights, c)
				}
			}
		}
		n, sum := max(int(math.Floor(room*scale+1e-6)), 0), 0 // 0: nobody may be out
		for _, w := range weights {
			sum += w
		}
		if sum > n {
			cs = append(cs, solver.LtEq(lits, weights, n))
		}
	}
	first, last := r.bounds()
	for s := first; s < min(last, end); s++ {
		for i, n := range r.Demands {
			carries := func(j placement) float64 {
				if r.Nodes[j.node].Region != n.Region {
					return 0
				}
				return r.Nodes[j.node].Capacity[n.Group]
			}
			total := t.capacity[i][s]
			most(total-t.machineLoss[i]-n.at(s), s, carries)
			if r.FaultTolerance.Zones == 1 {
				for z := range t.zones {
					if in := t.zoneCapacity[i][z][s]; in > 0 && t.zoneCount[i] > 1 {
						most(total-in-n.at(s), s, func(j placement) float64 {
							if t.zoneOfNode[j.node] == z {
								return 0
							}
							return carries(j)
						})
					}
				}
			}
		}
		for i, w := range r.Windows {
			if w.MaxConcurrent > 0 {
				most(float64(w.MaxConcurrent), s, func(j placement) float64 {
					if j.window == i {
						return 1
					}
					return 0
				})
			}
			for _, b := range byWish[w.Name] {
				if b.from > s || s >= b.from+b.j.duration {
					continue
				}
				for _, o := range w.Conflicts {
					for _, c := range byWish[o] {
						if c.from <= s && s < c.from+c.j.duration {
							cs = append(cs, solver.PropClause(-vars[b], -vars[c]))
						}
					}
				}
			}
		}
	}
	for _, w := range r.Windows {
		for _, o := range w.After {
			for _, b := range byWish[w.Name] {
				for _, c := range byWish[o] {
					if c.from+c.j.duration > b.from {
						cs = append(cs, solver.PropClause(-vars[b], -vars[c]))
					}
				}
			}
		}
	}
	s := solver.New(solver.ParsePBConstrs(cs))
	if s.Solve() != solver.Sat {
		return Schedule{}, false
	}
	model := s.Model()
	var tt Schedule
	for i, b := range all {
		if model[i] {
			tt.Assignments = append(tt.Assignments, Assignment{r.Windows[b.j.window].Name, r.Nodes[b.j.node].Name, b.from, b.from + b.j.duration})
		}
	}
	return tt.finish(r), true
}

// ExhaustiveMakespan tries every timetable of a small request and returns the length of the shortest, or -1: what Plan is measured by.
func ExhaustiveMakespan(r *Request) int {
	t := newCapacityTable(r)
	var jobs []placement
	for i := range r.Windows {
		jobs = append(jobs, r.placements(i, t.nodeIndex)...)
	}
	best := -1
	var turns []Assignment
	var place func(n int)
	place = func(n int) {
		if n == len(jobs) {
			if tt := (Schedule{Assignments: slices.Clone(turns)}).finish(r); (best < 0 || tt.Makespan < best) && r.Verify(tt) == nil {
				best = tt.Makespan
			}
			return
		}
		w := r.Windows[jobs[n].window]
		for from := w.Earliest; from+w.DurationSlots <= w.Latest; from++ {
			turns = append(turns, Assignment{w.Name, r.Nodes[jobs[n].node].Name, from, from + w.DurationSlots})
			place(n + 1)
			turns = turns[:len(turns)-1]
		}
	}
	place(0)
	return best
}
