package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/internal/daemons/replica"
)

// maxReportedLoad is the highest value accepted for each field of a load header.
const maxReportedLoad = 1 << 20

// attemptResult is the outcome and timing of one attempt.
type attemptResult struct {
	replica.Outcome
	picked  pickedEndpoint
	sentAt  time.Time
	latency time.Duration
}

// runAttempt sends a request to the chosen endpoint, records the outcome in the router and sends it to results.
func (g *Gateway) runAttempt(picked pickedEndpoint, request *replica.Request, results chan<- attemptResult) {
	g.metrics.attempts.Inc()
	sentAt := time.Now()
	outcome := g.pool.Do(picked.EndpointID, g.settings.DialAddress(picked.Addr), request)
	canceled := request.Cancel != nil && request.Cancel.Err() != nil
	g.recordAttempt(picked.PickResult, request.AttemptID, outcome, time.Since(sentAt), canceled)
	results <- attemptResult{Outcome: outcome, picked: picked, sentAt: sentAt, latency: time.Since(sentAt)}
}

// recordAttempt records an attempt's outcome in the router and the log, and queues effects to report immediately.
func (g *Gateway) recordAttempt(picked router.PickResult, attemptID string, outcome replica.Outcome, latency time.Duration, canceled bool) {
	result := router.AttemptResult{
		AttemptID:         picked.AttemptID,
		Result:            endpointResult(outcome, canceled),
		Latency:           latency,
		ConnectionRefused: outcome.ConnectionRefused,
	}
	if outcome.Response != nil {
		result.Misdirected = isMisdirected(outcome)
		result.Load = parseLoad(outcome.Response.Header)
	}
	if outcome.NotOwner {
		g.count(countNotOwner)
	}
	if outcome.Cause != "" {
		g.count(countAttemptPrefix + counter(outcome.Cause))
	}
	unknown := outcome.Execution == retry.MayHaveExecuted && !canceled
	if (unknown || outcome.SkippedResponses > 0) && g.logLimiter.Allow() {
		g.logAttempt(picked.EndpointID, attemptID, outcome)
	}
	g.mu.Lock()
	effects := g.router.EndAttempt(g.now(), result)
	g.mu.Unlock()
	if effects.MisdirectedEndpoint != "" && g.logLimiter.Allow() {
		g.logger.Info().Str("event", "endpoint_misdirected").Str("replica", effects.MisdirectedEndpoint).Str("address", picked.Addr).
			Str("other_instance", otherInstance(outcome)).Msg("another instance responded at the endpoint's address; reporting the endpoint as gone")
	}
	g.queueEffects(effects)
}

// isMisdirected reports whether another instance than the one that was meant responded.
func isMisdirected(outcome replica.Outcome) bool {
	return outcome.Response != nil && outcome.Response.Status == http.StatusMisdirectedRequest && !outcome.NotOwner
}

// endpointResult maps an attempt's outcome to a load-balancer result. Attempts ended by the client, or by the deadline
// before the request was sent, are Canceled: they say nothing about the endpoint.
func endpointResult(outcome replica.Outcome, canceled bool) loadbalancer.Result {
	switch {
	case outcome.NotSent && (outcome.DeadlineExceeded || canceled), outcome.Cause == replica.CausePoolFull:
		return loadbalancer.Canceled
	case outcome.NotSent:
		return loadbalancer.ConnectFailed
	case outcome.NotOwner:
		return loadbalancer.NotOwner
	case outcome.Rejected:
		return loadbalancer.Rejected
	case canceled && outcome.Execution != retry.Answered:
		return loadbalancer.Canceled
	case outcome.Execution == retry.MayHaveExecuted && outcome.Cause.IsBadResponse():
		return loadbalancer.BadResponse
	case outcome.Execution == retry.MayHaveExecuted:
		return loadbalancer.NoResponse
	case outcome.Response.Status >= http.StatusInternalServerError:
		return loadbalancer.BadResponse
	}
	return loadbalancer.Success
}

func (g *Gateway) logAttempt(endpoint, attemptID string, outcome replica.Outcome) {
	g.logger.Info().Str("event", "attempt").Str("attempt", loggedID(attemptID)).Str("replica", endpoint).
		Uint64("conn", outcome.ConnID).Int("use", outcome.ConnRequestCount).Str("execution", outcome.Execution.String()).
		Str("cause", string(outcome.Cause)).Int("skipped", outcome.SkippedResponses).Msg("attempt ended")
}

// queueEffects passes effects to the report loop without blocking. Effects are dropped when the queue is full, as a
// persistent failure is observed again.
func (g *Gateway) queueEffects(effects router.AttemptEffects) {
	if effects.Observation != nil {
		select {
		case g.observations <- *effects.Observation:
		default:
		}
	}
	if effects.MisdirectedEndpoint != "" {
		select {
		case g.misdirected <- effects.MisdirectedEndpoint:
		default:
		}
	}
}

// parseLoad parses the X-Instance-Load header (running, waiting, slots). It returns the zero value if the header is
// missing or malformed.
func parseLoad(header http.Header) loadbalancer.Load {
	value := header.Get("X-Instance-Load")
	if value == "" {
		return loadbalancer.Load{}
	}
	var load loadbalancer.Load
	fields := [...]*int{&load.Running, &load.Waiting, &load.Slots}
	parts := strings.Split(value, ",")
	if len(parts) != len(fields) {
		return loadbalancer.Load{}
	}
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 || n > maxReportedLoad {
			return loadbalancer.Load{}
		}
		*fields[i] = n
	}
	return load
}
