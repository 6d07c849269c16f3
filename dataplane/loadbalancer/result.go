package loadbalancer

import "time"

const (
	baseEjectionTime     = 400 * time.Millisecond // doubled with each further consecutive failure
	maxEjectionTime      = 6 * time.Second
	maxEjectionDoublings = 5
	minCanceledLatency   = 300 * time.Millisecond // canceled attempts shorter than this are ignored
	failureRateSamples   = 8                      // a new sample has a weight of 1/failureRateSamples in the moving average
)

// Result is the outcome of an attempt.
type Result int

// The values of Result, which are part of the encoding of router.AttemptResult.
const (
	Success       Result = iota // complete response
	Rejected                    // the endpoint stated that it did not execute the request
	BadResponse                 // invalid or truncated response, or a server error
	NoResponse                  // no response, or the connection was lost
	ConnectFailed               // no connection could be opened
	Canceled                    // the client disconnected, or another attempt completed first
	NotOwner                    // the endpoint does not hold the request's shard key and did not execute it
)

// StartAttempt counts an attempt that is about to be sent to an endpoint. It must be followed by EndAttempt.
func (b *Balancer) StartAttempt(now time.Duration, endpoint *Endpoint) {
	if endpoint.WarmingUp(now) {
		endpoint.warmup.refill(now)
		endpoint.warmup.tokens--
	}
	endpoint.inFlight++
	endpoint.Attempts++
	endpoint.hasSent, endpoint.lastSentAt = true, now
}

// EndAttempt records the result of an attempt.
func (b *Balancer) EndAttempt(now time.Duration, endpoint *Endpoint, result Result, latency time.Duration) {
	endpoint.inFlight--
	switch result {
	case ConnectFailed:
		endpoint.connectFailed, endpoint.connectFailedAt = true, now
	case Success, Rejected, BadResponse, NotOwner:
		endpoint.connectFailed = false
	}
	switch result {
	case Success:
		endpoint.Successes++
		endpoint.TotalLatency += latency
		// A success ends this gateway's own ejection of the endpoint, but not one by the control plane.
		endpoint.consecutiveFailures, endpoint.ejectedUntil = 0, endpoint.fleetEjectedUntil
		endpoint.updateFailureRate(0)
	case Rejected:
		endpoint.Failures++
	case BadResponse:
		endpoint.Failures++
		endpoint.updateFailureRate(1)
	case NoResponse, ConnectFailed:
		endpoint.Failures++
		endpoint.consecutiveFailures++
		if result == ConnectFailed || endpoint.consecutiveFailures > 1 {
			endpoint.ejectedUntil = now + ejectionTime(endpoint.consecutiveFailures-1)
		}
		endpoint.updateFailureRate(1)
	case Canceled:
		// Consecutive long attempts without a success indicate a slow endpoint.
		if latency < minCanceledLatency {
			return
		}
		endpoint.consecutiveFailures++
		if endpoint.consecutiveFailures > 1 {
			endpoint.ejectedUntil = now + ejectionTime(endpoint.consecutiveFailures-2)
		}
	}
}

// Eject applies the control plane's ejection of an endpoint for the given duration.
func (b *Balancer) Eject(now time.Duration, id string, duration time.Duration) {
	if endpoint := b.endpoints[id]; endpoint != nil {
		endpoint.ejectedUntil = max(endpoint.ejectedUntil, now+duration)
		endpoint.fleetEjectedUntil = max(endpoint.fleetEjectedUntil, now+duration)
	}
}

// ejectionTime returns the duration of an ejection, which grows exponentially with the number of earlier failures.
func ejectionTime(earlierFailures int) time.Duration {
	return min(baseEjectionTime<<min(earlierFailures, maxEjectionDoublings), maxEjectionTime)
}

// updateFailureRate adds a sample to the moving average: 1 for a failure, 0 for a success.
func (e *Endpoint) updateFailureRate(sample float64) {
	e.failureRate += (sample - e.failureRate) / failureRateSamples
}
