package rules

import (
	"testing"
	"time"
)

// pairing is a fleet of 20 replicas and 10 proxies, warm and at rest.
func pairing() *play {
	p := newPlay(site(), 20, 10)
	p.run(3)
	p.trace.Reset()
	return p
}

// TestPairAlone has a replica fail for one proxy: it shuts it out, lets it in again after a time, and shuts it out for
// longer when it fails on.
func TestPairAlone(t *testing.T) {
	p := pairing()
	bad := PairStats{Proxy: 4, Replica: 7, Attempts: 3, Dropped: 3}
	p.note("three tries of proxy 4 at replica 7 are dropped, and none elsewhere")
	p.step(bad)
	p.note("told again while it is shut out")
	p.step(bad)
	p.run(14)
	p.note("it fails on")
	p.step(bad)
	p.run(30)
	p.check(t)
}

// TestPairsThatStay are pairs that drop tries and are let be.
func TestPairsThatStay(t *testing.T) {
	bad := PairStats{Proxy: 4, Replica: 7, Attempts: 3, Dropped: 3}
	for _, c := range []struct {
		what string
		pair func(*PairStats)
		play func(*play)
	}{
		{"one drop may be chance", func(e *PairStats) { e.Attempts, e.Dropped = 1, 1 }, nil},
		{"most of its tries are answered", func(e *PairStats) { e.Attempts = 9 }, nil},
		{"the replica fails for others too", func(e *PairStats) { e.ReplicaDropShare = 0.4 }, nil},
		{"the proxy fails elsewhere too", func(e *PairStats) { e.ProxyDropShare = 0.4 }, nil},
		{"drops are so frequent that three are chance", func(e *PairStats) { e.ReplicaDropShare = 0.25 }, nil},
		{"figures that can't be", func(e *PairStats) { e.Attempts = 2 }, nil},
		{"a proxy that has left", func(*PairStats) {}, func(p *play) { p.step(Left{Proxy: 4}) }},
		{"a replica that drains", func(*PairStats) {}, func(p *play) { p.change(7, Draining, 0) }},
		{"a cold replica", func(*PairStats) {}, func(p *play) { p.change(7, Ready, p.now) }},
	} {
		p := pairing()
		if c.play != nil {
			c.play(p)
		}
		e := bad
		c.pair(&e)
		if p.step(e); len(p.g.ejecting) > 0 {
			t.Errorf("%s: it is shut out", c.what)
		}
	}
	p := pairing()
	if p.step(PairStats{Proxy: 4, Replica: 7, Attempts: 1, Dropped: 1, ReplicaDropShare: 0.01, RetriedAttempts: 5, RetriedDropped: 5}); len(p.g.ejecting) != 1 {
		t.Error("where those that dropped one drop all, the first drop tells")
	}
}

// TestPairsLeaveMostOfATable has a proxy's tries dropped at one replica after the other: it keeps most of its table.
// When others then drain, it gets back what it needs, and nothing is held of replicas and proxies that have gone.
func TestPairsLeaveMostOfATable(t *testing.T) {
	p := pairing()
	for r := ReplicaID(1); r <= 20; r++ {
		p.step(PairStats{Proxy: 4, Replica: r, Attempts: 3, Dropped: 3})
		if shut := p.g.ejectedShare(p.g.proxies[4], nil); shut > maxEjectedShare || r == 20 && shut < maxEjectedShare/2 {
			t.Errorf("%.2f of its table is shut out", shut)
		}
		p.now += 300 * ms
	}
	x := p.g.proxies[4]
	for r := ReplicaID(9); r <= 20; r++ {
		p.change(r, Deregistered, 0)
	}
	p.run(2)
	if shut := p.g.ejectedShare(x, nil); shut > maxEjectedShare {
		t.Errorf("%.2f of what is left is shut out", shut)
	}
	p.step(Left{Proxy: 4})
	if len(p.g.ejecting) != 0 {
		t.Error("a proxy that has left is still held")
	}
}

// TestPairsWaitForTheChannel has evidence on all pairs come at once: no more goes out than a period's part.
func TestPairsWaitForTheChannel(t *testing.T) {
	s := site()
	s.EntryRate, s.EntryCapacity, s.MessageLimit = 300, 600, 20
	p := newPlay(s, 20, 10)
	p.run(4)
	p.silent = true
	p.trace.Reset()
	var in []Event
	for x := range ProxyID(10) {
		for r := ReplicaID(1); r <= 20; r++ {
			in = append(in, PairStats{Proxy: x, Replica: r, Attempts: 4, Dropped: 4})
		}
	}
	p.step(in...)
	if most := s.EntryRate * pacedShare; p.g.queuedEntries > most {
		t.Errorf("%.0f lines wait, of %.0f", p.g.queuedEntries, most)
	}
	if p.g.queuedEntries < s.EntryRate*pacedShare/2 {
		t.Errorf("%.0f lines wait: hardly any has gone out", p.g.queuedEntries)
	}
}

// TestManyJoins has 5,000 proxies join within a second, and again after a restart: those with most flows are bound
// first, the channel never holds more than it may, and all are bound in the time that it needs for their lines.
func TestManyJoins(t *testing.T) {
	s := site()
	s.Proxies, s.EntryRate, s.EntryCapacity = 5000, 60_000, 120_000
	p := newPlay(s, 20, 0)
	for life := range 2 {
		if life > 0 {
			p.step(Killed{}, Start{Seed: 9, Settings: s}, List{Scope: Cached, Entries: p.list})
		}
		bound, begun := map[ProxyID]bool{}, p.now
		for i := 0; len(bound) < 5000; i++ {
			var in []Event
			for j := range 50 {
				if x := i*50 + j; x < 5000 {
					in = append(in, Joined{Proxy: ProxyID(x), Zone: ZoneID(x % 2), FlowRate: float64(1 + x*7919%100), Fresh: life == 0})
				}
			}
			if i%25 == 24 {
				in = append(in, Wake{TimerID: p.mark}, EndpointStats{Replica: 1, Attempts: 5, Window: time.Second, MeanLatency: p.took, Report: LoadReport{Utilization: 0.5}})
			}
			least := 1e9
			for _, o := range p.g.Step(p.now, in) {
				switch o := o.(type) {
				case WakeAfter:
					p.mark = o.TimerID
				case AckRequest:
					p.version = o.Version
				case Bind:
					bound[o.Proxy] = true
					least = min(least, p.g.proxies[o.Proxy].rate)
				}
			}
			if p.g.queuedEntries > s.EntryCapacity {
				t.Fatalf("%.0f lines wait", p.g.queuedEntries)
			}
			for _, x := range p.g.unbound {
				if x.rate > least {
					t.Fatalf("a proxy of %.0f flows is bound before one of %.0f", least, x.rate)
				}
			}
			p.now += 10 * ms // in which the channel sends a hundredth of its lines, and proxies confirm them
			p.g.channel = nil
			p.g.queuedEntries = max(p.g.queuedEntries-s.EntryRate/100, 0)
			if waits := p.now - begun; waits > 5*Time(time.Second) {
				t.Fatalf("life %d: %d of 5,000 are bound after 5 s", life, len(bound))
			}
		}
		t.Logf("life %d: all are bound after %v", life, time.Duration(p.now-begun))
	}
}
