package router

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/messages"
)

const s = time.Second

const body = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":4}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

func life(id string, seq uint64) registry.Instance {
	return registry.Instance{ID: id, Service: "svc", Addr: "10.0.0." + id[1:] + ":80", Zone: "a", Slots: 4, Sequence: seq}
}

// whole is a comb's first word to a forager.
func whole(lives ...registry.Instance) *messages.StateUpdate {
	return &messages.StateUpdate{Full: true, Sequence: 7, ConfigVersion: 2, Config: []byte(body), Instances: lives}
}

func picks(f *Router, now time.Duration, id string) bool {
	p := f.Pick(now, PickRequest{Service: "svc", Admission: admission.Request{Route: "r", LatencyTarget: s, TimeLeft: 3 * s}})
	if p.AttemptID > 0 {
		f.EndAttempt(now, AttemptResult{AttemptID: p.AttemptID, Latency: time.Millisecond})
	}
	return p.EndpointID == id
}

func TestControlStreams(t *testing.T) {
	Convey("Given a forager with a right to call a cold replica", t, func() {
		f := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		cold := life("i1", 3)
		cold.WarmupMillis = 60000
		w := whole(cold)
		w.WarmupRatesComplete, w.WarmupRates = true, []messages.EndpointWeight{{Replica: "i1", WarmupRate: 2}}
		f.Apply(1*s, w)
		f.Apply(2*s-1, &messages.StateUpdate{})
		So(f.WarmupRate(2*s, "i1"), ShouldEqual, 2)
		So(picks(f, 2*s, "i1"), ShouldBeTrue)
		// Guards against rights that two hold: their comb deals them to another one once the stream has ended.
		Convey("it is gone when the stream ends", func() {
			f.StreamEnded(2 * s)
			So(f.WarmupRate(2*s, "i1"), ShouldEqual, 0)
			So(picks(f, 3*s, "i1"), ShouldBeFalse)
		})
		Convey("it is gone when the comb has been silent", func() {
			So(f.WarmupRate(3*s, "i1"), ShouldEqual, 0)
			So(picks(f, 3*s, "i1"), ShouldBeFalse)
		})
		Convey("it is gone when another comb, or the same in a new life, begins anew and deals nothing", func() {
			f.Apply(2*s, whole(cold))
			So(f.WarmupRate(2*s, "i1"), ShouldEqual, 0)
		})
		// Guards a forager that was frozen: what lay in its sockets meanwhile must not be put in force, nor renew its rights.
		Convey("words that come after a silence are not taken", func() {
			late := f.Apply(20*s, &messages.StateUpdate{WarmupRatesComplete: true, WarmupRates: []messages.EndpointWeight{{Replica: "i1", WarmupRate: 2}}, Sequence: 8, EvacuatedZones: []string{"a"}})
			So(late.Late, ShouldBeTrue)
			So(f.Sequence(), ShouldEqual, 7)
			So(f.WarmupRate(20*s, "i1"), ShouldEqual, 0)
			So(f.Apply(21*s, whole(cold)).Late, ShouldBeFalse)
		})
	})
	Convey("Given a forager that follows a comb", t, func() {
		f := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		f.Apply(1*s, whole(life("i1", 9), life("i2", 4)))
		// Guards a register that a wiped or backward comb tells: nothing of it may come in force.
		Convey("an older register changes nothing, neither its evacuations nor its configuration", func() {
			w := whole(life("i1", 9))
			w.Sequence, w.ConfigVersion, w.EvacuatedZones = 6, 1, []string{"a"}
			f.Apply(1*s, w)
			So(f.Sequence(), ShouldEqual, 7)
			So(f.Config().Version, ShouldEqual, 2)
			So(picks(f, 1*s, "i1"), ShouldBeTrue)
		})
		Convey("it tells the next comb of each replica's newest beat, and that it is old after a long silence", func() {
			f.Apply(1500*time.Millisecond, whole(life("i1", 9), life("i2", 4)))
			r := f.InitialReport(1500 * time.Millisecond)
			So(r.Instances[0].Sequence, ShouldEqual, 9)
			So(r.Instances[0].Stale, ShouldBeFalse)
			f.StreamEnded(2 * s)
			f.Apply(22*s, whole(life("i1", 9), life("i2", 4)))
			So(f.InitialReport(22 * s).Instances[0].Stale, ShouldBeTrue)
		})
		// Guards against a replica that is lost for a minute, as a comb that had not heard of it yet was met.
		Convey("a replica that the next comb does not know is let go, and taken in once it does", func() {
			f.Apply(1*s, whole(life("i2", 4)))
			So(f.Balancer().Get("i1"), ShouldBeNil)
			f.Apply(1*s, &messages.StateUpdate{Instances: []registry.Instance{life("i1", 10)}})
			So(f.Balancer().Get("i1"), ShouldNotBeNil)
		})
	})
}

