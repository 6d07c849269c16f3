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
	agreedFloor      = 20.0 // requests a second that must be carried in each region, of some 80 that each forager carries, also after the loss of one
	maxGatewaysOut   = 1    // of a region's three foragers that may be out at once by that
	windowSettleTime = 9 * time.Second
)

// windowCommand is an operator's word on windows.
func (c *cluster) windowCommand(action Action) *maintenance.Command {
	command := &maintenance.Command{Verb: action.Kind, WindowName: "work"}
	if action.Kind == "agree" {
		for i := range generatedZones {
			command.AgreedFloors = append(command.AgreedFloors, capacity.Floor{Region: fmt.Sprintf("r%d", i), Group: capacity.Lookups, Minimum: agreedFloor})
		}
		command.FaultTolerance.Machines = 1
		return command
	}
	if action.Target < len(c.gateways) {
		command.Nodes = []string{c.gateways[action.Target].name}
	}
	return command
}

// checkWindows watches what the core has granted: never so many at once that a floor breaks, and fences that only rise.
func (c *cluster) checkWindows(m *member, register chainreplication.Register) {
	note, ok := register.Records["windows"]
	if !ok || note.Revision <= c.windowRevision {
		return
	}
	var state maintenance.State
	if err := cbor.Unmarshal(note.Value, &state); err != nil {
		c.violationf("%s holds windows that cannot be read: %v", m.name, err)
		return
	}
	if state.FencingToken < c.windowState.FencingToken {
		c.violationf("%s: the fence of windows went back from %d to %d", m.name, c.windowState.FencingToken, state.FencingToken)
	}
	out := map[string]int{}
	for _, window := range state.Windows {
		if window.Phase != maintenance.Requested {
			out[c.zoneName(int(window.Node[len(window.Node)-1]-'0'))]++
		}
		if old := c.windowState.Instructions()[window.Node]; old.Phase != window.Phase && window.Phase != maintenance.Requested {
			c.tracef("%s: window of %s is %s (fence %d) %s", m.name, window.Node, window.Phase, window.FencingToken, window.Reason)
			if window.Phase == maintenance.Drained {
				c.result.DrainedWindows++
			}
			if window.Phase == maintenance.Draining {
				for _, fault := range c.onWindowGrant {
					c.onWindowGrant, c.unsettledUntil = c.onWindowGrant[1:], c.now+fault.For+restartTime
					fault.Target, fault.Kind = m.index, strings.TrimPrefix(fault.Kind, "grant")
					c.after(time.Duration(c.random.Int64N(int64(4*time.Millisecond))), func() { c.injectFault(fault) })
					break
				}
			}
		}
	}
	for _, z := range sortedKeys(out) {
		if out[z] > maxGatewaysOut {
			c.violationf("%s: %d foragers of zone %s are out at once, %d may be", m.name, out[z], z, maxGatewaysOut)
		}
	}
	c.windowState, c.windowRevision, c.windowsChangedAt = state, note.Revision, c.now
}

// openWindowIndex is 1 while a window is open.
func (c *cluster) openWindowIndex() int {
	if len(c.windowState.Instructions()) > 0 {
		return 1
	}
	return 0
}

// GenerateWindowWeek draws a short week of windows that a timetable was made for: slots of a second, three to nine foragers in three regions, each asked for
// at its turn, with machines that fail meanwhile. It returns the timetable's length, the best possible one, and that of one
// node after another, in slots.
func GenerateWindowWeek(seed uint64) (s Schedule, plan, best, serial int) {
	r := rand.New(rand.NewPCG(seed, 5))
	q := &maintenanceplanner.Request{SlotCount: 60, FaultTolerance: capacity.FaultTolerance{Machines: 1}}
	for i := range generatedZones {
		q.Demands = append(q.Demands, maintenanceplanner.Demand{Region: fmt.Sprintf("r%d", i), Group: capacity.Lookups, Floor: agreedFloor})
	}
	for i := range 9 {
		q.Nodes = append(q.Nodes, capacity.Node{Name: fmt.Sprintf("forager %d", i), Zone: string(rune('a' + i%generatedZones)), Region: fmt.Sprintf("r%d", i%generatedZones), Capacity: map[string]float64{capacity.Lookups: 70 + 20*r.Float64()}})
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
	s = Generate(seed, 3, 2, 30*time.Second)
	s.Gateways, s.Replicas = 9, 4
	s.Actions = []Action{{At: 1200 * time.Millisecond, Kind: "put", Version: 1}, {At: 2 * time.Second, Kind: "agree"}}
	for _, x := range tt.Assignments {
		on := slices.IndexFunc(q.Nodes, func(n capacity.Node) bool { return n.Name == x.Node })
		s.Actions = append(s.Actions, Action{At: time.Duration(6+x.Start) * time.Second, Kind: "ask", Target: on}, Action{At: time.Duration(6+x.End) * time.Second, Kind: "finish", Target: on})
		s.Duration = max(s.Duration, time.Duration(8+x.End)*time.Second)
	}
	slices.SortStableFunc(s.Actions, func(a, b Action) int { return int(a.At - b.At) })
	return s, greedy.Makespan, tt.Makespan, serial
}

// checkGatewaySettled watches that no forager hangs between serving and not, once all has been calm for long.
func (c *cluster) checkGatewaySettled(g *gatewayNode) {
	if !c.windowState.Enabled() || !c.calmFor(windowSettleTime) || c.now-c.windowsChangedAt < windowSettleTime || c.now-g.startedAt < windowSettleTime || g.member == nil {
		return
	}
	window, has := c.windowState.Instructions()[g.name]
	if !has && !g.router.IsServing() {
		c.violationf("%s does not serve, though it has no window any more", g.name)
	}
	if has && (window.Phase == maintenance.Draining || window.Phase == maintenance.Returning) {
		c.violationf("the window of %s is still %s, %.1f s after the last change", g.name, window.Phase, (c.now - c.windowsChangedAt).Seconds())
	}
}
