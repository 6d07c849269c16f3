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

var set = Settings{HalfLife: 10 * time.Minute, MaxAge: 24 * time.Hour}

// keptState is a list of replicas that all started long ago, of which even ones are twice as fast as odd ones.
func keptState(n int, heard rules.Time) State {
	k := State{Governor: "n1", Discovery: "d", Version: 7, ConfirmedAt: heard, WrittenAt: heard + second, NextReplicaID: rules.ReplicaID(n)}
	for i := range n {
		id := rules.ReplicaID(i)
		k.Replicas = append(k.Replicas, Replica{Name: fmt.Sprint("s", i), Entry: rules.Entry{Replica: id, State: rules.Ready, Listed: 1},
			Learned: rules.PriorMeasurement{Replica: id, Speed: 1.25 - 0.75*float64(i%2), Throughput: 12.5 - 7.5*float64(i%2)}})
	}
	return k
}

// TestAssessments weighs what is kept: by its age, and told from what is another's, impossible or of the future.
func TestAssessments(t *testing.T) {
	now := 1_000_000 * second
	for _, c := range []struct {
		what  string
		with  func(*State)
		want  Assessment
		trust float64
	}{
		{"10 s old", func(k *State) { k.ConfirmedAt = now - 10*second }, Used, 0.988},
		{"5 min old", func(k *State) { k.ConfirmedAt = now - 300*second }, Used, 0.707},
		{"a day old", func(k *State) { k.ConfirmedAt = now - 86_400*second }, Used, 0},
		{"older", func(k *State) { k.ConfirmedAt = now - 86_401*second }, TooOld, 0},
		{"a clock that went back by an hour", func(k *State) { k.ConfirmedAt, k.WrittenAt = now+3600*second, now+3601*second }, ClockSetBack, 0},
		{"another discovery", func(k *State) { k.Discovery = "e" }, Mismatch, 0},
		{"another governor", func(k *State) { k.Governor = "n2" }, Mismatch, 0},
		{"nothing", func(k *State) { k.Replicas = nil }, NoState, 0},
		{"never heard", func(k *State) { k.ConfirmedAt = 0 }, Inconsistent, 0},
		{"written before it was heard", func(k *State) { k.WrittenAt = k.ConfirmedAt - 3600*second }, Inconsistent, 0},
	} {
		k := keptState(4, now-60*second)
		k.WrittenAt = now
		c.with(&k)
		p := NewPlan(now, k, "n1", "d", set)
		if p.Assessment != c.want || p.Trust < c.trust-0.001 || p.Trust > c.trust+0.001 {
			t.Errorf("%s: %v", c.what, p)
		}
		used := p.Assessment == Used || p.Assessment == ClockSetBack
		if used != (len(p.Events) == 5) {
			t.Errorf("%s: %d events", c.what, len(p.Events))
		}
		if used {
			for _, e := range p.Events[0].(rules.List).Entries {
				if e.StartedAt < now {
					t.Errorf("%s: a replica counts as started before now", c.what)
				}
			}
		}
	}
}

// TestTrust falls with age and rises with each who speaks, whatever the order, and ends at 1 with discovery.
func TestTrust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, n := 1_000_000*second, rapid.IntRange(1, 20).Draw(t, "replicas")
		k := keptState(n, now-rules.Time(rapid.IntRange(0, 80_000).Draw(t, "age"))*second)
		k.WrittenAt = now
		p := NewPlan(now, k, "n1", "d", set)
		r := Begin(now, k, p, set)
		trust := r.Trust(now)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				now += rules.Time(rapid.IntRange(1, 3600).Draw(t, "passes")) * second
				if later := r.Trust(now); later > trust+1e-12 {
					t.Fatalf("with time alone trust rises from %v to %v", trust, later)
				}
			case 1:
				r.Handle(rules.EndpointStats{Replica: rules.ReplicaID(rapid.IntRange(0, n-1).Draw(t, "replica")), Attempts: 3})
				if later := r.Trust(now); later < trust-1e-12 {
					t.Fatalf("a replica that answers takes trust from %v to %v", trust, later)
				}
			case 2:
				r.Handle(rules.Joined{Proxy: 1})
			default:
				r.Handle(rules.List{Scope: rules.Failed})
			}
			if trust = r.Trust(now); trust < 0 || trust > 1 || r.Stage() == Confirmed {
				t.Fatalf("trust %v at step %v", trust, r.Stage())
			}
		}
		r.Handle(rules.List{Scope: rules.Changes})
		if r.Trust(now) != 1 || r.Stage() != Confirmed {
			t.Fatalf("discovery has spoken: trust %v, step %v", r.Trust(now), r.Stage())
		}
	})
}

// governorRun is a governor that has just started, and what its proxies hold.
type governorRun struct {
	gov     rules.Governor
	rec     *Recovery
	now     rules.Time
	mark    uint64
	lines   map[rules.ReplicaID]float64
	bound   map[rules.ProxyID]bool
	orders  []rules.Order // of the last Step
	version uint16
}

