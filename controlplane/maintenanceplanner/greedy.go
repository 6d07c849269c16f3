package maintenanceplanner

// Greedy makes a schedule by placing one window after another at the earliest time at which it fits. The error is an
// *InfeasibleError.
func Greedy(r *Request) (Schedule, error) {
	schedule, infeasible := greedy(r)
	if infeasible != nil {
		return schedule, infeasible
	}
	return schedule, nil
}

func greedy(r *Request) (Schedule, *InfeasibleError) {
	table := newCapacityTable(r)
	order, _ := r.topologicalOrder()
	ends := map[string]int{} // by window name
	var schedule Schedule
	for _, i := range order {
		window := r.Windows[i]
		first := window.Earliest
		for _, other := range window.After {
			first = max(first, ends[other])
		}
		for _, placed := range r.placements(i, table.nodeIndex) {
			start, ok := table.earliestFit(placed, first, window.Latest)
			if !ok {
				return schedule, table.infeasible(placed, first)
			}
			table.place(placed, start)
			schedule.Assignments = append(schedule.Assignments, r.assignment(placed, start))
			ends[window.Name] = max(ends[window.Name], start+placed.duration)
		}
	}
	return schedule.finish(r), nil
}
