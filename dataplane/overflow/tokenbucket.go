package overflow

import "time"

// burstSeconds is how many seconds' worth of a lease's rate a token bucket holds.
const burstSeconds = 0.25

// tokenBucket is a gateway's token bucket of one lease; its Rate is this gateway's part of the lease's rate.
type tokenBucket struct {
	Lease
	tokens     float64
	refilledAt time.Duration
}

// refill adds what has accrued since the last refill, up to a capacity.
func (b *tokenBucket) refill(now time.Duration, capacity float64) {
	accrued := b.Rate * max(now-b.refilledAt, 0).Seconds()
	b.tokens = min(b.tokens+accrued, capacity)
	b.refilledAt = now
}
