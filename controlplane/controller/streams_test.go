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

const configurationBody = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":10}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

// cluster are three combs on perfect links and disks.
type cluster struct {
	controllers   []*Controller
	addrs         []string
	now           time.Duration
	isolated      map[int]bool
	updates       map[uint64]*messages.StateUpdate // newest by stream, with what was told before
	closedStreams map[uint64]bool
	writes        [3][][]byte
	lastToken     uint64
}

func newCluster() *cluster {
	x := &cluster{isolated: map[int]bool{}, updates: map[uint64]*messages.StateUpdate{}, closedStreams: map[uint64]bool{}}
	for i := range 3 {
		x.addrs = append(x.addrs, fmt.Sprintf("10.0.0.%d:1", i+1))
	}
	for i := range 3 {
		var k coordinator.PersistentState
		k.Initialize(x.addrs[i], x.addrs, true, "x")
		x.controllers = append(x.controllers, New(0, Options{Zone: "a", Zones: []string{"a"}, Seeds: x.addrs, LinkMbps: 1000, HeartbeatInterval: 1500 * time.Millisecond, RandomSeed: uint64(i)},
			membership.Member{ID: k.DiskID, Addr: x.addrs[i], Zone: "a", APIAddr: x.addrs[i]}, k))
	}
	for i := range x.controllers {
		x.step(i, Event{Start: true})
	}
	x.run(4 * time.Second)
	x.command(chainreplication.Command{Version: 2, Body: []byte(configurationBody)})
	return x
}

func (x *cluster) command(o chainreplication.Command) {
	x.lastToken++
	x.step(0, Event{Token: x.lastToken, Command: &o})
	x.run(2 * time.Second)
}

func (x *cluster) step(i int, e Event) {
	a := x.controllers[i].Step(x.now, e)
	for _, t := range a.Publish {
		for _, n := range t.Streams {
			st := t.Update
			if had := x.updates[n]; had != nil && !st.WarmupRatesComplete {
				st.WarmupRates = had.WarmupRates
			}
			x.updates[n] = &st
		}
	}
	for _, n := range a.CloseStreams {
		x.closedStreams[n] = true
	}
	if a.Write != nil {
		x.writes[i] = append(x.writes[i], a.Write)
		x.step(i, Event{WriteResult: &WriteResult{}})
	}
	for _, s := range a.Send {
		for j, addr := range x.addrs {
			if addr == s.To && !x.isolated[i] && !x.isolated[j] {
				from, m := x.controllers[i].Coordinator().Self(), s.Message
				x.step(j, Event{From: &from, Message: &m})
			}
		}
	}
}

func (x *cluster) run(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.now += TickInterval
		for i := range x.controllers {
			x.step(i, Event{})
		}
	}
}

// heartbeat has a replica beat at a comb.
func (x *cluster) heartbeat(i int, seq uint64, cold int64) {
	x.lastToken++
	x.step(i, Event{Token: x.lastToken, Heartbeat: &registry.Instance{ID: "i1", Service: "svc", Addr: "10.9.0.1:80", Zone: "a", Slots: 4, Sequence: seq, WarmupMillis: cold}})
}

func (x *cluster) join(i int, n uint64) {
	x.step(i, Event{GatewayJoined: &GatewayJoined{Stream: n, Gateway: fmt.Sprint("f", n), Zone: "a"}})
}

// joinUntilAdmitted has a forager come, again and again, until the comb lets it in: one that is back in touch does so once it is in the chain
// again and a majority has answered.
func (x *cluster) joinUntilAdmitted(i int, n uint64) uint64 {
	for x.updates[n] == nil {
		x.step(i, Event{GatewayLeft: n})
		n += 10
		x.join(i, n)
		x.run(10 * time.Millisecond)
	}
	return n
}

func (x *cluster) warmupQuota(n uint64) float64 {
	if st := x.updates[n]; st != nil && len(st.WarmupRates) > 0 {
		return float64(st.WarmupRates[0].WarmupRate)
	}
	return 0
}

