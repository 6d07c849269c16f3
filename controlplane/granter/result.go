package granter

import (
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// HandleResult records the result of a call. It reports whether the result may lead to a change of the table, so that Step is worth calling
// before the next tick.
func (g *Granter) HandleResult(now time.Duration, result ownership.CallResult) (urgent bool) {
	call, ok := g.calls[result.ID]
	if !ok {
		return false
	}
	delete(g.calls, result.ID)
	service := g.services[call.Service]
	if service == nil {
		return false // the call was made in a former tenure; leaseEnd waits for the leases of those
	}
	g.recordReachability(now, call, result.Outcome)
	if call.Kind == ownership.CallRelease {
		return recordRelease(now, service, call, result)
	}
	return g.recordGrant(now, service, call, result)
}

// recordReachability updates the state of the called replica.
func (g *Granter) recordReachability(now time.Duration, call ownership.Call, outcome ownership.CallOutcome) {
	replica := g.replica(call.Replica)
	if call.Kind == ownership.CallGrant {
		replica.grantsInFlight = max(replica.grantsInFlight-1, 0)
	}
	switch outcome {
	case ownership.CallAccepted, ownership.CallFenced, ownership.CallRejected:
		replica.failures = 0
	case ownership.CallMisdirected:
		replica.misdirected = true
	case ownership.CallNotSent, ownership.CallUnanswered:
		if replica.failures == 0 {
			replica.failingSince = now
		}
		replica.failures++
		replica.retryAt = now + retryInterval
	}
}

// mayHaveArrived reports whether a replica may have received a call that ended with an outcome.
func mayHaveArrived(outcome ownership.CallOutcome) bool {
	return outcome != ownership.CallNotSent && outcome != ownership.CallNotTried
}

// recordGrant records the result of a grant call.
func (g *Granter) recordGrant(now time.Duration, service *serviceState, call ownership.Call, result ownership.CallResult) (urgent bool) {
	if mayHaveArrived(result.Outcome) {
		service.leases.recordArrival(now, call.From, call.To)
	}
	state := service.grants[grantID{call.From, call.Token}]
	if state == nil {
		return false
	}
	state.inFlight = false
	switch result.Outcome {
	case ownership.CallAccepted:
		state.accepted = true
		state.renewAt = now + g.renewalInterval()
	case ownership.CallFenced:
		state.fenced = true
		return true
	default:
		state.renewAt = now + retryInterval
	}
	return false
}

// recordRelease records the result of a release call for all ranges that it covered.
func recordRelease(now time.Duration, service *serviceState, call ownership.Call, result ownership.CallResult) (urgent bool) {
	for id, state := range service.releases {
		covered := call.From <= id.from && id.from <= call.To && id.token <= call.Token && state.owner == call.Replica
		if !covered || !state.inFlight {
			continue
		}
		state.inFlight = false
		if result.Outcome == ownership.CallAccepted {
			state.released = true
			state.handover = result.Handover
			urgent = true
			continue
		}
		state.retryAt = now + retryInterval
	}
	return urgent
}
