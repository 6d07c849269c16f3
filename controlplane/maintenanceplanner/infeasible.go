package maintenanceplanner

import (
	"fmt"
	"math"
)

// infeasible explains why a node's window cannot be placed from first on, beside those that were placed before.
func (t *capacityTable) infeasible(placed placement, first int) *InfeasibleError {
	window := t.request.Windows[placed.window]
	failure := &InfeasibleError{Window: window.Name, Node: t.request.Nodes[placed.node].Name}
	empty := newCapacityTable(t.request)
	if _, fitsAlone := empty.earliestFit(placed, window.Earliest, window.Latest); !fitsAlone {
		failure.Proven = true
		failure.Reason = empty.closestMiss(placed, window.Earliest, window.Latest)
	} else {
		failure.Reason = "beside the others, " + t.closestMiss(placed, first, window.Latest)
		if reason := t.capacityExceeded(placed.window); reason != "" {
			failure.Proven, failure.Reason = true, reason
		}
	}
	failure.Suggestion = t.suggestion(placed, first)
	return failure
}

// suggestion names the nearest change with which the window would fit; empty where there is none.
func (t *capacityTable) suggestion(placed placement, first int) string {
	window := t.request.Windows[placed.window]
	if start, ok := t.earliestFit(placed, first, t.request.SlotCount); ok {
		return fmt.Sprintf("it would fit if its latest were slot %d in place of %d", start+placed.duration, window.Latest)
	}
	if longest := t.longestFit(placed, first, window.Latest); longest > 0 {
		return fmt.Sprintf("it would fit if it took %d slots in place of %d", longest, window.DurationSlots)
	}
	return ""
}

// closestMiss describes the shortfall at the start of [first, latest-duration] at which least is missing.
func (t *capacityTable) closestMiss(placed placement, first, latest int) string {
	closest, atSlot := shortfall{demand: noDemand, amount: math.Inf(1)}, noDemand
	for start := first; start+placed.duration <= latest; start++ {
		worst, slot := t.worstShortfall(placed, start)
		if worst.demand != noDemand && worst.amount < closest.amount {
			closest, atSlot = worst, slot
		}
	}
	if closest.demand == noDemand {
		return "the windows that it must be apart from, or its own nodes together, leave no time for it"
	}
	demand := t.request.Demands[closest.demand]
	required := demand.at(atSlot)
	return fmt.Sprintf("%s of %s in slot %d: %.1f a second are needed, %.1f would be left",
		demand.Group, demand.Region, atSlot, required, required-closest.amount)
}

// worstShortfall returns the greatest shortfall of a window that begins at a slot, and its slot.
func (t *capacityTable) worstShortfall(placed placement, start int) (worst shortfall, atSlot int) {
	worst, atSlot = shortfall{demand: noDemand}, start
	for slot := start; slot < start+placed.duration; slot++ {
		if missing := t.shortfall(slot, placed.node); missing.demand != noDemand && missing.amount > worst.amount {
			worst, atSlot = missing, slot
		}
	}
	return worst, atSlot
}

// capacityExceeded compares, for each demand, the capacity that can be given up between a window's earliest and latest with what
// the windows that must lie there take. Where they take more there is no schedule, in whatever order; it then says so.
//
// Where a zone may be lost it proves nothing: a node that is out in the strongest zone costs nothing at first.
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
		if taken := t.takenWithin(demand, from, to); taken > available+tolerance {
			return fmt.Sprintf("between slots %d and %d, %s of %s can give up %.0f requests a second times slots, and the windows that must lie there take %.0f",
				from, to, demand.Group, demand.Region, available, taken)
		}
	}
	return ""
}

// takenWithin is the capacity times slots that the windows take that must lie between two slots.
func (t *capacityTable) takenWithin(demand Demand, from, to int) float64 {
	taken := 0.0
	for _, window := range t.request.Windows {
		if window.Earliest < from || window.Latest > to {
			continue
		}
		for _, name := range window.Nodes {
			if node := t.request.Nodes[t.nodeIndex[name]]; node.Region == demand.Region {
				taken += node.Capacity[demand.Group] * float64(window.DurationSlots)
			}
		}
	}
	return taken
}
