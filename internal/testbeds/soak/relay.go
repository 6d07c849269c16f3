package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	relayBufferBytes  = 32 << 10
	relayPollInterval = 5 * time.Millisecond
	relayDialTimeout  = time.Second
)

// relay passes connections from its own address on to a target, and is one directed link: from whoever dials it to the target. Faults
// act on what passes through it. A cut holds bytes and the ends of connections back until it is over; unlike on a real network, a new
// connection is accepted meanwhile, and nothing of it passes on.
type relay struct {
	listener net.Listener
	target   string

	mu            sync.Mutex
	blocks        int // faults that cut the link; 0: it passes
	delay         time.Duration
	dropResponses bool // what the target sends is dropped, and the connection reset
	conns         map[net.Conn]bool
	closed        bool
}

func newRelay(address, target string) (*relay, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// cut holds everything back until the returned function is called.
func (r *relay) block() (unblock func()) {
	r.addBlocks(1)
	return sync.OnceFunc(func() { r.addBlocks(-1) })
}

func (r *relay) addBlocks(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocks += n
}

func (r *relay) setDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *relay) setDropResponses(lose bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropResponses = lose
}

// reset ends all connections with a reset in both directions.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		resetConn(conn)
	}
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close() // only fails when it is closed already
	r.reset()
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close() // likewise
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *relay) serve(from net.Conn) {
	r.track(from)
	defer r.untrack(from)
	if !r.awaitLink() {
		return
	}
	dialer := net.Dialer{Timeout: relayDialTimeout}
	to, err := dialer.DialContext(context.Background(), "tcp", r.target)
	if err != nil {
		resetConn(from)
		return
	}
	r.track(to)
	defer r.untrack(to)
	done := make(chan struct{})
	go func() {
		r.pass(from, to, false)
		close(done)
	}()
	r.pass(to, from, true)
	<-done
}

// pass passes bytes from one end to the other until one of them ends. answers is set for what the target sends.
func (r *relay) pass(from, to net.Conn, answers bool) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !r.awaitLink() {
			return
		}
		if n > 0 && answers && r.dropsResponses() {
			resetConn(from)
			resetConn(to)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			endAfter(to, err)
			return
		}
	}
}

// endAfter passes the end of one side on to the other: a close as a close, a reset as a reset.
func endAfter(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // bare by the contract of io.Reader
		_ = tcp.CloseWrite() // fails on a closed connection only
		return
	}
	resetConn(to)
}

// awaitLink waits while the link is cut, then for its delay. It tells whether the relay still runs.
func (r *relay) awaitLink() bool {
	waited := false
	for {
		r.mu.Lock()
		block, delay, closed := r.blocks > 0, r.delay, r.closed
		r.mu.Unlock()
		switch {
		case closed:
			return false
		case block:
			time.Sleep(relayPollInterval)
		case delay > 0 && !waited:
			waited = true
			time.Sleep(delay)
		default:
			return true
		}
	}
}

func (r *relay) dropsResponses() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropResponses
}

func (r *relay) track(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
}

func (r *relay) untrack(conn net.Conn) {
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	_ = conn.Close() // it may have been closed before
}
