package loadbalancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	spareUtilization = 0.85 // requests to a slot below which an endpoint has free slots
	fullUtilization  = 1.5  // requests to a slot from which an endpoint counts as full
	maxFailureRate   = 0.5  // from which an endpoint gets only what others cannot take
	minWeight        = 1e-3 // of an endpoint that may be picked
)

// Pick chooses an endpoint of a service for a request, or nil. attempted tells which endpoints the request has been at.
// None is chosen that has maxUtilization requests to a slot or more. random returns a number from 0 to 1.
func (b *Balancer) Pick(now time.Duration, service string, attempted func(string) bool, maxUtilization float64, random func() float64) *Endpoint {
	local, remote, warmingUp, degraded := b.classify(now, service, attempted)
	// Bytes between zones cost money, so the own zone's endpoints go first while they have free slots. Once they are full,
	// all zones share the load by weight.
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
	return powerOfTwoChoices(now, degraded, maxUtilization, random) // nothing better is left: these may have recovered
}

// PickIdle chooses as Pick does, but only a healthy endpoint with free slots.
func (b *Balancer) PickIdle(now time.Duration, service string, attempted func(string) bool, random func() float64) *Endpoint {
	local, remote, _, _ := b.classify(now, service, attempted)
	if endpoint := powerOfTwoChoices(now, local, spareUtilization, random); endpoint != nil {
		return endpoint
	}
	return powerOfTwoChoices(now, remote, spareUtilization, random)
}

// classify sorts the endpoints of a service that a request may go to: those of the gateway's zone, of other zones, those
// that are warming up and may be sent a request by their warm-up rate, and those that are ejected, unhealthy or of weight
// 0. It returns four slices, as the compiler keeps the first elements of these off the heap, but not those of a struct.
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

// isAvailable tells whether an endpoint may be sent a request at all.
func (b *Balancer) isAvailable(now time.Duration, endpoint *Endpoint) bool {
	if !b.AcceptsRequests(endpoint) {
		return false
	}
	if limit, ok := b.maxInFlight[endpoint.Service]; ok && endpoint.inFlight >= limit {
		return false
	}
	return !endpoint.hasSent || now-endpoint.lastSentAt >= b.minSendIntervals[endpoint.Service]
}

// AcceptsRequests tells whether an endpoint neither drains nor is in a zone that is evacuated.
func (b *Balancer) AcceptsRequests(endpoint *Endpoint) bool {
	return !endpoint.Draining && !b.evacuatedZones[endpoint.Zone]
}

// isDegraded tells whether an endpoint is a last choice.
func (e *Endpoint) isDegraded(now time.Duration) bool {
	return e.HeartbeatTimedOut || now < e.ejectedUntil || e.Weight <= 0 || e.failureRate > maxFailureRate || e.pairEjected
}

// powerOfTwoChoices draws two endpoints by weight and takes the less loaded one, or the least loaded of all where that is
// too loaded; nil: none is below maxUtilization.
func powerOfTwoChoices(now time.Duration, from []*Endpoint, maxUtilization float64, random func() float64) *Endpoint {
	chosen, other := weightedRandom(from, random), weightedRandom(from, random)
	if chosen == nil {
		return nil
	}
	if other.Utilization(now) < chosen.Utilization(now) {
		chosen = other
	}
	if chosen.Utilization(now) < maxUtilization {
		return chosen
	}
	chosen = slices.MinFunc(from, func(x, y *Endpoint) int { return cmp.Compare(x.Utilization(now), y.Utilization(now)) })
	if chosen.Utilization(now) < maxUtilization {
		return chosen
	}
	return nil
}

// weightedRandom draws an endpoint with a chance in proportion to its weight; nil: there is none. It calls random once in
// any case, so that equal calls draw equal numbers.
func weightedRandom(from []*Endpoint, random func() float64) *Endpoint {
	total := 0.0
	for _, endpoint := range from {
		total += max(endpoint.Weight, minWeight)
	}
	left := random() * total
	for _, endpoint := range from {
		if left -= max(endpoint.Weight, minWeight); left < 0 {
			return endpoint
		}
	}
	if len(from) > 0 {
		return from[len(from)-1]
	}
	return nil
}
