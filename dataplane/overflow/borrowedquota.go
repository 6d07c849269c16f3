package overflow

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// idempotentReserve is the share of a bucket's capacity beyond the first token that is reserved for idempotent requests, which
// can be retried elsewhere.
const idempotentReserve = 0.3

// BorrowedQuota is a gateway's share of the capacity that its site has borrowed. It is not safe for concurrent use.
type BorrowedQuota struct {
	name    string
	buckets map[string]*borrowedBucket // by lease ID
	serial  uint64
}

type borrowedBucket struct {
	tokenBucket
	spent int // number of spent tokens, for round-robin selection of the lease's addresses
}

// NewBorrowedQuota returns a quota without leases. Its name must be unique among all quotas, including those of earlier
// incarnations of the gateway.
func NewBorrowedQuota(name string) *BorrowedQuota {
	return &BorrowedQuota{name: name, buckets: map[string]*borrowedBucket{}}
}

// SetLeases sets the leases that may be used, each with this gateway's share of its rate. A new lease inherits the tokens of
// the previous lease for the same site and service.
func (q *BorrowedQuota) SetLeases(now time.Duration, leases []Lease) {
	buckets := map[string]*borrowedBucket{}
	for _, lease := range leases {
		bucket := q.buckets[lease.ID]
		if bucket == nil {
			bucket = q.newBucket(now, lease)
		}
		bucket.Lease = lease
		buckets[lease.ID] = bucket
	}
	q.buckets = buckets
}

// newBucket returns a bucket for a new lease, with the tokens of the lease that it replaces.
func (q *BorrowedQuota) newBucket(now time.Duration, lease Lease) *borrowedBucket {
	bucket := &borrowedBucket{tokenBucket: tokenBucket{refilledAt: now}}
	for _, previous := range q.buckets {
		if previous.Site == lease.Site && previous.Service == lease.Service {
			bucket.tokens, bucket.refilledAt = previous.tokens, previous.refilledAt
		}
	}
	return bucket
}

// Spend takes a token for a request of a service from the first lease, in the order of lease IDs, that has one available. It
// returns false if none has. Requests that are not idempotent leave idempotentReserve in the bucket.
func (q *BorrowedQuota) Spend(now time.Duration, service string, idempotent bool) (Token, bool) {
	for _, id := range slices.Sorted(maps.Keys(q.buckets)) {
		bucket := q.buckets[id]
		if bucket.Service != service || now >= bucket.ExpiresAt || len(bucket.Addrs) == 0 {
			continue
		}
		capacity := max(bucket.Rate*burstSeconds, 1)
		bucket.refill(now, capacity)
		if bucket.tokens < 1 || !idempotent && bucket.tokens < 1+idempotentReserve*(capacity-1) {
			continue
		}
		bucket.tokens--
		bucket.spent++
		q.serial++
		return Token{
			Lease:  bucket.ID,
			Serial: q.name + "-" + strconv.FormatUint(q.serial, 36),
			Addr:   bucket.Addrs[bucket.spent%len(bucket.Addrs)],
			Site:   bucket.Site,
		}, true
	}
	return Token{}, false
}
