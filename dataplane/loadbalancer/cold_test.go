package loadbalancer

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/registry"
)

// TestWarmthUpdates has words of one replica come from combs that know more or less of it.
func TestWarmthUpdates(t *testing.T) {
	Convey("Given a forager that was told of a replica's fifth beat", t, func() {
		x := New("a")
		told := func(now time.Duration, seq uint64, cold int64, mark string) bool {
			l := life("c1", "a")
			l.Sequence, l.WarmupMillis, l.WarmthUnknown, l.Stale = seq, cold, strings.Contains(mark, "doubt"), strings.Contains(mark, "old")
			x.UpdateInstances(now, mark == "old", []registry.Instance{l})
			return x.Get("c1").WarmingUp(now)
		}
		told(0, 5, 3000, "")
		// Guards a forager that changes sides: the next comb had not heard of the beat that told of cold.
		Convey("an older beat does not make it warm", func() {
			So(told(s, 4, 0, ""), ShouldBeTrue)
			So(told(2*s, 6, 0, ""), ShouldBeFalse)
		})
		Convey("nor does an older beat make it cold", func() {
			told(s, 6, 0, "")
			So(told(s, 5, 3000, ""), ShouldBeFalse)
		})
		Convey("doubt counts whatever beat the comb knows, until a newer one", func() {
			told(s, 6, 0, "")
			So(told(s, 5, 0, "doubt"), ShouldBeTrue)
			So(told(s, 5, 0, ""), ShouldBeTrue) // of a comb that lags
			So(told(s, 6, 0, ""), ShouldBeFalse)
		})
		Convey("doubt that no comb remembers ends", func() {
			told(s, 6, 0, "")
			told(s, 6, 0, "doubt")
			So(x.Get("c1").WarmingUp(s+maxWarmthUnknown-1), ShouldBeTrue)
			So(x.Get("c1").WarmingUp(s+maxWarmthUnknown), ShouldBeFalse)
		})
		// Guards a comb that has just started from its disk: whoever knows the replica knows better.
		Convey("what a comb knows from its disk takes nothing back", func() {
			So(told(s, 9, 0, "old"), ShouldBeTrue)
			told(s, 6, 0, "")
			So(told(s, 9, 0, "old"), ShouldBeFalse)
		})
		// Guards a core that was killed whole, came back from its disks and gave a zone back at once: what it told was old, so foragers
		// that knew the replicas passed its doubt over and sent a cold one 17 requests in a second (drawn day losses-2-2).
		Convey("but the doubt of a comb that has just started counts, until a newer beat", func() {
			told(s, 6, 0, "")
			So(told(s, 5, 0, "old doubt"), ShouldBeTrue)
			So(told(s, 6, 0, ""), ShouldBeTrue)
			So(told(s, 7, 0, ""), ShouldBeFalse)
		})
	})
	// Guards a core that was killed right after, or right before, it gave a zone back: it comes back and does not remember that the zone was
	// out, or tells it in the same breath, so that no comb doubts the zone's replicas. Who sends sees that it was out a moment ago.
	Convey("Given a forager whose zone a is evacuated", t, func() {
		x := New("a")
		beat := func(now time.Duration, seq uint64) bool {
			l := life("c1", "a")
			l.Sequence = seq
			x.UpdateInstances(now, false, []registry.Instance{l})
			return x.Get("c1").WarmingUp(now)
		}
		beat(0, 5)
		x.SetEvacuatedZones(0, []string{"a", "b"})
		Convey("its replicas are spared when it is given back, until the second beat that is new", func() {
			x.SetEvacuatedZones(s, []string{"b"})
			So(x.Get("c1").WarmingUp(s), ShouldBeTrue)
			So(beat(s, 5), ShouldBeTrue)
			So(beat(s, 6), ShouldBeTrue) // may have been under way as it was given back
			So(beat(2*s, 7), ShouldBeFalse)
		})
		Convey("or for a while, as beats that tell nothing new are not passed on", func() {
			x.SetEvacuatedZones(s, []string{"b"})
			So(x.Get("c1").WarmingUp(s+restoredZoneWarmup-1), ShouldBeTrue)
			So(x.Get("c1").WarmingUp(s+restoredZoneWarmup), ShouldBeFalse)
		})
		Convey("not when another zone is given back", func() {
			x.SetEvacuatedZones(s, []string{"a"})
			So(x.Get("c1").WarmingUp(s), ShouldBeFalse)
		})
		Convey("a comb's doubt holds longer than its own", func() {
			l := life("c1", "a")
			l.Sequence, l.WarmthUnknown = 5, true
			x.UpdateInstances(s, false, []registry.Instance{l})
			x.SetEvacuatedZones(s, []string{"b"})
			So(x.Get("c1").WarmingUp(s+restoredZoneWarmup), ShouldBeTrue)
			So(beat(s+restoredZoneWarmup, 6), ShouldBeFalse)
		})
	})
	Convey("Given a forager that begins anew and is told what a comb knew before it was cut off", t, func() {
		x := New("a")
		l := life("c1", "a")
		l.Sequence, l.Stale = 5, true
		x.UpdateInstances(0, true, []registry.Instance{l})
		Convey("the replica counts as cold until there is a newer word", func() {
			So(x.Get("c1").WarmingUp(s), ShouldBeTrue)
			l.Stale = false
			x.UpdateInstances(s, false, []registry.Instance{l})
			So(x.Get("c1").WarmingUp(s), ShouldBeFalse)
		})
	})
}
