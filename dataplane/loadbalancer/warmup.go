package loadbalancer

import (
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

const (
	// unknownWarmupStateTimeout is how long an endpoint of unknown warm-up state counts as warming up if no update resolves it. The members
	// that knew may have lost their state.
	unknownWarmupStateTimeout = 10 * time.Second

	// restoredZoneWarmup is how long endpoints count as warming up after the evacuation of their zone has ended: two
	// heartbeats at the usual interval.
	restoredZoneWarmup = 3 * time.Second
)

// warmup is the slow-start state of an endpoint and the token bucket that limits its requests while it is warming up.
//
// Invariant: older information never overrides newer information. Members may know different heartbeats of an instance, in
// particular after a restart from disk; see docs/design/staleness.md.
type warmup struct {
	until     time.Duration // end of the warm-up
	heldUntil time.Duration // the endpoint counts as warming up until then, whatever updates say
	sequence  uint64        // sequence number of the newest heartbeat; 0 if none is known
	stale     bool          // the state comes from a stale update

	unknown      bool          // the endpoint may be warming up
	unknownSince uint64        // heartbeats with a greater sequence number resolve the unknown warm-up state
	unknownUntil time.Duration // time at which an unresolved endpoint counts as warm

	rate     float64 // requests per second that this gateway may send during the warm-up
	tokens   float64 // available tokens, at most one
	tokensAt time.Duration
}

// isActive reports whether the endpoint is limited to its warm-up rate.
func (w *warmup) isActive(now time.Duration) bool {
	return now < max(w.until, w.heldUntil) || (w.unknown || w.stale) && now < w.unknownUntil
}

// refill adds the tokens that have accrued since the last call.
func (w *warmup) refill(now time.Duration) {
	w.tokens = min(w.tokens+w.rate*(now-w.tokensAt).Seconds(), 1)
	w.tokensAt = now
}

// setRate sets the rate that is assigned to this gateway. A rate of 0 also discards the available tokens, as the endpoint may
// be assigned to another gateway.
func (w *warmup) setRate(now time.Duration, rate float64) {
	w.refill(now)
	if w.rate = rate; rate == 0 {
		w.tokens = 0
	}
}

// markUnknown makes the endpoint count as warming up until a heartbeat newer than since arrives, or until the given time.
func (w *warmup) markUnknown(since uint64, until time.Duration) {
	w.unknown, w.unknownSince, w.unknownUntil = true, since, until
}

// update applies an update of the instance. An update with an older heartbeat is ignored, one with the same heartbeat can only
// extend the warm-up, and a stale one applies only if no fresh state is known. An unknown warm-up state is always applied, and so is
// a held warm-up, which no update ends.
func (w *warmup) update(now time.Duration, instance fleet.Instance) {
	until := now + time.Duration(instance.WarmupMillis)*time.Millisecond
	if instance.WarmupHeldMillis > 0 {
		w.heldUntil = max(w.heldUntil, now+instance.WarmupHeld())
	}
	known := w.sequence > 0 && !w.stale
	if known && instance.Stale {
		w.until = max(w.until, until)
		if instance.WarmupStateUnknown { // the evacuation may have been ended by a member that has just started and sends stale updates
			w.markUnknown(max(w.sequence, instance.Sequence), now+unknownWarmupStateTimeout)
		}
		return
	}
	switch {
	case instance.WarmupStateUnknown: // the evacuation of the zone ended after the last heartbeat
		w.unknown, w.unknownSince = true, instance.Sequence
	case !known || instance.Sequence == 0 || instance.Sequence > w.unknownSince:
		w.unknown = false
	}
	if instance.WarmupStateUnknown || instance.Stale {
		w.unknownUntil = now + unknownWarmupStateTimeout
	}
	switch {
	case known && instance.Sequence > 0 && instance.Sequence < w.sequence:
	case known && instance.Sequence == w.sequence:
		w.until = max(w.until, until)
	default:
		w.until, w.stale, w.sequence = until, instance.Stale, instance.Sequence
	}
}

// WarmingUp reports whether the endpoint is limited to its warm-up rate.
func (e *Endpoint) WarmingUp(now time.Duration) bool { return e.warmup.isActive(now) }

// SetWarmupRates replaces the rates, in requests per second by endpoint ID, at which this gateway may send to endpoints that
// are warming up.
func (b *Balancer) SetWarmupRates(now time.Duration, rates map[string]float64) {
	b.warmupRates = rates
	for id, endpoint := range b.endpoints {
		endpoint.warmup.setRate(now, rates[id])
	}
}

// WarmupRate returns the rate, in requests per second, at which this gateway may send to an endpoint that is warming up.
func (b *Balancer) WarmupRate(id string) float64 { return b.warmupRates[id] }

// SetEvacuatedZones sets the zones whose endpoints receive no requests. Endpoints may have become cold until shortly before the end of
// the evacuation of their zone. After it they count as warming up for as long as a warm-up lasts, whatever heartbeats arrive
// meanwhile, because these may have been sent before, and then until their second new heartbeat. The balancer marks this itself,
// because a restarted member may not know of the evacuation.
func (b *Balancer) SetEvacuatedZones(now time.Duration, zones []string) {
	for zone := range b.evacuatedZones {
		if !slices.Contains(zones, zone) {
			b.zoneRestoredAt[zone] = now
		}
	}
	for _, endpoint := range b.endpoints {
		restored := b.evacuatedZones[endpoint.Zone] && !slices.Contains(zones, endpoint.Zone)
		if !restored {
			continue
		}
		b.holdWarmup(endpoint)
		w := &endpoint.warmup
		if !w.unknown || now >= w.unknownUntil {
			w.markUnknown(w.sequence+1, now+restoredZoneWarmup)
		}
	}
	clear(b.evacuatedZones)
	for _, zone := range zones {
		b.evacuatedZones[zone] = true
	}
}

// holdWarmup makes an endpoint count as warming up for the warm-up duration of its service from the end of the last evacuation of its
// zone, if there was one.
func (b *Balancer) holdWarmup(endpoint *Endpoint) {
	if restoredAt, restored := b.zoneRestoredAt[endpoint.Zone]; restored {
		w := &endpoint.warmup
		w.heldUntil = max(w.heldUntil, restoredAt+b.warmupDurations[endpoint.Service])
	}
}
