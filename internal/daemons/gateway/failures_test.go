package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/internal/daemons/replica"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// TestFailedRequestRecord guards the record of a failed request: its attempts, their outcomes, and why no further attempt was
// made.
func TestFailedRequestRecord(t *testing.T) {
	Convey("Given an unsafe route and a replica that executes a request and closes", t, func() {
		f := newFixture("unsafe", 1)
		f.replicas[0].SetBehaviours(upstream.ClosesWithoutResponse)
		So(f.do("POST", "/x/order", "body").Code, ShouldEqual, http.StatusBadGateway)
		kept := f.gateway.failures.newest()
		So(kept, ShouldHaveLength, 1)
		failed := kept[0]
		So(failed.AttemptID, ShouldNotBeBlank)
		So(failed.Route, ShouldEqual, "r")
		So(failed.Status, ShouldEqual, http.StatusBadGateway)
		So(failed.EndedBy, ShouldEqual, endedByGateway)
		So(failed.Reason, ShouldEqual, "may_have_executed")
		So(failed.ConfigVersion, ShouldEqual, 1)
		So(failed.Attempts, ShouldHaveLength, 1)
		attempt := failed.Attempts[0]
		So(attempt.Endpoint, ShouldEqual, "i0")
		So(attempt.Address, ShouldEqual, f.replicas[0].Addr())
		So(attempt.Execution, ShouldEqual, "may_have_executed")
		So(attempt.Cause, ShouldEqual, replica.CauseClosed)
		So(attempt.TableUpdate, ShouldEqual, 1)
		So(attempt.Deadline, ShouldBeGreaterThan, 0)
	})
	Convey("A request without a route leaves a record, and a successful request does not", t, func() {
		f := newFixture("safe", 1)
		So(f.do("GET", "/elsewhere", "").Code, ShouldEqual, http.StatusNotFound)
		So(f.do("GET", "/x/1", "").Code, ShouldEqual, http.StatusOK)
		kept := f.gateway.failures.newest()
		So(kept, ShouldHaveLength, 1)
		So(kept[0].Reason, ShouldEqual, string(countNoRoute))
		exposition := f.exposition()
		So(exposition, ShouldContainSubstring, `zincloft_gateway_requests_total{outcome="answered"} 1`)
		So(exposition, ShouldContainSubstring, `zincloft_gateway_requests_total{outcome="rejected"} 1`)
		So(exposition, ShouldContainSubstring, `zincloft_invariant_violations_total{name="unsafe_request_executed_once"} 0`)
		So(exposition, ShouldContainSubstring, "zincloft_gateway_config_version 1")
	})
}

// TestConfigurationInForceIsLoggedWithItsTime guards against a configuration of which nobody can tell when it came into force.
func TestConfigurationInForceIsLoggedWithItsTime(t *testing.T) {
	Convey("A newer configuration is logged with its predecessor, and its time is a metric", t, func() {
		f := newFixture("safe", 0)
		lines := f.captureLog()
		appliedAt := time.Now().UnixMilli()
		f.gateway.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: testConfig(2, "safe")})
		So(lines.String(), ShouldContainSubstring, "event=config_applied version=2 previous_version=1 routes=1 services=1 sharded_services=0")
		So(f.gateway.configAppliedAt.Load(), ShouldBeGreaterThanOrEqualTo, appliedAt)
		So(f.exposition(), ShouldContainSubstring, "zincloft_gateway_config_applied_timestamp_seconds ")
	})
}

func TestFailureLogKeepsNewest(t *testing.T) {
	var kept failureLog
	for i := range maxRecordedFailures + 3 {
		kept.add(FailedRequest{AttemptID: fmt.Sprint(i)})
	}
	newest := kept.newest()
	if len(newest) != maxRecordedFailures || newest[0].AttemptID != fmt.Sprint(maxRecordedFailures+2) || newest[maxRecordedFailures-1].AttemptID != "3" {
		t.Errorf("%d kept, from %s to %s", len(newest), newest[0].AttemptID, newest[len(newest)-1].AttemptID)
	}
}
