package grantclient

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/internal/daemons/program"
)

func TestRequestAsPublished(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	call := grant(1, replica.address)
	call.Handover = "5c0e7a21d94b36f8"
	client.Start([]ownership.Call{call, release(2, replica.address)})
	want := map[string]string{
		"/api/grant":   `{"from_version":4096,"target_version":8191,"fence":12,"hold":"4000ms","handover":"5c0e7a21d94b36f8"}`,
		"/api/release": `{"from_version":4096,"target_version":8191,"fence":13}`,
	}
	for range want {
		got := next(t, replica.requests, "request")
		if got.method != "POST" || got.body != want[got.path] || got.host != replica.address || got.instance != "replica-1" {
			t.Errorf("got request %+v, want the body %s", got, want[got.path])
		}
	}
}

// TestCallsOfALaneAreSentInOrderOneAtATime also checks that they use one connection.
func TestCallsOfALaneAreSentInOrderOneAtATime(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	const calls = 20
	var all []ownership.Call
	for id := range uint64(calls) {
		call := grant(id+1, replica.address)
		call.From, call.To = uint16(id), uint16(id)
		all = append(all, call)
	}
	client.Start(all)
	for i := range calls {
		got := next(t, replica.requests, "request")
		if !strings.HasPrefix(got.body, string(appendBody(nil, &all[i]))) || got.conn != 1 {
			t.Fatalf("request %d is %s on connection %d", i, got.body, got.conn)
		}
		if len(replica.requests) > 0 || len(client.results) > 0 {
			t.Fatal("a call was sent before the one before it was answered")
		}
		got.answer(okResponse)
		client.expect(t, uint64(i+1), ownership.CallAccepted)
	}
}

func TestSlowReleaseDoesNotHoldUpRenewals(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	client.Start([]ownership.Call{release(1, replica.address)})
	slow := next(t, replica.requests, "request")
	for id := uint64(2); id < 5; id++ {
		client.Start([]ownership.Call{grant(id, replica.address)})
		next(t, replica.requests, "request").answer(okResponse)
		client.expect(t, id, ownership.CallAccepted)
	}
	slow.answer(releasedResponse)
	if result := client.expect(t, 1, ownership.CallAccepted); result.Handover != "5c0e7a21d94b36f8" {
		t.Errorf("handover: %q", result.Handover)
	}
}

