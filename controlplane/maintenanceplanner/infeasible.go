package maintenanceplanner

import (
	"fmt"
	"math"
)

// infeasible returns the error for a node's window that cannot be placed at or after first in addition to those already placed.
func (t *capacityTable) infeasible(placed placement, first int) *InfeasibleError {
	window := t.request.Windows[placed.window]
	failure := &InfeasibleError{Window: window.Name, Node: t.request.Nodes[placed.node].Name}
	empty := newCapacityTable(t.request)
	if _, fitsAlone := empty.earliestFit(placed, window.Earliest, window.Latest); !fitsAlone {
		failure.Proven = true
		failure.Reason = empty.describeSmallestShortfall(placed, window.Earliest, window.Latest)
	} else {
		failure.Reason = "together with the other windows: " + t.describeSmallestShortfall(placed, first, window.Latest)
		if reason := t.capacityExceeded(placed.window); reason != "" {
			failure.Proven, failure.Reason = true, reason
		}
	}
	failure.Suggestion = t.suggestion(placed, first)
	return failure
}

// suggestion describes a change of the request that would make the window fit, or returns "" if none was found.
func (t *capacityTable) suggestion(placed placement, first int) string {
	window := t.request.Windows[placed.window]
	if start, ok := t.earliestFit(placed, first, t.request.SlotCount); ok {
		return fmt.Sprintf("it would fit with latest slot %d instead of %d", start+placed.duration, window.Latest)
	}
	if longest := t.longestFit(placed, first, window.Latest); longest > 0 {
		return fmt.Sprintf("it would fit with a duration of %d slots instead of %d", longest, window.DurationSlots)
	}
	return ""
}

// describeSmallestShortfall describes the shortfall that remains with the most favorable start in [first, latest-duration].
func (t *capacityTable) describeSmallestShortfall(placed placement, first, latest int) string {
	smallest, atSlot := shortfall{demand: noDemand, amount: math.Inf(1)}, noDemand
	for start := first; start+placed.duration <= latest; start++ {
		worst, slot := t.worstShortfall(placed, start)
		if worst.demand != noDemand && worst.amount < smallest.amount {
			smallest, atSlot = worst, slot
		}
	}
	if smallest.demand == noDemand {
		return "conflicting windows or the limit of concurrent nodes leave no slot for it"
	}
	demand := t.request.Demands[smallest.demand]
	required := demand.at(atSlot)
	return fmt.Sprintf("%s in region %s in slot %d: %.1f requests/s required, %.1f remaining",
		demand.Group, demand.Region, atSlot, required, required-smallest.amount)
}

// worstShortfall returns the largest shortfall of a window with the given start, and the slot in which it occurs.
func (t *capacityTable) worstShortfall(placed placement, start int) (worst shortfall, atSlot int) {
	worst, atSlot = shortfall{demand: noDemand}, start
	for slot := start; slot < start+placed.duration; slot++ {
		if missing := t.shortfall(slot, placed.node); missing.demand != noDemand && missing.amount > worst.amount {
			worst, atSlot = missing, slot
		}
	}
	return worst, atSlot
}

// capacityExceeded compares, for each demand, the spare capacity between a window's earliest and latest slot with the capacity that
// the windows confined to that interval need. If they need more, no schedule exists, and it returns the reason; otherwise "".
//
// The comparison does not apply if zone failures are to be tolerated, because nodes that are out in the largest zone reduce the
// remaining capacity only after that zone is no longer the largest.
func (t *capacityTable) capacityExceeded(window int) string {
	r := t.request
	if r.FaultTolerance.Zones != 0 {
		return ""
	}
	from, to := r.Windows[window].Earliest, r.Windows[window].Latest
	empty := newCapacityTable(r)
	for i, demand := range r.Demands {
		available := 0.0
		for slot := from; slot < to; slot++ {
			available += max(empty.remaining(i, slot, noNode)-demand.at(slot), 0)
		}
		if required := t.requiredWithin(demand, from, to); required > available+tolerance {
			return fmt.Sprintf("between slots %d and %d, %s in region %s has a spare capacity of %.0f requests/s x slots, but the windows in that interval need %.0f",
				from, to, demand.Group, demand.Region, available, required)
		}
	}
	return ""
}

// requiredWithin returns the capacity, in requests/s x slots, that the windows confined to [from, to) take out of service.
func (t *capacityTable) requiredWithin(demand Demand, from, to int) float64 {
	required := 0.0
	for _, window := range t.request.Windows {
		if window.Earliest < from || window.Latest > to {
			continue
		}
		for _, name := range window.Nodes {
			if node := t.request.Nodes[t.nodeIndex[name]]; node.Region == demand.Region {
				required += node.Capacity[demand.Group] * float64(window.DurationSlots)
			}
		}
	}
	return required
}
