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
	"zincloft.example/zincloft/internal/eventqueue"
	"zincloft.example/zincloft/internal/resp"
	"zincloft.example/zincloft/rules"
)

// conn is one connection: a stream once it has named a proxy, a collector's once it has named a zone, and a
// stranger's until then.
type conn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time

	proxy rules.ProxyID // of a stream; the reader's own, like zone
	zone  rules.ZoneID  // of a collector

	mu             sync.Mutex
	role           role        // written by the reader only, which need not lock to read it
	lastUsefulAt   time.Time   // when a collector last passed something on that counts
	unacknowledged []uint16    // marks that the peer has been sent and not answered yet, oldest first
	pending        net.Buffers // messages may be shared with other connections: nobody changes their bytes
	unsentBytes    int         // bytes pending or being written
	writing        bool        // a goroutine takes what is pending; there is none while nothing is
	closed         bool
	reason         closeReason

	limiter *rate.Limiter // of bytes read; nil: no bound
}

// closeReason is why a connection has ended. Causes are few; the detail may quote the peer or an address.
type closeReason struct{ cause, detail string }

// log writes the line of a leave, whose peer it begins with.
func (e closeReason) log(line *zerolog.Event) {
	line.Str("cause", e.cause).Str("detail", e.detail).Msg("leave")
}

type role string

const (
	roleUnidentified role = "stranger"
	roleStream       role = "stream"
	roleCollector    role = "collector"
)

// readLoop takes in messages until the connection ends. It is the only one that posts this connection's events, so
// they keep their order.
//
// Here it is decided what bad input costs. Framing that is broken ends the connection. A message that is framed well
// but has a bad field, or no place on this connection, is passed over whole and counted, and it is a sign of life like
// any other. A stranger may say nothing but hb and a joining that is good, and has FirstWord for it from its accept on,
// whatever it says meanwhile: against strangers that stay for good, silent, beating, or byte by byte.
func (c *conn) readLoop() {
	b := c.server.bounds
	in := resp.NewReader(c, b.MaxFirstMessageBytes, b.MaxMessageElements)
	err := c.SetReadDeadline(c.acceptedAt.Add(b.JoinTimeout))
	for err == nil {
		var words [][]byte
		if words, err = in.Next(); err != nil {
			break
		}
		c.throttle(in.Size())
		m := c.handle(c.server.codec.decode(words))
		if bad, is := m.(invalidMessage); is && c.role == roleUnidentified {
			c.closeWith("not a joining", bad.cause)
			break
		} else if is {
			c.server.counts.Add(skippedMessages, bad.cause)
		}
		if _, beats := m.(heartbeat); !beats || c.role != roleUnidentified {
			err = c.updateDeadline(m)
			in.MaxBytes = b.MaxMessageBytes
		}
	}
	c.closeWith(reasonOf(err))
	switch c.role {
	case roleStream:
		c.server.inbox.Post(eventqueue.Event{Connection: c, Fact: rules.Left{Proxy: c.proxy}})
	case roleCollector:
		c.closeReason().log(c.server.log.Info().Str("collector", c.server.codec.zones[c.zone]))
	default:
		c.server.counts.Add(unidentifiedConns, c.closeReason().cause)
	}
	c.server.removeConn(c)
}

// throttle keeps a stream that brings more than its share waiting, and nobody else: against floods of reports. Its own
// marks wait too, so one that never ends falls silent in the end.
func (c *conn) throttle(bytes int) {
	if c.limiter == nil || c.role != roleStream {
		return
	}
	if wait := c.limiter.ReserveN(time.Now(), min(bytes, c.limiter.Burst())).Delay(); wait > 0 {
		c.server.counts.Add(delayedMessages, "over its share")
		select {
		case <-time.After(wait):
		case <-c.server.closing:
		}
	}
}

