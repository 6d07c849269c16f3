package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestEventQueueOrder checks that events are ordered by time, then by scheduling order.
func TestEventQueueOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var queue eventQueue
	var want []event
	for i := range 500 {
		e := event{at: time.Duration(random.IntN(40)), sequence: i}
		want = append(want, e)
		queue.push(e)
		if random.IntN(3) == 0 { // interleave pops with pushes
			taken := queue.pop()
			earliest := slices.MinFunc(want, compareEvents)
			if taken.at != earliest.at || taken.sequence != earliest.sequence {
				t.Fatalf("got event %d at %d, want event %d at %d", taken.sequence, taken.at, earliest.sequence, earliest.at)
			}
			want = slices.DeleteFunc(want, func(e event) bool { return e.sequence == taken.sequence })
		}
	}
	slices.SortFunc(want, compareEvents)
	for _, e := range want {
		if taken := queue.pop(); taken.at != e.at || taken.sequence != e.sequence {
			t.Fatalf("got event %d at %d, want event %d at %d", taken.sequence, taken.at, e.sequence, e.at)
		}
	}
	if len(queue) > 0 {
		t.Errorf("%d events left in the queue", len(queue))
	}
}

func compareEvents(a, b event) int {
	if a.before(b) {
		return -1
	}
	return 1
}
