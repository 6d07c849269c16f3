package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/fleet"
)

// testFleet has three regions with three zones of three nodes each. Each node can serve 10 orders per second.
type testFleet struct {
	state State
	fleet Fleet
}

func newTestFleet() *testFleet {
	f := &testFleet{fleet: Fleet{Complete: true, Load: map[string]map[string]float64{}}}
	var floors []capacity.Floor
	for r := range 3 {
		region := fmt.Sprintf("r%d", r)
		floors = append(floors, capacity.Floor{Region: region, Group: capacity.Orders, Minimum: 40})
		f.fleet.Load[region] = map[string]float64{capacity.Orders: 30}
		for i := range 9 {
			n := Node{Serving: true, Phase: fleet.PhaseServing}
			n.Name, n.Region, n.Zone = fmt.Sprintf("%s-%d", region, i), region, fmt.Sprintf("%s-%c", region, 'a'+i%3)
			n.Capacity = map[string]float64{capacity.Orders: 10}
			f.fleet.Nodes = append(f.fleet.Nodes, n)
		}
	}
	if err := f.apply(Command{Verb: VerbAgree, AgreedFloors: floors, FaultTolerance: capacity.FaultTolerance{Machines: 1, Zones: 1}}); err != nil {
		panic(err)
	}
	return f
}

func (f *testFleet) apply(command Command) error {
	state, err := f.state.Apply(command)
	f.state = state
	return err
}

// settle reconciles the state and updates the nodes until nothing changes.
func (f *testFleet) settle() {
	for unchanged := 0; unchanged < 2; unchanged++ {
		state, changed := f.state.Reconcile(f.fleet)
		if f.state = state; changed {
			unchanged = 0
		}
		f.followInstructions()
	}
}

// followInstructions makes all nodes, apart from exceptions, reach and report their instructed phases.
func (f *testFleet) followInstructions(except ...string) {
	instructions := f.state.Instructions()
	for i := range f.fleet.Nodes {
		n := &f.fleet.Nodes[i]
		window, instructed := instructions[n.Name]
		switch {
		case slices.Contains(except, n.Name):
		case !instructed:
			n.Serving, n.Phase, n.FencingToken = true, fleet.PhaseServing, 0
		case window.Phase == fleet.PhaseReturning:
			n.Serving, n.Phase, n.FencingToken = true, fleet.PhaseServing, window.FencingToken
		default:
			n.Serving, n.Phase, n.FencingToken = false, fleet.PhaseDrained, window.FencingToken
		}
	}
}

func (f *testFleet) count(phase fleet.Phase) int {
	count := 0
	for _, window := range f.state.Windows {
		if window.Phase == phase {
			count++
		}
	}
	return count
}

// nodesIn returns the names of a region's nodes.
func (f *testFleet) nodesIn(region string) (names []string) {
	for _, n := range f.fleet.Nodes {
		if n.Region == region {
			names = append(names, n.Name)
		}
	}
	return names
}

