package outlier

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

func TestFalls(t *testing.T) {
	peers := []string{}
	for i := range 10 {
		peers = append(peers, fmt.Sprint(i))
	}
	Convey("A refused call is told at once, a broken connection when two foragers saw one", t, func() {
		f := New()
		o, ok := f.Told(0, "a", Word{"1", true}, peers)
		So(ok, ShouldBeTrue)
		So(o.Millis, ShouldEqual, first.Milliseconds())
		_, ok = f.Told(0, "a", Word{"2", false}, peers)
		So(ok, ShouldBeFalse)
		_, ok = f.Told(100*ms, "a", Word{"2", false}, peers)
		So(ok, ShouldBeFalse) // the same forager again: its own link may be at fault
		_, ok = f.Told(200*ms, "b", Word{"2", false}, peers)
		So(ok, ShouldBeTrue)
		Convey("and once for a fall", func() {
			_, ok = f.Told(300*ms, "c", Word{"1", true}, peers)
			So(ok, ShouldBeFalse)
		})
	})
	Convey("One that comes and goes is left longer each time, and forgiven after a while", t, func() {
		f := New()
		now, before := time.Duration(0), int64(0)
		for range 4 {
			o, ok := f.Told(now, "a", Word{"1", true}, peers)
			So(ok, ShouldBeTrue)
			So(o.Millis, ShouldBeGreaterThan, before)
			before = o.Millis
			now += time.Duration(o.Millis)*ms + ms
		}
		for range 4 {
			o, _ := f.Told(now, "a", Word{"1", true}, peers)
			So(o.Millis, ShouldBeLessThanOrEqualTo, most.Milliseconds())
			now += most + ms
		}
		o, ok := f.Told(now+forget+most, "a", Word{"1", true}, peers)
		So(ok, ShouldBeTrue)
		So(o.Millis, ShouldEqual, first.Milliseconds())
		Convey("whichever comb heard of it before", func() {
			g := New()
			g.Heard(0, Out{"1", 800})
			o, _ := g.Told(time.Second, "a", Word{"1", true}, peers)
			So(o.Millis, ShouldEqual, 2*first.Milliseconds())
		})
	})
	Convey("No more than a part of a service is out by hearsay", t, func() {
		f := New()
		n := 0
		for _, id := range peers {
			if _, ok := f.Told(0, "a", Word{id, true}, peers); ok {
				n++
			}
		}
		So(n, ShouldEqual, 4)
	})
	Convey("What is long past is dropped", t, func() {
		f := New()
		f.Told(0, "a", Word{"1", true}, peers)
		f.Forget(time.Minute)
		So(len(f.all), ShouldEqual, 0)
	})
}
