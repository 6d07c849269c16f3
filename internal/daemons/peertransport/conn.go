package peertransport

import (
	"net"
	"sync"
)

// sendQueueCapacity is the maximum number of frames queued for a connection or peer.
const sendQueueCapacity = 256

// Conn is a connection with a send queue that a dedicated goroutine writes to the network, so that Send never blocks. Create it
// with NewConn.
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

// Send queues an encoded frame. If the queue is full, it shuts the connection down instead of blocking.
func (c *Conn) Send(frame []byte) {
	select {
	case c.queue <- frame:
	case <-c.done:
	default:
		c.Shutdown()
	}
}

// Shutdown closes the connection and stops its writer. It may be called repeatedly and concurrently.
func (c *Conn) Shutdown() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.Close() // an error changes nothing, as the connection is discarded
	})
}

// Done returns a channel that is closed once the connection has been shut down.
func (c *Conn) Done() <-chan struct{} { return c.done }
