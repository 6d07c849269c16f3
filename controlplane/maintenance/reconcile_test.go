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

// site is three regions of three zones with three nodes each, of which each can serve 10 orders a second.
type site struct {
	state State
	fleet Fleet
}

func newSite() *site {
	x := &site{fleet: Fleet{Complete: true, Load: map[string]map[string]float64{}}}
	var floors []capacity.Floor
	for r := range 3 {
		region := fmt.Sprintf("r%d", r)
		floors = append(floors, capacity.Floor{Region: region, Group: capacity.Orders, Minimum: 40})
		x.fleet.Load[region] = map[string]float64{capacity.Orders: 30}
		for i := range 9 {
			n := Node{Serving: true, Phase: fleet.PhaseServing}
			n.Name, n.Region, n.Zone = fmt.Sprintf("%s-%d", region, i), region, fmt.Sprintf("%s-%c", region, 'a'+i%3)
			n.Capacity = map[string]float64{capacity.Orders: 10}
			x.fleet.Nodes = append(x.fleet.Nodes, n)
		}
	}
	if err := x.apply(Command{Verb: VerbAgree, AgreedFloors: floors, FaultTolerance: capacity.FaultTolerance{Machines: 1, Zones: 1}}); err != nil {
		panic(err)
	}
	return x
}

func (x *site) apply(command Command) error {
	state, err := x.state.Apply(command)
	x.state = state
	return err
}

// settle reconciles the state, and has nodes obey, until nothing changes.
func (x *site) settle() {
	for unchanged := 0; unchanged < 2; unchanged++ {
		state, changed := x.state.Reconcile(x.fleet)
		if x.state = state; changed {
			unchanged = 0
		}
		x.obey()
	}
}

// obey has all nodes but some do and report what they are told.
func (x *site) obey(except ...string) {
	instructions := x.state.Instructions()
	for i := range x.fleet.Nodes {
		n := &x.fleet.Nodes[i]
		window, told := instructions[n.Name]
		switch {
		case slices.Contains(except, n.Name):
		case !told:
			n.Serving, n.Phase, n.FencingToken = true, fleet.PhaseServing, 0
		case window.Phase == fleet.PhaseReturning:
			n.Serving, n.Phase, n.FencingToken = true, fleet.PhaseServing, window.FencingToken
		default:
			n.Serving, n.Phase, n.FencingToken = false, fleet.PhaseDrained, window.FencingToken
		}
	}
}

func (x *site) count(phase fleet.Phase) int {
	count := 0
	for _, window := range x.state.Windows {
		if window.Phase == phase {
			count++
		}
	}
	return count
}

// nodes lists the names of a region's nodes.
func (x *site) nodes(region string) (names []string) {
	for _, n := range x.fleet.Nodes {
		if n.Region == region {
			names = append(names, n.Name)
		}
	}
	return names
}

