package simulation

import (
	"slices"
	"time"
)

// retryWindow is the window in which the bounds of retries hold.
const retryWindow = 10 * time.Second

// retryLog has the moments of the requests and of the retries of all gateways, the oldest first, for as long as they count.
type retryLog struct {
	requests, retries []time.Duration
}

// exhaustRetryBudget has a gateway take all retries that its budget allows, as if every attempt failed: whatever gateways start, stop or forget, together
// they must stay within the bound.
func (c *cluster) exhaustRetryBudget(g *gatewayNode) {
	log := &c.retryLog
	log.prune(c.now - 2*retryWindow)
	drawn := false
	for g.router.TryRetry(c.monotonicTime(&g.process), serviceName) {
		log.retries = append(log.retries, c.now)
		drawn = true
	}
	if !drawn {
		return
	}
	c.result.Retries++
	if spent, allowed := countAfter(log.retries, c.now-retryWindow), log.allowed(c.now); float64(spent) > allowed {
		c.violationf("%s retries, the %dth in a window in which %.1f are allowed", g.name, spent, allowed)
	}
}

// allowed is how many retries there may be in the window that ends now. Requests count by that window, by the one before it or by the one half a
// window before, whichever holds most.
func (l *retryLog) allowed(now time.Duration) float64 {
	most := 0
	for _, end := range []time.Duration{now, now - retryWindow/2, now - retryWindow} {
		most = max(most, countAfter(l.requests, end-retryWindow)-countAfter(l.requests, end))
	}
	return gatewayRetryRatio*float64(most) + gatewayRetrySlack
}

func (l *retryLog) prune(until time.Duration) {
	l.requests = l.requests[len(l.requests)-countAfter(l.requests, until):]
	l.retries = l.retries[len(l.retries)-countAfter(l.retries, until):]
}

// countAfter counts the moments after one; they are in order.
func countAfter(moments []time.Duration, after time.Duration) int {
	first, _ := slices.BinarySearch(moments, after+1)
	return len(moments) - first
}
