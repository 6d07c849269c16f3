package intake

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/rules"
)

func gauge(r int, metric LoadMetric, v float64, at rules.Time) MachineLoad {
	return MachineLoad{Replica: rules.ReplicaID(r), Metric: metric, Kind: Gauge, Value: v, Scale: 1, MeasuredAt: at}
}

func stats(utilization float64, attempts, dropped int) rules.EndpointStats {
	s := rules.EndpointStats{Replica: 1, Attempts: attempts, Dropped: dropped, Window: time.Second, Report: unreported}
	s.Report.Utilization = utilization
	return s
}

// TestMachineLoadCauses checks which readings are accepted, and the cause of each rejection.
func TestMachineLoadCauses(t *testing.T) {
	in := New(settings())
	now := 1000 * second
	for i, c := range []struct {
		l    MachineLoad
		want Cause
	}{
		{gauge(1, Utilization, 0.5, now-second), Kept}, {gauge(1, Utilization, 0.4, now-second), Repeated}, {gauge(1, Utilization, 0.4, now-2*second), Repeated},
		{gauge(1, Utilization, 0.4, now+2*second), InFuture}, {gauge(1, Utilization, 0.4, now+3600*second), InFuture}, {gauge(1, Utilization, 0.4, now-3600*second), TooOld},
		{gauge(1, Utilization, math.NaN(), now), Impossible}, {gauge(1, Utilization, math.Inf(1), now), Impossible}, {gauge(1, Utilization, math.Inf(-1), now), Impossible},
		{gauge(1, Utilization, -0.1, now), Impossible}, {gauge(1, Utilization, 80, now), Impossible}, {gauge(1, Utilization, 1.2, now), Kept},
		{gauge(1, InFlight, 7, now), Kept}, {gauge(1, InFlight, 1e9, now+second), Impossible}, {gauge(1, LatencyMS, 40, now+second/2), Kept},
		{MachineLoad{Replica: 1, Metric: 9, MeasuredAt: now}, Impossible}, {MachineLoad{Replica: 1, Metric: -1, MeasuredAt: now}, Impossible},
	} {
		if got := in.AddLoad(now, c.l); got != c.want {
			t.Errorf("%d: %+v counts as %v, want %v", i, c.l, got, c.want)
		}
	}
	s, _ := in.AdjustStats(now, now, stats(rules.Absent, 10, 0))
	if s.Report.Utilization != 1 || s.Report.InFlight != 7 || s.Report.ServiceTime != 40 {
		t.Errorf("%+v", s.Report)
	}
}

