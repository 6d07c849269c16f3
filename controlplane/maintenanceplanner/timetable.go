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

// Wish asks for windows of some nodes.
type Wish struct {
	Name     string   `json:"window"`
	Nodes    []string `json:"nodes"`
	Earliest int      `json:"earliest"` // slot in which the first may begin
	Latest   int      `json:"latest"`   // slot by whose begin the last must be back
	Takes    int      `json:"takes"`    // slots
	Together int      `json:"together"` // nodes at once; 0: as many as can be
	After    []string `json:"after"`    // wishes that must be over before
	Apart    []string `json:"apart"`    // wishes that may not overlap with it
}

// Request is what a timetable is made for.
type Request struct {
	Nodes  []capacity.Node
	Losses capacity.Losses
	Need   []Need
	Wishes []Wish
	Slots  int
}

// Need is what must be carried of a group in a region: the agreed floor, or the forecast where that is more.
type Need struct {
	Region, Group string
	Agreed        float64
	At            []float64 // by slot, as far as it goes; requests a second
}

func (n Need) at(slot int) float64 {
	if slot < len(n.At) {
		return max(n.Agreed, n.At[slot])
	}
	return n.Agreed
}

// Turn is one node's window.
type Turn struct {
	Window string `json:"window"`
	Node   string `json:"node"`
	From   int    `json:"from"` // slot
	To     int    `json:"to"`   // the first slot after it
}

// Timetable is a plan.
type Timetable struct {
	Turns  []Turn
	Length int  // from the earliest begin that is wished to the last end, in slots
	Best   bool // no shorter one exists
}

// Proof tells why there is no timetable.
type Proof struct {
	Window, Node string
	Why          string // which floor, when, by how much
	Nearest      string // what would do
	Sure         bool   // no timetable exists; else none was found
}

func (p *Proof) Error() string {
	s := fmt.Sprintf("%s of %s cannot be placed: %s", p.Window, p.Node, p.Why)
	if !p.Sure {
		s += " (none was found; not all ways were tried)"
	}
	if p.Nearest != "" {
		s += "; " + p.Nearest
	}
	return s
}

// job is one node of a wish.
type job struct {
	wish  int
	node  int
	takes int
}

// table holds, by slot and need, what is left.
type table struct {
	r     *Request
	byNam map[string]int
	zones []string
	zone  []int // of nodes
	// total[need][slot], in[need][zone][slot]; top[need] is what lost machines take.
	total   [][]float64
	in      [][][]float64
	top     []float64
	several []int   // zones of a need's region
	busy    [][]int // nodes of a wish that are out, by slot
}

func newTable(r *Request) *table {
	t := &table{r: r, byNam: map[string]int{}}
	zones := map[string]int{}
	for i, n := range r.Nodes {
		t.byNam[n.Name] = i
		if _, ok := zones[n.Zone]; !ok {
			zones[n.Zone] = len(t.zones)
			t.zones = append(t.zones, n.Zone)
		}
		t.zone = append(t.zone, zones[n.Zone])
	}
	for _, need := range r.Need {
		total, in, each, zones := 0.0, make([]float64, len(t.zones)), []float64{}, map[string]bool{}
		for i, n := range r.Nodes {
			if n.Region == need.Region {
				c := n.Carries[need.Group]
				total, each = total+c, append(each, c)
				in[t.zone[i]] += c
				zones[n.Zone] = true
			}
		}
		t.several = append(t.several, len(zones))
		slices.SortFunc(each, func(a, b float64) int { return cmp.Compare(b, a) })
		top := 0.0
		for _, c := range each[:min(r.Losses.Machines, len(each))] {
			top += c
		}
		t.top = append(t.top, top)
		t.total = append(t.total, slices.Repeat([]float64{total}, r.Slots))
		var byZone [][]float64
		for _, c := range in {
			byZone = append(byZone, slices.Repeat([]float64{c}, r.Slots))
		}
		t.in = append(t.in, byZone)
	}
	for range r.Wishes {
		t.busy = append(t.busy, make([]int, r.Slots))
	}
	return t
}

