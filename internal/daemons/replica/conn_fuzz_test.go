package replica

import (
	"bufio"
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// memoryConn is a connection whose complete input is in memory.
type memoryConn struct{ *bytes.Reader }

func (memoryConn) Write(b []byte) (int, error)      { return len(b), nil }
func (memoryConn) Close() error                     { return nil }
func (memoryConn) LocalAddr() net.Addr              { return nil }
func (memoryConn) RemoteAddr() net.Addr             { return nil }
func (memoryConn) SetDeadline(time.Time) error      { return nil }
func (memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (memoryConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponse feeds arbitrary bytes to the response reader. An accepted response must have the request's attempt ID and a body
// found in the input, NotExecuted needs an explicit statement, and a connection may be reused only if all input was consumed.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		validResponse("1", "body"), validResponse("other", "x") + validResponse("1", "y"), validResponse("1", "x") + validResponse("other", "y"), validResponse("1", "z", "Transfer-Encoding: chunked\r\n"),
		"HTTP/1.1 503 X\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 421 X\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 102 X\r\n\r\n" + validResponse("1", ""), "HTTP/1.1 204 X\r\nX-Attempt-Id: 1\r\nX-Response-Seal: s\r\n\r\n", "HTTP/1.1 503 X\r\nX-Y: " + validResponse("1", "q"),
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, head bool) {
		src := bytes.NewReader(b)
		c := &conn{Conn: memoryConn{src}, reader: bufio.NewReaderSize(memoryConn{src}, readBufferBytes), maxIdle: defaultMaxIdle}
		q := request("1", time.Minute)
		if head {
			q.Method = "HEAD"
		}
		r := c.roundTrip(q)
		if r.NotSent || r.Execution == retry.MayHaveExecuted && r.Response != nil {
			t.Fatalf("%+v", r)
		}
		if r.Execution == retry.MayHaveExecuted {
			if c.reusable() {
				t.Fatalf("connection reusable after an unknown execution: %q", b)
			}
			return
		}
		a := r.Response
		if ids := a.Header["X-Attempt-Id"]; len(ids) != 1 || ids[0] != "1" {
			t.Fatalf("%s derived from a response with the attempt IDs %q: %q", r.Execution, ids, b)
		}
		if !bytes.Contains(b, a.Body) && len(a.Body) < 8 { // longer ones may span several chunks
			if !strings.Contains(strings.ToLower(string(b)), "chunked") {
				t.Fatalf("body %q is not part of the input %q", a.Body, b)
			}
		}
		switch {
		case r.Execution == retry.NotExecuted && (a.Status < 400 || a.Header.Get("X-Not-Executed") == "" && a.Status != 421):
			t.Fatalf("NotExecuted derived from status %d: %q", a.Status, b)
		case r.Execution == retry.Answered && a.Status/100 == 2 && a.Header.Get("X-Response-Seal") == "":
			t.Fatalf("2xx response without a seal accepted: %q", b)
		case r.Execution == retry.Answered && (a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421 || a.Status < 200 || a.Status > 599):
			t.Fatalf("status %d accepted: %q", a.Status, b)
		case c.reusable() && (src.Len() > 0 || r.SkippedResponses > 0 || head):
			t.Fatalf("connection reusable with %d unread bytes, %d skipped responses: %q", src.Len(), r.SkippedResponses, b)
		}
	})
}
