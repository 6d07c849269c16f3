package maintenanceplanner

// maxSolverCandidates is the number of candidates up to which requests are passed to the solver.
const maxSolverCandidates = 1200

// Plan makes a schedule with Greedy. If the request is small enough, it then searches for the shortest schedule with a
// pseudo-Boolean solver. The request must be valid. The error is an *InfeasibleError.
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
	if len(r.Windows) == 0 || r.candidateCount(last) > maxSolverCandidates || r.FaultTolerance.Zones > 1 {
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

// shorten performs a binary search for the earliest end of a schedule, between the lower bound low and the given schedule's end.
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

// candidateCount returns the number of possible start slots over all nodes if all windows must be over by end.
func (r *Request) candidateCount(end int) int {
	count := 0
	for _, window := range r.Windows {
		count += len(window.Nodes) * max(min(window.Latest, end)-window.DurationSlots-window.Earliest+1, 0)
	}
	return count
}