// left is what is carried of a need in a slot after the worst loss, with one more node out.
func (t *table) left(need, slot, node int) float64 {
	n := t.r.Need[need]
	total, gone, zone := t.total[need][slot], 0.0, -1
	if node >= 0 && t.r.Nodes[node].Region == n.Region {
		gone, zone = t.r.Nodes[node].Carries[n.Group], t.zone[node]
	}
	return total - gone - max(t.top[need], t.worst(need, slot, zone, gone))
}

// worst is what the strongest zones carry that may be lost, where the region has several.
func (t *table) worst(need, slot, zone int, gone float64) float64 {
	if t.several[need] < 2 || t.r.Losses.Zones == 0 {
		return 0
	}
	var own [8]float64
	sums := own[:0]
	for z := range t.zones {
		c := t.in[need][z][slot]
		if z == zone {
			c -= gone
		}
		sums = append(sums, c)
	}
	if t.r.Losses.Zones == 1 {
		return slices.Max(sums)
	}
	slices.SortFunc(sums, func(a, b float64) int { return cmp.Compare(b, a) })
	lost := 0.0
	for _, c := range sums[:min(t.r.Losses.Zones, t.several[need]-1)] {
		lost += c
	}
	return lost
}

// short tells the first need that a node's being out in a slot would not leave.
func (t *table) short(slot, node int) (need int, by float64) {
	for i, n := range t.r.Need {
		if n.Region != t.r.Nodes[node].Region {
			continue
		}
		if by := n.at(slot) - t.left(i, slot, node); by > 1e-9 {
			return i, by
		}
	}
	return -1, 0
}

func (t *table) add(j job, from int, sign float64) {
	for s := from; s < from+j.takes; s++ {
		t.busy[j.wish][s] += int(sign)
		for i, n := range t.r.Need {
			if n.Region == t.r.Nodes[j.node].Region {
				c := sign * t.r.Nodes[j.node].Carries[n.Group]
				t.total[i][s] -= c
				t.in[i][t.zone[j.node]][s] -= c
			}
		}
	}
}

// fits tells whether a node may be out in a slot. It names a slot to go on from where it may not.
func (t *table) fits(j job, slot int) bool {
	w := t.r.Wishes[j.wish]
	if w.Together > 0 && t.busy[j.wish][slot] >= w.Together {
		return false
	}
	for i, o := range t.r.Wishes {
		if i != j.wish && t.busy[i][slot] > 0 && (slices.Contains(w.Apart, o.Name) || slices.Contains(o.Apart, w.Name)) {
			return false
		}
	}
	need, _ := t.short(slot, j.node)
	return need < 0
}

