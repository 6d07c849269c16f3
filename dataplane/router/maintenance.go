package router

import (
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// minStatusPeriod bounds the division by a report's period.
const minStatusPeriod = 0.1 // seconds

// IsServing tells whether no maintenance window has this gateway drain: it is ready, as far as windows go.
func (r *Router) IsServing() bool { return r.phase == fleet.PhaseServing }

// RejectsRequests tells whether this gateway turns requests away for a maintenance window: once the platform has had the
// time to send its clients elsewhere.
func (r *Router) RejectsRequests(now time.Duration) bool {
	return r.phase != fleet.PhaseServing && now-r.drainingSince > ReadinessPropagation
}

// updateMaintenance applies this gateway's maintenance window. A window with an older fencing token is ignored; one that
// is not there any more has ended.
func (r *Router) updateMaintenance(now time.Duration, window messages.MaintenanceWindow) {
	switch {
	case window.Phase == "":
		r.phase, r.fencingToken = fleet.PhaseServing, 0
	case window.Phase == fleet.PhaseReturning:
		r.phase, r.fencingToken = fleet.PhaseServing, max(window.FencingToken, r.fencingToken)
	case window.FencingToken > r.fencingToken || r.phase == fleet.PhaseServing && window.FencingToken == r.fencingToken:
		r.fencingToken = window.FencingToken
		if r.phase == fleet.PhaseServing {
			r.phase, r.drainingSince = fleet.PhaseDraining, now
		}
	}
}

// gatewayStatus is what this gateway reports of itself where maintenance windows are used: over a period in which it was
// busy from 0 to 1. It is drained once no request is in flight and none has come for ReadinessPropagation.
func (r *Router) gatewayStatus(now, period time.Duration, busy float64) *messages.GatewayStatus {
	if r.phase == fleet.PhaseDraining && r.inFlight == 0 && now-r.drainingSince > ReadinessPropagation {
		r.phase = fleet.PhaseDrained
	}
	status := &messages.GatewayStatus{
		Ready:           r.config != nil && r.hasTable,
		Phase:           r.phase,
		FencingToken:    r.fencingToken,
		CapacityByGroup: r.meter.Sample(period, busy),
		LoadByGroup:     map[string]float64{},
	}
	for group, requests := range r.groupRequests {
		status.LoadByGroup[group] = float64(requests) / max(period.Seconds(), minStatusPeriod)
	}
	clear(r.groupRequests)
	return status
}
