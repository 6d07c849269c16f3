package replica

import "time"

const (
	maxIdleTime               = 30 * time.Second
	staleConnResetWindow      = 50 * time.Millisecond // a connection loss within this time is attributed to the idle period before
	minIdleLimit              = 20 * time.Millisecond
	idleLimitDoublingInterval = 5 * time.Second // a learned limit is doubled after each interval
	maxDoublings              = 20              // limits the shift
)

// idleLimit is the learned idle time of connections to a service, set when a replica dropped a connection earlier than its
// Keep-Alive timeout.
type idleLimit struct {
	limit     time.Duration
	learnedAt time.Time
}

// maxIdle returns how long a connection to a service may be idle. The caller must hold mu.
func (p *Pool) maxIdle(service string, now time.Time) time.Duration {
	learned, ok := p.idleLimits[service]
	if !ok {
		return maxIdleTime
	}
	limit := learned.limit << min(int(now.Sub(learned.learnedAt)/idleLimitDoublingInterval), maxDoublings)
	if limit >= maxIdleTime || limit <= 0 {
		delete(p.idleLimits, service)
		return maxIdleTime
	}
	return limit
}

// learnIdleLimit lowers the idle limit of a service after a replica has silently dropped a connection that was idle for the
// given time. On such a connection, the execution of a request is unknown.
func (p *Pool) learnIdleLimit(service string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if limit := max(idle/2, minIdleLimit); limit < p.maxIdle(service, now) {
		p.idleLimits[service] = idleLimit{limit, now}
	}
}
