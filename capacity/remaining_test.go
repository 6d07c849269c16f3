package capacity

import (
	"math"
	"testing"
	"time"
)

// nodes returns three zones of a region with 10, 20 and 30 orders per second, and a node of another region.
func nodes() []Node {
	return []Node{
		{Name: "a", Zone: "za", Region: "r", Capacity: map[string]float64{Orders: 10}},
		{Name: "b", Zone: "zb", Region: "r", Capacity: map[string]float64{Orders: 20}},
		{Name: "c1", Zone: "zc", Region: "r", Capacity: map[string]float64{Orders: 14}},
		{Name: "c2", Zone: "zc", Region: "r", Capacity: map[string]float64{Orders: 16}},
		{Name: "d", Zone: "zd", Region: "other", Capacity: map[string]float64{Orders: 1000}},
	}
}

func TestRemainingAfterLosses(t *testing.T) {
	for _, test := range []struct {
		name      string
		out       []string
		tolerance FaultTolerance
		want      float64
	}{
		{"nothing lost", nil, FaultTolerance{}, 60},
		{"strongest machine", nil, FaultTolerance{Machines: 1}, 40},
		{"strongest zone", nil, FaultTolerance{Machines: 1, Zones: 1}, 30},
		{"two zones", nil, FaultTolerance{Zones: 2}, 10},
		{"never all zones", nil, FaultTolerance{Zones: 5}, 10},
		{"all remaining nodes in one zone", []string{"a", "b"}, FaultTolerance{Zones: 1}, 0},
		{"a node is out", []string{"b"}, FaultTolerance{Machines: 1}, 24},
	} {
		out := map[string]bool{}
		for _, name := range test.out {
			out[name] = true
		}
		got := RemainingAfterLosses(nodes(), "r", Orders, func(name string) bool { return out[name] }, test.tolerance)
		if got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestMeter(t *testing.T) {
	serve := func(m *Meter, count, late int) {
		for i := range count {
			m.RecordServed(Orders, i < late)
		}
	}
	for _, test := range []struct {
		name        string
		count, late int
		busy        float64
		want        float64 // orders per second; NaN: no estimate
	}{
		{"half busy: twice the throughput", 100, 0, 0.5, 200},
		{"utilization too low", 100, 0, 0.01, math.NaN()},
		{"many late responses at low utilization", 100, 6, 0.01, 100},
		{"few late responses at low utilization", 100, 5, 0.01, math.NaN()},
		{"nothing served", 0, 0, 0.9, math.NaN()},
	} {
		var m Meter
		serve(&m, test.count, test.late)
		got, ok := m.Sample(time.Second, test.busy)[Orders]
		if ok == math.IsNaN(test.want) || ok && got != test.want {
			t.Errorf("%s: %v, %v, want %v", test.name, got, ok, test.want)
		}
	}
	var m Meter
	serve(&m, 100, 0)
	m.Sample(time.Second, 1)
	serve(&m, 200, 0)
	if got := m.Sample(time.Second, 1)[Orders]; math.Abs(got-120) > 1e-9 {
		t.Errorf("smoothed to %v, want 120", got)
	}
}
