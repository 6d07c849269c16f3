package overflow

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// orderReserve is the part of a bucket beyond the first token that must be left for an order: lookups go first, as they may
// be repeated elsewhere.
const orderReserve = 0.3

// BorrowedQuota is a gateway's part of what its site has borrowed. It must not be used by several goroutines at once.
type BorrowedQuota struct {
	name    string
	buckets map[string]*borrowedBucket // by lease ID
	serial  uint64
}

type borrowedBucket struct {
	tokenBucket
	spent int // tokens so far, to take the lease's addresses in turn
}

// NewBorrowedQuota returns an empty quota. Its name must be no other quota's, also not one of the same gateway before a
// restart.
func NewBorrowedQuota(name string) *BorrowedQuota {
	return &BorrowedQuota{name: name, buckets: map[string]*borrowedBucket{}}
}

// SetLeases sets the leases that may be used, each with this gateway's part of its rate. A lease that replaces another of the
// same site and service takes over its tokens.
func (q *BorrowedQuota) SetLeases(now time.Duration, leases []Lease) {
	buckets := map[string]*borrowedBucket{}
	for _, lease := range leases {
		bucket := q.buckets[lease.ID]
		if bucket == nil {
			bucket = q.successor(now, lease)
		}
		bucket.Lease = lease
		buckets[lease.ID] = bucket
	}
	q.buckets = buckets
}

func (q *BorrowedQuota) successor(now time.Duration, lease Lease) *borrowedBucket {
	bucket := &borrowedBucket{tokenBucket: tokenBucket{refilledAt: now}}
	for _, older := range q.buckets {
		if older.Site == lease.Site && older.Service == lease.Service {
			bucket.tokens, bucket.refilledAt = older.tokens, older.refilledAt
		}
	}
	return bucket
}

// Spend takes a token for one request of a service, of the first lease, by ID, that has one. An order gets one only where much
// is left. It returns false where there is none.
func (q *BorrowedQuota) Spend(now time.Duration, service string, idempotent bool) (Token, bool) {
	for _, id := range slices.Sorted(maps.Keys(q.buckets)) {
		bucket := q.buckets[id]
		if bucket.Service != service || now >= bucket.ExpiresAt || len(bucket.Addrs) == 0 {
			continue
		}
		capacity := max(bucket.Rate*burstSeconds, 1)
		bucket.refill(now, capacity)
		if bucket.tokens < 1 || !idempotent && bucket.tokens < 1+orderReserve*(capacity-1) {
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
