package grantclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/internal/daemons/program"
)

const (
	okResponse       = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	releasedResponse = "HTTP/1.1 200 OK\r\nX-Handover: 5c0e7a21d94b36f8\r\nContent-Length: 0\r\n\r\n"

	callTimeout = 30 * time.Second // for calls that must not time out
	testTimeout = 10 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// request is a request that a replica has received. The test decides how it is answered.
type request struct {
	method, path, host, instance, body string
	conn                               int // number of the connection
	reply                              chan reply
}

// reply is the reaction to a request.
type reply struct {
	text  string // sent as it is; empty to send nothing
	close bool
}

func (r request) answer(text string) { r.reply <- reply{text: text} }

// replica is a stand-in for a replica: an HTTP/1.1 server whose responses are written by the test.
type replica struct {
	address  string
	requests chan request
	ended    chan error // why a connection's next request could not be read
}

func newReplica(t testing.TB) *replica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the cleanup
	if err != nil {
		t.Fatal(err)
	}
	r := &replica{address: listener.Addr().String(), requests: make(chan request, 100), ended: make(chan error, 100)}
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		closeQuietly(listener)
	})
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { <-done; closeQuietly(conn) }()
			go r.serve(conn, number, done)
		}
	}()
	return r
}

func (r *replica) serve(conn net.Conn, number int, done chan struct{}) {
	reader := bufio.NewReader(conn)
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			r.ended <- err
			return
		}
		body, err := io.ReadAll(received.Body)
		if err != nil {
			r.ended <- err
			return
		}
		got := request{received.Method, received.URL.Path, received.Host, received.Header.Get("X-Target-Instance"), string(body), number, make(chan reply, 1)}
		r.requests <- got
		select {
		case answer := <-got.reply:
			if answer.text != "" { // even an empty write would take the error of a reset connection from the next read
				_, err = io.WriteString(conn, answer.text)
			}
			if err != nil || answer.close {
				closeQuietly(conn)
			}
		case <-done:
			return
		}
	}
}

// next returns the next value of a channel.
func next[T any](t *testing.T, channel <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-channel:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("no %s within %v", what, testTimeout)
	}
	panic("unreachable")
}

// testClient is a client with a clock that the test sets.
type testClient struct {
	*Client
	clock   atomic.Int64
	results chan ownership.CallResult
}

func newTestClient(t testing.TB, change func(*Config)) *testClient {
	t.Helper()
	c := &testClient{results: make(chan ownership.CallResult, 2000)}
	config := Config{
		Now:         func() time.Duration { return time.Duration(c.clock.Load()) },
		DialAddress: func(address string) string { return address },
		Deliver: func(results []ownership.CallResult) {
			for _, result := range results {
				c.results <- result
			}
		},
		MaxConnections: 100,
		Logger:         program.NewLogger(io.Discard, "test"),
	}
	if change != nil {
		change(&config)
	}
	c.Client = New(config)
	t.Cleanup(c.Close)
	return c
}

// expect waits for the next result and checks it.
func (c *testClient) expect(t *testing.T, id uint64, outcome ownership.CallOutcome) ownership.CallResult {
	t.Helper()
	result := next(t, c.results, "result")
	if result.ID != id || result.Outcome != outcome {
		t.Fatalf("got result %+v, want call %d with outcome %d", result, id, outcome)
	}
	return result
}

func grant(id uint64, address string) ownership.Call {
	return ownership.Call{
		ID: id, Kind: ownership.CallGrant, Service: "catalogue", Replica: "replica-1", Address: address,
		From: 4096, To: 8191, Token: 12, Hold: 4 * time.Second, NotAfter: time.Second, Timeout: callTimeout,
	}
}

func release(id uint64, address string) ownership.Call {
	call := grant(id, address)
	call.Kind, call.Token, call.Hold = ownership.CallRelease, 13, 0
	return call
}
