package maintenanceplanner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/capacity"
)

// testNodes returns n nodes spread over the zones of one region. Each can serve 10 lookups and 3 orders per second.
func testNodes(n, zones int) (nodes []capacity.Node) {
	for i := range n {
		nodes = append(nodes, capacity.Node{Name: fmt.Sprintf("e%d", i), Zone: string(rune('a' + i%zones)), Region: "r",
			Capacity: map[string]float64{capacity.Lookups: 10, capacity.Orders: 3}})
	}
	return nodes
}

// nodeNames returns the names of nodes [from, to).
func nodeNames(from, to int) (all []string) {
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf("e%d", i))
	}
	return all
}

// isProvenInfeasible reports whether an error states that no schedule exists.
func isProvenInfeasible(err error) bool {
	var infeasible *InfeasibleError
	return errors.As(err, &infeasible) && infeasible.Proven
}

func TestPlan(t *testing.T) {
	Convey("Given nine nodes in three zones, one of which may fail, and a floor of 40 lookups per second", t, func() {
		r := &Request{Nodes: testNodes(9, 3), FaultTolerance: capacity.FaultTolerance{Zones: 1, Machines: 1}, SlotCount: 24, Demands: []Demand{{Region: "r", Group: capacity.Lookups, Floor: 40}},
			Windows: []WindowRequest{{Name: "kernel", Nodes: nodeNames(0, 9), Latest: 24, DurationSlots: 2}}}
		So(r.Validate(), ShouldBeNil)
		Convey("all nodes are scheduled in less time than one after another", func() {
			schedule, err := Plan(r)
			So(err, ShouldBeNil)
			So(r.Verify(schedule), ShouldBeNil)
			So(schedule.Makespan, ShouldBeLessThan, 18)
		})
		Convey("limits of concurrent nodes, the order of windows and conflicts are respected", func() {
			r.Windows = []WindowRequest{{Name: "x", Nodes: nodeNames(0, 2), Latest: 24, DurationSlots: 2, MaxConcurrent: 1}, {Name: "y", Nodes: nodeNames(2, 4), Latest: 24, DurationSlots: 2, After: []string{"x"}},
				{Name: "z", Nodes: nodeNames(4, 5), Latest: 24, DurationSlots: 3, Conflicts: []string{"y"}}}
			So(r.Validate(), ShouldBeNil)
			schedule, err := Plan(r)
			So(err, ShouldBeNil)
			So(r.Verify(schedule), ShouldBeNil)
			So(schedule.Optimal, ShouldBeTrue)
			So(schedule.Makespan, ShouldEqual, 6)
		})
		Convey("a forecast above the floor delays windows until it is over", func() {
			r.Demands[0].Forecast = []float64{60, 60, 60, 60, 60, 45}
			r.Windows[0].Nodes = nodeNames(0, 1)
			schedule, err := Plan(r)
			So(err, ShouldBeNil)
			So(schedule.Assignments[0].Start, ShouldEqual, 5)
		})
		Convey("if no node can ever be out, the error names the demand, the slot, the shortfall and a solution", func() {
			r.Demands[0].Forecast = []float64{55, 55, 55, 55}
			r.Windows = []WindowRequest{{Name: "kernel", Nodes: nodeNames(0, 1), Latest: 4, DurationSlots: 2}}
			_, err := Plan(r)
			So(err, ShouldNotBeNil)
			So(isProvenInfeasible(err), ShouldBeTrue)
			So(err.Error(), ShouldEqual, "window kernel of node e0 cannot be scheduled: lookups in region r in slot 0: 55.0 requests/s required, 50.0 remaining; it would fit with latest slot 6 instead of 4")
		})
		Convey("if the windows do not fit together, the error states whether that is proven", func() {
			r.Windows[0].Latest = 4
			r.Demands[0].Floor = 50
			_, err := Plan(r)
			So(err, ShouldNotBeNil)
			So(isProvenInfeasible(err), ShouldBeTrue)
			So(exhaustiveMakespan(&Request{Nodes: r.Nodes, FaultTolerance: r.FaultTolerance, SlotCount: 4, Demands: r.Demands, Windows: []WindowRequest{{Name: "kernel", Nodes: nodeNames(0, 4), Latest: 4, DurationSlots: 2}}}), ShouldEqual, -1)
		})
	})
	Convey("Invalid requests are rejected", t, func() {
		for _, test := range []struct {
			windows []WindowRequest
			want    string
		}{
			{[]WindowRequest{{Name: "a", Nodes: []string{"nobody"}, Latest: 9, DurationSlots: 1}}, "nobody is not known"},
			{[]WindowRequest{{Name: "a", Nodes: nodeNames(0, 1), Earliest: 8, Latest: 9, DurationSlots: 2}}, "no room between"},
			{[]WindowRequest{{Name: "a", Nodes: nodeNames(0, 1), Latest: 9, DurationSlots: 1}, {Name: "b", Nodes: nodeNames(0, 1), Latest: 9, DurationSlots: 1}}, "already listed in window a"},
			{[]WindowRequest{{Name: "a", Nodes: nodeNames(0, 1), Latest: 9, DurationSlots: 1, After: []string{"b"}}, {Name: "b", Nodes: nodeNames(1, 2), Latest: 9, DurationSlots: 1, After: []string{"a"}}}, "dependencies form a cycle"},
		} {
			r := &Request{Nodes: testNodes(3, 3), SlotCount: 9, Windows: test.windows}
			So(r.Validate(), ShouldNotBeNil)
			So(r.Validate().Error(), ShouldContainSubstring, test.want)
		}
	})
}

