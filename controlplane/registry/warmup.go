package registry

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// This file determines how long instances may be cold without a heartbeat that says so.
//
// Instances of an evacuated zone may become cold until shortly before the end of the evacuation, and are warm one warm-up
// duration later. A heartbeat that arrives in between proves nothing: the time of its arrival is not that of its sending, and
// its sequence does not tell whether it was sent before or after the end of the evacuation, as an unacknowledged heartbeat is
// followed by others while it is still in flight. So such a heartbeat can extend the warm-up but not shorten it. See
// docs/design/staleness.md.

// MarkWarmupStateUnknown is called when the evacuation of a zone ends. The zone's instances may have become cold and are treated as warming up
// for the warm-up duration of their service, and then until a later heartbeat reports their state.
func (r *Registry) MarkWarmupStateUnknown(now time.Duration, zone string) {
	r.zoneRestoredAt[zone] = now
	for _, id := range r.sortedIDs {
		if known := r.records[id]; known.Zone == zone && !known.Deregistered {
			known.markWarmupStateUnknown(now, known.Sequence)
			r.markChanged(known)
		}
	}
}

// MayBeCold reports whether an instance may be cold although its heartbeats do not say so, because the evacuation of its zone ended
// less than a warm-up duration ago.
func (r *Registry) MayBeCold(now time.Duration, id string) bool {
	known := r.records[id]
	return known != nil && now < r.warmupHeldUntil(known)
}

// holdWarmup adopts the time until which a report holds the warm-up of an instance, if it is later than the known one, and reports
// whether others must be notified. Counted from the arrival, it can only err towards a longer warm-up.
func (r *Registry) holdWarmup(known *record, report *instanceReport) bool {
	before, until := r.warmupHeldUntil(known), report.receivedAt+report.WarmupHeld()
	if report.WarmupHeldMillis == 0 || until <= before {
		return false
	}
	known.reportedHeldUntil = until
	return until > max(before, report.receivedAt)+warmupEarlierThreshold
}

// warmupHeldUntil returns until when an instance is treated as warming up whatever its heartbeats say, by the local clock. A stale
// instance may have become cold before it was added, as this process may have missed the end of an evacuation.
func (r *Registry) warmupHeldUntil(known *record) time.Duration {
	until, duration := known.reportedHeldUntil, r.warmupDurations[known.Service]
	if known.staleSince != neverReceived {
		until = max(until, known.staleSince+duration)
	}
	if restoredAt, restored := r.zoneRestoredAt[known.Zone]; restored {
		until = max(until, restoredAt+duration)
	}
	return until
}

// snapshot returns an instance with its relative durations computed for now.
func (r *Registry) snapshot(now time.Duration, known *record) fleet.Instance {
	instance := known.Instance
	heldUntil := r.warmupHeldUntil(known)
	instance.WarmupHeldMillis = max((heldUntil - now).Milliseconds(), 0)
	instance.WarmupMillis = max((known.warmupUntil - now).Milliseconds(), instance.WarmupHeldMillis)
	instance.HeartbeatAgeMillis = max((now - known.lastHeartbeat).Milliseconds(), 0)
	return instance
}
