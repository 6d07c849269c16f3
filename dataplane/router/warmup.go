package router

import (
	"time"

	"zincloft.example/zincloft/messages"
)

const (
	// isolatedAfter is how long a gateway that hears no member sends to endpoints at any rate: as late as any update that
	// says that one is warming up may be.
	isolatedAfter = 2 * time.Second

	// isolatedRateShare is the part of the rate of an endpoint that is warming up which all gateways that hear no member
	// together send to any endpoint.
	isolatedRateShare = 0.9
)

// WarmupRate returns how many requests a second this gateway may send to an endpoint while it is warming up.
func (r *Router) WarmupRate(now time.Duration, endpoint string) float64 {
	r.expireWarmupRates(now)
	return r.balancer.WarmupRate(endpoint)
}

// expireWarmupRates drops the warm-up rates of a member that has been silent.
func (r *Router) expireWarmupRates(now time.Duration) {
	if r.hasWarmupRates && now-r.lastUpdateAt > messages.WarmupRateLifetime {
		r.setWarmupRates(now, nil)
	}
}

func (r *Router) setWarmupRates(now time.Duration, rates map[string]float64) {
	r.hasWarmupRates = len(rates) > 0
	r.balancer.SetWarmupRates(now, rates)
}

// updateIsolation has a gateway that has heard no member for long send each endpoint no more than its share of what one
// that is warming up may be sent: it does not learn which endpoints are. Services whose replicas need no warm-up are sent
// at any rate on.
func (r *Router) updateIsolation(now time.Duration) {
	isolated := r.hasTable && r.config != nil && now-r.lastUpdateAt > isolatedAfter
	if isolated == r.isolated {
		return
	}
	r.isolated = isolated
	if !isolated {
		r.balancer.SetMinSendIntervals(nil)
		return
	}
	gateways := float64(max(r.gateways, minGateways))
	intervals := map[string]time.Duration{}
	for name, service := range r.config.Services {
		rate := isolatedRateShare * (service.WarmupRate*r.settings.WarmupOverage + r.settings.WarmupSlack)
		if service.WarmupRate > 0 && rate > 0 {
			intervals[name] = time.Duration(gateways / rate * float64(time.Second))
		}
	}
	r.balancer.SetMinSendIntervals(intervals)
}
