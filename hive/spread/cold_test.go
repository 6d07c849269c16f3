package spread

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/hive/registry"
)

// TestColdWords has words of one replica come from combs that know more or less of it.
func TestColdWords(t *testing.T) {
	Convey("Given a forager that was told of a replica's fifth beat", t, func() {
		x := New("a")
		told := func(now time.Duration, seq uint64, cold int64, mark string) bool {
			l := life("c1", "a")
			l.Seq, l.Cold, l.Doubt, l.Old = seq, cold, mark == "doubt", mark == "old"
			x.Lives(now, mark == "old", []registry.Life{l})
			return x.Get("c1").Cold(now)
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
			So(x.Get("c1").Cold(s+doubtMost-1), ShouldBeTrue)
			So(x.Get("c1").Cold(s+doubtMost), ShouldBeFalse)
		})
		// Guards a comb that has just started from its disk: whoever knows the replica knows better.
		Convey("what a comb knows from its disk takes nothing back", func() {
			So(told(s, 9, 0, "old"), ShouldBeTrue)
			told(s, 6, 0, "")
			So(told(s, 9, 0, "old"), ShouldBeFalse)
		})
	})
	Convey("Given a forager that begins anew and is told what a comb knew before it was cut off", t, func() {
		x := New("a")
		l := life("c1", "a")
		l.Seq, l.Old = 5, true
		x.Lives(0, true, []registry.Life{l})
		Convey("the replica counts as cold until there is a newer word", func() {
			So(x.Get("c1").Cold(s), ShouldBeTrue)
			l.Old = false
			x.Lives(s, false, []registry.Life{l})
			So(x.Get("c1").Cold(s), ShouldBeFalse)
		})
	})
}
