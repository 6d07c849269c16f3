package emulate

import (
	"slices"

	"zincloft.example/zincloft/rules"
)

// maxRejectedDraws is how many draws by weight may fall on replicas that are not eligible before only the eligible ones
// are drawn from.
const maxRejectedDraws = 8

// pick chooses a replica for an attempt of a flow: one that is not ejected and that the flow has not attempted; one that the
// proxy avoids only if there is no other; and one that was attempted before only if all were.
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
		if other, is := p.drawEligible(f, table, true); is && p.inFlight[other] < p.inFlight[id] {
			id = other
		}
	}
	return id, found
}

// isEligible reports whether a flow may be sent to a replica.
func (p *proxy) isEligible(f *flow, id rules.ReplicaID, skipAvoided bool) bool {
	if p.ejected[id] || slices.Contains(f.attempted, id) {
		return false
	}
	return !skipAvoided || p.avoidUntil[id] <= p.sim.now
}

// drawAny draws a replica by weight.
func (p *proxy) drawAny(table *tableSnapshot) rules.ReplicaID {
	return table.replicas[table.indexAt(p.sim.randomStream.Float64()*table.totalWeight())]
}

// drawEligible draws an eligible replica by weight: first by rejection, which is fast while nearly all are eligible, then
// by a pass over the table.
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
