package overflow

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	demandHeadroom       = 1.3                                     // ratio of the demand to the rate of rejected and forwarded requests
	demandDecay          = 0.6                                     // factor by which the demand decays per second
	demandHoldTime       = 3 * time.Second                         // time after the last rejection until the demand decays
	deniedRetryDelay     = 900 * time.Millisecond                  // time until a site that denied a lease is asked again
	renewBelow           = (LeaseDuration - leaseSafetyMargin) / 2 // remaining validity below which a lease is renewed
	sufficientLeaseShare = 0.8                                     // share of the wanted rate below which a lease is requested again
)

// Borrower requests leases on behalf of one control-plane member. It is not safe for concurrent use.
type Borrower struct{ demands map[string]*demand } // by service

// demand is the capacity that a service wants to borrow.
type demand struct {
	rate           float64 // requests per second
	lastRejectedAt time.Duration
	leases         map[string]Lease         // by site
	deniedAt       map[string]time.Duration // by site
}

// NewBorrower returns a borrower without demand.
func NewBorrower() *Borrower { return &Borrower{demands: map[string]*demand{}} }

// RecordDemand updates the demand of a service with the last second's requests: those rejected for lack of capacity and those
// forwarded to peer sites.
func (b *Borrower) RecordDemand(now time.Duration, service string, rejected, forwarded float64) {
	d := b.demands[service]
	if d == nil {
		if rejected == 0 {
			return
		}
		d = &demand{leases: map[string]Lease{}, deniedAt: map[string]time.Duration{}}
		b.demands[service] = d
	}
	switch {
	case rejected > 0:
		d.rate = max(d.rate*demandDecay, (rejected+forwarded)*demandHeadroom)
		d.lastRejectedAt = now
	case now-d.lastRejectedAt > demandHoldTime:
		d.rate = max(d.rate*demandDecay, 0)
		if forwarded > 0 {
			d.rate = max(d.rate, forwarded*demandDecay)
		}
	}
	if d.rate < minLeaseRate && len(b.UsableLeases(now, service)) == 0 {
		delete(b.demands, service)
	}
}

// LeaseRequests returns the lease requests that are to be sent now. The nearest site is asked first, and farther sites for what
// the nearer ones have not granted. Leases are renewed halfway through their validity, and a site that denied a lease is asked
// again after deniedRetryDelay.
func (b *Borrower) LeaseRequests(now time.Duration, sites []PeerSite) []LeaseRequest {
	nearestFirst := slices.Clone(sites)
	slices.SortStableFunc(nearestFirst, func(x, y PeerSite) int {
		return cmp.Or(cmp.Compare(x.Distance, y.Distance), strings.Compare(x.Site, y.Site))
	})
	var requests []LeaseRequest
	for _, service := range b.Services() {
		requests = append(requests, b.demands[service].leaseRequests(now, service, nearestFirst)...)
	}
	return requests
}

func (d *demand) leaseRequests(now time.Duration, service string, nearestFirst []PeerSite) []LeaseRequest {
	var requests []LeaseRequest
	missing := d.rate
	for _, site := range nearestFirst {
		if missing < minLeaseRate || site.Closed {
			continue
		}
		wanted := missing
		if site.MaxBorrow > 0 {
			wanted = min(wanted, site.MaxBorrow)
		}
		lease, leased := d.leases[site.Site]
		leased = leased && now < lease.ExpiresAt
		if leased {
			missing -= lease.Rate
		}
		deniedAt, denied := d.deniedAt[site.Site]
		if denied && now-deniedAt < deniedRetryDelay {
			continue
		}
		if !denied && !leased {
			missing -= wanted // farther sites are asked only after this site has responded
		}
		if !leased || lease.ExpiresAt-now < renewBelow || lease.Rate < sufficientLeaseShare*wanted {
			requests = append(requests, LeaseRequest{Site: site.Site, Service: service, Rate: wanted})
		}
	}
	return requests
}

// HandleResponse handles a site's response to a lease request. The lease expires relative to sentAt, when this member sent the
// request, as the lease cannot have started earlier. A lease with a rate of 0 is a denial.
func (b *Borrower) HandleResponse(now, sentAt time.Duration, site string, lease Lease) {
	d := b.demands[lease.Service]
	if d == nil {
		return
	}
	if lease.Rate <= 0 {
		d.deniedAt[site] = now
		return
	}
	lease.Site = site
	lease.ExpiresAt = sentAt + LeaseDuration - leaseSafetyMargin
	delete(d.deniedAt, site)
	if lease.Rate < minLeaseRate*2 {
		d.deniedAt[site] = now // the site has almost no spare capacity left
	}
	if now < lease.ExpiresAt {
		d.leases[site] = lease
	}
}

// UsableLeases returns a service's leases that have not expired, sorted by site, and deletes the others.
func (b *Borrower) UsableLeases(now time.Duration, service string) []Lease {
	d := b.demands[service]
	if d == nil {
		return nil
	}
	var usable []Lease
	for _, site := range slices.Sorted(maps.Keys(d.leases)) {
		if lease := d.leases[site]; now < lease.ExpiresAt {
			usable = append(usable, lease)
		} else {
			delete(d.leases, site)
		}
	}
	return usable
}

// Services returns the services with a demand, sorted by name.
func (b *Borrower) Services() []string { return slices.Sorted(maps.Keys(b.demands)) }
