package rules

import (
	"fmt"
	"testing"
	"time"
)

// benchSizes are numbers of proxies and replicas of one governor.
var benchSizes = [][2]int{{250, 30}, {250, 120}, {250, 200}, {1280, 30}, {1280, 120}, {1280, 200}, {2400, 30}, {2400, 120}, {2400, 200}}

// newBenchHarness returns a governor with all proxies bound and several periods of statistics.
func newBenchHarness(proxies, replicas int) *harness {
	s := testSettings()
	s.Proxies, s.MessageLimit = proxies, 0
	s.EntryRate, s.EntryCapacity = 8*float64(proxies), 32*float64(proxies)
	s.FailuresToAvoid = 3
	h := newHarness(s, replicas, 0)
	for i := range proxies {
		h.proxies = append(h.proxies, Joined{Proxy: ProxyID(i), Zone: ZoneID(i % 2), FlowRate: 0.5, Fresh: true})
	}
	h.step(events(h.proxies)...)
	h.run(12)
	return h
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, h *harness)) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("proxies=%d/replicas=%d", size[0], size[1]), func(b *testing.B) {
			h := newBenchHarness(size[0], size[1])
			b.ReportAllocs()
			b.ResetTimer()
			run(b, h)
		})
	}
}

// drainChannel empties the channel.
func (h *harness) drainChannel() {
	h.g.channel, h.g.queuedEntries = nil, 0
}

// BenchmarkJoin measures a Step in which a proxy rejoins and is bound.
func BenchmarkJoin(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, h *harness) {
		for b.Loop() {
			h.now += Time(time.Millisecond)
			h.drainChannel()
			h.g.Step(h.now, []Event{Joined{Proxy: 7, Zone: 1, FlowRate: 0.5}})
		}
	})
}

// BenchmarkList measures a Step in which a replica starts to drain or becomes ready.
func BenchmarkList(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, h *harness) {
		state := Draining
		for b.Loop() {
			h.now += Time(10 * time.Millisecond)
			h.drainChannel()
			e := h.list[3]
			e.State = state
			h.g.Step(h.now, []Event{List{Scope: Changes, Entries: []Entry{e}}})
			state = Ready + Draining - state
		}
	})
}

// BenchmarkReview measures a Step with the statistics of a period and their review.
func BenchmarkReview(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, h *harness) {
		for b.Loop() {
			h.now += Time(time.Second)
			h.drainChannel()
			h.g.Step(h.now, append(h.stats(), Wake{TimerID: h.timerID}))
		}
	})
}
