package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/nodesettings"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/standin/upstream"
	"zincloft.example/zincloft/messages"
)

// logBuffer keeps a log.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// startGateway starts a forager for clients on loopback, before replicas.
func startGateway(t testing.TB, limits string, ups ...*upstream.Replica) (addr string, f *Gateway, log *logBuffer) {
	set, err := nodesettings.Parse([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	log = &logBuffer{}
	if f, err = New(set, program.NewLogger(log, "forager")); err != nil {
		t.Fatal(err)
	}
	if f.frontListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	st := &messages.StateUpdate{Full: true, Sequence: 1, ConfigVersion: 1, Config: limited(1, limits)}
	for _, up := range ups {
		st.Instances = append(st.Instances, registry.Instance{ID: up.ID, Service: "svc", Addr: up.Addr(), Zone: "a", Slots: 4})
	}
	f.applyUpdate(st)
	t.Cleanup(func() { f.server.Close() })
	return f.frontListener.Addr().String(), f, log
}

func limited(version int, limits string) []byte {
	return bytes.Replace(configured(version, "unsafe"), []byte(`"max_body_bytes":100`), []byte(limits), 1)
}

func startReplica(t testing.TB, id string, next ...upstream.Behaviour) *upstream.Replica {
	up, err := upstream.Start(id, next...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(up.Close)
	return up
}

// sendRaw sends bytes on a new connection and reads answers until it ends.
func sendRaw(t testing.TB, addr, bytes string) (codes []int) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	go io.WriteString(c, bytes)
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadResponse(br, nil)
		if err != nil {
			return codes
		}
		io.Copy(io.Discard, r.Body)
		if codes = append(codes, r.StatusCode); r.Close {
			return codes
		}
	}
}

// Guards replicas against what clients send in two meanings: it is answered 400 and closed, in a log line with its cause,
// and nothing of it, nor behind it, reaches a replica; what came whole before it is answered in its turn.
func TestBadRequestsReachNobody(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, log := startGateway(t, `"max_body_bytes":1000,"max_header_bytes":4000`, up)
	head := "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: bad\r\n"
	smuggled := "GET /x/smuggled HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: smuggled\r\n\r\n"
	good := "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: good\r\nContent-Length: 2\r\n\r\nab"
	for _, x := range []struct {
		say   string
		codes string
		cause string
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
		if got := fmt.Sprint(sendRaw(t, addr, x.say)); got != x.codes {
			t.Errorf("%q: %s, want %s", x.say[:min(len(x.say), 200)], got, x.codes)
		}
		if line := log.String()[len(before):]; x.cause != "" && !(strings.Contains(line, "event=bad_request") && strings.Contains(line, x.cause)) {
			t.Errorf("%q: log %q lacks %q", x.say[:min(len(x.say), 200)], line, x.cause)
		}
	}
	if ran := up.Executions(); ran["bad"]+ran["smuggled"] > 0 || ran["good"] != 3 {
		t.Error(ran)
	}
	if n := f.bodyMemory.used.Load(); n != 0 {
		t.Errorf("%d bytes of bodies are still counted", n)
	}
}

// Guards clients that send too slowly: what has not come whole has not run, and they are told so.
func TestALateBodyIs408(t *testing.T) {
	up := startReplica(t, "i0")
	addr, _, _ := startGateway(t, `"max_body_bytes":1000`, up)
	codes := sendRaw(t, addr, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf")
	if fmt.Sprint(codes) != "[408]" || len(up.Requests()) > 0 {
		t.Error(codes, up.Requests())
	}
}

// Guards heads and rests by a configuration that came later: more is allowed by it, also to a connection that was
// resting when it came.
func TestLimitsOfALaterConfiguration(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, _ := startGateway(t, `"max_header_bytes":1000,"idle_timeout":"150ms"`, up)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	br.Peek(1) // it rests
	f.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: limited(2, `"max_header_bytes":30000,"idle_timeout":"30s"`)})
	c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
	if _, err := br.Peek(1); err == nil || err == io.EOF {
		t.Fatal("a resting connection ended by an earlier configuration:", err)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nContent-Length: 0\r\nX-Y: %s\r\n\r\n", strings.Repeat("z", 25000))
	if r, err := http.ReadResponse(br, nil); err != nil || r.StatusCode != 200 {
		t.Fatal(r, err)
	}
}

// Guards the end of a process: connections that clients opened in advance held it up until the grace period was over, in
// which nobody listened.
func TestUnusedConnectionsDoNotHoldUpTheEnd(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, _ := startGateway(t, `"idle_timeout":"30s"`, up)
	unused, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	if got := fmt.Sprint(sendRaw(t, addr, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")); got != "[200]" {
		t.Fatal(got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := f.shutdownServer(ctx); err != nil {
		t.Error(err)
	}
	unused.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := unused.Read(make([]byte, 1)); err != io.EOF {
		t.Error("the unused connection:", err)
	}
	if !until(func() bool {
		f.unusedConns.mu.Lock()
		defer f.unusedConns.mu.Unlock()
		return len(f.unusedConns.conns) == 0
	}) {
		t.Error("connections that ended are kept")
	}
}

// Guards the end of a process, and of rests: behind a request that came in one piece the connection looked as if it had not
// had its answer yet, so that it held up the end, and rested without end in the server's eyes.
func TestAnsweredConnectionsRest(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		up := startReplica(t, "i0")
		addr, f, _ := startGateway(t, `"idle_timeout":"30s"`, up)
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		br := bufio.NewReader(c)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		for i := range 3 {
			fmt.Fprintf(c, "%s /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nContent-Length: 2\r\n\r\nab", method, i)
			r, err := http.ReadResponse(br, nil)
			if err != nil || r.StatusCode != 200 {
				t.Fatal(r, err)
			}
			io.Copy(io.Discard, r.Body)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if err := f.shutdownServer(ctx); err != nil {
			t.Error(method, err)
		}
		if _, err := br.Peek(1); err != io.EOF {
			t.Error(method, err)
		}
	}
}

// Guards connections that rest: clients take them up within the time that the configuration in force names, also before
// the first request, and also where an earlier one named less; a head that has begun has a head's time.
func TestConnectionsRestByTheConfigurationInForce(t *testing.T) {
	up := startReplica(t, "i0")
	addr, f, _ := startGateway(t, `"header_timeout":"100ms","idle_timeout":"100ms"`, up)
	f.applyUpdate(&messages.StateUpdate{Sequence: 2, ConfigVersion: 2, Config: limited(2, `"header_timeout":"150ms","idle_timeout":"30s"`)})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for i := range 2 {
		c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
		if _, err := br.Peek(1); err == nil || err == io.EOF {
			t.Fatalf("the connection ended while it rested before request %d: %v", i+1, err)
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		fmt.Fprintf(c, "POST /x/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %d\r\nContent-Length: 0\r\n\r\n", i)
		r, err := http.ReadResponse(br, nil)
		if err != nil || r.StatusCode != 200 {
			t.Fatal(r, err)
		}
		io.Copy(io.Discard, r.Body)
	}
	io.WriteString(c, "GET /x/1 HT")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if rest, err := io.ReadAll(br); err != nil || len(rest) > 0 && !bytes.HasPrefix(rest, []byte("HTTP/1.1 400 ")) {
		t.Errorf("a head that does not come on: %q %v", rest, err)
	}
}

func TestExecutionPromises(t *testing.T) {
	Convey("A doubt stays a doubt, also where another try is proven not to have run", t, func() {
		// Guards the promise of 503: the proof of a later try hid the doubt of the first.
		r := newFixture("safe", 2)
		r.all(upstream.ClosesWithoutResponse)
		r.up[0].SetBehaviours(upstream.ClosesWithoutResponse)
		r.up[1].SetBehaviours(upstream.ClosesWithoutResponse)
		for range 12 {
			r.up[0].SetBehaviours(upstream.ClosesWithoutResponse)
			r.up[1].SetBehaviours(upstream.RejectsNotExecuted)
			w := r.do("GET", "/x/1", "")
			if r.ran() > 0 {
				So(w.Code, ShouldNotEqual, http.StatusServiceUnavailable)
			}
		}
	})
	Convey("A replica's own 503 promises nothing where it does not say that it did not run it", t, func() {
		r := newFixture("unsafe", 2)
		r.all(upstream.OmitsNotExecuted)
		So(r.do("POST", "/x/1", "order").Code, ShouldEqual, http.StatusBadGateway)
		So(r.ran(), ShouldEqual, 1)
	})
	Convey("What nobody waits for is not sent, nor sent again", t, func() {
		r := newFixture("unsafe", 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ask := func() {
			q := httptest.NewRequest("POST", "/x/1", strings.NewReader("order")).WithContext(ctx)
			q.Host = "h.example"
			q.Header.Set("X-Attempt-Id", "gone")
			defer func() { recover() }() // its connection is ended
			r.f.handleRequest(httptest.NewRecorder(), q)
		}
		for _, up := range r.up {
			up.SetBehaviours(upstream.RejectsNotExecuted)
			up.SetResponseHook(func(string) { cancel() }) // the client leaves while the replica has it
		}
		ask()
		So(len(r.up[0].Requests())+len(r.up[1].Requests()), ShouldEqual, 1)
		ask()
		So(len(r.up[0].Requests())+len(r.up[1].Requests()), ShouldEqual, 1)
	})
	Convey("With under a tenth of the target left nothing is offered", t, func() {
		r := newFixture("unsafe", 2)
		q := httptest.NewRequest("POST", "/x/1", strings.NewReader("order"))
		q.Host = "h.example"
		q.Header.Set("X-Attempt-Id", "late")
		q.Header.Set("X-Deadline-Ms", "90")
		w := httptest.NewRecorder()
		r.f.handleRequest(w, q)
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(len(r.up[0].Requests())+len(r.up[1].Requests()), ShouldEqual, 0)
	})
	Convey("A deadline beyond all numbers is the route's", t, func() {
		for _, ms := range []string{"Inf", "1e300", "99999999999999999999"} {
			r := newFixture("unsafe", 1)
			q := httptest.NewRequest("POST", "/x/1", strings.NewReader("order"))
			q.Host = "h.example"
			q.Header.Set("X-Attempt-Id", "1")
			q.Header.Set("X-Deadline-Ms", ms)
			w := httptest.NewRecorder()
			r.f.handleRequest(w, q)
			So(w.Code, ShouldEqual, 200)
		}
	})
}

// Guards the reading of a whole address as a target.
func TestTargets(t *testing.T) {
	for in, want := range map[string]string{"/a?b": "/a?b", "http://h/a?b": "/a?b", "http://h": "/", "http://h?x": "/?x", "*": "*"} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + in + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := requestTarget(r); got != want || ok != strings.HasPrefix(want, "/") {
			t.Errorf("%s: %s %v", in, got, ok)
		}
	}
}
