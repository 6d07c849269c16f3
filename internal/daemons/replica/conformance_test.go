package replica

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// listen opens a listener on a free loopback port that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	return listener
}

// startScriptedReplica starts a replica that writes the bytes returned by respond for the n-th request, counted from 1, and closes
// the connection if respond returns true.
func startScriptedReplica(t *testing.T, respond func(q *http.Request, n int) (string, bool)) (addr string, opens *atomic.Int64) {
	t.Helper()
	ln := listen(t)
	var n, open atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer closeQuietly(c)
				br := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if q.Header.Get("X-Early") == "" {
						_, _ = io.Copy(io.Discard, q.Body) // a client that disconnects fails the next read
					}
					s, end := respond(q, int(n.Add(1)))
					_, _ = io.WriteString(c, s)        // the client may have closed the connection
					if q.Header.Get("X-Early") != "" { // leaves the body unread and the connection open
						time.Sleep(5 * time.Second)
					}
					if end {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), &open
}

// validResponse returns an encoded response with a seal and a body.
func validResponse(id, body string, head ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\n%sContent-Length: %d\r\n\r\n%s", id, strings.Join(head, ""), len(body), body)
}

func attempt(p *Pool, addr, id, method string) Outcome {
	q := request(id, time.Second)
	q.Method = method
	if id == "" {
		q.Header.Del("X-Attempt-Id")
	}
	return p.Do("i1", addr, q)
}

func expectOutcome(t *testing.T, r Outcome, v retry.Execution, body string) {
	t.Helper()
	if r.Execution != v || v == retry.Answered && string(r.Response.Body) != body {
		t.Fatalf("%s %q (%s), want %s %q", r.Execution, bodyOf(r), r.Cause, v, body)
	}
}

func bodyOf(r Outcome) string {
	if r.Response == nil {
		return ""
	}
	return string(r.Response.Body)
}

// Guards against parsing the rest of an unsolicited response that exceeds maxSkippedBytes as the next response.
func TestUnsolicitedBodyIsNotReadAsResponse(t *testing.T) {
	forged := validResponse("2", "forged")
	addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
		return validResponse("other", strings.Repeat("x", maxSkippedBytes)+forged) + validResponse("2", "ours"), false
	})
	expectOutcome(t, attempt(NewPool(testMaxOpen), addr, "2", "POST"), retry.MayHaveExecuted, "")
}

// Guards against confusing the framing of HEAD and other methods on one connection: a response to HEAD has a Content-Length but
// no body.
func TestHeadUsesDedicatedConnection(t *testing.T) {
	for _, x := range []struct{ first, second string }{{"HEAD", "GET"}, {"GET", "HEAD"}} {
		addr, opens := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
			if q.Method == "HEAD" {
				return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + q.Header.Get("X-Attempt-Id") + "\r\nX-Response-Seal: s\r\nContent-Length: 9\r\n\r\n", false
			}
			return validResponse(q.Header.Get("X-Attempt-Id"), "body of "+q.Header.Get("X-Attempt-Id")), false
		})
		p := NewPool(testMaxOpen)
		attempt(p, addr, "1", x.first)
		attempt(p, addr, "2", x.second)
		if opens.Load() != 2 {
			t.Errorf("%s and %s shared a connection", x.first, x.second)
		}
	}
}

// Guards against rejecting a response to HEAD without a Content-Length.
func TestHeadWithoutLength(t *testing.T) {
	addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Response-Seal: s\r\n\r\n", false
	})
	expectOutcome(t, attempt(NewPool(testMaxOpen), addr, "1", "HEAD"), retry.Answered, "")
}

