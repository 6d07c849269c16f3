package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/daemons/replica"
)

// forwarding carries one client's request through its attempts at replicas. It is used by the request's goroutine alone;
// attempts run on their own and end on the channel ends.
type forwarding struct {
	gateway *Gateway
	route   gatewayconfig.Route
	service string

	request   replica.Request    // of each attempt, but for the instance
	attempted []string           // endpoints that an attempt was made at
	results   chan attemptResult // has room for every attempt, so that none blocks on a request that is over
	pending   int                // attempts that have not ended

	progress    retry.State
	attemptTime time.Duration // the time of the ended attempts, summed

	arrivedAt      time.Time
	configVersion  uint64
	failedAttempts []attemptResult // attempts that ended without a response to pass on, to explain the request if it fails
	reason         string          // why no further attempt was made
	failureNumber  uint64          // the number of the record of this request's failure; 0: there is none

	// strongest is the outcome so far that says most about execution: that a later attempt was not executed says nothing
	// of an earlier one.
	strongest replica.Outcome
}

// decision is what follows from an attempt's end.
type decision int

const (
	waitForPending decision = iota // wait for the attempts still pending; without any the request is over
	returnResponse                 // pass the attempt's response on
	retryRequest                   // make another attempt
	abortClient                    // end the client's connection: nobody waits for a response
)

// forward makes attempts at replicas until one of them has answered or no retry is allowed.
//
// An idempotent request that waits long for its response is hedged: a second attempt is made beside the first, against
// replicas that fell silent while they had it, and responses that got lost. The first response wins; the other connection
// is closed, and with it the work there.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, request clientRequest) {
	f := newForwarding(g, r, request)
	var hedge <-chan time.Time
	if f.route.Idempotent { // dropped when its client leaves; any other request is left to end
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		f.request.Cancel = ctx
		if delay, ok := retry.HedgeDelay(f.route.LatencyTarget, f.timeLeft()); ok && f.route.MaxAttempts > 1 {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			hedge = timer.C
		}
	}
	g.startRequest(f.service)
	startedAt := time.Now()
	defer func() { g.endRequest(f.route.Idempotent, time.Since(startedAt), f.attemptTime) }()
	defer f.discardResponses()
	if rejected := f.firstAttempt(r.Context()); rejected.isRejection() {
		f.reject(w, r, rejected)
		return
	}
	for f.pending > 0 {
		select {
		case <-hedge:
			hedge = nil
			f.startHedge()
		case end := <-f.results:
			f.recordResult(end)
			switch f.decide(r.Context(), end.Outcome) {
			case returnResponse:
				f.writeReplicaResponse(w, r, end.Response)
				return
			case retryRequest:
				if !f.startAttempt(f.pickEndpoint(false)) {
					f.reason = reasonNoEndpoint
				}
			case abortClient:
				f.gateway.metrics.failed.Inc()
				f.recordFailure(0, endedByClient)
				panic(http.ErrAbortHandler)
			case waitForPending:
			}
		}
	}
	f.finish(w, r)
}

func newForwarding(g *Gateway, r *http.Request, request clientRequest) forwarding {
	route := request.route
	service := route.PickService(rand.Float64())
	return forwarding{
		gateway: g,
		route:   route,
		service: service,
		request: replica.Request{
			Method:          r.Method,
			URI:             request.target,
			Host:            r.Host,
			Header:          replica.EndToEndHeaders(r.Header),
			Body:            request.body,
			AttemptID:       r.Header.Get("X-Attempt-Id"),
			Deadline:        request.deadline,
			Service:         service,
			WaitForDeadline: !route.Idempotent,
		},
		results:       make(chan attemptResult, route.MaxAttempts+retry.MaxConnectFailures+1),
		progress:      retry.State{Idempotent: route.Idempotent, MaxAttempts: route.MaxAttempts, LatencyTarget: route.LatencyTarget},
		strongest:     replica.Outcome{Execution: retry.NotExecuted},
		arrivedAt:     request.arrivedAt,
		configVersion: request.configVersion,
	}
}

func (f *forwarding) timeLeft() time.Duration { return time.Until(f.request.Deadline) }

// firstAttempt makes the first attempt, unless the client is gone, there is too little time, or no endpoint takes it.
func (f *forwarding) firstAttempt(client context.Context) rejection {
	if client.Err() != nil {
		return rejection{aborts: true, counter: countClientGone}
	}
	if !retry.EnoughTime(f.timeLeft(), f.route.LatencyTarget) {
		return rejection{status: http.StatusServiceUnavailable, counter: countDeadlineTooClose, retryAfter: defaultRetryAfter}
	}
	choice := f.pickEndpoint(false)
	if f.startAttempt(choice) {
		return rejection{}
	}
	rejected := rejection{status: http.StatusServiceUnavailable, counter: countOverloaded, retryAfter: choice.RetryAfter}
	if choice.NoEndpointKnown {
		rejected.counter = countNoEndpoint
	}
	return rejected
}

// pickEndpoint picks an endpoint that the request has not been at; where onlyIdle is set, one with free slots.
func (f *forwarding) pickEndpoint(onlyIdle bool) pickedEndpoint {
	return f.gateway.pick(router.PickRequest{
		Service:   f.service,
		Attempted: f.attempted,
		OnlyIdle:  onlyIdle,
		Admission: admission.Request{
			Route:         f.route.Name,
			LatencyTarget: f.route.LatencyTarget,
			Priority:      f.route.Priority,
			TimeLeft:      f.timeLeft(),
		},
	})
}

