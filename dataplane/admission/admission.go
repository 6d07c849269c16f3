// Package admission implements admission control. It decides how many requests may queue at an endpoint before further
// requests are rejected (load shedding), and when a rejected client should retry (Retry-After). The package performs no I/O;
// callers pass in the time and random numbers.
//
// A late response uses as much replica capacity as a timely one but is worth less to the client. Requests that are unlikely
// to meet their route's latency target are therefore rejected immediately, while the client still has time to retry. Requests
// that appear to be retries of rejected ones may queue deeper than first requests.
package admission

import "time"

const (
	latencyTargetShare     = 0.5  // fraction of the latency target available for queueing and service time
	priorityStep           = 0.15 // reduction of the queue depth per priority level
	maxPriorityLevel       = 4    // levels beyond this one are not reduced further
	retryDepthFactor       = 1.15 // queue depth of a retrying client relative to a first request
	minQueueDepth          = 1.0  // requests per slot that are always admitted
	retryTimeLeftShare     = 0.85 // a request with less than this share of the route's longest time left counts as a retry
	smoothing              = 0.05 // weight of a new sample in the exponential moving averages
	minRetryAfter          = 200 * time.Millisecond
	retryAfterServiceTimes = 2.0     // base Retry-After in service times
	rejectionFactor        = 4.0     // growth of Retry-After with the share of rejected requests
	minJitter              = 0.5     // lower bound of the jitter factor; the upper bound is 1.0 higher
	maxRetryAfterShare     = 1.0 / 3 // upper bound of Retry-After as a fraction of the client's time left
	unlimitedDepth         = 1e9
)

// Controller is one gateway's admission controller for one service.
type Controller struct {
	serviceTime     float64                  // estimated seconds for which a request occupies a slot; 0 if unknown
	rejectedShare   float64                  // moving average of the share of rejected requests
	longestTimeLeft map[string]time.Duration // longest time left seen in a request, by route
}

// Request describes a request that is considered for admission.
type Request struct {
	Route         string
	LatencyTarget time.Duration // 0 if the route has none
	Priority      int           // 0 is the highest
	TimeLeft      time.Duration // until the client's deadline
}

// New returns a controller that admits all requests until the first response is recorded.
func New() *Controller { return &Controller{longestTimeLeft: map[string]time.Duration{}} }

// MaxQueueDepth returns the utilization, in requests per slot, below which an endpoint may be sent the request.
func (c *Controller) MaxQueueDepth(request Request) float64 {
	isRetry := c.isRetry(request)
	if request.LatencyTarget <= 0 || c.serviceTime <= 0 {
		return unlimitedDepth
	}
	depth := latencyTargetShare * min(request.LatencyTarget, request.TimeLeft).Seconds() / c.serviceTime
	depth *= 1 - priorityStep*float64(min(max(request.Priority, 0), maxPriorityLevel))
	if isRetry {
		depth *= retryDepthFactor
	}
	return max(depth, minQueueDepth)
}

// isRetry reports whether a request appears to be a client's retry: it has notably less time left than the longest time left
// seen on its route.
func (c *Controller) isRetry(request Request) bool {
	if request.TimeLeft > c.longestTimeLeft[request.Route] {
		c.longestTimeLeft[request.Route] = request.TimeLeft
	}
	return float64(request.TimeLeft) < retryTimeLeftShare*float64(c.longestTimeLeft[request.Route])
}

// RecordResponse updates the service time estimate with the latency of a response. Utilization is the endpoint's number of
// requests per slot at the time when the request was sent.
func (c *Controller) RecordResponse(latency time.Duration, utilization float64) {
	sample := latency.Seconds() / max(utilization, 1)
	if c.serviceTime == 0 {
		c.serviceTime = sample
	}
	c.serviceTime += (sample - c.serviceTime) * smoothing
}

// RecordAdmission counts a request that was admitted.
func (c *Controller) RecordAdmission() { c.rejectedShare -= c.rejectedShare * smoothing }

// Reject counts a rejected request and returns its Retry-After. The delay grows with the share of rejected requests, and is
// jittered by random, a number in [0, 1), so that rejected clients do not retry simultaneously.
func (c *Controller) Reject(request Request, random float64) (retryAfter time.Duration) {
	c.rejectedShare += (1 - c.rejectedShare) * smoothing
	retryAfter = max(time.Duration(retryAfterServiceTimes*c.serviceTime*float64(time.Second)), minRetryAfter)
	retryAfter = time.Duration(float64(retryAfter) * (1 + rejectionFactor*c.rejectedShare) * (minJitter + random))
	return max(min(retryAfter, time.Duration(float64(request.TimeLeft)*maxRetryAfterShare)), time.Millisecond)
}
