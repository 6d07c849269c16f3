package controller

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
	"zincloft.example/zincloft/messages"
)

// warmupRateShare is the part of a service's warm-up rate that is given out; the rest is a reserve.
const warmupRateShare = 0.9

// warmupRateDelay is for how long a member that has just started, or was isolated, gives out no warm-up rates: until those that it gave out
// before have expired at the gateways.
const warmupRateDelay = messages.WarmupRateLifetime + 100*time.Millisecond

// allocateWarmupRates gives, for each instance that is warming up, one of this member's gateways the right to send it requests: requests a
// second, by gateway and instance. Each voter of the view gives out an equal part of what the instance bears, whether or not the others
// are alive, so that the sum holds while members fail and gateways change members.
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
		bearable := c.config.Services[instance.Service].WarmupRate
		rate := float32(bearable * share)
		_, granted := rates[stream][instance.ID]
		invariant.Check(invariant.WarmupGrantsWithinBudget, !granted && float64(rate)*float64(len(view.Voters)) <= bearable, func() string {
			return fmt.Sprintf("%s bears %g requests a second, %d members grant %g each", instance.ID, bearable, len(view.Voters), rate)
		})
		rates[stream][instance.ID] = rate
	})
	return rates
}

// warmupStream chooses the gateway that may call an instance while it warms up, by rendezvous hashing: one in the instance's zone where there
// is one.
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

// warmingUp reports whether an instance takes requests at its warm-up rate only.
func warmingUp(instance fleet.Instance) bool {
	return !instance.Draining && (instance.WarmupMillis != 0 || instance.WarmthUnknown || instance.Stale)
}
