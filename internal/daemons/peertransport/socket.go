package peertransport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout    = 500 * time.Millisecond
	writeTimeout   = time.Second
	unackedTimeout = time.Second
)

// NewDialer returns a dialer with a dial timeout whose connections are closed when sent data remains unacknowledged for longer than
// unacked.
func NewDialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: func(_, _ string, socket syscall.RawConn) error {
		return SetUnackedTimeout(socket, unacked)
	}}
}

// SetUnackedTimeout sets how long sent data may remain unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT).
func SetUnackedTimeout(socket syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// writeFrame writes an encoded frame within writeTimeout.
func writeFrame(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(frame)
	return err
}
