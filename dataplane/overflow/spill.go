// Package overflow decides what a site sends to a neighbouring one, and what that one takes. It is free of I/O; clocks are
// handed in, and every span is measured by one clock only.
//
// Room is lent by leases that run out: what a site has promised is off what it can promise to others, whether or not it is
// used. A site that refuses its own clients, or borrows itself, lends nothing; a guest is never sent on. So nobody spills
// at each other, and everything makes one hop at most.
package overflow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// LeaseDuration is how long a lease holds from the lender's grant on; the borrower stops using it sooner by the margin.
	LeaseDuration = 2 * time.Second

	leaseSafetyMargin = 400 * time.Millisecond // for the way there and back, and clocks that run unlike
	maxUtilization    = 0.8                    // of the slots, what may be in use, guests included; a guest is let in on a free slot only
	demandHeadroom    = 1.3                    // of what was refused
	quietPeriod       = 3 * time.Second        // without a refusal, after which less is asked for each time
	demandDecay       = 0.6
	minLeaseRate      = 0.5             // requests a second; less is not asked for
	relendDelay       = 3 * time.Second // of calm, a service that lacked room is lent again

	deniedRetryDelay    = 900 * time.Millisecond // of a refusal
	orderReserve        = 0.3                    // part of a purse that must be there for an order: lookups go first
	burstSeconds        = 0.25
	maxRememberedGuests = 1 << 16 // of guests that are remembered, against duplicates that come late
)

// Stats is what a site knows of one of its services.
type Stats struct {
	Slots          float64 `cbor:"1,keyasint"` // of replicas that are ready and warm, in zones that are not being emptied
	Rate           float64 `cbor:"2,keyasint"` // requests a second that reach them
	ServiceSeconds float64 `cbor:"3,keyasint"` // seconds that one takes
	RejectedRate   float64 `cbor:"4,keyasint"` // a second, for want of room
}

// SpareRate is what could be served besides, in requests a second.
func (s Stats) SpareRate() float64 {
	if s.ServiceSeconds <= 0 || s.RejectedRate > 0 {
		return 0
	}
	return max(maxUtilization*s.Slots/s.ServiceSeconds-s.Rate, 0)
}

// Lease is room that one site lends another.
type Lease struct {
	ID        string        `cbor:"1,keyasint"`
	Service   string        `cbor:"2,keyasint"`
	Site      string        `cbor:"3,keyasint"` // the other one
	Rate      float64       `cbor:"4,keyasint"`
	ExpiresAt time.Duration `cbor:"5,keyasint"` // by the holder's own clock
	Addrs     []string      `cbor:"6,keyasint,omitempty"`
}

// Lender is the lending side of one core machine.
type Lender struct {
	name       string
	leases     []Lease
	granted    uint64
	shortSince map[string]time.Duration // services that lacked room here, when last
}

// NewLender makes one; its name is no other lender's.
func NewLender(name string) *Lender {
	return &Lender{name: name, shortSince: map[string]time.Duration{}}
}

// MarkShort notes that a service lacks room here, or is borrowed for.
func (lender *Lender) MarkShort(now time.Duration, service string) { lender.shortSince[service] = now }

// Grant takes a wish. Room is this lender's part of what the site has; what is lent to others already comes off it. A
// borrower's older lease of the service is replaced by its new one: it uses one at a time.
func (lender *Lender) Grant(now time.Duration, borrower, service string, wanted, spare, limit float64) (Lease, bool) {
	lender.leases = slices.DeleteFunc(lender.leases, func(x Lease) bool { return now >= x.ExpiresAt })
	if at, ok := lender.shortSince[service]; ok && now-at < relendDelay {
		return Lease{}, false
	}
	for _, x := range lender.leases {
		if x.Service == service && x.Site != borrower {
			spare -= x.Rate
		}
	}
	rate := min(wanted, spare)
	if limit > 0 {
		rate = min(rate, limit)
	}
	if rate < minLeaseRate {
		return Lease{}, false
	}
	for i := range lender.leases { // still good at the door until it ends, for what is on its way
		if x := &lender.leases[i]; x.Service == service && x.Site == borrower {
			x.Rate = 0
		}
	}
	lender.granted++
	x := Lease{ID: fmt.Sprintf("%s.%d", lender.name, lender.granted), Service: service, Site: borrower, Rate: rate, ExpiresAt: now + LeaseDuration}
	lender.leases = append(lender.leases, x)
	return x, true
}

// ActiveLeases lists what is lent now.
func (lender *Lender) ActiveLeases(now time.Duration) (all []Lease) {
	for _, x := range lender.leases {
		if now < x.ExpiresAt {
			all = append(all, x)
		}
	}
	return all
}

