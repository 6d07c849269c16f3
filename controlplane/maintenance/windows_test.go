package maintenance

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/dataplane/capacity"
)

// site is three regions of three zones with three nodes each, of which each carries 10 orders a second.
type site struct {
	s    State
	f    Fleet
	said map[string]Node
}

func newSite() *site {
	x := &site{f: Fleet{Complete: true, Load: map[string]map[string]float64{}}}
	var floors []capacity.Floor
	for r := range 3 {
		region := fmt.Sprintf("r%d", r)
		floors = append(floors, capacity.Floor{Region: region, Group: capacity.Orders, Minimum: 40})
		x.f.Load[region] = map[string]float64{capacity.Orders: 30}
		for i := range 9 {
			n := Node{Serving: true, Phase: Serving}
			n.Name, n.Region, n.Zone = fmt.Sprintf("%s-%d", region, i), region, fmt.Sprintf("%s-%c", region, 'a'+i%3)
			n.Capacity = map[string]float64{capacity.Orders: 10}
			x.f.Nodes = append(x.f.Nodes, n)
		}
	}
	x.do(Command{Verb: "agree", AgreedFloors: floors, FaultTolerance: capacity.FaultTolerance{Machines: 1, Zones: 1}})
	return x
}

func (x *site) do(c Command) error {
	s, err := x.s.Apply(c)
	if err == nil {
		x.s = s
	}
	return err
}

// settle lets the core decide, and nodes obey, until nothing changes.
func (x *site) settle() {
	for still := 0; still < 2; still++ {
		s, changed := x.s.Reconcile(x.f)
		if x.s = s; changed {
			still = 0
		}
		x.obey()
	}
}

func (x *site) obey(but ...string) {
	orders := x.s.Instructions()
	for i := range x.f.Nodes {
		n := &x.f.Nodes[i]
		w, has := orders[n.Name]
		switch {
		case len(but) > 0 && n.Name == but[0]:
		case !has:
			n.Serving, n.Phase, n.FencingToken = true, Serving, 0
		case w.Phase == Returning:
			n.Serving, n.Phase, n.FencingToken = true, Serving, w.FencingToken
		default:
			n.Serving, n.Phase, n.FencingToken = false, Drained, w.FencingToken
		}
	}
}

func (x *site) count(p Phase) (n int) {
	for _, w := range x.s.Windows {
		if w.Phase == p {
			n++
		}
	}
	return
}

func (x *site) all(region string) (names []string) {
	for _, n := range x.f.Nodes {
		if n.Region == region {
			names = append(names, n.Name)
		}
	}
	return
}

