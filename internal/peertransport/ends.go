package peertransport

import (
	"io"

	"zincloft.example/zincloft/messages"
)

// InboundConns knows, for each peer, its newest connection by the epoch that its hello carries: the peer's life, and the time of that
// life's clock at which it dialled. What still lies in an earlier connection is not taken once a newer one has begun, and an
// earlier one that is accepted later is refused. The zero value is ready; calls are not made side by side.
type InboundConns struct{ newest map[string]inboundConn }

type inboundConn struct {
	incarnation, dialedAt uint64
	conn                  io.Closer
}

// Admit takes a peer's connection and closes the one before it, or tells that a newer one has been there.
func (e *InboundConns) Admit(h *messages.Hello, conn io.Closer) bool {
	if e.newest == nil {
		e.newest = map[string]inboundConn{}
	}
	had, ok := e.newest[h.Member.Addr]
	if ok && had.incarnation == h.Incarnation && h.DialedAt < had.dialedAt {
		return false
	}
	if had.conn != nil {
		had.conn.Close()
	}
	e.newest[h.Member.Addr] = inboundConn{h.Incarnation, h.DialedAt, conn}
	return true
}

// IsCurrent tells whether a connection is its peer's newest, so that what it brings may be taken.
func (e *InboundConns) IsCurrent(addr string, conn io.Closer) bool {
	return e.newest[addr].conn == conn
}

// Remove forgets a connection, but not its epoch.
func (e *InboundConns) Remove(addr string, conn io.Closer) {
	if had := e.newest[addr]; had.conn == conn {
		had.conn = nil
		e.newest[addr] = had
	}
}
