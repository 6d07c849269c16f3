package overflow

import "time"

// maxRememberedGuests bounds the guest requests that are remembered against duplicates that come late.
const maxRememberedGuests = 1 << 16

// Admission is the outcome of a guest request at the lending site.
type Admission int

// Outcomes of a guest request.
const (
	NotExecuted Admission = iota // proof: it is not admitted and never will be
	Admitted
	Duplicate // it has been here before; its outcome is not repeated
)

// LentQuota is a gateway's part of what its site has lent. It must not be used by several goroutines at once.
type LentQuota struct {
	buckets   map[string]*tokenBucket // by lease ID
	seen      map[string]bool         // by encoded token
	seenOrder []string                // of seen, oldest first
}

// NewLentQuota returns a quota that admits nothing.
func NewLentQuota() *LentQuota {
	return &LentQuota{buckets: map[string]*tokenBucket{}, seen: map[string]bool{}}
}

// SetLeases sets the leases under which guest requests are admitted, each with this gateway's part of its rate.
func (q *LentQuota) SetLeases(now time.Duration, leases []Lease) {
	buckets := map[string]*tokenBucket{}
	for _, lease := range leases {
		bucket := q.buckets[lease.ID]
		if bucket == nil {
			bucket = &tokenBucket{tokens: max(lease.Rate*burstSeconds, 1), refilledAt: now}
		}
		bucket.Lease = lease
		if lease.Rate == 0 { // replaced: what it has left is for requests that are on their way
			bucket.refilledAt = now
		}
		buckets[lease.ID] = bucket
	}
	q.buckets = buckets
}

// Admit decides on a guest request for a service. A duplicate is never admitted, as the first one may have been executed.
func (q *LentQuota) Admit(now time.Duration, token Token, service string) Admission {
	key := token.String()
	if q.seen[key] {
		return Duplicate
	}
	q.remember(key)
	bucket := q.buckets[token.Lease]
	if bucket == nil || now >= bucket.ExpiresAt || bucket.Service != service {
		return NotExecuted
	}
	bucket.refill(now, max(2*bucket.Rate*burstSeconds, bucket.tokens, 2))
	if bucket.tokens < 1 {
		return NotExecuted
	}
	bucket.tokens--
	return Admitted
}

func (q *LentQuota) remember(key string) {
	if len(q.seenOrder) >= maxRememberedGuests {
		delete(q.seen, q.seenOrder[0])
		q.seenOrder = q.seenOrder[1:]
	}
	q.seen[key] = true
	q.seenOrder = append(q.seenOrder, key)
}
