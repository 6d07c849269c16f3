package recovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/rules"
)

const second = rules.Time(time.Second)

var testSettings = Settings{HalfLife: 10 * time.Minute, MaxAge: 24 * time.Hour}

// storedState has replicas without a start time, of which those with even IDs are 2.5 times as fast as the others.
func storedState(n int, confirmedAt rules.Time) State {
	k := State{Governor: "n1", Discovery: "d", Version: 7, ConfirmedAt: confirmedAt, WrittenAt: confirmedAt + second, NextReplicaID: rules.ReplicaID(n)}
	for i := range n {
		id := rules.ReplicaID(i)
		k.Replicas = append(k.Replicas, Replica{Name: fmt.Sprint("s", i), Entry: rules.Entry{Replica: id, State: rules.Ready, Listed: 1},
			Learned: rules.PriorMeasurement{Replica: id, Speed: 1.25 - 0.75*float64(i%2), Throughput: 12.5 - 7.5*float64(i%2)}})
	}
	return k
}

// TestAssessments checks the assessment of stored states by age, origin and consistency of their times.
func TestAssessments(t *testing.T) {
	now := 1_000_000 * second
	for _, c := range []struct {
		name   string
		change func(*State)
		want   Assessment
		trust  float64
	}{
		{"10 s old", func(k *State) { k.ConfirmedAt = now - 10*second }, Used, 0.988},
		{"5 min old", func(k *State) { k.ConfirmedAt = now - 300*second }, Used, 0.707},
		{"a day old", func(k *State) { k.ConfirmedAt = now - 86_400*second }, Used, 0},
		{"older than a day", func(k *State) { k.ConfirmedAt = now - 86_401*second }, TooOld, 0},
		{"clock set back by an hour", func(k *State) { k.ConfirmedAt, k.WrittenAt = now+3600*second, now+3601*second }, ClockSetBack, 0},
		{"another discovery", func(k *State) { k.Discovery = "e" }, Mismatch, 0},
		{"another governor", func(k *State) { k.Governor = "n2" }, Mismatch, 0},
		{"no replicas", func(k *State) { k.Replicas = nil }, NoState, 0},
		{"never confirmed", func(k *State) { k.ConfirmedAt = 0 }, Inconsistent, 0},
		{"written before it was confirmed", func(k *State) { k.WrittenAt = k.ConfirmedAt - 3600*second }, Inconsistent, 0},
	} {
		k := storedState(4, now-60*second)
		k.WrittenAt = now
		c.change(&k)
		p := NewPlan(now, k, "n1", "d", testSettings)
		if p.Assessment != c.want || p.Trust < c.trust-0.001 || p.Trust > c.trust+0.001 {
			t.Errorf("%s: %v", c.name, p)
		}
		used := p.Assessment == Used || p.Assessment == ClockSetBack
		if used != (len(p.Events) == 5) {
			t.Errorf("%s: %d events", c.name, len(p.Events))
		}
		if used {
			for _, e := range p.Events[0].(rules.List).Entries {
				if e.StartedAt < now {
					t.Errorf("%s: a replica counts as started before now", c.name)
				}
			}
		}
	}
}

