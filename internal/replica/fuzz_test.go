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

// heard is a connection on which everything has come at once.
type heard struct{ *bytes.Reader }

func (heard) Write(b []byte) (int, error)      { return len(b), nil }
func (heard) Close() error                     { return nil }
func (heard) LocalAddr() net.Addr              { return nil }
func (heard) RemoteAddr() net.Addr             { return nil }
func (heard) SetDeadline(time.Time) error      { return nil }
func (heard) SetReadDeadline(time.Time) error  { return nil }
func (heard) SetWriteDeadline(time.Time) error { return nil }

// FuzzAnswer reads what a replica may send in the place of an answer. What is taken for one names the request and holds
// what the bytes hold; a proof that it has not run says so and names it; and a connection is used again only where every
// byte was part of the answer.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		whole("1", "body"), whole("other", "x") + whole("1", "y"), whole("1", "x") + whole("other", "y"), whole("1", "z", "Transfer-Encoding: chunked\r\n"),
		"HTTP/1.1 503 X\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 421 X\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 102 X\r\n\r\n" + whole("1", ""), "HTTP/1.1 204 X\r\nX-Attempt-Id: 1\r\nX-Response-Seal: s\r\n\r\n", "HTTP/1.1 503 X\r\nX-Y: " + whole("1", "q"),
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, head bool) {
		src := bytes.NewReader(b)
		c := &conn{Conn: heard{src}, br: bufio.NewReaderSize(heard{src}, headBuffer), idleMost: idleGuess}
		q := request("1", time.Minute)
		if head {
			q.Method = "HEAD"
		}
		r := c.exchange(q)
		if r.Unsent || r.Verdict == retry.MayHaveRun && r.Answer != nil {
			t.Fatalf("%+v", r)
		}
		if r.Verdict == retry.MayHaveRun {
			if c.fit() {
				t.Fatalf("used again after a doubt: %q", b)
			}
			return
		}
		a := r.Answer
		if ids := a.Header["X-Attempt-Id"]; len(ids) != 1 || ids[0] != "1" {
			t.Fatalf("%s by an answer to %q: %q", r.Verdict, ids, b)
		}
		if !bytes.Contains(b, a.Body) && len(a.Body) < 8 { // longer ones may have come in several chunks
			if !strings.Contains(strings.ToLower(string(b)), "chunked") {
				t.Fatalf("a body that was not there: %q in %q", a.Body, b)
			}
		}
		switch {
		case r.Verdict == retry.NotRun && (a.Status < 400 || a.Header.Get("X-Not-Executed") == "" && a.Status != 421):
			t.Fatalf("not run, by %d: %q", a.Status, b)
		case r.Verdict == retry.Answered && a.Status/100 == 2 && a.Header.Get("X-Response-Seal") == "":
			t.Fatalf("a success without a seal: %q", b)
		case r.Verdict == retry.Answered && (a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421 || a.Status < 200 || a.Status > 599):
			t.Fatalf("%d passed on: %q", a.Status, b)
		case c.fit() && (src.Len() > 0 || r.Skipped > 0 || head):
			t.Fatalf("used again with %d bytes behind, %d skipped: %q", src.Len(), r.Skipped, b)
		}
	})
}
