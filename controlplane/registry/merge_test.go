package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

func TestMerge(t *testing.T) {
	Convey("Given a registry with one instance", t, func() {
		registry := New(5 * second)
		change := registry.Heartbeat(1*second, heartbeatFrom("i1", 1))
		So(change.Changed, ShouldBeTrue)
		So(change.Urgent, ShouldBeFalse)
		Convey("a heartbeat that tells nothing new changes nothing", func() {
			change = registry.Heartbeat(2*second, heartbeatFrom("i1", 2))
			So(change.Changed, ShouldBeFalse)
		})
		Convey("draining is urgent, and a late heartbeat does not take it back", func() {
			heartbeat := heartbeatFrom("i1", 3)
			heartbeat.Draining = true
			change = registry.Heartbeat(2*second, heartbeat)
			So(change.Urgent, ShouldBeTrue)
			registry.Heartbeat(2*second, heartbeatFrom("i1", 2))
			registry.Heartbeat(3*second, heartbeatFrom("i1", 4))
			got, _ := findInstance(registry, 3*second, "i1")
			So(got.Draining, ShouldBeTrue)
		})
		Convey("deregistration is final: late heartbeats change nothing", func() {
			So(registry.Deregister(2*second, "i1"), ShouldBeTrue)
			registry.Merge(3*second, []fleet.Instance{heartbeatFrom("i1", 9)})
			got, _ := findInstance(registry, 3*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
		})
		Convey("a known end of the warm-up is no change with every heartbeat", func() {
			heartbeat := heartbeatFrom("i1", 2)
			heartbeat.WarmupMillis = 3000
			registry.Heartbeat(2*second, heartbeat)
			heartbeat.Sequence, heartbeat.WarmupMillis = 3, 1990
			change := registry.Heartbeat(3*second, heartbeat)
			So(change.Changed, ShouldBeFalse)
		})
		// Regression: a replica turns cold anew before its first warm-up has ended; an end less than 400 ms later was ignored.
		Convey("an end of the warm-up that moves later counts at once", func() {
			heartbeat := heartbeatFrom("i1", 2)
			heartbeat.WarmupMillis = 2954
			registry.Heartbeat(2*second, heartbeat)
			heartbeat.Sequence, heartbeat.WarmupMillis = 3, 3000
			change := registry.Heartbeat(2*second+254*time.Millisecond, heartbeat)
			So(change.Changed, ShouldBeTrue)
			got, _ := findInstance(registry, 5*second, "i1")
			So(got.WarmupMillis, ShouldEqual, 254)
		})
		// Regression: a member starts from its disk; a replica may have turned cold since, or its warmth be unknown.
		Convey("what comes from a disk stays stale until somebody knows better", func() {
			registry = New(5 * second)
			kept := heartbeatFrom("i1", 1)
			kept.Stale = true
			registry.Merge(1*second, []fleet.Instance{kept})
			got, _ := findInstance(registry, 2*second, "i1")
			So(got.Stale, ShouldBeTrue)
			Convey("the replica itself", func() {
				registry.Heartbeat(2*second, heartbeatFrom("i1", 2))
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeFalse)
			})
			Convey("a member or gateway that has heard as much, whose warm-up state is taken over", func() {
				heartbeat := heartbeatFrom("i1", 1)
				heartbeat.WarmupMillis, heartbeat.WarmthUnknown = 2000, true
				registry.Merge(2*second, []fleet.Instance{heartbeat})
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeFalse)
				So(got.WarmthUnknown, ShouldBeTrue)
				So(got.WarmupMillis, ShouldEqual, 2000)
			})
			Convey("not one whose knowledge is stale too, or that has heard less", func() {
				heartbeat := heartbeatFrom("i1", 2)
				heartbeat.Stale = true
				registry.Merge(2*second, []fleet.Instance{heartbeat, {ID: "i1"}})
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeTrue)
			})
		})
		// Regression: a member was away while a zone was evacuated and taken back into use.
		Convey("that the warmth is unknown is taken over once, with a newer heartbeat", func() {
			heartbeat := heartbeatFrom("i1", 2)
			heartbeat.WarmthUnknown = true
			registry.Merge(30*second, []fleet.Instance{heartbeat})
			got, _ := findInstance(registry, 30*second, "i1")
			So(got.WarmthUnknown, ShouldBeTrue)
			registry.Heartbeat(31*second, heartbeatFrom("i1", 3))
			heartbeat.Sequence = 4
			registry.Merge(31*second, []fleet.Instance{heartbeat})
			got, _ = findInstance(registry, 31*second, "i1")
			So(got.WarmthUnknown, ShouldBeFalse)
		})
		// Regression: a replica crashed and started anew at its address; an address was handed to another service.
		Convey("a new instance at its address deregisters it at once", func() {
			change := registry.Heartbeat(2*second, heartbeatFrom("i9", 1))
			So(change.Urgent, ShouldBeTrue)
			got, _ := findInstance(registry, 2*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
			Convey("and a late heartbeat of the old one does not turn that round", func() {
				registry.Heartbeat(3*second, heartbeatFrom("i1", 2))
				got, _ := findInstance(registry, 3*second, "i9")
				So(got.Deregistered, ShouldBeFalse)
			})
		})
	})
}
