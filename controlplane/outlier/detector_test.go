package outlier

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

const ms = time.Millisecond

func TestDetector(t *testing.T) {
	peers := []string{}
	for i := range 10 {
		peers = append(peers, fmt.Sprint(i))
	}
	Convey("A refused connection ejects immediately, a broken one after observations by two gateways", t, func() {
		detector := New()
		ejection, ok := detector.Observe(0, "a", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
		So(ok, ShouldBeTrue)
		So(ejection.Milliseconds, ShouldEqual, baseEjectionTime.Milliseconds())
		_, ok = detector.Observe(0, "a", fleet.Observation{Replica: "2"}, peers)
		So(ok, ShouldBeFalse)
		_, ok = detector.Observe(100*ms, "a", fleet.Observation{Replica: "2"}, peers)
		So(ok, ShouldBeFalse) // the same gateway again: its own link may be faulty
		_, ok = detector.Observe(200*ms, "b", fleet.Observation{Replica: "2"}, peers)
		So(ok, ShouldBeTrue)
		Convey("and an ejected replica is not ejected again", func() {
			_, ok = detector.Observe(300*ms, "c", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
			So(ok, ShouldBeFalse)
		})
	})
	Convey("Repeated ejections last longer, up to a limit, and reset after a time without ejections", t, func() {
		detector := New()
		now, previous := time.Duration(0), int64(0)
		for range 4 {
			ejection, ok := detector.Observe(now, "a", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
			So(ok, ShouldBeTrue)
			So(ejection.Milliseconds, ShouldBeGreaterThan, previous)
			previous = ejection.Milliseconds
			now += time.Duration(ejection.Milliseconds)*ms + ms
		}
		for range 4 {
			ejection, _ := detector.Observe(now, "a", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
			So(ejection.Milliseconds, ShouldBeLessThanOrEqualTo, maxEjectionTime.Milliseconds())
			now += maxEjectionTime + ms
		}
		ejection, ok := detector.Observe(now+ejectionResetTime+maxEjectionTime, "a", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
		So(ok, ShouldBeTrue)
		So(ejection.Milliseconds, ShouldEqual, baseEjectionTime.Milliseconds())
		Convey("and ejections by other members count", func() {
			other := New()
			other.RecordRemote(0, fleet.Ejection{Replica: "1", Milliseconds: 800})
			ejection, _ := other.Observe(time.Second, "a", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
			So(ejection.Milliseconds, ShouldEqual, 2*baseEjectionTime.Milliseconds())
		})
	})
	Convey("At most maxEjectedShare of a service's replicas are ejected", t, func() {
		detector := New()
		ejected := 0
		for _, id := range peers {
			if _, ok := detector.Observe(0, "a", fleet.Observation{Replica: id, ConnectionRefused: true}, peers); ok {
				ejected++
			}
		}
		So(ejected, ShouldEqual, 4)
	})
	Convey("Expire removes replicas without recent failures", t, func() {
		detector := New()
		detector.Observe(0, "a", fleet.Observation{Replica: "1", ConnectionRefused: true}, peers)
		detector.Expire(time.Minute)
		So(len(detector.replicas), ShouldEqual, 0)
	})
}
