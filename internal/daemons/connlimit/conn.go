package connlimit

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is what a connection is at.
type phase int64

const (
	phaseNew       phase = iota // nothing has come on it
	phaseIdle                   // between two requests
	phaseHead                   // a request's head has begun
	phaseBody                   // a request's head is read, its body is not: nothing was passed on
	phaseBusy                   // it carries a request
	phaseShed                   // its request is to be answered 408, as the body comes too slowly
	phaseFinished               // that answer is written
	phaseReclaimed              // closed to make room

	phaseBits = 3
)

// clockBase is where the times of connections count from, by the monotonic clock.
var clockBase = time.Now()

// connState is a phase and the time since when it holds, in one word, so that whoever changes it knows that nothing has happened since it
// looked.
type connState int64

func newState(p phase) connState {
	return connState(int64(time.Since(clockBase))<<phaseBits | int64(p))
}

func (s connState) phase() phase { return phase(s & (1<<phaseBits - 1)) }

// since is when the phase began.
func (s connState) since() time.Duration { return time.Duration(s >> phaseBits) }

// atomicState is a connState that is changed atomically.
type atomicState struct{ word atomic.Int64 }

func (a *atomicState) Load() connState   { return connState(a.word.Load()) }
func (a *atomicState) Store(s connState) { a.word.Store(int64(s)) }
func (a *atomicState) CompareAndSwap(old, next connState) bool {
	return a.word.CompareAndSwap(int64(old), int64(next))
}

// bodyProgressBytes is how much of a body must come to count as progress.
const bodyProgressBytes = 1 << 10

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// Conn is a connection of a Limiter's listener. Its requests are told to it: by BeginRequest and EndRequest, and the body of one by AwaitBody
// and EndBody; Limiter.Attach has net/http's server tell the former two.
type Conn struct {
	net.Conn
	limiter *Limiter

	state      atomicState
	used       atomic.Bool  // a request of it has been answered
	writeBegan atomic.Int64 // time since clockBase, in nanoseconds; 0: no write is under way

	bodyBytes int // of a body, since the last progress; used by the reader only
}

// LimitedConn returns the connection itself. Package-internal code uses it to find the Conn that another type embeds.
func (c *Conn) LimitedConn() *Conn { return c }

// Close closes the connection and makes room for another one.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.limiter.remove(c)
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.noteRead(n)
	}
	return n, err
}

// noteRead notes that n bytes have come.
func (c *Conn) noteRead(n int) {
	state := c.state.Load()
	switch state.phase() {
	case phaseNew, phaseIdle:
		c.state.CompareAndSwap(state, newState(phaseHead)) // else it has been reclaimed
	case phaseBody:
		if c.bodyBytes += n; c.bodyBytes >= bodyProgressBytes {
			c.bodyBytes = 0
			c.state.CompareAndSwap(state, newState(phaseBody)) // else it has been shed
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (n int, err error) {
	defer c.writeBegan.Store(0)
	for {
		c.writeBegan.Store(int64(time.Since(clockBase)))
		part := b[n:min(len(b), n+writePartBytes)]
		written, err := c.Conn.Write(part)
		if n += written; err != nil || n == len(b) {
			c.noteWritten()
			return n, err
		}
	}
}

// noteWritten notes that a write has ended: where the request was shed, it was its answer.
func (c *Conn) noteWritten() {
	if state := c.state.Load(); state.phase() == phaseShed {
		c.state.CompareAndSwap(state, newState(phaseFinished))
	}
}

// BeginRequest says that a request's head, or what else proves that the connection is used, was read. It returns false where the connection
// was closed to make room before: the request must not be passed on.
func (c *Conn) BeginRequest() bool {
	return c.change(phaseBusy)
}

// EndRequest says that the request has been answered and the connection awaits another one.
func (c *Conn) EndRequest() {
	if c.change(phaseIdle) && !c.used.Load() {
		c.used.Store(true)
		c.limiter.used.Add(1)
	}
}

// BeginBody says that the request at hand is not complete yet. On a nil Conn, as of a request that came by no limited listener, it does nothing.
func (c *Conn) BeginBody() {
	if c == nil {
		return
	}
	c.bodyBytes = 0
	c.change(phaseBody)
}

// EndBody says that the request at hand is complete. It returns false where the request was given up meanwhile, as its body came too slowly:
// it must not be passed on.
func (c *Conn) EndBody() bool { return c == nil || c.change(phaseBusy) }

// IsReclaimed tells whether the connection was closed to make room.
func (c *Conn) IsReclaimed() bool { return c.state.Load().phase() == phaseReclaimed }

// IsReadingHead tells whether a request's head has begun and is not complete.
func (c *Conn) IsReadingHead() bool { return c.state.Load().phase() == phaseHead }

// change enters a phase, unless the limiter has decided otherwise.
func (c *Conn) change(next phase) bool {
	for {
		state := c.state.Load()
		switch state.phase() {
		case phaseShed, phaseFinished, phaseReclaimed:
			return false
		}
		if c.state.CompareAndSwap(state, newState(next)) {
			return true
		}
	}
}

// hasUnreadBytes tells whether the kernel holds bytes of the caller that nobody has read.
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
	err = raw.Control(func(fd uintptr) { // Read would wait for the reader's lock
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
