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
		change := registry.Heartbeat(1*second, newHeartbeat("i1", 1))
		So(change.Changed, ShouldBeTrue)
		So(change.Urgent, ShouldBeFalse)
		Convey("a heartbeat with unchanged data reports no change", func() {
			change = registry.Heartbeat(2*second, newHeartbeat("i1", 2))
			So(change.Changed, ShouldBeFalse)
		})
		Convey("draining is urgent and is not reverted by a late heartbeat", func() {
			heartbeat := newHeartbeat("i1", 3)
			heartbeat.Draining = true
			change = registry.Heartbeat(2*second, heartbeat)
			So(change.Urgent, ShouldBeTrue)
			registry.Heartbeat(2*second, newHeartbeat("i1", 2))
			registry.Heartbeat(3*second, newHeartbeat("i1", 4))
			got, _ := lookup(registry, 3*second, "i1")
			So(got.Draining, ShouldBeTrue)
		})
		Convey("deregistration is final: late heartbeats change nothing", func() {
			So(registry.Deregister(2*second, "i1", EvidenceOwnCall, ""), ShouldBeTrue)
			registry.Merge(3*second, []fleet.Instance{newHeartbeat("i1", 9)})
			got, _ := lookup(registry, 3*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
		})
		Convey("a heartbeat with about the same end of the warm-up reports no change", func() {
			heartbeat := newHeartbeat("i1", 2)
			heartbeat.WarmupMillis = 3000
			registry.Heartbeat(2*second, heartbeat)
			heartbeat.Sequence, heartbeat.WarmupMillis = 3, 1990
			change := registry.Heartbeat(3*second, heartbeat)
			So(change.Changed, ShouldBeFalse)
		})
		// Regression: if a replica became cold again during its warm-up, an end less than 400 ms later was ignored.
		Convey("a later end of the warm-up is applied immediately", func() {
			heartbeat := newHeartbeat("i1", 2)
			heartbeat.WarmupMillis = 2954
			registry.Heartbeat(2*second, heartbeat)
			heartbeat.Sequence, heartbeat.WarmupMillis = 3, 3000
			change := registry.Heartbeat(2*second+254*time.Millisecond, heartbeat)
			So(change.Changed, ShouldBeTrue)
			got, _ := lookup(registry, 5*second, "i1")
			So(got.WarmupMillis, ShouldEqual, 254)
		})
		// Regression: a member restarted from its disk and missed that a replica had become cold since.
		Convey("a stale instance stays stale until it is updated", func() {
			registry = New(5 * second)
			persisted := newHeartbeat("i1", 1)
			persisted.Stale = true
			registry.Merge(1*second, []fleet.Instance{persisted})
			got, _ := lookup(registry, 2*second, "i1")
			So(got.Stale, ShouldBeTrue)
			Convey("by a heartbeat of the replica", func() {
				registry.Heartbeat(2*second, newHeartbeat("i1", 2))
				got, _ = lookup(registry, 2*second, "i1")
				So(got.Stale, ShouldBeFalse)
			})
			Convey("by a report with the same sequence, whose warm-up state is adopted", func() {
				heartbeat := newHeartbeat("i1", 1)
				heartbeat.WarmupMillis, heartbeat.WarmupStateUnknown = 2000, true
				registry.Merge(2*second, []fleet.Instance{heartbeat})
				got, _ = lookup(registry, 2*second, "i1")
				So(got.Stale, ShouldBeFalse)
				So(got.WarmupStateUnknown, ShouldBeTrue)
				So(got.WarmupMillis, ShouldEqual, 2000)
			})
			Convey("but not by a stale report or one with a lower sequence", func() {
				heartbeat := newHeartbeat("i1", 2)
				heartbeat.Stale = true
				registry.Merge(2*second, []fleet.Instance{heartbeat, {ID: "i1"}})
				got, _ = lookup(registry, 2*second, "i1")
				So(got.Stale, ShouldBeTrue)
			})
		})
		// Regression: a member was down during the evacuation of a zone and its end.
		Convey("an unknown warm-up state is adopted from a newer report, but not again shortly after", func() {
			heartbeat := newHeartbeat("i1", 2)
			heartbeat.WarmupStateUnknown = true
			registry.Merge(30*second, []fleet.Instance{heartbeat})
			got, _ := lookup(registry, 30*second, "i1")
			So(got.WarmupStateUnknown, ShouldBeTrue)
			registry.Heartbeat(31*second, newHeartbeat("i1", 3))
			heartbeat.Sequence = 4
			registry.Merge(31*second, []fleet.Instance{heartbeat})
			got, _ = lookup(registry, 31*second, "i1")
			So(got.WarmupStateUnknown, ShouldBeFalse)
		})
		// Regression: a replica restarted at the same address, or its address was reassigned to another service.
		Convey("a new instance at the same address deregisters it immediately", func() {
			change := registry.Heartbeat(2*second, newHeartbeat("i9", 1))
			So(change.Urgent, ShouldBeTrue)
			got, _ := lookup(registry, 2*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
			Convey("and a late heartbeat of the old instance does not deregister the new one", func() {
				registry.Heartbeat(3*second, newHeartbeat("i1", 2))
				got, _ := lookup(registry, 3*second, "i9")
				So(got.Deregistered, ShouldBeFalse)
			})
		})
	})
}
