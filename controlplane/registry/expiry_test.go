package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

func TestExpiry(t *testing.T) {
	Convey("Given a registry with one instance", t, func() {
		registry := New(5 * second)
		registry.Heartbeat(1*second, newHeartbeat("i1", 1))
		// Regression: a member that resumed after a suspension deregistered all instances, on all members.
		Convey("a heartbeat timeout is reset by the next heartbeat", func() {
			So(registry.Expire(7*second), ShouldResemble, []string{"i1"})
			got, _ := lookup(registry, 7*second, "i1")
			So(got.HeartbeatTimedOut, ShouldBeTrue)
			So(got.Deregistered, ShouldBeFalse)
			Convey("and is not adopted by other members", func() {
				other := New(5 * second)
				other.Heartbeat(7*second, newHeartbeat("i1", 2))
				other.Merge(7*second, registry.ChangesSince(7*second, AllRevisions))
				got, _ := lookup(other, 7*second, "i1")
				So(got.HeartbeatTimedOut, ShouldBeFalse)
				So(got.Deregistered, ShouldBeFalse)
			})
			change := registry.Heartbeat(8*second, newHeartbeat("i1", 2))
			So(change.Changed, ShouldBeTrue)
			got, _ = lookup(registry, 8*second, "i1")
			So(got.HeartbeatTimedOut, ShouldBeFalse)
		})
		Convey("ExtendHeartbeats prevents timeouts after a stall", func() {
			registry.ExtendHeartbeats(60 * second)
			So(registry.Expire(61*second), ShouldBeEmpty)
		})
		Convey("indirect heartbeats keep it alive, but do not add unknown instances", func() {
			registry.Merge(5*second, []fleet.Instance{{ID: "i1", Sequence: 4}})
			So(registry.Expire(7*second), ShouldBeEmpty)
			registry.Merge(7*second, []fleet.Instance{{ID: "i2", Sequence: 4}})
			_, known := lookup(registry, 7*second, "i2")
			So(known, ShouldBeFalse)
		})
		// Regression: when a zone's evacuation ends, its replicas may have become cold without having reported it yet.
		Convey("when its zone's evacuation ends, its warm-up state is unknown until a later heartbeat", func() {
			registry.MarkWarmupStateUnknown(2*second, "a")
			registry.Heartbeat(2*second+10*time.Millisecond, newHeartbeat("i1", 2)) // sent before
			got, _ := lookup(registry, 2*second, "i1")
			So(got.WarmupStateUnknown, ShouldBeTrue)
			heartbeat := newHeartbeat("i1", 3)
			heartbeat.WarmupMillis = 2500
			registry.Heartbeat(3*second, heartbeat)
			got, _ = lookup(registry, 3*second, "i1")
			So(got.WarmupStateUnknown, ShouldBeFalse)
			So(got.WarmupMillis, ShouldEqual, 2500)
			got, _ = lookup(registry, 4*second, "i1")
			So(got.WarmupMillis, ShouldEqual, 1500)
		})
	})
}
