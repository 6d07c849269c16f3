package maintenanceplanner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/dataplane/capacity"
)

// fleet is n nodes over zones of one region, each carrying 10 lookups and 3 orders a second.
func fleet(n, zones int) (nodes []capacity.Node) {
	for i := range n {
		nodes = append(nodes, capacity.Node{Name: fmt.Sprintf("e%d", i), Zone: string(rune('a' + i%zones)), Region: "r",
			Capacity: map[string]float64{capacity.Lookups: 10, capacity.Orders: 3}})
	}
	return
}

func names(from, to int) (all []string) {
	for i := from; i < to; i++ {
		all = append(all, fmt.Sprintf("e%d", i))
	}
	return
}

func TestTimetable(t *testing.T) {
	Convey("Given nine nodes in three zones, of which one zone must be borne lost, and 40 lookups a second agreed", t, func() {
		r := &Request{Nodes: fleet(9, 3), FaultTolerance: capacity.FaultTolerance{Zones: 1, Machines: 1}, SlotCount: 24, Demands: []Demand{{Region: "r", Group: capacity.Lookups, Floor: 40}},
			Windows: []WindowRequest{{Name: "kernel", Nodes: names(0, 9), Latest: 24, DurationSlots: 2}}}
		So(r.Validate(), ShouldBeNil)
		Convey("a whole zone may go at once, as its loss costs nothing more, and others two at a time", func() {
			tt, proof := Plan(r)
			So(proof, ShouldBeNil)
			So(r.Verify(tt), ShouldBeNil)
			So(tt.Makespan, ShouldBeLessThan, 18)
		})
		Convey("one that is asked to be done alone, after another and apart from a third, is", func() {
			r.Windows = []WindowRequest{{Name: "x", Nodes: names(0, 2), Latest: 24, DurationSlots: 2, MaxConcurrent: 1}, {Name: "y", Nodes: names(2, 4), Latest: 24, DurationSlots: 2, After: []string{"x"}},
				{Name: "z", Nodes: names(4, 5), Latest: 24, DurationSlots: 3, Conflicts: []string{"y"}}}
			So(r.Validate(), ShouldBeNil)
			tt, proof := Plan(r)
			So(proof, ShouldBeNil)
			So(r.Verify(tt), ShouldBeNil)
			So(tt.Optimal, ShouldBeTrue)
			So(tt.Makespan, ShouldEqual, 6)
		})
		Convey("a forecast above what is agreed holds windows back until it is over", func() {
			r.Demands[0].Forecast = []float64{60, 60, 60, 60, 60, 45}
			r.Windows[0].Nodes = names(0, 1)
			tt, proof := Plan(r)
			So(proof, ShouldBeNil)
			So(tt.Assignments[0].Start, ShouldEqual, 5)
		})
		Convey("where no node can ever be spared, the words name the floor, the slot, what lacks and what would do", func() {
			r.Demands[0].Forecast = []float64{55, 55, 55, 55}
			r.Windows = []WindowRequest{{Name: "kernel", Nodes: names(0, 1), Latest: 4, DurationSlots: 2}}
			_, proof := Plan(r)
			So(proof, ShouldNotBeNil)
			So(proof.Proven, ShouldBeTrue)
			So(proof.Error(), ShouldEqual, "kernel of e0 cannot be placed: lookups of r in slot 0: 55.0 a second are needed, 50.0 would be left; it would fit if its latest were slot 6 in place of 4")
		})
		Convey("where they do not fit together, it is said whether that is certain", func() {
			r.Windows[0].Latest = 4
			r.Demands[0].Floor = 50
			_, proof := Plan(r)
			So(proof, ShouldNotBeNil)
			So(proof.Proven, ShouldBeTrue)
			So(ExhaustiveMakespan(&Request{Nodes: r.Nodes, FaultTolerance: r.FaultTolerance, SlotCount: 4, Demands: r.Demands, Windows: []WindowRequest{{Name: "kernel", Nodes: names(0, 4), Latest: 4, DurationSlots: 2}}}), ShouldEqual, -1)
		})
	})
	Convey("Requests that make no sense are named", t, func() {
		for _, x := range []struct {
			w    []WindowRequest
			says string
		}{
			{[]WindowRequest{{Name: "a", Nodes: []string{"nobody"}, Latest: 9, DurationSlots: 1}}, "nobody is not known"},
			{[]WindowRequest{{Name: "a", Nodes: names(0, 1), Earliest: 8, Latest: 9, DurationSlots: 2}}, "no time between"},
			{[]WindowRequest{{Name: "a", Nodes: names(0, 1), Latest: 9, DurationSlots: 1}, {Name: "b", Nodes: names(0, 1), Latest: 9, DurationSlots: 1}}, "asked for by a too"},
			{[]WindowRequest{{Name: "a", Nodes: names(0, 1), Latest: 9, DurationSlots: 1, After: []string{"b"}}, {Name: "b", Nodes: names(1, 2), Latest: 9, DurationSlots: 1, After: []string{"a"}}}, "circle"},
		} {
			r := &Request{Nodes: fleet(3, 3), SlotCount: 9, Windows: x.w}
			So(r.Validate(), ShouldNotBeNil)
			So(r.Validate().Error(), ShouldContainSubstring, x.says)
		}
	})
}

