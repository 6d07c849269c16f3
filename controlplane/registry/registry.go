// Package registry tracks the replica instances that are registered with the control plane: their heartbeats, draining and
// deregistration. It performs no I/O; callers pass in the time.
//
// The registry is soft state. A member that loses it rebuilds it from the replicas' heartbeats, the other members and the gateways.
// Reports from any of them can be merged in any order because of three invariants: a report updates an instance only if its sequence
// is higher; draining is never reverted; and a deregistered ID is never registered again.
package registry

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// Registry is a set of instances. The zero value is not ready; use New. Its methods must not be called concurrently.
type Registry struct {
	records          map[string]*record
	sortedIDs        []string // iteration order wherever it affects results, which keeps them deterministic
	revision         uint64
	heartbeatTimeout time.Duration
	deregistrations  []Deregistration // since TakeDeregistrations was called last

	warmupDurations map[string]time.Duration // by service
	zoneRestoredAt  map[string]time.Duration // when the evacuation of a zone was last seen to have ended
}

// Change describes the effect of a report on the registry.
type Change struct {
	Changed bool // the registry has changed, and others must be notified
	Urgent  bool // an instance is draining or was deregistered: notify without delay
}

// New creates an empty registry. An instance without a heartbeat for heartbeatTimeout is marked as timed out.
func New(heartbeatTimeout time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, heartbeatTimeout: heartbeatTimeout, zoneRestoredAt: map[string]time.Duration{}}
}

// SetWarmupDurations sets how long the instances of each service warm up.
func (r *Registry) SetWarmupDurations(durations map[string]time.Duration) {
	r.warmupDurations = durations
}

// AllRevisions precedes the first revision. ChangesSince returns all instances for it.
const AllRevisions = 0

// Revision returns the revision of the latest change.
func (r *Registry) Revision() uint64 { return r.revision }

// ChangesSince returns the instances that changed after a revision, oldest change first, including deregistered ones.
func (r *Registry) ChangesSince(now time.Duration, since uint64) []fleet.Instance {
	var changed []*record
	for _, known := range r.records {
		if known.revision > since {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.revision, b.revision) })
	instances := make([]fleet.Instance, len(changed))
	for i, known := range changed {
		instances[i] = r.snapshot(now, known)
	}
	return instances
}

// DirectHeartbeats returns the instances from which this process has received a direct heartbeat at or after since. Only the fields that
// change with each heartbeat are set.
func (r *Registry) DirectHeartbeats(now, since time.Duration) []fleet.Instance {
	var instances []fleet.Instance
	for id, known := range r.records {
		if known.lastDirectHeartbeat < since || known.Deregistered {
			continue
		}
		current := r.snapshot(now, known)
		instances = append(instances, fleet.Instance{
			ID:                 id,
			Sequence:           known.Sequence,
			WarmupMillis:       current.WarmupMillis,
			HeartbeatAgeMillis: current.HeartbeatAgeMillis,
		})
	}
	slices.SortFunc(instances, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// Get returns an instance and whether it is registered.
func (r *Registry) Get(now time.Duration, id string) (fleet.Instance, bool) {
	if known := r.records[id]; known != nil && !known.Deregistered {
		return r.snapshot(now, known), true
	}
	return fleet.Instance{}, false
}

// Len returns the number of tracked instances: those registered and those deregistered within deregisteredRetention.
func (r *Registry) Len() int { return len(r.records) }

// Contains reports whether an instance is tracked: registered, or deregistered within deregisteredRetention.
func (r *Registry) Contains(id string) bool { return r.records[id] != nil }

// Each calls visit for every registered instance, ordered by ID.
func (r *Registry) Each(now time.Duration, visit func(fleet.Instance)) {
	for _, id := range r.sortedIDs {
		if known := r.records[id]; !known.Deregistered {
			visit(r.snapshot(now, known))
		}
	}
}

// EachTracked is like Each, but includes the instances deregistered within deregisteredRetention.
func (r *Registry) EachTracked(now time.Duration, visit func(fleet.Instance)) {
	for _, id := range r.sortedIDs {
		visit(r.snapshot(now, r.records[id]))
	}
}

// markChanged assigns the next revision to a record.
func (r *Registry) markChanged(changed *record) {
	r.revision++
	changed.revision = r.revision
}