// Check names what is wrong with a request, or nil.
func (r *Request) Check() error {
	named := map[string]bool{}
	for _, n := range r.Nodes {
		if named[n.Name] {
			return fmt.Errorf("nodes: %s stands twice", n.Name)
		}
		named[n.Name] = true
	}
	wishes, asked := map[string]bool{}, map[string]string{}
	for i, w := range r.Wishes {
		at := fmt.Sprintf("windows.%d", i)
		switch {
		case w.Name == "":
			return fmt.Errorf("%s.window: is empty", at)
		case wishes[w.Name]:
			return fmt.Errorf("%s.window: %s stands twice", at, w.Name)
		case len(w.Nodes) == 0:
			return fmt.Errorf("%s.nodes: names nobody", at)
		case w.Takes <= 0:
			return fmt.Errorf("%s.takes: is nothing", at)
		case w.Earliest < 0 || w.Latest > r.Slots || w.Earliest+w.Takes > w.Latest:
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
	for i, w := range r.Wishes {
		for _, o := range slices.Concat(w.After, w.Apart) {
			if !wishes[o] || o == w.Name {
				return fmt.Errorf("windows.%d: after or apart: %s is no other window", i, o)
			}
		}
	}
	if _, ok := r.order(); !ok {
		return fmt.Errorf("windows: after: they wait for one another in a circle")
	}
	return nil
}

// order sorts the wishes so that each follows those that it comes after, the most pressing first.
func (r *Request) order() (order []int, ok bool) {
	done := map[string]bool{}
	slack := func(i int) int { w := r.Wishes[i]; return w.Latest - w.Earliest - w.Takes*len(w.Nodes) }
	for len(order) < len(r.Wishes) {
		best := -1
		for i, w := range r.Wishes {
			if done[w.Name] || slices.ContainsFunc(w.After, func(o string) bool { return !done[o] }) {
				continue
			}
			if best < 0 || cmp.Or(cmp.Compare(w.Latest, r.Wishes[best].Latest), cmp.Compare(slack(i), slack(best))) < 0 {
				best = i
			}
		}
		if best < 0 {
			return nil, false
		}
		done[r.Wishes[best].Name] = true
		order = append(order, best)
	}
	return order, true
}

func (r *Request) jobs(wish int, byName map[string]int) (jobs []job) {
	w := r.Wishes[wish]
	for _, n := range w.Nodes {
		jobs = append(jobs, job{wish, byName[n], w.Takes})
	}
	slices.SortStableFunc(jobs, func(a, b job) int { // the strongest first: what is left for them is least
		return cmp.Compare(weight(r.Nodes[b.node]), weight(r.Nodes[a.node]))
	})
	return jobs
}

func weight(n capacity.Node) (sum float64) {
	for _, c := range n.Carries {
		sum += c
	}
	return sum
}

// Greedy places one window after the other at the earliest time at which it fits.
func Greedy(r *Request) (Timetable, *Proof) {
	t := newTable(r)
	order, _ := r.order()
	ends := map[string]int{}
	var tt Timetable
	for _, i := range order {
		w := r.Wishes[i]
		first := w.Earliest
		for _, o := range w.After {
			first = max(first, ends[o])
		}
		for _, j := range r.jobs(i, t.byNam) {
			from, ok := t.earliest(j, first, w.Latest)
			if !ok {
				return tt, t.proof(j, first)
			}
			t.add(j, from, 1)
			tt.Turns = append(tt.Turns, Turn{w.Name, r.Nodes[j.node].Name, from, from + j.takes})
			ends[w.Name] = max(ends[w.Name], from+j.takes)
		}
	}
	return tt.done(r), nil
}

func (t *table) earliest(j job, first, latest int) (int, bool) {
	run := 0
	for s := first; s < latest; s++ {
		if run++; !t.fits(j, s) {
			run = 0
		}
		if run == j.takes {
			return s - j.takes + 1, true
		}
	}
	return 0, false
}

func (t Timetable) done(r *Request) Timetable {
	slices.SortStableFunc(t.Turns, func(a, b Turn) int { return cmp.Or(cmp.Compare(a.From, b.From), strings.Compare(a.Node, b.Node)) })
	first, _ := r.span()
	t.Length = 0
	for _, x := range t.Turns {
		t.Length = max(t.Length, x.To-first)
	}
	return t
}

// proof tells in words why a node's window finds no place.
func (t *table) proof(j job, first int) *Proof {
	w := t.r.Wishes[j.wish]
	p := &Proof{Window: w.Name, Node: t.r.Nodes[j.node].Name}
	bare := newTable(t.r)
	if _, alone := bare.earliest(j, w.Earliest, w.Latest); !alone { // even with nobody else out
		p.Sure = true
		p.Why = bare.least(j, w.Earliest, w.Latest)
	} else {
		p.Why = "beside the others, " + t.least(j, first, w.Latest)
		p.Sure = t.area(j.wish, p)
	}
	if from, ok := t.earliest(j, first, t.r.Slots); ok {
		p.Nearest = fmt.Sprintf("it would fit if its latest were slot %d in place of %d", from+j.takes, w.Latest)
	} else {
		run, best := 0, 0
		for s := first; s < w.Latest; s++ {
			if run++; !t.fits(j, s) {
				run = 0
			}
			best = max(best, run)
		}
		if best > 0 {
			p.Nearest = fmt.Sprintf("it would fit if it took %d slots in place of %d", best, w.Takes)
		}
	}
	return p
}

// least tells of the begin at which least is missing.
func (t *table) least(j job, first, latest int) string {
	best, at, which := math.Inf(1), -1, -1
	for from := first; from+j.takes <= latest; from++ {
		worst, slot, need := 0.0, from, -1
		for s := from; s < from+j.takes; s++ {
			if n, by := t.short(s, j.node); n >= 0 && by > worst {
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
	n := t.r.Need[which]
	return fmt.Sprintf("%s of %s in slot %d: %.1f a second are needed, %.1f would be left", n.Group, n.Region, at, n.at(at), n.at(at)-best)
}

// area looks for a span in which the windows that must lie there take more than can be given up: then there is no
// timetable, whatever the order.
func (t *table) area(wish int, p *Proof) bool {
	w := t.r.Wishes[wish]
	from, to := w.Earliest, w.Latest
	bare := newTable(t.r)
	for i, n := range t.r.Need {
		free, asked := 0.0, 0.0
		for s := from; s < to; s++ {
			free += max(bare.left(i, s, -1)-n.at(s), 0)
		}
		for _, o := range t.r.Wishes {
			if o.Earliest < from || o.Latest > to {
				continue
			}
			for _, name := range o.Nodes {
				if x := t.r.Nodes[t.byNam[name]]; x.Region == n.Region {
					asked += x.Carries[n.Group] * float64(o.Takes)
				}
			}
		}
		// With a zone that may be lost, a node that is out in the strongest zone costs nothing at first; so what is free counts
		// only where no zone must be borne.
		if t.r.Losses.Zones == 0 && asked > free+1e-9 {
			p.Why = fmt.Sprintf("between slots %d and %d, %s of %s can give up %.0f requests a second times slots, and the windows that must lie there take %.0f",
				from, to, n.Group, n.Region, free, asked)
			return true
		}
	}
	return false
}

// Holds checks a timetable against its request from scratch, by what the grants will look at, and names what does not hold.
func (r *Request) Holds(tt Timetable) error {
	at := map[string][]Turn{}
	for _, x := range tt.Turns {
		at[x.Window] = append(at[x.Window], x)
	}
	for _, w := range r.Wishes {
		turns := at[w.Name]
		if len(turns) != len(w.Nodes) {
			return fmt.Errorf("%s: %d of %d nodes have a turn", w.Name, len(turns), len(w.Nodes))
		}
		for _, x := range turns {
			if x.From < w.Earliest || x.To > w.Latest || x.To-x.From != w.Takes {
				return fmt.Errorf("%s of %s: from %d to %d", w.Name, x.Node, x.From, x.To)
			}
			for _, o := range w.After {
				for _, y := range at[o] {
					if y.To > x.From {
						return fmt.Errorf("%s of %s begins before %s is over", w.Name, x.Node, o)
					}
				}
			}
			for _, o := range w.Apart {
				for _, y := range at[o] {
					if y.From < x.To && x.From < y.To {
						return fmt.Errorf("%s of %s overlaps with %s", w.Name, x.Node, o)
					}
				}
			}
		}
	}
	for s := range r.Slots {
		out, together := map[string]bool{}, map[string]int{}
		for _, x := range tt.Turns {
			if x.From <= s && s < x.To {
				out[x.Node] = true
				together[x.Window]++
			}
		}
		for _, w := range r.Wishes {
			if w.Together > 0 && together[w.Name] > w.Together {
				return fmt.Errorf("slot %d: %d nodes of %s are out together", s, together[w.Name], w.Name)
			}
		}
		for _, n := range r.Need {
			if left := capacity.Left(r.Nodes, n.Region, n.Group, func(x string) bool { return out[x] }, r.Losses); left < n.at(s)-1e-6 && len(out) > 0 {
				return fmt.Errorf("slot %d: %s of %s: %.2f left, %.2f needed, out: %v", s, n.Group, n.Region, left, n.at(s), slices.Sorted(maps.Keys(out)))
			}
		}
	}
	return nil
}
