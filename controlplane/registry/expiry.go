package registry

import (
	"slices"
	"time"
)

const (
	// deregistrationTimeout is the time without a heartbeat after which an instance is deregistered.
	deregistrationTimeout = 30 * time.Second

	// deregisteredRetention is how long deregistered IDs are kept, so that late reports cannot register them again.
	deregisteredRetention = 60 * time.Second
)

// Expire marks instances whose heartbeats have timed out and returns the IDs of those newly marked. It deregisters instances without a
// heartbeat for deregistrationTimeout, and removes those deregistered for longer than deregisteredRetention.
func (r *Registry) Expire(now time.Duration) (timedOut []string) {
	removed := 0
	for _, id := range r.sortedIDs {
		known := r.records[id]
		sinceHeartbeat := now - known.lastHeartbeat
		switch {
		case known.Deregistered && now-known.deregisteredAt > deregisteredRetention:
			delete(r.records, id)
			removed++
		case !known.Deregistered && sinceHeartbeat > deregistrationTimeout:
			r.markDeregistered(now, known, EvidenceTimeout, "")
		case !known.Deregistered && !known.HeartbeatTimedOut && sinceHeartbeat > r.heartbeatTimeout:
			known.HeartbeatTimedOut = true
			r.markChanged(known)
			timedOut = append(timedOut, id)
		}
	}
	if removed > 0 {
		r.sortedIDs = slices.DeleteFunc(r.sortedIDs, func(id string) bool { return r.records[id] == nil })
	}
	return timedOut
}

// ExtendHeartbeats gives every instance at least half of the heartbeat timeout. It is called after this process was suspended or isolated
// and could not receive heartbeats, similar to how etcd extends leases after a leader change.
func (r *Registry) ExtendHeartbeats(now time.Duration) {
	for _, id := range r.sortedIDs {
		known := r.records[id]
		known.lastHeartbeat = max(known.lastHeartbeat, now-r.heartbeatTimeout/2)
		if known.HeartbeatTimedOut {
			known.HeartbeatTimedOut = false
			r.markChanged(known)
		}
	}
}
