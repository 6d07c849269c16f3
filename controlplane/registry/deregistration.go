package registry

import "time"

// Evidence is the reason why an instance was deregistered, as used in logs and metrics.
type Evidence string

// Evidence for the deregistration of an instance.
const (
	EvidenceOwnCall       Evidence = "own_call"       // the instance deregistered itself
	EvidenceMisdirected   Evidence = "misdirected"    // another instance answered at its address, as a gateway reported
	EvidenceAddressReused Evidence = "address_reused" // another instance registered with its address
	EvidenceTimeout       Evidence = "timeout"        // no heartbeat for deregistrationTimeout
	EvidenceMerged        Evidence = "merged"         // another member, or a gateway's list of instances, states that it is deregistered
)

// AllEvidence lists the kinds of evidence.
var AllEvidence = []Evidence{EvidenceOwnCall, EvidenceMisdirected, EvidenceAddressReused, EvidenceTimeout, EvidenceMerged}

// Deregistration describes an instance that was deregistered.
type Deregistration struct {
	ID       string
	Service  string // empty if the instance was unknown
	Evidence Evidence
	By       string // the gateway that reported it, or the instance that has its address; empty for other evidence
}

// TakeDeregistrations returns the deregistrations since the last call, in order.
func (r *Registry) TakeDeregistrations() []Deregistration {
	taken := r.deregistrations
	r.deregistrations = nil
	return taken
}

// HasInstances reports whether any instance of a service is registered.
func (r *Registry) HasInstances(service string) bool {
	for _, known := range r.records {
		if known.Service == service && !known.Deregistered {
			return true
		}
	}
	return false
}

// markDeregistered deregisters an instance permanently.
func (r *Registry) markDeregistered(now time.Duration, known *record, evidence Evidence, by string) {
	known.Deregistered = true
	known.deregisteredAt = now
	r.markChanged(known)
	r.noteDeregistration(known, evidence, by)
}

func (r *Registry) noteDeregistration(known *record, evidence Evidence, by string) {
	r.deregistrations = append(r.deregistrations, Deregistration{ID: known.ID, Service: known.Service, Evidence: evidence, By: by})
}
