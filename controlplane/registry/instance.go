package registry

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// neverReceived is the lastDirectHeartbeat of an instance that has sent none to this process. It precedes all clock readings.
const neverReceived = -time.Hour

// record is the registry's entry for one instance. Its times are readings of the local monotonic clock.
type record struct {
	fleet.Instance
	revision                   uint64 // registry revision of the latest change
	lastHeartbeat              time.Duration
	lastDirectHeartbeat        time.Duration // sent to this process
	warmupUntil                time.Duration
	reportedHeldUntil          time.Duration // latest end of a held warm-up that others reported; see Registry.warmupHeldUntil
	deregisteredAt             time.Duration
	warmupStateUnknownSince    time.Duration
	warmupStateUnknownSequence uint64        // sequence at the time the warm-up state became unknown
	staleSince                 time.Duration // when a stale report added the instance; neverReceived if none did, or if others know better
}

// markWarmupStateUnknown records that the instance may have become cold after the heartbeat with the given sequence.
func (r *record) markWarmupStateUnknown(now time.Duration, sequence uint64) {
	r.WarmupStateUnknown = true
	r.warmupStateUnknownSince = now
	r.warmupStateUnknownSequence = sequence
}
