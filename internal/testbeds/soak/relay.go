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

// relay is a TCP proxy for one target that injects network faults. While it is blocked it withholds data and connection closes in both
// directions. Unlike a partitioned network it still accepts new connections, but forwards nothing from them.
type relay struct {
	listener net.Listener
	source   string // IP address to dial from, by which the target knows the sender; empty: any

	mu            sync.Mutex
	target        string
	blocks        map[direction]int // number of faults that block a direction; 0: it forwards
	delay         time.Duration
	dropResponses bool // the connection is reset when the target sends a response
	conns         map[net.Conn]bool
	closed        bool
}

// direction is a direction of a relay's data.
type direction string

const (
	requests  direction = "requests"  // to the target
	responses direction = "responses" // from the target
)

func newRelay(address, target string) (*relay, error) { return newRelayFrom("", address, target) }

// newRelayFrom returns a relay that dials its target from an IP address.
func newRelayFrom(source, address, target string) (*relay, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, source: source, target: target, blocks: map[direction]int{}, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// block withholds all data until unblock is called.
func (r *relay) block() (unblock func()) {
	unblockRequests, unblockResponses := r.blockDirection(requests), r.blockDirection(responses)
	return func() {
		unblockRequests()
		unblockResponses()
	}
}

// blockDirection withholds the data of one direction until unblock is called.
func (r *relay) blockDirection(d direction) (unblock func()) {
	r.addBlocks(d, 1)
	return sync.OnceFunc(func() { r.addBlocks(d, -1) })
}

func (r *relay) addBlocks(d direction, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocks[d] += n
}

// setTarget makes the relay lead to another target. It resets the connections to the previous one.
func (r *relay) setTarget(target string) {
	r.mu.Lock()
	r.target = target
	r.mu.Unlock()
	r.reset()
}

// dial opens a connection to the target.
func (r *relay) dial() (net.Conn, error) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	dialer := net.Dialer{Timeout: relayDialTimeout}
	if r.source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(r.source)}
	}
	return dialer.DialContext(context.Background(), "tcp", target)
}

func (r *relay) setDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *relay) setDropResponses(drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropResponses = drop
}

// reset resets both sides of all connections.
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
	_ = r.listener.Close() // fails only if it is closed already
	r.reset()
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close() // fails only if it is closed already
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
	if !r.awaitLink(requests) {
		return
	}
	to, err := r.dial()
	if err != nil {
		resetConn(from)
		return
	}
	r.track(to)
	defer r.untrack(to)
	done := make(chan struct{})
	go func() {
		r.forward(from, to, requests)
		close(done)
	}()
	r.forward(to, from, responses)
	<-done
}

// forward copies data of one direction from one connection to the other until either ends.
func (r *relay) forward(from, to net.Conn, d direction) {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !r.awaitLink(d) {
			return
		}
		if n > 0 && d == responses && r.dropsResponses() {
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
			forwardClose(to, err)
			return
		}
	}
}

// forwardClose propagates the end of one side to the other: a close as a half-close, any error as a reset.
func forwardClose(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF unwrapped
		_ = tcp.CloseWrite() // fails on a closed connection only
		return
	}
	resetConn(to)
}

// awaitLink waits while a direction is blocked, then for the link's delay. It returns false if the relay has been closed.
func (r *relay) awaitLink(d direction) bool {
	waited := false
	for {
		r.mu.Lock()
		blocked, delay, closed := r.blocks[d] > 0, r.delay, r.closed
		r.mu.Unlock()
		switch {
		case closed:
			return false
		case blocked:
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
	_ = conn.Close() // it may be closed already
}
