package replica

import "time"

const (
	maxIdleTime          = 30 * time.Second      // no connection is idle for longer
	immediateResetWindow = 50 * time.Millisecond // a connection that was forgotten answers with a reset by then
	minIdleLimit         = 20 * time.Millisecond
	idleLimitDoubling    = 5 * time.Second // what was learned is doubted: after each of these, twice the time is tried
	maxDoublings         = 20              // bounds the shift
)

// idleLimit is how long connections to a service's replicas may be idle, where replicas were found to forget them sooner
// than they said.
type idleLimit struct {
	limit     time.Duration
	learnedAt time.Time
}

// maxIdle is how long a connection to a service may be idle. The caller holds mu.
func (p *Pool) maxIdle(service string, now time.Time) time.Duration {
	learned, ok := p.idleLimits[service]
	if !ok {
		return maxIdleTime
	}
	limit := learned.limit << min(int(now.Sub(learned.learnedAt)/idleLimitDoubling), maxDoublings)
	if limit >= maxIdleTime || limit <= 0 {
		delete(p.idleLimits, service)
		return maxIdleTime
	}
	return limit
}

// learnIdleLimit takes in that a replica of a service had forgotten a connection that was idle for so long, without
// closing it. The next request that is not idempotent would have an unknown execution on such a connection.
func (p *Pool) learnIdleLimit(service string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if limit := max(idle/2, minIdleLimit); limit < p.maxIdle(service, now) {
		p.idleLimits[service] = idleLimit{limit, now}
	}
}
