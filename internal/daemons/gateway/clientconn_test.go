package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/messages"
)

// Guards against request smuggling: an ambiguous request gets a 400, the cause is logged, the connection is closed, and
// neither the request nor anything after it reaches a replica. A complete request before it is served.
func TestBadRequestsReachNoReplica(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, log := startGateway(t, `"max_body_bytes":1000,"max_header_bytes":4000`, up)
	head := "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: bad\r\n"
	smuggled := "GET /x/smuggled HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: smuggled\r\n\r\n"
	good := "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: good\r\nContent-Length: 2\r\n\r\nab"
	for _, x := range []struct {
		raw      string
		statuses string
		cause    string
	}{
		{head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, "[400]", "length_and_chunks"},
		{head + "Content-Length: 0\r\nContent-Length: 80\r\n\r\n" + smuggled, "[400]", "two_lengths"},
		{head + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + smuggled, "[400]", "two_lengths"},
		{strings.Replace(head, "1.1", "1.0", 1) + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, "[400]", "chunks_in_http10"},
		{head + "X-Y: z\r\n folded\r\nContent-Length: 0\r\n\r\n" + smuggled, "[400]", "folded_line"},
		{head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, "[400]", "transfer_encoding"},
		{head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcdeX\r\n0\r\n\r\n" + smuggled, "[400]", "chunk_end"},
		{head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + smuggled, "[400]", "chunk_size"},
		{head + "Content-Length : 3\r\n\r\n" + smuggled, "[400]", "400 Bad Request"},
		{strings.Replace(head, "Host: h.example\r\n", "", 1) + "\r\n" + smuggled, "[400]", "Host"},
		{head + "X-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n" + smuggled, "[400]", "target_or_identity"},
		{strings.Replace(head, "/x/1", "*", 1) + "Content-Length: 0\r\n\r\n" + smuggled, "[400]", "target_or_identity"},
		{head + "Content-Length: 5000\r\n\r\n" + smuggled, "[413]", ""},
		{head + "X-Y: " + strings.Repeat("z", 9000) + "\r\n\r\n" + smuggled, "[431]", "head_too_large"},
		{good + head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, "[200 400]", "length_and_chunks"},
		{good + strings.Replace(good, "/x/1", "http://h.example/x/1", 1), "[200 200]", ""},
	} {
		before := log.String()
		if got := fmt.Sprint(sendRaw(t, addr, x.raw)); got != x.statuses {
			t.Errorf("%q: %s, want %s", x.raw[:min(len(x.raw), 200)], got, x.statuses)
		}
		if line := log.String()[len(before):]; x.cause != "" && (!strings.Contains(line, "event=bad_request") || !strings.Contains(line, x.cause)) {
			t.Errorf("%q: log %q lacks %q", x.raw[:min(len(x.raw), 200)], line, x.cause)
		}
	}
	if ran := up.Executions(); ran["bad"]+ran["smuggled"] > 0 || ran["good"] != 3 {
		t.Error(ran)
	}
	if n := f.bodyBudget.Used(); n != 0 {
		t.Errorf("%d bytes of bodies are still reserved", n)
	}
}

// Guards against a body that is incomplete at the deadline: it must get a 408 and not reach a replica.
func TestSlowBodyGets408(t *testing.T) {
	up := startReplica(t, "i0")
	addr, _, _ := startGateway(t, `"max_body_bytes":1000`, up)
	statuses := sendRaw(t, addr, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf")
	if fmt.Sprint(statuses) != "[408]" || len(up.Requests()) > 0 {
		t.Error(statuses, up.Requests())
	}
}

// Guards against limits of an earlier configuration that stay in effect for connections that were idle during the change.
func TestNewConfigurationLimitsApplyToIdleConnection(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, _ := startGateway(t, `"max_header_bytes":1000,"idle_timeout":"150ms"`, up)
	c := dial(t, addr)
	defer closeQuietly(c)
	br := bufio.NewReader(c)
	readWithin(t, c, 50*time.Millisecond)
	_, _ = br.Peek(1) // stays idle until the deadline
	f.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: testConfigWithLimits(2, `"max_header_bytes":30000,"idle_timeout":"30s"`)})
	readWithin(t, c, 400*time.Millisecond)
	if _, err := br.Peek(1); err == nil || errors.Is(err, io.EOF) {
		t.Fatal("the idle timeout of an earlier configuration closed the connection:", err)
	}
	readWithin(t, c, 5*time.Second)
	send(t, c, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\nX-Y: %s\r\n\r\n", strings.Repeat("z", 25000))
	if status, _, err := readResponse(br); err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
}

// Guards the idle timeout of the current configuration, which applies before the first request and between requests. A head
// that has begun has the header timeout.
func TestIdleTimeoutOfConfigurationInForce(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, _ := startGateway(t, `"header_timeout":"100ms","idle_timeout":"100ms"`, up)
	f.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: testConfigWithLimits(2, `"header_timeout":"150ms","idle_timeout":"30s"`)})
	c := dial(t, addr)
	defer closeQuietly(c)
	br := bufio.NewReader(c)
	for i := range 2 {
		readWithin(t, c, 400*time.Millisecond)
		if _, err := br.Peek(1); err == nil || errors.Is(err, io.EOF) {
			t.Fatalf("idle connection closed before request %d: %v", i+1, err)
		}
		readWithin(t, c, 5*time.Second)
		send(t, c, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nContent-Length: 0\r\n\r\n", i)
		if status, _, err := readResponse(br); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	send(t, c, "GET /x/1 HT")
	readWithin(t, c, 5*time.Second)
	if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 && !bytes.HasPrefix(rest, []byte("HTTP/1.1 400 ")) {
		t.Errorf("incomplete head: got %q, %v", rest, err)
	}
}