// TestHungReplicaIsReset checks that the connection of an unanswered call ends with a reset, which drops unsent data.
func TestHungReplicaIsReset(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	call := grant(1, replica.address)
	call.Timeout = 50 * time.Millisecond
	client.Start([]ownership.Call{call})
	next(t, replica.requests, "request").answer("")
	client.expect(t, 1, ownership.CallUnanswered)
	if err := next(t, replica.ended, "end of the connection"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

func TestMalformedResponsesAreUnanswered(t *testing.T) {
	for name, response := range map[string]reply{
		"no response":        {"", true},
		"not HTTP":           {"hello there\r\n\r\n", false},
		"truncated head":     {"HTTP/1.1 200 OK\r\nContent-", true},
		"truncated body":     {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", true},
		"truncated chunk":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", true},
		"two lengths":        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", false},
		"endless head":       {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2*maxResponseBytes), false},
		"oversized body":     {"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("a", 1000000), false},
		"switched protocols": {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		"many interims":      {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses+1), false},
		"invalid status":     {"HTTP/1.1 700 What\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			replica := newReplica(t)
			client := newTestClient(t, nil)
			client.Start([]ownership.Call{grant(1, replica.address)})
			next(t, replica.requests, "request").reply <- response
			client.expect(t, 1, ownership.CallUnanswered)
			_ = next(t, replica.ended, "end of the connection")
			if len(replica.requests) > 0 {
				t.Error("the call was sent twice")
			}
		})
	}
}

func TestOutcomeByStatus(t *testing.T) {
	for response, want := range map[string]ownership.CallOutcome{
		okResponse: ownership.CallAccepted,
		"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n":                                               ownership.CallFenced,
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n":                                    ownership.CallMisdirected,
		"HTTP/1.1 400 Bad Request\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n":              ownership.CallRejected,
		"HTTP/1.1 503 Service Unavailable\r\n\r\ndelimited by the end of the connection":                   ownership.CallRejected,
		"HTTP/1.1 102 Processing\r\n\r\n" + okResponse:                                                     ownership.CallAccepted,
		"HTTP/1.1 200 OK\r\nContent-Length: 300\r\nConnection: close\r\n\r\n" + strings.Repeat("long", 75): ownership.CallAccepted,
	} {
		replica := newReplica(t)
		client := newTestClient(t, nil)
		client.Start([]ownership.Call{grant(1, replica.address)})
		next(t, replica.requests, "request").reply <- reply{response, strings.Contains(response, "delimited")}
		client.expect(t, 1, want)
	}
}

// TestConnectionIsNotReused checks that a connection is replaced if the replica closes it or leads to another replica.
func TestConnectionIsNotReused(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		okResponse + okResponse, // the second one answers no call
	} {
		replica := newReplica(t)
		client := newTestClient(t, nil)
		client.Start([]ownership.Call{grant(1, replica.address), grant(2, replica.address)})
		next(t, replica.requests, "request").answer(response)
		if got := next(t, replica.requests, "request"); got.conn != 2 {
			t.Errorf("after %q the second call was sent on connection %d", response, got.conn)
		}
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
	if err != nil {
		t.Fatal(err)
	}
	closeQuietly(listener)
	client := newTestClient(t, nil)
	client.Start([]ownership.Call{grant(1, listener.Addr().String())})
	client.expect(t, 1, ownership.CallNotSent)
}

// TestLateCallIsNotTried covers calls that are late at their start and calls that are late once the connection is open.
func TestLateCallIsNotTried(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	client.clock.Store(int64(time.Second) + 1)
	client.Start([]ownership.Call{grant(1, replica.address)})
	client.expect(t, 1, ownership.CallNotTried)

	var dialing *testClient
	dialing = newTestClient(t, func(config *Config) {
		config.DialAddress = func(address string) string {
			dialing.clock.Store(int64(time.Second) + 1)
			return address
		}
	})
	dialing.Start([]ownership.Call{grant(2, replica.address)})
	dialing.expect(t, 2, ownership.CallNotTried)
	inTime := grant(3, replica.address)
	inTime.NotAfter = time.Duration(dialing.clock.Load())
	dialing.Start([]ownership.Call{inTime})
	next(t, replica.requests, "request").answer(okResponse)
	dialing.expect(t, 3, ownership.CallAccepted)
	if len(replica.requests) > 0 || dialing.opened.Load() != 1 {
		t.Errorf("%d requests too many; %d connections", len(replica.requests), dialing.opened.Load())
	}
}

// TestClosedKeptConnectionIsReplaced checks that a call is sent once, on a new connection, if the replica has closed the kept one.
func TestClosedKeptConnectionIsReplaced(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	client.Start([]ownership.Call{grant(1, replica.address)})
	next(t, replica.requests, "request").reply <- reply{okResponse, true}
	client.expect(t, 1, ownership.CallAccepted)
	_ = next(t, replica.ended, "end of the connection")
	client.Start([]ownership.Call{grant(2, replica.address)})
	second := next(t, replica.requests, "request")
	second.answer(okResponse)
	client.expect(t, 2, ownership.CallAccepted)
	if second.conn != 2 || len(replica.requests) > 0 {
		t.Errorf("second call on connection %d; %d requests too many", second.conn, len(replica.requests))
	}
}

func TestChangedAddressUsesNewConnection(t *testing.T) {
	before, after := newReplica(t), newReplica(t)
	client := newTestClient(t, nil)
	client.Start([]ownership.Call{grant(1, before.address), grant(2, after.address)})
	next(t, before.requests, "request").answer(okResponse)
	next(t, after.requests, "request").answer(okResponse)
}

// TestIdleLaneEndsWithItsConnection checks that the replica's Keep-Alive timeout is respected and that the connection is not reset.
func TestIdleLaneEndsWithItsConnection(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	client.Start([]ownership.Call{grant(1, replica.address)})
	next(t, replica.requests, "request").answer("HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=0\r\nContent-Length: 0\r\n\r\n")
	client.expect(t, 1, ownership.CallAccepted)
	if err := next(t, replica.ended, "end of the connection"); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
	client.lanesDone.Wait()
	if len(client.lanes) != 0 || client.connections.Load() != 0 {
		t.Errorf("%d lanes and %d connections remain", len(client.lanes), client.connections.Load())
	}
}

func TestLimits(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, func(config *Config) { config.MaxConnections = 1 })
	client.Start([]ownership.Call{grant(1, replica.address)})
	first := next(t, replica.requests, "request")
	client.Start([]ownership.Call{release(2, replica.address)})
	client.expect(t, 2, ownership.CallNotTried)
	for id := uint64(3); id < 3+maxQueuedCalls; id++ {
		client.Start([]ownership.Call{grant(id, replica.address)})
	}
	client.Start([]ownership.Call{grant(1000, replica.address)})
	client.expect(t, 1000, ownership.CallNotTried)
	first.answer(okResponse)
	client.expect(t, 1, ownership.CallAccepted)
}

func TestUnsendableTextIsNotSent(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	call := grant(1, replica.address)
	call.Replica = "replica\r\nX-Injected: 1"
	client.Start([]ownership.Call{call})
	client.expect(t, 1, ownership.CallNotSent)
}

// TestCloseEndsEveryCallOnce checks that Close ends calls in progress and waiting calls, each with one result, and that it does not wait for
// the replica.
func TestCloseEndsEveryCallOnce(t *testing.T) {
	replica := newReplica(t)
	client := newTestClient(t, nil)
	client.Start([]ownership.Call{grant(1, replica.address), grant(2, replica.address), release(3, replica.address)})
	next(t, replica.requests, "request").answer("")
	next(t, replica.requests, "request").answer("")
	client.Close()
	client.Start([]ownership.Call{grant(4, replica.address)})
	close(client.results)
	got := map[uint64]ownership.CallOutcome{}
	for result := range client.results {
		if _, repeated := got[result.ID]; repeated {
			t.Errorf("call %d has two results", result.ID)
		}
		got[result.ID] = result.Outcome
	}
	if len(got) != 3 || got[1] != ownership.CallUnanswered || got[2] != ownership.CallNotTried || got[3] != ownership.CallUnanswered {
		t.Errorf("results: %v", got)
	}
	if err := next(t, replica.ended, "end of the connection"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

func TestMetricsAndLog(t *testing.T) {
	var logs strings.Builder
	client := newTestClient(t, func(config *Config) { config.Logger = program.NewLogger(&logs, "test") })
	call := grant(1, "127.0.0.1:1")
	call.Timeout = 0
	client.Start([]ownership.Call{call})
	client.expect(t, 1, ownership.CallNotTried)
	var text strings.Builder
	client.WriteMetrics(&text)
	client.Close()
	if want := "replica=replica-1 from_key=4096 to_key=8191 token=12 outcome=not_tried"; !strings.Contains(logs.String(), want) {
		t.Errorf("no %q in the log: %s", want, logs.String())
	}
	for _, want := range []string{`zincloft_controlplane_replica_calls_total{kind="grant",outcome="not_tried"} 1`, "zincloft_controlplane_replica_connections 0"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}

func TestEncodingDoesNotAllocate(t *testing.T) {
	var encoder requestEncoder
	call := grant(1, "10.0.0.1:80")
	call.Handover = `quote"and\backslash`
	if encoded := string(encoder.encode(&call)); !strings.HasSuffix(encoded, `"handover":"quote\"and\\backslash"}`) {
		t.Errorf("encoded: %s", encoded)
	}
	if allocations := testing.AllocsPerRun(100, func() { encoder.encode(&call) }); allocations > 0 {
		t.Errorf("%v allocations per call", allocations)
	}
}
