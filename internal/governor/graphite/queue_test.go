package graphite

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// TestQueueDropsOldest checks that a full queue drops the oldest points and counts them.
func TestQueueDropsOldest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(senderOptions("nobody"), names(), testkit.Logger(&strings.Builder{}))
		s.options.MaxQueuedPoints = 100
		for i := range 50 {
			s.enqueue([]byte(fmt.Sprint(i)), 7)
		}
		if s.queuedPoints != 98 || s.stats.Dropped != 50*7-98 || string(s.queue[0].lines) != "36" {
			t.Errorf("%d queued, starting with %s, %d dropped", s.queuedPoints, s.queue[0].lines, s.stats.Dropped)
		}
		c, _ := s.dequeue()
		s.enqueue([]byte("50"), 7)
		s.requeue(c) // dropped, as newer points have taken its room
		if s.queuedPoints != 98 || string(s.queue[0].lines) != "37" || s.stats.Dropped != 51*7-98 {
			t.Errorf("%d queued, starting with %s, %d dropped", s.queuedPoints, s.queue[0].lines, s.stats.Dropped)
		}
	})
}
