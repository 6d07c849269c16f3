package loadbalancer

import "time"

// unreachableOwnerPause is how long an owner receives no requests after a failed connection.
const unreachableOwnerPause = 400 * time.Millisecond

// OwnerState says whether the owner of a shard key can take a request.
type OwnerState int

// The values of OwnerState.
const (
	OwnerAvailable   OwnerState = iota
	OwnerUnknown                // not an endpoint of the service
	OwnerLeaving                // draining, or in an evacuated zone
	OwnerUnreachable            // a connection failed within unreachableOwnerPause
	OwnerLimited                // at its warm-up rate, its send interval or its limit of requests in flight
	OwnerBusy                   // at or above the maximum utilization
)

// CheckOwner returns the endpoint that owns a request's shard key, and whether it can take the request. Ejections and health
// do not count, as no other endpoint can take its place.
func (b *Balancer) CheckOwner(now time.Duration, service, id string, maxUtilization float64) (*Endpoint, OwnerState) {
	endpoint := b.endpoints[id]
	switch {
	case endpoint == nil || endpoint.Service != service:
		return nil, OwnerUnknown
	case !b.AcceptsRequests(endpoint):
		return endpoint, OwnerLeaving
	case endpoint.connectFailed && now-endpoint.connectFailedAt < unreachableOwnerPause:
		return endpoint, OwnerUnreachable
	case !b.mayOwnerReceive(now, endpoint):
		return endpoint, OwnerLimited
	case endpoint.Utilization(now) >= maxUtilization:
		return endpoint, OwnerBusy
	}
	return endpoint, OwnerAvailable
}

// mayOwnerReceive reports whether the limits of an owner's requests allow one more.
//
// All gateways send to an owner, so a gateway's share of its connections may be less than the requests for a busy key that
// one gateway receives. The limit is therefore at least the number of slots: with as many requests of one gateway in flight
// the owner has none free, and admission control decides.
func (b *Balancer) mayOwnerReceive(now time.Duration, owner *Endpoint) bool {
	if limit, ok := b.maxInFlight[owner.Service]; ok && owner.inFlight >= max(limit, owner.Slots) {
		return false
	}
	if owner.hasSent && now-owner.lastSentAt < b.minSendIntervals[owner.Service] {
		return false
	}
	if !owner.WarmingUp(now) {
		return true
	}
	owner.warmup.refill(now)
	return owner.warmup.tokens >= 1
}
