// Package maintenanceplanner plans maintenance windows: when each node is to be out so that what was agreed is carried in every
// slot, also after the worst loss that must be borne, in as short a time as can be. It is free of I/O and of clocks; time
// is in slots.
//
// Machines that may be lost are counted as the strongest of their region, whether or not one of them is out at the time.
// So a timetable never hopes for more than the grant will look at (controlplane/maintenance).
package maintenanceplanner

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"zincloft.example/zincloft/dataplane/capacity"
)

// WindowRequest asks for windows of some nodes.
type WindowRequest struct {
	Name          string   `json:"window"`
	Nodes         []string `json:"nodes"`
	Earliest      int      `json:"earliest"` // slot in which the first may begin
	Latest        int      `json:"latest"`   // slot by whose begin the last must be back
	DurationSlots int      `json:"takes"`    // slots
	MaxConcurrent int      `json:"together"` // nodes at once; 0: as many as can be
	After         []string `json:"after"`    // wishes that must be over before
	Conflicts     []string `json:"apart"`    // wishes that may not overlap with it
}

// Request is what a timetable is made for.
type Request struct {
	Nodes          []capacity.Node
	FaultTolerance capacity.FaultTolerance
	Demands        []Demand
	Windows        []WindowRequest
	SlotCount      int
}

// Demand is what must be carried of a group in a region: the agreed floor, or the forecast where that is more.
type Demand struct {
	Region, Group string
	Floor         float64
	Forecast      []float64 // by slot, as far as it goes; requests a second
}

func (n Demand) at(slot int) float64 {
	if slot < len(n.Forecast) {
		return max(n.Floor, n.Forecast[slot])
	}
	return n.Floor
}

// Assignment is one node's window.
type Assignment struct {
	Window string `json:"window"`
	Node   string `json:"node"`
	Start  int    `json:"from"` // slot
	End    int    `json:"to"`   // the first slot after it
}

// Schedule is a plan.
type Schedule struct {
	Assignments []Assignment
	Makespan    int  // from the earliest begin that is wished to the last end, in slots
	Optimal     bool // no shorter one exists
}

// InfeasibleError tells why there is no timetable.
type InfeasibleError struct {
	Window, Node string
	Reason       string // which floor, when, by how much
	Suggestion   string // what would do
	Proven       bool   // no timetable exists; else none was found
}

func (p *InfeasibleError) Error() string {
	s := fmt.Sprintf("%s of %s cannot be placed: %s", p.Window, p.Node, p.Reason)
	if !p.Proven {
		s += " (none was found; not all ways were tried)"
	}
	if p.Suggestion != "" {
		s += "; " + p.Suggestion
	}
	return s
}

// placement is one node of a wish.
type placement struct {
	window   int
	node     int
	duration int
}

// capacityTable holds, by slot and need, what is left.
type capacityTable struct {
	request    *Request
	nodeIndex  map[string]int
	zones      []string
	zoneOfNode []int // of nodes
	// total[need][slot], in[need][zone][slot]; top[need] is what lost machines take.
	capacity     [][]float64
	zoneCapacity [][][]float64
	machineLoss  []float64
	zoneCount    []int   // zones of a need's region
	concurrent   [][]int // nodes of a wish that are out, by slot
}

func newCapacityTable(r *Request) *capacityTable {
	t := &capacityTable{request: r, nodeIndex: map[string]int{}}
	zones := map[string]int{}
	for i, n := range r.Nodes {
		t.nodeIndex[n.Name] = i
		if _, ok := zones[n.Zone]; !ok {
			zones[n.Zone] = len(t.zones)
			t.zones = append(t.zones, n.Zone)
		}
		t.zoneOfNode = append(t.zoneOfNode, zones[n.Zone])
	}
	for _, need := range r.Demands {
		total, in, each, zones := 0.0, make([]float64, len(t.zones)), []float64{}, map[string]bool{}
		for i, n := range r.Nodes {
			if n.Region == need.Region {
				c := n.Capacity[need.Group]
				total, each = total+c, append(each, c)
				in[t.zoneOfNode[i]] += c
				zones[n.Zone] = true
			}
		}
		t.zoneCount = append(t.zoneCount, len(zones))
		slices.SortFunc(each, func(a, b float64) int { return cmp.Compare(b, a) })
		top := 0.0
		for _, c := range each[:min(r.FaultTolerance.Machines, len(each))] {
			top += c
		}
		t.machineLoss = append(t.machineLoss, top)
		t.capacity = append(t.capacity, slices.Repeat([]float64{total}, r.SlotCount))
		var byZone [][]float64
		for _, c := range in {
			byZone = append(byZone, slices.Repeat([]float64{c}, r.SlotCount))
		}
		t.zoneCapacity = append(t.zoneCapacity, byZone)
	}
	for range r.Windows {
		t.concurrent = append(t.concurrent, make([]int, r.SlotCount))
	}
	return t
}

