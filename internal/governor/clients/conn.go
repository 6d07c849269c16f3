package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/governor/resp"
	"zincloft.example/zincloft/rules"
)

// conn is one connection: a proxy's stream once it has named a proxy, a collector's once it has named a zone, and
// unidentified until then.
type conn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time
	limiter    *rate.Limiter // of bytes read; nil: none

	proxy rules.ProxyID // of a stream; used by readLoop only, like zone
	zone  rules.ZoneID  // of a collector

	mu             sync.Mutex
	role           role        // written by readLoop only, which need not lock to read it
	lastUsefulAt   time.Time   // when a collector last delivered a valid report
	unacknowledged []uint16    // versions that the peer has been sent, oldest first
	pending        net.Buffers // messages may be shared with other connections: their bytes are never changed
	unsentBytes    int         // pending or being written
	writing        bool        // writeLoop runs; it does not while nothing is pending
	closed         bool
	reason         closeReason
}

// role is what a connection has identified itself as.
type role string

const (
	roleUnidentified role = "unidentified"
	roleStream       role = "stream"
	roleCollector    role = "collector"
)

// closeReason is why a connection has ended. Causes are a fixed set; the detail may quote the peer or an address.
type closeReason struct{ cause, detail string }

// log writes the line of a leave, which begins with the peer.
func (r closeReason) log(line *zerolog.Event) {
	line.Str("cause", r.cause).Str("detail", r.detail).Msg("leave")
}

// reasonOf reduces an error to one of a fixed set of causes.
func reasonOf(err error) (cause, detail string) {
	var protocolError resp.ProtocolError
	switch {
	case err == nil:
		return "", ""
	case errors.Is(err, io.EOF):
		return "closed by the peer", ""
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "silent", ""
	case errors.As(err, &protocolError):
		return "can't be read", err.Error()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		return "cut", err.Error()
	}
	return "failed", err.Error()
}

// readLoop takes in messages until the connection ends. Nothing else posts this connection's events, so they keep their
// order.
//
// It decides what invalid input leads to. Broken framing ends the connection. A message that is framed well but has an
// invalid field, or no place on this connection, is skipped as a whole and counted, and it is a sign of life like any other.
// A connection that has not joined may send only heartbeats and a valid join, within JoinTimeout of being accepted: this
// bounds those that stay silent, that send heartbeats only, or that send byte by byte.
func (c *conn) readLoop() {
	bounds := c.server.bounds
	reader := resp.NewReader(c, bounds.MaxFirstMessageBytes, bounds.MaxMessageElements)
	err := c.SetReadDeadline(c.acceptedAt.Add(bounds.JoinTimeout))
	for err == nil {
		var elements [][]byte
		if elements, err = reader.Next(); err != nil {
			break
		}
		c.throttle(reader.Size())
		message := c.handle(c.server.codec.decode(elements))
		invalid, isInvalid := message.(invalidMessage)
		if isInvalid && c.role == roleUnidentified {
			c.closeWith("not a joining", invalid.cause)
			break
		}
		if isInvalid {
			c.server.counts.Add(skippedMessages, invalid.cause)
		}
		if _, isHeartbeat := message.(heartbeat); !isHeartbeat || c.role != roleUnidentified {
			err = c.updateDeadline(message)
			reader.MaxBytes = bounds.MaxMessageBytes
		}
	}
	c.closeWith(reasonOf(err))
	c.reportEnd()
	c.server.removeConn(c)
}

// reportEnd posts the end of a stream, and logs or counts that of any other connection.
func (c *conn) reportEnd() {
	switch c.role {
	case roleStream:
		c.server.inbox.Post(eventqueue.Input{Connection: c, Event: rules.Left{Proxy: c.proxy}})
	case roleCollector:
		c.closeReason().log(c.server.log.Info().Str("collector", c.server.codec.zones[c.zone]))
	default:
		c.server.counts.Add(unidentifiedConns, c.closeReason().cause)
	}
}

// throttle delays a stream, and nothing else, that exceeds its rate limit: this bounds floods of reports. The stream's
// acknowledgements wait too, so one that never stops times out in the end.
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

// closeWith closes the connection. The first reason given is kept.
func (c *conn) closeWith(cause, detail string) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.reason = true, closeReason{cause, detail}
		c.server.unsentBytes.Add(int64(-c.unsentBytes))
	}
	c.mu.Unlock()
	c.closeConn()
}

// closeConn closes the socket. An error is of no interest: nothing is read or written after it.
func (c *conn) closeConn() { _ = c.Close() }

// closeReason returns why the connection has ended.
func (c *conn) closeReason() closeReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}

func (c *conn) setRole(r role) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.role = r
}
