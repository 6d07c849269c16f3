// Package testkit holds what the tests of several packages share: an in-memory listener, comparison with kept traces, and
// checked closing.
package testkit

import (
	"context"
	"net"
	"sync"
)

// Listener is an in-memory net.Listener whose connections are made by Dial. They are net.Pipe pairs, so that code that
// uses sockets can run in a bubble of testing/synctest.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns an open Listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial connects to the listener and returns the client's end. Its signature fits http.Transport.DialContext.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It may be called more than once.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
