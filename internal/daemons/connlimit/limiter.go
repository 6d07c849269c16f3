// Package connlimit bounds the connections that the callers of a listener may hold.
//
// Connections are a resource like memory: who holds them without using them takes them from others. Each listener therefore has a share of
// the process's file descriptors of its own (Share), so that no purpose can starve another, and a rule for who is closed when the share is
// used up and one more caller comes (Rule). A connection that carries a complete request is not closed; one that is closed between two
// requests passes nothing on that arrives later: Conn decides between the two by one atomic step.
//
// A caller that does not read its response is the one exception, see StalledReader.
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
	// MinLimit is the least number of connections that a listener is given, whatever its share comes to.
	MinLimit = 8

	// crowdedShare is the part of the limit from which on connections that have had requests answered end with their next response: so they
	// make room without a request that crosses the close.
	crowdedShare = 7.0 / 8

	// recheckInterval is how often a full listener looks again for a connection that may be closed.
	recheckInterval = 5 * time.Millisecond

	// logInterval is the least time between two log lines about a full listener, and between two about failed accepts.
	logInterval = 10 * time.Second
)

// Share is the number of connections that a part of a process's file descriptors comes to.
func Share(fileDescriptors int64, part float64) int {
	return max(int(part*float64(fileDescriptors)), MinLimit)
}

// Limiter bounds the connections of one listener. Make it with New; it is safe for concurrent use.
type Limiter struct {
	name   string // of the listener, in logs and figures
	limit  int
	logger *log.Logger

	mu    sync.Mutex
	conns map[*Conn]struct{}
	freed chan struct{} // a connection has ended

	used         atomic.Int64 // open connections that have had a request answered
	reclaimed    [ruleCount]atomic.Uint64
	acceptWaits  atomic.Uint64 // callers that had to wait for room
	acceptErrors atomic.Uint64
	logLimiter   *rate.Limiter
}

// New makes a limiter for the listener of a name, which may have limit connections at once.
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

// Limit is the number of connections that may be open at once.
func (l *Limiter) Limit() int { return l.limit }

// OpenCount is the number of connections that are open.
func (l *Limiter) OpenCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Reclaimed is how many connections were closed by a rule.
func (l *Limiter) Reclaimed(rule Rule) uint64 { return l.reclaimed[rule].Load() }

// isCrowded tells whether connections that have carried requests take up nearly all room.
func (l *Limiter) isCrowded() bool {
	return float64(l.used.Load()) >= crowdedShare*float64(l.limit)
}

// CloseNew closes the connections on which not even a byte has come.
func (l *Limiter) CloseNew() {
	for _, c := range l.open() {
		if state := c.state.Load(); state.phase() == phaseNew && c.state.CompareAndSwap(state, newState(phaseReclaimed)) {
			_ = c.Close() // it is given up, whatever has become of it
		}
	}
}

// open lists the connections that are open.
func (l *Limiter) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// admit takes a connection in once there is room for it. It returns nil where done is closed first.
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
		case <-time.After(recheckInterval):
		case <-done:
			return nil
		}
	}
	return admitted
}

// add takes a connection in if there is room for it, or if it is in already.
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

// remove forgets a connection that has ended.
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

// reportFull logs that there was no room for a caller, at a bounded rate.
func (l *Limiter) reportFull() {
	if !l.logLimiter.Allow() {
		return
	}
	entry := l.logger.Warn().Str("event", "listener_full").Str("listener", l.name).Int("limit", l.limit)
	for rule := range ruleCount {
		entry = entry.Uint64(rule.String(), l.Reclaimed(rule))
	}
	entry.Msg("")
}
