package overflow

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	demandHeadroom       = 1.3                    // requested, times what is rejected and forwarded
	demandDecay          = 0.6                    // of the demand that is left after each second
	quietPeriod          = 3 * time.Second        // without a rejection, after which the demand decays
	deniedRetryDelay     = 900 * time.Millisecond // after a denial
	renewBelow           = (LeaseDuration - leaseSafetyMargin) / 2
	sufficientLeaseShare = 0.8 // of what is wanted; a lease of less is requested again
)

// Borrower is the borrowing side of one control-plane member. It must not be used by several goroutines at once.
type Borrower struct{ demands map[string]*demand }

// demand is what a service wants to borrow.
type demand struct {
	rate           float64 // requests a second
	lastRejectedAt time.Duration
	leases         map[string]Lease         // by site
	deniedAt       map[string]time.Duration // by site
}

// NewBorrower returns a borrower without demand.
func NewBorrower() *Borrower { return &Borrower{demands: map[string]*demand{}} }

// RecordDemand takes what a second brought at a service: requests rejected for want of capacity, and requests forwarded to
// peer sites.
func (b *Borrower) RecordDemand(now time.Duration, service string, rejected, forwarded float64) {
	wanted := b.demands[service]
	if wanted == nil {
		if rejected == 0 {
			return
		}
		wanted = &demand{leases: map[string]Lease{}, deniedAt: map[string]time.Duration{}}
		b.demands[service] = wanted
	}
	switch {
	case rejected > 0:
		wanted.rate = max(wanted.rate*demandDecay, (rejected+forwarded)*demandHeadroom)
		wanted.lastRejectedAt = now
	case now-wanted.lastRejectedAt > quietPeriod:
		wanted.rate = max(wanted.rate*demandDecay, 0)
		if forwarded > 0 {
			wanted.rate = max(wanted.rate, forwarded*demandDecay)
		}
	}
	if wanted.rate < minLeaseRate && len(b.UsableLeases(now, service)) == 0 {
		delete(b.demands, service)
	}
}

// LeaseRequests lists what is to be requested now: from the nearest site first, from the next ones what those before have not
// granted. A lease is renewed when half of it is over; a site that denied one is asked again after deniedRetryDelay.
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
		lease, held := d.leases[site.Site]
		held = held && now < lease.ExpiresAt
		if held {
			missing -= lease.Rate
		}
		deniedAt, denied := d.deniedAt[site.Site]
		if denied && now-deniedAt < deniedRetryDelay {
			continue
		}
		if !denied && !held {
			missing -= wanted // at first nobody else is asked for it
		}
		if !held || lease.ExpiresAt-now < renewBelow || lease.Rate < sufficientLeaseShare*wanted {
			requests = append(requests, LeaseRequest{Site: site.Site, Service: service, Rate: wanted})
		}
	}
	return requests
}

// HandleResponse takes a site's answer to a request that was sent at sentAt by this member's clock; the lease can't have begun
// earlier. A lease without a rate is a denial.
func (b *Borrower) HandleResponse(now, sentAt time.Duration, site string, lease Lease) {
	wanted := b.demands[lease.Service]
	if wanted == nil {
		return
	}
	if lease.Rate <= 0 {
		wanted.deniedAt[site] = now
		return
	}
	lease.Site = site
	lease.ExpiresAt = sentAt + LeaseDuration - leaseSafetyMargin
	delete(wanted.deniedAt, site)
	if lease.Rate < minLeaseRate*2 {
		wanted.deniedAt[site] = now // it has hardly anything left
	}
	if now < lease.ExpiresAt {
		wanted.leases[site] = lease
	}
}

// UsableLeases lists the leases of a service that have not expired, by site, and forgets the others.
func (b *Borrower) UsableLeases(now time.Duration, service string) []Lease {
	wanted := b.demands[service]
	if wanted == nil {
		return nil
	}
	var usable []Lease
	for _, site := range slices.Sorted(maps.Keys(wanted.leases)) {
		if lease := wanted.leases[site]; now < lease.ExpiresAt {
			usable = append(usable, lease)
		} else {
			delete(wanted.leases, site)
		}
	}
	return usable
}

// Services lists the services with a demand, sorted.
func (b *Borrower) Services() []string { return slices.Sorted(maps.Keys(b.demands)) }