// PeerSite is a site that may be asked.
type PeerSite struct {
	Site              string        `json:"site" cbor:"1,keyasint"`
	ControlPlaneAddrs []string      `json:"combs" cbor:"2,keyasint"`            // where its core machines hear other governors
	Distance          time.Duration `json:"distance" cbor:"3,keyasint"`         // one way
	MaxLend           float64       `json:"lend" cbor:"4,keyasint,omitempty"`   // requests a second of a service that it may be lent; 0: as many as there is room for
	MaxBorrow         float64       `json:"borrow" cbor:"5,keyasint,omitempty"` // likewise, that may be sent there; 0: any
	Closed            bool          `json:"closed" cbor:"6,keyasint,omitempty"` // nothing either way
}

// LeaseRequest is a wish for room.
type LeaseRequest struct {
	Site    string  `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	Rate    float64 `cbor:"3,keyasint"`
}

type demand struct {
	rate           float64
	lastRejectedAt time.Duration
	leases         map[string]Lease // by site
	deniedAt       map[string]time.Duration
}

// Borrower is the borrowing side of one core machine.
type Borrower struct{ demands map[string]*demand }

// NewBorrower makes one.
func NewBorrower() *Borrower { return &Borrower{demands: map[string]*demand{}} }

// RecordDemand takes what a second brought at a service: requests refused for want of room, and sent to neighbours.
func (borrower *Borrower) RecordDemand(now time.Duration, service string, rejected, forwarded float64) {
	demanded := borrower.demands[service]
	if demanded == nil {
		if rejected == 0 {
			return
		}
		demanded = &demand{leases: map[string]Lease{}, deniedAt: map[string]time.Duration{}}
		borrower.demands[service] = demanded
	}
	switch {
	case rejected > 0:
		demanded.rate, demanded.lastRejectedAt = max(demanded.rate*demandDecay, (rejected+forwarded)*demandHeadroom), now
	case now-demanded.lastRejectedAt > quietPeriod:
		if demanded.rate = max(demanded.rate*demandDecay, 0); forwarded > 0 {
			demanded.rate = max(demanded.rate, forwarded*demandDecay)
		}
	}
	if demanded.rate < minLeaseRate && len(borrower.UsableLeases(now, service)) == 0 {
		delete(borrower.demands, service)
	}
}

// LeaseRequests lists what is to be asked for now: of the nearest neighbour first, of the next ones what those before have not
// given. A lease is renewed when half of it is over; one that has refused is asked again after a while.
func (borrower *Borrower) LeaseRequests(now time.Duration, neighbours []PeerSite) (all []LeaseRequest) {
	near := slices.Clone(neighbours)
	slices.SortStableFunc(near, func(x, y PeerSite) int {
		return cmp.Or(cmp.Compare(x.Distance, y.Distance), strings.Compare(x.Site, y.Site))
	})
	for _, service := range slices.Sorted(maps.Keys(borrower.demands)) {
		n := borrower.demands[service]
		left := n.rate
		for _, x := range near {
			if left < minLeaseRate || x.Closed {
				continue
			}
			want := left
			if x.MaxBorrow > 0 {
				want = min(want, x.MaxBorrow)
			}
			l, held := n.leases[x.Site]
			if held = held && now < l.ExpiresAt; held {
				left -= l.Rate
			}
			if denied, ok := n.deniedAt[x.Site]; ok && now-denied < deniedRetryDelay {
				continue
			} else if !ok && !held {
				left -= want // it is asked alone at first
			}
			if !held || l.ExpiresAt-now < (LeaseDuration-leaseSafetyMargin)/2 || l.Rate < 0.8*want {
				all = append(all, LeaseRequest{x.Site, service, want})
			}
		}
	}
	return all
}

// HandleResponse takes a neighbour's answer; a lease without a rate is a refusal. Sent is when it was asked for, by our clock: the
// lease cannot have begun earlier.
func (borrower *Borrower) HandleResponse(now, sent time.Duration, site string, lease Lease) {
	n := borrower.demands[lease.Service]
	if n == nil {
		return
	}
	if lease.Rate <= 0 {
		n.deniedAt[site] = now
		return
	}
	lease.Site, lease.ExpiresAt = site, sent+LeaseDuration-leaseSafetyMargin
	if delete(n.deniedAt, site); lease.Rate < minLeaseRate*2 {
		n.deniedAt[site] = now
	}
	if now < lease.ExpiresAt {
		n.leases[site] = lease
	}
}

// UsableLeases lists the leases of a service that may be used.
func (borrower *Borrower) UsableLeases(now time.Duration, service string) (all []Lease) {
	if n := borrower.demands[service]; n != nil {
		for _, site := range slices.Sorted(maps.Keys(n.leases)) {
			if l := n.leases[site]; now < l.ExpiresAt {
				all = append(all, l)
			} else {
				delete(n.leases, site)
			}
		}
	}
	return all
}

// Services lists those that something is asked for.
func (borrower *Borrower) Services() []string { return slices.Sorted(maps.Keys(borrower.demands)) }

// BorrowedQuota is a forager's part of what its site has borrowed.
type BorrowedQuota struct {
	leases map[string]*tokenBucket // by lease
	serial uint64
	name   string
}

type tokenBucket struct {
	Lease
	tokens     float64
	refilledAt time.Duration
	nextAddr   int
}

// NewBorrowedQuota makes an empty one. Its name is no other purse's, also not in an earlier life.
func NewBorrowedQuota(name string) *BorrowedQuota {
	return &BorrowedQuota{leases: map[string]*tokenBucket{}, name: name}
}

// SetLeases sets the leases that may be used, each with this forager's part of its rate.
func (quota *BorrowedQuota) SetLeases(now time.Duration, leases []Lease) {
	next := map[string]*tokenBucket{}
	for _, l := range leases {
		bucket := quota.leases[l.ID]
		if bucket == nil {
			bucket = &tokenBucket{refilledAt: now}
			for _, o := range quota.leases { // what an older one of the same room has left stays
				if o.Site == l.Site && o.Service == l.Service {
					bucket.tokens, bucket.refilledAt = o.tokens, o.refilledAt
				}
			}
		}
		bucket.Lease = l
		next[l.ID] = bucket
	}
	quota.leases = next
}

// Token names one guest.
type Token struct {
	Lease, Serial, Addr, Site string
}

// String is how a token is told; Parse reads it.
func (t Token) String() string { return t.Lease + "/" + t.Serial }

// ParseToken reads a token.
func ParseToken(s string) (t Token, ok bool) {
	t.Lease, t.Serial, ok = strings.Cut(s, "/")
	return t, ok && t.Lease != "" && t.Serial != ""
}

// Spend spends on one request of a service, the nearest lease first in the order in which they were filled by site. An order
// is let go only where much is left: lookups go first.
func (quota *BorrowedQuota) Spend(now time.Duration, service string, safe bool) (Token, bool) {
	for _, id := range slices.Sorted(maps.Keys(quota.leases)) {
		bucket := quota.leases[id]
		if bucket.Service != service || now >= bucket.ExpiresAt || len(bucket.Addrs) == 0 {
			continue
		}
		capacity := max(bucket.Rate*burstSeconds, 1)
		bucket.tokens = min(bucket.tokens+bucket.Rate*max(now-bucket.refilledAt, 0).Seconds(), capacity)
		bucket.refilledAt = now
		if bucket.tokens < 1 || !safe && bucket.tokens < 1+orderReserve*(capacity-1) {
			continue
		}
		bucket.tokens--
		bucket.nextAddr++
		quota.serial++
		return Token{Lease: bucket.ID, Serial: quota.name + "-" + strconv.FormatUint(quota.serial, 36), Addr: bucket.Addrs[bucket.nextAddr%len(bucket.Addrs)], Site: bucket.Site}, true
	}
	return Token{}, false
}

// Admission is what becomes of a guest at the door.
type Admission int

const (
	NotExecuted Admission = iota // proof: it is not let in and never will be
	Admitted
	Duplicate // it has been here before: what became of it is not said again
)

// LentQuota is a forager's part of what its site has lent.
type LentQuota struct {
	leases    map[string]*tokenBucket
	seen      map[string]bool
	seenOrder []string
}

// NewLentQuota makes one that is closed.
func NewLentQuota() *LentQuota {
	return &LentQuota{leases: map[string]*tokenBucket{}, seen: map[string]bool{}}
}

// SetLeases sets the leases under which guests are let in, each with this forager's part.
func (quota *LentQuota) SetLeases(now time.Duration, leases []Lease) {
	next := map[string]*tokenBucket{}
	for _, l := range leases {
		bucket := quota.leases[l.ID]
		if bucket == nil {
			bucket = &tokenBucket{tokens: max(l.Rate*burstSeconds, 1), refilledAt: now}
		}
		if bucket.Lease = l; l.Rate == 0 { // replaced: what it has left is for what is on its way
			bucket.refilledAt = now
		}
		next[l.ID] = bucket
	}
	quota.leases = next
}

// Admit tells what becomes of a guest for a service. A duplicate is never let in: the first one may have run.
func (quota *LentQuota) Admit(now time.Duration, t Token, service string) Admission {
	key := t.String()
	if quota.seen[key] {
		return Duplicate
	}
	if len(quota.seenOrder) >= maxRememberedGuests {
		delete(quota.seen, quota.seenOrder[0])
		quota.seenOrder = quota.seenOrder[1:]
	}
	quota.seen[key] = true
	quota.seenOrder = append(quota.seenOrder, key)
	bucket := quota.leases[t.Lease]
	if bucket == nil || now >= bucket.ExpiresAt || bucket.Service != service {
		return NotExecuted
	}
	bucket.tokens = min(bucket.tokens+bucket.Rate*max(now-bucket.refilledAt, 0).Seconds(), max(2*bucket.Rate*burstSeconds, bucket.tokens, 2))
	if bucket.refilledAt = now; bucket.tokens < 1 {
		return NotExecuted
	}
	bucket.tokens--
	return Admitted
}
