// Package outlier is outlier detection over all gateways: where one gateway sees a replica fail, the control plane ejects it
// for all of them, so that not each must find out by a request of its own. A replica that comes and goes is ejected for
// longer each time. The package is free of I/O; the time is a parameter.
package outlier

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

const (
	baseEjectionTime   = 800 * time.Millisecond // of the first ejection; each further one doubles it
	maxEjectionTime    = 8 * time.Second
	maxEjectionDoubles = 10
	ejectionMemory     = 20 * time.Second // without an ejection, the next one counts as the first
	observationWindow  = time.Second      // observations of several gateways within this are of one failure
	minObservers       = 2                // gateways that must see a broken connection; a refused one is enough by itself
	maxEjectedShare    = 0.4              // of a service's replicas that may be ejected at once
	expiryMemories     = 2                // ejection memories until a replica is forgotten
)

// ejectionState is what is known of one replica.
type ejectionState struct {
	observers     map[string]bool // gateways that saw the failure at hand
	observedSince time.Duration   // when the failure at hand was first seen
	ejections     int             // within ejectionMemory of one another
	ejectedUntil  time.Duration
	lastEjectedAt time.Duration
}

// Detector is the part of one control-plane member. It is not safe for concurrent use.
type Detector struct{ replicas map[string]*ejectionState }

// New makes a detector that knows of no failure.
func New() *Detector { return &Detector{replicas: map[string]*ejectionState{}} }

// Observe takes in what a gateway saw. peers are the replicas of the same service that are in use, this one included. It
// returns the ejection that all gateways are to hear of; not ok: none.
func (d *Detector) Observe(now time.Duration, gateway string, observation fleet.Observation, peers []string) (ejection fleet.Ejection, ok bool) {
	state := d.replicas[observation.Replica]
	if state == nil {
		state = &ejectionState{observers: map[string]bool{}, lastEjectedAt: -ejectionMemory}
		d.replicas[observation.Replica] = state
	}
	if now-state.observedSince > observationWindow {
		state.observedSince = now
		clear(state.observers)
	}
	state.observers[gateway] = true
	if now < state.ejectedUntil || !observation.ConnectionRefused && len(state.observers) < minObservers {
		return fleet.Ejection{}, false
	}
	// Where many replicas fail the cause may be elsewhere, and somebody must serve.
	if float64(d.ejectedAmong(now, peers)+1) > maxEjectedShare*float64(len(peers)) {
		return fleet.Ejection{}, false
	}
	duration := state.eject(now)
	return fleet.Ejection{Replica: observation.Replica, Milliseconds: duration.Milliseconds()}, true
}

// ejectedAmong counts the replicas that are ejected.
func (d *Detector) ejectedAmong(now time.Duration, replicas []string) (ejected int) {
	for _, id := range replicas {
		if state := d.replicas[id]; state != nil && now < state.ejectedUntil {
			ejected++
		}
	}
	return ejected
}

// eject ejects the replica and returns for how long.
func (s *ejectionState) eject(now time.Duration) time.Duration {
	if now-s.lastEjectedAt > ejectionMemory {
		s.ejections = 0
	}
	duration := min(baseEjectionTime<<min(s.ejections, maxEjectionDoubles), maxEjectionTime)
	s.ejections++
	s.lastEjectedAt, s.ejectedUntil = now, now+duration
	return duration
}

// RecordRemote takes in another member's ejection, so that the next one counts on from it.
func (d *Detector) RecordRemote(now time.Duration, ejection fleet.Ejection) {
	state := d.replicas[ejection.Replica]
	if state == nil {
		state = &ejectionState{observers: map[string]bool{}}
		d.replicas[ejection.Replica] = state
	}
	state.ejectedUntil = max(state.ejectedUntil, now+time.Duration(ejection.Milliseconds)*time.Millisecond)
	state.lastEjectedAt = now
	state.ejections++
}

// Expire forgets replicas that have not failed for long.
func (d *Detector) Expire(now time.Duration) {
	for _, id := range slices.Collect(maps.Keys(d.replicas)) {
		if state := d.replicas[id]; now-max(state.lastEjectedAt, state.observedSince) > expiryMemories*ejectionMemory {
			delete(d.replicas, id)
		}
	}
}
