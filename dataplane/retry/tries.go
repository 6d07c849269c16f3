// Package retry decides what follows a try at a replica: whether a request may go to another one, and what a client
// is told when it may not. It is free of I/O.
package retry

import (
	"net/http"
	"time"
)

// Execution says whether a request may have run.
type Execution int

const (
	NotExecuted     Execution = iota // with proof: it was never sent, or the replica said that it did not run it
	MayHaveExecuted                  // it was sent, and nothing proves that it did not run
	Answered                         // the replica's whole answer is there
)

func (v Execution) String() string { return [...]string{"not_run", "may_have_run", "answered"}[v] }

// State is what bears on the decision.
type State struct {
	Idempotent      bool
	MaxAttempts     int
	Attempts        int // replicas that it was sent to
	ConnectFailures int // replicas that could not even be called
	TimeLeft        time.Duration
	LatencyTarget   time.Duration // the route's; 0: none
	ServerError     bool          // Answered: with a failure of the replica's own
}

const (
	minTimeLeft = 20 * time.Millisecond // with less time than this left, another try is of no use

	// MaxConnectFailures bounds calls that fail before anything is sent: they are no arrivals, but cost time.
	MaxConnectFailures = 4

	minLatencyTargetShare = 0.1 // of the route's target: with less time than this a replica cannot be said to have been offered anything

	hedgeLatencyTargetShare = 0.55 // of the route's target, after which a second replica can still answer within it
)

// EnoughTime tells whether the time left is enough to offer a request to a replica at all.
func EnoughTime(timeLeft, latencyTarget time.Duration) bool {
	return timeLeft >= max(minTimeLeft, time.Duration(minLatencyTargetShare*float64(latencyTarget)))
}

// HedgeDelay is how long a safe request waits for its answer until it is offered to a second replica beside the first.
func HedgeDelay(latencyTarget, timeLeft time.Duration) (time.Duration, bool) {
	delay := time.Duration(hedgeLatencyTargetShare * float64(latencyTarget))
	return delay, latencyTarget > 0 && EnoughTime(timeLeft-delay, latencyTarget)
}

// ShouldRetry tells whether the request may be offered to another replica. Further arrivals must be covered by a budget
// besides, which is asked last so that nothing is taken from it in vain.
func ShouldRetry(execution Execution, state State) bool {
	if !EnoughTime(state.TimeLeft, state.LatencyTarget) || state.ConnectFailures > MaxConnectFailures {
		return false
	}
	if state.Attempts >= state.MaxAttempts {
		return false
	}
	switch execution {
	case NotExecuted:
		return true
	case MayHaveExecuted:
		return state.Idempotent // against double charges: a doubt is never tried again
	}
	return state.ServerError && state.Idempotent
}

// FinalStatus is the status that a client is told when no answer of a replica can be passed on. 503 promises that the
// request has not run and never will; 502 and 504 promise nothing.
func FinalStatus(execution Execution, expired bool) int {
	switch {
	case execution == NotExecuted:
		return http.StatusServiceUnavailable
	case expired:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Budget is one governor's part of the further tries that all governors may make at a service: a bucket filled by
// requests. Parts are dealt so that the sum holds: a share of the ratio for each request, and a part of the slack.
type Budget struct {
	ratio, burst float64
	tokens       float64
}

// NewBudget makes a budget. In any window, n governors together make at most n x burst + ratio x requests.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit counts a request of a client.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// TryWithdraw takes one further try, if there is one.
func (b *Budget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
