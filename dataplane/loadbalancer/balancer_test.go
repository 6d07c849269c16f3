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

// picks counts the endpoints that are picked, each attempt ending at once.
func picks(balancer *Balancer, now time.Duration, n int) map[string]int {
	r := rand.New(rand.NewPCG(1, 2))
	out := map[string]int{}
	for range n {
		p := balancer.Pick(now, "svc", noneAttempted, 1e9, r.Float64)
		if p == nil {
			out[""]++
			continue
		}
		out[p.ID]++
		balancer.StartAttempt(now, p)
		balancer.EndAttempt(now, p, Success, time.Millisecond)
	}
	return out
}

func TestPick(t *testing.T) {
	Convey("Given replicas in two zones", t, func() {
		balancer := New("a")
		balancer.UpdateInstances(0, true, []fleet.Instance{instance("a1", "a"), instance("a2", "a"), instance("b1", "b")})
		Convey("the own zone goes first, by weight", func() {
			balancer.SetWeight("a1", 60)
			balancer.SetWeight("a2", 20)
			n := picks(balancer, s, 1000)
			So(n["b1"], ShouldEqual, 0)
			So(n["a1"], ShouldBeGreaterThan, n["a2"])
		})
		Convey("others are used once its slots are filled", func() {
			for _, id := range []string{"a1", "a2"} {
				for range 4 {
					balancer.StartAttempt(s, balancer.Get(id))
				}
			}
			So(picks(balancer, s, 100)["b1"], ShouldEqual, 100)
		})
		Convey("nothing goes to an endpoint that drains, is deregistered, or whose zone is evacuated", func() {
			reported := instance("a1", "a")
			reported.Draining = true
			So(balancer.UpdateInstances(s, false, []fleet.Instance{reported, {ID: "b1", Deregistered: true}}), ShouldResemble, []string{"a1", "b1"})
			So(picks(balancer, s, 100)["a2"], ShouldEqual, 100)
			balancer.SetEvacuatedZones(s, []string{"a"})
			So(picks(balancer, s, 100)[""], ShouldEqual, 100)
			// Guards against a stale update from a member that had lost its state: what drained must not come back.
			Convey("and a stale update does not bring it back", func() {
				balancer.SetEvacuatedZones(s, nil)
				balancer.UpdateInstances(2*s, false, []fleet.Instance{instance("a1", "a"), instance("b1", "b")})
				So(picks(balancer, 2*s, 100)[""], ShouldEqual, 100) // the evacuation of its zone ended just now
				So(picks(balancer, s+restoredZoneWarmup, 100)["a2"], ShouldEqual, 100)
			})
		})
		Convey("an endpoint that cannot be connected to is ejected for a while, and picked when all are so", func() {
			balancer.StartAttempt(s, balancer.Get("a1"))
			balancer.EndAttempt(s, balancer.Get("a1"), ConnectFailed, 0)
			So(picks(balancer, s, 100)["a1"], ShouldEqual, 0)
			So(picks(balancer, 10*s, 100)["a1"], ShouldBeGreaterThan, 0)
		})
		Convey("no more requests are in flight at one endpoint than its connection share allows", func() {
			balancer.SetMaxInFlight(map[string]int{"svc": 2})
			for range 6 {
				balancer.StartAttempt(s, balancer.Pick(s, "svc", noneAttempted, 1e9, func() float64 { return 0.5 }))
			}
			So(balancer.Pick(s, "svc", noneAttempted, 1e9, func() float64 { return 0.5 }), ShouldBeNil)
			So(ConnectionShare(93, 90, 3), ShouldEqual, 2)
			So(ConnectionShare(120, 10, 3), ShouldEqual, 24)
			So(ConnectionShare(0, 0, 0), ShouldEqual, minConnectionShare)
		})
		Convey("an endpoint whose heartbeat timed out is the last choice", func() {
			reported := instance("a1", "a")
			reported.HeartbeatTimedOut = true
			balancer.UpdateInstances(s, false, []fleet.Instance{reported})
			So(picks(balancer, s, 100)["a1"], ShouldEqual, 0)
		})
		Convey("the load that a replica reports of other gateways counts", func() {
			balancer.Get("a1").RecordLoad(s, Load{Running: 4, Waiting: 2, Slots: 4})
			So(picks(balancer, s, 100)["a1"], ShouldEqual, 0)
		})
	})
}

// TestWarmupRateSumOverGateways has many gateways send to one endpoint that is warming up, as the gateways of one member after the
// other hold the rates: the sum over all in any second stays within what is allowed, also while the rates move.
func TestWarmupRateSumOverGateways(t *testing.T) {
	Convey("Given ten gateways, three members and one endpoint that is warming up", t, func() {
		const perSecond, overage, slack = 5.9, 1.5, 5.0
		var all []*Balancer
		for range 10 {
			balancer := New("a")
			reported := instance("c1", "a")
			reported.WarmupMillis = 60000
			balancer.UpdateInstances(0, true, []fleet.Instance{reported})
			all = append(all, balancer)
		}
		r := rand.New(rand.NewPCG(3, 4))
		var sent []time.Duration
		for now := time.Duration(0); now < 30*s; now += 5 * time.Millisecond {
			if now%(5*s) == 0 { // the rates move: a member died, gateways changed members
				for i, balancer := range all {
					g := map[string]float64{}
					if (i+int(now/(5*s)))%3 == 0 && len(g) == 0 && i < 9 {
						g["c1"] = perSecond * 0.9 / 3
					}
					balancer.SetWarmupRates(now, g)
				}
			}
			for _, balancer := range all {
				if p := balancer.Pick(now, "svc", noneAttempted, 1e9, r.Float64); p != nil {
					balancer.StartAttempt(now, p)
					balancer.EndAttempt(now, p, Success, time.Millisecond)
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
	Convey("Without a rate an endpoint that is warming up gets nothing, also where its warmth is unknown", t, func() {
		balancer := New("a")
		reported := instance("c1", "a")
		reported.WarmthUnknown = true
		balancer.UpdateInstances(0, true, []fleet.Instance{reported})
		So(fmt.Sprint(picks(balancer, s, 50)), ShouldEqual, "map[:50]")
	})
}