func TestWarmupQuotas(t *testing.T) {
	Convey("Given three combs, each with a forager, and a cold replica", t, func() {
		x := newCluster()
		for i := range 3 {
			x.join(i, uint64(i+1))
		}
		x.heartbeat(0, 1, 60000)
		x.run(2 * time.Second)
		Convey("each deals its part, nine tenths in all", func() {
			So(x.warmupQuota(1)+x.warmupQuota(2)+x.warmupQuota(3), ShouldAlmostEqual, 9, 1e-3)
		})
		// Guards against a right dealt twice: by a comb before it was cut off, and when it is back.
		Convey("one that was cut off deals nothing until what it dealt before has run out", func() {
			x.isolated[2] = true
			x.run(5 * time.Second)
			So(x.closedStreams[3], ShouldBeTrue)
			x.step(2, Event{GatewayLeft: 3})
			x.isolated[2] = false
			for !x.controllers[2].Coordinator().HasQuorumContact(x.now) {
				x.run(10 * time.Millisecond)
			}
			back := x.now
			n := x.joinUntilAdmitted(2, 4)
			So(x.now-back, ShouldBeLessThan, time.Second) // else nothing is shown
			for x.now-back < time.Second {
				So(x.warmupQuota(n), ShouldEqual, 0)
				x.run(10 * time.Millisecond)
			}
			x.run(500 * time.Millisecond)
			So(x.warmupQuota(n), ShouldAlmostEqual, 3, 1e-3)
		})
		// Guards a whole state that says nothing of rights: a forager that comes from another comb kept those it had.
		Convey("a whole state says what is dealt, also where that is nothing", func() {
			x.join(0, 7)
			So(x.updates[7].Full, ShouldBeTrue)
			So(x.updates[7].WarmupRatesComplete, ShouldBeTrue)
		})
	})
	Convey("Given a comb that was cut off for long", t, func() {
		x := newCluster()
		x.heartbeat(0, 1, 0)
		x.run(2 * time.Second)
		x.isolated[2] = true
		x.run(5 * time.Second)
		for range 25 { // the replica beats elsewhere
			x.run(time.Second)
			x.heartbeat(0, 2+uint64(x.now/time.Second), 0)
		}
		x.isolated[2] = false
		// Guards against a fleet that is ended by one that could not hear it, where a forager comes first after the cut.
		Convey("it takes nobody for gone or silent when it is back, also where a forager joins before its next tick", func() {
			for !x.controllers[2].Coordinator().HasQuorumContact(x.now) {
				x.now += 10 * time.Millisecond
				x.step(0, Event{})
				x.step(1, Event{})
				x.controllers[2].coordinator.Tick(x.now)
			}
			n := x.joinUntilAdmitted(2, 9)
			x.run(TickInterval)
			So(x.updates[n], ShouldNotBeNil)
			l, ok := x.controllers[2].registry.Get(x.now, "i1")
			So(ok, ShouldBeTrue)
			So(l.HeartbeatTimedOut, ShouldBeFalse)
		})
		// Guards foragers that let go of replicas which began during the cut.
		Convey("it says that it may not know all", func() {
			for !x.controllers[2].Coordinator().HasQuorumContact(x.now) {
				x.run(10 * time.Millisecond)
			}
			n := x.joinUntilAdmitted(2, 9)
			So(x.updates[n].Full, ShouldBeTrue)
			So(x.updates[n].Bootstrapping, ShouldBeTrue)
		})
	})
	// Guards a comb that dies right after its zone was given back: nothing on its disk told that replicas may be cold there.
	Convey("Given a comb that wrote as a zone was given back", t, func() {
		x := newCluster()
		x.heartbeat(0, 1, 0)
		x.command(chainreplication.Command{Zone: "a", Evacuated: true})
		x.command(chainreplication.Command{Zone: "a"})
		for i := range 3 {
			var given coordinator.PersistentState
			for _, raw := range x.writes[i] {
				k, err := coordinator.DecodePersistentState(raw)
				So(err, ShouldBeNil)
				if k.Register.Sequence == 3 && given.DiskID == "" {
					given = k
				}
			}
			So(given.Register.EvacuatedZones, ShouldBeEmpty)
			Convey(fmt.Sprint("it starts with its replicas as old, comb ", i), func() {
				self := x.controllers[i].Coordinator().Self()
				c := New(0, x.controllers[i].options, self, given)
				l, ok := c.registry.Get(0, "i1")
				So(ok, ShouldBeTrue)
				So(l.Stale, ShouldBeTrue)
				c.registry.Merge(0, []registry.Instance{{ID: "i1", Sequence: 1, WarmthUnknown: true}})
				l, _ = c.registry.Get(0, "i1")
				So(l.Stale, ShouldBeFalse)
				So(l.WarmthUnknown, ShouldBeTrue)
			})
		}
	})
}