// randomRequest generates a small random request.
func randomRequest(seed uint64, nodes, slots int) *Request {
	random := rand.New(rand.NewPCG(seed, 1))
	r := &Request{Nodes: testNodes(nodes, 3), SlotCount: slots, FaultTolerance: capacity.FaultTolerance{Zones: random.IntN(2)}}
	for i := range r.Nodes {
		r.Nodes[i].Capacity[capacity.Lookups] = 5 + 10*random.Float64()
	}
	demand := Demand{Region: "r", Group: capacity.Lookups, Floor: float64(nodes) * 2}
	for range slots {
		demand.Forecast = append(demand.Forecast, float64(nodes)*10*(0.2+0.4*random.Float64()))
	}
	r.Demands = append(r.Demands, demand)
	for at := 0; at < nodes-1; {
		count := 1 + random.IntN(2)
		window := WindowRequest{Name: fmt.Sprintf("w%d", len(r.Windows)), Nodes: nodeNames(at, min(at+count, nodes-1)), DurationSlots: 1 + random.IntN(2), Earliest: random.IntN(2), MaxConcurrent: random.IntN(2)}
		window.Latest = slots - random.IntN(2)
		if len(r.Windows) > 0 && random.IntN(3) == 0 {
			window.Conflicts = []string{"w0"}
		}
		r.Windows = append(r.Windows, window)
		at += count
	}
	return r
}

// TestPlanAgainstExhaustiveSearch guards against schedules that are invalid or not the shortest, and against false claims of infeasibility.
func TestPlanAgainstExhaustiveSearch(t *testing.T) {
	planned, infeasible, greedyOptimal, greedyLonger := 0, 0, 0, 0
	for seed := range uint64(150) {
		r := randomRequest(seed, 5, 6)
		if err := r.Validate(); err != nil {
			t.Fatal(err)
		}
		best := exhaustiveMakespan(r)
		schedule, err := Plan(r)
		if err != nil {
			if best >= 0 && isProvenInfeasible(err) {
				t.Fatalf("seed %d: reported as infeasible, but a schedule with makespan %d exists: %v", seed, best, err)
			}
			infeasible++
			continue
		}
		if err := r.Verify(schedule); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if planned++; schedule.Makespan != best {
			t.Errorf("seed %d: makespan = %d, want %d", seed, schedule.Makespan, best)
		}
		if g, err := Greedy(r); err == nil && g.Makespan == best {
			greedyOptimal++
		} else {
			greedyLonger++
		}
	}
	t.Logf("%d requests planned (greedy optimal for %d, longer or none for %d), %d infeasible", planned, greedyOptimal, greedyLonger, infeasible)
	if planned < 40 || infeasible < 5 || greedyLonger == 0 {
		t.Error("the random requests do not cover enough cases")
	}
}

// BenchmarkPlan plans one week in half-hour slots with 1,000 nodes and 200 windows.
func BenchmarkPlan(b *testing.B) {
	r := generateWeek(1, 1000, 200)
	for b.Loop() {
		schedule, err := Plan(r)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(schedule.Makespan), "slots")
	}
}
