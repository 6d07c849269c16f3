package overflow

import (
	"fmt"
	"slices"
	"time"
)

// relendDelay is the time after the last shortage of a service until its capacity is lent again.
const relendDelay = 3 * time.Second

// Lender grants leases on behalf of one control-plane member. It is not safe for concurrent use.
type Lender struct {
	name           string
	leases         []Lease
	granted        uint64                   // number of granted leases, used for their IDs
	lastShortageAt map[string]time.Duration // by service
}

// NewLender returns a lender without leases. Its name must be unique among all lenders.
func NewLender(name string) *Lender {
	return &Lender{name: name, lastShortageAt: map[string]time.Duration{}}
}

// RecordShortage records that this site has too little capacity for a service, or borrows capacity for it.
func (l *Lender) RecordShortage(now time.Duration, service string) { l.lastShortageAt[service] = now }

// Grant grants a lease to a borrower, or returns false if there is nothing to lend. Wanted is the requested rate, spare is this
// lender's share of the site's spare capacity before leases are deducted, and limit is the maximum rate (0 means unlimited).
// The lease replaces the borrower's previous lease for the service.
func (l *Lender) Grant(now time.Duration, borrower, service string, wanted, spare, limit float64) (Lease, bool) {
	l.leases = slices.DeleteFunc(l.leases, func(lease Lease) bool { return now >= lease.ExpiresAt })
	if at, ok := l.lastShortageAt[service]; ok && now-at < relendDelay {
		return Lease{}, false
	}
	for _, lease := range l.leases {
		if lease.Service == service && lease.Site != borrower {
			spare -= lease.Rate
		}
	}
	rate := min(wanted, spare)
	if limit > 0 {
		rate = min(rate, limit)
	}
	if rate < minLeaseRate {
		return Lease{}, false
	}
	l.replace(borrower, service)
	l.granted++
	lease := Lease{
		ID:        fmt.Sprintf("%s.%d", l.name, l.granted),
		Service:   service,
		Site:      borrower,
		Rate:      rate,
		ExpiresAt: now + LeaseDuration,
	}
	l.leases = append(l.leases, lease)
	return lease, true
}

// replace sets the rate of a borrower's leases for a service to 0. Until they expire, the leases still admit requests in
// transit.
func (l *Lender) replace(borrower, service string) {
	for i := range l.leases {
		if lease := &l.leases[i]; lease.Service == service && lease.Site == borrower {
			lease.Rate = 0
		}
	}
}

// ActiveLeases returns the leases that have not expired.
func (l *Lender) ActiveLeases(now time.Duration) []Lease {
	var active []Lease
	for _, lease := range l.leases {
		if now < lease.ExpiresAt {
			active = append(active, lease)
		}
	}
	return active
}
