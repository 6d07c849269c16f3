package rules

import (
	"fmt"
	"testing"
	"time"
)

// feed plays collectors that write their sums replica by replica, 1 ms apart. Each says how late it is in a second,
// below 0: it says nothing; and where it stops inside its sums, the rest of which comes with the next.
type feed struct {
	*play
	wakeAt Time
	kept   map[int][]Event
}

type collected struct {
	late  time.Duration
	times int // that each of its sums comes
	stop  int // replicas that it tells of before it stalls; 0: all
}

func newFeed(replicas int) *feed {
	s := site()
	s.Zones, s.EntryRate, s.EntryCapacity = 4, 30000, 30000
	f := &feed{play: newPlay(s, replicas, 4), kept: map[int][]Event{}}
	f.wakeAt = f.now + 250*ms
	return f
}

// second plays one second, in Steps of 4 ms.
func (f *feed) second(collectors []collected) {
	due := map[Time][]Event{}
	for z, c := range collectors {
		if c.late < 0 {
			continue
		}
		sums := append([]Event{}, f.kept[z]...)
		f.kept[z] = nil
		for _, r := range f.g.replicas {
			e := EndpointStats{Replica: r.id, Zone: ZoneID(z), Attempts: 125, Window: time.Second, MeanLatency: f.took, Report: LoadReport{Utilization: 0.5}}
			if f.hung[r.id] {
				continue
			}
			for range max(c.times, 1) {
				if c.stop > 0 && int(r.id) > c.stop {
					f.kept[z] = append(f.kept[z], e)
				} else {
					sums = append(sums, e)
				}
			}
		}
		for i, e := range sums {
			at := (f.now + Time(c.late) + Time(i)*ms) / (4 * ms) * (4 * ms)
			due[at] = append(due[at], e)
		}
	}
	for end := f.now + 1000*ms; f.now < end; f.now += 4 * ms {
		in := due[f.now]
		if f.now >= f.wakeAt {
			in = append(in, Wake{TimerID: f.mark})
			f.wakeAt = f.now + 250*ms
		}
		if len(in) > 0 {
			f.step(in...)
			f.step(Applied{Proxy: 0, Version: f.version}, Applied{Proxy: 1, Version: f.version},
				Applied{Proxy: 2, Version: f.version}, Applied{Proxy: 3, Version: f.version})
		}
	}
}

func (f *feed) seconds(n int, collectors ...collected) {
	for i := range n {
		for z := range collectors {
			collectors[z].late += Time(i % 3).ahead() // a little earlier or later each second
		}
		f.second(collectors)
	}
}

func (t Time) ahead() time.Duration { return time.Duration(t-1) * 8 * time.Millisecond }

// TestCollectorsInPhase has all collectors write in the same moment, so that a review, due when the first sums come,
// hears the head of a burst only: none of 20 healthy replicas may be cut, and one that hangs is.
func TestCollectorsInPhase(t *testing.T) {
	f := newFeed(20)
	same := []collected{{late: 200 * time.Millisecond}, {late: 200 * time.Millisecond}, {late: 200 * time.Millisecond}, {late: 200 * time.Millisecond}}
	f.seconds(12, same...)
	f.note("one hangs")
	f.hung[7] = true
	f.seconds(4, same...)
	f.check(t)
}

// TestCollectorTroubles has nothing at fault but the collectors, one way after the other: no line may be cut.
func TestCollectorTroubles(t *testing.T) {
	at := func(ms ...int) (c []collected) {
		for _, m := range ms {
			c = append(c, collected{late: time.Duration(m) * time.Millisecond})
		}
		return c
	}
	f := newFeed(20)
	for _, part := range []struct {
		what    string
		seconds int
		how     []collected
	}{
		{"out of phase", 5, at(200, 310, 420, 530)},
		{"one silent for 3 s", 3, at(-1, 310, 420, 530)},
		{"back", 3, at(200, 310, 420, 530)},
		{"one doubled", 5, []collected{{late: 200 * time.Millisecond, times: 2}, {late: 310 * time.Millisecond}, {late: 420 * time.Millisecond}}},
		{"all but one silent", 4, at(200)},
		{"that one doubled", 4, []collected{{late: 200 * time.Millisecond, times: 2}}},
		{"the one stalls inside its sums", 1, []collected{{late: 200 * time.Millisecond, stop: 12}}},
		{"and goes on a period late", 4, at(200)},
		{"nobody speaks", 4, at(-1)},
		{"and all do", 3, at(200, 200, 200, 200)},
		{"one late by 5 s", 5, at(-1, 310, 420, 530)},
		{"what it has to tell comes at once", 1, []collected{{late: 200 * time.Millisecond, times: 5}, {late: 310 * time.Millisecond},
			{late: 420 * time.Millisecond}, {late: 530 * time.Millisecond}}},
		{"back", 3, at(200, 310, 420, 530)},
	} {
		f.note(fmt.Sprint(part.what, " for ", part.seconds, " s"))
		f.seconds(part.seconds, part.how...)
	}
	f.note("one collector falls silent and a replica hangs: the others tell")
	f.hung[7] = true
	f.seconds(5, at(-1, 310, 420, 530)...)
	f.check(t)
}

// TestLateOurselves has the governor's wake-ups come 600 ms late, while a part of the sums still waits: it is the late
// one, and judges nobody.
func TestLateOurselves(t *testing.T) {
	f := newFeed(20)
	same := []collected{{late: 200 * time.Millisecond}, {late: 200 * time.Millisecond}}
	f.seconds(4, same...)
	for range 6 {
		f.now += 600 * ms
		f.step(Wake{TimerID: f.mark}, EndpointStats{Replica: 1, Zone: 0, Attempts: 125, Window: time.Second, MeanLatency: f.took, Report: LoadReport{Utilization: 0.5}})
	}
	for _, r := range f.g.replicas {
		if r.ejected {
			t.Errorf("while late itself it took replica %d for silent", r.id)
		}
	}
}
