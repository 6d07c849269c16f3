package registry

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// neverHeard is the time of a direct heartbeat that never came: it is earlier than any clock reads.
const neverHeard = -time.Hour

// record is what the registry knows of one instance. Its times are readings of the local monotonic clock.
type record struct {
	fleet.Instance
	revision              uint64 // of the registry, at the latest change
	lastHeartbeat         time.Duration
	lastDirectHeartbeat   time.Duration // sent to this process itself
	warmupUntil           time.Duration
	deregisteredAt        time.Duration
	warmthUnknownSince    time.Duration
	warmthUnknownSequence uint64 // the sequence known when the warmth became unknown
}

// snapshot is the instance with its durations as of now.
func (r *record) snapshot(now time.Duration) fleet.Instance {
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
