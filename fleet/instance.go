package fleet

import "time"

// Instance is one run of a replica process, as control-plane members and gateways exchange it. Times are given as durations,
// which do not depend on the clock of the receiver.
type Instance struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Addr     string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	Draining bool   `cbor:"6,keyasint,omitempty"`

	// Deregistered is final: each start of a replica has a new ID.
	Deregistered bool `cbor:"7,keyasint,omitempty" json:"Gone"`

	// WarmupMillis is the remaining warm-up time in milliseconds.
	WarmupMillis int64 `cbor:"8,keyasint,omitempty" json:"Cold"`

	// Sequence increases with each heartbeat of the instance.
	Sequence uint64 `cbor:"9,keyasint,omitempty" json:"Seq"`

	// HeartbeatAgeMillis is the time since the latest heartbeat, in milliseconds.
	HeartbeatAgeMillis int64 `cbor:"10,keyasint,omitempty" json:"Age"`

	// WarmupStateUnknown is set if the instance may need another warm-up although its latest heartbeat reports none, because the
	// evacuation of its zone has just finished.
	WarmupStateUnknown bool `cbor:"11,keyasint,omitempty" json:"Doubt"`

	// HeartbeatTimedOut is the local view of one process, and ends with the next heartbeat. Others do not adopt it, because a member
	// that was frozen has received no heartbeats and must not deregister the entire fleet when it resumes.
	HeartbeatTimedOut bool `cbor:"12,keyasint,omitempty" json:"Silent"`

	// Stale is set if the instance may have become cold since it was recorded: by a store in which its zone is evacuated, or by a
	// gateway that was long disconnected from the control plane. Receivers that know the instance ignore a stale record; others
	// treat the instance as warming up until a newer record arrives.
	Stale bool `cbor:"13,keyasint,omitempty" json:"Old"`

	// WarmupHeldMillis is how much longer, in milliseconds, the instance counts as warming up whatever its heartbeats report, because
	// the evacuation of its zone ended less than a warm-up ago. Receivers keep the longest, whatever the sequence.
	WarmupHeldMillis int64 `cbor:"14,keyasint,omitempty" json:"Held,omitempty"`
}

// WarmupHeld is how much longer the instance counts as warming up whatever its heartbeats report.
func (i *Instance) WarmupHeld() time.Duration {
	return time.Duration(i.WarmupHeldMillis) * time.Millisecond
}

// Warmup is the remaining warm-up time.
func (i *Instance) Warmup() time.Duration { return time.Duration(i.WarmupMillis) * time.Millisecond }

// HeartbeatAge is the time since the latest heartbeat.
func (i *Instance) HeartbeatAge() time.Duration {
	return time.Duration(i.HeartbeatAgeMillis) * time.Millisecond
}
