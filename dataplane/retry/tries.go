// Package retry decides what follows a try at a replica: whether a request may go to another one, and what a client
// is told when it may not. It is free of I/O.
package retry

import (
	"net/http"
	"time"
)

// Verdict says whether a request may have run.
type Verdict int

const (
	NotRun     Verdict = iota // with proof: it was never sent, or the replica said that it did not run it
	MayHaveRun                // it was sent, and nothing proves that it did not run
	Answered                  // the replica's whole answer is there
)

func (v Verdict) String() string { return [...]string{"not_run", "may_have_run", "answered"}[v] }

// Request is what bears on the decision.
type Request struct {
	Safe        bool
	MaxAttempts int
	Sent        int // replicas that it was sent to
	Unsent      int // replicas that could not even be called
	Left        time.Duration
	Target      time.Duration // the route's; 0: none
	Failed      bool          // Answered: with a failure of the replica's own
}

const (
	leastLeft = 20 * time.Millisecond // with less time than this left, another try is of no use

	// UnsentMost bounds calls that fail before anything is sent: they are no arrivals, but cost time.
	UnsentMost = 4

	leastShare = 0.1 // of the route's target: with less time than this a replica cannot be said to have been offered anything

	hedgeShare = 0.55 // of the route's target, after which a second replica can still answer within it
)

// Offers tells whether the time left is enough to offer a request to a replica at all.
func Offers(left, target time.Duration) bool {
	return left >= max(leastLeft, time.Duration(leastShare*float64(target)))
}

// HedgeAfter is how long a safe request waits for its answer until it is offered to a second replica beside the first.
func HedgeAfter(target, left time.Duration) (time.Duration, bool) {
	wait := time.Duration(hedgeShare * float64(target))
	return wait, target > 0 && Offers(left-wait, target)
}

// Again tells whether the request may be offered to another replica. Further arrivals must be covered by a budget
// besides, which is asked last so that nothing is taken from it in vain.
func Again(v Verdict, r Request) bool {
	if !Offers(r.Left, r.Target) || r.Unsent > UnsentMost {
		return false
	}
	if r.Sent >= r.MaxAttempts {
		return false
	}
	switch v {
	case NotRun:
		return true
	case MayHaveRun:
		return r.Safe // against double charges: a doubt is never tried again
	}
	return r.Failed && r.Safe
}

// Final is the status that a client is told when no answer of a replica can be passed on. 503 promises that the
// request has not run and never will; 502 and 504 promise nothing.
func Final(v Verdict, expired bool) int {
	switch {
	case v == NotRun:
		return http.StatusServiceUnavailable
	case expired:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Budget is one governor's part of the further tries that all governors may make at a service: a bucket filled by
// requests. Parts are dealt so that the sum holds: a share of the ratio for each request, and a part of the slack.
type Budget struct {
	ratio, most float64
	have        float64
}

// NewBudget makes a budget. In any window, n governors together make at most n x burst + ratio x requests.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, most: burst, have: burst}
}

// Earn counts a request of a client.
func (b *Budget) Earn() { b.have = min(b.have+b.ratio, b.most) }

// Spend takes one further try, if there is one.
func (b *Budget) Spend() bool {
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
