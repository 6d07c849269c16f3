package clients

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
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

	proxy rules.ProxyID // of a stream; the reader's own

	mu      sync.Mutex
	role    role   // written by the reader only, which need not lock to read it
	owes    bool   // the peer owes an answer
	mark    uint16 // the last mark that it was sent
	pending []byte
	more    chan struct{} // something is pending, or the connection has ended
	ended   bool
	cause   string
}

type role string

const (
	stranger  role = "stranger"
	stream    role = "stream"
	collector role = "collector"
)

// read takes in messages until the connection ends. It is the only one that posts this connection's events, so
// they keep their order.
func (c *conn) read() {
	b := c.side.bounds
	in := resp.NewReader(c, b.FirstBytes, b.Words)
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
		if err = c.hear(m); err == nil {
			err = c.await(m)
		}
		if c.role != stranger {
			in.Limit = b.MessageBytes
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		err = errors.New("closed by the peer")
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errors.New("silent")
	}
	c.end(err.Error())
	if c.role == stream {
		c.side.post(exchange.Event{From: c, Fact: rules.Left{Proxy: c.proxy}})
	} else {
		c.side.log.Info().Stringer("peer", c.RemoteAddr()).Str("role", string(c.role)).Str("cause", c.ending()).
			Msg("connection ended")
	}
	c.side.remove(c)
}

// hear does as a message says. An error means that it has no place on this connection.
func (c *conn) hear(m any) error {
	switch m := m.(type) {
	case beat:
		c.send(beatAnswer)
		return nil
	case unknown:
		c.side.passed.Add(1)
		return nil
	case naming:
		if c.role == stream {
			return errors.New("a stream that names itself a collector")
		}
		c.become(collector)
		c.side.collect(c, m.zone)
		return nil
	case rules.Joined:
		if c.role != stranger {
			return errors.New("a joining on a connection that has named itself")
		}
		c.proxy = m.Proxy
		c.become(stream)
	case rules.Applied:
		if c.role != stream || m.Proxy != c.proxy {
			return fmt.Errorf("a mark of proxy %d on a connection that is not its stream", m.Proxy)
		}
	case rules.Intake:
		if c.role == stranger || c.role == stream && m.Proxy != c.proxy {
			return fmt.Errorf("usage of proxy %d on a connection that is not its own", m.Proxy)
		}
	case rules.Sums:
		if c.role != collector {
			return errors.New("sums on a connection that is no collector's")
		}
	}
	c.side.post(exchange.Event{From: c, Fact: m.(rules.Event)})
	return nil
}

func (c *conn) become(r role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.role = r
}

// await sets the time until which the peer must say something: always while it is a stranger, and as a stream
// while it owes an answer. This one guard ends whatever has fallen silent: peers that vanished, that stopped
// inside a message, or that send it byte by byte. A proxy that owes nothing may be quiet for long. Collectors
// owe nothing ever; a new one takes the old one's place.
func (c *conn) await(m any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := m.(rules.Applied); ok && a.Version == c.mark {
		c.owes = false
	}
	switch {
	case c.role == stranger:
		return c.SetReadDeadline(time.Now().Add(c.side.bounds.FirstWord))
	case c.owes:
		return c.SetReadDeadline(time.Now().Add(c.side.bounds.Silence))
	}
	return c.SetReadDeadline(time.Time{})
}

// ask sends a message that is to be answered.
func (c *conn) ask(b []byte, mark uint16) {
	c.mu.Lock()
	c.mark = mark
	var err error
	if !c.owes {
		c.owes = true
		err = c.SetReadDeadline(time.Now().Add(c.side.bounds.Silence))
	}
	c.mu.Unlock()
	if err == nil { // else it has ended
		c.send(b)
	}
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
