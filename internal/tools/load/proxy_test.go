package load

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newTestProxy makes a proxy without a stream, of a site with faults at 1, 2 and 3 s.
func newTestProxy(id int) *proxy {
	const replicas = 6
	s := &site{
		plan:      Plan{Proxies: 200, Replicas: replicas, Zones: 1, HangAt: time.Second, DrainAt: 2 * time.Second, PartialHangAt: 3 * time.Second},
		zoneStats: []zoneStats{{attempts: make([]int, replicas), failures: make([]int, replicas)}},
	}
	return &proxy{site: s, id: id, random: rand.New(rand.NewPCG(1, uint64(id))), weights: make([]float32, replicas),
		attempts: make([]int, replicas), failures: make([]int, replicas)}
}

// TestUpdateWeights measures messages: cuts count for healthy replicas only, and each fault's replica by what is expected of it.
func TestUpdateWeights(t *testing.T) {
	for _, x := range []struct {
		name          string
		before, after string
		at            time.Duration
		want          tableChange
	}{
		{"before the plan's time", "r-0003:1", "r-0003:0.1", -1, tableChange{}},
		{"a cut", "r-0003:1,r-0004:1", "r-0003:0.2,r-0004:0.3", time.Millisecond, tableChange{cuts: 1}},
		{"the hanging replica while it is healthy", "r-0000:1", "r-0000:0.2", time.Millisecond, tableChange{cuts: 1}},
		{"the hanging replica", "r-0000:1", "r-0000:0.2", time.Second + 1, tableChange{hangDetected: true}},
		{"the hanging replica, not enough", "r-0000:1", "r-0000:0.3", time.Second + 1, tableChange{}},
		{"the draining replica", "r-0000:1,r-0001:1", "r-0001:0", 2*time.Second + 1, tableChange{drained: true}},
	} {
		p := newTestProxy(1)
		p.updateWeights(x.before, 0)
		if got := p.updateWeights(x.after, x.at); got != x.want {
			t.Errorf("%s: %+v, want %+v", x.name, got, x.want)
		}
		if !p.hasTable.Load() {
			t.Errorf("%s: the proxy does not count as ready", x.name)
		}
	}
}

// TestApplyEjections counts an ejection as right only at a proxy that the partial fault hits, of its replica, while it lasts.
func TestApplyEjections(t *testing.T) {
	for _, x := range []struct {
		proxy int
		names string
		at    time.Duration
		right int
		wrong int
	}{
		{partialHangProxyOffset, "r-0002", 4 * time.Second, 1, 0},
		{partialHangProxyOffset, "r-0002", 2 * time.Second, 0, 1},
		{partialHangProxyOffset, "r-0002,r-0003", 4 * time.Second, 1, 1},
		{1, "r-0002", 4 * time.Second, 0, 1},
		{1, "", 4 * time.Second, 0, 0},
	} {
		p := newTestProxy(x.proxy)
		p.applyEjections(x.names, true, x.at)
		if r := p.site.result; r.CorrectEjections != x.right || r.WrongEjections != x.wrong {
			t.Errorf("proxy %d, %q at %v: %d right, %d wrong; want %d and %d", x.proxy, x.names, x.at, r.CorrectEjections, r.WrongEjections, x.right, x.wrong)
		}
		p.applyEjections(x.names, false, x.at)
		for id, ejected := range p.ejected {
			if ejected {
				t.Errorf("replica %d is ejected after it was restored", id)
			}
		}
	}
}

// TestHangingAttemptsFailLater has attempts at the replica that hangs counted as failures with the next second's flows, and none sent
// to a replica that is ejected.
func TestHangingAttemptsFailLater(t *testing.T) {
	p := newTestProxy(1)
	p.site.start.Store(time.Now().Add(-90 * time.Second).UnixNano())
	p.updateWeights("r-0000:1,r-0004:1", 0)
	p.ejected = map[int]bool{4: true}
	stats := &p.site.zoneStats[0]
	p.sendFlows(5)
	if stats.attempts[hangingReplica] != 0 || len(p.pendingFailures) != 5 {
		t.Fatalf("%d attempts counted at once, %d unanswered", stats.attempts[hangingReplica], len(p.pendingFailures))
	}
	p.sendFlows(0)
	if stats.attempts[hangingReplica] != 5 || stats.failures[hangingReplica] != 5 || stats.attempts[4] != 0 {
		t.Errorf("attempts %v, failures %v", stats.attempts, stats.failures)
	}
}