// reasonOf puts an error into one of few causes.
func reasonOf(err error) (cause, detail string) {
	var broken resp.ProtocolError
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

// handle does as a message says and returns it; what has no place on this connection comes back spoilt.
func (c *conn) handle(m any) any {
	switch m := m.(type) {
	case heartbeat:
		c.send(heartbeatAnswer)
		return m
	case invalidMessage:
		return m
	case collectorJoin:
		if c.role != roleUnidentified {
			return unexpectedMessage
		}
		c.zone = m.zone
		c.setRole(roleCollector)
		c.server.addCollector(c)
		return m
	case rules.Joined:
		if c.role != roleUnidentified {
			return unexpectedMessage
		}
		c.proxy = m.Proxy
		c.setRole(roleStream)
	case rules.Applied:
		if c.role != roleStream || m.Proxy != c.proxy || !c.awaits(m.Version) {
			return invalidMessage{cause: unexpectedMessage.cause, isAcknowledgement: true}
		}
	case rules.GroupTraffic:
		if c.role == roleUnidentified || c.role == roleStream && m.Proxy != c.proxy {
			return unexpectedMessage
		}
		return c.postReport(eventqueue.Event{Fact: m}, m)
	case rules.EndpointStats:
		if c.role != roleCollector {
			return unexpectedMessage
		}
		return c.postReport(eventqueue.Event{Fact: m}, m)
	case *intake.Batch:
		if c.role != roleStream || m.Proxy != c.proxy {
			m.Free()
			return unexpectedMessage
		}
		return c.postReport(eventqueue.Event{Batch: m}, m)
	}
	c.server.inbox.Post(eventqueue.Event{Connection: c, Fact: m.(rules.Event)})
	return m
}

// postReport passes on what may wait. A collector waits until there is room; a stream can't, as a proxy's marks come
// behind its reports, so what has no room is counted and gone.
func (c *conn) postReport(e eventqueue.Event, m any) any {
	e.Connection, e.ReceivedAt = c, time.Now()
	if c.role == roleCollector {
		c.server.inbox.Post(e)
	} else if !c.server.inbox.TryPost(e) {
		return queueFull
	}
	return m
}

func (c *conn) setRole(r role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.role = r
}

func (c *conn) awaits(mark uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.unacknowledged, mark)
}

// updateDeadline sets the time until which a peer that has joined must say something: as a stream, while it owes the answer
// to a mark. This one guard ends whatever has fallen silent: peers that vanished, that stopped inside a message, or
// that send it byte by byte. A proxy that owes nothing may be quiet for long. An answer that can't be used is taken
// for that to the oldest mark: else a proxy that lives would count as silent. Collectors owe nothing ever; those that
// pass nothing on make room for others.
func (c *conn) updateDeadline(m any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case rules.Applied:
		c.unacknowledged = c.unacknowledged[slices.Index(c.unacknowledged, m.Version)+1:]
	case invalidMessage:
		if m.isAcknowledgement {
			c.unacknowledged = c.unacknowledged[min(1, len(c.unacknowledged)):]
		}
	case rules.EndpointStats, rules.GroupTraffic, *intake.Batch:
		c.lastUsefulAt = time.Now()
	}
	if len(c.unacknowledged) > 0 {
		return c.SetReadDeadline(time.Now().Add(c.server.bounds.AcknowledgeTimeout))
	}
	return c.SetReadDeadline(time.Time{})
}

// sendMarked sends a message that is to be answered.
func (c *conn) sendMarked(b []byte, mark uint16) {
	c.mu.Lock()
	var err error
	if c.unacknowledged = append(c.unacknowledged, mark); len(c.unacknowledged) == 1 {
		err = c.SetReadDeadline(time.Now().Add(c.server.bounds.AcknowledgeTimeout))
	}
	c.mu.Unlock()
	if err == nil { // else it has ended
		c.send(b)
	}
}

// send puts bytes in line for the peer and never waits. A peer that does not read is cut off.
func (c *conn) send(b []byte) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.pending = append(c.pending, b)
	c.unsentBytes += len(b)
	full := c.unsentBytes > c.server.bounds.MaxUnsentBytes
	all := c.server.unsentBytes.Add(int64(len(b)))
	if !c.writing {
		c.writing = true
		c.server.handlers.Go(c.writeLoop)
	}
	c.mu.Unlock()
	if all > c.server.bounds.MaxTotalUnsentBytes {
		c.server.evictLargestBacklog()
	}
	if full {
		c.closeWith("does not read", "")
	}
}

// writeLoop writes what is pending until nothing is.
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

// releaseUnsent takes bytes off what waits.
func (c *conn) releaseUnsent(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed { // else end has done so
		c.unsentBytes -= n
		c.server.unsentBytes.Add(int64(-n))
	}
}

// closeWith closes the connection; the first cause given stays.
func (c *conn) closeWith(cause, detail string) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.reason = true, closeReason{cause, detail}
		c.server.unsentBytes.Add(int64(-c.unsentBytes))
	}
	c.mu.Unlock()
	c.Close()
}

func (c *conn) closeReason() closeReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}