// Guards against treating a request as not executed without proof, which must be a response to this request with an error status
// and X-Not-Executed, or a 421.
func TestProofOfNonExecution(t *testing.T) {
	no := func(status int, id string) string {
		s := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", status)
		if id != "" {
			s += "X-Attempt-Id: " + id + "\r\n"
		}
		return s + "\r\n"
	}
	plain := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n", status)
	}
	for _, x := range []struct {
		name, response string
		want           retry.Execution
	}{
		{"rejection of this request", no(503, "1"), retry.NotExecuted},
		{"no attempt ID, first on a new connection", no(400, ""), retry.MayHaveExecuted},
		{"no attempt ID, after a response to another request", validResponse("other", "x") + no(503, ""), retry.MayHaveExecuted},
		{"another request's rejection", no(503, "other") + validResponse("1", "ours"), retry.Answered},
		{"2xx with X-Not-Executed", strings.Replace(validResponse("1", "x"), "Content", "X-Not-Executed: 1\r\nContent", 1), retry.MayHaveExecuted},
		{"two attempt IDs", "HTTP/1.1 503 X\r\nX-Attempt-Id: 1\r\nX-Attempt-Id: 2\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", retry.MayHaveExecuted},
		{"503 without X-Not-Executed", plain(503), retry.MayHaveExecuted},
		{"429 without X-Not-Executed", plain(429), retry.MayHaveExecuted},
		{"408 without X-Not-Executed", plain(408), retry.MayHaveExecuted},
		{"421: another instance", plain(421), retry.NotExecuted},
		{"a server error", plain(500), retry.Answered},
	} {
		addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) { return x.response, false })
		if r := attempt(NewPool(testMaxOpen), addr, "", "POST"); x.name == "no attempt ID, first on a new connection" && r.Execution != retry.NotExecuted {
			t.Errorf("a request without an attempt ID: %s (%s)", r.Execution, r.Cause)
		}
		if r := attempt(NewPool(testMaxOpen), addr, "1", "POST"); r.Execution != x.want || x.want == retry.Answered && bodyOf(r) == "x" {
			t.Errorf("%s: %s (%s), want %s", x.name, r.Execution, r.Cause, x.want)
		}
	}
}

// Guards against ambiguous response heads, such as an incomplete unsolicited head followed by the expected one.
func TestAmbiguousHeads(t *testing.T) {
	for name, response := range map[string]string{
		"an unsolicited head cut off within a field":         "HTTP/1.1 500 X\r\nX-Y: " + validResponse("1", "ours"),
		"an unsolicited head cut off within the status line": "HTTP/1.1 500 " + validResponse("1", "ours"),
		"a length and chunks":                                validResponse("1", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n"),
		"two lengths":                                        validResponse("1", "x", "Content-Length: 1\r\n"),
		"status 000":                                         "HTTP/1.1 000 X\r\n\r\n" + validResponse("1", "ours"),
		"status 700":                                         "HTTP/1.1 700 X\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"101":                                                "HTTP/1.1 101 X\r\nX-Attempt-Id: 1\r\n\r\n",
		"endless interim responses":                          strings.Repeat("HTTP/1.1 102 X\r\n\r\n", 1000) + validResponse("1", "ours"),
		"an oversized head":                                  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: "+strings.Repeat("z", 1000)+"\r\n", 200) + "X-Attempt-Id: 1\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n",
	} {
		addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) { return response, n > 1 })
		if r := attempt(NewPool(testMaxOpen), addr, "1", "POST"); r.Execution != retry.MayHaveExecuted || r.DeadlineExceeded {
			t.Errorf("%s: %s %q (%s)", name, r.Execution, bodyOf(r), r.Cause)
		}
	}
}

// Guards against sharing a connection between requests whose responses cannot be told apart: the same attempt ID twice, or none.
func TestAttemptIDIsUsedOncePerConnection(t *testing.T) {
	for _, id := range []string{"same", ""} {
		addr, opens := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
			return validResponse(id, fmt.Sprint(n)), false
		})
		p := NewPool(testMaxOpen)
		attempt(p, addr, id, "POST")
		attempt(p, addr, id, "POST")
		if opens.Load() != 2 {
			t.Errorf("two requests with the id %q shared a connection", id)
		}
	}
}

// Guards against waiting for the request body to be written when the replica has already responded.
func TestEarlyResponse(t *testing.T) {
	addr, opens := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
		return "HTTP/1.1 503 X\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false
	})
	p := NewPool(testMaxOpen)
	q := request("1", 4*time.Second)
	q.Header.Set("X-Early", "1")
	q.Body = make([]byte, 32<<20)
	began := time.Now()
	expectOutcome(t, p.Do("i1", addr, q), retry.NotExecuted, "")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("response after %v", took)
	}
	q = request("2", time.Second)
	p.Do("i1", addr, q)
	if opens.Load() != 2 {
		t.Error("a connection with an incomplete request was reused")
	}
}

