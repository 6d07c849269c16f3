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

// clients wraps the connections of clients.
type clients struct {
	net.Listener
	f *Forager
}

func (l clients) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, f: l.f}, nil
}

type clientKey struct{}

func withClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// client is a client's connection. It keeps what is framed in a doubtful way from the server, and lets a connection
// rest for as long as the configuration in force says, also before its first request: the server would give that one the
// time of a head, and keep to the first configuration.
type client struct {
	net.Conn
	f      *Forager
	scan   framing.Scanner
	poison string
	begun  atomic.Bool // something has come
	over   atomic.Bool // nothing further is read
	known  bool        // it is not unused any more
	rests  atomic.Bool // nothing of the next request has come, as far as the server knows; a head has its time from its first byte on
	since  time.Time   // of the rest
	busy   bool        // with a request: deadlines are its own. It changes on the server\'s goroutine only
}

// unused holds the connections that have not had a request yet.
type unused struct {
	mu sync.Mutex
	m  map[*client]bool
}

// state follows the server's word on a connection.
func (u *unused) state(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*client)
	if ok && (s == http.StateNew || s == http.StateIdle) {
		c.rests.Store(true)
	}
	if !ok || s != http.StateNew && c.known {
		return
	}
	c.known = s != http.StateNew // it leaves once; what follows costs nothing
	u.mu.Lock()
	defer u.mu.Unlock()
	if s != http.StateNew {
		delete(u.m, c)
		return
	}
	if u.m == nil {
		u.m = map[*client]bool{}
	}
	u.m[c] = true
}

// close ends those of which nothing has come.
func (u *unused) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.m {
		if !c.begun.Load() {
			c.Close()
		}
	}
}

// serving marks a connection as busy for the time of a request.
func serving(r *http.Request) func() {
	c, _ := r.Context().Value(clientKey{}).(*client)
	if c == nil {
		return func() {}
	}
	c.busy = true
	c.rests.Store(false) // also where the request lay in the buffer: reads are broken off behind it, and must end then
	return func() { c.busy = false }
}

func (c *client) Read(b []byte) (int, error) {
	if len(b) == 0 || c.over.Load() && c.poison == "" {
		return 0, io.EOF
	}
	if c.poison == "" {
		n, err := c.Conn.Read(b)
		for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.longer() {
			n, err = c.Conn.Read(b)
		}
		if n == 0 {
			return n, err
		}
		c.begun.Store(true)
		good, cause := c.scan.Feed(b[:n])
		if c.rests.Swap(false) && !c.known { // behind an earlier request the server sets it itself
			if limits := c.f.config.Load(); limits != nil && limits.Limits.HeaderTimeout > 0 {
				c.Conn.SetReadDeadline(time.Now().Add(limits.Limits.HeaderTimeout))
			}
		}
		if cause == "" {
			return n, err
		}
		c.poison = framing.Poison
		c.over.Store(true)
		c.f.bad(c.RemoteAddr().String(), cause)
		if good > 0 {
			return good, nil
		}
	}
	n := copy(b, c.poison)
	c.poison = c.poison[n:]
	return n, nil
}

// longer tells whether a rest that is over goes on by a configuration that came meanwhile.
func (c *client) longer() bool {
	limits := c.f.config.Load()
	if !c.rests.Load() || limits == nil {
		return false
	}
	end := c.since.Add(limits.Limits.IdleTimeout)
	return time.Now().Before(end) && c.Conn.SetReadDeadline(end) == nil
}

// SetReadDeadline gives a resting connection the time of a rest, and one on which a head comes that of a head.
func (c *client) SetReadDeadline(t time.Time) error {
	if c.busy || t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	if limits, now := c.f.config.Load(), time.Now(); limits != nil && t.After(now) {
		switch {
		case c.rests.Load() && limits.Limits.IdleTimeout > 0:
			c.since, t = now, now.Add(limits.Limits.IdleTimeout)
		case limits.Limits.HeaderTimeout > 0:
			t = now.Add(limits.Limits.HeaderTimeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Write notes what the server refuses by itself.
func (c *client) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, []byte("HTTP/1.1 4")) && !c.over.Load() {
		if _, cause, ok := bytes.Cut(b, []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n4")); ok {
			c.f.bad(c.RemoteAddr().String(), "4"+string(cause[:min(len(cause), 100)]))
		}
	}
	return c.Conn.Write(b)
}

// bad counts and notes a request that is none.
func (f *Forager) bad(from, cause string) {
	f.count("bad_request")
	if f.lines.Allow() {
		f.log.Info().Str("event", "bad_request").Str("from", from).Str("cause", cause).Msg("")
	}
}

func (f *Forager) badRequest(r *http.Request, cause string) { f.bad(r.RemoteAddr, cause) }