func TestGrants(t *testing.T) {
	Convey("Given three regions of nine nodes, each of which must keep the capacity of four after the loss of a zone", t, func() {
		x := newSite()
		Convey("windows requested in all regions at once are granted as far as each region's floor allows, and no further", func() {
			for r := range 3 {
				So(x.apply(Command{Verb: VerbAsk, WindowName: "kernel", Nodes: x.nodes(fmt.Sprintf("r%d", r))}), ShouldBeNil)
			}
			x.settle()
			So(len(x.state.Shortfalls(x.fleet, x.state.IsOut)), ShouldEqual, 0)
			So(x.count(fleet.PhaseDrained), ShouldBeBetweenOrEqual, 9, 12)
			So(x.count(fleet.PhaseRequested), ShouldEqual, 27-x.count(fleet.PhaseDrained))
			Convey("and each that ends lets the next begin, until all were drained", func() {
				drained := map[string]bool{}
				for range 60 {
					var out []string
					for _, w := range x.state.Windows {
						if w.Phase == fleet.PhaseDrained {
							drained[w.Node] = true
							out = append(out, w.Node)
						}
					}
					if len(out) > 0 {
						So(x.apply(Command{Verb: VerbFinish, Nodes: out[:1]}), ShouldBeNil)
					}
					x.settle()
					So(len(x.state.Shortfalls(x.fleet, x.state.IsOut)), ShouldEqual, 0)
				}
				So(len(drained), ShouldEqual, 27)
				So(len(x.state.Windows), ShouldEqual, 0)
			})
		})
		Convey("a request is idempotent; another window of the same node is rejected", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(len(x.state.Windows), ShouldEqual, 1)
			var exists *WindowExistsError
			So(errors.As(x.apply(Command{Verb: VerbAsk, WindowName: "b", Nodes: []string{"r0-1"}}), &exists), ShouldBeTrue)
			var notBegun *NotGrantedError
			So(errors.As(x.apply(Command{Verb: VerbFinish, Nodes: []string{"r0-1"}}), &notBegun), ShouldBeTrue)
			So(x.apply(Command{Verb: VerbCancel, Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(len(x.state.Windows), ShouldEqual, 0)
		})
		Convey("load at twice the forecast withholds grants, and revokes those that are open, the newest first", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: x.nodes("r0")[:4]}), ShouldBeNil)
			x.settle()
			So(x.count(fleet.PhaseDrained), ShouldBeGreaterThanOrEqualTo, 2)
			newest := Window{}
			for _, w := range x.state.Windows {
				if w.Phase == fleet.PhaseDrained && w.FencingToken > newest.FencingToken {
					newest = w
				}
			}
			x.fleet.Load["r0"][capacity.Orders] = 60
			state, changed := x.state.Reconcile(x.fleet)
			So(changed, ShouldBeTrue)
			So(state.Windows[state.indexOf(newest.Node)].Phase, ShouldEqual, fleet.PhaseReturning)
			So(state.Windows[state.indexOf(newest.Node)].Reason, ShouldContainSubstring, "orders of r0: 69.0 a second are needed")
			x.settle()
			So(x.count(fleet.PhaseDrained), ShouldEqual, 0)
			So(x.count(fleet.PhaseRequested), ShouldBeGreaterThan, 0)
		})
		Convey("a shortfall in another region revokes nothing here", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.settle()
			x.fleet.Load["r1"][capacity.Orders] = 200
			x.settle()
			So(x.count(fleet.PhaseDrained), ShouldEqual, 1)
		})
		Convey("the loss of a zone in the middle of a window brings the other nodes of its region back", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-0", "r0-3"}}), ShouldBeNil)
			x.settle()
			So(x.count(fleet.PhaseDrained), ShouldEqual, 2)
			for i := range x.fleet.Nodes {
				if x.fleet.Nodes[i].Zone == "r0-b" {
					x.fleet.Nodes[i].Serving = false
				}
			}
			state, changed := x.state.Reconcile(x.fleet)
			So(changed, ShouldBeTrue)
			So(state.Instructions()["r0-3"].Phase, ShouldEqual, fleet.PhaseReturning)
		})
		Convey("a node that never reports that it is drained stays out, is told nothing else, and blocks no other region", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1", "r1-1"}}), ShouldBeNil)
			for range 20 {
				x.state, _ = x.state.Reconcile(x.fleet)
				x.obey("r0-1")
			}
			So(x.state.Instructions()["r0-1"].Phase, ShouldEqual, fleet.PhaseDraining)
			So(x.state.IsOut("r0-1"), ShouldBeTrue)
			So(x.state.Instructions()["r1-1"].Phase, ShouldEqual, fleet.PhaseDrained)
		})
		Convey("what a node reports under an older fencing token is ignored", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.settle()
			So(x.apply(Command{Verb: VerbFinish, Nodes: []string{"r0-1"}}), ShouldBeNil)
			for i := range x.fleet.Nodes {
				if n := &x.fleet.Nodes[i]; n.Name == "r0-1" { // its report of before the grant, late
					n.Serving, n.Phase, n.FencingToken = true, fleet.PhaseServing, 0
				}
			}
			state, _ := x.state.Reconcile(x.fleet)
			So(state.IsOut("r0-1"), ShouldBeTrue)
			x.settle()
			So(x.state.IsOut("r0-1"), ShouldBeFalse)
		})
		Convey("a member that has not heard from all others grants nothing", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.fleet.Complete = false
			_, changed := x.state.Reconcile(x.fleet)
			So(changed, ShouldBeFalse)
		})
		Convey("while paused nothing is granted and what is open stays", func() {
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.settle()
			So(x.apply(Command{Verb: VerbPause}), ShouldBeNil)
			So(x.apply(Command{Verb: VerbAsk, WindowName: "a", Nodes: []string{"r0-2"}}), ShouldBeNil)
			x.settle()
			So(x.count(fleet.PhaseDrained), ShouldEqual, 1)
			So(x.count(fleet.PhaseRequested), ShouldEqual, 1)
		})
	})
	Convey("Without agreed floors no window can be requested", t, func() {
		_, err := State{}.Apply(Command{Verb: VerbAsk, Nodes: []string{"x"}})
		So(errors.Is(err, ErrNoAgreedFloors), ShouldBeTrue)
	})
}
