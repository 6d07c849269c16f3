package granter

import (
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// maxGrantsInFlight bounds the grant calls to one replica that have no result yet.
const maxGrantsInFlight = 64

// renewGrants calls the owners of granted ranges whose renewal is due.
func (g *Granter) renewGrants(now time.Duration, name string, service *serviceState, ranges []ownership.Range, pool *replicaPool, input Input, output *Output) {
	for _, r := range ranges {
		if r.Phase != ownership.PhaseGranted {
			continue
		}
		state := service.grants[grantID{r.From, r.Token}]
		address := pool.addresses[r.Owner]
		if state.inFlight || state.fenced || now < state.renewAt || address == "" || !g.mayGrant(now, r.Owner) {
			continue
		}
		state.inFlight = true
		g.replica(r.Owner).grantsInFlight++
		output.Calls = append(output.Calls, g.newCall(ownership.Call{
			Kind:     ownership.CallGrant,
			Service:  name,
			Replica:  r.Owner,
			Address:  address,
			From:     r.From,
			To:       r.To,
			Token:    r.Token,
			Hold:     g.lease,
			Handover: r.Handover,
			NotAfter: input.AuthorizedUntil,
			Timeout:  grantTimeout,
		}))
	}
}

// mayGrant reports whether a grant call to a replica may be started. A replica that does not respond is called with one grant at a time.
func (g *Granter) mayGrant(now time.Duration, id string) bool {
	replica := g.replica(id)
	if replica.misdirected {
		return false
	}
	if replica.failures > 0 {
		return replica.grantsInFlight == 0 && now >= replica.retryAt
	}
	return replica.grantsInFlight < maxGrantsInFlight
}

// newCall assigns an ID to a call and records it as being in flight.
func (g *Granter) newCall(call ownership.Call) ownership.Call {
	g.lastCallID++
	call.ID = g.lastCallID
	g.calls[call.ID] = call
	return call
}

// retokenFenced gives a new token to granted ranges whose token was refused.
func (g *Granter) retokenFenced(name string, service *serviceState, ranges []ownership.Range, changes *changes) {
	for _, r := range ranges {
		if r.Phase == ownership.PhaseGranted && service.grants[grantID{r.From, r.Token}].fenced {
			changes.retoken(name, r.From, r.To)
		}
	}
}
