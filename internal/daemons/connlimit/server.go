package connlimit

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// limited is a connection that is, or embeds, a Conn.
type limited interface{ LimitedConn() *Conn }

var _ limited = (*Conn)(nil)

// FromContext returns the connection of a request whose server was attached to a limiter; nil: there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Attach has a server tell the limiter what its connections are at. A request that crosses the close of its connection is dropped before the
// server's handler sees it. The server must serve a listener of Listen, and be attached before.
func (l *Limiter) Attach(server *http.Server) {
	handler, connState, connContext := server.Handler, server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		followState(conn, state)
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		if c, ok := conn.(limited); ok {
			ctx = context.WithValue(ctx, connKey{}, c.LimitedConn())
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil && c.IsReclaimed() {
			panic(http.ErrAbortHandler)
		}
		if l.isCrowded() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// followState has a connection follow the states that its server reports. A connection is active once a head was read from it.
func followState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(limited)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.LimitedConn().BeginRequest()
	case http.StateIdle:
		c.LimitedConn().EndRequest()
	case http.StateNew, http.StateHijacked, http.StateClosed: // Listen and Close count these
	}
}
