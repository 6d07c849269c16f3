// Package admission is admission control: it decides how many requests may queue at an endpoint before further ones are
// rejected instead (load shedding), and when a rejected client should retry (Retry-After). It is free of I/O; the time and the
// randomness are parameters.
//
// A request that would be answered late takes as much of a replica as one answered in time and is worth a part of it. So
// what cannot be answered within its route's latency target is rejected at once, while its client can still be served by
// a new request; what has been rejected before is rejected last.
package admission

import "time"

const (
	latencyTargetShare     = 0.5  // of the latency target that service time and queueing may take by estimate
	priorityStep           = 0.15 // of its queue depth that each lower priority gives up to the higher ones
	maxPriorityLevel       = 4
	returningDepthFactor   = 1.15 // a client that comes back may queue so many times deeper
	minQueueDepth          = 1.0  // free slots are open to every request
	returningTimeShare     = 0.85 // of the longest time left seen at a route: a request with less has been rejected before
	smoothing              = 0.05 // weight of a new sample in a moving average
	minRetryAfter          = 200 * time.Millisecond
	retryAfterServiceTimes = 2.0 // service times until a rejected client finds a free slot, when little is rejected
	rejectionFactor        = 4.0 // the more of the requests are rejected, the later they should retry
	minJitter              = 0.5 // of the time until they come back, to which up to 1 is added
	maxRetryAfterShare     = 1.0 / 3
	unlimitedDepth         = 1e9
)

// Controller is one gateway's admission control for one service.
type Controller struct {
	serviceTime     float64                  // seconds that a request holds a slot, estimated; 0: not known yet
	rejectedShare   float64                  // moving average
	longestTimeLeft map[string]time.Duration // of any request, by route
}

// Request is a request that asks for admission.
type Request struct {
	Route         string
	LatencyTarget time.Duration // 0: none
	Priority      int           // 0 is the highest
	TimeLeft      time.Duration // until the client's deadline
}

// New makes a controller that admits everything until the first response.
func New() *Controller { return &Controller{longestTimeLeft: map[string]time.Duration{}} }

// MaxQueueDepth is how many requests to a slot an endpoint may have for one more to be sent there.
func (c *Controller) MaxQueueDepth(request Request) float64 {
	returning := c.isReturning(request)
	if request.LatencyTarget <= 0 || c.serviceTime <= 0 {
		return unlimitedDepth
	}
	depth := latencyTargetShare * min(request.LatencyTarget, request.TimeLeft).Seconds() / c.serviceTime
	depth *= 1 - priorityStep*float64(min(max(request.Priority, 0), maxPriorityLevel))
	if returning {
		depth *= returningDepthFactor
	}
	return max(depth, minQueueDepth)
}

// isReturning tells whether a request has less time left than the first requests of clients at its route have.
func (c *Controller) isReturning(request Request) bool {
	if request.TimeLeft > c.longestTimeLeft[request.Route] {
		c.longestTimeLeft[request.Route] = request.TimeLeft
	}
	return float64(request.TimeLeft) < returningTimeShare*float64(c.longestTimeLeft[request.Route])
}

// RecordResponse takes in the latency of a response, and how many requests to a slot the endpoint had when it was sent.
func (c *Controller) RecordResponse(latency time.Duration, utilization float64) {
	sample := latency.Seconds() / max(utilization, 1)
	if c.serviceTime == 0 {
		c.serviceTime = sample
	}
	c.serviceTime += (sample - c.serviceTime) * smoothing
}

// RecordAdmission counts a request that was admitted.
func (c *Controller) RecordAdmission() { c.rejectedShare -= c.rejectedShare * smoothing }

// Reject counts a request that is rejected. It returns when its client is to come back: later the more is rejected, and
// spread by random, a number from 0 to 1, so that rejected clients do not come together.
func (c *Controller) Reject(request Request, random float64) (retryAfter time.Duration) {
	c.rejectedShare += (1 - c.rejectedShare) * smoothing
	retryAfter = max(time.Duration(retryAfterServiceTimes*c.serviceTime*float64(time.Second)), minRetryAfter)
	retryAfter = time.Duration(float64(retryAfter) * (1 + rejectionFactor*c.rejectedShare) * (minJitter + random))
	return max(min(retryAfter, time.Duration(float64(request.TimeLeft)*maxRetryAfterShare)), time.Millisecond)
}