// remaining is what is carried of a need in a slot after the worst loss, with one more node out.
func (t *capacityTable) remaining(need, slot, node int) float64 {
	n := t.request.Demands[need]
	total, gone, zone := t.capacity[need][slot], 0.0, -1
	if node >= 0 && t.request.Nodes[node].Region == n.Region {
		gone, zone = t.request.Nodes[node].Capacity[n.Group], t.zoneOfNode[node]
	}
	return total - gone - max(t.machineLoss[need], t.worstZoneLoss(need, slot, zone, gone))
}

// worstZoneLoss is what the strongest zones carry that may be lost, where the region has several.
func (t *capacityTable) worstZoneLoss(need, slot, zone int, gone float64) float64 {
	if t.zoneCount[need] < 2 || t.request.FaultTolerance.Zones == 0 {
		return 0
	}
	var own [8]float64
	sums := own[:0]
	for z := range t.zones {
		c := t.zoneCapacity[need][z][slot]
		if z == zone {
			c -= gone
		}
		sums = append(sums, c)
	}
	if t.request.FaultTolerance.Zones == 1 {
		return slices.Max(sums)
	}
	slices.SortFunc(sums, func(a, b float64) int { return cmp.Compare(b, a) })
	lost := 0.0
	for _, c := range sums[:min(t.request.FaultTolerance.Zones, t.zoneCount[need]-1)] {
		lost += c
	}
	return lost
}

// shortfall tells the first need that a node's being out in a slot would not leave.
func (t *capacityTable) shortfall(slot, node int) (need int, by float64) {
	for i, n := range t.request.Demands {
		if n.Region != t.request.Nodes[node].Region {
			continue
		}
		if by := n.at(slot) - t.remaining(i, slot, node); by > 1e-9 {
			return i, by
		}
	}
	return -1, 0
}

func (t *capacityTable) place(j placement, from int, sign float64) {
	for s := from; s < from+j.duration; s++ {
		t.concurrent[j.window][s] += int(sign)
		for i, n := range t.request.Demands {
			if n.Region == t.request.Nodes[j.node].Region {
				c := sign * t.request.Nodes[j.node].Capacity[n.Group]
				t.capacity[i][s] -= c
				t.zoneCapacity[i][t.zoneOfNode[j.node]][s] -= c
			}
		}
	}
}

// fits tells whether a node may be out in a slot. It names a slot to go on from where it may not.
func (t *capacityTable) fits(j placement, slot int) bool {
	w := t.request.Windows[j.window]
	if w.MaxConcurrent > 0 && t.concurrent[j.window][slot] >= w.MaxConcurrent {
		return false
	}
	for i, o := range t.request.Windows {
		if i != j.window && t.concurrent[i][slot] > 0 && (slices.Contains(w.Conflicts, o.Name) || slices.Contains(o.Conflicts, w.Name)) {
			return false
		}
	}
	need, _ := t.shortfall(slot, j.node)
	return need < 0
}

// Validate names what is wrong with a request, or nil.
func (r *Request) Validate() error {
	named := map[string]bool{}
	for _, n := range r.Nodes {
		if named[n.Name] {
			return fmt.Errorf("nodes: %s stands twice", n.Name)
		}
		named[n.Name] = true
	}
	wishes, asked := map[string]bool{}, map[string]string{}
	for i, w := range r.Windows {
		at := fmt.Sprintf("windows.%d", i)
		switch {
		case w.Name == "":
			return fmt.Errorf("%s.window: is empty", at)
		case wishes[w.Name]:
			return fmt.Errorf("%s.window: %s stands twice", at, w.Name)
		case len(w.Nodes) == 0:
			return fmt.Errorf("%s.nodes: names nobody", at)
		case w.DurationSlots <= 0:
			return fmt.Errorf("%s.takes: is nothing", at)
		case w.Earliest < 0 || w.Latest > r.SlotCount || w.Earliest+w.DurationSlots > w.Latest:
			return fmt.Errorf("%s.latest: there is no time between earliest and latest for one window", at)
		}
		wishes[w.Name] = true
		for _, n := range w.Nodes {
			if !named[n] {
				return fmt.Errorf("%s.nodes: %s is not known", at, n)
			}
			if o, twice := asked[n]; twice {
				return fmt.Errorf("%s.nodes: %s is asked for by %s too", at, n, o)
			}
			asked[n] = w.Name
		}
	}
	for i, w := range r.Windows {
		for _, o := range slices.Concat(w.After, w.Conflicts) {
			if !wishes[o] || o == w.Name {
				return fmt.Errorf("windows.%d: after or apart: %s is no other window", i, o)
			}
		}
	}
	if _, ok := r.topologicalOrder(); !ok {
		return fmt.Errorf("windows: after: they wait for one another in a circle")
	}
	return nil
}

