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

// forwarding is the state of one client request across its attempts. It is owned by the request's goroutine; attempts run
// in goroutines of their own and send to results.
type forwarding struct {
	gateway  *Gateway
	route    gatewayconfig.Route
	service  string
	outcomes *outcomeCounters // of the service

	sharded    bool   // only the owner of the shard key can serve the request
	key        uint16 // shard key; valid if sharded is set
	ownerToken uint64 // of the key's range at the last pick; 0 if there was none

	request   replica.Request    // template of each attempt, without InstanceID
	attempted []string           // endpoints tried so far
	results   chan attemptResult // buffered for all attempts, so that no send blocks
	pending   int                // attempts without a result

	notOwnerAnswers int // attempts at replicas that did not hold the shard key

	progress    retry.State
	attemptTime time.Duration // total duration of the ended attempts and of waits for an owner

	arrivedAt      time.Time
	configVersion  uint64
	failedAttempts []attemptResult // attempts without a successful response, for the failure record
	reason         string          // why no further attempt was made
	retryAfter     time.Duration   // sent if the request ends unexecuted after its attempts
	recordedIn     *failureLog     // that has the record of this request; nil if it neither failed nor was slow
	recordNumber   uint64          // of that record

	// strongest is the outcome with the highest Execution so far: a later attempt that was not executed proves nothing about
	// an earlier one.
	strongest replica.Outcome
}

// decision is the next step after an attempt has ended.
type decision int

const (
	waitForPending decision = iota // wait for pending attempts, or finish if there are none
	returnResponse                 // return the attempt's response to the client
	retryRequest                   // start another attempt
	abortClient                    // close the connection of a client that has disconnected
)

// forward makes attempts at replicas until one returns a response or no retry is allowed.
//
// An idempotent request without a response after the hedge delay is sent to a second replica, in case the first one hangs
// or its response was lost. The first response wins; the other attempt is canceled by closing its connection. A request with a
// shard key is not hedged, as only the owner of the key can serve it.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, request clientRequest) {
	f := newForwarding(g, r, request)
	if rejected := f.readShardKey(r); rejected.isRejection() {
		f.reject(w, r, rejected)
		return
	}
	var hedge <-chan time.Time
	if f.route.Idempotent { // canceled when the client disconnects; other requests run to completion
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		f.request.Cancel = ctx
		if delay, ok := retry.HedgeDelay(f.route.LatencyTarget, f.timeLeft()); ok && f.route.MaxAttempts > 1 && !f.sharded {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			hedge = timer.C
		}
	}
	g.startRequest(f.service)
	f.countKey()
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
		case result := <-f.results:
			f.recordResult(result)
			switch f.decide(r.Context(), result.Outcome) {
			case returnResponse:
				answeredAfter := time.Since(f.arrivedAt)
				f.writeReplicaResponse(w, r, result.Response)
				f.recordIfSlow(result, answeredAfter)
				return
			case retryRequest:
				f.retry(r.Context(), result)
			case abortClient:
				f.gateway.metrics.failed.Inc()
				f.outcomes.failed.Inc()
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
	sharded := request.config.Services[service].Sharded
	return forwarding{
		gateway:  g,
		route:    route,
		service:  service,
		outcomes: g.metrics.services.of(service),
		sharded:  sharded,
		request: replica.Request{
			Method:          r.Method,
			URI:             request.target,
			Host:            r.Host,
			Header:          replica.EndToEndHeaders(r.Header),
			Body:            request.body,
			AttemptID:       r.Header.Get("X-Attempt-Id"),
			Deadline:        request.deadline,
			Service:         service,
			Sharded:         sharded,
			WaitForDeadline: !route.Idempotent,
		},
		results:       make(chan attemptResult, route.MaxAttempts+retry.MaxConnectFailures+1),
		progress:      retry.State{Idempotent: route.Idempotent, MaxAttempts: route.MaxAttempts, LatencyTarget: route.LatencyTarget},
		retryAfter:    defaultRetryAfter,
		strongest:     replica.Outcome{Execution: retry.NotExecuted},
		arrivedAt:     request.arrivedAt,
		configVersion: request.config.Version,
	}
}

