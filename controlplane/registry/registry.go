// Package registry knows the replicas: their lives as they beat, drain and end. It is free of I/O.
//
// Lives are soft state: whoever was told first tells on, and a comb that lost them hears them again from replicas,
// other combs and foragers. Within a life only a higher sequence tells something new; leaving is never taken back,
// and an ended id never returns, since each start of a replica has a new one.
package registry

import (
	"cmp"
	"slices"
	"time"
)

const (
	warmupEarlierThreshold     = 400 * time.Millisecond // a cold end that comes so much sooner is news
	warmupLaterThreshold       = 20 * time.Millisecond  // one that comes so much later: as it turned cold anew; less is the beat's way
	deregistrationTimeout      = 30 * time.Second       // after so long a silent one is taken for gone
	deregisteredRetention      = 60 * time.Second       // ended ids are remembered for so long, against late words of them
	warmthUnknownMergeInterval = 10 * time.Second       // one that was settled is not taken over again from combs that still have it
	warmthUnknownGrace         = 50 * time.Millisecond  // a beat may have been under way when its zone was given back
)

// Instance is one life of a replica, as it is told from governor to governor.
type Instance struct {
	ID                 string `cbor:"1,keyasint"`
	Service            string `cbor:"2,keyasint,omitempty"`
	Addr               string `cbor:"3,keyasint,omitempty"`
	Zone               string `cbor:"4,keyasint,omitempty"`
	Slots              int    `cbor:"5,keyasint,omitempty"`
	Draining           bool   `cbor:"6,keyasint,omitempty"`
	Deregistered       bool   `cbor:"7,keyasint,omitempty" json:"Gone"`
	WarmupMillis       int64  `cbor:"8,keyasint,omitempty" json:"Cold"` // milliseconds that it stays cold
	Sequence           uint64 `cbor:"9,keyasint,omitempty" json:"Seq"`
	HeartbeatAgeMillis int64  `cbor:"10,keyasint,omitempty" json:"Age"`   // milliseconds since it beat
	WarmthUnknown      bool   `cbor:"11,keyasint,omitempty" json:"Doubt"` // it may have turned cold: its zone was just given back

	// Silent is one governor's own judgement, and is taken back by the next sign of life. It is never taken over from
	// others nor final: a comb that was frozen has heard nobody, and must not end the whole fleet when it wakes.
	HeartbeatTimedOut bool `cbor:"12,keyasint,omitempty" json:"Silent"`

	// Old: known from a disk that holds its zone as evacuated, or from a forager that heard no comb for long. It may have
	// turned cold since. Who knows the replica otherwise passes over that; who does not takes it for cold until there is a
	// newer word.
	Stale bool `cbor:"13,keyasint,omitempty" json:"Old"`
}

type record struct {
	Instance
	lastHeartbeat         time.Duration // last beat, by this clock
	lastDirectHeartbeat   time.Duration // last beat to this comb
	warmupUntil           time.Duration
	deregisteredAt        time.Duration
	revision              uint64
	warmthUnknownSince    time.Duration
	warmthUnknownSequence uint64
}

// Registry holds lives. The zero value is not ready; use New.
type Registry struct {
	records          map[string]*record
	sortedIDs        []string // in order: what goes over all lives must not depend on the map's
	revision         uint64
	heartbeatTimeout time.Duration // silence after which a replica counts as gone
}

// New makes a registry in which a replica silent for so long counts as gone.
func New(heartbeatTimeout time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, heartbeatTimeout: heartbeatTimeout}
}

// Revision is the number of the newest change.
func (r *Registry) Revision() uint64 { return r.revision }

func (r *Registry) markChanged(changed *record) { r.revision++; changed.revision = r.revision }

