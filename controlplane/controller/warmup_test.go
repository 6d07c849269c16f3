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
		c.heartbeat(0, 1, 60000)
		c.run(2 * time.Second)
		Convey("each gives out its part of the warm-up rate, nine tenths in all", func() {
			So(c.warmupRate(1)+c.warmupRate(2)+c.warmupRate(3), ShouldAlmostEqual, 9, 1e-3)
		})
		// Regression: a warm-up rate was given out twice, by a member before it was isolated and again when it was back.
		Convey("a member that was isolated gives out nothing until what it gave out before has lapsed", func() {
			c.isolated[2] = true
			c.run(5 * time.Second)
			So(c.closedStreams[3], ShouldBeTrue)
			c.step(2, Event{GatewayLeft: 3})
			c.isolated[2] = false
			for !c.controllers[2].Coordinator().HasQuorumContact(c.now) {
				c.run(10 * time.Millisecond)
			}
			back := c.now
			stream := c.joinUntilAdmitted(2, 4)
			So(c.now-back, ShouldBeLessThan, time.Second) // else nothing is shown
			for c.now-back < time.Second {
				So(c.warmupRate(stream), ShouldEqual, 0)
				c.run(10 * time.Millisecond)
			}
			c.run(500 * time.Millisecond)
			So(c.warmupRate(stream), ShouldAlmostEqual, 3, 1e-3)
		})
		// Regression: a snapshot told nothing of warm-up rates, and a gateway that came from another member kept those it had.
		Convey("a snapshot carries the warm-up rates, also where there are none", func() {
			c.join(0, 7)
			So(c.updates[7].Full, ShouldBeTrue)
			So(c.updates[7].WarmupRatesComplete, ShouldBeTrue)
		})
	})
}
