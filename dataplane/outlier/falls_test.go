package outlier

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const ms = time.Millisecond

func TestDetector(t *testing.T) {
	peers := []string{}
	for i := range 10 {
		peers = append(peers, fmt.Sprint(i))
	}
	Convey("A refused call is told at once, a broken connection when two foragers saw one", t, func() {
		f := New()
		o, ok := f.Observe(0, "a", Observation{"1", true}, peers)
		So(ok, ShouldBeTrue)
		So(o.Milliseconds, ShouldEqual, baseEjectionTime.Milliseconds())
		_, ok = f.Observe(0, "a", Observation{"2", false}, peers)
		So(ok, ShouldBeFalse)
		_, ok = f.Observe(100*ms, "a", Observation{"2", false}, peers)
		So(ok, ShouldBeFalse) // the same forager again: its own link may be at fault
		_, ok = f.Observe(200*ms, "b", Observation{"2", false}, peers)
		So(ok, ShouldBeTrue)
		Convey("and once for a fall", func() {
			_, ok = f.Observe(300*ms, "c", Observation{"1", true}, peers)
			So(ok, ShouldBeFalse)
		})
	})
	Convey("One that comes and goes is left longer each time, and forgiven after a while", t, func() {
		f := New()
		now, before := time.Duration(0), int64(0)
		for range 4 {
			o, ok := f.Observe(now, "a", Observation{"1", true}, peers)
			So(ok, ShouldBeTrue)
			So(o.Milliseconds, ShouldBeGreaterThan, before)
			before = o.Milliseconds
			now += time.Duration(o.Milliseconds)*ms + ms
		}
		for range 4 {
			o, _ := f.Observe(now, "a", Observation{"1", true}, peers)
			So(o.Milliseconds, ShouldBeLessThanOrEqualTo, maxEjectionTime.Milliseconds())
			now += maxEjectionTime + ms
		}
		o, ok := f.Observe(now+ejectionMemory+maxEjectionTime, "a", Observation{"1", true}, peers)
		So(ok, ShouldBeTrue)
		So(o.Milliseconds, ShouldEqual, baseEjectionTime.Milliseconds())
		Convey("whichever comb heard of it before", func() {
			g := New()
			g.RecordRemote(0, Ejection{"1", 800})
			o, _ := g.Observe(time.Second, "a", Observation{"1", true}, peers)
			So(o.Milliseconds, ShouldEqual, 2*baseEjectionTime.Milliseconds())
		})
	})
	Convey("No more than a part of a service is out by hearsay", t, func() {
		f := New()
		n := 0
		for _, id := range peers {
			if _, ok := f.Observe(0, "a", Observation{id, true}, peers); ok {
				n++
			}
		}
		So(n, ShouldEqual, 4)
	})
	Convey("What is long past is dropped", t, func() {
		f := New()
		f.Observe(0, "a", Observation{"1", true}, peers)
		f.Expire(time.Minute)
		So(len(f.replicas), ShouldEqual, 0)
	})
}
