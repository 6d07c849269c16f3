package router

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// ownedBy returns an update in which the keys up to 99 have an owner and the others are moving away from "i9".
func ownedBy(owner string, token uint64) *messages.StateUpdate {
	return &messages.StateUpdate{Ownership: []messages.ServiceOwnership{{
		Service: "svc", LastToken: token, Complete: true, Owners: []string{owner, "i9"},
		Ranges: []messages.OwnedRange{{From: 0, To: 99, Token: token}, {From: 100, To: 65535, Owner: 1, Token: token, Moving: true}},
	}}}
}

func TestOwners(t *testing.T) {
	Convey("Given a gateway of a sharded service with two endpoints", t, func() {
		r := New(Settings{Zone: "a", Zones: 1, Seed: 1})
		update := fullUpdate(instance("i1", 3), instance("i2", 3))
		update.Config = []byte(strings.Replace(configBody, `"name":"svc"`, `"name":"svc","sharded":true`, 1))
		r.Apply(s, update)
		pick := func(now time.Duration, key uint16) PickResult {
			return r.Pick(now, PickRequest{Service: "svc", Sharded: true, Key: key, Attempted: []string{"i1"},
				Admission: admission.Request{Route: "r", LatencyTarget: s, TimeLeft: 3 * s}})
		}
		end := func(now time.Duration, picked PickResult, result loadbalancer.Result) {
			r.EndAttempt(now, AttemptResult{AttemptID: picked.AttemptID, Result: result, Latency: time.Millisecond})
		}
		Convey("no key has an owner before the first table", func() {
			So(pick(s, 7), ShouldResemble, PickResult{OwnerPending: true})
		})
		Convey("with a table", func() {
			result := r.Apply(s, ownedBy("i1", 5))
			So(result.OwnershipChanged, ShouldBeTrue)
			So(r.Apply(s, ownedBy("i1", 5)).OwnershipChanged, ShouldBeFalse)
			Convey("only the owner is picked, even if it was attempted", func() {
				for range 5 {
					picked := pick(s, 99)
					So(picked.EndpointID, ShouldEqual, "i1")
					So(picked.Token, ShouldEqual, 5)
					end(s, picked, loadbalancer.NotOwner)
				}
				So(r.Report(s, s, 0).Endpoints[0].Dropped, ShouldEqual, 0)
			})
			Convey("a moving key is pending, and overdue after a second", func() {
				So(pick(2*s, 100), ShouldResemble, PickResult{OwnerPending: true, Token: 5})
				So(pick(2*s+1, 100), ShouldResemble, PickResult{OwnerPending: true, MoveOverdue: true, Token: 5})
			})
			Convey("an owner that cannot be connected to is avoided for a while", func() {
				end(s, pick(s, 7), loadbalancer.ConnectFailed)
				So(pick(s+300*time.Millisecond, 7), ShouldResemble, PickResult{OwnerPending: true, MoveOverdue: true, Token: 5})
				So(pick(s+400*time.Millisecond, 7).EndpointID, ShouldEqual, "i1")
			})
			Convey("an ejected owner is used", func() {
				r.Apply(s, &messages.StateUpdate{Ejections: []fleet.Ejection{{Replica: "i1", Milliseconds: 5000}}})
				So(pick(s, 7).EndpointID, ShouldEqual, "i1")
			})
			Convey("a draining owner's keys are pending", func() {
				draining := instance("i1", 4)
				draining.Draining = true
				r.Apply(s, &messages.StateUpdate{Instances: []fleet.Instance{draining}})
				So(pick(s, 7).OwnerPending, ShouldBeTrue)
			})
			Convey("an owner in an evacuated zone is not picked", func() {
				r.Apply(s, &messages.StateUpdate{Sequence: 8, EvacuatedZones: []string{"a"}})
				So(pick(s, 7).OwnerPending, ShouldBeTrue)
			})
			Convey("an owner that warms up gets no more than its warm-up rate", func() {
				warmingUp := instance("i1", 4)
				warmingUp.WarmupMillis = 60000
				r.Apply(s, &messages.StateUpdate{Instances: []fleet.Instance{warmingUp}})
				picked := pick(s, 7)
				So(picked.EndpointID, ShouldBeEmpty)
				So(picked.OwnerPending, ShouldBeFalse)
				So(picked.RetryAfter, ShouldBeGreaterThan, 0)
			})
			// Guards against a busy key that a gateway's small share of an owner's connections would limit.
			Convey("an owner may have as many requests in flight as slots, though its connections are shared by many gateways", func() {
				r.Apply(s, &messages.StateUpdate{GatewayCount: 90})
				for range 4 {
					So(pick(s, 7).EndpointID, ShouldEqual, "i1")
				}
				So(pick(s, 7).RetryAfter, ShouldBeGreaterThan, 0)
			})
			Convey("a table with a lower token is ignored, and an invalid one is reported", func() {
				r.Apply(s, ownedBy("i2", 4))
				So(pick(s, 7).EndpointID, ShouldEqual, "i1")
				invalid := ownedBy("i2", 6)
				invalid.Ownership[0].Ranges[0].Owner = 9
				So(r.Apply(s, invalid).OwnershipError, ShouldContainSubstring, "svc")
				So(pick(s, 7).EndpointID, ShouldEqual, "i1")
				r.Apply(s, ownedBy("i2", 6))
				So(pick(s, 7).EndpointID, ShouldEqual, "i2")
			})
		})
		Convey("the report lists the keys with the most requests, sorted by key", func() {
			for key := range uint16(messages.MaxReportedKeys + 10) {
				r.CountKey("svc", key)
				if key >= 10 {
					r.CountKey("svc", key)
				}
			}
			loads := r.Report(s, s, 0).KeyLoads
			So(loads[0].Service, ShouldEqual, "svc")
			So(len(loads[0].Keys), ShouldEqual, messages.MaxReportedKeys)
			So(loads[0].Keys[0], ShouldResemble, messages.KeyCount{Key: 10, Requests: 2})
			So(r.Report(s, s, 0).KeyLoads, ShouldBeEmpty)
		})
	})
}
