// Package registry keeps the instances of the replicas that are registered with the control plane: their heartbeats, draining and
// deregistration. It is free of I/O; callers pass in the time.
//
// The registry is soft state. A member that lost it learns it again from the replicas' heartbeats, from the other members and from the
// gateways. Three invariants make reports from any of them mergeable in any order: of one instance only a higher sequence brings
// something new; draining is never taken back; and a deregistered ID never returns.
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
	sortedIDs        []string // every walk that has effects goes in this order, so that the same events give the same results
	revision         uint64
	heartbeatTimeout time.Duration
}

// Change is what a report changed in the registry.
type Change struct {
	Changed bool // something is new, and others are to be notified
	Urgent  bool // it must not wait: an instance drains or was deregistered
}

// New makes an empty registry. An instance without a heartbeat for heartbeatTimeout is marked as timed out.
func New(heartbeatTimeout time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, heartbeatTimeout: heartbeatTimeout}
}

// AllRevisions is before the first revision: everything has changed since.
const AllRevisions = 0

// Revision is the number of the latest change.
func (r *Registry) Revision() uint64 { return r.revision }

// ChangesSince lists the instances that changed after a revision, the oldest change first. Deregistered ones are among them.
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
		instances[i] = known.snapshot(now)
	}
	return instances
}

// DirectHeartbeats lists the instances whose heartbeats reached this process itself since a moment. Only what changes with each
// heartbeat is set in them.
func (r *Registry) DirectHeartbeats(now, since time.Duration) []fleet.Instance {
	var instances []fleet.Instance
	for id, known := range r.records {
		if known.lastDirectHeartbeat < since || known.Deregistered {
			continue
		}
		current := known.snapshot(now)
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

// Get returns an instance, and whether it is registered.
func (r *Registry) Get(now time.Duration, id string) (fleet.Instance, bool) {
	if known := r.records[id]; known != nil && !known.Deregistered {
		return known.snapshot(now), true
	}
	return fleet.Instance{}, false
}

// Len is how many instances are remembered: those that are registered, and those that were deregistered not long ago.
func (r *Registry) Len() int { return len(r.records) }

// Contains reports whether an instance is registered, or was deregistered not long ago.
func (r *Registry) Contains(id string) bool { return r.records[id] != nil }

// Each calls visit for every registered instance, in the order of their IDs.
func (r *Registry) Each(now time.Duration, visit func(fleet.Instance)) {
	for _, id := range r.sortedIDs {
		if known := r.records[id]; !known.Deregistered {
			visit(known.snapshot(now))
		}
	}
}

// markChanged gives a record the next revision.
func (r *Registry) markChanged(changed *record) {
	r.revision++
	changed.revision = r.revision
}

// markDeregistered ends an instance for good.
func (r *Registry) markDeregistered(now time.Duration, ended *record) {
	ended.Deregistered = true
	ended.deregisteredAt = now
	r.markChanged(ended)
}
