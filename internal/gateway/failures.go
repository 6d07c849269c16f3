package gateway

import (
	"sync"
	"time"

	"zincloft.example/zincloft/internal/replica"
)

const (
	maxKeptFailures   = 256 // newest failed requests that are kept in memory
	maxLoggedIDBytes  = 64  // of an attempt's identity, which the client chose
	maxLoggedAttempts = 8   // more cannot be made of one request: route limit, failed connections
)

// endedBy says who ended a request without success.
type endedBy string

const (
	endedByGateway  endedBy = "gateway"  // it gave up, see FailedRequest.Reason
	endedByReplica  endedBy = "replica"  // its response, no success, was passed on
	endedByClient   endedBy = "client"   // it left
	endedByDeadline endedBy = "deadline" // the client's, or the route's timeout
)

// FailedRequest explains why one request had no successful answer.
type FailedRequest struct {
	At            time.Time       `json:"at"`
	AttemptID     string          `json:"attempt_id"` // the client's, cut to maxLoggedIDBytes
	Route         string          `json:"route"`
	Service       string          `json:"service"`
	Idempotent    bool            `json:"idempotent"`
	Status        int             `json:"status"` // that the client got; 0: the connection was closed
	EndedBy       endedBy         `json:"ended_by"`
	Reason        string          `json:"reason"` // why there was no further attempt
	Timeout       time.Duration   `json:"timeout_ns"`
	Duration      time.Duration   `json:"duration_ns"`
	ConfigVersion uint64          `json:"config_version"` // by which it was routed
	Attempts      []AttemptRecord `json:"attempts"`
}

// AttemptRecord is one attempt of a failed request.
type AttemptRecord struct {
	Endpoint    string        `json:"endpoint"`
	Address     string        `json:"address"`
	TableUpdate uint64        `json:"table_update"` // number of the control plane's update in force when the endpoint was picked
	SentAfter   time.Duration `json:"sent_after_ns"`
	Duration    time.Duration `json:"duration_ns"`
	Deadline    time.Duration `json:"deadline_ns"` // left when it was sent
	Execution   string        `json:"execution"`   // pending where the request did not wait for its end
	Cause       replica.Cause `json:"cause,omitempty"`
	Status      int           `json:"status,omitempty"` // of the replica's response
	ConnID      uint64        `json:"conn,omitempty"`
	ConnUse     int           `json:"conn_use,omitempty"`
}

// executionPending is the Execution of an attempt that had not ended with its request.
const executionPending = "pending"

// failureLog keeps the newest failed requests. The zero value is ready; it is safe for concurrent use.
type failureLog struct {
	mu    sync.Mutex
	ring  [maxKeptFailures]FailedRequest
	count uint64 // of all so far; the next one goes to ring[count % maxKeptFailures]
}

// add keeps a failed request in the place of the oldest one.
func (l *failureLog) add(failed FailedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.count%maxKeptFailures] = failed
	l.count++
}

// newest lists the failed requests that are kept, the newest first.
func (l *failureLog) newest() []FailedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := min(l.count, maxKeptFailures)
	failures := make([]FailedRequest, 0, kept)
	for i := range kept {
		failures = append(failures, l.ring[(l.count-1-i)%maxKeptFailures])
	}
	return failures
}

// recordFailure keeps a failed request and logs it, at a bounded rate.
func (g *Gateway) recordFailure(failed FailedRequest) {
	failed.AttemptID = failed.AttemptID[:min(len(failed.AttemptID), maxLoggedIDBytes)]
	g.failures.add(failed)
	if !g.logLimiter.Allow() {
		g.count(countFailuresNotLogged)
		return
	}
	attempts := make([]string, 0, len(failed.Attempts))
	for _, attempt := range failed.Attempts[:min(len(failed.Attempts), maxLoggedAttempts)] {
		attempts = append(attempts, attempt.summary())
	}
	g.logger.Info().Str("event", "request_failed").Str("attempt", failed.AttemptID).Str("route", failed.Route).Str("service", failed.Service).
		Int("status", failed.Status).Str("ended_by", string(failed.EndedBy)).Str("reason", failed.Reason).Dur("timeout", failed.Timeout).
		Dur("duration", failed.Duration).Uint64("config_version", failed.ConfigVersion).Strs("attempts", attempts).Msg("")
}

// summary is an attempt in a log line: endpoint@address, update, times in milliseconds, execution and cause.
func (a AttemptRecord) summary() string {
	text := a.Endpoint + "@" + a.Address + " update=" + formatUint(a.TableUpdate) + " after=" + formatMillis(a.SentAfter) +
		" took=" + formatMillis(a.Duration) + " deadline=" + formatMillis(a.Deadline) + " " + a.Execution
	if a.Cause != "" {
		text += " " + string(a.Cause)
	}
	return text
}
