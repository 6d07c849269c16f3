package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/registry"
)

const s = time.Second

func life(id, zone string) registry.Instance {
	return registry.Instance{ID: id, Service: "svc", Addr: id + ":80", Zone: zone, Slots: 4}
}

func nobody(string) bool { return false }

// picks counts what is chosen, each request ending at once.
func picks(x *Balancer, now time.Duration, n int) map[string]int {
	r := rand.New(rand.NewPCG(1, 2))
	out := map[string]int{}
	for range n {
		p := x.Pick(now, "svc", nobody, 1e9, r.Float64)
		if p == nil {
			out[""]++
			continue
		}
		out[p.ID]++
		x.StartAttempt(now, p)
		x.EndAttempt(now, p, Success, time.Millisecond)
	}
	return out
}

func TestPick(t *testing.T) {
	Convey("Given replicas in two zones", t, func() {
		x := New("a")
		x.UpdateInstances(0, true, []registry.Instance{life("a1", "a"), life("a2", "a"), life("b1", "b")})
		Convey("the own zone goes first, by weight", func() {
			x.SetWeight("a1", 60)
			x.SetWeight("a2", 20)
			n := picks(x, s, 1000)
			So(n["b1"], ShouldEqual, 0)
			So(n["a1"], ShouldBeGreaterThan, n["a2"])
		})
		Convey("others are used once its slots are filled", func() {
			for _, id := range []string{"a1", "a2"} {
				for range 4 {
					x.StartAttempt(s, x.Get(id))
				}
			}
			So(picks(x, s, 100)["b1"], ShouldEqual, 100)
		})
		Convey("nothing goes to one that drains, is gone, or whose zone is emptied", func() {
			l := life("a1", "a")
			l.Draining = true
			So(x.UpdateInstances(s, false, []registry.Instance{l, {ID: "b1", Deregistered: true}}), ShouldResemble, []string{"a1", "b1"})
			So(picks(x, s, 100)["a2"], ShouldEqual, 100)
			x.SetEvacuatedZones(s, []string{"a"})
			So(picks(x, s, 100)[""], ShouldEqual, 100)
			// Guards against a stale word from a comb that had lost its memory: what drained must not come back.
			Convey("and a stale word does not bring it back", func() {
				x.SetEvacuatedZones(s, nil)
				x.UpdateInstances(2*s, false, []registry.Instance{life("a1", "a"), life("b1", "b")})
				So(picks(x, 2*s, 100)[""], ShouldEqual, 100) // its zone was just given back
				So(picks(x, s+restoredZoneWarmup, 100)["a2"], ShouldEqual, 100)
			})
		})
		Convey("one that cannot be called is left for a while, and tried when all are so", func() {
			x.StartAttempt(s, x.Get("a1"))
			x.EndAttempt(s, x.Get("a1"), ConnectFailed, 0)
			So(picks(x, s, 100)["a1"], ShouldEqual, 0)
			So(picks(x, 10*s, 100)["a1"], ShouldBeGreaterThan, 0)
		})
		Convey("no more requests are at one replica than its part of the connections allows", func() {
			x.SetMaxInFlight(map[string]int{"svc": 2})
			for range 6 {
				x.StartAttempt(s, x.Pick(s, "svc", nobody, 1e9, func() float64 { return 0.5 }))
			}
			So(x.Pick(s, "svc", nobody, 1e9, func() float64 { return 0.5 }), ShouldBeNil)
			So(ConnectionShare(93, 90, 3), ShouldEqual, 2)
			So(ConnectionShare(120, 10, 3), ShouldEqual, 24)
			So(ConnectionShare(0, 0, 0), ShouldEqual, minConnectionShare)
		})
		Convey("a silent one is the last choice", func() {
			l := life("a1", "a")
			l.HeartbeatTimedOut = true
			x.UpdateInstances(s, false, []registry.Instance{l})
			So(picks(x, s, 100)["a1"], ShouldEqual, 0)
		})
		Convey("what a replica tells of others' requests there counts", func() {
			x.Get("a1").RecordLoad(s, 4, 2, 4)
			So(picks(x, s, 100)["a1"], ShouldEqual, 0)
		})
	})
}

// TestWarmupRateSumOverGateways has many foragers press on one cold replica, as one comb's foragers hold the right after another: the
// sum over all in any second stays within what is allowed, also while the right changes hands.
func TestWarmupRateSumOverGateways(t *testing.T) {
	Convey("Given ten foragers, three combs and one cold replica", t, func() {
		const perSecond, overage, slack = 5.9, 1.5, 5.0
		var all []*Balancer
		for range 10 {
			x := New("a")
			l := life("c1", "a")
			l.WarmupMillis = 60000
			x.UpdateInstances(0, true, []registry.Instance{l})
			all = append(all, x)
		}
		r := rand.New(rand.NewPCG(3, 4))
		var sent []time.Duration
		for now := time.Duration(0); now < 30*s; now += 5 * time.Millisecond {
			if now%(5*s) == 0 { // the right moves: a comb died, foragers changed sides
				for i, x := range all {
					g := map[string]float64{}
					if (i+int(now/(5*s)))%3 == 0 && len(g) == 0 && i < 9 {
						g["c1"] = perSecond * 0.9 / 3
					}
					x.SetWarmupRates(now, g)
				}
			}
			for _, x := range all {
				if p := x.Pick(now, "svc", nobody, 1e9, r.Float64); p != nil {
					x.StartAttempt(now, p)
					x.EndAttempt(now, p, Success, time.Millisecond)
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
	Convey("Without a grant a cold replica gets nothing, and it may come with a bare doubt", t, func() {
		x := New("a")
		l := life("c1", "a")
		l.WarmthUnknown = true
		x.UpdateInstances(0, true, []registry.Instance{l})
		So(fmt.Sprint(picks(x, s, 50)), ShouldEqual, "map[:50]")
	})
}