func (f *forwarding) timeLeft() time.Duration { return time.Until(f.request.Deadline) }

// firstAttempt starts the first attempt. It returns a rejection if the client has disconnected, too little time is left, or
// no endpoint is available.
func (f *forwarding) firstAttempt(client context.Context) rejection {
	if client.Err() != nil {
		return rejection{aborts: true, counter: countClientGone}
	}
	if !retry.EnoughTime(f.timeLeft(), f.route.LatencyTarget) {
		return rejection{status: http.StatusServiceUnavailable, counter: countDeadlineTooClose, retryAfter: defaultRetryAfter}
	}
	picked := f.awaitEndpoint(client)
	if f.startAttempt(picked) {
		return rejection{}
	}
	if picked.OwnerPending {
		return f.ownerPendingRejection(client, picked)
	}
	rejected := rejection{status: http.StatusServiceUnavailable, counter: countOverloaded, retryAfter: picked.RetryAfter}
	if picked.NoEndpointKnown {
		rejected.counter = countNoEndpoint
	}
	return rejected
}

// pickEndpoint picks an endpoint that has not been tried, with free slots if onlyIdle is set. The owner of a shard key is picked
// even if it has been tried.
func (f *forwarding) pickEndpoint(onlyIdle bool) pickedEndpoint {
	return f.gateway.pick(router.PickRequest{
		Service:   f.service,
		Attempted: f.attempted,
		OnlyIdle:  onlyIdle,
		Sharded:   f.sharded,
		Key:       f.key,
		Admission: admission.Request{
			Route:         f.route.Name,
			LatencyTarget: f.route.LatencyTarget,
			Priority:      f.route.Priority,
			TimeLeft:      f.timeLeft(),
		},
	})
}

// startAttempt sends the request to the chosen endpoint in a new goroutine. It returns false if no endpoint was chosen.
func (f *forwarding) startAttempt(picked pickedEndpoint) bool {
	if picked.EndpointID == "" {
		return false
	}
	f.checkBeforeAttempt()
	f.attempted = append(f.attempted, picked.EndpointID)
	f.pending++
	f.progress.Attempts++
	request := f.request
	request.InstanceID = picked.EndpointID
	go f.gateway.runAttempt(picked, &request, f.results)
	return true
}

// retry starts another attempt after one that has ended with the given result.
func (f *forwarding) retry(client context.Context, last attemptResult) {
	if last.NotOwner {
		f.pauseAfterNotOwner(client, last.picked)
	}
	if client.Err() != nil {
		f.reason = string(countClientGone)
		return
	}
	picked := f.awaitEndpoint(client)
	switch {
	case f.startAttempt(picked):
	case client.Err() != nil: // it left during the wait
		f.reason = string(countClientGone)
	case picked.OwnerPending:
		f.reason = string(countOwnerPending)
		f.retryAfter = ownerRetryAfterOf(picked)
	default:
		f.reason = reasonNoEndpoint
	}
}

// startHedge starts a second concurrent attempt if the attempt limit, the retry budget and an idle endpoint allow it.
func (f *forwarding) startHedge() {
	if f.progress.Attempts < f.progress.MaxAttempts && f.pending == 1 && f.gateway.tryRetry(f.service) {
		if f.startAttempt(f.pickEndpoint(true)) {
			f.gateway.count(countHedged)
		}
	}
}

