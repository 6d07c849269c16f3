package connlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// limitedServer is an HTTP server whose listener is limited to MinLimit connections.
type limitedServer struct {
	limiter *Limiter
	addr    string

	mu       sync.Mutex
	executed map[string]int // requests by path
	hold     chan struct{}  // requests for /hold are answered once it is closed
}

func startServer(t testing.TB, limit int) *limitedServer {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &limitedServer{
		limiter:  New("test", limit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}),
		addr:     listener.Addr().String(),
		executed: map[string]int{},
		hold:     make(chan struct{}),
	}
	server := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	s.limiter.Attach(server)
	go func() { _ = server.Serve(s.limiter.Listen(listener)) }() // ends with server.Close
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limitedServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.executed[r.URL.Path]++
	s.mu.Unlock()
	switch r.URL.Path {
	case "/hold":
		<-s.hold
	case "/large":
		_, _ = w.Write(make([]byte, 32<<20)) // ends early where the caller's connection does
	}
}

func (s *limitedServer) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a request and returns its status; 0: the connection ended without a response.
func ask(conn net.Conn, path string) int {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second)) // a read on a closed connection fails anyway
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func until(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// pipes are connections of a limiter without a server.
func pipes(t *testing.T, limiter *Limiter, count int) (conns []*Conn) {
	t.Helper()
	for range count {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		conns = append(conns, limiter.admit(near, nil))
	}
	return conns
}

// TestNeverUsedGoesBeforeIdle guards the order in which connections make room: those that never carried a request, the oldest first, and then
// those that rest, the one that has rested for longest first.
func TestNeverUsedGoesBeforeIdle(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	conns := pipes(t, limiter, MinLimit)
	idle, unused := conns[:MinLimit/2], conns[MinLimit/2:]
	for _, conn := range idle {
		conn.BeginRequest()
	}
	for _, conn := range idle {
		conn.EndRequest()
	}
	time.Sleep(minAge)
	for i, victim := range append(unused, idle...) {
		pipes(t, limiter, 1)[0].BeginRequest() // it is none of those that may be closed
		if !victim.IsReclaimed() {
			t.Fatalf("newcomer %d: connection %d is still open", i, i)
		}
		if limiter.OpenCount() != MinLimit {
			t.Fatalf("newcomer %d: %d connections", i, limiter.OpenCount())
		}
	}
	if never, rest := limiter.Reclaimed(NeverUsed), limiter.Reclaimed(Idle); never != MinLimit/2 || rest != MinLimit/2 {
		t.Errorf("%d never used, %d idle ones were closed", never, rest)
	}
}

// TestRequestsAreNotClosed guards connections that carry a request: a newcomer waits for one to end, however long that takes.
func TestRequestsAreNotClosed(t *testing.T) {
	s := startServer(t, MinLimit)
	var answered sync.WaitGroup
	for range MinLimit {
		conn := s.dial(t)
		answered.Go(func() {
			if status := ask(conn, "/hold"); status != http.StatusOK {
				t.Error(status)
			}
		})
	}
	if !until(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.executed["/hold"] == MinLimit }) {
		t.Fatal(s.executed)
	}
	newcomer, served := s.dial(t), make(chan int, 1)
	go func() { served <- ask(newcomer, "/") }()
	select {
	case status := <-served:
		t.Fatalf("the newcomer was answered %d beside %d requests", status, MinLimit)
	case <-time.After(5 * minAge):
	}
	close(s.hold)
	answered.Wait()
	if status := <-served; status != http.StatusOK {
		t.Error(status)
	}
}

// TestNoRequestIsLostAcrossTheClose guards requests that cross the close of their kept connection: while far more callers than there is room for
// send requests on kept connections, each request that the server begins gets its response; those that it never began are sent again.
func TestNoRequestIsLostAcrossTheClose(t *testing.T) {
	const callers, requests = 4 * MinLimit, 60
	s := startServer(t, MinLimit)
	answered := make([]map[string]bool, callers)
	var done sync.WaitGroup
	for caller := range callers {
		answered[caller] = map[string]bool{}
		done.Go(func() {
			conn := s.dial(t)
			for i := range requests {
				path := fmt.Sprintf("/%d/%d", caller, i)
				if ask(conn, path) == http.StatusOK {
					answered[caller][path] = true
				} else {
					conn = s.dial(t)
				}
				time.Sleep(time.Duration(i%7) * minAge / 4)
			}
		})
	}
	done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, paths := range answered {
		count += len(paths)
		for path := range paths {
			delete(s.executed, path)
		}
	}
	if len(s.executed) > 0 || s.limiter.Reclaimed(Idle) == 0 {
		t.Errorf("%d requests were executed and not answered; %d idle connections closed", len(s.executed), s.limiter.Reclaimed(Idle))
	}
	t.Logf("%d of %d answered on the first connection", count, callers*requests)
}

// TestRequestOnReclaimedConnection guards the atomic step between the two ends of a race.
func TestRequestOnReclaimedConnection(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := limiter.admit(near, nil)
	if !conn.BeginRequest() {
		t.Fatal("a connection in use")
	}
	conn.EndRequest()
	stale, _ := candidateOf(conn)
	conn.BeginRequest()
	conn.EndRequest()
	if stale.take() {
		t.Error("closed by what it was before its last request")
	}
	fresh, _ := candidateOf(conn)
	if !fresh.take() || conn.BeginRequest() || !conn.IsReclaimed() {
		t.Error("a request is passed on after its connection was closed to make room")
	}
	if limiter.OpenCount() != 0 || limiter.used.Load() != 0 {
		t.Error(limiter.OpenCount(), limiter.used.Load(), "are counted after the close")
	}
}

// TestStalledReadersMakeRoom guards against callers that never read: each holds its connection until the write deadline else.
func TestStalledReadersMakeRoom(t *testing.T) {
	s := startServer(t, MinLimit)
	for range MinLimit {
		if _, err := io.WriteString(s.dial(t), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	if status := ask(s.dial(t), "/"); status != http.StatusOK || s.limiter.Reclaimed(StalledReader) == 0 {
		t.Errorf("%d, %d stalled readers were closed", status, s.limiter.Reclaimed(StalledReader))
	}
}

// failingListener fails as told before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, err
}

// TestAcceptGoesOnAfterErrorsThatPass guards listeners: one that can accept no more must end, and a want that passes must not end it.
func TestAcceptGoesOnAfterErrorsThatPass(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	failing := func(err error) error { return &net.OpError{Op: "accept", Err: fmt.Errorf("accept4: %w", err)} }
	inner := &failingListener{failures: []error{failing(syscall.EMFILE), failing(syscall.ECONNABORTED), failing(syscall.EINVAL)}}
	listener := limiter.Listen(inner)
	if _, err := listener.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("%v instead of an error that does not pass", err)
	}
	if conn, err := listener.Accept(); err != nil || conn == nil {
		t.Error(err)
	}
	if errs := limiter.acceptErrors.Load(); errs != 2 {
		t.Error(errs, "errors counted")
	}
}

// TestFullListenerCloses guards the end of a process whose listener has no room: Accept must return.
func TestFullListenerCloses(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	inner, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := limiter.Listen(inner)
	for range MinLimit + 1 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	for range MinLimit {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.(*Conn).BeginRequest()
	}
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	if !until(func() bool { return limiter.acceptWaits.Load() > 0 }) {
		t.Fatal("the last one does not wait")
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