func TestGrants(t *testing.T) {
	Convey("Given three regions of nine nodes, four of which each must keep after the loss of a zone", t, func() {
		x := newSite()
		Convey("windows asked for in all regions at once are granted as far as each region's floor goes, and no further", func() {
			for r := range 3 {
				So(x.do(Command{Verb: "ask", WindowName: "kernel", Nodes: x.all(fmt.Sprintf("r%d", r))}), ShouldBeNil)
			}
			x.settle()
			So(len(x.s.Shortfalls(x.f, x.s.IsOut)), ShouldEqual, 0)
			So(x.count(Drained), ShouldBeBetweenOrEqual, 9, 12)
			So(x.count(Requested), ShouldEqual, 27-x.count(Drained))
			Convey("and each that returns makes room for the next, until all were drained", func() {
				drained := map[string]bool{}
				for range 60 {
					var out []string
					for _, w := range x.s.Windows {
						if w.Phase == Drained {
							drained[w.Node] = true
							out = append(out, w.Node)
						}
					}
					if len(out) > 0 {
						So(x.do(Command{Verb: "finish", Nodes: out[:1]}), ShouldBeNil)
					}
					x.settle()
					So(len(x.s.Shortfalls(x.f, x.s.IsOut)), ShouldEqual, 0)
				}
				So(len(drained), ShouldEqual, 27)
				So(len(x.s.Windows), ShouldEqual, 0)
			})
		})
		Convey("asked twice is asked once; two operators' windows of one node are refused", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(len(x.s.Windows), ShouldEqual, 1)
			So(x.do(Command{Verb: "ask", WindowName: "b", Nodes: []string{"r0-1"}}), ShouldNotBeNil)
			So(x.do(Command{Verb: "finish", Nodes: []string{"r0-1"}}), ShouldNotBeNil)
			So(x.do(Command{Verb: "cancel", Nodes: []string{"r0-1"}}), ShouldBeNil)
			So(len(x.s.Windows), ShouldEqual, 0)
		})
		Convey("load at twice what was forecast holds grants back, and takes back what is open, the youngest first", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: x.all("r0")[:4]}), ShouldBeNil)
			x.settle()
			So(x.count(Drained), ShouldBeGreaterThanOrEqualTo, 2)
			youngest := Window{}
			for _, w := range x.s.Windows {
				if w.Phase == Drained && w.FencingToken > youngest.FencingToken {
					youngest = w
				}
			}
			x.f.Load["r0"][capacity.Orders] = 60
			s, changed := x.s.Reconcile(x.f)
			So(changed, ShouldBeTrue)
			So(s.Windows[s.indexOf(youngest.Node)].Phase, ShouldEqual, Returning)
			So(s.Windows[s.indexOf(youngest.Node)].Reason, ShouldContainSubstring, "orders of r0: 69.0 a second are needed")
			x.settle()
			So(x.count(Drained), ShouldEqual, 0)
			So(x.count(Requested), ShouldBeGreaterThan, 0)
		})
		Convey("trouble in another region takes nothing back here", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.settle()
			x.f.Load["r1"][capacity.Orders] = 200
			x.settle()
			So(x.count(Drained), ShouldEqual, 1)
		})
		Convey("a zone that is lost in mid-window brings the others of its region back", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-0", "r0-3"}}), ShouldBeNil)
			x.settle()
			So(x.count(Drained), ShouldEqual, 2)
			for i := range x.f.Nodes {
				if x.f.Nodes[i].Zone == "r0-b" {
					x.f.Nodes[i].Serving = false
				}
			}
			s, changed := x.s.Reconcile(x.f)
			So(changed, ShouldBeTrue)
			So(s.Instructions()["r0-3"].Phase, ShouldEqual, Returning)
		})
		Convey("a node that never says that it is drained stays out, is told nothing else, and holds no other region up", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1", "r1-1"}}), ShouldBeNil)
			for range 20 {
				x.s, _ = x.s.Reconcile(x.f)
				x.obey("r0-1")
			}
			So(x.s.Instructions()["r0-1"].Phase, ShouldEqual, Draining)
			So(x.s.IsOut("r0-1"), ShouldBeTrue)
			So(x.s.Instructions()["r1-1"].Phase, ShouldEqual, Drained)
		})
		Convey("what a node says under an older fence counts for nothing", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.settle()
			So(x.do(Command{Verb: "finish", Nodes: []string{"r0-1"}}), ShouldBeNil)
			for i := range x.f.Nodes {
				if n := &x.f.Nodes[i]; n.Name == "r0-1" { // its word of before the grant, late
					n.Serving, n.Phase, n.FencingToken = true, Serving, 0
				}
			}
			s, _ := x.s.Reconcile(x.f)
			So(s.IsOut("r0-1"), ShouldBeTrue)
			x.settle()
			So(x.s.IsOut("r0-1"), ShouldBeFalse)
		})
		Convey("a comb that has not heard from all others grants nothing", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.f.Complete = false
			_, changed := x.s.Reconcile(x.f)
			So(changed, ShouldBeFalse)
		})
		Convey("paused, nothing is granted and what is open stays", func() {
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-1"}}), ShouldBeNil)
			x.settle()
			So(x.do(Command{Verb: "pause"}), ShouldBeNil)
			So(x.do(Command{Verb: "ask", WindowName: "a", Nodes: []string{"r0-2"}}), ShouldBeNil)
			x.settle()
			So(x.count(Drained), ShouldEqual, 1)
			So(x.count(Requested), ShouldEqual, 1)
		})
	})
	Convey("Without anything agreed no window can be asked for", t, func() {
		_, err := State{}.Apply(Command{Verb: "ask", Nodes: []string{"x"}})
		So(err, ShouldNotBeNil)
	})
}
