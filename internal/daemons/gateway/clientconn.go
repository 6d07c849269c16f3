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

// clientListener wraps accepted connections in clientConn.
type clientListener struct {
	net.Listener // created by frontConns.Listen
	gateway      *Gateway
}

func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn.(*connlimit.Conn), gateway: l.gateway}, nil
}

// clientConn is a client connection. It rejects requests with ambiguous framing before http.Server parses them, and
// applies the idle and header timeouts of the current configuration: http.Server would use those of the first
// configuration, and would apply the header timeout to an idle connection before its first request.
type clientConn struct {
	*connlimit.Conn
	gateway *Gateway

	scanner        framing.Scanner
	malformedInput string      // unread part of the input that replaces a bad request
	readClosed     atomic.Bool // a bad request was found; no more input is read from the client

	// idle is set while http.Server has seen no byte of the next request. The header timeout starts with the first byte of a
	// head.
	idle      atomic.Bool
	idleSince time.Time

	headBytes    int          // bytes read of the current head; used only by the server's goroutine
	headReserved atomic.Int64 // bytes reserved for the current head in headBudget

	busy       bool // a handler is running and sets the deadlines; used only by the server's goroutine
	hadRequest bool // a request has been received; used only by the server's goroutine
}

const (
	// uncountedHeadBytes of each head fit the connection's read buffer and are not charged to headBudget.
	uncountedHeadBytes = 4 << 10

	headMemoryFullResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.300\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

type clientConnKey struct{}

// withClientConn stores a connection in the context of its requests.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// onConnState handles the connection states reported by http.Server.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	if state == http.StateNew || state == http.StateIdle {
		c.idle.Store(true)
	}
	if state == http.StateActive { // the head has been parsed or rejected
		c.headBytes = 0
		c.releaseHead()
	}
	c.hadRequest = state != http.StateNew
}

// markBusy marks a request's connection as busy until the returned function is called.
func markBusy(r *http.Request) (done func()) {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if c == nil {
		return func() {}
	}
	c.busy = true
	c.idle.Store(false) // needed for a pipelined request, which is served without a Read; otherwise extendIdle would prolong the deadline
	return func() { c.busy = false }
}

// Read returns the client's input up to a bad request. From there on it returns framing.InvalidInput, which makes http.Server
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

// readClient reads the client's input up to a bad request, and sets malformedInput if it finds one.
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
		return 0, os.ErrDeadlineExceeded // net/http sends no response after this error
	}
	good, cause := c.scanner.Feed(b[:n])
	if c.idle.Swap(false) && !c.hadRequest { // after the first request http.Server sets the header timeout itself
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

// reserveHead reserves memory for n more bytes of a head and reports whether the budget allowed it.
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

// releaseHead releases the memory reserved for the last head.
func (c *clientConn) releaseHead() {
	if reserved := c.headReserved.Swap(0); reserved > 0 {
		c.gateway.headBudget.Release(reserved)
	}
}

// rejectHead answers 503 and stops reading when the head memory is exhausted. The request has not been parsed.
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

// startHeaderTimeout applies the header timeout of the current configuration to a head that has begun.
func (c *clientConn) startHeaderTimeout() {
	config := c.gateway.config.Load()
	if config == nil || config.Limits.HeaderTimeout <= 0 {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(config.Limits.HeaderTimeout)) // fails on a closed connection only, as the next read does
}

// extendIdle extends an expired idle deadline if the current configuration allows more time, and reports whether it did.
func (c *clientConn) extendIdle() bool {
	config := c.gateway.config.Load()
	if !c.idle.Load() || config == nil {
		return false
	}
	end := c.idleSince.Add(config.Limits.IdleTimeout)
	return time.Now().Before(end) && c.Conn.SetReadDeadline(end) == nil
}

// SetReadDeadline replaces the server's deadlines between requests with those of the current configuration.
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
	// serverErrorHead ends the head of an error response generated by net/http; the body begins with the status.
	serverErrorHead = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n4")
)

// Write records error responses generated by net/http as bad requests.
func (c *clientConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, clientErrorPrefix) && !c.readClosed.Load() {
		if _, cause, ok := bytes.Cut(b, serverErrorHead); ok {
			c.gateway.recordBadRequest(c.RemoteAddr().String(), badRequestCause("4"+string(cause[:min(len(cause), maxServerCauseBytes)])))
		}
	}
	return c.Conn.Write(b)
}
