// Package retry decides whether a request is retried at another replica after a failed attempt, and which status its client
// receives otherwise. The package performs no I/O.
//
// Invariant: a request that is not idempotent is retried only with proof that it was not executed, and status 503 is returned
// only with that proof.
package retry

import (
	"net/http"
	"time"
)

// Execution is what is known about whether an attempt executed its request. If a request had several attempts, the greatest
// value applies.
type Execution int

// The values of Execution.
const (
	NotExecuted     Execution = iota // proven: the request was never sent, or the replica stated that it did not execute it
	MayHaveExecuted                  // the request was sent, and nothing proves that it was not executed
	Answered                         // the complete response was received
)

// String returns the name that is used in logs.
func (e Execution) String() string {
	return [...]string{"not_executed", "may_have_executed", "answered"}[e]
}

// State is the retry state of a request after an attempt.
type State struct {
	Idempotent      bool
	MaxAttempts     int
	Attempts        int // attempts that were sent
	ConnectFailures int // attempts that failed to connect
	TimeLeft        time.Duration
	LatencyTarget   time.Duration // latency target of the route; 0 if it has none
	ServerError     bool          // the last response was a server error
}

const (
	// MaxConnectFailures bounds attempts that fail to connect. They put no load on replicas but take time.
	MaxConnectFailures = 4

	minTimeLeft             = 20 * time.Millisecond // no attempt is made with less time left
	minLatencyTargetShare   = 0.1                   // no attempt is made with less than this share of the latency target left
	hedgeLatencyTargetShare = 0.55                  // share of the latency target after which a request is hedged
)

// EnoughTime reports whether the time left is enough for an attempt.
func EnoughTime(timeLeft, latencyTarget time.Duration) bool {
	return timeLeft >= max(minTimeLeft, time.Duration(minLatencyTargetShare*float64(latencyTarget)))
}

// HedgeDelay returns how long to wait for the response to an idempotent request before sending a second, concurrent attempt.
// It returns false if there is no latency target or too little time for a second attempt.
func HedgeDelay(latencyTarget, timeLeft time.Duration) (delay time.Duration, ok bool) {
	delay = time.Duration(hedgeLatencyTargetShare * float64(latencyTarget))
	return delay, latencyTarget > 0 && EnoughTime(timeLeft-delay, latencyTarget)
}

// Refusal is the reason why a request is not retried, as written to logs. It is empty if a retry is allowed.
type Refusal string

// The values of Refusal.
const (
	RefusedNoTime          Refusal = "too_little_time"
	RefusedConnectFailures Refusal = "connect_failures"  // MaxConnectFailures is exceeded
	RefusedAttempts        Refusal = "attempts_spent"    // the route's maximum is reached
	RefusedMayHaveExecuted Refusal = "may_have_executed" // the request is not idempotent and may have been executed
	RefusedAnswered        Refusal = "answered"
)

// RefusalOf returns why a request must not be retried, or an empty Refusal if it may be. If the last attempt was sent, the
// retry must also be withdrawn from a Budget, after this check, so that a refused retry does not reduce the budget.
func RefusalOf(execution Execution, state State) Refusal {
	switch {
	case !EnoughTime(state.TimeLeft, state.LatencyTarget):
		return RefusedNoTime
	case state.ConnectFailures > MaxConnectFailures:
		return RefusedConnectFailures
	case state.Attempts >= state.MaxAttempts:
		return RefusedAttempts
	case execution == MayHaveExecuted && !state.Idempotent:
		return RefusedMayHaveExecuted
	case execution == Answered && (!state.Idempotent || !state.ServerError):
		return RefusedAnswered
	}
	return ""
}

// ShouldRetry reports whether RefusalOf allows another attempt.
func ShouldRetry(execution Execution, state State) bool { return RefusalOf(execution, state) == "" }

// FinalStatus returns the status for the client when there is no replica response to forward. Status 503 guarantees that the
// request was not and will not be executed; 502 and 504 guarantee nothing.
func FinalStatus(execution Execution, deadlineExceeded bool) int {
	switch {
	case execution == NotExecuted:
		return http.StatusServiceUnavailable
	case deadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
