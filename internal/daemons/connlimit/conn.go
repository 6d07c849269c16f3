package connlimit

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is the state of a connection in the request cycle.
type phase int64

const (
	phaseNew         phase = iota // no byte received
	phaseIdle                     // between two requests
	phaseHead                     // part of a request's head received
	phaseBody                     // receiving a request's body; the request has not been passed on
	phaseBusy                     // processing a request
	phaseBodyTimeout              // the body was too slow; the request is to be answered 408
	phaseResponded                // the 408 response has been written
	phaseReclaimed                // closed to make room

	phaseBits = 3
)

// clockBase is the origin of the monotonic timestamps in this package.
var clockBase = time.Now()

// connState packs a phase and its start time into one word, so that a compare-and-swap fails if anything has happened on the
// connection in between.
type connState int64

func newState(p phase) connState {
	return connState(int64(time.Since(clockBase))<<phaseBits | int64(p))
}

func (s connState) phase() phase { return phase(s & (1<<phaseBits - 1)) }

// since returns the start time of the phase, relative to clockBase.
func (s connState) since() time.Duration { return time.Duration(s >> phaseBits) }

// atomicState is a connState with atomic access.
type atomicState struct{ word atomic.Int64 }

func (a *atomicState) Load() connState   { return connState(a.word.Load()) }
func (a *atomicState) Store(s connState) { a.word.Store(int64(s)) }
func (a *atomicState) CompareAndSwap(old, next connState) bool {
	return a.word.CompareAndSwap(int64(old), int64(next))
}

// minBodyProgress is the number of body bytes that count as progress.
const minBodyProgress = 1 << 10

// pastDeadline makes pending reads return at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection accepted by a Limiter's listener. The server must report requests with BeginRequest and EndRequest, which
// Limiter.Attach does for an http.Server, and may report the receipt of bodies with BeginBody and EndBody.
type Conn struct {
	net.Conn
	limiter *Limiter

	state          atomicState
	used           atomic.Bool  // a request has been answered
	writeStartedAt atomic.Int64 // nanoseconds since clockBase; 0 if no write is in progress

	bodyBytes int // body bytes since the last progress; used only by the reader
}

// LimitedConn returns c. It makes the Conn accessible in types that embed it.
func (c *Conn) LimitedConn() *Conn { return c }

// Close closes the connection and frees its place in the limiter.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.limiter.remove(c)
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onRead(n)
	}
	return n, err
}

// onRead updates the state after n bytes were read.
func (c *Conn) onRead(n int) {
	state := c.state.Load()
	switch state.phase() {
	case phaseNew, phaseIdle:
		c.state.CompareAndSwap(state, newState(phaseHead)) // fails if it has been reclaimed
	case phaseBody:
		if c.bodyBytes += n; c.bodyBytes >= minBodyProgress {
			c.bodyBytes = 0
			c.state.CompareAndSwap(state, newState(phaseBody)) // fails if the body has timed out
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (n int, err error) {
	defer c.writeStartedAt.Store(0)
	for {
		c.writeStartedAt.Store(int64(time.Since(clockBase)))
		chunk := b[n:min(len(b), n+writeChunkBytes)]
		written, err := c.Conn.Write(chunk)
		if n += written; err != nil || n == len(b) {
			c.onWritten()
			return n, err
		}
	}
}

// onWritten updates the state after a write. After a body timeout the write was the 408 response.
func (c *Conn) onWritten() {
	if state := c.state.Load(); state.phase() == phaseBodyTimeout {
		c.state.CompareAndSwap(state, newState(phaseResponded))
	}
}

// BeginRequest reports that a request's head, or equivalent proof of use, has been read. It returns false if the connection has
// been reclaimed; the request must not be processed then.
func (c *Conn) BeginRequest() bool {
	return c.enterPhase(phaseBusy)
}

// EndRequest reports that the request has been answered and the connection is idle.
func (c *Conn) EndRequest() {
	if c.enterPhase(phaseIdle) && !c.used.Load() {
		c.used.Store(true)
		c.limiter.used.Add(1)
	}
}

// BeginBody reports that the body of the current request is being received. It does nothing on a nil Conn, which FromContext
// returns for requests of other listeners.
func (c *Conn) BeginBody() {
	if c == nil {
		return
	}
	c.bodyBytes = 0
	c.enterPhase(phaseBody)
}

// EndBody reports that the current request is complete. It returns false if the body has timed out; the request must not be
// processed then.
func (c *Conn) EndBody() bool { return c == nil || c.enterPhase(phaseBusy) }

// IsReclaimed reports whether the connection was closed to make room for another one.
func (c *Conn) IsReclaimed() bool { return c.state.Load().phase() == phaseReclaimed }

// IsReadingHead reports whether a request's head has been received in part.
func (c *Conn) IsReadingHead() bool { return c.state.Load().phase() == phaseHead }

// enterPhase changes the phase. It returns false if the limiter has reclaimed the connection or timed out its body.
func (c *Conn) enterPhase(next phase) bool {
	for {
		state := c.state.Load()
		switch state.phase() {
		case phaseBodyTimeout, phaseResponded, phaseReclaimed:
			return false
		}
		if c.state.CompareAndSwap(state, newState(next)) {
			return true
		}
	}
}

// hasUnreadBytes reports whether the socket's receive buffer holds data.
func (c *Conn) hasUnreadBytes() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for the reader's lock
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
