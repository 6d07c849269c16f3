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
			Carries: map[string]float64{capacity.Lookups: 10, capacity.Orders: 3}})
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
		r := &Request{Nodes: fleet(9, 3), Losses: capacity.Losses{Zones: 1, Machines: 1}, Slots: 24, Need: []Need{{Region: "r", Group: capacity.Lookups, Agreed: 40}},
			Wishes: []Wish{{Name: "kernel", Nodes: names(0, 9), Latest: 24, Takes: 2}}}
		So(r.Check(), ShouldBeNil)
		Convey("a whole zone may go at once, as its loss costs nothing more, and others two at a time", func() {
			tt, proof := Plan(r)
			So(proof, ShouldBeNil)
			So(r.Holds(tt), ShouldBeNil)
			So(tt.Length, ShouldBeLessThan, 18)
		})
		Convey("one that is asked to be done alone, after another and apart from a third, is", func() {
			r.Wishes = []Wish{{Name: "x", Nodes: names(0, 2), Latest: 24, Takes: 2, Together: 1}, {Name: "y", Nodes: names(2, 4), Latest: 24, Takes: 2, After: []string{"x"}},
				{Name: "z", Nodes: names(4, 5), Latest: 24, Takes: 3, Apart: []string{"y"}}}
			So(r.Check(), ShouldBeNil)
			tt, proof := Plan(r)
			So(proof, ShouldBeNil)
			So(r.Holds(tt), ShouldBeNil)
			So(tt.Best, ShouldBeTrue)
			So(tt.Length, ShouldEqual, 6)
		})
		Convey("a forecast above what is agreed holds windows back until it is over", func() {
			r.Need[0].At = []float64{60, 60, 60, 60, 60, 45}
			r.Wishes[0].Nodes = names(0, 1)
			tt, proof := Plan(r)
			So(proof, ShouldBeNil)
			So(tt.Turns[0].From, ShouldEqual, 5)
		})
		Convey("where no node can ever be spared, the words name the floor, the slot, what lacks and what would do", func() {
			r.Need[0].At = []float64{55, 55, 55, 55}
			r.Wishes = []Wish{{Name: "kernel", Nodes: names(0, 1), Latest: 4, Takes: 2}}
			_, proof := Plan(r)
			So(proof, ShouldNotBeNil)
			So(proof.Sure, ShouldBeTrue)
			So(proof.Error(), ShouldEqual, "kernel of e0 cannot be placed: lookups of r in slot 0: 55.0 a second are needed, 50.0 would be left; it would fit if its latest were slot 6 in place of 4")
		})
		Convey("where they do not fit together, it is said whether that is certain", func() {
			r.Wishes[0].Latest = 4
			r.Need[0].Agreed = 50
			_, proof := Plan(r)
			So(proof, ShouldNotBeNil)
			So(proof.Sure, ShouldBeTrue)
			So(All(&Request{Nodes: r.Nodes, Losses: r.Losses, Slots: 4, Need: r.Need, Wishes: []Wish{{Name: "kernel", Nodes: names(0, 4), Latest: 4, Takes: 2}}}), ShouldEqual, -1)
		})
	})
	Convey("Requests that make no sense are named", t, func() {
		for _, x := range []struct {
			w    []Wish
			says string
		}{
			{[]Wish{{Name: "a", Nodes: []string{"nobody"}, Latest: 9, Takes: 1}}, "nobody is not known"},
			{[]Wish{{Name: "a", Nodes: names(0, 1), Earliest: 8, Latest: 9, Takes: 2}}, "no time between"},
			{[]Wish{{Name: "a", Nodes: names(0, 1), Latest: 9, Takes: 1}, {Name: "b", Nodes: names(0, 1), Latest: 9, Takes: 1}}, "asked for by a too"},
			{[]Wish{{Name: "a", Nodes: names(0, 1), Latest: 9, Takes: 1, After: []string{"b"}}, {Name: "b", Nodes: names(1, 2), Latest: 9, Takes: 1, After: []string{"a"}}}, "circle"},
		} {
			r := &Request{Nodes: fleet(3, 3), Slots: 9, Wishes: x.w}
			So(r.Check(), ShouldNotBeNil)
			So(r.Check().Error(), ShouldContainSubstring, x.says)
		}
	})
}

// drawn is a small request by chance.
func drawn(seed uint64, nodes, slots int) *Request {
	c := rand.New(rand.NewPCG(seed, 1))
	r := &Request{Nodes: fleet(nodes, 3), Slots: slots, Losses: capacity.Losses{Zones: c.IntN(2)}}
	for i := range r.Nodes {
		r.Nodes[i].Carries[capacity.Lookups] = 5 + 10*c.Float64()
	}
	n := Need{Region: "r", Group: capacity.Lookups, Agreed: float64(nodes) * 2}
	for range slots {
		n.At = append(n.At, float64(nodes)*10*(0.2+0.4*c.Float64()))
	}
	r.Need = append(r.Need, n)
	for at := 0; at < nodes-1; {
		k := 1 + c.IntN(2)
		w := Wish{Name: fmt.Sprintf("w%d", len(r.Wishes)), Nodes: names(at, min(at+k, nodes-1)), Takes: 1 + c.IntN(2), Earliest: c.IntN(2), Together: c.IntN(2)}
		w.Latest = slots - c.IntN(2)
		if len(r.Wishes) > 0 && c.IntN(3) == 0 {
			w.Apart = []string{"w0"}
		}
		r.Wishes = append(r.Wishes, w)
		at += k
	}
	return r
}

// TestAgainstAll compares plans of small requests with every plan that there is.
func TestAgainstAll(t *testing.T) {
	plans, none, same, longer := 0, 0, 0, 0
	for seed := range uint64(150) {
		r := drawn(seed, 5, 6)
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
		best := All(r)
		tt, proof := Plan(r)
		if proof != nil {
			if best >= 0 && proof.Sure {
				t.Fatalf("seed %d: said to be impossible, %d slots are enough: %v", seed, best, proof)
			}
			none++
			continue
		}
		if err := r.Holds(tt); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if plans++; tt.Length != best {
			t.Errorf("seed %d: %d slots, the best is %d", seed, tt.Length, best)
		}
		if g, p := Greedy(r); p == nil && g.Length == best {
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
	r := Week(1, 1000, 200)
	for b.Loop() {
		tt, proof := Plan(r)
		if proof != nil {
			b.Fatal(proof)
		}
		b.ReportMetric(float64(tt.Length), "slots")
	}
}
