package rules

import (
	"testing"
	"time"
)

// newPairHarness returns a governor with 20 warm replicas and 10 proxies, and an empty trace.
func newPairHarness() *harness {
	h := newHarness(testSettings(), 20, 10)
	h.run(3)
	h.trace.Reset()
	return h
}

// TestPairAlone has a replica fail for one proxy: it is ejected there, readmitted after a time, and ejected for longer when it
// fails again.
func TestPairAlone(t *testing.T) {
	h := newPairHarness()
	bad := PairStats{Proxy: 4, Replica: 7, Attempts: 3, Dropped: 3}
	h.note("three tries of proxy 4 at replica 7 are dropped, and none elsewhere")
	h.step(bad)
	h.note("told again while it is shut out")
	h.step(bad)
	h.run(14)
	h.note("it fails on")
	h.step(bad)
	h.run(30)
	h.compareTrace(t)
}

// TestPairsNotEjected guards against ejections on insufficient evidence.
func TestPairsNotEjected(t *testing.T) {
	bad := PairStats{Proxy: 4, Replica: 7, Attempts: 3, Dropped: 3}
	for _, c := range []struct {
		name    string
		change  func(*PairStats)
		prepare func(*harness)
	}{
		{"single drop", func(e *PairStats) { e.Attempts, e.Dropped = 1, 1 }, nil},
		{"most attempts succeed", func(e *PairStats) { e.Attempts = 9 }, nil},
		{"replica also fails for other proxies", func(e *PairStats) { e.ReplicaDropShare = 0.4 }, nil},
		{"proxy also fails at other replicas", func(e *PairStats) { e.ProxyDropShare = 0.4 }, nil},
		{"three drops are likely by chance", func(e *PairStats) { e.ReplicaDropShare = 0.25 }, nil},
		{"more drops than attempts", func(e *PairStats) { e.Attempts = 2 }, nil},
		{"proxy has left", func(*PairStats) {}, func(h *harness) { h.step(Left{Proxy: 4}) }},
		{"replica drains", func(*PairStats) {}, func(h *harness) { h.setState(7, Draining, 0) }},
		{"replica is cold", func(*PairStats) {}, func(h *harness) { h.setState(7, Ready, h.now) }},
	} {
		h := newPairHarness()
		if c.prepare != nil {
			c.prepare(h)
		}
		e := bad
		c.change(&e)
		if h.step(e); len(h.g.ejecting) > 0 {
			t.Errorf("%s: the pair is ejected", c.name)
		}
	}
	h := newPairHarness()
	if h.step(PairStats{Proxy: 4, Replica: 7, Attempts: 1, Dropped: 1, ReplicaDropShare: 0.01, RetriedAttempts: 5, RetriedDropped: 5}); len(h.g.ejecting) != 1 {
		t.Error("a first drop does not eject a pair although all retries at other pairs of the replica were dropped")
	}
}

// TestPairEjectionsKeepMostOfTable has a proxy fail at one replica after the other: it keeps most of its table. When replicas
// then leave, ejected ones are readmitted, and no state of removed replicas and proxies remains.
func TestPairEjectionsKeepMostOfTable(t *testing.T) {
	h := newPairHarness()
	for r := ReplicaID(1); r <= 20; r++ {
		h.step(PairStats{Proxy: 4, Replica: r, Attempts: 3, Dropped: 3})
		if ejected := h.g.ejectedShare(h.g.proxies[4], nil); ejected > maxEjectedShare || r == 20 && ejected < maxEjectedShare/2 {
			t.Errorf("%.2f of the table is ejected", ejected)
		}
		h.now += 300 * ms
	}
	x := h.g.proxies[4]
	for r := ReplicaID(9); r <= 20; r++ {
		h.setState(r, Deregistered, 0)
	}
	h.run(2)
	if ejected := h.g.ejectedShare(x, nil); ejected > maxEjectedShare {
		t.Errorf("%.2f of the remaining table is ejected", ejected)
	}
	h.step(Left{Proxy: 4})
	if len(h.g.ejecting) != 0 {
		t.Error("state of a proxy that has left remains")
	}
}

// TestPairEjectionsWaitForChannel has evidence on all pairs arrive at once: the ejections must not exceed a period's part of
// the channel.
func TestPairEjectionsWaitForChannel(t *testing.T) {
	s := testSettings()
	s.EntryRate, s.EntryCapacity, s.MessageLimit = 300, 600, 20
	h := newHarness(s, 20, 10)
	h.run(4)
	h.noAcks = true
	h.trace.Reset()
	var events []Event
	for x := range ProxyID(10) {
		for r := ReplicaID(1); r <= 20; r++ {
			events = append(events, PairStats{Proxy: x, Replica: r, Attempts: 4, Dropped: 4})
		}
	}
	h.step(events...)
	if limit := s.EntryRate * pacedShare; h.g.queuedEntries > limit {
		t.Errorf("%.0f entries queued, limit %.0f", h.g.queuedEntries, limit)
	}
	if h.g.queuedEntries < s.EntryRate*pacedShare/2 {
		t.Errorf("only %.0f entries queued", h.g.queuedEntries)
	}
}

// TestManyJoins has 5,000 proxies join within a second, and again after a restart: those with most flows are bound first, the
// channel never exceeds its capacity, and all are bound within 5 s.
func TestManyJoins(t *testing.T) {
	s := testSettings()
	s.Proxies, s.EntryRate, s.EntryCapacity = 5000, 60_000, 120_000
	h := newHarness(s, 20, 0)
	for run := range 2 {
		if run > 0 {
			h.step(Killed{}, Start{Seed: 9, Settings: s}, List{Scope: Cached, Entries: h.list})
		}
		bound, startedAt := map[ProxyID]bool{}, h.now
		for i := 0; len(bound) < 5000; i++ {
			var events []Event
			for j := range 50 {
				if x := i*50 + j; x < 5000 {
					events = append(events, Joined{Proxy: ProxyID(x), Zone: ZoneID(x % 2), FlowRate: float64(1 + x*7919%100), Fresh: run == 0})
				}
			}
			if i%25 == 24 {
				events = append(events, Wake{TimerID: h.timerID}, EndpointStats{Replica: 1, Attempts: 5, Window: time.Second, MeanLatency: h.latency, Report: LoadReport{Utilization: 0.5}})
			}
			lowestRate := 1e9
			for _, o := range h.g.Step(h.now, events) {
				switch o := o.(type) {
				case WakeAfter:
					h.timerID = o.TimerID
				case AckRequest:
					h.version = o.Version
				case Bind:
					bound[o.Proxy] = true
					lowestRate = min(lowestRate, h.g.proxies[o.Proxy].rate)
				}
			}
			if h.g.queuedEntries > s.EntryCapacity {
				t.Fatalf("%.0f entries queued", h.g.queuedEntries)
			}
			for _, x := range h.g.unbound {
				if x.rate > lowestRate {
					t.Fatalf("a proxy of %.0f flows is bound before one of %.0f", lowestRate, x.rate)
				}
			}
			h.now += 10 * ms // the channel carries and proxies acknowledge a hundredth of a second's entries
			h.g.channel = nil
			h.g.queuedEntries = max(h.g.queuedEntries-s.EntryRate/100, 0)
			if h.now-startedAt > 5*Time(time.Second) {
				t.Fatalf("run %d: %d of 5,000 are bound after 5 s", run, len(bound))
			}
		}
		t.Logf("run %d: all are bound after %v", run, time.Duration(h.now-startedAt))
	}
}
