package gateway

import (
	"sync"

	"golang.org/x/time/rate"
)

// reasonLimiter limits log lines by their reason, so that many lines of one reason do not suppress the first ones of another. The zero
// value is ready; it is safe for concurrent use.
type reasonLimiter struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter // of maxLoggedReasons reasons, and of the empty one for all others
}

// allow reports whether a line of the given reason may be logged now.
func (l *reasonLimiter) allow(reason string) bool {
	return l.of(reason).Allow()
}

func (l *reasonLimiter) of(reason string) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiters == nil {
		l.limiters = map[string]*rate.Limiter{"": rate.NewLimiter(reasonLogRate, reasonLogBurst)}
	}
	if known := l.limiters[reason]; known != nil {
		return known
	}
	if len(l.limiters) > maxLoggedReasons {
		return l.limiters[""]
	}
	added := rate.NewLimiter(reasonLogRate, reasonLogBurst)
	l.limiters[reason] = added
	return added
}
