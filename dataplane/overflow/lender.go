package overflow

import (
	"fmt"
	"slices"
	"time"
)

// relendDelay is how long a service must not have been short until it is lent again.
const relendDelay = 3 * time.Second

// Lender is the lending side of one control-plane member. It must not be used by several goroutines at once.
type Lender struct {
	name       string
	leases     []Lease
	granted    uint64                   // leases so far, for their IDs
	shortSince map[string]time.Duration // when services were last short of capacity here
}

// NewLender returns a lender. Its name must be no other lender's.
func NewLender(name string) *Lender {
	return &Lender{name: name, shortSince: map[string]time.Duration{}}
}

// RecordShortage notes that a service is short of capacity here, or that capacity is borrowed for it.
func (l *Lender) RecordShortage(now time.Duration, service string) { l.shortSince[service] = now }

// Grant answers a borrower's request. Spare is this lender's part of the site's spare capacity; what is lent to others comes
// off it. Limit bounds the rate; 0: unbounded. A lease replaces the borrower's older one of the service, as a borrower uses
// one at a time. It returns false where nothing is granted.
func (l *Lender) Grant(now time.Duration, borrower, service string, wanted, spare, limit float64) (Lease, bool) {
	l.leases = slices.DeleteFunc(l.leases, func(lease Lease) bool { return now >= lease.ExpiresAt })
	if at, ok := l.shortSince[service]; ok && now-at < relendDelay {
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

// replace takes the rate off a borrower's leases of a service. Until they expire they still admit the requests that are on
// their way.
func (l *Lender) replace(borrower, service string) {
	for i := range l.leases {
		if lease := &l.leases[i]; lease.Service == service && lease.Site == borrower {
			lease.Rate = 0
		}
	}
}

// ActiveLeases lists the leases that have not expired.
func (l *Lender) ActiveLeases(now time.Duration) []Lease {
	var active []Lease
	for _, lease := range l.leases {
		if now < lease.ExpiresAt {
			active = append(active, lease)
		}
	}
	return active
}
