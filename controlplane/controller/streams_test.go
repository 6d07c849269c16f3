package controller

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestJoinAfterIsolation(t *testing.T) {
	Convey("Given a member that was isolated for longer than the deregistration timeout", t, func() {
		c := newCluster()
		c.sendHeartbeat(0, 1, 0)
		c.run(2 * time.Second)
		c.isolated[2] = true
		c.run(5 * time.Second)
		for range 25 { // the replica's heartbeats reach another member
			c.run(time.Second)
			c.sendHeartbeat(0, 2+uint64(c.now/time.Second), 0)
		}
		c.isolated[2] = false
		// Regression: a gateway that joined before the first tick after a partition made the member deregister all instances.
		Convey("after reconnecting it treats no instance as deregistered or timed out, even if a gateway joins before its next tick", func() {
			for !c.controllers[2].Coordinator().HasQuorumContact(c.now) {
				c.now += 10 * time.Millisecond
				c.step(0, Event{})
				c.step(1, Event{})
				c.controllers[2].coordinator.Tick(c.now)
			}
			stream := c.joinUntilAdmitted(2, 9)
			c.run(TickInterval)
			So(c.updates[stream], ShouldNotBeNil)
			instance, ok := c.controllers[2].registry.Get(c.now, "i1")
			So(ok, ShouldBeTrue)
			So(instance.HeartbeatTimedOut, ShouldBeFalse)
		})
		// Regression: gateways removed replicas that had started during the partition.
		Convey("its snapshot is marked as bootstrapping", func() {
			for !c.controllers[2].Coordinator().HasQuorumContact(c.now) {
				c.run(10 * time.Millisecond)
			}
			stream := c.joinUntilAdmitted(2, 9)
			So(c.updates[stream].Full, ShouldBeTrue)
			So(c.updates[stream].Bootstrapping, ShouldBeTrue)
		})
	})
}