// Heartbeat takes a replica's own word and tells whether anything is new, and whether that must not wait.
func (r *Registry) Heartbeat(now time.Duration, heartbeat Instance) (changed, urgent bool) {
	heartbeat.HeartbeatAgeMillis, heartbeat.WarmthUnknown, heartbeat.Stale = 0, false, false
	changed, urgent = r.apply(now, heartbeat, true)
	if known := r.records[heartbeat.ID]; known != nil {
		known.lastDirectHeartbeat = now
	}
	return
}

func (r *Registry) apply(now time.Duration, update Instance, direct bool) (changed, urgent bool) {
	known := r.records[update.ID]
	update.HeartbeatTimedOut = false
	if known == nil {
		known = &record{Instance: update, lastHeartbeat: now - time.Duration(update.HeartbeatAgeMillis)*time.Millisecond, warmupUntil: now + time.Duration(update.WarmupMillis)*time.Millisecond, lastDirectHeartbeat: -time.Hour}
		if update.Deregistered {
			known.deregisteredAt = now
		}
		known.warmthUnknownSince, known.warmthUnknownSequence = now, update.Sequence
		r.records[update.ID] = known
		i, _ := slices.BinarySearch(r.sortedIDs, update.ID)
		r.sortedIDs = slices.Insert(r.sortedIDs, i, update.ID)
		r.markChanged(known)
		urgent = update.Draining || update.Deregistered
		if direct {
			for _, id := range r.sortedIDs { // an address is one replica's at a time: who had it before has ended
				if other := r.records[id]; other != known && other.Addr == update.Addr && !other.Deregistered {
					other.Deregistered, other.deregisteredAt, urgent = true, now, true
					r.markChanged(other)
				}
			}
		}
		return true, urgent
	}
	if known.Deregistered {
		return false, false
	}
	if update.Deregistered {
		known.Deregistered, known.deregisteredAt = true, now
		r.markChanged(known)
		return true, true
	}
	if update.Draining && !known.Draining {
		known.Draining, changed, urgent = true, true, true
	}
	if known.Stale && !update.Stale && update.Sequence >= known.Sequence {
		known.Stale, changed = false, true
		known.warmupUntil = max(known.warmupUntil, now+time.Duration(update.WarmupMillis)*time.Millisecond)
		if update.WarmthUnknown {
			known.WarmthUnknown, known.warmthUnknownSince, known.warmthUnknownSequence = true, now, update.Sequence
		}
	}
	if update.Sequence > known.Sequence {
		if update.WarmthUnknown && !known.WarmthUnknown && !update.Stale && now-known.warmthUnknownSince > warmthUnknownMergeInterval { // this comb missed that its zone was given back
			known.WarmthUnknown, known.warmthUnknownSince, known.warmthUnknownSequence, changed = true, now, update.Sequence, true
		}
		known.Sequence, known.lastHeartbeat = update.Sequence, max(known.lastHeartbeat, now-time.Duration(update.HeartbeatAgeMillis)*time.Millisecond)
		if known.HeartbeatTimedOut && now-known.lastHeartbeat < r.heartbeatTimeout {
			known.HeartbeatTimedOut, changed = false, true
		}
		until := now + time.Duration(update.WarmupMillis)*time.Millisecond
		// Only a beat of after the doubt settles it: where beats were lost on the way, one of before it may be two further on.
		since := now-time.Duration(update.HeartbeatAgeMillis)*time.Millisecond > known.warmthUnknownSince+warmthUnknownGrace
		settled := !known.WarmthUnknown || since && (direct || update.Sequence >= known.warmthUnknownSequence+2)
		if settled && known.WarmthUnknown {
			known.WarmthUnknown, changed = false, true
		}
		if update.WarmupMillis > 0 && until > known.warmupUntil+warmupLaterThreshold || until < known.warmupUntil-warmupEarlierThreshold {
			known.warmupUntil, changed = until, true
		}
		if update.Addr != "" && (known.Addr != update.Addr || known.Slots != update.Slots || known.Service != update.Service) {
			known.Addr, known.Slots, known.Service, known.Zone, changed = update.Addr, update.Slots, update.Service, update.Zone, true
		}
	}
	if changed {
		r.markChanged(known)
	}
	return changed, urgent
}

