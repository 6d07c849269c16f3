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

// maxReportedLoad bounds the requests and slots that a replica reports; more is not believed.
const maxReportedLoad = 1 << 20

// attemptResult is the end of one attempt.
type attemptResult struct {
	replica.Outcome
	picked  pickedEndpoint
	sentAt  time.Time
	latency time.Duration
}

// runAttempt sends a request to the chosen endpoint, has the router know the outcome and sends it to ends.
func (g *Gateway) runAttempt(choice pickedEndpoint, request *replica.Request, results chan<- attemptResult) {
	g.metrics.attempts.Inc()
	sentAt := time.Now()
	outcome := g.pool.Do(choice.EndpointID, g.settings.DialAddress(choice.Addr), request)
	canceled := request.Cancel != nil && request.Cancel.Err() != nil
	g.recordAttempt(choice.PickResult, request.AttemptID, outcome, time.Since(sentAt), canceled)
	results <- attemptResult{Outcome: outcome, picked: choice, sentAt: sentAt, latency: time.Since(sentAt)}
}

// recordAttempt has the router and the log know an attempt's outcome, and queues what the control plane must hear at once.
func (g *Gateway) recordAttempt(choice router.PickResult, attemptID string, outcome replica.Outcome, latency time.Duration, canceled bool) {
	result := router.AttemptResult{
		AttemptID:         choice.AttemptID,
		Result:            endpointResult(outcome, canceled),
		Latency:           latency,
		ConnectionRefused: outcome.ConnectionRefused,
	}
	if outcome.Response != nil {
		result.Misdirected = outcome.Response.Status == http.StatusMisdirectedRequest
		result.Load = parseLoad(outcome.Response.Header)
	}
	if outcome.Cause != "" {
		g.count(countAttemptPrefix + counter(outcome.Cause))
	}
	unknown := outcome.Execution == retry.MayHaveExecuted && !canceled
	if (unknown || outcome.SkippedResponses > 0) && g.logLimiter.Allow() {
		g.logAttempt(choice.EndpointID, attemptID, outcome)
	}
	g.mu.Lock()
	effects := g.router.EndAttempt(g.now(), result)
	g.mu.Unlock()
	g.queueEffects(effects)
}

// endpointResult is what an attempt's outcome says about its endpoint. Canceled attempts were ended by the client or by
// the deadline before anything could be learned.
func endpointResult(outcome replica.Outcome, canceled bool) loadbalancer.Result {
	switch {
	case outcome.NotSent && (outcome.DeadlineExceeded || canceled), outcome.Cause == replica.CausePoolFull:
		return loadbalancer.Canceled
	case outcome.NotSent:
		return loadbalancer.ConnectFailed
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
		Str("cause", string(outcome.Cause)).Int("skipped", outcome.SkippedResponses).Msg("")
}

// queueEffects hands what the control plane must hear at once to the report loop. Where the queue is full it is dropped:
// the same failure is soon met again.
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

// parseLoad reads the load that a replica reports: running, waiting, slots. All are zero where it reports none that is
// well-formed.
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
