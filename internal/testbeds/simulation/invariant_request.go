package simulation

import (
	"slices"
	"time"
)

// maxWarmupOvercommit is how much of what a warming replica bears may be dealt out at one moment: nine tenths are, by the
// number of gateways, which members learn of one after the other when it changes.
const maxWarmupOvercommit = 1.25

// checkRequest checks a request that a gateway sends to a replica.
func (c *cluster) checkRequest(g *gatewayNode, r *replica) {
	c.checkNotDrained(g, r)
	c.checkNotEvacuated(g, r)
	c.checkWarmupRate(r)
}

// checkNotDrained: a replica gets no requests after the deadline of a drain that was acknowledged.
func (c *cluster) checkNotDrained(g *gatewayNode, r *replica) {
	if r.drainAcknowledgedAt > 0 && c.isPropagationOverdue(r.drainAcknowledgedAt, drainDeadline) {
		c.violationf("%s sends to %s, whose drain was acknowledged at %.2f s", g.name, r.id, r.drainAcknowledgedAt.Seconds())
	}
}

// checkNotEvacuated: a zone gets no requests after the bound of an evacuation that was acknowledged.
func (c *cluster) checkNotEvacuated(g *gatewayNode, r *replica) {
	if at, evacuated := c.evacuatedAt[r.zone]; evacuated && c.isPropagationOverdue(at, evacuationBound) {
		c.violationf("%s sends to %s in zone %s, whose evacuation was acknowledged at %.2f s", g.name, r.id, r.zone, at.Seconds())
	}
}

// isPropagationOverdue reports whether what was acknowledged at a moment must be in force at all gateways, given a bound and that faults
// delay it.
func (c *cluster) isPropagationOverdue(acknowledgedAt, bound time.Duration) bool {
	return c.now > max(acknowledgedAt, c.faultActiveUntil+contactTimeout)+bound && c.faultFreeFor(contactTimeout)
}

// checkWarmupRate: a warming replica gets no more requests within a second than it bears, with some allowance for bursts.
func (c *cluster) checkWarmupRate(r *replica) {
	if !c.isWarming(r) {
		r.warmupArrivals = nil
		return
	}
	c.result.WarmupRequests++
	r.warmupArrivals = append(slices.DeleteFunc(r.warmupArrivals, func(at time.Duration) bool { return c.now-at >= time.Second }), c.now)
	if n := float64(len(r.warmupArrivals)); n > warmupRate*warmupBurstFactor+warmupSlack {
		c.violationf("%s is warming up and gets its %.0fth request within a second", r.id, n)
	}
}

// checkWarmupQuotas: what all running gateways together may send to a warming replica at one moment is bounded, also while
// the quotas change hands.
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
			c.violationf("%d gateways may send %.1f requests a second to %s, which is warming up", holders, sum, r.id)
		}
	}
}
