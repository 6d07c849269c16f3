// Package admission decides how deep a request may queue at a replica before it is refused instead, and when a refused
// client is told to come back. It is free of I/O; clock and chance are handed in.
//
// A request that would be answered late takes as much of a replica as one answered in time and is worth a part of it.
// So what cannot be answered within its route's target is refused at once, while its client can still be served by a
// new try; what has been refused before is refused last.
package admission

import "time"

const (
	latencyTargetShare     = 0.5  // of the target that work and waiting may take by estimate
	priorityStep           = 0.15 // of its depth that each lower rank gives up to the ranks above
	maxPriorityLevel       = 4
	returningDepthFactor   = 1.15 // a client that comes back may queue so many times deeper
	minQueueDepth          = 1.0  // free slots are open to everyone
	returningTimeShare     = 0.85 // of the longest deadline seen at a route: with less left, a request has been tried before
	smoothing              = 0.05 // weight of a new sample
	minRetryAfter          = 200 * time.Millisecond
	retryAfterServiceTimes = 2.0 // of the work's time, until a refused client finds room when little is refused
	rejectionFactor        = 4.0 // the more of the requests are refused, the later they are told to come
	maxRetryAfterShare     = 1.0 / 3
)

// Controller is one proxy governor's part, for one service.
type Controller struct {
	serviceTime     float64 // seconds that a request takes a slot, by estimate
	rejectedShare   float64 // moving share
	longestTimeLeft map[string]time.Duration
}

// New makes a gate.
func New() *Controller { return &Controller{longestTimeLeft: map[string]time.Duration{}} }

// RecordAnswer takes the time of an answer, and how many requests to a slot the replica had when it was sent.
func (c *Controller) RecordAnswer(latency time.Duration, utilization float64) {
	sample := latency.Seconds() / max(utilization, 1)
	if c.serviceTime == 0 {
		c.serviceTime = sample
	}
	c.serviceTime += (sample - c.serviceTime) * smoothing
}

// Request is what bears on a decision.
type Request struct {
	Route         string
	LatencyTarget time.Duration // 0: none
	Priority      int           // 0 is highest
	TimeLeft      time.Duration // until the client's deadline
}

// MaxQueueDepth is how many requests to a slot a replica may have for one more to be sent there.
func (c *Controller) MaxQueueDepth(r Request) float64 {
	returned := c.isReturning(r)
	if r.LatencyTarget <= 0 || c.serviceTime <= 0 {
		return 1e9
	}
	depth := latencyTargetShare * min(r.LatencyTarget, r.TimeLeft).Seconds() / c.serviceTime
	depth *= 1 - priorityStep*float64(min(max(r.Priority, 0), maxPriorityLevel))
	if returned {
		depth *= returningDepthFactor
	}
	return max(depth, minQueueDepth)
}

// isReturning tells whether a request has less time left than first tries at its route have.
func (c *Controller) isReturning(r Request) bool {
	if r.TimeLeft > c.longestTimeLeft[r.Route] {
		c.longestTimeLeft[r.Route] = r.TimeLeft
	}
	return float64(r.TimeLeft) < returningTimeShare*float64(c.longestTimeLeft[r.Route])
}

// RecordAdmission and Refused count what became of requests. Refused tells when to come back: later the more is refused, and
// spread by chance, so that the refused do not come together.
func (c *Controller) RecordAdmission() { c.rejectedShare -= c.rejectedShare * smoothing }

func (c *Controller) Reject(r Request, random float64) time.Duration {
	c.rejectedShare += (1 - c.rejectedShare) * smoothing
	retryAfter := max(time.Duration(retryAfterServiceTimes*c.serviceTime*float64(time.Second)), minRetryAfter)
	retryAfter = time.Duration(float64(retryAfter) * (1 + rejectionFactor*c.rejectedShare) * (0.5 + random))
	return max(min(retryAfter, time.Duration(float64(r.TimeLeft)*maxRetryAfterShare)), time.Millisecond)
}