// TestTrust checks that trust decreases over time, increases with each replica that responds, and is 1 after discovery answers.
func TestTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, n := 1_000_000*second, rapid.IntRange(1, 20).Draw(t, "replicas")
		k := storedState(n, now-rules.Time(rapid.IntRange(0, 80_000).Draw(t, "age"))*second)
		k.WrittenAt = now
		p := NewPlan(now, k, "n1", "d", testSettings)
		r := Begin(now, k, p, testSettings)
		trust := r.Trust(now)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				now += rules.Time(rapid.IntRange(1, 3600).Draw(t, "passes")) * second
				if later := r.Trust(now); later > trust+1e-12 {
					t.Fatalf("trust increases over time from %v to %v", trust, later)
				}
			case 1:
				r.Handle(rules.EndpointStats{Replica: rules.ReplicaID(rapid.IntRange(0, n-1).Draw(t, "replica")), Attempts: 3})
				if later := r.Trust(now); later < trust-1e-12 {
					t.Fatalf("trust decreases with a response from %v to %v", trust, later)
				}
			case 2:
				r.Handle(rules.Joined{Proxy: 1})
			default:
				r.Handle(rules.List{Scope: rules.Failed})
			}
			if trust = r.Trust(now); trust < 0 || trust > 1 || r.Stage() == Confirmed {
				t.Fatalf("trust %v at stage %v", trust, r.Stage())
			}
		}
		r.Handle(rules.List{Scope: rules.Changes})
		if r.Trust(now) != 1 || r.Stage() != Confirmed {
			t.Fatalf("trust %v at stage %v after discovery's answer", r.Trust(now), r.Stage())
		}
	})
}

// governorRun is a governor after its start, and the state of its proxies.
type governorRun struct {
	gov     rules.Governor
	rec     *Recovery
	now     rules.Time
	timerID uint64
	weights map[rules.ReplicaID]float64
	bound   map[rules.ProxyID]bool
	orders  []rules.Order // of the last Step
	version uint16
}

func siteSettings(proxies int) rules.Settings {
	entryRate := 100 * float64(proxies)
	return rules.Settings{Groups: []rules.TrafficGroup{{Name: "look", LatencyBudget: time.Second}}, Governors: 1, Proxies: proxies, Zones: 1,
		ListOnRequest: true, ListRequestDeadline: 10 * time.Second, Period: time.Second, EntryRate: entryRate, EntryCapacity: 2 * entryRate, MessageEntries: 6, MessageLimit: 20,
		MessageSpan: 10 * time.Second, MaxMessageDelay: 400 * time.Millisecond, DrainGrace: 3 * time.Second, WarmupTime: 18 * time.Second, ColdCapacity: 0.2}
}

// begin starts a governor from a stored state.
func begin(now rules.Time, k State, proxies int) *governorRun {
	l := &governorRun{now: now, weights: map[rules.ReplicaID]float64{}, bound: map[rules.ProxyID]bool{}}
	p := NewPlan(now, k, "n1", "d", testSettings)
	l.rec = Begin(now, k, p, testSettings)
	l.raw(append([]rules.Event{rules.Start{Seed: 3, Settings: siteSettings(proxies)}}, p.Events...)...)
	return l
}

func (l *governorRun) handle(events ...rules.Event) {
	var out []rules.Event
	for _, e := range events {
		out = append(out, l.rec.Handle(e)...)
	}
	l.raw(out...)
}

func (l *governorRun) raw(events ...rules.Event) {
	l.orders = l.gov.Step(l.now, events)
	for _, o := range l.orders {
		switch o := o.(type) {
		case rules.WakeAfter:
			l.timerID = o.TimerID
		case rules.AckRequest:
			l.version = o.Version
		case rules.Bind:
			l.bound[o.Proxy] = true
		case rules.EndpointWeight:
			if l.weights[o.Replica] = o.Weight; o.Weight == 0 {
				delete(l.weights, o.Replica)
			}
		}
	}
}

// advance lets quarters of a second pass, in which proxies acknowledge messages.
func (l *governorRun) advance(quarters int, events ...rules.Event) {
	for range quarters {
		l.now += second / 4
		for p := range l.bound {
			events = append(events, rules.Applied{Proxy: p, Version: l.version})
		}
		slices.SortStableFunc(events, func(a, b rules.Event) int { return 0 })
		l.handle(append(events, rules.Wake{TimerID: l.timerID})...)
		events = nil
	}
}

func joins(n int) (events []rules.Event) {
	for p := range n {
		events = append(events, rules.Joined{Proxy: rules.ProxyID(p), FlowRate: float64(p), Fresh: true})
	}
	return events
}

