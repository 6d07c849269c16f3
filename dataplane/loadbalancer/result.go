package loadbalancer

import "time"

const (
	baseEjectionTime   = 400 * time.Millisecond // of an endpoint that failed; each further failure doubles it
	maxEjectionTime    = 6 * time.Second
	maxEjectionDoubles = 5
	minCanceledLatency = 300 * time.Millisecond // a canceled attempt that was shorter says nothing of its endpoint
	failureRateSamples = 8                      // a new attempt weighs one of so many in the failure rate
)

// Result is what an attempt says about its endpoint.
type Result int

// The results. Their numbers are part of router.AttemptResult's encoding.
const (
	Success       Result = iota // a complete response
	Rejected                    // the endpoint did not execute the request, by its own statement
	BadResponse                 // a response that cannot be used, was truncated, or is a server error
	NoResponse                  // no response, or the connection broke
	ConnectFailed               // no connection could be opened
	Canceled                    // the client left, or another attempt was faster
)

// StartAttempt counts a request that is about to be sent to an endpoint. It must be followed by EndAttempt.
func (b *Balancer) StartAttempt(now time.Duration, endpoint *Endpoint) {
	if endpoint.WarmingUp(now) {
		endpoint.warmup.refill(now)
		endpoint.warmup.tokens--
	}
	endpoint.inFlight++
	endpoint.Attempts++
	endpoint.hasSent, endpoint.lastSentAt = true, now
}

// EndAttempt takes in an attempt's result.
func (b *Balancer) EndAttempt(now time.Duration, endpoint *Endpoint, result Result, latency time.Duration) {
	endpoint.inFlight--
	switch result {
	case Success:
		endpoint.Successes++
		endpoint.TotalLatency += latency
		// A response from before an ejection by the control plane does not undo it.
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
		// A second long attempt without a success between them says that the endpoint is slow.
		if latency < minCanceledLatency {
			return
		}
		endpoint.consecutiveFailures++
		if endpoint.consecutiveFailures > 1 {
			endpoint.ejectedUntil = now + ejectionTime(endpoint.consecutiveFailures-2)
		}
	}
}

// Eject makes an endpoint a last choice for a time, by decision of the control plane.
func (b *Balancer) Eject(now time.Duration, id string, duration time.Duration) {
	if endpoint := b.endpoints[id]; endpoint != nil {
		endpoint.ejectedUntil = max(endpoint.ejectedUntil, now+duration)
		endpoint.fleetEjectedUntil = max(endpoint.fleetEjectedUntil, now+duration)
	}
}

// ejectionTime is how long an endpoint is ejected after a number of earlier failures.
func ejectionTime(earlierFailures int) time.Duration {
	return min(baseEjectionTime<<min(earlierFailures, maxEjectionDoubles), maxEjectionTime)
}

// updateFailureRate takes in an attempt that failed (1) or did not (0).
func (e *Endpoint) updateFailureRate(failed float64) {
	e.failureRate += (failed - e.failureRate) / failureRateSamples
}
