package loadbalancer

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// loadReportLifetime is the time over which the weight of a replica's load report decays to zero.
const loadReportLifetime = 1500 * time.Millisecond

// Load is the load that a replica reports with a response.
type Load struct {
	_ struct{} `cbor:",toarray"`

	Running int // requests being processed
	Waiting int // queued requests
	Slots   int // maximum number of requests processed concurrently; 0 if no load was reported
}

// Endpoint is this gateway's view of a registered instance.
type Endpoint struct {
	ID, Service, Addr, Zone string

	Slots             int // maximum number of requests processed concurrently
	Weight            float64
	Draining          bool
	HeartbeatTimedOut bool

	warmup warmup

	hasSent          bool
	lastSentAt       time.Duration // valid if hasSent is set
	inFlight         int           // this gateway's requests
	inFlightOfOthers float64       // other gateways' requests, from the last load report
	loadReportedAt   time.Duration

	ejectedUntil        time.Duration
	fleetEjectedUntil   time.Duration // end of the last ejection by the control plane
	pairEjected         bool          // ejected by the control plane for this gateway only
	consecutiveFailures int
	failureRate         float64 // moving average, from 0 to 1

	connectFailed   bool          // no connection could be opened, and no response has arrived since
	connectFailedAt time.Duration // valid if connectFailed is set

	// Statistics since the last ResetStats.
	Attempts     int // started attempts
	Successes    int
	Failures     int
	TotalLatency time.Duration // sum over the successes

	// The last load report. ReportedSlots is 0 if there was none since the last ResetStats.
	Running, Waiting, ReportedSlots int
}

// Instance returns the endpoint's state in the form that is reported to control-plane members.
func (e *Endpoint) Instance(now time.Duration) fleet.Instance {
	heldUntil := e.warmup.heldUntil
	return fleet.Instance{
		ID:                 e.ID,
		Service:            e.Service,
		Addr:               e.Addr,
		Zone:               e.Zone,
		Slots:              e.Slots,
		Draining:           e.Draining,
		Sequence:           e.warmup.sequence,
		WarmupStateUnknown: e.warmup.unknown && now < e.warmup.unknownUntil,
		Stale:              e.warmup.stale && now < e.warmup.unknownUntil,
		WarmupMillis:       max((max(e.warmup.until, heldUntil) - now).Milliseconds(), 0),
		WarmupHeldMillis:   max((heldUntil - now).Milliseconds(), 0),
	}
}

// Utilization estimates the endpoint's number of requests per slot, both running and queued.
func (e *Endpoint) Utilization(now time.Duration) float64 {
	freshness := 1 - min(float64(now-e.loadReportedAt)/float64(loadReportLifetime), 1)
	load := float64(e.inFlight) + e.inFlightOfOthers*freshness
	return load / float64(max(e.Slots, 1))
}

// RecordLoad records a load report from a replica. The load of other gateways is the reported load less this gateway's
// requests in flight.
func (e *Endpoint) RecordLoad(now time.Duration, load Load) {
	e.Running, e.Waiting, e.ReportedSlots = load.Running, load.Waiting, load.Slots
	e.inFlightOfOthers = max(float64(load.Running+load.Waiting-e.inFlight), 0)
	e.loadReportedAt = now
}

// ResetStats resets the statistics at the start of a report period.
func (e *Endpoint) ResetStats() {
	e.Attempts, e.Failures, e.Successes, e.TotalLatency, e.ReportedSlots = 0, 0, 0, 0, 0
}