// TestDiscoveryUnavailable starts without discovery from lists of different ages: proxies must be bound to a full table at once,
// with weights that reflect the stored measurements by the trust in the list.
func TestDiscoveryUnavailable(t *testing.T) {
	lastRatio := 9.0
	for _, age := range []int{10, 300, 86_400} {
		now := 1_000_000 * second
		k := storedState(10, now-rules.Time(age)*second)
		l := begin(now, k, 4)
		l.handle(joins(4)...)
		if len(l.bound) != 4 || len(l.weights) != 10 {
			t.Fatalf("%d s old: %d proxies are bound to %d entries", age, len(l.bound), len(l.weights))
		}
		ratio := l.weights[0] / l.weights[1] // 2.5 as measured
		if ratio > lastRatio || ratio < 1-1e-9 || age == 10 && ratio < 2 || age == 86_400 && ratio > 1.01 {
			t.Errorf("%d s old: the faster replica has %.2f times the weight", age, ratio)
		}
		lastRatio = ratio
		if l.rec.Stage() != FromProxies {
			t.Error(l.rec.Stage())
		}
		l.advance(40)
		if len(l.weights) != 10 {
			t.Errorf("%d s old: %d entries after 10 s", age, len(l.weights))
		}
	}
}

// TestReadyInStateDrainingAtDiscovery has replicas drain and be replaced while the governor was down: with discovery's first
// answer their removals must be ordered before any new entry, and they must get no entry again.
func TestReadyInStateDrainingAtDiscovery(t *testing.T) {
	now := 1_000_000 * second
	k := storedState(10, now-300*second)
	l := begin(now, k, 4)
	l.handle(joins(4)...)
	l.advance(4)
	truth := rules.List{Scope: rules.Full}
	for i := range 20 {
		e := rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1}
		switch {
		case i < 3:
			e.State = rules.Draining
		case i >= 5 && i < 10:
			continue // deregistered
		case i >= 10:
			e.StartedAt = l.now - 2*second
		}
		truth.Entries = append(truth.Entries, e)
	}
	l.handle(truth)
	removals, added := 0, false
	for _, o := range l.orders {
		entry, ok := o.(rules.EndpointWeight)
		if !ok {
			continue
		}
		if removed := entry.Replica < 3 || entry.Replica >= 5 && entry.Replica < 10; removed && entry.Weight > 0 {
			t.Fatalf("replica %d gets weight %.1f", entry.Replica, entry.Weight)
		} else if removed {
			if removals++; added {
				t.Fatalf("replica %d is removed after new entries", entry.Replica)
			}
		} else if entry.Weight > 0 {
			added = true
		}
	}
	if removals != 8 {
		t.Errorf("%d of 8 removals are ordered with discovery's first answer", removals)
	}
	l.advance(40)
	for r := range l.weights {
		if r < 3 || r >= 5 && r < 10 {
			t.Errorf("replica %d is in the table", r)
		}
	}
}

// TestChangesConfirmTheRest has discovery's first answer contain one restarted replica: only that one may be cold, and the
// measurements of the others must apply.
func TestChangesConfirmTheRest(t *testing.T) {
	now := 1_000_000 * second
	l := begin(now, storedState(10, now-300*second), 4)
	l.handle(joins(4)...)
	l.advance(2)
	l.handle(rules.List{Scope: rules.Changes, Entries: []rules.Entry{{Replica: 4, State: rules.Ready, Listed: 1, StartedAt: l.now - second}}})
	l.advance(8)
	if ratio := l.weights[0] / l.weights[1]; ratio < 2 || ratio > 2.6 {
		t.Errorf("the faster replica has %.2f times the weight", ratio)
	}
	var v rules.View
	l.gov.WriteView(l.now, &v)
	for _, r := range v.Replicas {
		if r.Cold != (r.Replica == 4) {
			t.Errorf("replica %d: cold %v", r.Replica, r.Cold)
		}
	}
}

