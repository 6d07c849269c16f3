package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
)

const s = time.Second

func instance(id, zone string) fleet.Instance {
	return fleet.Instance{ID: id, Service: "svc", Addr: id + ":80", Zone: zone, Slots: 4}
}

func noneAttempted(string) bool { return false }

// picks makes n attempts that succeed at once and counts them by endpoint ID, which is empty if none was picked.
func picks(balancer *Balancer, now time.Duration, n int) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range n {
		endpoint := balancer.Pick(now, "svc", noneAttempted, 1e9, random.Float64)
		if endpoint == nil {
			counts[""]++
			continue
		}
		counts[endpoint.ID]++
		balancer.StartAttempt(now, endpoint)
		balancer.EndAttempt(now, endpoint, Success, time.Millisecond)
	}
	return counts
}

func TestPick(t *testing.T) {
	Convey("Given replicas in two zones", t, func() {
		balancer := New("a")
		balancer.UpdateInstances(0, true, []fleet.Instance{instance("a1", "a"), instance("a2", "a"), instance("b1", "b")})
		Convey("the gateway's own zone is preferred, by weight", func() {
			balancer.SetWeight("a1", 60)
			balancer.SetWeight("a2", 20)
			n := picks(balancer, s, 1000)
			So(n["b1"], ShouldEqual, 0)
			So(n["a1"], ShouldBeGreaterThan, n["a2"])
		})
		Convey("other zones are used once the slots in the own zone are full", func() {
			for _, id := range []string{"a1", "a2"} {
				for range 4 {
					balancer.StartAttempt(s, balancer.Get(id))
				}
			}
			So(picks(balancer, s, 100)["b1"], ShouldEqual, 100)
		})
		Convey("endpoints that are draining, deregistered or in an evacuated zone receive no requests", func() {
			reported := instance("a1", "a")
			reported.Draining = true
			So(balancer.UpdateInstances(s, false, []fleet.Instance{reported, {ID: "b1", Deregistered: true}}), ShouldResemble, []string{"a1", "b1"})
			So(picks(balancer, s, 100)["a2"], ShouldEqual, 100)
			balancer.SetEvacuatedZones(s, []string{"a"})
			So(picks(balancer, s, 100)[""], ShouldEqual, 100)
			// Guards against draining endpoints that are added again by a member that lost its state.
			Convey("and a stale update does not add them again", func() {
				balancer.SetEvacuatedZones(s, nil)
				balancer.UpdateInstances(2*s, false, []fleet.Instance{instance("a1", "a"), instance("b1", "b")})
				So(picks(balancer, 2*s, 100)[""], ShouldEqual, 100) // the endpoints of the restored zone count as warming up
				So(picks(balancer, s+restoredZoneWarmup, 100)["a2"], ShouldEqual, 100)
			})
		})
		Convey("an endpoint that cannot be connected to is ejected temporarily", func() {
			balancer.StartAttempt(s, balancer.Get("a1"))
			balancer.EndAttempt(s, balancer.Get("a1"), ConnectFailed, 0)
			So(picks(balancer, s, 100)["a1"], ShouldEqual, 0)
			So(picks(balancer, 10*s, 100)["a1"], ShouldBeGreaterThan, 0)
		})
		Convey("the requests in flight at one endpoint are limited to the gateway's connection share", func() {
			balancer.SetMaxInFlight(map[string]int{"svc": 2})
			for range 6 {
				balancer.StartAttempt(s, balancer.Pick(s, "svc", noneAttempted, 1e9, func() float64 { return 0.5 }))
			}
			So(balancer.Pick(s, "svc", noneAttempted, 1e9, func() float64 { return 0.5 }), ShouldBeNil)
			So(ConnectionShare(93, 90, 3), ShouldEqual, 2)
			So(ConnectionShare(120, 10, 3), ShouldEqual, 24)
			So(ConnectionShare(0, 0, 0), ShouldEqual, minConnectionShare)
		})
		Convey("an endpoint whose heartbeat timed out is not picked while others are available", func() {
			reported := instance("a1", "a")
			reported.HeartbeatTimedOut = true
			balancer.UpdateInstances(s, false, []fleet.Instance{reported})
			So(picks(balancer, s, 100)["a1"], ShouldEqual, 0)
		})
		Convey("the reported load of other gateways counts", func() {
			balancer.Get("a1").RecordLoad(s, Load{Running: 4, Waiting: 2, Slots: 4})
			So(picks(balancer, s, 100)["a1"], ShouldEqual, 0)
		})
	})
}

// Guards the fleet's warm-up limit: the requests of all gateways to an endpoint that is warming up must stay within it in any
// second, also while the warm-up rates move between gateways.
func TestWarmupRateSumOverGateways(t *testing.T) {
	Convey("Given ten gateways, three members and one endpoint that is warming up", t, func() {
		const perSecond, overage, slack = 5.9, 1.5, 5.0
		var balancers []*Balancer
		for range 10 {
			balancer := New("a")
			reported := instance("c1", "a")
			reported.WarmupMillis = 60000
			balancer.UpdateInstances(0, true, []fleet.Instance{reported})
			balancers = append(balancers, balancer)
		}
		random := rand.New(rand.NewPCG(3, 4))
		var sent []time.Duration
		for now := time.Duration(0); now < 30*s; now += 5 * time.Millisecond {
			if now%(5*s) == 0 { // reassign the rates, as if gateways had changed members
				for i, balancer := range balancers {
					rates := map[string]float64{}
					if (i+int(now/(5*s)))%3 == 0 && i < 9 {
						rates["c1"] = perSecond * 0.9 / 3
					}
					balancer.SetWarmupRates(now, rates)
				}
			}
			for _, balancer := range balancers {
				if endpoint := balancer.Pick(now, "svc", noneAttempted, 1e9, random.Float64); endpoint != nil {
					balancer.StartAttempt(now, endpoint)
					balancer.EndAttempt(now, endpoint, Success, time.Millisecond)
					sent = append(sent, now)
				}
			}
		}
		So(len(sent), ShouldBeGreaterThan, 60)
		for i := range sent {
			n := 0
			for j := i; j < len(sent) && sent[j] < sent[i]+s; j++ {
				n++
			}
			So(float64(n), ShouldBeLessThanOrEqualTo, perSecond*overage+slack)
		}
	})
	Convey("Without a warm-up rate an endpoint of unknown warm-up state receives no requests", t, func() {
		balancer := New("a")
		reported := instance("c1", "a")
		reported.WarmupStateUnknown = true
		balancer.UpdateInstances(0, true, []fleet.Instance{reported})
		So(fmt.Sprint(picks(balancer, s, 50)), ShouldEqual, "map[:50]")
	})
}
