package connlimit

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// acceptRetryInterval is how long a listener waits after accepting has failed, as while the process has no descriptor left.
const acceptRetryInterval = 50 * time.Millisecond

// passingErrors are the errors of accept that tell of one connection, or of a want that may end (accept(2)). After any other the listener is
// of no use any more.
var passingErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, // wants
	syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EPERM, // this connection
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, // errors of the network, pending on the new socket
}

// passes tells whether accepting may go on after an error.
func passes(err error) bool {
	return slices.ContainsFunc(passingErrors, func(passing error) bool { return errors.Is(err, passing) })
}

// listener is a listener whose connections are limited.
type listener struct {
	net.Listener
	limiter   *Limiter
	closeOnce sync.Once
	done      chan struct{}
}

// Listen bounds the connections of a listener. Those that it accepts are *Conn.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l, done: make(chan struct{})}
}

// Accept waits for the next connection, and for room for it. It fails only where accepting is of no use any more.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			if admitted := l.limiter.admit(conn, l.done); admitted != nil {
				return admitted, nil
			}
			_ = conn.Close() // nobody is left to serve it
			return nil, net.ErrClosed
		case !passes(err):
			return nil, err
		}
		l.limiter.reportAcceptError(err)
		select {
		case <-time.After(acceptRetryInterval):
		case <-l.done:
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// reportAcceptError counts an error of accept after which accepting goes on, and logs it at a bounded rate.
func (l *Limiter) reportAcceptError(err error) {
	l.acceptErrors.Add(1)
	if l.logLimiter.Allow() {
		l.logger.Warn().Str("event", "accept_failed").Str("listener", l.name).Err(err).Msg("")
	}
}
