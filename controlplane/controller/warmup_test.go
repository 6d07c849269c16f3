package controller

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWarmupRates(t *testing.T) {
	Convey("Given three members, each with a gateway, and a replica that is warming up", t, func() {
		c := newCluster()
		for i := range 3 {
			c.join(i, uint64(i+1))
		}
		c.sendHeartbeat(0, 1, 60000)
		c.run(2 * time.Second)
		Convey("each assigns an equal share of the warm-up rate, 90% in total", func() {
			So(c.warmupRate(1)+c.warmupRate(2)+c.warmupRate(3), ShouldAlmostEqual, 9, 1e-3)
		})
		// Regression: a member assigned a warm-up rate again after its isolation while the earlier one was still valid.
		Convey("a member that was isolated assigns no rates until its earlier ones have expired", func() {
			c.isolated[2] = true
			c.run(5 * time.Second)
			So(c.closedStreams[3], ShouldBeTrue)
			c.step(2, Event{GatewayLeft: 3})
			c.isolated[2] = false
			for !c.controllers[2].Coordinator().HasQuorumContact(c.now) {
				c.run(10 * time.Millisecond)
			}
			reconnectedAt := c.now
			stream := c.joinUntilAdmitted(2, 4)
			So(c.now-reconnectedAt, ShouldBeLessThan, time.Second) // precondition of the loop below
			for c.now-reconnectedAt < time.Second {
				So(c.warmupRate(stream), ShouldEqual, 0)
				c.run(10 * time.Millisecond)
			}
			c.run(500 * time.Millisecond)
			So(c.warmupRate(stream), ShouldAlmostEqual, 3, 1e-3)
		})
		// Regression: snapshots without warm-up rates left the rates of the previous member in effect at the gateway.
		Convey("a snapshot includes the warm-up rates even if there are none", func() {
			c.join(0, 7)
			So(c.updates[7].Full, ShouldBeTrue)
			So(c.updates[7].WarmupRatesComplete, ShouldBeTrue)
		})
	})
}
