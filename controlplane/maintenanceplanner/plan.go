package maintenanceplanner

// maxSolverStarts bounds the requests that are given to the solver, by their open starts over all nodes.
const maxSolverStarts = 1200

// Plan makes a schedule: by Greedy first; then, where the request is small enough, the shortest one, by a solver for
// pseudo-Boolean constraints. The request must be valid. The error is an *InfeasibleError.
func Plan(r *Request) (Schedule, error) {
	schedule, infeasible := plan(r)
	if infeasible != nil {
		return schedule, infeasible
	}
	return schedule, nil
}

func plan(r *Request) (Schedule, *InfeasibleError) {
	schedule, infeasible := greedy(r)
	first, last := r.bounds()
	if infeasible == nil {
		last = schedule.end()
	}
	if len(r.Windows) == 0 || r.openStarts(last) > maxSolverStarts || r.FaultTolerance.Zones > 1 {
		return schedule, infeasible
	}
	if infeasible != nil {
		if infeasible.Proven {
			return schedule, infeasible
		}
		solved, ok := r.solve(last)
		if !ok {
			infeasible.Proven = true
			return schedule, infeasible
		}
		schedule, last = solved, first+solved.Makespan
	}
	return r.shorten(schedule, first+r.minMakespan(), last), nil
}

// shorten searches the earliest end for which there is a schedule, between a lower bound and the given schedule's end.
func (r *Request) shorten(schedule Schedule, low, high int) Schedule {
	for low < high {
		middle := (low + high) / 2
		if solved, ok := r.solve(middle); ok {
			schedule, high = solved, middle
		} else {
			low = middle + 1
		}
	}
	schedule.Optimal = true
	return schedule
}

// openStarts counts the starts that are open over all nodes where all must end by a slot.
func (r *Request) openStarts(end int) int {
	count := 0
	for _, window := range r.Windows {
		count += len(window.Nodes) * max(min(window.Latest, end)-window.DurationSlots-window.Earliest+1, 0)
	}
	return count
}
