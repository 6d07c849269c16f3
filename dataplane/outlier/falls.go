// Package outlier tells all foragers of a replica that broke under one of them, so that not each must find out by a
// request of its own, and has one that comes and goes earn its way back slower each time. It is free of I/O.
package outlier

import (
	"maps"
	"slices"
	"time"
)

const (
	baseEjectionTime  = 800 * time.Millisecond // a replica that fell is left for so long, twice as long each further time
	maxEjectionTime   = 8 * time.Second
	ejectionMemory    = 20 * time.Second // without a fall, the next one counts as the first
	observationWindow = time.Second      // words of several foragers within this are of one fall
	minObservers      = 2                // foragers that must tell of a broken connection; a refused call tells enough by itself
	maxEjectedShare   = 0.4              // part of a service's replicas that may be out by hearsay
)

// Observation is what a forager tells.
type Observation struct {
	Replica           string `cbor:"1,keyasint"`
	ConnectionRefused bool   `cbor:"2,keyasint,omitempty"` // nobody listens there: proof, unless the forager's own link is at fault
}

// Ejection is told to foragers: a replica is the last choice for so long.
type Ejection struct {
	Replica      string `cbor:"1,keyasint"`
	Milliseconds int64  `cbor:"2,keyasint"`
}

type ejectionState struct {
	observers     map[string]bool // foragers that told of the fall at hand
	observedSince time.Duration
	ejections     int
	ejectedUntil  time.Duration
	lastEjectedAt time.Duration
}

// Detector is one comb's part.
type Detector struct{ replicas map[string]*ejectionState }

// New makes one.
func New() *Detector { return &Detector{replicas: map[string]*ejectionState{}} }

// Observe takes a forager's word. Peers are the replicas of the same service that are in use. It returns what all are to
// be told, if anything.
func (d *Detector) Observe(now time.Duration, gateway string, observation Observation, peers []string) (Ejection, bool) {
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
		return Ejection{}, false
	}
	ejected := 0
	for _, id := range peers {
		if peer := d.replicas[id]; peer != nil && now < peer.ejectedUntil {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(peers)) {
		return Ejection{}, false // where many fall the fault may lie elsewhere, and somebody must serve
	}
	if now-state.lastEjectedAt > ejectionMemory {
		state.ejections = 0
	}
	duration := min(baseEjectionTime<<min(state.ejections, 10), maxEjectionTime)
	state.ejections++
	state.lastEjectedAt, state.ejectedUntil = now, now+duration
	return Ejection{observation.Replica, duration.Milliseconds()}, true
}

// RecordRemote takes another comb's word, so that the next fall counts on from it.
func (d *Detector) RecordRemote(now time.Duration, ejection Ejection) {
	state := d.replicas[ejection.Replica]
	if state == nil {
		state = &ejectionState{observers: map[string]bool{}}
		d.replicas[ejection.Replica] = state
	}
	state.ejectedUntil, state.lastEjectedAt = max(state.ejectedUntil, now+time.Duration(ejection.Milliseconds)*time.Millisecond), now
	state.ejections++
}

// Expire drops what is long past.
func (d *Detector) Expire(now time.Duration) {
	for _, id := range slices.Collect(maps.Keys(d.replicas)) {
		if state := d.replicas[id]; now-max(state.lastEjectedAt, state.observedSince) > 2*ejectionMemory {
			delete(d.replicas, id)
		}
	}
}
