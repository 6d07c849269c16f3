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

// TestPendingAttemptIsCompletedInRecord guards the record of a failed request: an attempt that was still under way when the request ended stayed pending
// there for good, and what became of it stood in the counters only.
func TestPendingAttemptIsCompletedInRecord(t *testing.T) {
	up := startReplica(t, "i0")
	addr, gateway, log := startGateway(t, `"max_body_bytes":1000`, up)
	answer := make(chan struct{})
	up.SetResponseHook(func(string) { <-answer })
	conn := dial(t, addr)
	send(t, conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: left\r\nContent-Length: 2\r\n\r\nab")
	if !waitUntil(func() bool { return up.Executions()["left"] == 1 }) {
		t.Fatal("the request does not arrive")
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
		t.Error("a list that was handed out has changed")
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
			t.Fatal("the outcome went to another request's record")
		}
	}
}

// TestFailedRequestRecordsHedgedAttempt is the same over the whole path: a safe request ends while its second attempt is under way.
func TestFailedRequestRecordsHedgedAttempt(t *testing.T) {
	Convey("A request that ends with a response of one replica while another still works", t, func() {
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
			defer func() { _ = recover() }() // the connection of a client that has left is aborted
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

// TestStopBeforeFrontServerStarts guards callers that wait in the kernel when a gateway is stopped before it has a configuration: their connections were
// reset. They are told to go elsewhere.
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
		t.Fatalf("no answer: %v", err)
	}
	defer func() { _ = response.Body.Close() }() // it is empty
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Error(response.StatusCode, response.Header)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestConfigurationChangeDuringBody guards requests whose body takes longer than a configuration: they were routed by the one in force at their
// head. A body that ends within an older one is no reason to go to a service that its route has left, however the moment of sending is read.
func TestConfigurationChangeDuringBody(t *testing.T) {
	old, replacement := startReplica(t, "i0"), startReplica(t, "i1")
	addr, gateway, _ := startGateway(t, `"max_body_bytes":1000`, old)
	conn := dial(t, addr)
	defer closeQuietly(conn)
	send(t, conn, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: slow\r\nContent-Length: 4\r\n\r\nab")
	if !waitUntil(func() bool { return gateway.bodyBudget.Used() > 0 }) {
		t.Fatal("the head is not read")
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

// TestRequestWithoutIdentity guards plain clients, which name no attempt: they were answered 502 though a replica had answered. Their response is the
// only one on a connection of its own. What is left over on that connection still must not be taken for it.
func TestRequestWithoutIdentity(t *testing.T) {
	Convey("A request that names no attempt", t, func() {
		f := newFixture("unsafe", 1)
		do := func() int {
			w := httptest.NewRecorder()
			r := request(t.Context(), "POST", "/x/1", "body", "")
			r.Header.Del("X-Attempt-Id")
			f.gateway.handleRequest(w, r)
			return w.Code
		}
		Convey("is served like any other", func() {
			So(do(), ShouldEqual, http.StatusOK)
			So(do(), ShouldEqual, http.StatusOK)
			So(f.replicas[0].ConnectionCount(), ShouldEqual, 2)
		})
		Convey("is not answered with a response to another request", func() {
			f.replicas[0].SetBehaviours(upstream.SendsStaleResponseFirst)
			So(do(), ShouldEqual, http.StatusBadGateway)
		})
		Convey("is not answered with a response that lacks its seal", func() {
			f.replicas[0].SetBehaviours(upstream.OmitsSeal)
			So(do(), ShouldEqual, http.StatusBadGateway)
		})
	})
}

// TestNoKnownEndpointIsNotOverload guards the reason of a rejection: until the first endpoint update had come it was "overloaded", where nothing was.
func TestNoKnownEndpointIsNotOverload(t *testing.T) {
	Convey("A request for a service of which no endpoint is known", t, func() {
		f := newFixture("safe", 0)
		So(f.do("GET", "/x/1", "").Code, ShouldEqual, http.StatusServiceUnavailable)
		So(f.gateway.failures.newest()[0].Reason, ShouldEqual, "no_endpoint_known")
		So(f.gateway.counters.String(), ShouldEqual, "no_endpoint_known=1")
	})
}
