package peertransport

import (
	"io"

	"zincloft.example/zincloft/messages"
)

// Ends knows, for each peer, its newest connection by the epoch that its hello carries: the peer's life, and the time of that
// life's clock at which it dialled. What still lies in an earlier connection is not taken once a newer one has begun, and an
// earlier one that is accepted later is refused. The zero value is ready; calls are not made side by side.
type Ends struct{ newest map[string]end }

type end struct {
	life, dial uint64
	conn       io.Closer
}

// Begin takes a peer's connection and closes the one before it, or tells that a newer one has been there.
func (e *Ends) Begin(h *messages.Hello, conn io.Closer) bool {
	if e.newest == nil {
		e.newest = map[string]end{}
	}
	had, ok := e.newest[h.Member.Addr]
	if ok && had.life == h.Life && h.Dial < had.dial {
		return false
	}
	if had.conn != nil {
		had.conn.Close()
	}
	e.newest[h.Member.Addr] = end{h.Life, h.Dial, conn}
	return true
}

// Holds tells whether a connection is its peer's newest, so that what it brings may be taken.
func (e *Ends) Holds(addr string, conn io.Closer) bool { return e.newest[addr].conn == conn }

// End forgets a connection, but not its epoch.
func (e *Ends) End(addr string, conn io.Closer) {
	if had := e.newest[addr]; had.conn == conn {
		had.conn = nil
		e.newest[addr] = had
	}
}
