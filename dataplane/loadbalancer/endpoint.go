package loadbalancer

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// loadReportLifetime is how long a replica's report of its load counts, less with time.
const loadReportLifetime = 1500 * time.Millisecond

// Load is the load that a replica reports of itself with a response.
type Load struct {
	_ struct{} `cbor:",toarray"`

	Running int // requests that it works on
	Waiting int // requests that it has queued
	Slots   int // requests that it can work on at once; 0: it reported no load
}

// Endpoint is a registered instance of a replica as this gateway sees it.
type Endpoint struct {
	ID, Service, Addr, Zone string

	Slots             int // requests that it works on at once
	Weight            float64
	Draining          bool
	HeartbeatTimedOut bool

	warmup warmup

	hasSent          bool
	lastSentAt       time.Duration // where hasSent is set
	inFlight         int           // requests of this gateway
	inFlightOfOthers float64       // requests of other gateways, by its report
	loadReportedAt   time.Duration

	ejectedUntil        time.Duration
	fleetEjectedUntil   time.Duration // the part of ejectedUntil that the control plane decided
	pairEjected         bool          // ejected for this gateway alone, by the control plane
	consecutiveFailures int
	failureRate         float64 // moving average, from 0 to 1

	// Since the last ResetStats.
	Attempts     int // that began
	Successes    int
	Failures     int
	TotalLatency time.Duration // of the successes

	// By its newest report of its load; ReportedSlots is 0 where there was none since the last ResetStats.
	Running, Waiting, ReportedSlots int
}

// Instance returns what this gateway knows of the endpoint, as it reports it to a member.
func (e *Endpoint) Instance(now time.Duration) fleet.Instance {
	return fleet.Instance{
		ID:            e.ID,
		Service:       e.Service,
		Addr:          e.Addr,
		Zone:          e.Zone,
		Slots:         e.Slots,
		Draining:      e.Draining,
		Sequence:      e.warmup.sequence,
		WarmthUnknown: e.warmup.unknown && now < e.warmup.unknownUntil,
		Stale:         e.warmup.stale && now < e.warmup.unknownUntil,
		WarmupMillis:  max((e.warmup.until - now).Milliseconds(), 0),
	}
}

// Utilization estimates how many requests to a slot the endpoint has, running and waiting.
func (e *Endpoint) Utilization(now time.Duration) float64 {
	freshness := 1 - min(float64(now-e.loadReportedAt)/float64(loadReportLifetime), 1)
	load := float64(e.inFlight) + e.inFlightOfOthers*freshness
	return load / float64(max(e.Slots, 1))
}

// RecordLoad takes in the load that a replica reports with a response. What this gateway has in flight there is no load of
// others.
func (e *Endpoint) RecordLoad(now time.Duration, load Load) {
	e.Running, e.Waiting, e.ReportedSlots = load.Running, load.Waiting, load.Slots
	e.inFlightOfOthers = max(float64(load.Running+load.Waiting-e.inFlight), 0)
	e.loadReportedAt = now
}

// ResetStats begins a new report period.
func (e *Endpoint) ResetStats() {
	e.Attempts, e.Failures, e.Successes, e.TotalLatency, e.ReportedSlots = 0, 0, 0, 0, 0
}