// topologicalOrder sorts the wishes so that each follows those that it comes after, the most pressing first.
func (r *Request) topologicalOrder() (order []int, ok bool) {
	done := map[string]bool{}
	slack := func(i int) int { w := r.Windows[i]; return w.Latest - w.Earliest - w.DurationSlots*len(w.Nodes) }
	for len(order) < len(r.Windows) {
		best := -1
		for i, w := range r.Windows {
			if done[w.Name] || slices.ContainsFunc(w.After, func(o string) bool { return !done[o] }) {
				continue
			}
			if best < 0 || cmp.Or(cmp.Compare(w.Latest, r.Windows[best].Latest), cmp.Compare(slack(i), slack(best))) < 0 {
				best = i
			}
		}
		if best < 0 {
			return nil, false
		}
		done[r.Windows[best].Name] = true
		order = append(order, best)
	}
	return order, true
}

func (r *Request) placements(wish int, byName map[string]int) (jobs []placement) {
	w := r.Windows[wish]
	for _, n := range w.Nodes {
		jobs = append(jobs, placement{wish, byName[n], w.DurationSlots})
	}
	slices.SortStableFunc(jobs, func(a, b placement) int { // the strongest first: what is left for them is least
		return cmp.Compare(totalCapacity(r.Nodes[b.node]), totalCapacity(r.Nodes[a.node]))
	})
	return jobs
}

func totalCapacity(n capacity.Node) (sum float64) {
	for _, c := range n.Capacity {
		sum += c
	}
	return sum
}

// Greedy places one window after the other at the earliest time at which it fits.
func Greedy(r *Request) (Schedule, *InfeasibleError) {
	t := newCapacityTable(r)
	order, _ := r.topologicalOrder()
	ends := map[string]int{}
	var tt Schedule
	for _, i := range order {
		w := r.Windows[i]
		first := w.Earliest
		for _, o := range w.After {
			first = max(first, ends[o])
		}
		for _, j := range r.placements(i, t.nodeIndex) {
			from, ok := t.earliestFit(j, first, w.Latest)
			if !ok {
				return tt, t.infeasible(j, first)
			}
			t.place(j, from, 1)
			tt.Assignments = append(tt.Assignments, Assignment{w.Name, r.Nodes[j.node].Name, from, from + j.duration})
			ends[w.Name] = max(ends[w.Name], from+j.duration)
		}
	}
	return tt.finish(r), nil
}

func (t *capacityTable) earliestFit(j placement, first, latest int) (int, bool) {
	run := 0
	for s := first; s < latest; s++ {
		if run++; !t.fits(j, s) {
			run = 0
		}
		if run == j.duration {
			return s - j.duration + 1, true
		}
	}
	return 0, false
}

func (t Schedule) finish(r *Request) Schedule {
	slices.SortStableFunc(t.Assignments, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), strings.Compare(a.Node, b.Node))
	})
	first, _ := r.bounds()
	t.Makespan = 0
	for _, x := range t.Assignments {
		t.Makespan = max(t.Makespan, x.End-first)
	}
	return t
}

// infeasible tells in words why a node's window finds no place.
func (t *capacityTable) infeasible(j placement, first int) *InfeasibleError {
	w := t.request.Windows[j.window]
	p := &InfeasibleError{Window: w.Name, Node: t.request.Nodes[j.node].Name}
	bare := newCapacityTable(t.request)
	if _, alone := bare.earliestFit(j, w.Earliest, w.Latest); !alone { // even with nobody else out
		p.Proven = true
		p.Reason = bare.closestMiss(j, w.Earliest, w.Latest)
	} else {
		p.Reason = "beside the others, " + t.closestMiss(j, first, w.Latest)
		p.Proven = t.capacityExceeded(j.window, p)
	}
	if from, ok := t.earliestFit(j, first, t.request.SlotCount); ok {
		p.Suggestion = fmt.Sprintf("it would fit if its latest were slot %d in place of %d", from+j.duration, w.Latest)
	} else {
		run, best := 0, 0
		for s := first; s < w.Latest; s++ {
			if run++; !t.fits(j, s) {
				run = 0
			}
			best = max(best, run)
		}
		if best > 0 {
			p.Suggestion = fmt.Sprintf("it would fit if it took %d slots in place of %d", best, w.DurationSlots)
		}
	}
	return p
}

