package maintenanceplanner

import (
	"math"
	"slices"

	"github.com/crillab/gophersat/solver"
)

// solveMost bounds what is given to the solver: begins that are open, over all nodes.
const solveMost = 1200

// Plan makes a timetable: by Greedy first; then, where the request is small enough, as short as it can be, by a solver for
// pseudo-Boolean constraints. Where there is none it tells why.
func Plan(r *Request) (Timetable, *Proof) {
	tt, proof := Greedy(r)
	first, last := r.span()
	if proof == nil {
		last = tt.Turns[len(tt.Turns)-1].To
		for _, x := range tt.Turns {
			last = max(last, x.To)
		}
	}
	if len(r.Wishes) == 0 || r.open(last) > solveMost || r.Losses.Zones > 1 {
		return tt, proof
	}
	if proof != nil && !proof.Sure {
		if s, ok := r.solve(last); ok {
			tt, proof = s, nil
			last = first + s.Length
		} else {
			proof.Sure = true
			return tt, proof
		}
	}
	if proof != nil {
		return tt, proof
	}
	low := first + r.least()
	for high := last; low < high; { // the least end for which there is one
		mid := (low + high) / 2
		if s, ok := r.solve(mid); ok {
			tt, high = s, mid
		} else {
			low = mid + 1
		}
	}
	tt.Best = true
	return tt, nil
}

// span is the first begin and the last end that wishes allow.
func (r *Request) span() (first, last int) {
	first = r.Slots
	for _, w := range r.Wishes {
		first, last = min(first, w.Earliest), max(last, w.Latest)
	}
	return
}

// least is how long a timetable takes at the least.
func (r *Request) least() (most int) {
	for _, w := range r.Wishes {
		n := w.Takes
		if w.Together > 0 {
			n *= (len(w.Nodes) + w.Together - 1) / w.Together
		}
		most = max(most, n)
	}
	return most
}

// open counts the begins that are open where all must end by a slot.
func (r *Request) open(end int) (n int) {
	for _, w := range r.Wishes {
		n += len(w.Nodes) * max(min(w.Latest, end)-w.Takes-w.Earliest+1, 0)
	}
	return n
}

// solve looks for a timetable that ends by a slot. Each node's begin is one of its open ones; for each slot, need and loss
// that must be borne, the nodes that are out may carry no more than what can be given up.
func (r *Request) solve(end int) (Timetable, bool) {
	t := newTable(r)
	type begin struct {
		j    job
		from int
	}
	var all []begin
	vars := map[begin]int{}
	var cs []solver.PBConstr
	byWish := map[string][]begin{}
	for i, w := range r.Wishes {
		for _, j := range r.jobs(i, t.byNam) {
			var lits []int
			for from := w.Earliest; from+w.Takes <= min(w.Latest, end); from++ {
				b := begin{j, from}
				all = append(all, b)
				vars[b] = len(all)
				lits = append(lits, len(all))
				byWish[w.Name] = append(byWish[w.Name], b)
			}
			if len(lits) == 0 {
				return Timetable{}, false
			}
			cs = append(cs, solver.Eq(lits, slices.Repeat([]int{1}, len(lits)), 1)...)
		}
	}
	const scale = 1000
	most := func(room float64, at int, counts func(j job) float64) {
		var lits, weights []int
		for _, b := range all {
			if b.from <= at && at < b.from+b.j.takes {
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
	first, last := r.span()
	for s := first; s < min(last, end); s++ {
		for i, n := range r.Need {
			carries := func(j job) float64 {
				if r.Nodes[j.node].Region != n.Region {
					return 0
				}
				return r.Nodes[j.node].Carries[n.Group]
			}
			total := t.total[i][s]
			most(total-t.top[i]-n.at(s), s, carries)
			if r.Losses.Zones == 1 {
				for z := range t.zones {
					if in := t.in[i][z][s]; in > 0 && t.several[i] > 1 {
						most(total-in-n.at(s), s, func(j job) float64 {
							if t.zone[j.node] == z {
								return 0
							}
							return carries(j)
						})
					}
				}
			}
		}
		for i, w := range r.Wishes {
			if w.Together > 0 {
				most(float64(w.Together), s, func(j job) float64 {
					if j.wish == i {
						return 1
					}
					return 0
				})
			}
			for _, b := range byWish[w.Name] {
				if b.from > s || s >= b.from+b.j.takes {
					continue
				}
				for _, o := range w.Apart {
					for _, c := range byWish[o] {
						if c.from <= s && s < c.from+c.j.takes {
							cs = append(cs, solver.PropClause(-vars[b], -vars[c]))
						}
					}
				}
			}
		}
	}
	for _, w := range r.Wishes {
		for _, o := range w.After {
			for _, b := range byWish[w.Name] {
				for _, c := range byWish[o] {
					if c.from+c.j.takes > b.from {
						cs = append(cs, solver.PropClause(-vars[b], -vars[c]))
					}
				}
			}
		}
	}
	s := solver.New(solver.ParsePBConstrs(cs))
	if s.Solve() != solver.Sat {
		return Timetable{}, false
	}
	model := s.Model()
	var tt Timetable
	for i, b := range all {
		if model[i] {
			tt.Turns = append(tt.Turns, Turn{r.Wishes[b.j.wish].Name, r.Nodes[b.j.node].Name, b.from, b.from + b.j.takes})
		}
	}
	return tt.done(r), true
}

// All tries every timetable of a small request and returns the length of the shortest, or -1: what Plan is measured by.
func All(r *Request) int {
	t := newTable(r)
	var jobs []job
	for i := range r.Wishes {
		jobs = append(jobs, r.jobs(i, t.byNam)...)
	}
	best := -1
	var turns []Turn
	var place func(n int)
	place = func(n int) {
		if n == len(jobs) {
			if tt := (Timetable{Turns: slices.Clone(turns)}).done(r); (best < 0 || tt.Length < best) && r.Holds(tt) == nil {
				best = tt.Length
			}
			return
		}
		w := r.Wishes[jobs[n].wish]
		for from := w.Earliest; from+w.Takes <= w.Latest; from++ {
			turns = append(turns, Turn{w.Name, r.Nodes[jobs[n].node].Name, from, from + w.Takes})
			place(n + 1)
			turns = turns[:len(turns)-1]
		}
	}
	place(0)
	return best
}
