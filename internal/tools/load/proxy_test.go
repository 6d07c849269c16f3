package load

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newTestProxy returns a proxy without a connection, of a site with faults at 1, 2 and 3 s.
func newTestProxy(id int) *proxy {
	const replicas = 6
	s := &site{
		plan:      Plan{Proxies: 200, Replicas: replicas, Zones: 1, HangAt: time.Second, DrainAt: 2 * time.Second, PartialHangAt: 3 * time.Second},
		zoneStats: []zoneStats{{attempts: make([]int, replicas), failures: make([]int, replicas)}},
	}
	return &proxy{site: s, id: id, random: rand.New(rand.NewPCG(1, uint64(id))), weights: make([]float32, replicas),
		attempts: make([]int, replicas), failures: make([]int, replicas)}
}

// TestUpdateWeights checks that weight cuts are counted only for healthy replicas and that the effects of faults are detected.
func TestUpdateWeights(t *testing.T) {
	for _, x := range []struct {
		name          string
		before, after string
		at            time.Duration
		want          tableChange
	}{
		{"before the plan starts", "r-0003:1", "r-0003:0.1", -1, tableChange{}},
		{"weight cut", "r-0003:1,r-0004:1", "r-0003:0.2,r-0004:0.3", time.Millisecond, tableChange{cuts: 1}},
		{"hanging replica before the fault", "r-0000:1", "r-0000:0.2", time.Millisecond, tableChange{cuts: 1}},
		{"hanging replica", "r-0000:1", "r-0000:0.2", time.Second + 1, tableChange{hangDetected: true}},
		{"hanging replica above the threshold", "r-0000:1", "r-0000:0.3", time.Second + 1, tableChange{}},
		{"draining replica", "r-0000:1,r-0001:1", "r-0001:0", 2*time.Second + 1, tableChange{drained: true}},
	} {
		p := newTestProxy(1)
		p.updateWeights(x.before, 0)
		if got := p.updateWeights(x.after, x.at); got != x.want {
			t.Errorf("%s: %+v, want %+v", x.name, got, x.want)
		}
		if !p.hasTable.Load() {
			t.Errorf("%s: the proxy has no table", x.name)
		}
	}
}

// TestApplyEjections checks that only ejections of the partially hanging replica by an affected proxy during the fault count as
// correct.
func TestApplyEjections(t *testing.T) {
	for _, x := range []struct {
		proxy   int
		names   string
		at      time.Duration
		correct int
		wrong   int
	}{
		{partialHangProxyOffset, "r-0002", 4 * time.Second, 1, 0},
		{partialHangProxyOffset, "r-0002", 2 * time.Second, 0, 1},
		{partialHangProxyOffset, "r-0002,r-0003", 4 * time.Second, 1, 1},
		{1, "r-0002", 4 * time.Second, 0, 1},
		{1, "", 4 * time.Second, 0, 0},
	} {
		p := newTestProxy(x.proxy)
		p.applyEjections(x.names, true, x.at)
		if r := p.site.result; r.CorrectEjections != x.correct || r.WrongEjections != x.wrong {
			t.Errorf("proxy %d, %q at %v: %d correct, %d wrong; want %d and %d", x.proxy, x.names, x.at, r.CorrectEjections, r.WrongEjections, x.correct, x.wrong)
		}
		p.applyEjections(x.names, false, x.at)
		for id, ejected := range p.ejected {
			if ejected {
				t.Errorf("replica %d is still ejected after it was restored", id)
			}
		}
	}
}

// TestSendFlows checks that attempts at a hanging replica are counted as failures by the next call, and that no flow is sent to an
// ejected replica.
func TestSendFlows(t *testing.T) {
	p := newTestProxy(1)
	p.site.start.Store(time.Now().Add(-90 * time.Second).UnixNano())
	p.updateWeights("r-0000:1,r-0004:1", 0)
	p.ejected = map[int]bool{4: true}
	stats := &p.site.zoneStats[0]
	p.sendFlows(5)
	if stats.attempts[hangingReplica] != 0 || len(p.pendingFailures) != 5 {
		t.Fatalf("%d attempts counted immediately, %d pending failures", stats.attempts[hangingReplica], len(p.pendingFailures))
	}
	p.sendFlows(0)
	if stats.attempts[hangingReplica] != 5 || stats.failures[hangingReplica] != 5 || stats.attempts[4] != 0 {
		t.Errorf("attempts %v, failures %v", stats.attempts, stats.failures)
	}
}
