// Package testkit is what the tests of several packages share.
package testkit

import (
	"context"
	"net"
	"sync"
)

// Listener takes what Dial connects. Its connections are net.Pipe, so that sockets can run in a bubble of
// testing/synctest.
type Listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen returns a Listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Dial returns the peer's end of a new connection. It fits http.Transport.
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

// Accept is net.Listener's.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close is net.Listener's.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is net.Listener's.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }
