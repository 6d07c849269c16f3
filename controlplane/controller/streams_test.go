package controller

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestJoinAfterIsolation(t *testing.T) {
	Convey("Given a member that was isolated for long", t, func() {
		c := newCluster()
		c.heartbeat(0, 1, 0)
		c.run(2 * time.Second)
		c.isolated[2] = true
		c.run(5 * time.Second)
		for range 25 { // the replica sends its heartbeats elsewhere
			c.run(time.Second)
			c.heartbeat(0, 2+uint64(c.now/time.Second), 0)
		}
		c.isolated[2] = false
		// Regression: the whole fleet was deregistered by a member that could not hear it, where a gateway joined first after the partition.
		Convey("it takes nobody as deregistered or timed out when it is back, also where a gateway joins before its next tick", func() {
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
		// Regression: gateways let go of replicas that had started during the partition.
		Convey("it tells that it may not know all instances", func() {
			for !c.controllers[2].Coordinator().HasQuorumContact(c.now) {
				c.run(10 * time.Millisecond)
			}
			stream := c.joinUntilAdmitted(2, 9)
			So(c.updates[stream].Full, ShouldBeTrue)
			So(c.updates[stream].Bootstrapping, ShouldBeTrue)
		})
	})
}