func TestGrants(t *testing.T) {
	Convey("Given three regions of nine nodes, each with a floor of four nodes' capacity after the loss of a zone", t, func() {
		f := newTestFleet()
		Convey("windows requested in all regions at once are granted as far as each region's floor allows", func() {
			for r := range 3 {
				So(f.apply(Command{Verb: VerbAsk, WindowName: "kernel", Nodes: f.nodesIn(fmt.Sprintf("r%d", r))}), ShouldBeNil)
			}
			f.settle()
			So(len(f.state.Shortfalls(f.fleet, f.state.IsOut)), ShouldEqual, 0)
			So(f.count(fleet.PhaseDrained), ShouldBeBetweenOrEqual, 9, 12)
			So(f.count(fleet.PhaseRequested), ShouldEqual, 27-f.count(fleet.PhaseDrained))
			Convey("and finished windows make room for the next until all nodes have been drained", func() {
				drained := map[string]bool{}
				for range 60 {
					var out []string
					for _, w := range f.state.Windows {
						if w.Phase == fleet.PhaseDrained {
							drained[w.Node] = true
							out = append(out, w.Node)
						}
					}
					if len(out) > 0 {
						So(f.apply(Command{Verb: VerbFinish, Nodes: out[:1]}), ShouldBeNil)
					}
					f.settle()
					So(len(f.state.Shortfalls(f.fleet, f.state.IsOut)), ShouldEqual, 0)
				}
				So(len(drained), ShouldEqual, 27)
				So(len(f.state.Windows), ShouldEqual, 0)
			})
		})
		Convey("a request is idempotent; a different window for the same node is rejected", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(len(f.state.Windows), ShouldEqual, 1)
			var exists *WindowExistsError
			So(errors.As(f.apply(Command{Verb: VerbAsk, WindowName: "b", Nodes: []string{"r0-1"}}), &exists), ShouldBeTrue)
			var notGranted *NotGrantedError
			So(errors.As(f.apply(Command{Verb: VerbFinish, Nodes: []string{"r0-1"}}), &notGranted), ShouldBeTrue)
			So(f.apply(Command{Verb: VerbCancel, Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(len(f.state.Windows), ShouldEqual, 0)
		})
		Convey("load at twice the forecast blocks grants and revokes existing ones, newest first", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: f.nodesIn("r0")[:4]}), ShouldBeNil)
			f.settle()
			So(f.count(fleet.PhaseDrained), ShouldBeGreaterThanOrEqualTo, 2)
			newest := Window{}
			for _, w := range f.state.Windows {
				if w.Phase == fleet.PhaseDrained && w.FencingToken > newest.FencingToken {
					newest = w
				}
			}
			f.fleet.Load["r0"][capacity.Orders] = 60
			state, changed := f.state.Reconcile(f.fleet)
			So(changed, ShouldBeTrue)
			So(state.Windows[state.indexOf(newest.Node)].Phase, ShouldEqual, fleet.PhaseReturning)
			So(state.Windows[state.indexOf(newest.Node)].Reason, ShouldContainSubstring, "orders of r0: 69.0 a second are needed")
			f.settle()
			So(f.count(fleet.PhaseDrained), ShouldEqual, 0)
			So(f.count(fleet.PhaseRequested), ShouldBeGreaterThan, 0)
		})
		Convey("a shortfall in another region revokes nothing", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			f.settle()
			f.fleet.Load["r1"][capacity.Orders] = 200
			f.settle()
			So(f.count(fleet.PhaseDrained), ShouldEqual, 1)
		})
		Convey("the loss of a zone during a window returns the other nodes of its region to service", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-0", "r0-3"}}), ShouldBeNil)
			f.settle()
			So(f.count(fleet.PhaseDrained), ShouldEqual, 2)
			for i := range f.fleet.Nodes {
				if f.fleet.Nodes[i].Zone == "r0-b" {
					f.fleet.Nodes[i].Serving = false
				}
			}
			state, changed := f.state.Reconcile(f.fleet)
			So(changed, ShouldBeTrue)
			So(state.Instructions()["r0-3"].Phase, ShouldEqual, fleet.PhaseReturning)
		})
		Convey("a node that never reports to be drained stays out, keeps its instruction and blocks no other region", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1", "r1-1"}}), ShouldBeNil)
			for range 20 {
				f.state, _ = f.state.Reconcile(f.fleet)
				f.followInstructions("r0-1")
			}
			So(f.state.Instructions()["r0-1"].Phase, ShouldEqual, fleet.PhaseDraining)
			So(f.state.IsOut("r0-1"), ShouldBeTrue)
			So(f.state.Instructions()["r1-1"].Phase, ShouldEqual, fleet.PhaseDrained)
		})
		Convey("reports with an older fencing token are ignored", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			f.settle()
			So(f.apply(Command{Verb: VerbFinish, Nodes: []string{"r0-1"}}), ShouldBeNil)
			for i := range f.fleet.Nodes {
				if n := &f.fleet.Nodes[i]; n.Name == "r0-1" { // a delayed report from before the grant
					n.Serving, n.Phase, n.FencingToken = true, fleet.PhaseServing, 0
				}
			}
			state, _ := f.state.Reconcile(f.fleet)
			So(state.IsOut("r0-1"), ShouldBeTrue)
			f.settle()
			So(f.state.IsOut("r0-1"), ShouldBeFalse)
		})
		Convey("nothing is granted while the fleet is incomplete", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			f.fleet.Complete = false
			_, changed := f.state.Reconcile(f.fleet)
			So(changed, ShouldBeFalse)
		})
		Convey("while paused, nothing is granted and granted windows stay", func() {
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			f.settle()
			So(f.apply(Command{Verb: VerbPause}), ShouldBeNil)
			So(f.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-2"}}), ShouldBeNil)
			f.settle()
			So(f.count(fleet.PhaseDrained), ShouldEqual, 1)
			So(f.count(fleet.PhaseRequested), ShouldEqual, 1)
		})
	})
	Convey("Without agreed floors no window can be requested", t, func() {
		_, err := State{}.Apply(Command{Verb: VerbAsk, Nodes: []string{"x"}})
		So(errors.Is(err, ErrNoAgreedFloors), ShouldBeTrue)
	})
}
