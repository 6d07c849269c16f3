package router

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

const s = time.Second

const body = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":4}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

func instance(id string, sequence uint64) fleet.Instance {
	return fleet.Instance{ID: id, Service: "svc", Addr: "10.0.0." + id[1:] + ":80", Zone: "a", Slots: 4, Sequence: sequence}
}

// fullUpdate is a member's first update to a gateway.
func fullUpdate(instances ...fleet.Instance) *messages.StateUpdate {
	return &messages.StateUpdate{Full: true, Sequence: 7, ConfigVersion: 2, Config: []byte(body), Instances: instances}
}

// picksEndpoint makes an attempt that ends at once, and tells whether it went to an endpoint.
func picksEndpoint(f *Router, now time.Duration, id string) bool {
	p := f.Pick(now, PickRequest{Service: "svc", Admission: admission.Request{Route: "r", LatencyTarget: s, TimeLeft: 3 * s}})
	if p.AttemptID > 0 {
		f.EndAttempt(now, AttemptResult{AttemptID: p.AttemptID, Latency: time.Millisecond})
	}
	return p.EndpointID == id
}

func TestControlStreams(t *testing.T) {
	Convey("Given a gateway with a warm-up rate for an endpoint", t, func() {
		f := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		warmingUp := instance("i1", 3)
		warmingUp.WarmupMillis = 60000
		w := fullUpdate(warmingUp)
		w.WarmupRatesComplete, w.WarmupRates = true, []messages.EndpointWeight{{Replica: "i1", WarmupRate: 2}}
		f.Apply(1*s, w)
		f.Apply(2*s-1, &messages.StateUpdate{})
		So(f.WarmupRate(2*s, "i1"), ShouldEqual, 2)
		So(picksEndpoint(f, 2*s, "i1"), ShouldBeTrue)
		// Guards against rates that two gateways hold: the member assigns them to another one once the stream has ended.
		Convey("the rate ends with the stream", func() {
			f.StreamEnded(2 * s)
			So(f.WarmupRate(2*s, "i1"), ShouldEqual, 0)
			So(picksEndpoint(f, 3*s, "i1"), ShouldBeFalse)
		})
		Convey("the rate ends when the member has been silent", func() {
			So(f.WarmupRate(3*s, "i1"), ShouldEqual, 0)
			So(picksEndpoint(f, 3*s, "i1"), ShouldBeFalse)
		})
		Convey("the rate ends when another member, or the same one after a restart, begins a stream and assigns none", func() {
			f.Apply(2*s, fullUpdate(warmingUp))
			So(f.WarmupRate(2*s, "i1"), ShouldEqual, 0)
		})
		// Guards a gateway that was frozen: what lay in its sockets meanwhile must not be applied, nor renew its rates.
		Convey("updates that arrive after a silence are not applied", func() {
			late := f.Apply(20*s, &messages.StateUpdate{WarmupRatesComplete: true, WarmupRates: []messages.EndpointWeight{{Replica: "i1", WarmupRate: 2}}, Sequence: 8, EvacuatedZones: []string{"a"}})
			So(late.Stale, ShouldBeTrue)
			So(f.Sequence(), ShouldEqual, 7)
			So(f.WarmupRate(20*s, "i1"), ShouldEqual, 0)
			So(f.Apply(21*s, fullUpdate(warmingUp)).Stale, ShouldBeFalse)
		})
	})
	Convey("Given a gateway that follows a member", t, func() {
		f := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		f.Apply(1*s, fullUpdate(instance("i1", 9), instance("i2", 4)))
		// Guards against the register of a member that lost its disk or lags: nothing of it may be applied.
		Convey("an older register changes nothing, neither its evacuations nor its configuration", func() {
			w := fullUpdate(instance("i1", 9))
			w.Sequence, w.ConfigVersion, w.EvacuatedZones = 6, 1, []string{"a"}
			f.Apply(1*s, w)
			So(f.Sequence(), ShouldEqual, 7)
			So(f.Config().Version, ShouldEqual, 2)
			So(picksEndpoint(f, 1*s, "i1"), ShouldBeTrue)
		})
		Convey("it reports each instance's newest heartbeat to the next member, as stale after a long silence", func() {
			f.Apply(1500*time.Millisecond, fullUpdate(instance("i1", 9), instance("i2", 4)))
			r := f.InitialReport(1500 * time.Millisecond)
			So(r.Instances[0].Sequence, ShouldEqual, 9)
			So(r.Instances[0].Stale, ShouldBeFalse)
			f.StreamEnded(2 * s)
			f.Apply(22*s, fullUpdate(instance("i1", 9), instance("i2", 4)))
			So(f.InitialReport(22 * s).Instances[0].Stale, ShouldBeTrue)
		})
		// Guards against an endpoint that is lost for a minute because a member did not know it yet.
		Convey("an endpoint that the next member does not know is removed, and added once it does", func() {
			f.Apply(1*s, fullUpdate(instance("i2", 4)))
			So(f.Balancer().Get("i1"), ShouldBeNil)
			f.Apply(1*s, &messages.StateUpdate{Instances: []fleet.Instance{instance("i1", 10)}})
			So(f.Balancer().Get("i1"), ShouldNotBeNil)
		})
	})
}

// TestIsolation guards an endpoint that is warming up against gateways that were partitioned from all members before it began
// to: a few of them once sent it, of the endpoints that were left for them, more than it may be sent.
func TestIsolation(t *testing.T) {
	Convey("Given a gateway of ten that knows two endpoints, of which each may be sent eleven requests a second while warming up", t, func() {
		f := New(Settings{Zone: "a", Zones: 1, WarmupOverage: 1.5, WarmupSlack: 5, Seed: 1})
		body := []byte(`{"version":"00000001","services":[{"name":"svc","cold_per_s":4}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
			`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`)
		var instances []fleet.Instance
		for _, id := range []string{"i1", "i2"} {
			instances = append(instances, fleet.Instance{ID: id, Service: "svc", Addr: id, Zone: "a", Slots: 100, Sequence: 1})
		}
		const s = time.Second
		f.Apply(s, &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: body, Instances: instances, GatewayCount: 10,
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
		// Guards a fleet whose members are all gone: where replicas need no warm-up there is nothing to protect, and all is served.
		Convey("where replicas need no warm-up it sends at any rate", func() {
			f := New(Settings{Zone: "a", Zones: 1, WarmupOverage: 1.5, WarmupSlack: 5, Seed: 1})
			f.Apply(s, &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(strings.Replace(string(body), `,"cold_per_s":4`, "", 1)), Instances: instances, GatewayCount: 10,
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
		Convey("it sends at any rate while it hears a member, and for two seconds more", func() {
			So(sent(s, 3*s), ShouldEqual, 200)
		})
		Convey("then each endpoint gets its share: the ten together send one no more than it may be sent", func() {
			sent(s, 4*s)
			So(sent(4*s, 14*s)*10, ShouldBeBetween, 2*10*8, 2*10*11)
			Convey("until a member is heard", func() {
				f.StreamEnded(14 * s)
				f.Apply(14*s, &messages.StateUpdate{Full: true, Instances: instances})
				So(sent(14*s, 15*s), ShouldEqual, 100)
			})
		})
	})
}
