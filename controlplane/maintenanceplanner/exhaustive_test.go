package maintenanceplanner

import "slices"

// exhaustiveMakespan returns the makespan of the shortest schedule of a small request, found by exhaustive search, or -1 if there is
// none.
func exhaustiveMakespan(r *Request) int {
	search := &exhaustiveSearch{request: r, shortest: -1}
	table := newCapacityTable(r)
	for i := range r.Windows {
		search.placements = append(search.placements, r.placements(i, table.nodeIndex)...)
	}
	search.assign(0)
	return search.shortest
}

type exhaustiveSearch struct {
	request    *Request
	placements []placement
	assigned   []Assignment // of the first placements
	shortest   int
}

// assign tries all start slots of the placements with index i and above.
func (s *exhaustiveSearch) assign(i int) {
	if i == len(s.placements) {
		schedule := Schedule{Assignments: slices.Clone(s.assigned)}.finish(s.request)
		if (s.shortest < 0 || schedule.Makespan < s.shortest) && s.request.Verify(schedule) == nil {
			s.shortest = schedule.Makespan
		}
		return
	}
	placed := s.placements[i]
	window := s.request.Windows[placed.window]
	for start := window.Earliest; start+window.DurationSlots <= window.Latest; start++ {
		s.assigned = append(s.assigned, s.request.assignment(placed, start))
		s.assign(i + 1)
		s.assigned = s.assigned[:len(s.assigned)-1]
	}
}
