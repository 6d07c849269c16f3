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
		registry.Heartbeat(1*second, heartbeatFrom("i1", 1))
		// Regression: a member that had been frozen deregistered all instances when it resumed, and its reports ended them everywhere.
		Convey("a heartbeat timeout is withdrawn by the next heartbeat", func() {
			So(registry.Expire(7*second), ShouldResemble, []string{"i1"})
			got, _ := findInstance(registry, 7*second, "i1")
			So(got.HeartbeatTimedOut, ShouldBeTrue)
			So(got.Deregistered, ShouldBeFalse)
			Convey("and other members do not take it over", func() {
				other := New(5 * second)
				other.Heartbeat(7*second, heartbeatFrom("i1", 2))
				other.Merge(7*second, registry.ChangesSince(7*second, AllRevisions))
				got, _ := findInstance(other, 7*second, "i1")
				So(got.HeartbeatTimedOut, ShouldBeFalse)
				So(got.Deregistered, ShouldBeFalse)
			})
			change := registry.Heartbeat(8*second, heartbeatFrom("i1", 2))
			So(change.Changed, ShouldBeTrue)
			got, _ = findInstance(registry, 8*second, "i1")
			So(got.HeartbeatTimedOut, ShouldBeFalse)
		})
		Convey("after a stall the heartbeats of all are extended", func() {
			registry.ExtendHeartbeats(60 * second)
			So(registry.Expire(61*second), ShouldBeEmpty)
		})
		Convey("heartbeats that came through another member keep it", func() {
			registry.Merge(5*second, []fleet.Instance{{ID: "i1", Sequence: 4}})
			So(registry.Expire(7*second), ShouldBeEmpty)
			registry.Merge(7*second, []fleet.Instance{{ID: "i2", Sequence: 4}})
			_, known := findInstance(registry, 7*second, "i2")
			So(known, ShouldBeFalse)
		})
		// Regression: as a zone's evacuation finishes, its replicas have just turned cold and have not told so yet.
		Convey("when its zone's evacuation finishes, its warmth is unknown until a later heartbeat", func() {
			registry.MarkWarmthUnknown(2*second, "a")
			registry.Heartbeat(2*second+10*time.Millisecond, heartbeatFrom("i1", 2)) // sent before
			got, _ := findInstance(registry, 2*second, "i1")
			So(got.WarmthUnknown, ShouldBeTrue)
			heartbeat := heartbeatFrom("i1", 3)
			heartbeat.WarmupMillis = 2500
			registry.Heartbeat(3*second, heartbeat)
			got, _ = findInstance(registry, 3*second, "i1")
			So(got.WarmthUnknown, ShouldBeFalse)
			So(got.WarmupMillis, ShouldEqual, 2500)
			got, _ = findInstance(registry, 4*second, "i1")
			So(got.WarmupMillis, ShouldEqual, 1500)
		})
	})
}
