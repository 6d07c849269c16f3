package rules

import (
	"fmt"
	"testing"
	"time"
)

// collectorHarness simulates collectors that report replica by replica, 1 ms apart.
type collectorHarness struct {
	*harness
	wakeAt   Time
	deferred map[int][]Event // by zone: statistics that a stalled collector sends with the next ones
}

type collector struct {
	delay      time.Duration // within each second; below 0: it reports nothing
	copies     int           // of each report; 0: one
	stallAfter int           // replicas reported before it stalls; 0: it does not stall
}

func newCollectorHarness(replicas int) *collectorHarness {
	s := testSettings()
	s.Zones, s.EntryRate, s.EntryCapacity = 4, 30000, 30000
	f := &collectorHarness{harness: newHarness(s, replicas, 4), deferred: map[int][]Event{}}
	f.wakeAt = f.now + 250*ms
	return f
}

// second simulates one second in Steps of 4 ms.
func (f *collectorHarness) second(collectors []collector) {
	due := map[Time][]Event{}
	for z, c := range collectors {
		if c.delay < 0 {
			continue
		}
		stats := append([]Event{}, f.deferred[z]...)
		f.deferred[z] = nil
		for _, r := range f.g.replicas {
			e := EndpointStats{Replica: r.id, Zone: ZoneID(z), Attempts: 125, Window: time.Second, MeanLatency: f.latency, Report: LoadReport{Utilization: 0.5}}
			if f.unresponsive[r.id] {
				continue
			}
			for range max(c.copies, 1) {
				if c.stallAfter > 0 && int(r.id) > c.stallAfter {
					f.deferred[z] = append(f.deferred[z], e)
				} else {
					stats = append(stats, e)
				}
			}
		}
		for i, e := range stats {
			at := (f.now + Time(c.delay) + Time(i)*ms) / (4 * ms) * (4 * ms)
			due[at] = append(due[at], e)
		}
	}
	for end := f.now + 1000*ms; f.now < end; f.now += 4 * ms {
		events := due[f.now]
		if f.now >= f.wakeAt {
			events = append(events, Wake{TimerID: f.timerID})
			f.wakeAt = f.now + 250*ms
		}
		if len(events) > 0 {
			f.step(events...)
			f.step(Applied{Proxy: 0, Version: f.version}, Applied{Proxy: 1, Version: f.version},
				Applied{Proxy: 2, Version: f.version}, Applied{Proxy: 3, Version: f.version})
		}
	}
}

func (f *collectorHarness) seconds(n int, collectors ...collector) {
	for i := range n {
		for z := range collectors {
			collectors[z].delay += time.Duration(i%3-1) * 8 * time.Millisecond // jitter
		}
		f.second(collectors)
	}
}

// TestCollectorsInPhase has all collectors report at the same time, so that a review sees only the start of a burst: no healthy
// replica may be ejected, and a hung one must be.
func TestCollectorsInPhase(t *testing.T) {
	f := newCollectorHarness(20)
	same := []collector{{delay: 200 * time.Millisecond}, {delay: 200 * time.Millisecond}, {delay: 200 * time.Millisecond}, {delay: 200 * time.Millisecond}}
	f.seconds(12, same...)
	f.note("one hangs")
	f.unresponsive[7] = true
	f.seconds(4, same...)
	f.compareTrace(t)
}

// TestCollectorTroubles has faulty collectors and healthy replicas: no replica may be ejected until one hangs.
func TestCollectorTroubles(t *testing.T) {
	at := func(ms ...int) (c []collector) {
		for _, m := range ms {
			c = append(c, collector{delay: time.Duration(m) * time.Millisecond})
		}
		return c
	}
	f := newCollectorHarness(20)
	for _, part := range []struct {
		name       string
		seconds    int
		collectors []collector
	}{
		{"out of phase", 5, at(200, 310, 420, 530)},
		{"one silent for 3 s", 3, at(-1, 310, 420, 530)},
		{"back", 3, at(200, 310, 420, 530)},
		{"one doubled", 5, []collector{{delay: 200 * time.Millisecond, copies: 2}, {delay: 310 * time.Millisecond}, {delay: 420 * time.Millisecond}}},
		{"all but one silent", 4, at(200)},
		{"that one doubled", 4, []collector{{delay: 200 * time.Millisecond, copies: 2}}},
		{"the one stalls inside its sums", 1, []collector{{delay: 200 * time.Millisecond, stallAfter: 12}}},
		{"and goes on a period late", 4, at(200)},
		{"nobody speaks", 4, at(-1)},
		{"and all do", 3, at(200, 200, 200, 200)},
		{"one late by 5 s", 5, at(-1, 310, 420, 530)},
		{"what it has to tell comes at once", 1, []collector{{delay: 200 * time.Millisecond, copies: 5}, {delay: 310 * time.Millisecond},
			{delay: 420 * time.Millisecond}, {delay: 530 * time.Millisecond}}},
		{"back", 3, at(200, 310, 420, 530)},
	} {
		f.note(fmt.Sprint(part.name, " for ", part.seconds, " s"))
		f.seconds(part.seconds, part.collectors...)
	}
	f.note("one collector falls silent and a replica hangs: the others tell")
	f.unresponsive[7] = true
	f.seconds(5, at(-1, 310, 420, 530)...)
	f.compareTrace(t)
}

// TestLateWakeEjectsNobody has the governor's timers fire 600 ms late while a part of the statistics is delayed: it must not
// take replicas for silent when it was stalled itself.
func TestLateWakeEjectsNobody(t *testing.T) {
	f := newCollectorHarness(20)
	same := []collector{{delay: 200 * time.Millisecond}, {delay: 200 * time.Millisecond}}
	f.seconds(4, same...)
	for range 6 {
		f.now += 600 * ms
		f.step(Wake{TimerID: f.timerID}, EndpointStats{Replica: 1, Zone: 0, Attempts: 125, Window: time.Second, MeanLatency: f.latency, Report: LoadReport{Utilization: 0.5}})
	}
	for _, r := range f.g.replicas {
		if r.ejected {
			t.Errorf("replica %d is ejected as silent after late wake-ups", r.id)
		}
	}
}
