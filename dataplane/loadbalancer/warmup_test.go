package loadbalancer

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

// Guards the warm-up state against updates from members with older or incomplete information.
func TestWarmupUpdates(t *testing.T) {
	Convey("Given a gateway that knows an instance's fifth heartbeat", t, func() {
		balancer := New("a")
		// flags holds "stale", "unknown" or both.
		update := func(now time.Duration, sequence uint64, warmupMillis int64, flags string) bool {
			reported := instance("c1", "a")
			reported.Sequence, reported.WarmupMillis = sequence, warmupMillis
			reported.WarmupStateUnknown, reported.Stale = strings.Contains(flags, "unknown"), strings.Contains(flags, "stale")
			balancer.UpdateInstances(now, flags == "stale", []fleet.Instance{reported})
			return balancer.Get("c1").WarmingUp(now)
		}
		update(0, 5, 3000, "")
		// Guards against a warm-up that ends early when the gateway switches to a member without the newest heartbeat.
		Convey("an older heartbeat does not end the warm-up", func() {
			So(update(s, 4, 0, ""), ShouldBeTrue)
			So(update(2*s, 6, 0, ""), ShouldBeFalse)
		})
		Convey("an older heartbeat does not start a warm-up", func() {
			update(s, 6, 0, "")
			So(update(s, 5, 3000, ""), ShouldBeFalse)
		})
		Convey("an unknown warm-up state applies with any heartbeat, until a newer heartbeat", func() {
			update(s, 6, 0, "")
			So(update(s, 5, 0, "unknown"), ShouldBeTrue)
			So(update(s, 5, 0, ""), ShouldBeTrue) // from a lagging member
			So(update(s, 6, 0, ""), ShouldBeFalse)
		})
		Convey("an unknown warm-up state that no update resolves expires", func() {
			update(s, 6, 0, "")
			update(s, 6, 0, "unknown")
			So(balancer.Get("c1").WarmingUp(s+unknownWarmupStateTimeout-1), ShouldBeTrue)
			So(balancer.Get("c1").WarmingUp(s+unknownWarmupStateTimeout), ShouldBeFalse)
		})
		// Guards against stale updates from a member that has just restarted from disk.
		Convey("a stale update does not override fresh state", func() {
			So(update(s, 9, 0, "stale"), ShouldBeTrue)
			update(s, 6, 0, "")
			So(update(s, 9, 0, "stale"), ShouldBeFalse)
		})
		// Guards against cold endpoints that receive full load when the whole control plane restarts from disk and then ends an
		// evacuation: its updates are stale, but their unknown warm-up state must be applied.
		Convey("an unknown warm-up state in a stale update applies, until a newer heartbeat", func() {
			update(s, 6, 0, "")
			So(update(s, 5, 0, "stale unknown"), ShouldBeTrue)
			So(update(s, 6, 0, ""), ShouldBeTrue)
			So(update(s, 7, 0, ""), ShouldBeFalse)
		})
	})
	// Guards against cold endpoints that receive full load when the control plane restarts around the end of an evacuation, and
	// no member marks their warm-up state as unknown.
	Convey("Given a gateway for which zones a and b are evacuated", t, func() {
		balancer := New("a")
		heartbeat := func(now time.Duration, sequence uint64) bool {
			reported := instance("c1", "a")
			reported.Sequence = sequence
			balancer.UpdateInstances(now, false, []fleet.Instance{reported})
			return balancer.Get("c1").WarmingUp(now)
		}
		heartbeat(0, 5)
		balancer.SetEvacuatedZones(0, []string{"a", "b"})
		Convey("the zone's endpoints count as warming up when the evacuation ends, until the second new heartbeat", func() {
			balancer.SetEvacuatedZones(s, []string{"b"})
			So(balancer.Get("c1").WarmingUp(s), ShouldBeTrue)
			So(heartbeat(s, 5), ShouldBeTrue)
			So(heartbeat(s, 6), ShouldBeTrue) // may have been sent before the evacuation ended
			So(heartbeat(2*s, 7), ShouldBeFalse)
		})
		Convey("without new heartbeats they count as warming up for a limited time", func() {
			balancer.SetEvacuatedZones(s, []string{"b"})
			So(balancer.Get("c1").WarmingUp(s+restoredZoneWarmup-1), ShouldBeTrue)
			So(balancer.Get("c1").WarmingUp(s+restoredZoneWarmup), ShouldBeFalse)
		})
		Convey("the end of another zone's evacuation has no effect", func() {
			balancer.SetEvacuatedZones(s, []string{"a"})
			So(balancer.Get("c1").WarmingUp(s), ShouldBeFalse)
		})
		Convey("an unknown warm-up state from a member lasts longer than that from the gateway", func() {
			reported := instance("c1", "a")
			reported.Sequence, reported.WarmupStateUnknown = 5, true
			balancer.UpdateInstances(s, false, []fleet.Instance{reported})
			balancer.SetEvacuatedZones(s, []string{"b"})
			So(balancer.Get("c1").WarmingUp(s+restoredZoneWarmup), ShouldBeTrue)
			So(heartbeat(s+restoredZoneWarmup, 6), ShouldBeFalse)
		})
	})
	Convey("Given a gateway that has just started and has received a stale update", t, func() {
		balancer := New("a")
		reported := instance("c1", "a")
		reported.Sequence, reported.Stale = 5, true
		balancer.UpdateInstances(0, true, []fleet.Instance{reported})
		Convey("the endpoint counts as warming up until a fresh update", func() {
			So(balancer.Get("c1").WarmingUp(s), ShouldBeTrue)
			reported.Stale = false
			balancer.UpdateInstances(s, false, []fleet.Instance{reported})
			So(balancer.Get("c1").WarmingUp(s), ShouldBeFalse)
		})
	})
}

