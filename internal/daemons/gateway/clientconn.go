package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"zincloft.example/zincloft/dataplane/framing"
	"zincloft.example/zincloft/internal/daemons/connlimit"
)

// clientListener wraps the connections that it accepts, which the front's limiter bounds, as clientConn.
type clientListener struct {
	net.Listener // of the limiter
	gateway      *Gateway
}

func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn.(*connlimit.Conn), gateway: l.gateway}, nil
}

// clientConn is a client's connection. It keeps requests with ambiguous framing from the server, and applies the idle and
// header timeouts of the configuration in force: the server by itself would keep to those of the first configuration, and
// give a connection before its first request the time of a header.
type clientConn struct {
	*connlimit.Conn
	gateway *Gateway

	scanner        framing.Scanner
	malformedInput string      // what is still to be read in place of a bad request
	readClosed     atomic.Bool // a bad request was found: nothing further is read from the client

	// idle is set while nothing of the next request has come as far as the server knows. The header timeout runs from the
	// first byte of a head on.
	idle      atomic.Bool
	idleSince time.Time

	headBytes    int          // of the head at hand; used on the server's goroutine only
	headReserved atomic.Int64 // bytes reserved for it

	busy       bool // with a request, which sets deadlines of its own; used on the server's goroutine only
	hadRequest bool // a request has come; used on the server's goroutine only
}

const (
	// uncountedHeadBytes of each head are not counted: they fit the buffer that its connection has in any case.
	uncountedHeadBytes = 4 << 10

	headMemoryFullResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

type clientConnKey struct{}

// withClientConn makes a connection known to the handlers of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// onConnState follows the states that the server reports of a connection.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	if state == http.StateNew || state == http.StateIdle {
		c.idle.Store(true)
	}
	if state == http.StateActive {
		c.headBytes = 0
		c.releaseHead()
	}
	c.hadRequest = state != http.StateNew
}

// markBusy marks the connection of a request as busy until the returned function is called.
func markBusy(r *http.Request) (done func()) {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if c == nil {
		return func() {}
	}
	c.busy = true
	c.idle.Store(false) // also where the request lay in the server's buffer: its background read must end with the deadline then
	return func() { c.busy = false }
}

// Read reads from the client until a bad request is found, and framing.InvalidInput from there on, which makes the server
// answer 400 and close the connection.
func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 || c.readClosed.Load() && c.malformedInput == "" {
		return 0, io.EOF
	}
	if c.malformedInput == "" {
		n, err := c.readClient(b)
		if n > 0 || err != nil || c.malformedInput == "" {
			return n, err
		}
	}
	n := copy(b, c.malformedInput)
	c.malformedInput = c.malformedInput[n:]
	return n, nil
}

// readClient reads what the client sent, up to a bad request, and sets poison where there is one.
func (c *clientConn) readClient(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	if c.IsReadingHead() && !c.reserveHead(n) {
		c.rejectHead()
		return 0, os.ErrDeadlineExceeded // upon which net/http answers nothing of its own
	}
	good, cause := c.scanner.Feed(b[:n])
	if c.idle.Swap(false) && !c.hadRequest { // behind an earlier request the server sets the header timeout itself
		c.startHeaderTimeout()
	}
	if cause == "" {
		return n, err
	}
	c.malformedInput = framing.InvalidInput
	c.readClosed.Store(true)
	c.gateway.recordBadRequest(c.RemoteAddr().String(), badRequestCause(cause))
	return good, nil
}

// reserveHead reserves memory for n further bytes of a head, if there is as much. Heads of the usual length are free.
func (c *clientConn) reserveHead(n int) bool {
	c.headBytes += n
	missing := int64(c.headBytes-uncountedHeadBytes) - c.headReserved.Load()
	if missing <= 0 {
		return true
	}
	if !c.gateway.headBudget.Reserve(missing) {
		return false
	}
	c.headReserved.Add(missing)
	return true
}

// releaseHead gives back what the last head held.
func (c *clientConn) releaseHead() {
	if held := c.headReserved.Swap(0); held > 0 {
		c.gateway.headBudget.Release(held)
	}
}

// rejectHead ends a connection whose head has no room, and says when to come back: nothing of the request has been read as one.
func (c *clientConn) rejectHead() {
	c.gateway.count(countHeadMemoryFull)
	c.readClosed.Store(true)
	_ = c.SetWriteDeadline(time.Now().Add(responseWriteGrace)) // fails on a closed connection only, as the write does then
	_, _ = io.WriteString(c.Conn, headMemoryFullResponse)      // the connection ends in any case
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.releaseHead()
	return c.Conn.Close()
}

// startHeaderTimeout gives the head that has begun the time of the configuration in force.
func (c *clientConn) startHeaderTimeout() {
	config := c.gateway.config.Load()
	if config == nil || config.Limits.HeaderTimeout <= 0 {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(config.Limits.HeaderTimeout)) // fails on a closed connection only, as the next read does
}

// extendIdle tells whether an idle time that is over goes on by a configuration that came meanwhile.
func (c *clientConn) extendIdle() bool {
	config := c.gateway.config.Load()
	if !c.idle.Load() || config == nil {
		return false
	}
	end := c.idleSince.Add(config.Limits.IdleTimeout)
	return time.Now().Before(end) && c.Conn.SetReadDeadline(end) == nil
}

// SetReadDeadline replaces the server's deadlines between requests by those of the configuration in force.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	if c.busy || deadline.IsZero() {
		return c.Conn.SetReadDeadline(deadline)
	}
	if config, now := c.gateway.config.Load(), time.Now(); config != nil && deadline.After(now) {
		switch {
		case c.idle.Load() && config.Limits.IdleTimeout > 0:
			c.idleSince, deadline = now, now.Add(config.Limits.IdleTimeout)
		case config.Limits.HeaderTimeout > 0:
			deadline = now.Add(config.Limits.HeaderTimeout)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

var (
	clientErrorPrefix = []byte("HTTP/1.1 4")
	// serverErrorHead ends the head of a refusal by net/http itself; its body begins with the status.
	serverErrorHead = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n4")
)

// Write records requests that net/http refuses by itself.
func (c *clientConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, clientErrorPrefix) && !c.readClosed.Load() {
		if _, cause, ok := bytes.Cut(b, serverErrorHead); ok {
			c.gateway.recordBadRequest(c.RemoteAddr().String(), badRequestCause("4"+string(cause[:min(len(cause), maxServerCauseBytes)])))
		}
	}
	return c.Conn.Write(b)
}
