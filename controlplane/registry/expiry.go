package registry

import (
	"slices"
	"time"
)

const (
	// deregistrationTimeout: an instance without a heartbeat for so long is deregistered.
	deregistrationTimeout = 30 * time.Second

	// deregisteredRetention: deregistered IDs are remembered for so long, so that late reports cannot register them anew.
	deregisteredRetention = 60 * time.Second
)

// Expire marks the instances whose heartbeats have timed out and returns the IDs of those that are new among them. It also deregisters
// those that stayed away for deregistrationTimeout and forgets those that were deregistered long ago.
func (r *Registry) Expire(now time.Duration) (timedOut []string) {
	forgotten := 0
	for _, id := range r.sortedIDs {
		known := r.records[id]
		sinceHeartbeat := now - known.lastHeartbeat
		switch {
		case known.Deregistered && now-known.deregisteredAt > deregisteredRetention:
			delete(r.records, id)
			forgotten++
		case !known.Deregistered && sinceHeartbeat > deregistrationTimeout:
			r.markDeregistered(now, known)
		case !known.Deregistered && !known.HeartbeatTimedOut && sinceHeartbeat > r.heartbeatTimeout:
			known.HeartbeatTimedOut = true
			r.markChanged(known)
			timedOut = append(timedOut, id)
		}
	}
	if forgotten > 0 {
		r.sortedIDs = slices.DeleteFunc(r.sortedIDs, func(id string) bool { return r.records[id] == nil })
	}
	return timedOut
}

// ExtendHeartbeats leaves every instance at least half of the heartbeat timeout. It is called after this process was frozen or cut off and
// could receive no heartbeats, as etcd extends its leases after a change of leader.
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

// MarkWarmthUnknown is called when the evacuation of a zone has finished: its instances may have become cold, and count as warming up until
// a later heartbeat says whether they are.
func (r *Registry) MarkWarmthUnknown(now time.Duration, zone string) {
	for _, id := range r.sortedIDs {
		if known := r.records[id]; known.Zone == zone && !known.Deregistered {
			known.markWarmthUnknown(now, known.Sequence)
			r.markChanged(known)
		}
	}
}
