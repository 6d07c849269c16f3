package registry

import (
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

const (
	// warmupEarlierThreshold is how much earlier than the known end of the warm-up a reported one must be to count as a change. Smaller
	// differences are heartbeat jitter.
	warmupEarlierThreshold = 400 * time.Millisecond

	// warmupLaterThreshold is how much later than the known end of the warm-up a reported one must be to count as a change: the instance
	// has become cold again.
	warmupLaterThreshold = 20 * time.Millisecond

	// warmupStateUnknownMergeInterval is how long after the warm-up state became unknown another member's report of an unknown state
	// is ignored, as that member may not have received the later heartbeat yet.
	warmupStateUnknownMergeInterval = 10 * time.Second

	// warmupStateUnknownGrace is how long after the warm-up state became unknown a heartbeat may still describe the previous state.
	warmupStateUnknownGrace = 50 * time.Millisecond

	// warmupStateUnknownSequenceGap is how much higher than warmupStateUnknownSequence the sequence of an indirect heartbeat must be
	// for it to clear the unknown state.
	warmupStateUnknownSequenceGap = 2
)

// instanceReport is a report about an instance by the replica itself, another member or a gateway.
type instanceReport struct {
	fleet.Instance
	receivedAt time.Duration
	direct     bool // sent by the replica to this process

	evidence Evidence // if Deregistered is set
	by       string   // see Deregistration.By
}

// sentAt returns when the replica sent the heartbeat that the report is based on, by the local clock.
func (r *instanceReport) sentAt() time.Duration { return r.receivedAt - r.HeartbeatAge() }

// warmupUntil returns when the instance will have warmed up, by the local clock.
func (r *instanceReport) warmupUntil() time.Duration { return r.receivedAt + r.Warmup() }

// Heartbeat applies a heartbeat that a replica sent to this process.
func (r *Registry) Heartbeat(now time.Duration, heartbeat fleet.Instance) Change {
	heartbeat.HeartbeatAgeMillis = 0
	heartbeat.WarmupStateUnknown = false
	heartbeat.Stale = false
	heartbeat.WarmupHeldMillis = 0
	change := r.apply(&instanceReport{Instance: heartbeat, receivedAt: now, direct: true})
	if known := r.records[heartbeat.ID]; known != nil {
		known.lastDirectHeartbeat = now
	}
	return change
}

// Deregister deregisters an instance, at its own request or because it is proven gone. It reports whether that is a change.
func (r *Registry) Deregister(now time.Duration, id string, evidence Evidence, by string) bool {
	report := &instanceReport{Instance: fleet.Instance{ID: id, Deregistered: true}, receivedAt: now, direct: true, evidence: evidence, by: by}
	return r.apply(report).Changed
}

// Merge applies reports from another member or a gateway.
func (r *Registry) Merge(now time.Duration, instances []fleet.Instance) Change {
	var total Change
	for _, instance := range instances {
		if instance.Addr == "" && !instance.Deregistered && r.records[instance.ID] == nil {
			continue // a heartbeat without endpoint data of an unknown instance
		}
		change := r.apply(&instanceReport{Instance: instance, receivedAt: now, evidence: EvidenceMerged})
		total.Changed = total.Changed || change.Changed
		total.Urgent = total.Urgent || change.Urgent
	}
	return total
}

// apply updates one instance from a report. The order of the steps matters: deregistration is final and comes first, and each step depends
// on the record as left by the previous ones.
func (r *Registry) apply(report *instanceReport) Change {
	report.HeartbeatTimedOut = false // each process decides that for itself
	known := r.records[report.ID]
	switch {
	case known == nil:
		return r.add(report)
	case known.Deregistered:
		return Change{}
	case report.Deregistered:
		r.markDeregistered(report.receivedAt, known, report.evidence, report.by)
		return Change{Changed: true, Urgent: true}
	}
	startedDraining := known.startDraining(report)
	held := r.holdWarmup(known, report)
	refreshed := known.replaceStale(report)
	advanced := report.Sequence > known.Sequence && r.advance(known, report)
	invariant.Check(invariant.DeregistrationFinal, known.Draining || !report.Draining, func() string { return known.ID + ": reported as draining, but not marked as draining in the registry" })
	change := Change{Changed: startedDraining || held || refreshed || advanced, Urgent: startedDraining}
	if change.Changed {
		r.markChanged(known)
	}
	return change
}

// add adds an unknown instance.
func (r *Registry) add(report *instanceReport) Change {
	added := &record{
		Instance:                   report.Instance,
		lastHeartbeat:              report.sentAt(),
		lastDirectHeartbeat:        neverReceived,
		warmupUntil:                report.warmupUntil(),
		warmupStateUnknownSince:    report.receivedAt,
		warmupStateUnknownSequence: report.Sequence,
		staleSince:                 neverReceived,
	}
	if report.Stale {
		added.staleSince = report.receivedAt
	}
	r.holdWarmup(added, report)
	if report.Deregistered {
		added.deregisteredAt = report.receivedAt
		if report.direct {
			r.noteDeregistration(added, report.evidence, report.by)
		}
	}
	r.records[report.ID] = added
	position, _ := slices.BinarySearch(r.sortedIDs, report.ID)
	r.sortedIDs = slices.Insert(r.sortedIDs, position, report.ID)
	r.markChanged(added)
	replaced := report.direct && r.replaceAtAddr(report.receivedAt, added)
	return Change{Changed: true, Urgent: report.Draining || report.Deregistered || replaced}
}

// replaceAtAddr deregisters any other instance at the address of a new one, and reports whether there was one. An address belongs to one
// instance at a time.
func (r *Registry) replaceAtAddr(now time.Duration, added *record) bool {
	replaced := false
	for _, id := range r.sortedIDs {
		other := r.records[id]
		if other != added && other.Addr == added.Addr && !other.Deregistered {
			r.markDeregistered(now, other, EvidenceAddressReused, added.ID)
			replaced = true
		}
	}
	return replaced
}

// startDraining marks an instance as draining and reports whether that is a change. It applies regardless of the sequence, as draining is
// never reverted.
func (r *record) startDraining(report *instanceReport) bool {
	if !report.Draining || r.Draining {
		return false
	}
	r.Draining = true
	return true
}

// replaceStale updates a stale record from a report that is not stale and based on the same or a later heartbeat, and reports whether it did.
// A member or gateway that reports the instance as not stale knows of the evacuations that this process may have missed. A replica's own
// heartbeat may have been sent before their end.
func (r *record) replaceStale(report *instanceReport) bool {
	if !r.Stale || report.Stale || report.Sequence < r.Sequence {
		return false
	}
	r.Stale = false
	if !report.direct {
		r.staleSince = neverReceived
	}
	r.warmupUntil = max(r.warmupUntil, report.warmupUntil())
	if report.WarmupStateUnknown {
		r.markWarmupStateUnknown(report.receivedAt, report.Sequence)
	}
	return true
}

// advance applies a report with a higher sequence, and reports whether anything other than the heartbeat has changed.
func (r *Registry) advance(known *record, report *instanceReport) bool {
	changed := known.mergeWarmupStateUnknown(report)
	known.Sequence = report.Sequence
	known.lastHeartbeat = max(known.lastHeartbeat, report.sentAt())
	if known.HeartbeatTimedOut && report.receivedAt-known.lastHeartbeat < r.heartbeatTimeout {
		known.HeartbeatTimedOut = false
		changed = true
	}
	if known.clearWarmupStateUnknown(report) {
		changed = true
	}
	if known.updateWarmup(report, r.warmupHeldUntil(known)) {
		changed = true
	}
	if known.updateEndpoint(report) {
		changed = true
	}
	return changed
}

// mergeWarmupStateUnknown adopts an unknown warm-up state from a report if this process missed the end of the zone's evacuation, and
// reports whether it did.
func (r *record) mergeWarmupStateUnknown(report *instanceReport) bool {
	if !report.WarmupStateUnknown || r.WarmupStateUnknown || report.Stale || report.receivedAt-r.warmupStateUnknownSince <= warmupStateUnknownMergeInterval {
		return false
	}
	r.markWarmupStateUnknown(report.receivedAt, report.Sequence)
	return true
}

// clearWarmupStateUnknown clears an unknown warm-up state if the report is based on a heartbeat sent after the state became unknown, and
// reports whether it did. For indirect heartbeats the send time alone is not reliable, so the sequence must have advanced as well.
func (r *record) clearWarmupStateUnknown(report *instanceReport) bool {
	if !r.WarmupStateUnknown || report.sentAt() <= r.warmupStateUnknownSince+warmupStateUnknownGrace {
		return false
	}
	if !report.direct && report.Sequence < r.warmupStateUnknownSequence+warmupStateUnknownSequenceGap {
		return false
	}
	r.WarmupStateUnknown = false
	return true
}

// updateWarmup updates the end of the warm-up if the reported one differs by more than heartbeat jitter, and reports whether that
// changes the end, which is not before heldUntil.
func (r *record) updateWarmup(report *instanceReport, heldUntil time.Duration) bool {
	before, until := max(r.warmupUntil, heldUntil), report.warmupUntil()
	later := report.WarmupMillis > 0 && until > before+warmupLaterThreshold
	earlier := until < r.warmupUntil-warmupEarlierThreshold
	if !later && !earlier {
		return false
	}
	r.warmupUntil = until
	return max(until, heldUntil) != before
}

// updateEndpoint copies the service, address, slots and zone. Reports from DirectHeartbeats have none of them. A new field of
// fleet.Instance that may change between heartbeats must be compared and copied here.
func (r *record) updateEndpoint(report *instanceReport) bool {
	if report.Addr == "" || r.Addr == report.Addr && r.Slots == report.Slots && r.Service == report.Service {
		return false
	}
	r.Addr = report.Addr
	r.Slots = report.Slots
	r.Service = report.Service
	r.Zone = report.Zone
	return true
}
