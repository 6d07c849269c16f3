package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"zincloft.example/zincloft/internal/daemons/replica"
)

const (
	maxRecordedFailures = 256 // newest failed requests kept in memory
	maxLoggedIDBytes    = 64  // of an attempt ID, which is chosen by the client
	maxLoggedHostBytes  = 64  // of a request without a route
	maxLoggedPathBytes  = 64  // likewise
	maxLoggedAttempts   = 8   // no request can have more, given the route limit and the limit of failed connections
)

// endedBy says which party ended a failed request.
type endedBy string

const (
	endedByGateway  endedBy = "gateway"  // see FailedRequest.Reason
	endedByReplica  endedBy = "replica"  // its error response was returned to the client
	endedByClient   endedBy = "client"   // the client disconnected
	endedByDeadline endedBy = "deadline" // set by the client, or by the route's timeout
)

// FailedRequest describes a request that did not get a successful response, or got it after its latency target.
type FailedRequest struct {
	At            time.Time       `json:"at"`
	AttemptID     string          `json:"attempt_id"` // set by the client, truncated to maxLoggedIDBytes
	Route         string          `json:"route"`
	Service       string          `json:"service"`
	ShardKey      *uint16         `json:"shard_key,omitempty"`   // nil if the service is not sharded
	OwnerToken    uint64          `json:"owner_token,omitempty"` // of the shard key's range when an endpoint was picked last
	Idempotent    bool            `json:"idempotent"`
	Status        int             `json:"status"` // returned to the client; 0 if the connection was closed
	EndedBy       endedBy         `json:"ended_by"`
	Reason        string          `json:"reason"` // why no further attempt was made
	Timeout       time.Duration   `json:"timeout_ns"`
	Target        time.Duration   `json:"target_ns,omitempty"`   // latency target of the route; only of slow requests
	Overhead      time.Duration   `json:"overhead_ns,omitempty"` // part of Duration outside attempts and waits for an owner; likewise
	Duration      time.Duration   `json:"duration_ns"`
	ConfigVersion uint64          `json:"config_version"` // used to route the request
	Host          string          `json:"host,omitempty"` // of a request without a route, sanitized and truncated
	Path          string          `json:"path,omitempty"` // likewise, without the query
	Attempts      []AttemptRecord `json:"attempts"`
}

// AttemptRecord describes one attempt of a failed request.
type AttemptRecord struct {
	Endpoint         string        `json:"endpoint"`
	Address          string        `json:"address"`
	TableUpdate      uint64        `json:"table_update"` // number of the control-plane update in effect when the endpoint was picked
	SentAfter        time.Duration `json:"sent_after_ns"`
	Duration         time.Duration `json:"duration_ns"`
	Deadline         time.Duration `json:"deadline_ns"` // remaining when the attempt was sent
	Execution        string        `json:"execution"`   // executionPending until the attempt has ended
	Cause            replica.Cause `json:"cause,omitempty"`
	Status           int           `json:"status,omitempty"`      // of the replica's response
	OwnerToken       uint64        `json:"owner_token,omitempty"` // on which the endpoint was picked as the shard key's owner; 0 if not sharded
	KeyNotHeld       bool          `json:"key_not_held,omitempty"`
	OtherInstance    string        `json:"other_instance,omitempty"` // ID of the instance that has the address instead of the endpoint
	ConnID           uint64        `json:"conn,omitempty"`
	ConnRequestCount int           `json:"conn_use,omitempty"`
}

// executionPending is the Execution of an attempt that outlasts its request.
const executionPending = "pending"

// failureLog keeps the newest failed requests, or the newest slow ones. The zero value is ready; it is safe for concurrent use.
type failureLog struct {
	mu    sync.Mutex
	ring  [maxRecordedFailures]FailedRequest
	count uint64 // added so far; the next one goes to ring[count % maxRecordedFailures]
}

// add stores a request in place of the oldest one and returns its number, which is never 0.
func (l *failureLog) add(failed FailedRequest) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.count%maxRecordedFailures] = failed
	l.count++
	return l.count
}

