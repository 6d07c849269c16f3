// Package outlier implements outlier detection across all gateways: when a gateway observes a failing replica, the control plane
// ejects it at all gateways, so that the others need not detect the failure with requests of their own. The ejection time doubles
// with each repeated ejection. The package performs no I/O; callers pass in the time.
package outlier

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

const (
	baseEjectionTime     = 800 * time.Millisecond // doubled by each repeated ejection
	maxEjectionTime      = 8 * time.Second
	maxEjectionDoublings = 10
	ejectionResetTime    = 20 * time.Second // without an ejection, after which the ejection time starts over
	observationWindow    = time.Second      // within which observations count as one failure
	minObservers         = 2                // gateways that must observe a broken connection; one suffices for a refused one
	maxEjectedShare      = 0.4              // of a service's replicas
	expiryResetTimes     = 2                // multiple of ejectionResetTime after which a replica's state is removed
)

// ejectionState is the failure and ejection history of one replica.
type ejectionState struct {
	observers     map[string]bool // gateways that observed the current failure
	observedSince time.Duration   // when the current failure was first observed
	ejections     int             // number of successive ejections
	ejectedUntil  time.Duration
	lastEjectedAt time.Duration
}

// Detector decides ejections at one control-plane member. It is not safe for concurrent use.
type Detector struct{ replicas map[string]*ejectionState }

// New creates a detector without recorded failures.
func New() *Detector { return &Detector{replicas: map[string]*ejectionState{}} }

// Observe records a gateway's observation of a failing replica. peers are all active replicas of the same service, including
// this one. If the observation causes an ejection, it returns the ejection and true.
func (d *Detector) Observe(now time.Duration, gateway string, observation fleet.Observation, peers []string) (ejection fleet.Ejection, ok bool) {
	state := d.replicas[observation.Replica]
	if state == nil {
		state = &ejectionState{observers: map[string]bool{}, lastEjectedAt: -ejectionResetTime}
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
	// Many failing replicas may have another common cause, and some replicas must remain.
	if float64(d.ejectedAmong(now, peers)+1) > maxEjectedShare*float64(len(peers)) {
		return fleet.Ejection{}, false
	}
	duration := state.eject(now)
	return fleet.Ejection{Replica: observation.Replica, Milliseconds: duration.Milliseconds()}, true
}

// ejectedAmong returns the number of ejected replicas among those given.
func (d *Detector) ejectedAmong(now time.Duration, replicas []string) (ejected int) {
	for _, id := range replicas {
		if state := d.replicas[id]; state != nil && now < state.ejectedUntil {
			ejected++
		}
	}
	return ejected
}

// eject ejects the replica and returns the ejection time.
func (s *ejectionState) eject(now time.Duration) time.Duration {
	if now-s.lastEjectedAt > ejectionResetTime {
		s.ejections = 0
	}
	duration := min(baseEjectionTime<<min(s.ejections, maxEjectionDoublings), maxEjectionTime)
	s.ejections++
	s.lastEjectedAt, s.ejectedUntil = now, now+duration
	return duration
}

// RecordRemote records an ejection by another member, so that a following ejection lasts longer.
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

// Expire removes the state of replicas without recent failures.
func (d *Detector) Expire(now time.Duration) {
	for _, id := range slices.Collect(maps.Keys(d.replicas)) {
		if state := d.replicas[id]; now-max(state.lastEjectedAt, state.observedSince) > expiryResetTimes*ejectionResetTime {
			delete(d.replicas, id)
		}
	}
}
