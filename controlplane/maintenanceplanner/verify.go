package maintenanceplanner

import (
	"fmt"
	"maps"
	"slices"

	"zincloft.example/zincloft/capacity"
)

// Verify checks a schedule against its request, independently of the planner and with the capacity computation that grants are
// based on. The error describes the first violation.
func (r *Request) Verify(schedule Schedule) error {
	byWindow := map[string][]Assignment{}
	for _, assignment := range schedule.Assignments {
		byWindow[assignment.Window] = append(byWindow[assignment.Window], assignment)
	}
	for _, window := range r.Windows {
		if err := verifyWindow(window, byWindow); err != nil {
			return err
		}
	}
	for slot := range r.SlotCount {
		if err := r.verifySlot(schedule, slot); err != nil {
			return err
		}
	}
	return nil
}

func verifyWindow(window WindowRequest, byWindow map[string][]Assignment) error {
	assignments := byWindow[window.Name]
	if len(assignments) != len(window.Nodes) {
		return fmt.Errorf("window %s: %d of %d nodes are scheduled", window.Name, len(assignments), len(window.Nodes))
	}
	for _, assignment := range assignments {
		if assignment.Start < window.Earliest || assignment.End > window.Latest || assignment.End-assignment.Start != window.DurationSlots {
			return fmt.Errorf("window %s of node %s: slots %d to %d violate its duration or bounds", window.Name, assignment.Node, assignment.Start, assignment.End)
		}
		for _, name := range window.After {
			endsLater := func(other Assignment) bool { return other.End > assignment.Start }
			if slices.ContainsFunc(byWindow[name], endsLater) {
				return fmt.Errorf("window %s of node %s begins before window %s is over", window.Name, assignment.Node, name)
			}
		}
		for _, name := range window.Conflicts {
			overlaps := func(other Assignment) bool { return other.Start < assignment.End && assignment.Start < other.End }
			if slices.ContainsFunc(byWindow[name], overlaps) {
				return fmt.Errorf("window %s of node %s overlaps with window %s", window.Name, assignment.Node, name)
			}
		}
	}
	return nil
}

func (r *Request) verifySlot(schedule Schedule, slot int) error {
	out, concurrent := map[string]bool{}, map[string]int{}
	for _, assignment := range schedule.Assignments {
		if assignment.covers(slot) {
			out[assignment.Node] = true
			concurrent[assignment.Window]++
		}
	}
	for _, window := range r.Windows {
		if window.MaxConcurrent > 0 && concurrent[window.Name] > window.MaxConcurrent {
			return fmt.Errorf("slot %d: %d nodes of window %s are out, more than its limit", slot, concurrent[window.Name], window.Name)
		}
	}
	if len(out) == 0 {
		return nil
	}
	isOut := func(node string) bool { return out[node] }
	for _, demand := range r.Demands {
		remaining := capacity.RemainingAfterLosses(r.Nodes, demand.Region, demand.Group, isOut, r.FaultTolerance)
		if remaining < demand.at(slot)-roundingSlack {
			return fmt.Errorf("slot %d: %s in region %s: %.2f requests/s remaining, %.2f required, out of service: %v",
				slot, demand.Group, demand.Region, remaining, demand.at(slot), slices.Sorted(maps.Keys(out)))
		}
	}
	return nil
}
