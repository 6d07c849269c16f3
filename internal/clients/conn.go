package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/intake"
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

	proxy rules.ProxyID // of a stream; the reader's own, like zone
	zone  rules.ZoneID  // of a collector

	mu      sync.Mutex
	role    role        // written by the reader only, which need not lock to read it
	worked  time.Time   // when a collector last passed something on that counts
	owed    []uint16    // marks that the peer has been sent and not answered yet, oldest first
	pending net.Buffers // messages may be shared with other connections: nobody changes their bytes
	waiting int         // bytes pending or being written
	writing bool        // a goroutine takes what is pending; there is none while nothing is
	ended   bool
	cause   ending

	pace *rate.Limiter // of bytes read; nil: no bound
}

// ending is why a connection has ended. Causes are few; the detail may quote the peer or an address.
type ending struct{ cause, detail string }

// log writes the line of a leave, whose peer it begins with.
func (e ending) log(line *zerolog.Event) {
	line.Str("cause", e.cause).Str("detail", e.detail).Msg("leave")
}

type role string

const (
	stranger  role = "stranger"
	stream    role = "stream"
	collector role = "collector"
)

// read takes in messages until the connection ends. It is the only one that posts this connection's events, so
// they keep their order.
//
// Here it is decided what bad input costs. Framing that is broken ends the connection. A message that is framed well
// but has a bad field, or no place on this connection, is passed over whole and counted, and it is a sign of life like
// any other. A stranger may say nothing but hb and a joining that is good, and has FirstWord for it from its accept on,
// whatever it says meanwhile: against strangers that stay for good, silent, beating, or byte by byte.
func (c *conn) read() {
	b := c.side.bounds
	in := resp.NewReader(c, b.FirstBytes, b.Words)
	err := c.SetReadDeadline(c.since.Add(b.FirstWord))
	for err == nil {
		var words [][]byte
		if words, err = in.Next(); err != nil {
			break
		}
		c.rest(in.Size())
		m := c.hear(c.side.codec.decode(words))
		if bad, is := m.(spoilt); is && c.role == stranger {
			c.end("not a joining", bad.cause)
			break
		} else if is {
			c.side.counts.Add(passedOver, bad.cause)
		}
		if _, beats := m.(beat); !beats || c.role != stranger {
			err = c.await(m)
			in.Limit = b.MessageBytes
		}
	}
	c.end(because(err))
	switch c.role {
	case stream:
		c.side.exchange.Post(exchange.Event{From: c, Fact: rules.Left{Proxy: c.proxy}})
	case collector:
		c.ending().log(c.side.log.Info().Str("collector", c.side.codec.zones[c.zone]))
	default:
		c.side.counts.Add(strangers, c.ending().cause)
	}
	c.side.remove(c)
}

// rest keeps a stream that brings more than its share waiting, and nobody else: against floods of reports. Its own
// marks wait too, so one that never ends falls silent in the end.
func (c *conn) rest(bytes int) {
	if c.pace == nil || c.role != stream {
		return
	}
	if wait := c.pace.ReserveN(time.Now(), min(bytes, c.pace.Burst())).Delay(); wait > 0 {
		c.side.counts.Add(held, "over its share")
		select {
		case <-time.After(wait):
		case <-c.side.closing:
		}
	}
}

// because puts an error into one of few causes.
func because(err error) (cause, detail string) {
	var broken resp.Broken
	switch {
	case err == nil:
		return "", ""
	case errors.Is(err, io.EOF):
		return "closed by the peer", ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent", ""
	case errors.As(err, &broken):
		return "can't be read", err.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		return "cut", err.Error()
	}
	return "failed", err.Error()
}

