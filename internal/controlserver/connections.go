package controlserver

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// callerDescriptorShare is the part of the process's file descriptors that callers of the control interface may hold; the rest is for the
	// other members, gateways, the disk and the figures.
	callerDescriptorShare = 0.6

	// minReclaimAge: a connection is not closed for another one before it has had so long to begin its first call.
	minReclaimAge = 100 * time.Millisecond

	// reclaimBatch is how many connections are closed at once when there is no room.
	reclaimBatch = 8

	// acceptRetryInterval is how long the listener for peers waits after accept has failed, as while no descriptor is free.
	acceptRetryInterval = 50 * time.Millisecond
)

// callerConns bounds the connections that callers of the control interface hold. Where there is no room for a new one, those that have been
// without a call for longest are closed: replicas and operators open another one, and who only holds a connection loses nothing by it.
type callerConns struct {
	limit int

	mu        sync.Mutex
	open      int
	idleSince map[net.Conn]time.Time // connections without a call under way, since their last one ended or they were opened
}

func newCallerConns(fileDescriptors int64) *callerConns {
	return &callerConns{limit: max(int(callerDescriptorShare*float64(fileDescriptors)), reclaimBatch), idleSince: map[net.Conn]time.Time{}}
}

// connState follows the states that the server reports of a connection.
func (c *callerConns) connState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	switch state {
	case http.StateNew:
		c.open++
		c.idleSince[conn] = time.Now()
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive:
		delete(c.idleSince, conn)
	case http.StateHijacked, http.StateClosed:
		c.open--
		delete(c.idleSince, conn)
	}
	var reclaimed []net.Conn
	if state == http.StateNew && c.open > c.limit {
		if reclaimed = c.longestIdle(); len(reclaimed) == 0 {
			reclaimed = append(reclaimed, conn) // they come faster than any of them could begin a call
		}
	}
	c.mu.Unlock()
	for _, idle := range reclaimed {
		_ = idle.Close() // the server notices, whatever has become of it
	}
}

// longestIdle lists the connections that have been idle for longest, reclaimBatch of them at the most.
func (c *callerConns) longestIdle() []net.Conn {
	var candidates []net.Conn
	for conn, since := range c.idleSince {
		if time.Since(since) >= minReclaimAge {
			candidates = append(candidates, conn)
		}
	}
	slices.SortFunc(candidates, func(a, b net.Conn) int { return cmp.Compare(c.idleSince[a].UnixNano(), c.idleSince[b].UnixNano()) })
	candidates = candidates[:min(len(candidates), reclaimBatch)]
	for _, conn := range candidates {
		delete(c.idleSince, conn)
	}
	return candidates
}

// acceptPeers takes connections until the listener is closed, and hands each to serve. Accepting fails while no descriptor is free; that is no
// reason to end the member.
func (s *Server) acceptPeers(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			serve(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			if s.callLogLimiter.Allow() {
				s.logger.Warn().Str("event", "accept_failed").Err(err).Msg("")
			}
			time.Sleep(acceptRetryInterval)
		}
	}
}