// recordResult updates the request's state with an attempt's result and discards the response that is no longer needed.
func (f *forwarding) recordResult(result attemptResult) {
	f.pending--
	f.attemptTime += result.latency
	if result.NotSent {
		f.progress.Attempts--
		f.progress.ConnectFailures++
	}
	f.progress.TimeLeft = f.timeLeft()
	f.progress.ServerError = result.Response != nil && result.Response.Status >= http.StatusInternalServerError
	if result.Execution != retry.Answered || f.progress.ServerError {
		f.failedAttempts = append(f.failedAttempts, result)
	}
	discarded := result.Outcome
	if result.Execution >= f.strongest.Execution {
		f.strongest, discarded = result.Outcome, f.strongest
	}
	discarded.Discard()
}

// decide returns the next step after the outcome that was recorded last. The retry budget is checked last, as the check
// consumes a retry.
func (f *forwarding) decide(client context.Context, outcome replica.Outcome) decision {
	if outcome.Execution == retry.Answered && !f.progress.ServerError {
		return returnResponse
	}
	if client.Err() != nil {
		f.reason = string(countClientGone)
		if f.route.Idempotent {
			return abortClient
		}
		return waitForPending // no retry, as the client has disconnected
	}
	refusal := retry.RefusalOf(outcome.Execution, f.progress)
	f.reason = string(refusal)
	if outcome.NotOwner && refusal == retry.RefusedAttempts {
		f.reason = reasonNotOwner
	}
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

// writeReplicaResponse returns a replica's response to the client. It aborts the client's connection if the response turns
// out truncated.
func (f *forwarding) writeReplicaResponse(w http.ResponseWriter, r *http.Request, response *replica.Response) {
	f.checkResponse(response)
	if err := writeResponse(w, r, response); err != nil {
		f.reason = string(replica.CauseTruncated)
		f.gateway.metrics.failed.Inc()
		f.outcomes.failed.Inc()
		f.recordFailure(0, endedByReplica)
		panic(http.ErrAbortHandler)
	}
	f.gateway.metrics.answered.Inc()
	f.outcomes.answered.Inc()
}

// finish answers a request whose attempts have all ended without a successful response.
func (f *forwarding) finish(w http.ResponseWriter, r *http.Request) {
	if f.strongest.Execution == retry.Answered {
		f.recordFailure(f.strongest.Response.Status, endedByReplica)
		f.writeReplicaResponse(w, r, f.strongest.Response)
		return
	}
	status := retry.FinalStatus(f.strongest.Execution, f.strongest.DeadlineExceeded)
	if status == http.StatusServiceUnavailable {
		f.reject(w, r, rejection{status: status, retryAfter: f.retryAfter})
		return
	}
	f.gateway.metrics.failed.Inc()
	f.outcomes.failed.Inc()
	f.gateway.count(countFinalPrefix + counter(strconv.Itoa(status)))
	f.recordFailure(status, f.endedBy(r))
	writeEmptyResponse(w, status)
}

// discardResponses discards responses that are not returned, including those of pending attempts.
func (f *forwarding) discardResponses() {
	f.strongest.Discard()
	if f.pending > 0 {
		go pendingAttempts{f.gateway, f.results, f.pending, f.recordedIn, f.recordNumber, f.request.AttemptID, f.arrivedAt, f.request.Deadline}.discard()
	}
}

// pendingAttempts are attempts that outlast their request, with copies of the request data they need.
type pendingAttempts struct {
	gateway      *Gateway
	results      <-chan attemptResult
	count        int
	recordedIn   *failureLog // that has the record of the request; nil if there is none
	recordNumber uint64
	attemptID    string
	arrivedAt    time.Time
	deadline     time.Time
}

// discard waits for the attempts to end, discards their responses and completes the request's record.
func (p pendingAttempts) discard() {
	for range p.count {
		result := <-p.results
		result.Discard()
		switch p.recordedIn {
		case nil:
		case &p.gateway.failures:
			p.gateway.completeFailure(p.recordNumber, p.attemptID, newAttemptRecord(result, p.arrivedAt, p.deadline))
		default:
			p.recordedIn.complete(p.recordNumber, newAttemptRecord(result, p.arrivedAt, p.deadline))
		}
	}
}
