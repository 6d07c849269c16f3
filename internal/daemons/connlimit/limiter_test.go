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

// limitedServer is an HTTP server with a limited listener.
type limitedServer struct {
	limiter *Limiter
	addr    string

	mu       sync.Mutex
	executed map[string]int // requests by path
	hold     chan struct{}  // closed to answer requests for /hold
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
		_, _ = w.Write(make([]byte, 32<<20)) // fails if the client's connection is closed
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

// get sends a request and returns the response's status, or 0 if the connection ended without a response.
func get(conn net.Conn, path string) int {
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

func waitUntil(condition func() bool) bool {
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// admitPipes admits in-memory connections to a limiter without a server.
func admitPipes(t *testing.T, limiter *Limiter, count int) (conns []*Conn) {
	t.Helper()
	for range count {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		conns = append(conns, limiter.admit(near, nil))
	}
	return conns
}

// TestNeverUsedIsReclaimedBeforeIdle guards the order of reclaiming: never used connections before idle ones, oldest first.
func TestNeverUsedIsReclaimedBeforeIdle(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	conns := admitPipes(t, limiter, MinLimit)
	idle, unused := conns[:MinLimit/2], conns[MinLimit/2:]
	for _, conn := range idle {
		conn.BeginRequest()
	}
	for _, conn := range idle {
		conn.EndRequest()
	}
	time.Sleep(minIdleAge)
	for i, victim := range append(unused, idle...) {
		admitPipes(t, limiter, 1)[0].BeginRequest() // a busy connection cannot be reclaimed
		if !victim.IsReclaimed() {
			t.Fatalf("new connection %d: connection %d is still open", i, i)
		}
		if limiter.OpenCount() != MinLimit {
			t.Fatalf("new connection %d: %d connections are open", i, limiter.OpenCount())
		}
	}
	if neverUsed, idle := limiter.Reclaimed(NeverUsed), limiter.Reclaimed(Idle); neverUsed != MinLimit/2 || idle != MinLimit/2 {
		t.Errorf("%d never used and %d idle connections were reclaimed", neverUsed, idle)
	}
}

// TestBusyConnectionsAreNotReclaimed guards against reclaiming connections that carry a request: a new connection must wait.
func TestBusyConnectionsAreNotReclaimed(t *testing.T) {
	s := startServer(t, MinLimit)
	var answered sync.WaitGroup
	for range MinLimit {
		conn := s.dial(t)
		answered.Go(func() {
			if status := get(conn, "/hold"); status != http.StatusOK {
				t.Error(status)
			}
		})
	}
	if !waitUntil(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.executed["/hold"] == MinLimit }) {
		t.Fatal(s.executed)
	}
	waiting, served := s.dial(t), make(chan int, 1)
	go func() { served <- get(waiting, "/") }()
	select {
	case status := <-served:
		t.Fatalf("the waiting connection got status %d during %d requests", status, MinLimit)
	case <-time.After(5 * minIdleAge):
	}
	close(s.hold)
	answered.Wait()
	if status := <-served; status != http.StatusOK {
		t.Error(status)
	}
}

// TestReclaimingLosesNoRequest guards against a race between reclaiming an idle connection and a request on it: every request that the
// server executes must get its response.
func TestReclaimingLosesNoRequest(t *testing.T) {
	const clients, requests = 4 * MinLimit, 60
	s := startServer(t, MinLimit)
	answered := make([]map[string]bool, clients)
	var done sync.WaitGroup
	for client := range clients {
		answered[client] = map[string]bool{}
		done.Go(func() {
			conn := s.dial(t)
			for i := range requests {
				path := fmt.Sprintf("/%d/%d", client, i)
				if get(conn, path) == http.StatusOK {
					answered[client][path] = true
				} else {
					conn = s.dial(t)
				}
				time.Sleep(time.Duration(i%7) * minIdleAge / 4)
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
		t.Errorf("%d requests were executed without a response; %d idle connections were reclaimed", len(s.executed), s.limiter.Reclaimed(Idle))
	}
	t.Logf("%d of %d requests answered without a reconnect", count, clients*requests)
}

// TestRequestOnReclaimedConnection guards against processing a request on a reclaimed connection, and against reclaiming a connection
// by an outdated state.
func TestRequestOnReclaimedConnection(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := limiter.admit(near, nil)
	if !conn.BeginRequest() {
		t.Fatal("request rejected on an open connection")
	}
	conn.EndRequest()
	stale, _ := candidateOf(conn)
	conn.BeginRequest()
	conn.EndRequest()
	if stale.reclaim() {
		t.Error("reclaimed by a state from before the last request")
	}
	fresh, _ := candidateOf(conn)
	if !fresh.reclaim() || conn.BeginRequest() || !conn.IsReclaimed() {
		t.Error("a request was accepted on a reclaimed connection")
	}
	if limiter.OpenCount() != 0 || limiter.used.Load() != 0 {
		t.Error(limiter.OpenCount(), limiter.used.Load(), "connections are counted after the close")
	}
}

// TestStalledReadersAreReclaimed guards against clients that hold connections by not reading responses.
func TestStalledReadersAreReclaimed(t *testing.T) {
	s := startServer(t, MinLimit)
	for range MinLimit {
		if _, err := io.WriteString(s.dial(t), "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	if status := get(s.dial(t), "/"); status != http.StatusOK || s.limiter.Reclaimed(StalledReader) == 0 {
		t.Errorf("status %d, %d stalled readers were reclaimed", status, s.limiter.Reclaimed(StalledReader))
	}
}

// failingListener returns the given errors before it accepts connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// TestAcceptRetriesAfterTransientErrors guards against a listener that ends after a transient error or retries after a permanent one.
func TestAcceptRetriesAfterTransientErrors(t *testing.T) {
	limiter := New("test", MinLimit, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	failing := func(err error) error { return &net.OpError{Op: "accept", Err: fmt.Errorf("accept4: %w", err)} }
	inner := &failingListener{errs: []error{failing(syscall.EMFILE), failing(syscall.ECONNABORTED), failing(syscall.EINVAL)}}
	listener := limiter.Listen(inner)
	if _, err := listener.Accept(); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("got %v instead of the permanent error", err)
	}
	if conn, err := listener.Accept(); err != nil || conn == nil {
		t.Error(err)
	}
	if errs := limiter.acceptErrors.Load(); errs != 2 {
		t.Error(errs, "errors counted")
	}
}

// TestCloseUnblocksFullListener guards against Accept blocking at the limit after the listener was closed.
func TestCloseUnblocksFullListener(t *testing.T) {
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
	if !waitUntil(func() bool { return limiter.acceptWaits.Load() > 0 }) {
		t.Fatal("the last connection did not wait")
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}
