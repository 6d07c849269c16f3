// Package connlimit limits the number of open connections per listener.
//
// Each listener has its own share of the process's file descriptors (Share), so that listeners cannot starve each other. When a
// listener is at its limit and another client connects, a connection is reclaimed (Rule). A connection that carries a complete
// request is not reclaimed, except for StalledReader, and a request that arrives on a reclaimed connection is not processed: an
// atomic state change in Conn decides between the two.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// MinLimit is the minimum connection limit of a listener.
	MinLimit = 8

	// closeAfterResponseShare is the share of the limit from which connections are closed with their next response, which cannot
	// race with the client's next request.
	closeAfterResponseShare = 7.0 / 8

	// reclaimRetryInterval is how often a full listener retries to reclaim a connection.
	reclaimRetryInterval = 5 * time.Millisecond

	// logInterval is the minimum time between log lines of a limiter.
	logInterval = 10 * time.Second
)

// Share returns the connection limit for a share of a process's file descriptors, at least MinLimit.
func Share(fileDescriptors int64, share float64) int {
	return max(int(share*float64(fileDescriptors)), MinLimit)
}

// Limiter limits the connections of one listener. Create it with New. It is safe for concurrent use.
type Limiter struct {
	name   string // of the listener, in logs and metrics
	limit  int
	logger *log.Logger

	mu    sync.Mutex
	conns map[*Conn]struct{}
	freed chan struct{} // signals that a connection was closed

	used         atomic.Int64 // open connections with at least one answered request
	reclaimed    [ruleCount]atomic.Uint64
	acceptWaits  atomic.Uint64 // accepted connections that had to wait for room
	acceptErrors atomic.Uint64
	logLimiter   *rate.Limiter
}

// New creates a limiter for the named listener with the given connection limit, which is raised to MinLimit if lower.
func New(name string, limit int, logger *log.Logger) *Limiter {
	return &Limiter{
		name:       name,
		limit:      max(limit, MinLimit),
		logger:     logger,
		conns:      map[*Conn]struct{}{},
		freed:      make(chan struct{}, 1),
		logLimiter: rate.NewLimiter(rate.Every(logInterval), 1),
	}
}

// Limit returns the maximum number of open connections.
func (l *Limiter) Limit() int { return l.limit }

// OpenCount returns the number of open connections.
func (l *Limiter) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Reclaimed returns the number of connections reclaimed by a rule.
func (l *Limiter) Reclaimed(rule Rule) uint64 { return l.reclaimed[rule].Load() }

// isNearLimit reports whether connections with answered requests reach closeAfterResponseShare of the limit.
func (l *Limiter) isNearLimit() bool {
	return float64(l.used.Load()) >= closeAfterResponseShare*float64(l.limit)
}

// CloseNew closes the connections on which no byte has been received.
func (l *Limiter) CloseNew() {
	for _, c := range l.open() {
		if state := c.state.Load(); state.phase() == phaseNew && c.state.CompareAndSwap(state, newState(phaseReclaimed)) {
			_ = c.Close() // the connection is discarded in any case
		}
	}
}

// open returns the open connections.
func (l *Limiter) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// admit adds a connection as soon as there is room for it. It returns nil if done is closed first.
func (l *Limiter) admit(conn net.Conn, done <-chan struct{}) *Conn {
	admitted := &Conn{Conn: conn, limiter: l}
	if !l.add(admitted) {
		l.reportFull()
	}
	for waited := false; !l.add(admitted); {
		if l.reclaim() {
			continue
		}
		if !waited {
			waited = true
			l.acceptWaits.Add(1)
		}
		select {
		case <-l.freed:
		case <-time.After(reclaimRetryInterval):
		case <-done:
			return nil
		}
	}
	return admitted
}

// add adds a connection and reports whether there was room for it, or it had been added before.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		return true
	}
	if len(l.conns) >= l.limit {
		return false
	}
	c.state.Store(newState(phaseNew))
	l.conns[c] = struct{}{}
	return true
}

// remove removes a closed connection.
func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	_, open := l.conns[c]
	delete(l.conns, c)
	l.mu.Unlock()
	if !open {
		return
	}
	if c.used.Load() {
		l.used.Add(-1)
	}
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// reportFull logs that the listener is at its limit, subject to the rate limit.
func (l *Limiter) reportFull() {
	if !l.logLimiter.Allow() {
		return
	}
	entry := l.logger.Warn().Str("event", "listener_full").Str("listener", l.name).Int("limit", l.limit)
	for rule := range ruleCount {
		entry = entry.Uint64(rule.String(), l.Reclaimed(rule))
	}
	entry.Msg("connection limit reached")
}
