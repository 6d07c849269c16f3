package overflow

import "time"

// burstSeconds is the capacity of a token bucket in seconds of its rate.
const burstSeconds = 0.25

// tokenBucket is a gateway's token bucket for a lease. Its Rate is this gateway's share of the lease's rate.
type tokenBucket struct {
	Lease
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens that have accrued since the last refill, up to the capacity.
func (b *tokenBucket) refill(now time.Duration, capacity float64) {
	accrued := b.Rate * max(now-b.refilledAt, 0).Seconds()
	b.tokens = min(b.tokens+accrued, capacity)
	b.refilledAt = now
}
