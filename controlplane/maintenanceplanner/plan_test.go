package maintenanceplanner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/capacity"
)

// fleet is n nodes over zones of one region, each of which can serve 10 lookups and 3 orders a second.
func fleet(n, zones int) (nodes []capacity.Node) {
	for i := range n {
		nodes = append(nodes, capacity.Node{Name: fmt.Sprintf("e%d", i), Zone: string(rune('a' + i%zones)), Region: "r",
			Capacity: map[string]float64{capacity.Lookups: 10, capacity.Orders: 3}})
	}
	return nodes
}

// names lists the names of nodes [from, to).
func names(from, to int) (all []string) {
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf("e%d", i))
	}
	return all
}

// provenInfeasible reports whether an error says that no schedule exists.
func provenInfeasible(err error) bool {
	var infeasible *InfeasibleError
	return errors.As(err, &infeasible) && infeasible.Proven
}

func TestPlan(t *testing.T) {
	Convey("Given nine nodes in three zones, of which one zone may be lost, and a floor of 40 lookups a second", t, func() {
		r := &Request{Nodes: fleet(9, 3), FaultTolerance: capacity.FaultTolerance{Zones: 1, Machines: 1}, SlotCount: 24, Demands: []Demand{{Region: "r", Group: capacity.Lookups, Floor: 40}},
			Windows: []WindowRequest{{Name: "kernel", Nodes: names(0, 9), Latest: 24, DurationSlots: 2}}}
		So(r.Validate(), ShouldBeNil)
		Convey("all nodes of a zone may be out at once, as its loss costs nothing more, and others two at a time", func() {
			schedule, err := Plan(r)
			So(err, ShouldBeNil)
			So(r.Verify(schedule), ShouldBeNil)
			So(schedule.Makespan, ShouldBeLessThan, 18)
		})
		Convey("a limit of concurrent nodes, an order of windows and a conflict are kept", func() {
			r.Windows = []WindowRequest{{Name: "x", Nodes: names(0, 2), Latest: 24, DurationSlots: 2, MaxConcurrent: 1}, {Name: "y", Nodes: names(2, 4), Latest: 24, DurationSlots: 2, After: []string{"x"}},
				{Name: "z", Nodes: names(4, 5), Latest: 24, DurationSlots: 3, Conflicts: []string{"y"}}}
			So(r.Validate(), ShouldBeNil)
			schedule, err := Plan(r)
			So(err, ShouldBeNil)
			So(r.Verify(schedule), ShouldBeNil)
			So(schedule.Optimal, ShouldBeTrue)
			So(schedule.Makespan, ShouldEqual, 6)
		})
		Convey("a forecast above the floor delays windows until it is over", func() {
			r.Demands[0].Forecast = []float64{60, 60, 60, 60, 60, 45}
			r.Windows[0].Nodes = names(0, 1)
			schedule, err := Plan(r)
			So(err, ShouldBeNil)
			So(schedule.Assignments[0].Start, ShouldEqual, 5)
		})
		Convey("where no node can ever be spared, the error names the demand, the slot, what is missing and what would do", func() {
			r.Demands[0].Forecast = []float64{55, 55, 55, 55}
			r.Windows = []WindowRequest{{Name: "kernel", Nodes: names(0, 1), Latest: 4, DurationSlots: 2}}
			_, err := Plan(r)
			So(err, ShouldNotBeNil)
			So(provenInfeasible(err), ShouldBeTrue)
			So(err.Error(), ShouldEqual, "kernel of e0 cannot be placed: lookups of r in slot 0: 55.0 a second are needed, 50.0 would be left; it would fit if its latest were slot 6 in place of 4")
		})
		Convey("where windows do not fit together, the error says whether that is proven", func() {
			r.Windows[0].Latest = 4
			r.Demands[0].Floor = 50
			_, err := Plan(r)
			So(err, ShouldNotBeNil)
			So(provenInfeasible(err), ShouldBeTrue)
			So(exhaustiveMakespan(&Request{Nodes: r.Nodes, FaultTolerance: r.FaultTolerance, SlotCount: 4, Demands: r.Demands, Windows: []WindowRequest{{Name: "kernel", Nodes: names(0, 4), Latest: 4, DurationSlots: 2}}}), ShouldEqual, -1)
		})
	})
	Convey("Requests that make no sense are rejected", t, func() {
		for _, test := range []struct {
			windows []WindowRequest
			want    string
		}{
			{[]WindowRequest{{Name: "a", Nodes: []string{"nobody"}, Latest: 9, DurationSlots: 1}}, "nobody is not known"},
			{[]WindowRequest{{Name: "a", Nodes: names(0, 1), Earliest: 8, Latest: 9, DurationSlots: 2}}, "no time between"},
			{[]WindowRequest{{Name: "a", Nodes: names(0, 1), Latest: 9, DurationSlots: 1}, {Name: "b", Nodes: names(0, 1), Latest: 9, DurationSlots: 1}}, "asked for by a too"},
			{[]WindowRequest{{Name: "a", Nodes: names(0, 1), Latest: 9, DurationSlots: 1, After: []string{"b"}}, {Name: "b", Nodes: names(1, 2), Latest: 9, DurationSlots: 1, After: []string{"a"}}}, "circle"},
		} {
			r := &Request{Nodes: fleet(3, 3), SlotCount: 9, Windows: test.windows}
			So(r.Validate(), ShouldNotBeNil)
			So(r.Validate().Error(), ShouldContainSubstring, test.want)
		}
	})
}

// randomRequest is a small request by chance.
func randomRequest(seed uint64, nodes, slots int) *Request {
	random := rand.New(rand.NewPCG(seed, 1))
	r := &Request{Nodes: fleet(nodes, 3), SlotCount: slots, FaultTolerance: capacity.FaultTolerance{Zones: random.IntN(2)}}
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
		window := WindowRequest{Name: fmt.Sprintf("w%d", len(r.Windows)), Nodes: names(at, min(at+count, nodes-1)), DurationSlots: 1 + random.IntN(2), Earliest: random.IntN(2), MaxConcurrent: random.IntN(2)}
		window.Latest = slots - random.IntN(2)
		if len(r.Windows) > 0 && random.IntN(3) == 0 {
			window.Conflicts = []string{"w0"}
		}
		r.Windows = append(r.Windows, window)
		at += count
	}
	return r
}

// TestPlanAgainstExhaustiveSearch compares the schedules of small requests with every schedule that there is.
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
			if best >= 0 && provenInfeasible(err) {
				t.Fatalf("seed %d: said to be infeasible, %d slots are enough: %v", seed, best, err)
			}
			infeasible++
			continue
		}
		if err := r.Verify(schedule); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if planned++; schedule.Makespan != best {
			t.Errorf("seed %d: %d slots, the best is %d", seed, schedule.Makespan, best)
		}
		if g, err := Greedy(r); err == nil && g.Makespan == best {
			greedyOptimal++
		} else {
			greedyLonger++
		}
	}
	t.Logf("%d requests have a schedule, each found as short as can be; greedy finds as short a one for %d, a longer one or none for %d; %d are infeasible", planned, greedyOptimal, greedyLonger, infeasible)
	if planned < 40 || infeasible < 5 || greedyLonger == 0 {
		t.Error("the requests cover too little")
	}
}

// BenchmarkPlan is a week in slots of half an hour, 1,000 nodes over three regions of four zones, 200 windows.
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
