package emulate

import (
	"slices"

	"zincloft.example/zincloft/rules"
)

// maxRejectedDraws is the number of weighted draws that may hit ineligible replicas before the draw is restricted to eligible ones.
const maxRejectedDraws = 8

// pick chooses a replica for an attempt. It prefers replicas that are not ejected, not avoided and not yet attempted for the flow,
// then avoided ones, then ones that were already attempted.
func (p *proxy) pick(f *flow) (id rules.ReplicaID, found bool) {
	table := p.tables[f.group]
	if table.totalWeight() <= 0 {
		return 0, false
	}
	id, found = p.drawEligible(f, table, true)
	if !found {
		id, found = p.drawEligible(f, table, false)
	}
	if !found && len(f.attempted) > 0 {
		id = p.drawAny(table)
		found = !p.ejected[id]
	}
	if found && p.sim.config.PickPolicy == PickPowerOfTwoChoices {
		if other, ok := p.drawEligible(f, table, true); ok && p.inFlight[other] < p.inFlight[id] {
			id = other
		}
	}
	return id, found
}

// isEligible reports whether a replica is neither ejected nor already attempted for a flow, nor avoided if skipAvoided is set.
func (p *proxy) isEligible(f *flow, id rules.ReplicaID, skipAvoided bool) bool {
	if p.ejected[id] || slices.Contains(f.attempted, id) {
		return false
	}
	return !skipAvoided || p.avoidUntil[id] <= p.sim.now
}

// drawAny draws a replica by weight, whether or not it is eligible.
func (p *proxy) drawAny(table *tableSnapshot) rules.ReplicaID {
	return table.replicas[table.indexAt(p.sim.randomStream.Float64()*table.totalWeight())]
}

// drawEligible draws an eligible replica by weight: first by rejection sampling, which is fast while most replicas are eligible,
// then by a scan of the table.
func (p *proxy) drawEligible(f *flow, table *tableSnapshot, skipAvoided bool) (rules.ReplicaID, bool) {
	for range maxRejectedDraws {
		if id := p.drawAny(table); p.isEligible(f, id, skipAvoided) {
			return id, true
		}
	}
	eligibleWeight := 0.0
	for i, id := range table.replicas {
		if p.isEligible(f, id, skipAvoided) {
			eligibleWeight += table.weights[i]
		}
	}
	remaining := p.sim.randomStream.Float64() * eligibleWeight
	for i, id := range table.replicas {
		if !p.isEligible(f, id, skipAvoided) {
			continue
		}
		remaining -= table.weights[i]
		if remaining <= 0 {
			return id, true
		}
	}
	return 0, false
}