// Deregister takes a replica's word that it ends.
func (r *Registry) Deregister(now time.Duration, id string) bool {
	changed, _ := r.apply(now, Instance{ID: id, Deregistered: true}, true)
	return changed
}

// Merge takes what another governor tells. It returns whether anything is new and whether that must not wait.
func (r *Registry) Merge(now time.Duration, instances []Instance) (changed, urgent bool) {
	for _, instance := range instances {
		if instance.Addr == "" && !instance.Deregistered && r.records[instance.ID] == nil {
			continue // a sign of life of one that is not known yet
		}
		n, u := r.apply(now, instance, false)
		changed, urgent = changed || n, urgent || u
	}
	return
}

// Expire marks lives that have been silent too long, and forgets those that ended long ago.
func (r *Registry) Expire(now time.Duration) (timedOut []string) {
	forgotten := 0
	for _, id := range r.sortedIDs {
		switch known := r.records[id]; {
		case known.Deregistered && now-known.deregisteredAt > deregisteredRetention:
			delete(r.records, id)
			forgotten++
		case !known.Deregistered && now-known.lastHeartbeat > deregistrationTimeout:
			known.Deregistered, known.deregisteredAt = true, now
			r.markChanged(known)
		case !known.Deregistered && !known.HeartbeatTimedOut && now-known.lastHeartbeat > r.heartbeatTimeout:
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

// ExtendHeartbeats moves all signs of life forward, after this governor was held up or cut off and could hear nobody.
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

// MarkWarmthUnknown takes the replicas of a zone for cold until they have said more: its evacuation has just ended.
func (r *Registry) MarkWarmthUnknown(now time.Duration, zone string) {
	for _, id := range r.sortedIDs {
		if known := r.records[id]; known.Zone == zone && !known.Deregistered {
			known.WarmthUnknown, known.warmthUnknownSince, known.warmthUnknownSequence = true, now, known.Sequence
			r.markChanged(known)
		}
	}
}

func (r *record) snapshot(now time.Duration) Instance {
	instance := r.Instance
	instance.WarmupMillis = max((r.warmupUntil - now).Milliseconds(), 0)
	instance.HeartbeatAgeMillis = max((now - r.lastHeartbeat).Milliseconds(), 0)
	return instance
}

// AllRevisions stands for the first revision: every life, also the ended ones.
const AllRevisions = 0

// ChangesSince lists the lives that changed after a revision, oldest change first.
func (r *Registry) ChangesSince(now time.Duration, since uint64) []Instance {
	var changed []*record
	for _, known := range r.records {
		if known.revision > since {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.revision, b.revision) })
	instances := make([]Instance, len(changed))
	for i, known := range changed {
		instances[i] = known.snapshot(now)
	}
	return instances
}

// DirectHeartbeats lists the replicas that beat at this comb since a moment, without what does not change.
func (r *Registry) DirectHeartbeats(now, since time.Duration) []Instance {
	var instances []Instance
	for id, known := range r.records {
		if known.lastDirectHeartbeat >= since && !known.Deregistered {
			instances = append(instances, Instance{ID: id, Sequence: known.Sequence, WarmupMillis: known.snapshot(now).WarmupMillis, HeartbeatAgeMillis: known.snapshot(now).HeartbeatAgeMillis})
		}
	}
	slices.SortFunc(instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// Get is a life that has not ended.
func (r *Registry) Get(now time.Duration, id string) (Instance, bool) {
	if known := r.records[id]; known != nil && !known.Deregistered {
		return known.snapshot(now), true
	}
	return Instance{}, false
}

// Each calls f for every life that has not ended, in the order of ids.
func (r *Registry) Each(now time.Duration, visit func(Instance)) {
	for _, id := range r.sortedIDs {
		if known := r.records[id]; !known.Deregistered {
			visit(known.snapshot(now))
		}
	}
}
