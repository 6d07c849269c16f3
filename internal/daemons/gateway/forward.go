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

	request   replica.Request // of each attempt, but for the instance
	attempted []string        // endpoints that an attempt was made at
	ends      chan attemptEnd // has room for every attempt, so that none blocks on a request that is over
	pending   int             // attempts that have not ended

	progress   retry.State
	atReplicas time.Duration // the time of the ended attempts, summed

	arrivedAt     time.Time
	configVersion uint64
	failedEnds    []attemptEnd // attempts that ended without a response to pass on, to explain the request if it fails
	reason        string       // why no further attempt was made
	failure       uint64       // the number of the record of this request's failure; 0: there is none

	// strongest is the outcome so far that says most about execution: that a later attempt was not executed says nothing
	// of an earlier one.
	strongest replica.Outcome
}

// decision is what follows from an attempt's end.
type decision int

const (
	awaitPending    decision = iota // wait for the attempts still pending; without any the request is over
	passResponse                    // pass the attempt's response on
	attemptAgain                    // make another attempt
	abortConnection                 // end the client's connection: nobody waits for a response
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
	defer func() { g.endRequest(f.route.Idempotent, time.Since(startedAt), f.atReplicas) }()
	defer f.discard()
	if rejected := f.firstAttempt(r.Context()); rejected.isRejection() {
		f.reject(w, r, rejected)
		return
	}
	for f.pending > 0 {
		select {
		case <-hedge:
			hedge = nil
			f.hedge()
		case end := <-f.ends:
			f.record(end)
			switch f.decide(r.Context(), end.Outcome) {
			case passResponse:
				f.pass(w, r, end.Response)
				return
			case attemptAgain:
				if !f.attempt(f.choose(false)) {
					f.reason = reasonNoEndpoint
				}
			case abortConnection:
				f.gateway.figures.failed.Inc()
				f.fail(0, endedByClient)
				panic(http.ErrAbortHandler)
			case awaitPending:
			}
		}
	}
	f.answer(w, r)
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
		ends:          make(chan attemptEnd, route.MaxAttempts+retry.MaxConnectFailures+1),
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
	choice := f.choose(false)
	if f.attempt(choice) {
		return rejection{}
	}
	rejected := rejection{status: http.StatusServiceUnavailable, counter: countOverloaded, retryAfter: choice.RetryAfter}
	if choice.NoEndpointKnown {
		rejected.counter = countNoEndpoint
	}
	return rejected
}

// choose picks an endpoint that the request has not been at; where onlyIdle is set, one with free slots.
func (f *forwarding) choose(onlyIdle bool) pickedEndpoint {
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

// attempt sends the request to the chosen endpoint, on a goroutine of its own. It tells whether there was one.
func (f *forwarding) attempt(choice pickedEndpoint) bool {
	if choice.EndpointID == "" {
		return false
	}
	f.checkBeforeAttempt()
	f.attempted = append(f.attempted, choice.EndpointID)
	f.pending++
	f.progress.Attempts++
	request := f.request
	request.InstanceID = choice.EndpointID
	go f.gateway.runAttempt(choice, &request, f.ends)
	return true
}

// hedge makes a second attempt beside the only pending one, where the retry budget and an idle endpoint allow it.
func (f *forwarding) hedge() {
	if f.progress.Attempts < f.progress.MaxAttempts && f.pending == 1 && f.gateway.tryRetry(f.service) {
		if f.attempt(f.choose(true)) {
			f.gateway.count(countHedged)
		}
	}
}

// record takes an attempt's end in, and lets go of the response that does not matter any more.
func (f *forwarding) record(end attemptEnd) {
	f.pending--
	f.atReplicas += end.latency
	if end.NotSent {
		f.progress.Attempts--
		f.progress.ConnectFailures++
	}
	f.progress.TimeLeft = f.timeLeft()
	f.progress.ServerError = end.Response != nil && end.Response.Status >= http.StatusInternalServerError
	if end.Execution != retry.Answered || f.progress.ServerError {
		f.failedEnds = append(f.failedEnds, end)
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
		return passResponse
	}
	if client.Err() != nil {
		f.reason = string(countClientGone)
		if f.route.Idempotent {
			return abortConnection
		}
		return awaitPending // what has not been executed is not sent again, as nobody waits for it
	}
	refusal := retry.RefusalOf(outcome.Execution, f.progress)
	f.reason = string(refusal)
	if refusal != "" || f.pending > 0 {
		return awaitPending
	}
	if !outcome.NotSent && !f.gateway.tryRetry(f.service) {
		f.reason = string(countRetryBudgetExhausted)
		f.gateway.count(countRetryBudgetExhausted)
		return awaitPending
	}
	return attemptAgain
}

// pass passes a replica's response on. A long one whose rest fails to come ends the client's connection.
func (f *forwarding) pass(w http.ResponseWriter, r *http.Request, response *replica.Response) {
	f.checkResponse(response)
	if err := writeResponse(w, r, response); err != nil {
		f.reason = string(replica.CauseTruncated)
		f.gateway.figures.failed.Inc()
		f.fail(0, endedByReplica)
		panic(http.ErrAbortHandler)
	}
	f.gateway.figures.answered.Inc()
}

// answer ends a request whose attempts have all ended without a successful response.
func (f *forwarding) answer(w http.ResponseWriter, r *http.Request) {
	if f.strongest.Execution == retry.Answered {
		f.fail(f.strongest.Response.Status, endedByReplica)
		f.pass(w, r, f.strongest.Response)
		return
	}
	status := retry.FinalStatus(f.strongest.Execution, f.strongest.DeadlineExceeded)
	if status == http.StatusServiceUnavailable {
		f.reject(w, r, rejection{status: status, retryAfter: defaultRetryAfter})
		return
	}
	f.gateway.figures.failed.Inc()
	f.gateway.count(countFinalPrefix + counter(strconv.Itoa(status)))
	f.fail(status, f.endedBy(r))
	writeEmptyResponse(w, status)
}

// discard lets go of responses that are not passed on, also of those that pending attempts still bring.
func (f *forwarding) discard() {
	f.strongest.Discard()
	if f.pending > 0 {
		go pendingAttempts{f.gateway, f.ends, f.pending, f.failure, f.request.AttemptID, f.arrivedAt, f.request.Deadline}.discard()
	}
}

// pendingAttempts are attempts that outlast their request. They have a copy of what they need of it: a request without any costs nothing.
type pendingAttempts struct {
	gateway   *Gateway
	ends      <-chan attemptEnd
	count     int
	failure   uint64 // the number of the request's record; 0: it did not fail
	attemptID string
	arrivedAt time.Time
	deadline  time.Time
}

// discard waits for the attempts' ends, and completes the record of the request's failure where there is one.
func (p pendingAttempts) discard() {
	for range p.count {
		end := <-p.ends
		end.Discard()
		if p.failure != 0 {
			p.gateway.completeFailure(p.failure, p.attemptID, newAttemptRecord(end, p.arrivedAt, p.deadline))
		}
	}
}