func siteSettings(proxies int) rules.Settings {
	pace := 100 * float64(proxies)
	return rules.Settings{Groups: []rules.TrafficGroup{{Name: "look", LatencyBudget: time.Second}}, Governors: 1, Proxies: proxies, Zones: 1,
		ListOnRequest: true, ListRequestDeadline: 10 * time.Second, Period: time.Second, EntryRate: pace, EntryCapacity: 2 * pace, MessageEntries: 6, MessageLimit: 20,
		MessageSpan: 10 * time.Second, MaxMessageDelay: 400 * time.Millisecond, DrainGrace: 3 * time.Second, WarmupTime: 18 * time.Second, ColdCapacity: 0.2}
}

// begin starts a governor from disk.
func begin(now rules.Time, k State, proxies int) *governorRun {
	l := &governorRun{now: now, lines: map[rules.ReplicaID]float64{}, bound: map[rules.ProxyID]bool{}}
	p := NewPlan(now, k, "n1", "d", set)
	l.rec = Begin(now, k, p, set)
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
			l.mark = o.TimerID
		case rules.AckRequest:
			l.version = o.Version
		case rules.Bind:
			l.bound[o.Proxy] = true
		case rules.EndpointWeight:
			if l.lines[o.Replica] = o.Weight; o.Weight == 0 {
				delete(l.lines, o.Replica)
			}
		}
	}
}

// pass lets time pass, in quarters of a second, while proxies confirm.
func (l *governorRun) pass(quarters int, events ...rules.Event) {
	for range quarters {
		l.now += second / 4
		for p := range l.bound {
			events = append(events, rules.Applied{Proxy: p, Version: l.version})
		}
		slices.SortStableFunc(events, func(a, b rules.Event) int { return 0 })
		l.handle(append(events, rules.Wake{TimerID: l.mark})...)
		events = nil
	}
}

func joins(n int) (events []rules.Event) {
	for p := range n {
		events = append(events, rules.Joined{Proxy: rules.ProxyID(p), FlowRate: float64(p), Fresh: true})
	}
	return events
}

// TestDiscoveryUnavailable starts with discovery down and lists of 10 s, 5 min and a day: a proxy has lines at once, what was
// learnt shows in them by the trust in the list, and none is without any replica for long.
func TestDiscoveryUnavailable(t *testing.T) {
	last := 9.0
	for _, age := range []int{10, 300, 86_400} {
		now := 1_000_000 * second
		k := keptState(10, now-rules.Time(age)*second)
		l := begin(now, k, 4)
		l.handle(joins(4)...)
		if len(l.bound) != 4 || len(l.lines) != 10 {
			t.Fatalf("%d s old: %d proxies are bound to %d lines", age, len(l.bound), len(l.lines))
		}
		ratio := l.lines[0] / l.lines[1] // truly 2.5
		if ratio > last || ratio < 1-1e-9 || age == 10 && ratio < 2 || age == 86_400 && ratio > 1.01 {
			t.Errorf("%d s old: the faster replica gets %.2f times as much", age, ratio)
		}
		last = ratio
		if l.rec.Stage() != FromProxies {
			t.Error(l.rec.Stage())
		}
		l.pass(40)
		if len(l.lines) != 10 {
			t.Errorf("%d s old: %d lines after 10 s", age, len(l.lines))
		}
	}
}

// TestReadyInStateDrainingAtDiscovery has three of ten replicas drain, and half replaced by others, while the governor was
// away: with discovery's first answer their removals stand before any new line, and none gets a line again.
func TestReadyInStateDrainingAtDiscovery(t *testing.T) {
	now := 1_000_000 * second
	k := keptState(10, now-300*second)
	l := begin(now, k, 4)
	l.handle(joins(4)...)
	l.pass(4)
	truth := rules.List{Scope: rules.Full}
	for i := range 20 {
		e := rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1}
		switch {
		case i < 3:
			e.State = rules.Draining
		case i >= 5 && i < 10:
			continue // gone
		case i >= 10:
			e.StartedAt = l.now - 2*second
		}
		truth.Entries = append(truth.Entries, e)
	}
	l.handle(truth)
	gone, added := 0, false
	for _, o := range l.orders {
		line, is := o.(rules.EndpointWeight)
		if !is {
			continue
		}
		if removed := line.Replica < 3 || line.Replica >= 5 && line.Replica < 10; removed && line.Weight > 0 {
			t.Fatalf("replica %d gets a line of %.1f", line.Replica, line.Weight)
		} else if removed {
			if gone++; added {
				t.Fatalf("the removal of replica %d stands behind other lines", line.Replica)
			}
		} else if line.Weight > 0 {
			added = true
		}
	}
	if gone != 8 {
		t.Errorf("%d of 8 removals are ordered with discovery's first answer", gone)
	}
	l.pass(40)
	for r := range l.lines {
		if r < 3 || r >= 5 && r < 10 {
			t.Errorf("replica %d is in the table", r)
		}
	}
}

