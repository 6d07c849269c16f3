package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const second = time.Second

// heartbeatFrom makes a heartbeat of a ready replica; i2 has an address of its own.
func heartbeatFrom(id string, sequence uint64) Instance {
	addr := "10.0.0.1:80"
	if id == "i2" {
		addr = "10.0.0.2:80"
	}
	return Instance{ID: id, Service: "svc", Addr: addr, Zone: "a", Slots: 4, Sequence: sequence}
}

func findInstance(r *Registry, now time.Duration, id string) (found Instance, ok bool) {
	for _, x := range r.ChangesSince(now, AllRevisions) {
		if x.ID == id {
			return x, true
		}
	}
	return
}

func TestRegistry(t *testing.T) {
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
			registry.Merge(3*second, []Instance{heartbeatFrom("i1", 9)})
			got, _ := findInstance(registry, 3*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
		})
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
			registry.Merge(5*second, []Instance{{ID: "i1", Sequence: 4}})
			So(registry.Expire(7*second), ShouldBeEmpty)
			_, known := findInstance(registry, 7*second, "i2")
			registry.Merge(7*second, []Instance{{ID: "i2", Sequence: 4}})
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
			registry.Merge(1*second, []Instance{kept})
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
				registry.Merge(2*second, []Instance{heartbeat})
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeFalse)
				So(got.WarmthUnknown, ShouldBeTrue)
				So(got.WarmupMillis, ShouldEqual, 2000)
			})
			Convey("not one whose knowledge is stale too, or that has heard less", func() {
				heartbeat := heartbeatFrom("i1", 2)
				heartbeat.Stale = true
				registry.Merge(2*second, []Instance{heartbeat, {ID: "i1"}})
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeTrue)
			})
		})
		// Regression: a member was away while a zone was evacuated and taken back into use.
		Convey("that the warmth is unknown is taken over once, with a newer heartbeat", func() {
			heartbeat := heartbeatFrom("i1", 2)
			heartbeat.WarmthUnknown = true
			registry.Merge(30*second, []Instance{heartbeat})
			got, _ := findInstance(registry, 30*second, "i1")
			So(got.WarmthUnknown, ShouldBeTrue)
			registry.Heartbeat(31*second, heartbeatFrom("i1", 3))
			heartbeat.Sequence = 4
			registry.Merge(31*second, []Instance{heartbeat})
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
		Convey("changes are listed from a revision on", func() {
			rev := registry.Revision()
			registry.Heartbeat(2*second, heartbeatFrom("i2", 1))
			So(len(registry.ChangesSince(2*second, rev)), ShouldEqual, 1)
		})
	})
}
