package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const second = time.Second

func heartbeatFrom(id string, sequence uint64) Instance {
	addr := "10.0.0.1:80"
	if id == "i2" {
		addr = "10.0.0.2:80"
	}
	return Instance{ID: id, Service: "svc", Addr: addr, Zone: "a", Slots: 4, Sequence: sequence}
}

func findInstance(r *Registry, now time.Duration, id string) (l Instance, ok bool) {
	for _, x := range r.ChangesSince(now, AllRevisions) {
		if x.ID == id {
			return x, true
		}
	}
	return
}

func TestRegistry(t *testing.T) {
	Convey("Given a comb that hears a replica", t, func() {
		registry := New(5 * second)
		changed, urgent := registry.Heartbeat(1*second, heartbeatFrom("i1", 1))
		So(changed, ShouldBeTrue)
		So(urgent, ShouldBeFalse)
		Convey("a beat that tells nothing new is no news", func() {
			changed, _ = registry.Heartbeat(2*second, heartbeatFrom("i1", 2))
			So(changed, ShouldBeFalse)
		})
		Convey("draining is urgent, and a late word does not take it back", func() {
			heartbeat := heartbeatFrom("i1", 3)
			heartbeat.Draining = true
			_, urgent = registry.Heartbeat(2*second, heartbeat)
			So(urgent, ShouldBeTrue)
			registry.Heartbeat(2*second, heartbeatFrom("i1", 2))
			registry.Heartbeat(3*second, heartbeatFrom("i1", 4))
			got, _ := findInstance(registry, 3*second, "i1")
			So(got.Draining, ShouldBeTrue)
		})
		Convey("an end is final: late words of it change nothing", func() {
			So(registry.Deregister(2*second, "i1"), ShouldBeTrue)
			registry.Merge(3*second, []Instance{heartbeatFrom("i1", 9)})
			got, _ := findInstance(registry, 3*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
		})
		// Guards against a comb that was frozen: it woke, took all replicas for gone, and its word ended them everywhere.
		Convey("silence is doubted, and taken back by the next beat", func() {
			So(registry.Expire(7*second), ShouldResemble, []string{"i1"})
			got, _ := findInstance(registry, 7*second, "i1")
			So(got.HeartbeatTimedOut, ShouldBeTrue)
			So(got.Deregistered, ShouldBeFalse)
			Convey("which other combs do not take over", func() {
				other := New(5 * second)
				other.Heartbeat(7*second, heartbeatFrom("i1", 2))
				other.Merge(7*second, registry.ChangesSince(7*second, AllRevisions))
				got, _ := findInstance(other, 7*second, "i1")
				So(got.HeartbeatTimedOut, ShouldBeFalse)
				So(got.Deregistered, ShouldBeFalse)
			})
			changed, _ := registry.Heartbeat(8*second, heartbeatFrom("i1", 2))
			So(changed, ShouldBeTrue)
			got, _ = findInstance(registry, 8*second, "i1")
			So(got.HeartbeatTimedOut, ShouldBeFalse)
		})
		Convey("one that was held up excuses everyone", func() {
			registry.ExtendHeartbeats(60 * second)
			So(registry.Expire(61*second), ShouldBeEmpty)
		})
		Convey("signs of life from another comb keep it", func() {
			registry.Merge(5*second, []Instance{{ID: "i1", Sequence: 4}})
			So(registry.Expire(7*second), ShouldBeEmpty)
			_, known := findInstance(registry, 7*second, "i2")
			registry.Merge(7*second, []Instance{{ID: "i2", Sequence: 4}})
			So(known, ShouldBeFalse)
		})
		// Guards a zone that is given back: its replicas turned cold shortly before, and have not said so yet.
		Convey("when its zone is given back it is in doubt until it has beaten anew", func() {
			registry.MarkWarmthUnknown(2*second, "a")
			registry.Heartbeat(2*second+10*time.Millisecond, heartbeatFrom("i1", 2)) // was under way
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
		Convey("a cold end that is known does not make news with every beat", func() {
			heartbeat := heartbeatFrom("i1", 2)
			heartbeat.WarmupMillis = 3000
			registry.Heartbeat(2*second, heartbeat)
			heartbeat.Sequence, heartbeat.WarmupMillis = 3, 1990
			changed, _ := registry.Heartbeat(3*second, heartbeat)
			So(changed, ShouldBeFalse)
		})
		// Guards a replica that turns cold anew before its first cold span has ended: a later end of less than 400 ms was passed over.
		Convey("a cold end that moves later counts at once", func() {
			heartbeat := heartbeatFrom("i1", 2)
			heartbeat.WarmupMillis = 2954
			registry.Heartbeat(2*second, heartbeat)
			heartbeat.Sequence, heartbeat.WarmupMillis = 3, 3000
			changed, _ := registry.Heartbeat(2*second+254*time.Millisecond, heartbeat)
			So(changed, ShouldBeTrue)
			got, _ := findInstance(registry, 5*second, "i1")
			So(got.WarmupMillis, ShouldEqual, 254)
		})
		// Guards a comb that starts from its disk: a replica may have turned cold since, or be in doubt.
		Convey("what is unsure is told as old until somebody knows better", func() {
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
			Convey("a comb or a forager that has heard as much, which also tells of cold and doubt", func() {
				heartbeat := heartbeatFrom("i1", 1)
				heartbeat.WarmupMillis, heartbeat.WarmthUnknown = 2000, true
				registry.Merge(2*second, []Instance{heartbeat})
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeFalse)
				So(got.WarmthUnknown, ShouldBeTrue)
				So(got.WarmupMillis, ShouldEqual, 2000)
			})
			Convey("not one that is unsure too, or has heard less", func() {
				heartbeat := heartbeatFrom("i1", 2)
				heartbeat.Stale = true
				registry.Merge(2*second, []Instance{heartbeat, {ID: "i1"}})
				got, _ = findInstance(registry, 2*second, "i1")
				So(got.Stale, ShouldBeTrue)
			})
		})
		// Guards a comb that was away while a zone was emptied and given back.
		Convey("doubt of another comb is taken over with a newer beat, once", func() {
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
		// Guards a crash and a new start at the same address, and an address handed to another service.
		Convey("a new life at its address ends it at once", func() {
			_, urgent := registry.Heartbeat(2*second, heartbeatFrom("i9", 1))
			So(urgent, ShouldBeTrue)
			got, _ := findInstance(registry, 2*second, "i1")
			So(got.Deregistered, ShouldBeTrue)
			Convey("which a late word of the old one does not turn round", func() {
				registry.Heartbeat(3*second, heartbeatFrom("i1", 2))
				got, _ := findInstance(registry, 3*second, "i9")
				So(got.Deregistered, ShouldBeFalse)
			})
		})
		Convey("a stream is told what changed after what it holds", func() {
			rev := registry.Revision()
			registry.Heartbeat(2*second, heartbeatFrom("i2", 1))
			So(len(registry.ChangesSince(2*second, rev)), ShouldEqual, 1)
		})
	})
}
