// Package testkit provides helpers for the tests of several packages: an in-memory listener, comparison with golden traces, and Close
// with an error check.
package testkit

import (
	"context"
	"net"
	"sync"
)

// Listener is an in-memory net.Listener. Dial creates its connections with net.Pipe, so that code that uses connections can run in a
// testing/synctest bubble.
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
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
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
