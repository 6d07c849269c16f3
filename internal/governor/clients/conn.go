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

// conn is one connection. It is unidentified until its first valid join makes it the stream of a proxy or the connection of a
// collector.
type conn struct {
	net.Conn
	server     *Server
	acceptedAt time.Time
	limiter    *rate.Limiter // limits bytes read; nil: unlimited

	proxy rules.ProxyID // if a stream; accessed by readLoop only, like zone
	zone  rules.ZoneID  // if a collector

	mu             sync.Mutex
	role           role        // written by readLoop only, which may read it without the lock
	lastUsefulAt   time.Time   // time of the last valid report
	unacknowledged []uint16    // versions sent and not acknowledged, oldest first
	pending        net.Buffers // messages may be shared with other connections, so their bytes must not be modified
	unsentBytes    int         // pending or being written
	writing        bool        // writeLoop is running
	closed         bool
	reason         closeReason
}

// role is the kind of peer that a connection has identified itself as.
type role string

const (
	roleUnidentified role = "unidentified"
	roleStream       role = "stream"
	roleCollector    role = "collector"
)

// closeReason is why a connection was closed. Causes are a fixed set; the detail may quote the peer or an address.
type closeReason struct{ cause, detail string }

// log writes the log line of a closed connection. The line already holds the peer.
func (r closeReason) log(line *zerolog.Event) {
	line.Str("cause", r.cause).Str("detail", r.detail).Msg("leave")
}

// reasonOf maps a read or write error to one of a fixed set of causes.
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

// readLoop handles messages until the connection ends. Only it posts the events of this connection, so they stay in order.
//
// Invalid framing closes the connection. A well-framed message that has an invalid field or is not allowed on this connection
// is skipped and counted, and still counts as activity. A connection that has not joined may send only heartbeats and a valid
// join, within JoinTimeout of being accepted, which also bounds peers that stay silent, send only heartbeats, or send byte by
// byte.
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

// reportEnd posts the end of a stream, and logs that of a collector or counts that of an unidentified connection.
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

// throttle delays reading from a stream that exceeds its rate limit, so that a flood of reports delays only its sender. The
// stream's acknowledgements are delayed too, so a sender that never stops eventually times out.
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

// closeWith closes the connection. Only the first reason is kept.
func (c *conn) closeWith(cause, detail string) {
	c.mu.Lock()
	if !c.closed {
		c.closed, c.reason = true, closeReason{cause, detail}
		c.server.unsentBytes.Add(int64(-c.unsentBytes))
	}
	c.mu.Unlock()
	c.closeConn()
}

// closeConn closes the socket. The error is ignored because nothing is read or written afterwards.
func (c *conn) closeConn() { _ = c.Close() }

// closeReason returns why the connection was closed.
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
