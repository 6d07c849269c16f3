package loadbalancer

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

// TestWarmthUpdates has updates of one instance come from members that know more or less of it.
func TestWarmthUpdates(t *testing.T) {
	Convey("Given a gateway that knows an instance's fifth heartbeat", t, func() {
		balancer := New("a")
		update := func(now time.Duration, sequence uint64, warmupMillis int64, mark string) bool {
			reported := instance("c1", "a")
			reported.Sequence, reported.WarmupMillis, reported.WarmthUnknown, reported.Stale = sequence, warmupMillis, strings.Contains(mark, "unknown"), strings.Contains(mark, "stale")
			balancer.UpdateInstances(now, mark == "stale", []fleet.Instance{reported})
			return balancer.Get("c1").WarmingUp(now)
		}
		update(0, 5, 3000, "")
		// Guards a gateway that changes members: the next one had not received the heartbeat that reported the warm-up.
		Convey("an older heartbeat does not end the warm-up", func() {
			So(update(s, 4, 0, ""), ShouldBeTrue)
			So(update(2*s, 6, 0, ""), ShouldBeFalse)
		})
		Convey("nor does an older heartbeat begin one", func() {
			update(s, 6, 0, "")
			So(update(s, 5, 3000, ""), ShouldBeFalse)
		})
		Convey("unknown warmth counts whatever heartbeat the member knows, until a newer one", func() {
			update(s, 6, 0, "")
			So(update(s, 5, 0, "unknown"), ShouldBeTrue)
			So(update(s, 5, 0, ""), ShouldBeTrue) // of a member that lags
			So(update(s, 6, 0, ""), ShouldBeFalse)
		})
		Convey("unknown warmth that no member remembers ends", func() {
			update(s, 6, 0, "")
			update(s, 6, 0, "unknown")
			So(balancer.Get("c1").WarmingUp(s+maxWarmthUnknown-1), ShouldBeTrue)
			So(balancer.Get("c1").WarmingUp(s+maxWarmthUnknown), ShouldBeFalse)
		})
		// Guards against a member that has just restarted from its disk: whoever knows the instance knows better.
		Convey("what a member knows from its disk takes nothing back", func() {
			So(update(s, 9, 0, "stale"), ShouldBeTrue)
			update(s, 6, 0, "")
			So(update(s, 9, 0, "stale"), ShouldBeFalse)
		})
		// Guards a control plane that was killed whole, restarted from its disks and ended an evacuation at once: its updates were stale,
		// so gateways that knew the instances passed the unknown warmth over and sent one 17 requests in a second (drawn day losses-2-2).
		Convey("but the unknown warmth of a member that has just started counts, until a newer heartbeat", func() {
			update(s, 6, 0, "")
			So(update(s, 5, 0, "stale unknown"), ShouldBeTrue)
			So(update(s, 6, 0, ""), ShouldBeTrue)
			So(update(s, 7, 0, ""), ShouldBeFalse)
		})
	})
	// Guards a control plane that was killed right after, or right before, an evacuation ended: it does not remember the evacuation, or
	// sends its end in the same update, so that no member marks the warmth unknown. The gateway sees that the zone was evacuated just now.
	Convey("Given a gateway for which zone a is evacuated", t, func() {
		balancer := New("a")
		heartbeat := func(now time.Duration, sequence uint64) bool {
			reported := instance("c1", "a")
			reported.Sequence = sequence
			balancer.UpdateInstances(now, false, []fleet.Instance{reported})
			return balancer.Get("c1").WarmingUp(now)
		}
		heartbeat(0, 5)
		balancer.SetEvacuatedZones(0, []string{"a", "b"})
		Convey("its endpoints count as warming up when the evacuation ends, until the second new heartbeat", func() {
			balancer.SetEvacuatedZones(s, []string{"b"})
			So(balancer.Get("c1").WarmingUp(s), ShouldBeTrue)
			So(heartbeat(s, 5), ShouldBeTrue)
			So(heartbeat(s, 6), ShouldBeTrue) // may have been in flight as the evacuation ended
			So(heartbeat(2*s, 7), ShouldBeFalse)
		})
		Convey("or for a while, as heartbeats without news are not passed on", func() {
			balancer.SetEvacuatedZones(s, []string{"b"})
			So(balancer.Get("c1").WarmingUp(s+restoredZoneWarmup-1), ShouldBeTrue)
			So(balancer.Get("c1").WarmingUp(s+restoredZoneWarmup), ShouldBeFalse)
		})
		Convey("not when the evacuation of another zone ends", func() {
			balancer.SetEvacuatedZones(s, []string{"a"})
			So(balancer.Get("c1").WarmingUp(s), ShouldBeFalse)
		})
		Convey("a member's unknown warmth holds for longer than the gateway's own", func() {
			reported := instance("c1", "a")
			reported.Sequence, reported.WarmthUnknown = 5, true
			balancer.UpdateInstances(s, false, []fleet.Instance{reported})
			balancer.SetEvacuatedZones(s, []string{"b"})
			So(balancer.Get("c1").WarmingUp(s+restoredZoneWarmup), ShouldBeTrue)
			So(heartbeat(s+restoredZoneWarmup, 6), ShouldBeFalse)
		})
	})
	Convey("Given a gateway that has just started and gets what a member knew before it was partitioned", t, func() {
		balancer := New("a")
		reported := instance("c1", "a")
		reported.Sequence, reported.Stale = 5, true
		balancer.UpdateInstances(0, true, []fleet.Instance{reported})
		Convey("the endpoint counts as warming up until there is a fresh update", func() {
			So(balancer.Get("c1").WarmingUp(s), ShouldBeTrue)
			reported.Stale = false
			balancer.UpdateInstances(s, false, []fleet.Instance{reported})
			So(balancer.Get("c1").WarmingUp(s), ShouldBeFalse)
		})
	})
}
