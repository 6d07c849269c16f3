package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// TestPendingAttemptIsCompletedInRecord guards against attempts that stay pending in the record of a failed request after they
// have ended.
func TestPendingAttemptIsCompletedInRecord(t *testing.T) {
	up := startReplica(t, "i0")
	addr, gateway, log := startGateway(t, `"max_body_bytes":1000`, up)
	answer := make(chan struct{})
	up.SetResponseHook(func(string) { <-answer })
	conn := dial(t, addr)
	send(t, conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: left\r\nContent-Length: 2\r\n\r\nab")
	if !waitUntil(func() bool { return up.Executions()["left"] == 1 }) {
		t.Fatal("the request did not reach the replica")
	}
	number := gateway.failures.add(FailedRequest{AttemptID: "left", Attempts: []AttemptRecord{{Endpoint: "i0", Execution: executionPending}}})
	before := gateway.failures.newest()
	gateway.completeFailure(number, "left", AttemptRecord{Endpoint: "i0", Execution: "answered", Status: http.StatusOK})
	close(answer)
	closeQuietly(conn)
	if kept := gateway.failures.newest()[0]; kept.Attempts[0].Execution != "answered" || kept.Attempts[0].Status != http.StatusOK {
		t.Errorf("%+v", kept)
	}
	if before[0].Attempts[0].Execution != executionPending {
		t.Error("a previously returned list was modified")
	}
	if !strings.Contains(log.String(), "event=pending_attempt_ended") {
		t.Error(log.String())
	}
	for range maxRecordedFailures {
		gateway.failures.add(FailedRequest{AttemptID: "later", Attempts: []AttemptRecord{{Endpoint: "i0", Execution: executionPending}}})
	}
	gateway.failures.complete(number, AttemptRecord{Endpoint: "i0", Execution: "answered"})
	for _, kept := range gateway.failures.newest() {
		if kept.Attempts[0].Execution != executionPending {
			t.Fatal("the outcome was stored in another request's record")
		}
	}
}

// TestFailedRequestRecordsHedgedAttempt guards the same for a hedged request whose client disconnects while both attempts are
// pending.
func TestFailedRequestRecordsHedgedAttempt(t *testing.T) {
	Convey("A request that ends while two attempts are pending", t, func() {
		f := newFixture("safe", 2)
		release := make(chan struct{})
		for _, replica := range f.replicas {
			replica.SetBehaviours(upstream.RespondsInternalError)
			replica.SetResponseHook(func(string) { <-release })
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			defer func() { _ = recover() }() // http.ErrAbortHandler, as the client has disconnected
			f.gateway.handleRequest(httptest.NewRecorder(), request(ctx, "GET", "/x/1", "", "leaver"))
		}()
		executed := func() int { return f.replicas[0].Executions()["leaver"] + f.replicas[1].Executions()["leaver"] }
		So(waitUntil(func() bool { return executed() == 2 }), ShouldBeTrue) // hedged
		cancel()
		<-ended
		close(release)
		So(waitUntil(func() bool {
			kept := f.gateway.failures.newest()
			if len(kept) != 1 || len(kept[0].Attempts) != 2 {
				return false
			}
			return kept[0].Attempts[0].Execution != executionPending && kept[0].Attempts[1].Execution != executionPending
		}), ShouldBeTrue)
	})
}

// TestStopBeforeFrontServerStarts guards against resetting connections in the accept queue when a gateway without a
// configuration is stopped: clients must get a 503.
func TestStopBeforeFrontServerStarts(t *testing.T) {
	front, internal := freeAddress(t).String(), min(freeAddress(t).Port, 65000)
	parsed, err := nodesettings.Parse(fmt.Appendf(nil, isolatedGatewaySettings, front, freeAddress(t).String(), internal, internal+9))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Bounds.GracePeriod = time.Second
	gateway, err := New(parsed, program.NewLogger(io.Discard, "gateway"))
	if err != nil {
		t.Fatal(err)
	}
	readiness, err := gateway.listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(readiness)
	conn := dial(t, front)
	defer closeQuietly(conn)
	send(t, conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: 2\r\n\r\nab")
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- gateway.loop(stopped, make(chan os.Signal)) }()
	readWithin(t, conn, time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // the body is empty
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Error(response.StatusCode, response.Header)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestConfigurationChangeDuringBody guards against routing a request by a configuration that was replaced while its body was
// read.
func TestConfigurationChangeDuringBody(t *testing.T) {
	old, replacement := startReplica(t, "i0"), startReplica(t, "i1")
	addr, gateway, _ := startGateway(t, `"max_body_bytes":1000`, old)
	conn := dial(t, addr)
	defer closeQuietly(conn)
	send(t, conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: slow\r\nContent-Length: 4\r\n\r\nab")
	if !waitUntil(func() bool { return gateway.bodyBudget.Used() > 0 }) {
		t.Fatal("the gateway did not start reading the body")
	}
	instance := instanceOf(replacement)
	instance.Service = "other"
	config := strings.NewReplacer(`"service":"svc"`, `"service":"other"`, `{"name":"svc","cold_per_s":4}`, `{"name":"svc","cold_per_s":4},{"name":"other","cold_per_s":4}`).
		Replace(string(testConfigWithLimits(2, `"max_body_bytes":1000`)))
	gateway.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: []byte(config), Instances: []fleet.Instance{instance}})
	send(t, conn, "cd")
	readWithin(t, conn, 5*time.Second)
	if status, _, err := readResponse(bufio.NewReader(conn)); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	if old.Executions()["slow"] != 0 || replacement.Executions()["slow"] != 1 {
		t.Errorf("executed %d times by the old service, %d times by the new one", old.Executions()["slow"], replacement.Executions()["slow"])
	}
}

// TestRequestWithoutAttemptID guards requests without an attempt ID: each uses a connection of its own, so that its response can
// be matched, and is not answered with an unrelated response.
func TestRequestWithoutAttemptID(t *testing.T) {
	Convey("A request without an attempt ID", t, func() {
		f := newFixture("unsafe", 1)
		do := func() int {
			w := httptest.NewRecorder()
			r := request(t.Context(), "POST", "/x/1", "body", "")
			r.Header.Del("X-Attempt-Id")
			f.gateway.handleRequest(w, r)
			return w.Code
		}
		Convey("is served on a connection of its own", func() {
			So(do(), ShouldEqual, http.StatusOK)
			So(do(), ShouldEqual, http.StatusOK)
			So(f.replicas[0].ConnectionCount(), ShouldEqual, 2)
		})
		Convey("is not answered with a response to another request", func() {
			f.replicas[0].SetBehaviours(upstream.SendsStaleResponseFirst)
			So(do(), ShouldEqual, http.StatusBadGateway)
		})
		Convey("is not answered with a response without a seal", func() {
			f.replicas[0].SetBehaviours(upstream.OmitsSeal)
			So(do(), ShouldEqual, http.StatusBadGateway)
		})
	})
}

// TestNoKnownEndpointIsNotOverload guards against rejections with the reason "overloaded" when no endpoint is known.
func TestNoKnownEndpointIsNotOverload(t *testing.T) {
	Convey("A request for a service without known endpoints", t, func() {
		f := newFixture("safe", 0)
		So(f.do("GET", "/x/1", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		So(f.gateway.failures.newest()[0].Reason, ShouldEqual, "no_endpoint_known")
		So(f.gateway.counters.String(), ShouldEqual, "no_endpoint_known=1")
	})
}
