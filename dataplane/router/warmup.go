package router

import (
	"time"

	"zincloft.example/zincloft/messages"
)

const (
	// isolatedAfter is the time without updates after which a gateway limits its send rates. An update about an endpoint that is
	// warming up may take at most this long.
	isolatedAfter = 2 * time.Second

	// isolatedRateShare is the rate at which all isolated gateways together send to an endpoint, as a fraction of the maximum
	// rate to an endpoint that is warming up.
	isolatedRateShare = 0.9
)

// WarmupRate returns the rate, in requests per second, at which this gateway may send to an endpoint that is warming up.
func (r *Router) WarmupRate(now time.Duration, endpoint string) float64 {
	r.expireWarmupRates(now)
	return r.balancer.WarmupRate(endpoint)
}

// expireWarmupRates drops the warm-up rates if the member has sent no update for WarmupRateLifetime.
func (r *Router) expireWarmupRates(now time.Duration) {
	if r.hasWarmupRates && now-r.lastUpdateAt > messages.WarmupRateLifetime {
		r.setWarmupRates(now, nil)
	}
}

func (r *Router) setWarmupRates(now time.Duration, rates map[string]float64) {
	r.hasWarmupRates = len(rates) > 0
	r.balancer.SetWarmupRates(now, rates)
}

// updateIsolation limits the send rates of a gateway that has received no update for longer than isolatedAfter. Such a gateway
// does not learn which endpoints are warming up, so it sends to each endpoint at most its share of the maximum rate to one that
// is warming up. Services whose replicas need no warm-up are not limited.
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
