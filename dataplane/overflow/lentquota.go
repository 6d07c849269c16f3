package overflow

import "time"

// maxSeenTokens bounds the tokens that are kept to detect duplicates.
const maxSeenTokens = 1 << 16

// Admission is the decision of the lending site on a forwarded request.
type Admission int

// The values of Admission.
const (
	NotExecuted Admission = iota // proven: the request is not admitted and never will be
	Admitted
	Duplicate // the token was received before, so the request may have been executed
)

// LentQuota is a gateway's share of the capacity that its site has lent. It is not safe for concurrent use.
type LentQuota struct {
	buckets   map[string]*tokenBucket // by lease ID
	seen      map[string]bool         // encoded tokens
	seenOrder []string                // keys of seen, oldest first
}

// NewLentQuota returns a quota without leases.
func NewLentQuota() *LentQuota {
	return &LentQuota{buckets: map[string]*tokenBucket{}, seen: map[string]bool{}}
}

// SetLeases sets the leases under which forwarded requests are admitted, each with this gateway's share of its rate.
func (q *LentQuota) SetLeases(now time.Duration, leases []Lease) {
	buckets := map[string]*tokenBucket{}
	for _, lease := range leases {
		bucket := q.buckets[lease.ID]
		if bucket == nil {
			bucket = &tokenBucket{tokens: max(lease.Rate*burstSeconds, 1), refilledAt: now}
		}
		bucket.Lease = lease
		if lease.Rate == 0 { // the lease was replaced; the remaining tokens are for requests in transit
			bucket.refilledAt = now
		}
		buckets[lease.ID] = bucket
	}
	q.buckets = buckets
}

// Admit decides whether to admit a forwarded request for a service. Each token is admitted at most once.
func (q *LentQuota) Admit(now time.Duration, token Token, service string) Admission {
	key := token.String()
	if q.seen[key] {
		return Duplicate
	}
	q.recordSeen(key)
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

func (q *LentQuota) recordSeen(key string) {
	if len(q.seenOrder) >= maxSeenTokens {
		delete(q.seen, q.seenOrder[0])
		q.seenOrder = q.seenOrder[1:]
	}
	q.seen[key] = true
	q.seenOrder = append(q.seenOrder, key)
}