// TestHeldWarmup guards against full load on cold endpoints: after the end of an evacuation no update ends their warm-up, since the
// heartbeats that it rests on may have been sent before.
func TestHeldWarmup(t *testing.T) {
	newBalancer := func() *Balancer {
		balancer := New("a")
		balancer.SetWarmupDurations(map[string]time.Duration{"svc": 3 * s})
		return balancer
	}
	reported := func(sequence uint64) fleet.Instance {
		reported := instance("c1", "a")
		reported.Service, reported.Sequence = "svc", sequence
		return reported
	}
	expect := func(balancer *Balancer, now time.Duration, want bool) {
		t.Helper()
		if got := balancer.Get("c1").WarmingUp(now); got != want {
			t.Errorf("at %v: warming up %v, want %v", now, got, want)
		}
	}
	balancer := newBalancer()
	balancer.UpdateInstances(0, false, []fleet.Instance{reported(5)})
	balancer.SetEvacuatedZones(0, []string{"a"})
	balancer.SetEvacuatedZones(10*s, nil)
	balancer.UpdateInstances(11*s, false, []fleet.Instance{reported(7)})
	balancer.UpdateInstances(12*s, false, []fleet.Instance{reported(9)})
	expect(balancer, 13*s-1, true)
	expect(balancer, 13*s, false)
	if held := balancer.Get("c1").Instance(12 * s).WarmupHeldMillis; held != 1000 {
		t.Errorf("reports %d ms to members, want 1000", held)
	}

	balancer = newBalancer() // an endpoint that was unknown when the evacuation ended
	balancer.SetEvacuatedZones(0, []string{"a"})
	balancer.SetEvacuatedZones(10*s, nil)
	balancer.UpdateInstances(11*s, false, []fleet.Instance{reported(7)})
	expect(balancer, 13*s-1, true)
	expect(balancer, 13*s, false)

	balancer = newBalancer() // a gateway that started later adopts it from one member, and another one does not know of it
	held := reported(7)
	held.WarmupMillis, held.WarmupHeldMillis = 2000, 2000
	balancer.UpdateInstances(11*s, true, []fleet.Instance{held})
	balancer.UpdateInstances(12*s, true, []fleet.Instance{reported(9)})
	expect(balancer, 13*s-1, true)
	expect(balancer, 13*s, false)
}
