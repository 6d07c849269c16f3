package simulation

import (
	"fmt"
	"time"

	"zincloft.example/zincloft/dataplane/overflow"
)

const (
	orderShare          = 0.25 // share of requests that are orders; the others are lookups
	siteLatencyTarget   = 800 * time.Millisecond
	clientDeadline      = 3 * time.Second
	clientRetryMargin   = 300 * time.Millisecond // a client stops retrying this long before its deadline
	minClientRetryDelay = 200                    // milliseconds
	clientRetryJitter   = 300                    // milliseconds, added to minClientRetryDelay, exclusive bound
	duplicateOneIn      = 50                     // forwarded requests are duplicated, in scenarios with faults
	maxDuplicateDelay   = 2500                   // milliseconds
)

// siteRequest is a client request including retries.
type siteRequest struct {
	id         int
	isOrder    bool // must not be executed twice
	home       int  // site that the client calls
	arrivedAt  time.Duration
	attempts   int
	executions int
	answered   bool
	uncertain  bool // was forwarded without a reply, so the outcome is unknown
}

// scheduleArrival schedules the next client request at a site, which in turn schedules the one after it.
func (o *overflowSimulation) scheduleArrival(s *site) {
	o.after(time.Duration(o.random.ExpFloat64()/s.rate*float64(time.Second)), func() {
		request := &siteRequest{id: len(o.requests), isOrder: o.random.Float64() < orderShare, home: s.index, arrivedAt: o.now}
		o.requests = append(o.requests, request)
		o.attempt(s, request)
		o.scheduleArrival(s)
	})
}

// attempt makes one attempt of a client: the site admits the request, forwards it or rejects it.
func (o *overflowSimulation) attempt(s *site, request *siteRequest) {
	request.attempts++
	if o.history != nil {
		o.history.add(entryOverflow, o.now, s.index, request.id, request.attempts, s.up, len(s.queue))
	}
	retry := func() { o.retry(s, request) }
	if !s.up {
		retry()
		return
	}
	wait := time.Duration(len(s.queue)) * siteServiceTime / time.Duration(s.slots)
	if s.running < s.slots || siteServiceTime+wait < siteLatencyTarget/2 {
		o.admit(s, request, false, func() {})
		return
	}
	if o.now-request.arrivedAt > clientDeadline/2 {
		s.rejected++
		retry()
		return
	}
	if destination, token, ok := o.chooseDestination(s, request); ok {
		s.forwarded++
		o.result.ForwardedRequests++
		o.forward(s, destination, request, token, retry)
		return
	}
	s.rejected++
	retry()
}

// retry schedules another attempt if the client's deadline permits.
func (o *overflowSimulation) retry(s *site, request *siteRequest) {
	if o.now-request.arrivedAt < clientDeadline-clientRetryMargin {
		o.after(o.milliseconds(minClientRetryDelay, clientRetryJitter), func() { o.attempt(s, request) })
	}
}

// chooseDestination returns the site to which a request is forwarded, if any.
func (o *overflowSimulation) chooseDestination(s *site, request *siteRequest) (destination int, token overflow.Token, ok bool) {
	switch o.scenario.Strategy {
	case LeaseOverflow:
		token, ok = s.borrowed.Spend(o.now, overflowService, !request.isOrder)
		if !ok {
			return 0, token, false
		}
		return parseSite(token.Addr), token, true
	case RandomOverflow:
		destination = o.random.IntN(o.scenario.Sites)
		return destination, overflow.Token{Serial: fmt.Sprint(request.id, request.attempts)}, destination != s.index
	case OracleOverflow:
		for _, other := range o.sites {
			if other != s && other.up && other.hasSpareSlots() {
				return other.index, overflow.Token{}, true
			}
		}
	}
	return 0, overflow.Token{}, false
}

// forward sends a request to another site. If the home site receives no reply, the outcome is uncertain: a lookup is
// retried, an order is not.
func (o *overflowSimulation) forward(home *site, destination int, request *siteRequest, token overflow.Token, retry func()) {
	target, incarnation, replied := o.sites[destination], home.incarnation, false
	reply := func(receive func()) {
		o.send(destination, home.index, func() {
			if home.up && home.incarnation == incarnation && !replied {
				replied = true
				receive()
			}
		})
	}
	if o.scenario.WithFaults && o.random.IntN(duplicateOneIn) == 0 { // delayed duplicate
		o.send(home.index, destination, func() {
			o.after(o.milliseconds(0, maxDuplicateDelay), func() { o.receiveForwarded(target, request, token, func(func()) {}, func() {}) })
		})
	}
	o.send(home.index, destination, func() { o.receiveForwarded(target, request, token, reply, retry) })
	o.after(clientDeadline/2, func() {
		if replied || !home.up || home.incarnation != incarnation {
			return
		}
		replied = true
		if request.isOrder {
			request.uncertain = true
		} else {
			retry()
		}
	})
}

// receiveForwarded has a site admit a forwarded request, or reply that it was not executed.
func (o *overflowSimulation) receiveForwarded(target *site, request *siteRequest, token overflow.Token, reply func(func()), retry func()) {
	if !target.up {
		return
	}
	if o.scenario.Strategy == LeaseOverflow {
		switch target.lent.Admit(o.now, token, overflowService) {
		case overflow.NotExecuted:
			reply(retry)
			return
		case overflow.Duplicate:
			return
		}
	}
	limit := target.usableSlots() // reserves slots for the site's own clients
	if o.scenario.Strategy == RandomOverflow {
		limit = target.slots
	}
	if target.running >= limit {
		reply(retry)
		return
	}
	o.admit(target, request, true, func() {
		reply(func() {
			if !request.answered {
				request.answered = true
				o.result.ForwardedLatencies = append(o.result.ForwardedLatencies, o.now-request.arrivedAt)
			}
		})
	})
}

// admit executes a request at a site, or queues it if all slots are in use.
func (o *overflowSimulation) admit(s *site, request *siteRequest, forwarded bool, ended func()) {
	if s.running >= s.slots {
		s.queue = append(s.queue, request)
		return
	}
	s.running++
	s.served++
	request.executions++
	if o.history != nil {
		o.history.add(entryOverflow, o.now, s.index, request.id, request.attempts, forwarded, s.running)
	}
	incarnation := s.incarnation
	if forwarded {
		o.result.UsedSlotSeconds += siteServiceTime.Seconds()
	}
	o.after(time.Duration(float64(siteServiceTime)*(0.7+0.6*o.random.Float64())), func() {
		if s.incarnation != incarnation || !s.up {
			return // the site stopped; the client runs into its deadline
		}
		s.running--
		if !forwarded && !request.answered {
			request.answered = true
			if !s.overloaded {
				o.result.LocalLatencies = append(o.result.LocalLatencies, o.now-request.arrivedAt)
			}
		}
		ended()
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			o.admit(s, next, false, func() {})
		}
	})
}
