package clients

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"zincloft.example/zincloft/internal/exchange"
	"zincloft.example/zincloft/internal/resp"
	"zincloft.example/zincloft/rules"
)

// conn is one connection: a stream once it has named a proxy, a collector's once it has named a zone, and a
// stranger's until then.
type conn struct {
	net.Conn
	side  *Side
	since time.Time

	mu      sync.Mutex
	named   bool
	pending []byte
	more    chan struct{} // something is pending, or the connection has ended
	ended   bool
	cause   string
}

// read takes in messages until the connection ends. It is the only one that posts this connection's events, so
// they keep their order.
func (c *conn) read() {
	b := c.side.bounds
	in := resp.NewReader(c, b.FirstBytes, b.Words)
	var proxy rules.ProxyID
	var stream, named bool
	err := c.SetReadDeadline(c.since.Add(b.FirstWord))
	for err == nil {
		var words []string
		var m any
		if words, err = in.Next(); err != nil {
			break
		}
		if m, err = c.side.codec.decode(words); err != nil {
			break
		}
		switch m := m.(type) {
		case beat:
			c.send(beatAnswer)
		case unknown:
			c.side.passed.Add(1)
		case collector:
			if stream {
				err = errors.New("a stream that names itself a collector")
			}
			named = true
		case rules.Joined:
			if named {
				err = errors.New("a second joining on one connection")
				break
			}
			named, stream, proxy = true, true, m.Proxy
			c.side.post(exchange.Event{From: c, Fact: m})
		case rules.Intake:
			if !named || stream && m.Proxy != proxy {
				err = fmt.Errorf("usage of proxy %d on a connection that is not its own", m.Proxy)
				break
			}
			c.side.post(exchange.Event{From: c, Fact: m})
		case rules.Applied:
			if !stream {
				err = errors.New("a mark on a connection that is no stream")
				break
			}
			m.Proxy = proxy
			c.side.post(exchange.Event{From: c, Fact: m})
		case rules.Sums:
			if !named || stream {
				err = errors.New("sums on a connection that is no collector")
				break
			}
			c.side.post(exchange.Event{From: c, Fact: m})
		}
		if err == nil && named && in.Limit != b.MessageBytes {
			in.Limit = b.MessageBytes
			c.mu.Lock()
			c.named = true
			c.mu.Unlock()
			err = c.SetReadDeadline(time.Time{})
		}
	}
	if errors.Is(err, io.EOF) {
		err = errors.New("closed by the peer")
	}
	c.end(err.Error())
	if stream {
		c.side.post(exchange.Event{From: c, Fact: rules.Left{Proxy: proxy}})
	} else {
		c.side.log.Info().Stringer("peer", c.RemoteAddr()).Str("cause", c.ending()).Msg("connection ended")
	}
	c.side.remove(c)
}

// send puts bytes in line for the peer and never waits. A peer that does not read is cut off.
func (c *conn) send(b []byte) {
	c.mu.Lock()
	full := len(c.pending)+len(b) > c.side.bounds.Unread
	if !full && !c.ended {
		c.pending = append(c.pending, b...)
	}
	c.mu.Unlock()
	if full {
		c.end(fmt.Sprintf("leaves %d bytes unread", c.side.bounds.Unread))
		return
	}
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.more <- struct{}{}:
	default:
	}
}

func (c *conn) write() {
	var b []byte
	for range c.more {
		c.mu.Lock()
		b, c.pending = c.pending, b[:0]
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return
		}
		if len(b) == 0 {
			continue
		}
		err := c.SetWriteDeadline(time.Now().Add(c.side.bounds.WriteMost))
		if err == nil {
			_, err = c.Write(b)
		}
		if err != nil {
			c.end(err.Error())
			return
		}
	}
}

// end closes the connection; the first cause given stays.
func (c *conn) end(cause string) {
	c.mu.Lock()
	if !c.ended {
		c.ended, c.cause = true, cause
	}
	c.mu.Unlock()
	c.Close()
	c.signal()
}

func (c *conn) ending() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}
