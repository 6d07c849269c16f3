package router

import (
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// minStatusPeriod is the shortest report period, in seconds, that rates are computed with.
const minStatusPeriod = 0.1

// IsServing reports whether no maintenance window requires this gateway to drain.
func (r *Router) IsServing() bool { return r.phase == fleet.PhaseServing }

// RejectsRequests reports whether this gateway rejects requests because of a maintenance window. It does so once the platform
// has had time to redirect clients to other gateways.
func (r *Router) RejectsRequests(now time.Duration) bool {
	return r.phase != fleet.PhaseServing && now-r.drainingSince > ReadinessPropagation
}

// updateMaintenance applies this gateway's maintenance window. A window with an older fencing token is ignored; an empty
// window means that the last one has ended.
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

// gatewayStatus returns the status of this gateway, which is reported if maintenance windows are enabled. The gateway is
// drained once it has no requests in flight and has been draining for longer than ReadinessPropagation.
func (r *Router) gatewayStatus(now, period time.Duration, cpuUtilization float64) *messages.GatewayStatus {
	if r.phase == fleet.PhaseDraining && r.inFlight == 0 && now-r.drainingSince > ReadinessPropagation {
		r.phase = fleet.PhaseDrained
	}
	status := &messages.GatewayStatus{
		Ready:           r.config != nil && r.hasTable,
		Phase:           r.phase,
		FencingToken:    r.fencingToken,
		CapacityByGroup: r.meter.Sample(period, cpuUtilization),
		LoadByGroup:     map[string]float64{},
	}
	for group, requests := range r.groupRequests {
		status.LoadByGroup[group] = float64(requests) / max(period.Seconds(), minStatusPeriod)
	}
	clear(r.groupRequests)
	return status
}
