package controller

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
	"zincloft.example/zincloft/messages"
)

// warmupRateShare is the fraction of a service's warm-up rate that is assigned; the rest is a safety margin.
const warmupRateShare = 0.9

// warmupRateDelay is how long a member that started or was isolated assigns no warm-up rates: until the rates that it assigned earlier have
// expired at the gateways.
const warmupRateDelay = messages.WarmupRateLifetime + 100*time.Millisecond

// allocateWarmupRates assigns each instance that is warming up to one of this member's gateways. It returns the allowed requests per second by
// gateway and instance. Each voter of the view assigns an equal share of the instance's warm-up rate, whether or not the other voters are alive,
// so that the total stays within the limit while members fail and gateways change members.
func (c *Controller) allocateWarmupRates(now time.Duration) map[*gatewayStream]map[string]float32 {
	rates := map[*gatewayStream]map[string]float32{}
	view := c.coordinator.View()
	if len(c.streams) == 0 || !view.HasVoter(c.coordinator.Self().ID) || now-c.reconnectedAt < warmupRateDelay {
		return rates
	}
	share := warmupRateShare / float64(len(view.Voters))
	c.registry.Each(now, func(instance fleet.Instance) {
		if !warmingUp(instance) {
			return
		}
		stream := c.warmupStream(instance)
		if rates[stream] == nil {
			rates[stream] = map[string]float32{}
		}
		limit := c.config.Services[instance.Service].WarmupRate
		rate := float32(limit * share)
		_, granted := rates[stream][instance.ID]
		invariant.Check(invariant.WarmupGrantsWithinBudget, !granted && float64(rate)*float64(len(view.Voters)) <= limit, func() string {
			return fmt.Sprintf("%s: warm-up limit is %g requests/s, but %d members assign %g each", instance.ID, limit, len(view.Voters), rate)
		})
		rates[stream][instance.ID] = rate
	})
	return rates
}

// warmupStream selects the gateway that may send requests to an instance while it warms up, by rendezvous hashing. Gateways in the instance's
// zone are preferred.
func (c *Controller) warmupStream(instance fleet.Instance) *gatewayStream {
	const sameZone = 1 << 63
	var best *gatewayStream
	var bestScore uint64
	for _, stream := range c.streams {
		score := xxhash.Sum64String(instance.ID+" "+stream.gateway) >> 1
		if stream.zone == instance.Zone {
			score |= sameZone
		}
		if best == nil || score > bestScore {
			best = stream
			bestScore = score
		}
	}
	return best
}

// warmingUp reports whether requests to an instance are limited to its warm-up rate.
func warmingUp(instance fleet.Instance) bool {
	return !instance.Draining && (instance.WarmupMillis != 0 || instance.WarmupStateUnknown || instance.Stale)
}