// TestEjectedStaysEjected has a replica that was ejected before the restart. It must be ejected again once discovery confirms that
// the others are warm, until it responds, but not while they may be cold or have restarted: its trial share would receive most
// flows.
func TestEjectedStaysEjected(t *testing.T) {
	now := 1_000_000 * second
	k := storedState(10, now-10*second)
	k.Replicas[3].Learned.Ejected = true
	for _, restarted := range []int{0, 8} {
		l := begin(now, k, 4)
		l.handle(joins(4)...)
		if l.weights[3] > 2*l.weights[1] {
			t.Errorf("before discovery's answer the weight is %.2f, that of a slow replica %.2f", l.weights[3], l.weights[1])
		}
		truth := rules.List{Scope: rules.Changes}
		for i := range restarted {
			if i != 3 {
				truth.Entries = append(truth.Entries, rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1, StartedAt: l.now - second})
			}
		}
		l.handle(truth)
		l.advance(8)
		var v rules.View
		l.gov.WriteView(l.now, &v)
		if ejected := v.Replicas[3].Ejected; ejected != (restarted == 0) {
			t.Errorf("with %d restarted replicas, ejected is %v", restarted, ejected)
		}
		for range 12 {
			var stats []rules.Event
			for i := range 10 {
				stats = append(stats, rules.EndpointStats{Replica: rules.ReplicaID(i), Attempts: 10, Window: time.Second, MeanLatency: 50 * time.Millisecond, Report: rules.LoadReport{Utilization: 0.5}})
			}
			l.advance(4, stats...)
		}
		if l.gov.WriteView(l.now, &v); v.Replicas[3].Ejected {
			t.Error("ejected after 12 s of successful responses")
		}
	}
}

// TestManyJoinFromDisk has 1,000 proxies join before discovery answers: the channel capacity and the message limit must hold, and
// all proxies must be bound within 5 s.
func TestManyJoinFromDisk(t *testing.T) {
	now := 1_000_000 * second
	l := begin(now, storedState(60, now-300*second), 1000)
	l.handle(joins(1000)...)
	var v rules.View
	startedAt := l.now
	for len(l.bound) < 1000 {
		l.advance(1)
		if l.gov.WriteView(l.now, &v); v.EntriesWaiting > v.EntryCapacity || v.MostMessages > v.MessageLimit {
			t.Fatalf("%.0f entries queued, capacity %.0f; %d messages, limit %d", v.EntriesWaiting, v.EntryCapacity, v.MostMessages, v.MessageLimit)
		}
		if l.now-startedAt > 5*second {
			t.Fatalf("%d of 1,000 are bound after 5 s", len(l.bound))
		}
	}
}

// TestAllColdInLargeFleet has 200 proxies join before discovery answers, with 1,000 replicas that all count as cold: each proxy
// must be bound to a table with entries.
func TestAllColdInLargeFleet(t *testing.T) {
	now := 1_000_000 * second
	l := begin(now, storedState(1000, now-300*second), 200)
	tables, entries := map[rules.ProxyID]rules.TableID{}, map[rules.TableID]int{}
	record := func() {
		for _, o := range l.orders {
			switch o := o.(type) {
			case rules.Bind:
				tables[o.Proxy] = o.Table
			case rules.EndpointWeight:
				if o.Weight > 0 {
					entries[o.Table]++
				}
			}
		}
	}
	record()
	l.handle(joins(200)...)
	record()
	for range 12 {
		l.advance(1)
		record()
	}
	if len(tables) != 200 || len(entries) < 2 {
		t.Fatalf("%d proxies are bound, %d tables have entries", len(tables), len(entries))
	}
	for p, table := range tables {
		if entries[table] == 0 {
			t.Fatalf("proxy %d is bound to a table without entries", p)
		}
	}
}
