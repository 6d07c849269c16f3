package fleet

import (
	"time"
)

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

// Warmup is how long the instance will still be warming up.
func (i *Instance) Warmup() time.Duration { return time.Duration(i.WarmupMillis) * time.Millisecond }

// HeartbeatAge is the time since the latest heartbeat.
func (i *Instance) HeartbeatAge() time.Duration {
	return time.Duration(i.HeartbeatAgeMillis) * time.Millisecond
}
