package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/dataplane/capacity"
)

const (
	agreedRate = 20.0 // requests a second that must be carried in each region, of some 80 that each forager carries, also after the loss of one
	mostOut    = 1    // of a region's three foragers that may be out at once by that
	settles    = 9 * time.Second
)

// command is an operator's word on windows.
func (w *world) command(a Act) *maintenance.Command {
	c := &maintenance.Command{Verb: a.Kind, WindowName: "work"}
	if a.Kind == "agree" {
		for i := range zones {
			c.AgreedFloors = append(c.AgreedFloors, capacity.Floor{Region: fmt.Sprintf("r%d", i), Group: capacity.Lookups, Minimum: agreedRate})
		}
		c.FaultTolerance.Machines = 1
		return c
	}
	if a.On < len(w.bees) {
		c.Nodes = []string{w.bees[a.On].name}
	}
	return c
}

// granted watches what the core has granted: never so many at once that a floor breaks, and fences that only rise.
func (w *world) granted(m *machine, r chainreplication.Register) {
	n, ok := r.Records["windows"]
	if !ok || n.Revision <= w.windowsRev {
		return
	}
	var s maintenance.State
	if err := cbor.Unmarshal(n.Value, &s); err != nil {
		w.broken("%s holds windows that cannot be read: %v", m.name, err)
		return
	}
	if s.FencingToken < w.windows.FencingToken {
		w.broken("%s: the fence of windows went back from %d to %d", m.name, w.windows.FencingToken, s.FencingToken)
	}
	out := map[string]int{}
	for _, x := range s.Windows {
		if x.Phase != maintenance.Requested {
			out[w.zone(int(x.Node[len(x.Node)-1]-'0'))]++
		}
		if old := w.windows.Instructions()[x.Node]; old.Phase != x.Phase && x.Phase != maintenance.Requested {
			w.say("%s: window of %s is %s (fence %d) %s", m.name, x.Node, x.Phase, x.FencingToken, x.Reason)
			if x.Phase == maintenance.Drained {
				w.res.Drained++
			}
			if x.Phase == maintenance.Draining {
				for _, t := range w.onGrant {
					w.onGrant, w.trouble = w.onGrant[1:], w.now+t.For+restart
					t.On, t.Kind = m.i, strings.TrimPrefix(t.Kind, "grant")
					w.after(time.Duration(w.r.Int64N(int64(4*time.Millisecond))), func() { w.strike(t) })
					break
				}
			}
		}
	}
	for _, z := range sortedKeys(out) {
		if out[z] > mostOut {
			w.broken("%s: %d foragers of zone %s are out at once, %d may be", m.name, out[z], z, mostOut)
		}
	}
	w.windows, w.windowsRev, w.windowsAt = s, n.Revision, w.now
}

// anyOut is 1 while a window is open.
func (w *world) anyOut() int {
	if len(w.windows.Instructions()) > 0 {
		return 1
	}
	return 0
}

// Week draws a short week of windows that a timetable was made for: slots of a second, three to nine foragers in three regions, each asked for
// at its turn, with machines that fail meanwhile. It returns the timetable's length, the best possible one, and that of one
// node after another, in slots.
func Week(seed uint64) (s Schedule, plan, best, serial int) {
	r := rand.New(rand.NewPCG(seed, 5))
	q := &maintenanceplanner.Request{SlotCount: 60, FaultTolerance: capacity.FaultTolerance{Machines: 1}}
	for i := range zones {
		q.Demands = append(q.Demands, maintenanceplanner.Demand{Region: fmt.Sprintf("r%d", i), Group: capacity.Lookups, Floor: agreedRate})
	}
	for i := range 9 {
		q.Nodes = append(q.Nodes, capacity.Node{Name: fmt.Sprintf("forager %d", i), Zone: string(rune('a' + i%zones)), Region: fmt.Sprintf("r%d", i%zones), Capacity: map[string]float64{capacity.Lookups: 70 + 20*r.Float64()}})
	}
	order := r.Perm(9)[:3+r.IntN(7)]
	for _, i := range order {
		takes := 6 + r.IntN(5)
		q.Windows = append(q.Windows, maintenanceplanner.WindowRequest{Name: q.Nodes[i].Name, Nodes: []string{q.Nodes[i].Name}, Latest: 60, DurationSlots: takes})
		serial += takes
	}
	greedy, _ := maintenanceplanner.Greedy(q)
	tt, proof := maintenanceplanner.Plan(q)
	if proof != nil {
		return s, 0, 0, 0
	}
	s = Draw(seed, 3, 2, 30*time.Second)
	s.Foragers, s.Replicas = 9, 4
	s.Acts = []Act{{At: 1200 * time.Millisecond, Kind: "put", Version: 1}, {At: 2 * time.Second, Kind: "agree"}}
	for _, x := range tt.Assignments {
		on := slices.IndexFunc(q.Nodes, func(n capacity.Node) bool { return n.Name == x.Node })
		s.Acts = append(s.Acts, Act{At: time.Duration(6+x.Start) * time.Second, Kind: "ask", On: on}, Act{At: time.Duration(6+x.End) * time.Second, Kind: "finish", On: on})
		s.Lasts = max(s.Lasts, time.Duration(8+x.End)*time.Second)
	}
	slices.SortStableFunc(s.Acts, func(a, b Act) int { return int(a.At - b.At) })
	return s, greedy.Makespan, tt.Makespan, serial
}

// between watches that no forager hangs between serving and not, once all has been calm for long.
func (w *world) between(b *bee) {
	if !w.windows.Enabled() || !w.calm(settles) || w.now-w.windowsAt < settles || w.now-b.began < settles || b.comb == nil {
		return
	}
	x, has := w.windows.Instructions()[b.name]
	if !has && !b.brain.Serves() {
		w.broken("%s does not serve, though it has no window any more", b.name)
	}
	if has && (x.Phase == maintenance.Draining || x.Phase == maintenance.Returning) {
		w.broken("the window of %s is still %s, %.1f s after the last change", b.name, x.Phase, (w.now - w.windowsAt).Seconds())
	}
}