// Guards against file descriptor leaks: Discard closes the connection of a response that was not read completely.
func TestDiscardClosesConnection(t *testing.T) {
	ended := make(chan bool, 1)
	ln := listen(t)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))                                                                                                   // errors are irrelevant here
		_, _ = io.WriteString(c, strings.Replace(validResponse("1", ""), "Content-Length: 0", fmt.Sprint("Content-Length: ", maxBufferedBody*64), 1)) // the copy below reports errors
		_, err = io.CopyN(c, zeros{}, maxBufferedBody*64)
		ended <- err != nil
	}()
	q := request("1", 20*time.Second)
	r := NewPool(testMaxOpen).Do("i1", ln.Addr().String(), q)
	if r.Response == nil || r.Response.CopyRest == nil {
		t.Fatalf("%+v", r)
	}
	r.Discard()
	if !<-ended {
		t.Error("the connection of a discarded response stayed open")
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// Guards against sending a request after the client has disconnected or the deadline has passed.
func TestCanceledOrExpiredRequestIsNotSent(t *testing.T) {
	var seen atomic.Int64
	addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) { seen.Add(1); return validResponse("1", ""), false })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	q := request("1", time.Second)
	q.Cancel = ctx
	for _, q := range []*Request{q, request("1", -time.Second)} {
		p := NewPool(testMaxOpen)
		if r := attempt(p, addr, "0", "POST"); r.Execution != retry.Answered && r.Execution != retry.MayHaveExecuted {
			t.Fatal(r)
		}
		seen.Store(0)
		if r := p.Do("i1", addr, q); r.Execution != retry.NotExecuted || !r.NotSent || seen.Load() != 0 {
			t.Errorf("%+v, %d requests received", r, seen.Load())
		}
	}
}

// Guards against reusing connections after the replica's Keep-Alive timeout, and against invalid timeouts.
func TestKeepAliveTimeouts(t *testing.T) {
	for _, x := range []struct {
		keepAlive string
		opens     int64
	}{{"timeout=10", 1}, {"timeout=0", 2}, {"timeout=9223372036854775807", 1}, {"timeout=-5", 1}, {"max=5, timeout=3", 1}} {
		addr, opens := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
			return validResponse(q.Header.Get("X-Attempt-Id"), "", "Keep-Alive: "+x.keepAlive+"\r\n"), false
		})
		p := NewPool(testMaxOpen)
		attempt(p, addr, "1", "POST")
		attempt(p, addr, "2", "POST")
		if opens.Load() != x.opens {
			t.Errorf("%s: %d connections", x.keepAlive, opens.Load())
		}
	}
}

// Guards against a Connection field that removes the seal or the attempt ID.
func TestConnectionOptionsKeepProtectedHeaders(t *testing.T) {
	h := EndToEndHeaders(http.Header{"Connection": {"X-Response-Seal, x-attempt-id, X-Hop"}, "X-Hop": {"1"}, "X-Attempt-Id": {"1"}, "X-Response-Seal": {"s"}})
	if len(h) != 2 {
		t.Error(h)
	}
}

// Guards against keep-alive probes that end a request with WaitForDeadline before its deadline. Probes must be on while the
// connection is idle.
func TestKeepAliveProbes(t *testing.T) {
	var c *conn
	probes := func() bool {
		on := -1
		if err := c.raw.Control(func(fd uintptr) { on, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) }); err != nil {
			t.Error(err)
		}
		return on == 1
	}
	during := make(chan bool, 2)
	addr, _ := startScriptedReplica(t, func(q *http.Request, n int) (string, bool) {
		during <- probes()
		return validResponse(q.Header.Get("X-Attempt-Id"), ""), false
	})
	p := NewPool(testMaxOpen)
	var err error
	c, err = p.dial("i1", addr, time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	p.putIdle("i1", c)
	for _, wait := range []bool{true, false} {
		q := request(fmt.Sprint(wait), time.Second)
		q.WaitForDeadline = wait
		expectOutcome(t, p.Do("i1", addr, q), retry.Answered, "")
		if got := <-during; got == wait || !probes() {
			t.Errorf("WaitForDeadline %v: probes during the request: %v, while idle: %v", wait, got, probes())
		}
	}
}
