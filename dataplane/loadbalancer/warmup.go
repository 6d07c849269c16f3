package loadbalancer

import (
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

const (
	// maxWarmthUnknown is how long an endpoint counts as warming up where no update settles whether it is: the members that
	// knew may have lost it.
	maxWarmthUnknown = 10 * time.Second

	// restoredZoneWarmup is how long the endpoints of a zone whose evacuation ended count as warming up: two heartbeats at
	// the usual interval.
	restoredZoneWarmup = 3 * time.Second
)

// warmup is what is known of an endpoint's slow start, and the token bucket that bounds what it is sent meanwhile.
//
// Invariant: what is older than what is known takes nothing back. Updates come from members that know of different
// heartbeats, also right after a restart from their disks; see docs/design/staleness.md.
type warmup struct {
	until    time.Duration // it is warming up until then
	sequence uint64        // of the newest heartbeat known; 0: none
	stale    bool          // only a stale update is known

	unknown      bool          // it may be warming up
	unknownSince uint64        // sequence of the last heartbeat before it became unknown: a newer heartbeat resolves it
	unknownUntil time.Duration // when it is taken for warm if no update resolves it

	rate     float64 // requests a second that this gateway may send meanwhile
	tokens   float64 // requests that it may send now, at most one
	tokensAt time.Duration
}

// isActive tells whether the endpoint is to be sent no more than its warm-up rate.
func (w *warmup) isActive(now time.Duration) bool {
	return now < w.until || (w.unknown || w.stale) && now < w.unknownUntil
}

// refill adds the tokens of the time since the last call.
func (w *warmup) refill(now time.Duration) {
	w.tokens = min(w.tokens+w.rate*(now-w.tokensAt).Seconds(), 1)
	w.tokensAt = now
}

// setRate sets the rate that this gateway was assigned; with 0 the endpoint is another gateway's.
func (w *warmup) setRate(now time.Duration, rate float64) {
	w.refill(now)
	if w.rate = rate; rate == 0 {
		w.tokens = 0
	}
}

// markUnknown has the endpoint count as warming up until a heartbeat newer than since, or for a time.
func (w *warmup) markUnknown(since uint64, until time.Duration) {
	w.unknown, w.unknownSince, w.unknownUntil = true, since, until
}

// update takes in what an update says of the endpoint. One that is older than what is known changes nothing, one of the
// same heartbeat takes nothing back, and a stale one counts only where nothing is known, but for unknown warmth.
func (w *warmup) update(now time.Duration, instance fleet.Instance) {
	until := now + time.Duration(instance.WarmupMillis)*time.Millisecond
	known := w.sequence > 0 && !w.stale
	if known && instance.Stale {
		w.until = max(w.until, until)
		if instance.WarmthUnknown { // a member that has just started may be the one that ended the evacuation
			w.markUnknown(max(w.sequence, instance.Sequence), now+maxWarmthUnknown)
		}
		return
	}
	switch {
	case instance.WarmthUnknown: // the evacuation of its zone ended: that is newer than any heartbeat
		w.unknown, w.unknownSince = true, instance.Sequence
	case !known || instance.Sequence == 0 || instance.Sequence > w.unknownSince:
		w.unknown = false
	}
	if instance.WarmthUnknown || instance.Stale {
		w.unknownUntil = now + maxWarmthUnknown
	}
	switch {
	case known && instance.Sequence > 0 && instance.Sequence < w.sequence:
	case known && instance.Sequence == w.sequence:
		w.until = max(w.until, until)
	default:
		w.until, w.stale, w.sequence = until, instance.Stale, instance.Sequence
	}
}

// WarmingUp tells whether the endpoint is to be sent no more than its warm-up rate.
func (e *Endpoint) WarmingUp(now time.Duration) bool { return e.warmup.isActive(now) }

// SetWarmupRates sets what this gateway may send to endpoints that are warming up, in requests a second, in place of all
// rates set before.
func (b *Balancer) SetWarmupRates(now time.Duration, rates map[string]float64) {
	b.warmupRates = rates
	for id, endpoint := range b.endpoints {
		endpoint.warmup.setRate(now, rates[id])
	}
}

// WarmupRate returns what this gateway may send to an endpoint while it is warming up, in requests a second.
func (b *Balancer) WarmupRate(id string) float64 { return b.warmupRates[id] }

// SetEvacuatedZones sets the zones whose endpoints get no requests. Endpoints of a zone whose evacuation has ended may have
// turned cold; the member may not remember the evacuation, as it has just started, so their warmth is unknown here too,
// until their second new heartbeat.
func (b *Balancer) SetEvacuatedZones(now time.Duration, zones []string) {
	for _, endpoint := range b.endpoints {
		restored := b.evacuatedZones[endpoint.Zone] && !slices.Contains(zones, endpoint.Zone)
		w := &endpoint.warmup
		if restored && (!w.unknown || now >= w.unknownUntil) {
			w.markUnknown(w.sequence+1, now+restoredZoneWarmup)
		}
	}
	clear(b.evacuatedZones)
	for _, zone := range zones {
		b.evacuatedZones[zone] = true
	}
}