// startAttempt sends the request to the chosen endpoint, on a goroutine of its own. It tells whether there was one.
func (f *forwarding) startAttempt(choice pickedEndpoint) bool {
	if choice.EndpointID == "" {
		return false
	}
	f.checkBeforeAttempt()
	f.attempted = append(f.attempted, choice.EndpointID)
	f.pending++
	f.progress.Attempts++
	request := f.request
	request.InstanceID = choice.EndpointID
	go f.gateway.runAttempt(choice, &request, f.results)
	return true
}

// startHedge makes a second attempt beside the only pending one, where the retry budget and an idle endpoint allow it.
func (f *forwarding) startHedge() {
	if f.progress.Attempts < f.progress.MaxAttempts && f.pending == 1 && f.gateway.tryRetry(f.service) {
		if f.startAttempt(f.pickEndpoint(true)) {
			f.gateway.count(countHedged)
		}
	}
}

// recordResult takes an attempt's end in, and lets go of the response that does not matter any more.
func (f *forwarding) recordResult(end attemptResult) {
	f.pending--
	f.attemptTime += end.latency
	if end.NotSent {
		f.progress.Attempts--
		f.progress.ConnectFailures++
	}
	f.progress.TimeLeft = f.timeLeft()
	f.progress.ServerError = end.Response != nil && end.Response.Status >= http.StatusInternalServerError
	if end.Execution != retry.Answered || f.progress.ServerError {
		f.failedAttempts = append(f.failedAttempts, end)
	}
	weaker := end.Outcome
	if end.Execution >= f.strongest.Execution {
		f.strongest, weaker = end.Outcome, f.strongest
	}
	weaker.Discard()
}

// decide tells what follows from the outcome that was recorded last. The retry budget is asked last, so that nothing is
// withdrawn from it in vain.
func (f *forwarding) decide(client context.Context, outcome replica.Outcome) decision {
	if outcome.Execution == retry.Answered && !f.progress.ServerError {
		return returnResponse
	}
	if client.Err() != nil {
		f.reason = string(countClientGone)
		if f.route.Idempotent {
			return abortClient
		}
		return waitForPending // what has not been executed is not sent again, as nobody waits for it
	}
	refusal := retry.RefusalOf(outcome.Execution, f.progress)
	f.reason = string(refusal)
	if refusal != "" || f.pending > 0 {
		return waitForPending
	}
	if !outcome.NotSent && !f.gateway.tryRetry(f.service) {
		f.reason = string(countRetryBudgetExhausted)
		f.gateway.count(countRetryBudgetExhausted)
		return waitForPending
	}
	return retryRequest
}

// writeReplicaResponse passes a replica's response on. A long one whose rest fails to come ends the client's connection.
func (f *forwarding) writeReplicaResponse(w http.ResponseWriter, r *http.Request, response *replica.Response) {
	f.checkResponse(response)
	if err := writeResponse(w, r, response); err != nil {
		f.reason = string(replica.CauseTruncated)
		f.gateway.metrics.failed.Inc()
		f.recordFailure(0, endedByReplica)
		panic(http.ErrAbortHandler)
	}
	f.gateway.metrics.answered.Inc()
}

// finish ends a request whose attempts have all ended without a successful response.
func (f *forwarding) finish(w http.ResponseWriter, r *http.Request) {
	if f.strongest.Execution == retry.Answered {
		f.recordFailure(f.strongest.Response.Status, endedByReplica)
		f.writeReplicaResponse(w, r, f.strongest.Response)
		return
	}
	status := retry.FinalStatus(f.strongest.Execution, f.strongest.DeadlineExceeded)
	if status == http.StatusServiceUnavailable {
		f.reject(w, r, rejection{status: status, retryAfter: defaultRetryAfter})
		return
	}
	f.gateway.metrics.failed.Inc()
	f.gateway.count(countFinalPrefix + counter(strconv.Itoa(status)))
	f.recordFailure(status, f.endedBy(r))
	writeEmptyResponse(w, status)
}

// discardResponses lets go of responses that are not passed on, also of those that pending attempts still bring.
func (f *forwarding) discardResponses() {
	f.strongest.Discard()
	if f.pending > 0 {
		go pendingAttempts{f.gateway, f.results, f.pending, f.failureNumber, f.request.AttemptID, f.arrivedAt, f.request.Deadline}.discard()
	}
}

// pendingAttempts are attempts that outlast their request. They have a copy of what they need of it: a request without any costs nothing.
type pendingAttempts struct {
	gateway       *Gateway
	results       <-chan attemptResult
	count         int
	failureNumber uint64 // the number of the request's record; 0: it did not fail
	attemptID     string
	arrivedAt     time.Time
	deadline      time.Time
}

// discard waits for the attempts' ends, and completes the record of the request's failure where there is one.
func (p pendingAttempts) discard() {
	for range p.count {
		end := <-p.results
		end.Discard()
		if p.failureNumber != 0 {
			p.gateway.completeFailure(p.failureNumber, p.attemptID, newAttemptRecord(end, p.arrivedAt, p.deadline))
		}
	}
}
