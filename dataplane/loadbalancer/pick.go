package loadbalancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	spareUtilization = 0.85 // requests per slot below which an endpoint counts as having free slots
	fullUtilization  = 1.5  // requests per slot from which endpoints that are warming up are preferred
	maxFailureRate   = 0.5  // failure rate above which an endpoint is degraded
	minWeight        = 1e-3 // lower bound of the weight in random selection
)

// Pick selects an endpoint of a service for a request, or nil if none is available. Endpoints for which attempted returns true
// and endpoints with maxUtilization or more requests per slot are excluded. The random function returns a number in [0, 1).
func (b *Balancer) Pick(now time.Duration, service string, attempted func(string) bool, maxUtilization float64, random func() float64) *Endpoint {
	local, remote, warmingUp, degraded := b.classify(now, service, attempted)
	// Traffic between zones is billed, so local endpoints are preferred while they have free slots. When all endpoints are
	// busy, all zones share the load by weight.
	if endpoint := powerOfTwoChoices(now, local, spareUtilization, random); endpoint != nil {
		return endpoint
	}
	if endpoint := powerOfTwoChoices(now, remote, spareUtilization, random); endpoint != nil {
		return endpoint
	}
	healthy := append(local, remote...)
	if endpoint := powerOfTwoChoices(now, healthy, min(fullUtilization, maxUtilization), random); endpoint != nil {
		return endpoint
	}
	if n := len(warmingUp); n > 0 {
		return warmingUp[int(random()*float64(n))%n]
	}
	if endpoint := powerOfTwoChoices(now, healthy, maxUtilization, random); endpoint != nil {
		return endpoint
	}
	if len(healthy) > 0 {
		return nil
	}
	return powerOfTwoChoices(now, degraded, maxUtilization, random)
}

// PickIdle is like Pick, but selects only a healthy endpoint with free slots.
func (b *Balancer) PickIdle(now time.Duration, service string, attempted func(string) bool, random func() float64) *Endpoint {
	local, remote, _, _ := b.classify(now, service, attempted)
	if endpoint := powerOfTwoChoices(now, local, spareUtilization, random); endpoint != nil {
		return endpoint
	}
	return powerOfTwoChoices(now, remote, spareUtilization, random)
}

// classify groups a service's available endpoints: healthy ones in the gateway's zone, healthy ones in other zones, those that
// are warming up and have a token left, and degraded ones. It returns four slices instead of a struct, as this lets the
// compiler keep small slices off the heap.
func (b *Balancer) classify(now time.Duration, service string, attempted func(string) bool) (local, remote, warmingUp, degraded []*Endpoint) {
	for _, endpoint := range b.byService[service] {
		if attempted(endpoint.ID) || !b.isAvailable(now, endpoint) {
			continue
		}
		switch {
		case endpoint.WarmingUp(now):
			endpoint.warmup.refill(now)
			if endpoint.warmup.tokens >= 1 && now >= endpoint.ejectedUntil {
				warmingUp = append(warmingUp, endpoint)
			}
		case endpoint.isDegraded(now):
			degraded = append(degraded, endpoint)
		case endpoint.Zone == b.zone:
			local = append(local, endpoint)
		default:
			remote = append(remote, endpoint)
		}
	}
	return local, remote, warmingUp, degraded
}

// isAvailable reports whether an endpoint may be sent a request at all.
func (b *Balancer) isAvailable(now time.Duration, endpoint *Endpoint) bool {
	if !b.AcceptsRequests(endpoint) {
		return false
	}
	if limit, ok := b.maxInFlight[endpoint.Service]; ok && endpoint.inFlight >= limit {
		return false
	}
	return !endpoint.hasSent || now-endpoint.lastSentAt >= b.minSendIntervals[endpoint.Service]
}

// AcceptsRequests reports whether an endpoint is neither draining nor in an evacuated zone.
func (b *Balancer) AcceptsRequests(endpoint *Endpoint) bool {
	return !endpoint.Draining && !b.evacuatedZones[endpoint.Zone]
}

// isDegraded reports whether an endpoint is to be used only if no healthy ones are available.
func (e *Endpoint) isDegraded(now time.Duration) bool {
	return e.HeartbeatTimedOut || now < e.ejectedUntil || e.Weight <= 0 || e.failureRate > maxFailureRate || e.pairEjected
}

// powerOfTwoChoices selects two endpoints at random by weight and returns the less loaded one. If that is not below
// maxUtilization it returns the least loaded endpoint of all, or nil if none is below maxUtilization.
func powerOfTwoChoices(now time.Duration, endpoints []*Endpoint, maxUtilization float64, random func() float64) *Endpoint {
	chosen, other := weightedRandom(endpoints, random), weightedRandom(endpoints, random)
	if chosen == nil {
		return nil
	}
	if other.Utilization(now) < chosen.Utilization(now) {
		chosen = other
	}
	if chosen.Utilization(now) < maxUtilization {
		return chosen
	}
	chosen = slices.MinFunc(endpoints, func(x, y *Endpoint) int { return cmp.Compare(x.Utilization(now), y.Utilization(now)) })
	if chosen.Utilization(now) < maxUtilization {
		return chosen
	}
	return nil
}

// weightedRandom selects an endpoint at random with a probability proportional to its weight, or returns nil if there are no
// endpoints. It always calls random exactly once, so that the sequence of random numbers is reproducible.
func weightedRandom(endpoints []*Endpoint, random func() float64) *Endpoint {
	total := 0.0
	for _, endpoint := range endpoints {
		total += max(endpoint.Weight, minWeight)
	}
	remaining := random() * total
	for _, endpoint := range endpoints {
		if remaining -= max(endpoint.Weight, minWeight); remaining < 0 {
			return endpoint
		}
	}
	if len(endpoints) > 0 {
		return endpoints[len(endpoints)-1]
	}
	return nil
}