// TestIsolation guards a cold replica against foragers that were cut off from all combs before it turned cold: a few of them sent it,
// beside those replicas that were left in their eyes, more than it may be sent.
func TestIsolation(t *testing.T) {
	Convey("Given a forager of ten that knows two replicas, of which one may be sent eleven requests a second while cold", t, func() {
		f := New(Settings{Zone: "a", Zones: 1, WarmupOverage: 1.5, WarmupSlack: 5, Seed: 1})
		body := []byte(`{"version":"00000001","services":[{"name":"svc","cold_per_s":4}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
			`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`)
		var lives []registry.Instance
		for _, id := range []string{"i1", "i2"} {
			lives = append(lives, registry.Instance{ID: id, Service: "svc", Addr: id, Zone: "a", Slots: 100, Sequence: 1})
		}
		const s = time.Second
		f.Apply(s, &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: body, Instances: lives, GatewayCount: 10,
			Weights: []messages.EndpointWeight{{Replica: "i1", Weight: 50}, {Replica: "i2", Weight: 50}}})
		sent := func(from, to time.Duration) (n int) {
			for now := from; now < to; now += 10 * time.Millisecond {
				if p := f.Pick(now, PickRequest{Service: "svc"}); p.EndpointID != "" {
					f.EndAttempt(now, AttemptResult{AttemptID: p.AttemptID})
					n++
				}
			}
			return n
		}
		// Guards a fleet whose combs are all gone: where replicas are never cold there is nothing to spare, and all is served on.
		Convey("where replicas bear any rate it goes on as it likes", func() {
			f := New(Settings{Zone: "a", Zones: 1, WarmupOverage: 1.5, WarmupSlack: 5, Seed: 1})
			f.Apply(s, &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(strings.Replace(string(body), `,"cold_per_s":4`, "", 1)), Instances: lives, GatewayCount: 10,
				Weights: []messages.EndpointWeight{{Replica: "i1", Weight: 50}, {Replica: "i2", Weight: 50}}})
			n := 0
			for now := 5 * s; now < 6*s; now += 10 * time.Millisecond {
				if p := f.Pick(now, PickRequest{Service: "svc"}); p.EndpointID != "" {
					f.EndAttempt(now, AttemptResult{AttemptID: p.AttemptID})
					n++
				}
			}
			So(n, ShouldEqual, 100)
		})
		Convey("it sends as it likes while it hears a comb, and for two seconds more", func() {
			So(sent(s, 3*s), ShouldEqual, 200)
		})
		Convey("then each replica gets its part: the ten together send one no more than it may be sent", func() {
			sent(s, 4*s)
			So(sent(4*s, 14*s)*10, ShouldBeBetween, 2*10*8, 2*10*11)
			Convey("until a comb is heard", func() {
				f.StreamEnded(14 * s)
				f.Apply(14*s, &messages.StateUpdate{Full: true, Instances: lives})
				So(sent(14*s, 15*s), ShouldEqual, 100)
			})
		})
	})
}
