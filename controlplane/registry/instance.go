package registry

import "time"

// Instance is one run of a replica process, as control-plane members and gateways exchange it. Durations are relative, so
// that they hold on the clock of whoever receives them.
type Instance struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Addr     string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	Draining bool   `cbor:"6,keyasint,omitempty"`

	// Deregistered is final: every start of a replica has a new ID, so a deregistered one never returns.
	Deregistered bool `cbor:"7,keyasint,omitempty" json:"Gone"`

	// WarmupMillis is how long the instance will still be warming up, in milliseconds.
	WarmupMillis int64 `cbor:"8,keyasint,omitempty" json:"Cold"`

	// Sequence rises with each heartbeat of the instance.
	Sequence uint64 `cbor:"9,keyasint,omitempty" json:"Seq"`

	// HeartbeatAgeMillis is the time since the latest heartbeat, in milliseconds.
	HeartbeatAgeMillis int64 `cbor:"10,keyasint,omitempty" json:"Age"`

	// WarmthUnknown is set while the instance may have become cold, so that it has to warm up again, since its latest heartbeat: the
	// evacuation of its zone has just finished.
	WarmthUnknown bool `cbor:"11,keyasint,omitempty" json:"Doubt"`

	// HeartbeatTimedOut is the judgement of one process alone, withdrawn by the next heartbeat. It is neither taken over from others nor
	// final: a member that was frozen has received no heartbeats, and must not deregister the entire fleet when it resumes.
	HeartbeatTimedOut bool `cbor:"12,keyasint,omitempty" json:"Silent"`

	// Stale is set on what comes from a disk that records the zone as evacuated, or from a gateway that was long without a control plane:
	// the instance may have become cold since. Whoever has other knowledge of the instance ignores a stale report; whoever has none
	// treats the instance as warming up until a newer report comes.
	Stale bool `cbor:"13,keyasint,omitempty" json:"Old"`
}

// warmup is how long the instance will still be warming up.
func (i *Instance) warmup() time.Duration { return time.Duration(i.WarmupMillis) * time.Millisecond }

// heartbeatAge is the time since the latest heartbeat.
func (i *Instance) heartbeatAge() time.Duration {
	return time.Duration(i.HeartbeatAgeMillis) * time.Millisecond
}

// neverHeard is the time of a direct heartbeat that never came: it is earlier than any clock reads.
const neverHeard = -time.Hour

// record is what the registry knows of one instance. Its times are readings of the local monotonic clock.
type record struct {
	Instance
	revision              uint64 // of the registry, at the latest change
	lastHeartbeat         time.Duration
	lastDirectHeartbeat   time.Duration // sent to this process itself
	warmupUntil           time.Duration
	deregisteredAt        time.Duration
	warmthUnknownSince    time.Duration
	warmthUnknownSequence uint64 // the sequence known when the warmth became unknown
}

// snapshot is the instance with its durations as of now.
func (r *record) snapshot(now time.Duration) Instance {
	instance := r.Instance
	instance.WarmupMillis = max((r.warmupUntil - now).Milliseconds(), 0)
	instance.HeartbeatAgeMillis = max((now - r.lastHeartbeat).Milliseconds(), 0)
	return instance
}

// markWarmthUnknown notes that the instance may have become cold after the heartbeat of that sequence.
func (r *record) markWarmthUnknown(now time.Duration, sequence uint64) {
	r.WarmthUnknown = true
	r.warmthUnknownSince = now
	r.warmthUnknownSequence = sequence
}
