package grantclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/internal/daemons/peertransport"
)

const (
	// dialTimeout limits the opening of a connection, as do the timeout of the call and the time after which it must not be sent.
	dialTimeout = 500 * time.Millisecond

	// unackedTimeout limits how long sent data may remain unacknowledged before the kernel drops the connection.
	unackedTimeout = time.Second

	readBufferBytes = 2 << 10
)

// pastDeadline makes pending reads and writes return at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a replica. It carries one call at a time and is used by the goroutine of its lane, except for interrupt.
//
// The linger time is 0 as long as a call may be in progress: however the connection ends, even by the end of the process, the kernel then
// drops what it has not sent and resets the connection.
type conn struct {
	client   *Client
	tcp      *net.TCPConn
	raw      syscall.RawConn
	address  string // as advertised by the replica
	limited  io.LimitedReader
	reader   *bufio.Reader // reads from limited
	idleTime time.Duration // how long the connection may be idle
	reusable bool          // the last call was answered completely or not sent, and the replica keeps the connection open
}

// dial opens a connection for a call within the connection limit.
func (c *Client) dial(call *ownership.Call) (*conn, error) {
	timeout := min(dialTimeout, call.Timeout, call.NotAfter-c.config.Now())
	if timeout <= 0 {
		return nil, errTooLate
	}
	if c.connections.Add(1) > int64(c.config.MaxConnections) {
		c.connections.Add(-1)
		return nil, errTooManyConnections
	}
	opened, err := c.connect(call.Address, timeout)
	if err != nil {
		c.connections.Add(-1)
		return nil, err
	}
	c.opened.Add(1)
	return opened, nil
}

// connect opens a connection to an address.
func (c *Client) connect(address string, timeout time.Duration) (*conn, error) {
	netConn, err := peertransport.NewDialer(timeout, unackedTimeout).DialContext(c.context, "tcp", c.config.DialAddress(address))
	if err != nil {
		return nil, err
	}
	tcp := netConn.(*net.TCPConn)
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = tcp.SetLinger(0) // without it a call could arrive after its end, so an error is not ignored
	}
	if err != nil {
		closeQuietly(tcp)
		return nil, err
	}
	opened := &conn{client: c, tcp: tcp, raw: raw, address: address, idleTime: defaultIdleTime}
	opened.limited.R = tcp
	opened.reader = bufio.NewReaderSize(&opened.limited, readBufferBytes)
	return opened, nil
}

// canCarry reports whether a kept connection may carry a call: it leads to the call's address, and the replica has neither closed it nor sent
// anything on it.
func (c *conn) canCarry(call *ownership.Call) bool {
	return c.address == call.Address && c.hasNoUnreadInput()
}

// hasNoUnreadInput reports whether the connection has received neither data nor EOF since the last response.
func (c *conn) hasNoUnreadInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	empty := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n <= 0 && errors.Is(err, syscall.EAGAIN) // equals EWOULDBLOCK on Linux
	})
	return err == nil && empty
}

// roundTrip sends a call and reads its response. The request is written by one write into an empty send buffer, as all earlier calls on the
// connection were answered: its first byte does not wait after the check of NotAfter.
func (c *conn) roundTrip(call *ownership.Call, encoder *requestEncoder) ownership.CallResult {
	c.reusable = false
	request := encoder.encode(call)
	if err := c.tcp.SetDeadline(time.Now().Add(call.Timeout)); err != nil {
		return failed(ownership.CallNotSent, err)
	}
	if c.client.context.Err() != nil { // after SetDeadline: a later interrupt is not undone by it
		return failed(ownership.CallNotTried, errClosed)
	}
	if c.client.config.Now() > call.NotAfter {
		c.reusable = true
		return failed(ownership.CallNotTried, errTooLate)
	}
	n, err := c.tcp.Write(request)
	if err != nil {
		if n == 0 {
			return failed(ownership.CallNotSent, err)
		}
		return failed(ownership.CallUnanswered, err)
	}
	result, err := c.readResponse(call)
	if err != nil {
		return failed(ownership.CallUnanswered, err)
	}
	return result
}

// interrupt makes pending reads and writes fail at once. It may be called by any goroutine.
func (c *conn) interrupt() {
	_ = c.tcp.SetDeadline(pastDeadline) // fails on a closed connection only
}

// reset closes the connection and drops data that the kernel has not sent.
func (c *conn) reset() {
	closeQuietly(c.tcp) // the linger time is 0
	c.client.connections.Add(-1)
}

// closeIdle closes the connection in the usual way, without a reset.
func (c *conn) closeIdle() {
	_ = c.tcp.SetLinger(-1) // fails on a closed connection only
	c.reset()
}
