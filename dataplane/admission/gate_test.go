package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestGate(t *testing.T) {
	Convey("Given a service whose work takes 200 ms", t, func() {
		g := New()
		for range 100 {
			g.Answered(200*time.Millisecond, 0.5)
		}
		first := Request{Route: "r", Target: time.Second, Left: 3 * time.Second}
		Convey("a request may queue as deep as it can still be answered in time", func() {
			So(g.Depth(first), ShouldAlmostEqual, 2.5, 0.01)
		})
		Convey("time spent in a queue is not taken for work", func() {
			for range 100 {
				g.Answered(600*time.Millisecond, 3)
			}
			So(g.Depth(first), ShouldAlmostEqual, 2.5, 0.01)
		})
		Convey("lower ranks give way first, none is shut out of free slots", func() {
			low := first
			low.Priority = 2
			So(g.Depth(low), ShouldBeLessThan, g.Depth(first))
			low.Priority, low.Target = 9, 10*time.Millisecond
			So(g.Depth(low), ShouldEqual, shallowest)
		})
		Convey("who comes back after a refusal is refused last", func() {
			depth := g.Depth(first)
			back := first
			back.Left = 2 * time.Second
			So(g.Depth(back), ShouldBeGreaterThan, depth)
		})
		Convey("the more is refused, the later they are told to come, within a third of their time", func() {
			calm := g.Refused(first, 0.5)
			for range 100 {
				g.Refused(first, 0.5)
			}
			So(g.Refused(first, 0.5), ShouldBeGreaterThan, calm)
			So(g.Refused(first, 0), ShouldBeLessThan, g.Refused(first, 1))
			So(g.Refused(Request{Left: 300 * time.Millisecond}, 1), ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
			for range 200 {
				g.Admitted()
			}
			So(g.Refused(first, 0.5), ShouldAlmostEqual, calm, 50*time.Millisecond)
		})
	})
	Convey("Without a target or any answer yet nothing is refused", t, func() {
		g := New()
		So(g.Depth(Request{Target: time.Second, Left: time.Second}), ShouldBeGreaterThan, 1e6)
		g.Answered(time.Second, 1)
		So(g.Depth(Request{Left: time.Second}), ShouldBeGreaterThan, 1e6)
	})
}
