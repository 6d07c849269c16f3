package peertransport

import (
	"io"

	"zincloft.example/zincloft/messages"
)

// InboundConns knows the newest connection that each peer has dialed, by the epoch in its Hello: the peer's incarnation, and the
// time of that incarnation's clock at which it dialed. What still waits in an earlier connection is ignored once a newer one has
// begun, and an earlier one that is accepted later is refused. The zero value is ready for use; its methods must not be called
// concurrently.
type InboundConns struct {
	newest map[string]inboundConn // by the peer's address
}

// inboundConn is the newest connection of one peer; conn is nil once it has ended.
type inboundConn struct {
	incarnation, dialedAt uint64
	conn                  io.Closer
}

// Admit takes a connection that begins with hello as its peer's newest and closes the one before it. It reports false if a newer
// one has been there.
func (c *InboundConns) Admit(hello *messages.Hello, conn io.Closer) bool {
	if c.newest == nil {
		c.newest = map[string]inboundConn{}
	}
	previous, ok := c.newest[hello.Member.Addr]
	if ok && previous.incarnation == hello.Incarnation && hello.DialedAt < previous.dialedAt {
		return false
	}
	if previous.conn != nil {
		_ = previous.conn.Close() // it is given up, whatever has become of it
	}
	c.newest[hello.Member.Addr] = inboundConn{hello.Incarnation, hello.DialedAt, conn}
	return true
}

// IsCurrent reports whether a connection is the newest of the peer at an address, so that its messages may be taken.
func (c *InboundConns) IsCurrent(address string, conn io.Closer) bool {
	return c.newest[address].conn == conn
}

// Remove forgets a connection that has ended, but not its epoch.
func (c *InboundConns) Remove(address string, conn io.Closer) {
	if current := c.newest[address]; current.conn == conn {
		current.conn = nil
		c.newest[address] = current
	}
}
