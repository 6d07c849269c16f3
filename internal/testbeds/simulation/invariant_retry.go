package simulation

import (
	"slices"
	"time"
)

// retryWindow is the window in which the retry bound holds.
const retryWindow = 10 * time.Second

// retryLog has the times of recent requests and retries of all gateways, the oldest first.
type retryLog struct {
	requests, retries []time.Duration
}

// exhaustRetryBudget makes a gateway use all retries that its budget allows, as if every attempt failed, and checks
// the bound on the sum of all gateways' retries. The bound holds across restarts.
func (c *cluster) exhaustRetryBudget(g *gatewayNode) {
	log := &c.retryLog
	log.prune(c.now - 2*retryWindow)
	retried := false
	for g.router.TryRetry(c.monotonicTime(&g.process), serviceName) {
		log.retries = append(log.retries, c.now)
		retried = true
	}
	if !retried {
		return
	}
	c.result.Retries++
	if used, allowed := countAfter(log.retries, c.now-retryWindow), log.allowed(c.now); float64(used) > allowed {
		c.violationf("%s retried, which makes %d retries in a window that allows %.1f", g.name, used, allowed)
	}
}

// allowed returns how many retries may occur in the window that ends now. The request count is the highest of this
// window, the one that ended half a window ago and the one that ended a window ago.
func (l *retryLog) allowed(now time.Duration) float64 {
	maxRequests := 0
	for _, end := range []time.Duration{now, now - retryWindow/2, now - retryWindow} {
		maxRequests = max(maxRequests, countAfter(l.requests, end-retryWindow)-countAfter(l.requests, end))
	}
	return gatewayRetryRatio*float64(maxRequests) + gatewayRetrySlack
}

func (l *retryLog) prune(until time.Duration) {
	l.requests = l.requests[len(l.requests)-countAfter(l.requests, until):]
	l.retries = l.retries[len(l.retries)-countAfter(l.retries, until):]
}

// countAfter counts the times after a given one. The times are sorted.
func countAfter(times []time.Duration, after time.Duration) int {
	first, _ := slices.BinarySearch(times, after+1)
	return len(times) - first
}