// hear does as a message says and returns it; what has no place on this connection comes back spoilt.
func (c *conn) hear(m any) any {
	switch m := m.(type) {
	case beat:
		c.send(beatAnswer)
		return m
	case spoilt:
		return m
	case naming:
		if c.role != stranger {
			return misplaced
		}
		c.zone = m.zone
		c.become(collector)
		c.side.collect(c)
		return m
	case rules.Joined:
		if c.role != stranger {
			return misplaced
		}
		c.proxy = m.Proxy
		c.become(stream)
	case rules.Applied:
		if c.role != stream || m.Proxy != c.proxy || !c.isOwed(m.Version) {
			return spoilt{cause: misplaced.cause, answer: true}
		}
	case rules.Intake:
		if c.role == stranger || c.role == stream && m.Proxy != c.proxy {
			return misplaced
		}
		return c.report(exchange.Event{Fact: m}, m)
	case rules.Sums:
		if c.role != collector {
			return misplaced
		}
		return c.report(exchange.Event{Fact: m}, m)
	case *intake.Batch:
		if c.role != stream || m.Proxy != c.proxy {
			m.Free()
			return misplaced
		}
		return c.report(exchange.Event{Batch: m}, m)
	}
	c.side.exchange.Post(exchange.Event{From: c, Fact: m.(rules.Event)})
	return m
}

// report passes on what may wait. A collector waits until there is room; a stream can't, as a proxy's marks come
// behind its reports, so what has no room is counted and gone.
func (c *conn) report(e exchange.Event, m any) any {
	e.From, e.Read = c, time.Now()
	if c.role == collector {
		c.side.exchange.Post(e)
	} else if !c.side.exchange.Offer(e) {
		return noRoom
	}
	return m
}

func (c *conn) become(r role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.role = r
}

func (c *conn) isOwed(mark uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.owed, mark)
}

// await sets the time until which a peer that has joined must say something: as a stream, while it owes the answer
// to a mark. This one guard ends whatever has fallen silent: peers that vanished, that stopped inside a message, or
// that send it byte by byte. A proxy that owes nothing may be quiet for long. An answer that can't be used is taken
// for that to the oldest mark: else a proxy that lives would count as silent. Collectors owe nothing ever; those that
// pass nothing on make room for others.
func (c *conn) await(m any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case rules.Applied:
		c.owed = c.owed[slices.Index(c.owed, m.Version)+1:]
	case spoilt:
		if m.answer {
			c.owed = c.owed[min(1, len(c.owed)):]
		}
	case rules.Sums, rules.Intake, *intake.Batch:
		c.worked = time.Now()
	}
	if len(c.owed) > 0 {
		return c.SetReadDeadline(time.Now().Add(c.side.bounds.Silence))
	}
	return c.SetReadDeadline(time.Time{})
}

// ask sends a message that is to be answered.
func (c *conn) ask(b []byte, mark uint16) {
	c.mu.Lock()
	var err error
	if c.owed = append(c.owed, mark); len(c.owed) == 1 {
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
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.pending = append(c.pending, b)
	c.waiting += len(b)
	full := c.waiting > c.side.bounds.Unread
	all := c.side.unread.Add(int64(len(b)))
	if !c.writing {
		c.writing = true
		c.side.running.Go(c.write)
	}
	c.mu.Unlock()
	if all > c.side.bounds.UnreadAll {
		c.side.relieve()
	}
	if full {
		c.end("does not read", "")
	}
}

// write writes what is pending until nothing is.
func (c *conn) write() {
	for {
		c.mu.Lock()
		pending := c.pending
		c.pending = nil
		if c.ended || len(pending) == 0 {
			c.writing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		n := 0
		for _, b := range pending {
			n += len(b)
		}
		err := c.SetWriteDeadline(time.Now().Add(c.side.bounds.WriteMost))
		if err == nil {
			_, err = pending.WriteTo(c.Conn)
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.end("does not read", "")
		} else if err != nil {
			c.end(because(err))
		}
		c.written(n)
	}
}

// written takes bytes off what waits.
func (c *conn) written(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended { // else end has done so
		c.waiting -= n
		c.side.unread.Add(int64(-n))
	}
}

// end closes the connection; the first cause given stays.
func (c *conn) end(cause, detail string) {
	c.mu.Lock()
	if !c.ended {
		c.ended, c.cause = true, ending{cause, detail}
		c.side.unread.Add(int64(-c.waiting))
	}
	c.mu.Unlock()
	c.Close()
}

func (c *conn) ending() ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}
