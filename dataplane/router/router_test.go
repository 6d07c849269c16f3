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

const configBody = `{"version":"00000002","services":[{"name":"svc","max_connections":100,"cold_start":"3s","cold_per_s":4}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
	`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`

func instance(id string, sequence uint64) fleet.Instance {
	return fleet.Instance{ID: id, Service: "svc", Addr: "10.0.0." + id[1:] + ":80", Zone: "a", Slots: 4, Sequence: sequence}
}

// fullUpdate returns the first update of a stream.
func fullUpdate(instances ...fleet.Instance) *messages.StateUpdate {
	return &messages.StateUpdate{Full: true, Sequence: 7, ConfigVersion: 2, Config: []byte(configBody), Instances: instances}
}

// picksEndpoint makes one attempt and reports whether it went to the given endpoint.
func picksEndpoint(r *Router, now time.Duration, id string) bool {
	picked := r.Pick(now, PickRequest{Service: "svc", Admission: admission.Request{Route: "r", LatencyTarget: s, TimeLeft: 3 * s}})
	if picked.AttemptID > 0 {
		r.EndAttempt(now, AttemptResult{AttemptID: picked.AttemptID, Latency: time.Millisecond})
	}
	return picked.EndpointID == id
}

func TestControlStreams(t *testing.T) {
	Convey("Given a gateway with a warm-up rate for an endpoint", t, func() {
		r := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		warmingUp := instance("i1", 3)
		warmingUp.WarmupMillis = 60000
		update := fullUpdate(warmingUp)
		update.WarmupRatesComplete, update.WarmupRates = true, []messages.EndpointWeight{{Replica: "i1", WarmupRate: 2}}
		r.Apply(1*s, update)
		r.Apply(2*s-1, &messages.StateUpdate{})
		So(r.WarmupRate(2*s, "i1"), ShouldEqual, 2)
		So(picksEndpoint(r, 2*s, "i1"), ShouldBeTrue)
		// Guards against two gateways with the same rate: the member reassigns it when the stream ends.
		Convey("the rate expires with the stream", func() {
			r.StreamEnded(2 * s)
			So(r.WarmupRate(2*s, "i1"), ShouldEqual, 0)
			So(picksEndpoint(r, 3*s, "i1"), ShouldBeFalse)
		})
		Convey("the rate expires if the member sends no updates", func() {
			So(r.WarmupRate(3*s, "i1"), ShouldEqual, 0)
			So(picksEndpoint(r, 3*s, "i1"), ShouldBeFalse)
		})
		Convey("the rate expires when a new stream assigns none", func() {
			r.Apply(2*s, fullUpdate(warmingUp))
			So(r.WarmupRate(2*s, "i1"), ShouldEqual, 0)
		})
		// Guards a gateway that was stalled: updates that were buffered in its sockets must not be applied or renew its rates.
		Convey("updates that arrive after a long gap are not applied", func() {
			result := r.Apply(20*s, &messages.StateUpdate{
				WarmupRatesComplete: true,
				WarmupRates:         []messages.EndpointWeight{{Replica: "i1", WarmupRate: 2}},
				Sequence:            8,
				EvacuatedZones:      []string{"a"},
			})
			So(result.Stale, ShouldBeTrue)
			So(r.Sequence(), ShouldEqual, 7)
			So(r.WarmupRate(20*s, "i1"), ShouldEqual, 0)
			So(r.Apply(21*s, fullUpdate(warmingUp)).Stale, ShouldBeFalse)
		})
	})
	Convey("Given a gateway with a control stream", t, func() {
		r := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		r.Apply(1*s, fullUpdate(instance("i1", 9), instance("i2", 4)))
		// Guards against applying the register of a member that lags or has lost its disk.
		Convey("an older register and configuration are ignored", func() {
			update := fullUpdate(instance("i1", 9))
			update.Sequence, update.ConfigVersion, update.EvacuatedZones = 6, 1, []string{"a"}
			r.Apply(1*s, update)
			So(r.Sequence(), ShouldEqual, 7)
			So(r.Config().Version, ShouldEqual, 2)
			So(picksEndpoint(r, 1*s, "i1"), ShouldBeTrue)
		})
		Convey("it reports the newest heartbeats to the next member, as stale after a long time without updates", func() {
			r.Apply(1500*time.Millisecond, fullUpdate(instance("i1", 9), instance("i2", 4)))
			report := r.InitialReport(1500 * time.Millisecond)
			So(report.Instances[0].Sequence, ShouldEqual, 9)
			So(report.Instances[0].Stale, ShouldBeFalse)
			r.StreamEnded(2 * s)
			r.Apply(22*s, fullUpdate(instance("i1", 9), instance("i2", 4)))
			So(r.InitialReport(22 * s).Instances[0].Stale, ShouldBeTrue)
		})
		// Guards against blocking an endpoint for removedRetention because a member had not learned of it yet.
		Convey("an endpoint that the next member does not know is removed, and added again later", func() {
			r.Apply(1*s, fullUpdate(instance("i2", 4)))
			So(r.Balancer().Get("i1"), ShouldBeNil)
			r.Apply(1*s, &messages.StateUpdate{Instances: []fleet.Instance{instance("i1", 10)}})
			So(r.Balancer().Get("i1"), ShouldNotBeNil)
		})
	})
}

// Guards against overloading an endpoint that is warming up: gateways that are partitioned from all members do not know that it
// is warming up.
func TestIsolation(t *testing.T) {
	Convey("Given one of ten gateways, and two endpoints that may be sent eleven requests per second while warming up", t, func() {
		settings := Settings{Zone: "a", Zones: 1, WarmupOverage: 1.5, WarmupSlack: 5, Seed: 1}
		body := `{"version":"00000001","services":[{"name":"svc","cold_per_s":4}],"virtual_hosts":[{"hostname":"h","path_routes":[` +
			`{"name":"r","path_prefix":"/","kind":"safe","timeout":"3s","target_latency":"1s","max_attempts":2,"service":"svc"}]}]}`
		var instances []fleet.Instance
		for _, id := range []string{"i1", "i2"} {
			instances = append(instances, fleet.Instance{ID: id, Service: "svc", Addr: id, Zone: "a", Slots: 100, Sequence: 1})
		}
		update := func(config string) *messages.StateUpdate {
			return &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: []byte(config), Instances: instances, GatewayCount: 10,
				Weights: []messages.EndpointWeight{{Replica: "i1", Weight: 50}, {Replica: "i2", Weight: 50}}}
		}
		// sent makes an attempt every 10 ms and counts those that got an endpoint.
		sent := func(r *Router, from, to time.Duration) (count int) {
			for now := from; now < to; now += 10 * time.Millisecond {
				if picked := r.Pick(now, PickRequest{Service: "svc"}); picked.EndpointID != "" {
					r.EndAttempt(now, AttemptResult{AttemptID: picked.AttemptID})
					count++
				}
			}
			return count
		}
		r := New(settings)
		r.Apply(s, update(body))
		// Guards against rejecting requests without need when all members are down.
		Convey("the rate of an isolated gateway is not limited if replicas need no warm-up", func() {
			r := New(settings)
			r.Apply(s, update(strings.Replace(body, `,"cold_per_s":4`, "", 1)))
			So(sent(r, 5*s, 6*s), ShouldEqual, 100)
		})
		Convey("its rate is not limited until two seconds after the last update", func() {
			So(sent(r, s, 3*s), ShouldEqual, 200)
		})
		Convey("then the ten gateways together send an endpoint no more than it may be sent while warming up", func() {
			sent(r, s, 4*s)
			So(sent(r, 4*s, 14*s)*10, ShouldBeBetween, 2*10*8, 2*10*11)
			Convey("until an update arrives", func() {
				r.StreamEnded(14 * s)
				r.Apply(14*s, &messages.StateUpdate{Full: true, Instances: instances})
				So(sent(r, 14*s, 15*s), ShouldEqual, 100)
			})
		})
	})
}
