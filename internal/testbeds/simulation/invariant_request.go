package simulation

import (
	"slices"
	"time"
)

// maxWarmupOvercommit limits the warm-up rate granted by all members together, relative to what a warming replica
// accepts. Members grant nine tenths of it, divided by the number of gateways, and learn of a change of that number
// one after the other.
const maxWarmupOvercommit = 1.25

// checkRequest checks a request that a gateway sends to a replica.
func (c *cluster) checkRequest(g *gatewayNode, r *replica) {
	c.checkNotDrained(g, r)
	c.checkNotEvacuated(g, r)
	c.checkWarmupRate(r)
}

// checkNotDrained checks that a replica receives no requests after the deadline of an acknowledged drain.
func (c *cluster) checkNotDrained(g *gatewayNode, r *replica) {
	if r.drainAcknowledgedAt > 0 && c.isPropagationOverdue(r.drainAcknowledgedAt, drainDeadline) {
		c.violationf("%s sent a request to %s, whose drain was acknowledged at %.2f s", g.name, r.id, r.drainAcknowledgedAt.Seconds())
	}
}

// checkNotEvacuated checks that a zone receives no requests after evacuationBound from an acknowledged evacuation.
func (c *cluster) checkNotEvacuated(g *gatewayNode, r *replica) {
	if at, evacuated := c.evacuatedAt[r.zone]; evacuated && c.isPropagationOverdue(at, evacuationBound) {
		c.violationf("%s sent a request to %s in zone %s, whose evacuation was acknowledged at %.2f s", g.name, r.id, r.zone, at.Seconds())
	}
}

// isPropagationOverdue reports whether all gateways must have applied a change, given its propagation bound and recent
// faults.
func (c *cluster) isPropagationOverdue(acknowledgedAt, bound time.Duration) bool {
	return c.now > max(acknowledgedAt, c.faultActiveUntil+contactTimeout)+bound && c.faultFreeFor(contactTimeout)
}

// checkWarmupRate checks that a warming replica receives no more requests per second than it accepts, with an
// allowance for bursts.
func (c *cluster) checkWarmupRate(r *replica) {
	if !c.isWarming(r) {
		r.warmupArrivals = nil
		return
	}
	c.result.WarmupRequests++
	r.warmupArrivals = append(slices.DeleteFunc(r.warmupArrivals, func(at time.Duration) bool { return c.now-at >= time.Second }), c.now)
	if n := float64(len(r.warmupArrivals)); n > warmupRate*warmupBurstFactor+warmupSlack {
		c.violationf("%s received %.0f requests within a second while warming up", r.id, n)
	}
}

// checkWarmupQuotas checks that the warm-up rates of all running gateways together stay within bounds at all times,
// also while quotas are reassigned.
func (c *cluster) checkWarmupQuotas() {
	for _, r := range c.replicas {
		if !c.isWarming(r) {
			continue
		}
		sum, holders := 0.0, 0
		for _, g := range c.gateways {
			if !g.up || g.paused {
				continue
			}
			if quota := g.router.WarmupRate(c.monotonicTime(&g.process), r.id); quota > 0 {
				sum += quota
				holders++
			}
		}
		if sum > warmupRate*maxWarmupOvercommit {
			c.violationf("%d gateways may send %.1f requests per second to %s while it warms up", holders, sum, r.id)
		}
	}
}
