package peertransport

import (
	"net"
	"sync"
)

// sendQueueCapacity is how many frames may wait to be written to one connection or peer.
const sendQueueCapacity = 256

// Conn is a connection whose frames are written by a goroutine of its own, so that several others may send without waiting for
// the network. Make it with NewConn.
type Conn struct {
	net.Conn
	queue     chan []byte
	closeOnce sync.Once
	done      chan struct{}
}

// NewConn wraps a connection and starts its writer, which runs until Shutdown.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, queue: make(chan []byte, sendQueueCapacity), done: make(chan struct{})}
	go c.writeLoop()
	return c
}

func (c *Conn) writeLoop() {
	for {
		select {
		case frame := <-c.queue:
			if err := writeFrame(c.Conn, frame); err != nil {
				c.Shutdown()
				return
			}
		case <-c.done:
			return
		}
	}
}

// Send queues an encoded frame. It does not block: a peer that does not read fast enough loses its connection.
func (c *Conn) Send(frame []byte) {
	select {
	case c.queue <- frame:
	case <-c.done:
	default:
		c.Shutdown()
	}
}

// Shutdown closes the connection and ends its writer. It may be called more than once, by any goroutine.
func (c *Conn) Shutdown() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Close() // the connection is given up, whatever has become of it
	})
}

// Done returns a channel that is closed once the connection has been shut down.
func (c *Conn) Done() <-chan struct{} { return c.done }
