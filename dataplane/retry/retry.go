// Package retry decides what follows an attempt at a replica: whether the request is sent to another one, and which status
// its client gets where it is not. It is free of I/O.
//
// Invariant: a request that is not idempotent is sent again only with proof that it was not executed, and 503 is answered
// only with that proof.
package retry

import (
	"net/http"
	"time"
)

// Execution is what is known of whether an attempt executed its request. A greater value says more; of several attempts the
// greatest counts.
type Execution int

// The values of Execution.
const (
	NotExecuted     Execution = iota // with proof: it was never sent, or the replica stated that it did not execute it
	MayHaveExecuted                  // it was sent, and nothing proves that it was not executed
	Answered                         // the replica's complete response is there
)

// String returns the value's name in logs.
func (e Execution) String() string {
	return [...]string{"not_executed", "may_have_executed", "answered"}[e]
}

// State is the state of a request between two attempts.
type State struct {
	Idempotent      bool
	MaxAttempts     int
	Attempts        int // that were sent
	ConnectFailures int // attempts for which no connection could be opened
	TimeLeft        time.Duration
	LatencyTarget   time.Duration // of the route; 0: none
	ServerError     bool          // the last attempt was answered by a server error
}

const (
	// MaxConnectFailures bounds attempts that fail before anything is sent: they reach no replica, but cost time.
	MaxConnectFailures = 4

	minTimeLeft             = 20 * time.Millisecond // with less, an attempt is of no use
	minLatencyTargetShare   = 0.1                   // of the latency target: with less time than this an attempt is none
	hedgeLatencyTargetShare = 0.55                  // of the latency target, after which a second replica can still answer within it
)

// EnoughTime tells whether the time left is enough for an attempt.
func EnoughTime(timeLeft, latencyTarget time.Duration) bool {
	return timeLeft >= max(minTimeLeft, time.Duration(minLatencyTargetShare*float64(latencyTarget)))
}

// HedgeDelay is how long an idempotent request waits for its response until a second attempt is made beside the first; not
// ok: no second one is made.
func HedgeDelay(latencyTarget, timeLeft time.Duration) (delay time.Duration, ok bool) {
	delay = time.Duration(hedgeLatencyTargetShare * float64(latencyTarget))
	return delay, latencyTarget > 0 && EnoughTime(timeLeft-delay, latencyTarget)
}

// Refusal says why a request is not sent again. It is a value of logs; empty: it may be sent.
type Refusal string

// The refusals.
const (
	RefusedNoTime          Refusal = "too_little_time"
	RefusedConnectFailures Refusal = "connect_failures"  // MaxConnectFailures is exceeded
	RefusedAttempts        Refusal = "attempts_spent"    // the route allows no more
	RefusedMayHaveExecuted Refusal = "may_have_executed" // and the request is not idempotent
	RefusedAnswered        Refusal = "answered"
)

// RefusalOf tells why the request is not sent to another replica after an attempt; empty: it may be. Attempts that reach a
// replica must be covered by a Budget besides, which is asked last so that nothing is withdrawn from it in vain.
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

// ShouldRetry tells whether RefusalOf finds nothing against another attempt.
func ShouldRetry(execution Execution, state State) bool { return RefusalOf(execution, state) == "" }

// FinalStatus is the status that a client gets when no response of a replica can be passed on. 503 promises that the
// request was not executed and never will be; 502 and 504 promise nothing.
func FinalStatus(execution Execution, deadlineExceeded bool) int {
	switch {
	case execution == NotExecuted:
		return http.StatusServiceUnavailable
	case deadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
