package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestController(t *testing.T) {
	Convey("Given a service whose work takes 200 ms", t, func() {
		g := New()
		for range 100 {
			g.RecordAnswer(200*time.Millisecond, 0.5)
		}
		first := Request{Route: "r", LatencyTarget: time.Second, TimeLeft: 3 * time.Second}
		Convey("a request may queue as deep as it can still be answered in time", func() {
			So(g.MaxQueueDepth(first), ShouldAlmostEqual, 2.5, 0.01)
		})
		Convey("time spent in a queue is not taken for work", func() {
			for range 100 {
				g.RecordAnswer(600*time.Millisecond, 3)
			}
			So(g.MaxQueueDepth(first), ShouldAlmostEqual, 2.5, 0.01)
		})
		Convey("lower ranks give way first, none is shut out of free slots", func() {
			low := first
			low.Priority = 2
			So(g.MaxQueueDepth(low), ShouldBeLessThan, g.MaxQueueDepth(first))
			low.Priority, low.LatencyTarget = 9, 10*time.Millisecond
			So(g.MaxQueueDepth(low), ShouldEqual, minQueueDepth)
		})
		Convey("who comes back after a refusal is refused last", func() {
			depth := g.MaxQueueDepth(first)
			back := first
			back.TimeLeft = 2 * time.Second
			So(g.MaxQueueDepth(back), ShouldBeGreaterThan, depth)
		})
		Convey("the more is refused, the later they are told to come, within a third of their time", func() {
			calm := g.Reject(first, 0.5)
			for range 100 {
				g.Reject(first, 0.5)
			}
			So(g.Reject(first, 0.5), ShouldBeGreaterThan, calm)
			So(g.Reject(first, 0), ShouldBeLessThan, g.Reject(first, 1))
			So(g.Reject(Request{TimeLeft: 300 * time.Millisecond}, 1), ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
			for range 200 {
				g.RecordAdmission()
			}
			So(g.Reject(first, 0.5), ShouldAlmostEqual, calm, 50*time.Millisecond)
		})
	})
	Convey("Without a target or any answer yet nothing is refused", t, func() {
		g := New()
		So(g.MaxQueueDepth(Request{LatencyTarget: time.Second, TimeLeft: time.Second}), ShouldBeGreaterThan, 1e6)
		g.RecordAnswer(time.Second, 1)
		So(g.MaxQueueDepth(Request{TimeLeft: time.Second}), ShouldBeGreaterThan, 1e6)
	})
}
