package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// unusedConns holds the clients' connections that have not had a request yet. The zero value is ready.
type unusedConns struct {
	mu    sync.Mutex
	conns map[*clientConn]bool
}

// connState follows the states that the server reports of a connection.
func (u *unusedConns) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	if state == http.StateNew || state == http.StateIdle {
		c.idle.Store(true)
	}
	if state != http.StateNew && c.usedBefore {
		return // it has left already: the lock is not taken for every request
	}
	c.usedBefore = state != http.StateNew
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.usedBefore {
		delete(u.conns, c)
		return
	}
	if u.conns == nil {
		u.conns = map[*clientConn]bool{}
	}
	u.conns[c] = true
}

// closeAll closes the connections on which not even a byte has come.
func (u *unusedConns) closeAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if !c.received.Load() {
			closeQuietly(c)
		}
	}
}

// closeQuietly closes what is of no use any more: an error of it changes nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }
