package granter

import (
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
)

// leaseClock records, for each key, the latest time at which a grant call that this member made may have arrived at a replica.
type leaseClock struct {
	lastArrival [ownership.MaxKey + 1]time.Duration
}

// recordArrival records that a grant of a range may have arrived as late as now.
func (c *leaseClock) recordArrival(now time.Duration, from, to uint16) {
	for key := int(from); key <= int(to); key++ {
		c.lastArrival[key] = now
	}
}

// latestArrival returns the latest recorded time for any key of a range.
func (c *leaseClock) latestArrival(from, to uint16) time.Duration {
	latest := time.Duration(0)
	for key := int(from); key <= int(to); key++ {
		latest = max(latest, c.lastArrival[key])
	}
	return latest
}

// leaseEnd returns the time from which no replica can hold any key of a range under a grant made so far by this member or, before its tenure,
// by another one. A grant without a result may still arrive, so the caller must check that there is none.
func (g *Granter) leaseEnd(service *serviceState, from, to uint16) time.Duration {
	// A former head may have started a call until its authority ended, and the call may have arrived until it timed out.
	formerHeadArrival := g.tenureStart + AuthorityDuration + AuthorityDuration/clockRateDivisor + grantTimeout
	ownArrival := service.leases.latestArrival(from, to)
	return max(endOfLease(formerHeadArrival, longestLease), endOfLease(ownArrival, g.lease))
}

// endOfLease returns the time from which a lease that began at arrival has ended, also by a replica's clock that runs slow by 1/clockRateDivisor.
func endOfLease(arrival, lease time.Duration) time.Duration {
	return arrival + lease + lease/clockRateDivisor + leaseMargin
}

// hasGrantInFlight reports whether a grant of some keys of the range has no result yet.
func (g *Granter) hasGrantInFlight(service string, from, to uint16) bool {
	for _, call := range g.calls {
		if call.Kind == ownership.CallGrant && call.Service == service && call.From <= to && from <= call.To {
			return true
		}
	}
	return false
}
