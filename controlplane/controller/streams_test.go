package controller

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/messages"
)

const body = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":10}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

// few are three combs on perfect links and disks.
type few struct {
	combs []*Comb
	addrs []string
	now   time.Duration
	cut   map[int]bool
	told  map[uint64]*messages.StateUpdate // newest by stream, with what was told before
	ended map[uint64]bool
	wrote [3][][]byte
	token uint64
}

func newFew() *few {
	x := &few{cut: map[int]bool{}, told: map[uint64]*messages.StateUpdate{}, ended: map[uint64]bool{}}
	for i := range 3 {
		x.addrs = append(x.addrs, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i := range 3 {
		var k coordinator.PersistentState
		k.Initialize(x.addrs[i], x.addrs, true, "x")
		x.combs = append(x.combs, New(0, Settings{Zone: "a", Zones: []string{"a"}, Seeds: x.addrs, LinkMbps: 1000, Heartbeat: 1500 * time.Millisecond, Seed: uint64(i)},
			membership.Member{ID: k.DiskID, Addr: x.addrs[i], Zone: "a", APIAddr: x.addrs[i]}, k))
	}
	for i := range x.combs {
		x.step(i, Event{Start: true})
	}
	x.run(4 * time.Second)
	x.order(chainreplication.Command{Version: 2, Body: []byte(body)})
	return x
}

func (x *few) order(o chainreplication.Command) {
	x.token++
	x.step(0, Event{Token: x.token, Order: &o})
	x.run(2 * time.Second)
}

func (x *few) step(i int, e Event) {
	a := x.combs[i].Step(x.now, e)
	for _, t := range a.Tell {
		for _, n := range t.Streams {
			st := t.State
			if had := x.told[n]; had != nil && !st.WarmupRatesComplete {
				st.WarmupRates = had.WarmupRates
			}
			x.told[n] = &st
		}
	}
	for _, n := range a.End {
		x.ended[n] = true
	}
	if a.Write != nil {
		x.wrote[i] = append(x.wrote[i], a.Write)
		x.step(i, Event{Written: &Written{}})
	}
	for _, s := range a.Send {
		for j, addr := range x.addrs {
			if addr == s.To && !x.cut[i] && !x.cut[j] {
				from, m := x.combs[i].Core().Self(), s.Message
				x.step(j, Event{From: &from, Message: &m})
			}
		}
	}
}

func (x *few) run(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.now += TickEvery
		for i := range x.combs {
			x.step(i, Event{})
		}
	}
}

// beat has a replica beat at a comb.
func (x *few) beat(i int, seq uint64, cold int64) {
	x.token++
	x.step(i, Event{Token: x.token, Beat: &registry.Life{ID: "i1", Service: "svc", Addr: "10.9.0.1:80", Zone: "a", Slots: 4, Seq: seq, Cold: cold}})
}

func (x *few) join(i int, n uint64) {
	x.step(i, Event{Joined: &Joined{Stream: n, Forager: fmt.Sprint("f", n), Zone: "a"}})
}

// comes has a forager come, again and again, until the comb lets it in: one that is back in touch does so once it is in the chain
// again and a majority has answered.
func (x *few) comes(i int, n uint64) uint64 {
	for x.told[n] == nil {
		x.step(i, Event{Left: n})
		n += 10
		x.join(i, n)
		x.run(10 * time.Millisecond)
	}
	return n
}

func (x *few) right(n uint64) float64 {
	if st := x.told[n]; st != nil && len(st.WarmupRates) > 0 {
		return float64(st.WarmupRates[0].WarmupRate)
	}
	return 0
}

func TestDeals(t *testing.T) {
	Convey("Given three combs, each with a forager, and a cold replica", t, func() {
		x := newFew()
		for i := range 3 {
			x.join(i, uint64(i+1))
		}
		x.beat(0, 1, 60000)
		x.run(2 * time.Second)
		Convey("each deals its part, nine tenths in all", func() {
			So(x.right(1)+x.right(2)+x.right(3), ShouldAlmostEqual, 9, 1e-3)
		})
		// Guards against a right dealt twice: by a comb before it was cut off, and when it is back.
		Convey("one that was cut off deals nothing until what it dealt before has run out", func() {
			x.cut[2] = true
			x.run(5 * time.Second)
			So(x.ended[3], ShouldBeTrue)
			x.step(2, Event{Left: 3})
			x.cut[2] = false
			for !x.combs[2].Core().HasQuorumContact(x.now) {
				x.run(10 * time.Millisecond)
			}
			back := x.now
			n := x.comes(2, 4)
			So(x.now-back, ShouldBeLessThan, time.Second) // else nothing is shown
			for x.now-back < time.Second {
				So(x.right(n), ShouldEqual, 0)
				x.run(10 * time.Millisecond)
			}
			x.run(500 * time.Millisecond)
			So(x.right(n), ShouldAlmostEqual, 3, 1e-3)
		})
		// Guards a whole state that says nothing of rights: a forager that comes from another comb kept those it had.
		Convey("a whole state says what is dealt, also where that is nothing", func() {
			x.join(0, 7)
			So(x.told[7].Full, ShouldBeTrue)
			So(x.told[7].WarmupRatesComplete, ShouldBeTrue)
		})
	})
	Convey("Given a comb that was cut off for long", t, func() {
		x := newFew()
		x.beat(0, 1, 0)
		x.run(2 * time.Second)
		x.cut[2] = true
		x.run(5 * time.Second)
		for range 25 { // the replica beats elsewhere
			x.run(time.Second)
			x.beat(0, 2+uint64(x.now/time.Second), 0)
		}
		x.cut[2] = false
		// Guards against a fleet that is ended by one that could not hear it, where a forager comes first after the cut.
		Convey("it takes nobody for gone or silent when it is back, also where a forager joins before its next tick", func() {
			for !x.combs[2].Core().HasQuorumContact(x.now) {
				x.now += 10 * time.Millisecond
				x.step(0, Event{})
				x.step(1, Event{})
				x.combs[2].core.Tick(x.now)
			}
			n := x.comes(2, 9)
			x.run(TickEvery)
			So(x.told[n], ShouldNotBeNil)
			l, ok := x.combs[2].reg.Get(x.now, "i1")
			So(ok, ShouldBeTrue)
			So(l.Silent, ShouldBeFalse)
		})
		// Guards foragers that let go of replicas which began during the cut.
		Convey("it says that it may not know all", func() {
			for !x.combs[2].Core().HasQuorumContact(x.now) {
				x.run(10 * time.Millisecond)
			}
			n := x.comes(2, 9)
			So(x.told[n].Full, ShouldBeTrue)
			So(x.told[n].Bootstrapping, ShouldBeTrue)
		})
	})
	// Guards a comb that dies right after its zone was given back: nothing on its disk told that replicas may be cold there.
	Convey("Given a comb that wrote as a zone was given back", t, func() {
		x := newFew()
		x.beat(0, 1, 0)
		x.order(chainreplication.Command{Zone: "a", Evacuated: true})
		x.order(chainreplication.Command{Zone: "a"})
		for i := range 3 {
			var given coordinator.PersistentState
			for _, raw := range x.wrote[i] {
				k, err := coordinator.DecodePersistentState(raw)
				So(err, ShouldBeNil)
				if k.Register.Sequence == 3 && given.DiskID == "" {
					given = k
				}
			}
			So(given.Register.EvacuatedZones, ShouldBeEmpty)
			Convey(fmt.Sprint("it starts with its replicas as old, comb ", i), func() {
				self := x.combs[i].Core().Self()
				c := New(0, x.combs[i].set, self, given)
				l, ok := c.reg.Get(0, "i1")
				So(ok, ShouldBeTrue)
				So(l.Old, ShouldBeTrue)
				c.reg.Merge(0, []registry.Life{{ID: "i1", Seq: 1, Doubt: true}})
				l, _ = c.reg.Get(0, "i1")
				So(l.Old, ShouldBeFalse)
				So(l.Doubt, ShouldBeTrue)
			})
		}
	})
}
