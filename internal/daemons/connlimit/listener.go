package connlimit

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// acceptRetryInterval is the delay after a transient accept error, such as running out of file descriptors.
const acceptRetryInterval = 50 * time.Millisecond

// transientErrors are the accept(2) errors that concern a single connection or a temporary shortage of resources. Any other error
// is permanent for the listener.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, // shortage of resources
	syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EPERM, // single connection
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, // network errors pending on the new socket
}

// isTransient reports whether accepting may continue after err.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// listener limits the connections of a net.Listener.
type listener struct {
	net.Listener
	limiter   *Limiter
	closeOnce sync.Once
	done      chan struct{}
}

// Listen returns a listener that accepts connections of inner within the limit. Accepted connections are of type *Conn.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l, done: make(chan struct{})}
}

// Accept waits for the next connection and for room for it. It retries after transient errors.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			if admitted := l.limiter.admit(conn, l.done); admitted != nil {
				return admitted, nil
			}
			_ = conn.Close() // the listener was closed
			return nil, net.ErrClosed
		case !isTransient(err):
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

// reportAcceptError counts a transient accept error and logs it subject to the rate limit.
func (l *Limiter) reportAcceptError(err error) {
	l.acceptErrors.Add(1)
	if l.logLimiter.Allow() {
		l.logger.Warn().Str("event", "accept_failed").Str("listener", l.name).Err(err).Msg("accepting a connection failed")
	}
}
