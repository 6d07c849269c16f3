package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestController(t *testing.T) {
	Convey("Given a service whose requests take 200 ms", t, func() {
		controller := New()
		for range 100 {
			controller.RecordResponse(200*time.Millisecond, 0.5)
		}
		first := Request{Route: "r", LatencyTarget: time.Second, TimeLeft: 3 * time.Second}
		Convey("the queue depth is limited to what can be answered within the latency target", func() {
			So(controller.MaxQueueDepth(first), ShouldAlmostEqual, 2.5, 0.01)
		})
		Convey("queueing time does not count as service time", func() {
			for range 100 {
				controller.RecordResponse(600*time.Millisecond, 3)
			}
			So(controller.MaxQueueDepth(first), ShouldAlmostEqual, 2.5, 0.01)
		})
		Convey("lower priorities queue less deep, and every priority may use free slots", func() {
			low := first
			low.Priority = 2
			So(controller.MaxQueueDepth(low), ShouldBeLessThan, controller.MaxQueueDepth(first))
			low.Priority, low.LatencyTarget = 9, 10*time.Millisecond
			So(controller.MaxQueueDepth(low), ShouldEqual, minQueueDepth)
		})
		Convey("a client that retries after a rejection may queue deeper", func() {
			depth := controller.MaxQueueDepth(first)
			retry := first
			retry.TimeLeft = 2 * time.Second
			So(controller.MaxQueueDepth(retry), ShouldBeGreaterThan, depth)
		})
		Convey("Retry-After grows with the share of rejected requests, up to a third of the time left", func() {
			initial := controller.Reject(first, 0.5)
			for range 100 {
				controller.Reject(first, 0.5)
			}
			So(controller.Reject(first, 0.5), ShouldBeGreaterThan, initial)
			So(controller.Reject(first, 0), ShouldBeLessThan, controller.Reject(first, 1))
			So(controller.Reject(Request{TimeLeft: 300 * time.Millisecond}, 1), ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
			for range 200 {
				controller.RecordAdmission()
			}
			So(controller.Reject(first, 0.5), ShouldAlmostEqual, initial, 50*time.Millisecond)
		})
	})
	Convey("Without a latency target or a recorded response the queue depth is unlimited", t, func() {
		controller := New()
		So(controller.MaxQueueDepth(Request{LatencyTarget: time.Second, TimeLeft: time.Second}), ShouldBeGreaterThan, 1e6)
		controller.RecordResponse(time.Second, 1)
		So(controller.MaxQueueDepth(Request{TimeLeft: time.Second}), ShouldBeGreaterThan, 1e6)
	})
}