// TestMachineLoadCounters checks the rates of counters that wrap at 32 and 64 bits, derives that are reset, and absolutes.
func TestMachineLoadCounters(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   Kind
		counts []uint64
		want   float64 // rate per second; below 0: none
	}{
		{"counter", Counter, []uint64{100, 300}, 20}, {"first reading of a counter", Counter, []uint64{100}, -1},
		{"wrap at 32 bits", Counter, []uint64{math.MaxUint32 - 49, 50}, 10}, {"wrap at 64 bits", Counter, []uint64{math.MaxUint64 - 49, 50}, 10},
		{"derive", Derive, []uint64{100, 300}, 20}, {"reset of a derive", Derive, []uint64{300, 100}, -1},
		{"derive after a reset", Derive, []uint64{300, 100, 200}, 10}, {"absolute", Absolute, []uint64{50}, 5},
	} {
		in := New(settings())
		now := 1000 * second
		for i, n := range c.counts {
			now = rules.Time(1000+10*i) * second
			if cause := in.AddLoad(now, MachineLoad{Replica: 1, Metric: InFlight, Kind: c.kind, Count: n, Interval: 10 * time.Second, Scale: 1, MeasuredAt: now}); cause != Kept {
				t.Errorf("%s: %v", c.name, cause)
			}
		}
		s, _ := in.AdjustStats(now, now, stats(0.5, 10, 0))
		if got := s.Report.InFlight; got != c.want && (c.want >= 0 || got != rules.Absent) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestMachineAndProxyReports checks which utilization applies if both proxies and a machine report a replica: the newer one, a
// lower one only by its age weight, and the lower one if attempts are dropped.
func TestMachineAndProxyReports(t *testing.T) {
	now := 1000 * second
	for _, c := range []struct {
		name        string
		machine     float64
		age         time.Duration
		proxies     float64
		dropped     int
		least, most float64
	}{
		{"higher and newer", 0.9, 0, 0.5, 0, 0.9, 0.9},
		{"older", 0.9, 2 * time.Second, 0.5, 0, 0.5, 0.5},
		{"lower and fresh", 0.1, 0, 0.5, 0, 0.1, 0.1},
		{"machine only", 0.9, 3 * time.Second, rules.Absent, 0, 0.9, 1},
		{"machine only, low and old", 0, 9 * time.Second, rules.Absent, 0, 0.9, 1},
		{"attempts are dropped and the machine is busy", 0.95, 0, 0.1, 5, 0.1, 0.1},
		{"attempts are dropped and the machine is idle", 0.1, 0, 0.9, 5, 0.1, 0.1},
	} {
		in := New(settings())
		if c.proxies >= 0 { // sets the previous utilization
			in.AddLoad(now-12*second, gauge(1, Utilization, 0.5, now-12*second))
			in.AdjustStats(now-9*second, now-9*second, stats(c.proxies, 10, 0))
		}
		if cause := in.AddLoad(now, gauge(1, Utilization, c.machine, now-rules.Time(c.age))); cause != Kept {
			t.Fatal(c.name, cause)
		}
		s, _ := in.AdjustStats(now, now, stats(c.proxies, 10, c.dropped))
		if got := s.Report.Utilization; got < c.least-1e-9 || got > c.most+1e-9 {
			t.Errorf("%s: %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}

// TestMachinesAnyOrder adds a machine's readings in any order, with duplicates: the newest applies, and the utilization is never
// lower than in the newest reading.
func TestMachinesAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := New(settings())
		newest, value := rules.Time(-1), 0.0
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			at := 1000*second + rules.Time(rapid.IntRange(-5, 0).Draw(t, "at"))*second
			util := rapid.Float64Range(0, 1).Draw(t, "util")
			if cause := in.AddLoad(1000*second, gauge(1, Utilization, util, at)); (cause == Kept) != (at > newest) {
				t.Fatalf("reading of %v after %v: %v", at, newest, cause)
			}
			if at > newest {
				newest, value = at, util
			}
		}
		s, _ := in.AdjustStats(1000*second, 1000*second, stats(rules.Absent, 10, 0))
		if s.Report.Utilization < value-1e-9 || s.Report.Utilization > 1 {
			t.Fatalf("the newest reading is %v, the reported utilization %v", value, s.Report.Utilization)
		}
	})
}

// TestHungWithIdleMachine has a replica hang while its machine reports low load: the reports must not delay its ejection or
// readmit it, and no other replica may be ejected.
func TestHungWithIdleMachine(t *testing.T) {
	ejectedAfter := func(machines bool) (at int, weights []float64) {
		in := New(settings())
		var gov rules.Governor
		now, timerID := 1000*second, uint64(0)
		weights = make([]float64, 6)
		step := func(events ...rules.Event) {
			for _, o := range gov.Step(now, events) {
				switch o := o.(type) {
				case rules.WakeAfter:
					timerID = o.TimerID
				case rules.EndpointWeight:
					weights[o.Replica] = o.Weight
				}
			}
		}
		var list []rules.Entry
		for r := range weights {
			list = append(list, rules.Entry{Replica: rules.ReplicaID(r), State: rules.Ready, Listed: 1})
		}
		step(rules.Start{Settings: rules.Settings{Groups: []rules.TrafficGroup{{Name: "look", LatencyBudget: time.Second}}, Governors: 1, Proxies: 2,
			Zones: 1, Period: time.Second, EntryRate: 3000, EntryCapacity: 6000, MessageEntries: 4, MessageSpan: 10 * time.Second, WarmupTime: 18 * time.Second,
			ColdCapacity: 0.2, DrainGrace: 2 * time.Second}}, rules.List{Scope: rules.Full, Entries: list}, rules.Joined{Proxy: 1, FlowRate: 50, Fresh: true})
		for q := range 80 {
			now += second / 4
			if machines {
				for r := range weights {
					util := 0.5
					if r == 2 {
						util = 0.01
					}
					in.AddLoad(now, gauge(r, Utilization, util, now))
				}
			}
			var events []rules.Event
			for r, w := range weights {
				if hung := r == 2 && q >= 20; q%4 == 0 && !hung {
					if s, ok := in.AdjustStats(now, now, rules.EndpointStats{Replica: rules.ReplicaID(r), Attempts: int(w) * 3, Window: time.Second, MeanLatency: 50 * time.Millisecond,
						Report: rules.LoadReport{Utilization: 0.5}}); ok {
						events = append(events, s)
					}
				}
			}
			step(append(events, rules.Wake{TimerID: timerID}, rules.Applied{Proxy: 1})...)
			if at == 0 && q >= 20 && weights[2] < 100.0/6/4 {
				at = q - 20
			}
			if at > 0 && weights[2] > 100.0/6/4 {
				t.Fatalf("quarter %d: the hung replica has weight %.1f again", q, weights[2])
			}
		}
		return at, weights
	}
	without, _ := ejectedAfter(false)
	with, weights := ejectedAfter(true)
	if without == 0 || with > without || with == 0 {
		t.Errorf("ejected after %d quarters of a second without and %d with machine readings", without, with)
	}
	for r, w := range weights {
		if r != 2 && w < 100.0/6/2 {
			t.Errorf("replica %d has weight %.1f", r, w)
		}
	}
}