// complete replaces the pending attempt at the same endpoint in the record of a request. It does nothing if the
// record has been overwritten.
func (l *failureLog) complete(number uint64, attempt AttemptRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.count-number >= maxRecordedFailures {
		return
	}
	kept := &l.ring[(number-1)%maxRecordedFailures]
	kept.Attempts = slices.Clone(kept.Attempts) // newest may have returned the previous slice
	replacePending(kept.Attempts, attempt)
}

// replacePending replaces the pending attempt at the same endpoint, and reports whether there was one.
func replacePending(attempts []AttemptRecord, attempt AttemptRecord) bool {
	for i, known := range attempts {
		if known.Endpoint == attempt.Endpoint && known.Execution == executionPending {
			attempts[i] = attempt
			return true
		}
	}
	return false
}

// newest returns the stored requests, newest first.
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

// completeFailure adds the result of an attempt that outlasted its request to the request's record, and logs it subject to
// the rate limit.
func (g *Gateway) completeFailure(number uint64, attemptID string, attempt AttemptRecord) {
	g.failures.complete(number, attempt)
	if g.logLimiter.Allow() {
		g.logger.Info().Str("event", "pending_attempt_ended").Str("attempt", loggedID(attemptID)).Str("outcome", attempt.summary()).Msg("attempt ended after its request")
	}
}

// loggedID truncates an attempt ID for logging.
func loggedID(attemptID string) string { return attemptID[:min(len(attemptID), maxLoggedIDBytes)] }

// loggedText truncates a text that a client or a replica has chosen, and replaces all but printable ASCII characters in it.
func loggedText(text string, maxBytes int) string {
	truncated := strings.Clone(text[:min(len(text), maxBytes)]) // a part would keep the request's head in memory
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, truncated)
}

// recordFailure stores a failed request, logs it subject to the rate limit, and returns the record's number.
func (g *Gateway) recordFailure(failed FailedRequest) uint64 {
	number := g.failures.add(failed)
	if !g.reasonLimiter.allow(failed.Reason) {
		g.count(countFailuresNotLogged)
		return number
	}
	entry := g.logger.Info().Str("event", "request_failed").Str("attempt", failed.AttemptID).Str("route", failed.Route).Str("service", failed.Service).
		Int("status", failed.Status).Str("ended_by", string(failed.EndedBy)).Str("reason", failed.Reason).Dur("timeout", failed.Timeout).
		Dur("duration", failed.Duration).Uint64("config_version", failed.ConfigVersion)
	entry = logShardKey(entry, failed)
	if failed.Path != "" {
		entry = entry.Str("host", failed.Host).Str("path", failed.Path)
	}
	entry.Strs("attempts", failed.attemptSummaries()).Msg("request failed")
	return number
}

// logShardKey adds the shard key of a request to its log line, if it has one.
func logShardKey(entry *log.Entry, request FailedRequest) *log.Entry {
	if request.ShardKey == nil {
		return entry
	}
	return entry.Uint16("shard_key", *request.ShardKey).Uint64("owner_token", request.OwnerToken)
}

// attemptSummaries formats the attempts for a log line.
func (r FailedRequest) attemptSummaries() []string {
	summaries := make([]string, 0, len(r.Attempts))
	for _, attempt := range r.Attempts[:min(len(r.Attempts), maxLoggedAttempts)] {
		summaries = append(summaries, attempt.summary())
	}
	return summaries
}

// summary formats an attempt for a log line: endpoint@address, table update, times in milliseconds, execution, cause, the token of the
// shard key's owner, and which kind of 421 it was.
func (a AttemptRecord) summary() string {
	text := a.Endpoint + "@" + a.Address + " update=" + formatUint(a.TableUpdate) + " after=" + formatMillis(a.SentAfter) +
		" took=" + formatMillis(a.Duration) + " deadline=" + formatMillis(a.Deadline) + " " + a.Execution
	if a.Cause != "" {
		text += " " + string(a.Cause)
	}
	if a.OwnerToken > 0 {
		text += " owner_token=" + formatUint(a.OwnerToken)
	}
	switch {
	case a.KeyNotHeld:
		text += " key_not_held"
	case a.OtherInstance != "":
		text += " other_instance=" + a.OtherInstance
	}
	return text
}
