package peertransport

import (
	"io"

	"zincloft.example/zincloft/messages"
)

// InboundConns tracks the newest inbound connection of each peer. Connections are ordered by their Hello: by the time of dialing
// within one incarnation of the peer, while a new incarnation replaces any previous one. Messages on older connections are to be
// ignored. The zero value is ready to use. InboundConns is not safe for concurrent use.
type InboundConns struct {
	newest map[string]inboundConn // by the peer's address
}

// inboundConn is the newest connection of a peer. conn is nil once it has ended.
type inboundConn struct {
	incarnation, dialedAt uint64
	conn                  io.Closer
}

// Admit registers a connection as its peer's newest and closes the previous one. It returns false if a newer connection has already
// been registered.
func (c *InboundConns) Admit(hello *messages.Hello, conn io.Closer) bool {
	if c.newest == nil {
		c.newest = map[string]inboundConn{}
	}
	previous, ok := c.newest[hello.Member.Addr]
	if ok && previous.incarnation == hello.Incarnation && hello.DialedAt < previous.dialedAt {
		return false
	}
	if previous.conn != nil {
		_ = previous.conn.Close() // an error changes nothing, as the connection is discarded
	}
	c.newest[hello.Member.Addr] = inboundConn{hello.Incarnation, hello.DialedAt, conn}
	return true
}

// IsCurrent reports whether conn is the newest connection of the peer at address, so that its messages may be processed.
func (c *InboundConns) IsCurrent(address string, conn io.Closer) bool {
	return c.newest[address].conn == conn
}

// Remove unregisters a connection that has ended. Its incarnation and dial time are kept, to reject older connections.
func (c *InboundConns) Remove(address string, conn io.Closer) {
	if current := c.newest[address]; current.conn == conn {
		current.conn = nil
		c.newest[address] = current
	}
}