// closestMiss tells of the begin at which least is missing.
func (t *capacityTable) closestMiss(j placement, first, latest int) string {
	best, at, which := math.Inf(1), -1, -1
	for from := first; from+j.duration <= latest; from++ {
		worst, slot, need := 0.0, from, -1
		for s := from; s < from+j.duration; s++ {
			if n, by := t.shortfall(s, j.node); n >= 0 && by > worst {
				worst, slot, need = by, s, n
			}
		}
		if worst < best && need >= 0 {
			best, at, which = worst, slot, need
		}
	}
	if which < 0 {
		return "the windows that it must be apart from, or its own nodes together, leave no time for it"
	}
	n := t.request.Demands[which]
	return fmt.Sprintf("%s of %s in slot %d: %.1f a second are needed, %.1f would be left", n.Group, n.Region, at, n.at(at), n.at(at)-best)
}

// capacityExceeded looks for a span in which the windows that must lie there take more than can be given up: then there is no
// timetable, whatever the order.
func (t *capacityTable) capacityExceeded(wish int, p *InfeasibleError) bool {
	w := t.request.Windows[wish]
	from, to := w.Earliest, w.Latest
	bare := newCapacityTable(t.request)
	for i, n := range t.request.Demands {
		free, asked := 0.0, 0.0
		for s := from; s < to; s++ {
			free += max(bare.remaining(i, s, -1)-n.at(s), 0)
		}
		for _, o := range t.request.Windows {
			if o.Earliest < from || o.Latest > to {
				continue
			}
			for _, name := range o.Nodes {
				if x := t.request.Nodes[t.nodeIndex[name]]; x.Region == n.Region {
					asked += x.Capacity[n.Group] * float64(o.DurationSlots)
				}
			}
		}
		// With a zone that may be lost, a node that is out in the strongest zone costs nothing at first; so what is free counts
		// only where no zone must be borne.
		if t.request.FaultTolerance.Zones == 0 && asked > free+1e-9 {
			p.Reason = fmt.Sprintf("between slots %d and %d, %s of %s can give up %.0f requests a second times slots, and the windows that must lie there take %.0f",
				from, to, n.Group, n.Region, free, asked)
			return true
		}
	}
	return false
}

// Verify checks a timetable against its request from scratch, by what the grants will look at, and names what does not hold.
func (r *Request) Verify(tt Schedule) error {
	at := map[string][]Assignment{}
	for _, x := range tt.Assignments {
		at[x.Window] = append(at[x.Window], x)
	}
	for _, w := range r.Windows {
		turns := at[w.Name]
		if len(turns) != len(w.Nodes) {
			return fmt.Errorf("%s: %d of %d nodes have a turn", w.Name, len(turns), len(w.Nodes))
		}
		for _, x := range turns {
			if x.Start < w.Earliest || x.End > w.Latest || x.End-x.Start != w.DurationSlots {
				return fmt.Errorf("%s of %s: from %d to %d", w.Name, x.Node, x.Start, x.End)
			}
			for _, o := range w.After {
				for _, y := range at[o] {
					if y.End > x.Start {
						return fmt.Errorf("%s of %s begins before %s is over", w.Name, x.Node, o)
					}
				}
			}
			for _, o := range w.Conflicts {
				for _, y := range at[o] {
					if y.Start < x.End && x.Start < y.End {
						return fmt.Errorf("%s of %s overlaps with %s", w.Name, x.Node, o)
					}
				}
			}
		}
	}
	for s := range r.SlotCount {
		out, together := map[string]bool{}, map[string]int{}
		for _, x := range tt.Assignments {
			if x.Start <= s && s < x.End {
				out[x.Node] = true
				together[x.Window]++
			}
		}
		for _, w := range r.Windows {
			if w.MaxConcurrent > 0 && together[w.Name] > w.MaxConcurrent {
				return fmt.Errorf("slot %d: %d nodes of %s are out together", s, together[w.Name], w.Name)
			}
		}
		for _, n := range r.Demands {
			if left := capacity.RemainingAfterLosses(r.Nodes, n.Region, n.Group, func(x string) bool { return out[x] }, r.FaultTolerance); left < n.at(s)-1e-6 && len(out) > 0 {
				return fmt.Errorf("slot %d: %s of %s: %.2f left, %.2f needed, out: %v", s, n.Group, n.Region, left, n.at(s), slices.Sorted(maps.Keys(out)))
			}
		}
	}
	return nil
}
