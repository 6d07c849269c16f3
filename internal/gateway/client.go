package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"zincloft.example/zincloft/dataplane/framing"
)

// clientListener wraps the connections of clients.
type clientListener struct {
	net.Listener
	gateway *Gateway
}

func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, gateway: l.gateway}, nil
}

type clientConnKey struct{}

func withClientConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConn is a client's connection. It keeps what is framed in a doubtful way from the server, and lets a connection
// rest for as long as the configuration in force says, also before its first request: the server would give that one the
// time of a head, and keep to the first configuration.
type clientConn struct {
	net.Conn
	gateway    *Gateway
	scanner    framing.Scanner
	poison     string
	received   atomic.Bool // something has come
	readClosed atomic.Bool // nothing further is read
	usedBefore bool        // it is not unused any more
	idle       atomic.Bool // nothing of the next request has come, as far as the server knows; a head has its time from its first byte on
	idleSince  time.Time   // of the rest
	busy       bool        // with a request: deadlines are its own. It changes on the server\'s goroutine only
}

// unusedConns holds the connections that have not had a request yet.
type unusedConns struct {
	mu    sync.Mutex
	conns map[*clientConn]bool
}

// connState follows the server's word on a connection.
func (u *unusedConns) connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*clientConn)
	if ok && (s == http.StateNew || s == http.StateIdle) {
		c.idle.Store(true)
	}
	if !ok || s != http.StateNew && c.usedBefore {
		return
	}
	c.usedBefore = s != http.StateNew // it leaves once; what follows costs nothing
	u.mu.Lock()
	defer u.mu.Unlock()
	if s != http.StateNew {
		delete(u.conns, c)
		return
	}
	if u.conns == nil {
		u.conns = map[*clientConn]bool{}
	}
	u.conns[c] = true
}

// closeAll ends those of which nothing has come.
func (u *unusedConns) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if !c.received.Load() {
			c.Close()
		}
	}
}

// markBusy marks a connection as busy for the time of a request.
func markBusy(r *http.Request) func() {
	c, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	if c == nil {
		return func() {}
	}
	c.busy = true
	c.idle.Store(false) // also where the request lay in the buffer: reads are broken off behind it, and must end then
	return func() { c.busy = false }
}

func (c *clientConn) Read(b []byte) (int, error) {
	if len(b) == 0 || c.readClosed.Load() && c.poison == "" {
		return 0, io.EOF
	}
	if c.poison == "" {
		n, err := c.Conn.Read(b)
		for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
			n, err = c.Conn.Read(b)
		}
		if n == 0 {
			return n, err
		}
		c.received.Store(true)
		good, cause := c.scanner.Feed(b[:n])
		if c.idle.Swap(false) && !c.usedBefore { // behind an earlier request the server sets it itself
			if limits := c.gateway.config.Load(); limits != nil && limits.Limits.HeaderTimeout > 0 {
				c.Conn.SetReadDeadline(time.Now().Add(limits.Limits.HeaderTimeout))
			}
		}
		if cause == "" {
			return n, err
		}
		c.poison = framing.Poison
		c.readClosed.Store(true)
		c.gateway.logBadRequest(c.RemoteAddr().String(), cause)
		if good > 0 {
			return good, nil
		}
	}
	n := copy(b, c.poison)
	c.poison = c.poison[n:]
	return n, nil
}

// extendIdle tells whether a rest that is over goes on by a configuration that came meanwhile.
func (c *clientConn) extendIdle() bool {
	limits := c.gateway.config.Load()
	if !c.idle.Load() || limits == nil {
		return false
	}
	end := c.idleSince.Add(limits.Limits.IdleTimeout)
	return time.Now().Before(end) && c.Conn.SetReadDeadline(end) == nil
}

// SetReadDeadline gives a resting connection the time of a rest, and one on which a head comes that of a head.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if c.busy || t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	if limits, now := c.gateway.config.Load(), time.Now(); limits != nil && t.After(now) {
		switch {
		case c.idle.Load() && limits.Limits.IdleTimeout > 0:
			c.idleSince, t = now, now.Add(limits.Limits.IdleTimeout)
		case limits.Limits.HeaderTimeout > 0:
			t = now.Add(limits.Limits.HeaderTimeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write notes what the server refuses by itself.
func (c *clientConn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 4")) && !c.readClosed.Load() {
		if _, cause, ok := bytes.Cut(b, []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n4")); ok {
			c.gateway.logBadRequest(c.RemoteAddr().String(), "4"+string(cause[:min(len(cause), 100)]))
		}
	}
	return c.Conn.Write(b)
}

// logBadRequest counts and notes a request that is none.
func (g *Gateway) logBadRequest(from, cause string) {
	g.count("bad_request")
	if g.logLimiter.Allow() {
		g.logger.Info().Str("event", "bad_request").Str("from", from).Str("cause", cause).Msg("")
	}
}

func (g *Gateway) rejectBadRequest(r *http.Request, cause string) {
	g.logBadRequest(r.RemoteAddr, cause)
}