// TestChangesConfirmTheRest has discovery's first answer tell one change: all else is as kept, so it is warm again, and what
// was learnt of it holds; the one that has started anew is cold and unknown.
func TestChangesConfirmTheRest(t *testing.T) {
	now := 1_000_000 * second
	l := begin(now, keptState(10, now-300*second), 4)
	l.handle(joins(4)...)
	l.pass(2)
	l.handle(rules.List{Scope: rules.Changes, Entries: []rules.Entry{{Replica: 4, State: rules.Ready, Listed: 1, StartedAt: l.now - second}}})
	l.pass(8)
	if ratio := l.lines[0] / l.lines[1]; ratio < 2 || ratio > 2.6 {
		t.Errorf("the faster replica gets %.2f times as much", ratio)
	}
	var v rules.View
	l.gov.WriteView(l.now, &v)
	for _, r := range v.Replicas {
		if r.Cold != (r.Replica == 4) {
			t.Errorf("replica %d: cold %v", r.Replica, r.Cold)
		}
	}
}

// TestEjectedStaysEjected has a replica that was held out. From disk alone, where all may be cold, it is not, or it would draw all
// that those can't be sent; once discovery has confirmed the others it is, until it answers. Where most have started anew, it
// is not.
func TestEjectedStaysEjected(t *testing.T) {
	now := 1_000_000 * second
	k := keptState(10, now-10*second)
	k.Replicas[3].Learned.Ejected = true
	for _, anew := range []int{0, 8} {
		l := begin(now, k, 4)
		l.handle(joins(4)...)
		if l.lines[3] > 2*l.lines[1] {
			t.Errorf("from disk it gets %.2f beside %.2f", l.lines[3], l.lines[1])
		}
		truth := rules.List{Scope: rules.Changes}
		for i := range anew {
			if i != 3 {
				truth.Entries = append(truth.Entries, rules.Entry{Replica: rules.ReplicaID(i), State: rules.Ready, Listed: 1, StartedAt: l.now - second})
			}
		}
		l.handle(truth)
		l.pass(8)
		var v rules.View
		l.gov.WriteView(l.now, &v)
		if out := v.Replicas[3].Ejected; out != (anew == 0) {
			t.Errorf("with %d started anew it is held out: %v", anew, out)
		}
		for range 12 {
			var sums []rules.Event
			for i := range 10 {
				sums = append(sums, rules.EndpointStats{Replica: rules.ReplicaID(i), Attempts: 10, Window: time.Second, MeanLatency: 50 * time.Millisecond, Report: rules.LoadReport{Utilization: 0.5}})
			}
			l.pass(4, sums...)
		}
		if l.gov.WriteView(l.now, &v); v.Replicas[3].Ejected {
			t.Error("it has answered for 12 s and is still held out")
		}
	}
}

// TestManyJoinFromDisk has 1,000 proxies join a governor that has only its disk: the channel never holds more than it may,
// nobody is sent more messages than allowed, and all are bound in the time that the channel needs.
func TestManyJoinFromDisk(t *testing.T) {
	now := 1_000_000 * second
	l := begin(now, keptState(60, now-300*second), 1000)
	l.handle(joins(1000)...)
	var v rules.View
	begun := l.now
	for len(l.bound) < 1000 {
		l.pass(1)
		if l.gov.WriteView(l.now, &v); v.EntriesWaiting > v.EntryCapacity || v.MostMessages > v.MessageLimit {
			t.Fatalf("%.0f lines wait of %.0f, %d messages of %d", v.EntriesWaiting, v.EntryCapacity, v.MostMessages, v.MessageLimit)
		}
		if l.now-begun > 5*second {
			t.Fatalf("%d are bound after 5 s", len(l.bound))
		}
	}
}

// TestAllColdAtSize has 200 proxies join a governor that knows 1,000 replicas from its disk alone, where one table's lines
// don't fit into the channel: all replicas count as cold, and yet each proxy is bound to a table that has lines.
func TestAllColdAtSize(t *testing.T) {
	now := 1_000_000 * second
	l := begin(now, keptState(1000, now-300*second), 200)
	tables, lines := map[rules.ProxyID]rules.TableID{}, map[rules.TableID]int{}
	note := func() {
		for _, o := range l.orders {
			switch o := o.(type) {
			case rules.Bind:
				tables[o.Proxy] = o.Table
			case rules.EndpointWeight:
				if o.Weight > 0 {
					lines[o.Table]++
				}
			}
		}
	}
	note()
	l.handle(joins(200)...)
	note()
	for range 12 {
		l.pass(1)
		note()
	}
	if len(tables) != 200 || len(lines) < 2 {
		t.Fatalf("%d proxies are bound, to %d tables with lines", len(tables), len(lines))
	}
	for p, table := range tables {
		if lines[table] == 0 {
			t.Fatalf("proxy %d is bound to a table without a line", p)
		}
	}
}
