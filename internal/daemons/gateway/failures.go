package gateway

import (
	"slices"
	"sync"
	"time"

	"zincloft.example/zincloft/internal/daemons/replica"
)

const (
	maxRecordedFailures = 256 // newest failed requests that are kept in memory
	maxLoggedIDBytes    = 64  // of an attempt's identity, which the client chose
	maxLoggedAttempts   = 8   // more cannot be made of one request: route limit, failed connections
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
	Endpoint         string        `json:"endpoint"`
	Address          string        `json:"address"`
	TableUpdate      uint64        `json:"table_update"` // number of the control plane's update in force when the endpoint was picked
	SentAfter        time.Duration `json:"sent_after_ns"`
	Duration         time.Duration `json:"duration_ns"`
	Deadline         time.Duration `json:"deadline_ns"` // left when it was sent
	Execution        string        `json:"execution"`   // pending while its end, which the request did not wait for, has not come
	Cause            replica.Cause `json:"cause,omitempty"`
	Status           int           `json:"status,omitempty"` // of the replica's response
	ConnID           uint64        `json:"conn,omitempty"`
	ConnRequestCount int           `json:"conn_use,omitempty"`
}

// executionPending is the Execution of an attempt that had not ended with its request.
const executionPending = "pending"

// failureLog keeps the newest failed requests. The zero value is ready; it is safe for concurrent use.
type failureLog struct {
	mu    sync.Mutex
	ring  [maxRecordedFailures]FailedRequest
	count uint64 // of all so far; the next one goes to ring[count % maxKeptFailures]
}

// add keeps a failed request in the place of the oldest one. It returns the request's number, which is not 0.
func (l *failureLog) add(failed FailedRequest) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.count%maxRecordedFailures] = failed
	l.count++
	return l.count
}

// complete puts the outcome of an attempt in the place where a failed request, by its number, has it as pending. The request may have left the
// log meanwhile.
func (l *failureLog) complete(number uint64, attempt AttemptRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count-number >= maxRecordedFailures {
		return
	}
	kept := &l.ring[(number-1)%maxRecordedFailures]
	kept.Attempts = slices.Clone(kept.Attempts) // readers may still have the one that was there
	for i, known := range kept.Attempts {
		if known.Endpoint == attempt.Endpoint && known.Execution == executionPending {
			kept.Attempts[i] = attempt
			return
		}
	}
}

// newest lists the failed requests that are kept, the newest first.
func (l *failureLog) newest() []FailedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := min(l.count, maxRecordedFailures)
	failures := make([]FailedRequest, 0, kept)
	for i := range kept {
		failures = append(failures, l.ring[(l.count-1-i)%maxRecordedFailures])
	}
	return failures
}

// completeFailure takes the outcome of an attempt, which was still under way when its request failed, into the request's record and logs it, at
// a bounded rate.
func (g *Gateway) completeFailure(number uint64, attemptID string, attempt AttemptRecord) {
	g.failures.complete(number, attempt)
	if g.logLimiter.Allow() {
		g.logger.Info().Str("event", "pending_attempt_ended").Str("attempt", loggedID(attemptID)).Str("outcome", attempt.summary()).Msg("")
	}
}

// loggedID is as much of an attempt's identity as is logged.
func loggedID(attemptID string) string { return attemptID[:min(len(attemptID), maxLoggedIDBytes)] }

// recordFailure keeps a failed request and logs it, at a bounded rate. It returns the record's number.
func (g *Gateway) recordFailure(failed FailedRequest) uint64 {
	failed.AttemptID = loggedID(failed.AttemptID)
	number := g.failures.add(failed)
	if !g.logLimiter.Allow() {
		g.count(countFailuresNotLogged)
		return number
	}
	attempts := make([]string, 0, len(failed.Attempts))
	for _, attempt := range failed.Attempts[:min(len(failed.Attempts), maxLoggedAttempts)] {
		attempts = append(attempts, attempt.summary())
	}
	g.logger.Info().Str("event", "request_failed").Str("attempt", failed.AttemptID).Str("route", failed.Route).Str("service", failed.Service).
		Int("status", failed.Status).Str("ended_by", string(failed.EndedBy)).Str("reason", failed.Reason).Dur("timeout", failed.Timeout).
		Dur("duration", failed.Duration).Uint64("config_version", failed.ConfigVersion).Strs("attempts", attempts).Msg("")
	return number
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