// drawn is a small request by chance.
func drawn(seed uint64, nodes, slots int) *Request {
	c := rand.New(rand.NewPCG(seed, 1))
	r := &Request{Nodes: fleet(nodes, 3), SlotCount: slots, FaultTolerance: capacity.FaultTolerance{Zones: c.IntN(2)}}
	for i := range r.Nodes {
		r.Nodes[i].Capacity[capacity.Lookups] = 5 + 10*c.Float64()
	}
	n := Demand{Region: "r", Group: capacity.Lookups, Floor: float64(nodes) * 2}
	for range slots {
		n.Forecast = append(n.Forecast, float64(nodes)*10*(0.2+0.4*c.Float64()))
	}
	r.Demands = append(r.Demands, n)
	for at := 0; at < nodes-1; {
		k := 1 + c.IntN(2)
		w := WindowRequest{Name: fmt.Sprintf("w%d", len(r.Windows)), Nodes: names(at, min(at+k, nodes-1)), DurationSlots: 1 + c.IntN(2), Earliest: c.IntN(2), MaxConcurrent: c.IntN(2)}
		w.Latest = slots - c.IntN(2)
		if len(r.Windows) > 0 && c.IntN(3) == 0 {
			w.Conflicts = []string{"w0"}
		}
		r.Windows = append(r.Windows, w)
		at += k
	}
	return r
}

// TestAgainstAll compares plans of small requests with every plan that there is.
func TestAgainstAll(t *testing.T) {
	plans, none, same, longer := 0, 0, 0, 0
	for seed := range uint64(150) {
		r := drawn(seed, 5, 6)
		if err := r.Validate(); err != nil {
			t.Fatal(err)
		}
		best := ExhaustiveMakespan(r)
		tt, proof := Plan(r)
		if proof != nil {
			if best >= 0 && proof.Proven {
				t.Fatalf("seed %d: said to be impossible, %d slots are enough: %v", seed, best, proof)
			}
			none++
			continue
		}
		if err := r.Verify(tt); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if plans++; tt.Makespan != best {
			t.Errorf("seed %d: %d slots, the best is %d", seed, tt.Makespan, best)
		}
		if g, p := Greedy(r); p == nil && g.Makespan == best {
			same++
		} else {
			longer++
		}
	}
	t.Logf("%d requests have a timetable, each found as short as can be; greedy finds as short a one for %d, a longer one or none for %d; %d have none", plans, same, longer, none)
	if plans < 40 || none < 5 || longer == 0 {
		t.Error("the requests test too little")
	}
}

// BenchmarkPlan is a week in slots of half an hour, 1,000 nodes over three regions of four zones, 200 windows.
func BenchmarkPlan(b *testing.B) {
	r := GenerateWeek(1, 1000, 200)
	for b.Loop() {
		tt, proof := Plan(r)
		if proof != nil {
			b.Fatal(proof)
		}
		b.ReportMetric(float64(tt.Makespan), "slots")
	}
}
