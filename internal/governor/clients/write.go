package clients

import (
	"errors"
	"os"
	"time"
)

// sendWithAckRequest sends a message that the peer must acknowledge with the version.
func (c *conn) sendWithAckRequest(message []byte, version uint16) {
	c.mu.Lock()
	var err error
	if c.unacknowledged = append(c.unacknowledged, version); len(c.unacknowledged) == 1 {
		err = c.SetReadDeadline(time.Now().Add(c.server.bounds.AcknowledgeTimeout))
	}
	c.mu.Unlock()
	if err == nil { // otherwise the connection is closed
		c.send(message)
	}
}

// send queues a message for the peer and never blocks. A peer whose unsent messages exceed the limit is disconnected.
func (c *conn) send(message []byte) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.pending = append(c.pending, message)
	c.unsentBytes += len(message)
	overLimit := c.unsentBytes > c.server.bounds.MaxUnsentBytes
	total := c.server.unsentBytes.Add(int64(len(message)))
	if !c.writing {
		c.writing = true
		c.server.handlers.Go(c.writeLoop)
	}
	c.mu.Unlock()
	if total > c.server.bounds.MaxTotalUnsentBytes {
		c.server.evictLargestBacklog()
	}
	if overLimit {
		c.closeWith("does not read", "")
	}
}

// writeLoop writes pending messages until there are none.
func (c *conn) writeLoop() {
	for {
		c.mu.Lock()
		pending := c.pending
		c.pending = nil
		if c.closed || len(pending) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		n := 0
		for _, b := range pending {
			n += len(b)
		}
		err := c.SetWriteDeadline(time.Now().Add(c.server.bounds.WriteTimeout))
		if err == nil {
			_, err = pending.WriteTo(c.Conn)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.closeWith("does not read", "")
		} else if err != nil {
			c.closeWith(reasonOf(err))
		}
		c.releaseUnsent(n)
	}
}

// releaseUnsent subtracts written bytes from the counts of unsent bytes.
func (c *conn) releaseUnsent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed { // otherwise closeWith has subtracted them
		c.unsentBytes -= n
		c.server.unsentBytes.Add(int64(-n))
	}
}
