package maintenanceplanner

import (
	"math"
	"slices"

	"github.com/crillab/gophersat/solver"
)

const (
	// solverScale converts requests per second to the solver's integers.
	solverScale = 1000

	// roundingSlack absorbs rounding errors of scaled capacities.
	roundingSlack = 1e-6
)

// candidate is a placement at one of its possible start slots. Each candidate is a variable of the solver.
type candidate struct {
	placement
	slot int
}

func (c candidate) covers(slot int) bool { return c.slot <= slot && slot < c.slot+c.duration }

// solverModel is a request expressed as pseudo-Boolean constraints. Exactly one candidate is chosen per placement. For each slot,
// demand and tolerated failure, the capacity of the nodes that are out is limited to the spare capacity.
type solverModel struct {
	request     *Request
	table       *capacityTable
	deadline    int // slot by which all windows must be over
	candidates  []candidate
	variables   map[candidate]int // index in candidates, from 1
	byWindow    map[string][]candidate
	constraints []solver.PBConstr
}

// solve searches for a schedule that ends by the deadline.
func (r *Request) solve(deadline int) (Schedule, bool) {
	model := &solverModel{
		request:   r,
		table:     newCapacityTable(r),
		deadline:  deadline,
		variables: map[candidate]int{},
		byWindow:  map[string][]candidate{},
	}
	if !model.addCandidates() {
		return Schedule{}, false
	}
	first, last := r.bounds()
	for slot := first; slot < min(last, deadline); slot++ {
		model.limitCapacity(slot)
		model.limitWindows(slot)
	}
	model.orderWindows()
	s := solver.New(solver.ParsePBConstrs(model.constraints))
	if s.Solve() != solver.Sat {
		return Schedule{}, false
	}
	return model.schedule(s.Model()), true
}

// addCandidates adds the candidates of each node, exactly one of which must be chosen. It returns false if a node has none.
func (m *solverModel) addCandidates() bool {
	for i, window := range m.request.Windows {
		for _, placed := range m.request.placements(i, m.table.nodeIndex) {
			var literals []int
			for slot := window.Earliest; slot+window.DurationSlots <= min(window.Latest, m.deadline); slot++ {
				c := candidate{placement: placed, slot: slot}
				m.candidates = append(m.candidates, c)
				m.variables[c] = len(m.candidates)
				m.byWindow[window.Name] = append(m.byWindow[window.Name], c)
				literals = append(literals, len(m.candidates))
			}
			if len(literals) == 0 {
				return false
			}
			ones := slices.Repeat([]int{1}, len(literals))
			m.constraints = append(m.constraints, solver.Eq(literals, ones, 1)...)
		}
	}
	return true
}

// limitCapacity limits the capacity that is out in a slot, for each demand.
func (m *solverModel) limitCapacity(slot int) {
	for i, demand := range m.request.Demands {
		capacity := func(placed placement) float64 {
			if m.request.Nodes[placed.node].Region != demand.Region {
				return 0
			}
			return m.request.Nodes[placed.node].Capacity[demand.Group]
		}
		total := m.table.capacity[i][slot]
		m.limitSum(total-m.table.machineLoss[i]-demand.at(slot), slot, capacity)
		if m.request.FaultTolerance.Zones != 1 || m.table.zoneCount[i] < 2 {
			continue
		}
		for zone := range m.table.zones {
			lost := m.table.zoneCapacity[i][zone][slot]
			if lost <= 0 {
				continue
			}
			m.limitSum(total-lost-demand.at(slot), slot, func(placed placement) float64 {
				if m.table.zoneOfNode[placed.node] == zone {
					return 0
				}
				return capacity(placed)
			})
		}
	}
}

// limitSum limits the sum of a value over the nodes that are out in a slot.
func (m *solverModel) limitSum(limit float64, slot int, value func(placement) float64) {
	var literals, weights []int
	sum := 0
	for _, c := range m.candidates {
		if !c.covers(slot) {
			continue
		}
		if weight := int(math.Ceil(value(c.placement) * solverScale)); weight > 0 {
			literals, weights = append(literals, m.variables[c]), append(weights, weight)
			sum += weight
		}
	}
	scaledLimit := max(int(math.Floor(limit*solverScale+roundingSlack)), 0) // 0: no node may be out
	if sum > scaledLimit {
		m.constraints = append(m.constraints, solver.LtEq(literals, weights, scaledLimit))
	}
}

// limitWindows limits the nodes of each window that are out in a slot, and excludes conflicting windows.
func (m *solverModel) limitWindows(slot int) {
	for i, window := range m.request.Windows {
		if window.MaxConcurrent > 0 {
			m.limitSum(float64(window.MaxConcurrent), slot, func(placed placement) float64 {
				if placed.window == i {
					return 1
				}
				return 0
			})
		}
		for _, c := range m.byWindow[window.Name] {
			if c.covers(slot) {
				m.excludeConflicts(window, c, slot)
			}
		}
	}
}

func (m *solverModel) excludeConflicts(window WindowRequest, c candidate, slot int) {
	for _, name := range window.Conflicts {
		for _, other := range m.byWindow[name] {
			if other.covers(slot) {
				m.exclude(c, other)
			}
		}
	}
}

// orderWindows excludes candidates that start before the windows that they must follow are over.
func (m *solverModel) orderWindows() {
	for _, window := range m.request.Windows {
		for _, name := range window.After {
			for _, c := range m.byWindow[window.Name] {
				for _, other := range m.byWindow[name] {
					if other.slot+other.duration > c.slot {
						m.exclude(c, other)
					}
				}
			}
		}
	}
}

// exclude forbids choosing both candidates.
func (m *solverModel) exclude(a, b candidate) {
	m.constraints = append(m.constraints, solver.PropClause(-m.variables[a], -m.variables[b]))
}

// schedule converts a solution to a schedule.
func (m *solverModel) schedule(solution []bool) Schedule {
	var schedule Schedule
	for i, c := range m.candidates {
		if solution[i] {
			schedule.Assignments = append(schedule.Assignments, m.request.assignment(c.placement, c.slot))
		}
	}
	return schedule.finish(m.request)
}
