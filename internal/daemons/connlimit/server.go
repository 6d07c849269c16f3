package connlimit

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// limitedConn is implemented by Conn and by types that embed it.
type limitedConn interface{ LimitedConn() *Conn }

var _ limitedConn = (*Conn)(nil)

// FromContext returns the Conn of a request if its server is attached to a limiter, otherwise nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Attach installs hooks in a server that report the state of its connections to the limiter and drop requests that arrive on
// reclaimed connections. It must be called before the server serves a listener returned by Listen.
func (l *Limiter) Attach(server *http.Server) {
	handler, connState, connContext := server.Handler, server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		onConnState(conn, state)
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		if c, ok := conn.(limitedConn); ok {
			ctx = context.WithValue(ctx, connKey{}, c.LimitedConn())
		}
		return ctx
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil && c.IsReclaimed() {
			panic(http.ErrAbortHandler)
		}
		if l.isNearLimit() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// onConnState updates a connection from the state reported by its server. A connection is active once a head has been read.
func onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(limitedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.LimitedConn().BeginRequest()
	case http.StateIdle:
		c.LimitedConn().EndRequest()
	case http.StateNew, http.StateHijacked, http.StateClosed: // handled by Listen and Close
	}
}
