package registry

import (
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

const (
	// warmupEarlierThreshold: an end of the warm-up that comes that much sooner than the known one is a change. Less is the jitter of
	// heartbeats on their way.
	warmupEarlierThreshold = 400 * time.Millisecond

	// warmupLaterThreshold: so is one that comes that much later, as the instance has become cold again.
	warmupLaterThreshold = 20 * time.Millisecond

	// warmthUnknownMergeInterval: for so long after the warmth of an instance became unknown, that it is unknown isn't taken over anew
	// from other members, which may not know of the later heartbeat yet.
	warmthUnknownMergeInterval = 10 * time.Second

	// warmthUnknownGrace: a heartbeat sent so shortly after the warmth became unknown may describe the time before.
	warmthUnknownGrace = 50 * time.Millisecond

	// warmthUnknownSequences: a heartbeat that came through another member shows the warmth only if its sequence is that much higher
	// than the one known when the warmth became unknown.
	warmthUnknownSequences = 2
)

// instanceReport is what a replica, a member or a gateway says of an instance, and how it reached this process.
type instanceReport struct {
	fleet.Instance
	receivedAt time.Duration
	direct     bool // from the replica itself
}

// sentAt is when the replica sent the heartbeat that the report rests on, by the local clock.
func (r *instanceReport) sentAt() time.Duration { return r.receivedAt - r.HeartbeatAge() }

// warmupUntil is when the instance will be warm, by the local clock.
func (r *instanceReport) warmupUntil() time.Duration { return r.receivedAt + r.Warmup() }

// Heartbeat takes a heartbeat that a replica sent to this process itself.
func (r *Registry) Heartbeat(now time.Duration, heartbeat fleet.Instance) Change {
	heartbeat.HeartbeatAgeMillis = 0
	heartbeat.WarmthUnknown = false
	heartbeat.Stale = false
	change := r.apply(&instanceReport{Instance: heartbeat, receivedAt: now, direct: true})
	if known := r.records[heartbeat.ID]; known != nil {
		known.lastDirectHeartbeat = now
	}
	return change
}

// Deregister ends an instance at its own request or on proof, and reports whether it was registered until then.
func (r *Registry) Deregister(now time.Duration, id string) bool {
	return r.apply(&instanceReport{Instance: fleet.Instance{ID: id, Deregistered: true}, receivedAt: now, direct: true}).Changed
}

// Merge takes in what another member or a gateway reports.
func (r *Registry) Merge(now time.Duration, instances []fleet.Instance) Change {
	var total Change
	for _, instance := range instances {
		if instance.Addr == "" && !instance.Deregistered && r.records[instance.ID] == nil {
			continue // a bare heartbeat of an instance that isn't known here yet
		}
		change := r.apply(&instanceReport{Instance: instance, receivedAt: now})
		total.Changed = total.Changed || change.Changed
		total.Urgent = total.Urgent || change.Urgent
	}
	return total
}

// apply brings one instance up to date with a report. The steps must stay in this order: deregistration is final and comes first, and what
// a step decides rests on what the steps before it have left in the record.
func (r *Registry) apply(report *instanceReport) Change {
	report.HeartbeatTimedOut = false // the judgement of whoever sent it
	known := r.records[report.ID]
	switch {
	case known == nil:
		return r.add(report)
	case known.Deregistered:
		return Change{}
	case report.Deregistered:
		r.markDeregistered(report.receivedAt, known)
		return Change{Changed: true, Urgent: true}
	}
	startedDraining := known.startDraining(report)
	refreshed := known.replaceStale(report)
	advanced := report.Sequence > known.Sequence && known.advance(report, r.heartbeatTimeout)
	invariant.Check(invariant.DeregistrationFinal, known.Draining || !report.Draining, func() string { return known.ID + " drains by a report and not in the registry" })
	change := Change{Changed: startedDraining || refreshed || advanced, Urgent: startedDraining}
	if change.Changed {
		r.markChanged(known)
	}
	return change
}

// add takes in an instance that wasn't known.
func (r *Registry) add(report *instanceReport) Change {
	added := &record{
		Instance:              report.Instance,
		lastHeartbeat:         report.sentAt(),
		lastDirectHeartbeat:   neverHeard,
		warmupUntil:           report.warmupUntil(),
		warmthUnknownSince:    report.receivedAt,
		warmthUnknownSequence: report.Sequence,
	}
	if report.Deregistered {
		added.deregisteredAt = report.receivedAt
	}
	r.records[report.ID] = added
	position, _ := slices.BinarySearch(r.sortedIDs, report.ID)
	r.sortedIDs = slices.Insert(r.sortedIDs, position, report.ID)
	r.markChanged(added)
	replaced := report.direct && r.replaceAtAddr(report.receivedAt, added)
	return Change{Changed: true, Urgent: report.Draining || report.Deregistered || replaced}
}

// replaceAtAddr deregisters whoever was registered at the address of a new instance, and reports whether there was one: an address belongs
// to one instance at a time.
func (r *Registry) replaceAtAddr(now time.Duration, added *record) bool {
	replaced := false
	for _, id := range r.sortedIDs {
		other := r.records[id]
		if other != added && other.Addr == added.Addr && !other.Deregistered {
			r.markDeregistered(now, other)
			replaced = true
		}
	}
	return replaced
}

// startDraining marks an instance as draining and reports whether that is new. Draining is never taken back, whatever the sequence.
func (r *record) startDraining(report *instanceReport) bool {
	if !report.Draining || r.Draining {
		return false
	}
	r.Draining = true
	return true
}

// replaceStale replaces stale knowledge by a report that rests on as late a heartbeat, and reports whether it did.
func (r *record) replaceStale(report *instanceReport) bool {
	if !r.Stale || report.Stale || report.Sequence < r.Sequence {
		return false
	}
	r.Stale = false
	r.warmupUntil = max(r.warmupUntil, report.warmupUntil())
	if report.WarmthUnknown {
		r.markWarmthUnknown(report.receivedAt, report.Sequence)
	}
	return true
}

// advance takes in a report of a higher sequence than the known one, and reports whether anything but the heartbeat itself is new.
func (r *record) advance(report *instanceReport, heartbeatTimeout time.Duration) bool {
	changed := r.mergeWarmthUnknown(report)
	r.Sequence = report.Sequence
	r.lastHeartbeat = max(r.lastHeartbeat, report.sentAt())
	if r.HeartbeatTimedOut && report.receivedAt-r.lastHeartbeat < heartbeatTimeout {
		r.HeartbeatTimedOut = false
		changed = true
	}
	if r.clearWarmthUnknown(report) {
		changed = true
	}
	if r.updateWarmup(report) {
		changed = true
	}
	if r.updateEndpoint(report) {
		changed = true
	}
	return changed
}

// mergeWarmthUnknown takes over that the warmth is unknown: this process missed the end of the zone's evacuation.
func (r *record) mergeWarmthUnknown(report *instanceReport) bool {
	if !report.WarmthUnknown || r.WarmthUnknown || report.Stale || report.receivedAt-r.warmthUnknownSince <= warmthUnknownMergeInterval {
		return false
	}
	r.markWarmthUnknown(report.receivedAt, report.Sequence)
	return true
}

// clearWarmthUnknown ends the time in which the warmth is unknown, if the report rests on a heartbeat sent after that began. Of heartbeats that
// came through another member the time of sending is no proof alone: where some were lost on the way, one from before may be next.
func (r *record) clearWarmthUnknown(report *instanceReport) bool {
	if !r.WarmthUnknown || report.sentAt() <= r.warmthUnknownSince+warmthUnknownGrace {
		return false
	}
	if !report.direct && report.Sequence < r.warmthUnknownSequence+warmthUnknownSequences {
		return false
	}
	r.WarmthUnknown = false
	return true
}

// updateWarmup moves the end of the warm-up where the report's differs by more than the jitter of heartbeats.
func (r *record) updateWarmup(report *instanceReport) bool {
	until := report.warmupUntil()
	later := report.WarmupMillis > 0 && until > r.warmupUntil+warmupLaterThreshold
	earlier := until < r.warmupUntil-warmupEarlierThreshold
	if !later && !earlier {
		return false
	}
	r.warmupUntil = until
	return true
}

// updateEndpoint takes over the service, address, capacity and zone. Bare heartbeats (DirectHeartbeats) carry none of them. A new field of
// Instance that may change from one heartbeat to the next must be compared and copied here.
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
