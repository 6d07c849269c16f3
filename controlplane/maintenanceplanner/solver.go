package maintenanceplanner

import (
	"math"
	"slices"

	"github.com/crillab/gophersat/solver"
)

const (
	// solverScale turns requests a second into the solver's integers.
	solverScale = 1000

	// roundingSlack absorbs rounding errors of scaled capacities.
	roundingSlack = 1e-6
)

// start is a placement with one of its open starts. Each is a variable of the solver.
type start struct {
	placement
	slot int
}

func (s start) covers(slot int) bool { return s.slot <= slot && slot < s.slot+s.duration }

// solverModel is a request as pseudo-Boolean constraints. Each node begins at one of its open starts; for each slot, demand and
// loss that must be survived, the nodes that are out may have no more capacity than can be given up.
type solverModel struct {
	request     *Request
	table       *capacityTable
	end         int // slot by which all must be over
	starts      []start
	variables   map[start]int // index in starts, from 1
	byWindow    map[string][]start
	constraints []solver.PBConstr
}

// solve looks for a schedule that is over by a slot.
func (r *Request) solve(end int) (Schedule, bool) {
	model := &solverModel{
		request:   r,
		table:     newCapacityTable(r),
		end:       end,
		variables: map[start]int{},
		byWindow:  map[string][]start{},
	}
	if !model.addStarts() {
		return Schedule{}, false
	}
	first, last := r.bounds()
	for slot := first; slot < min(last, end); slot++ {
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

// addStarts adds the open starts of each node, of which it must take one. It returns false where a node has none.
func (m *solverModel) addStarts() bool {
	for i, window := range m.request.Windows {
		for _, placed := range m.request.placements(i, m.table.nodeIndex) {
			var literals []int
			for slot := window.Earliest; slot+window.DurationSlots <= min(window.Latest, m.end); slot++ {
				open := start{placement: placed, slot: slot}
				m.starts = append(m.starts, open)
				m.variables[open] = len(m.starts)
				m.byWindow[window.Name] = append(m.byWindow[window.Name], open)
				literals = append(literals, len(m.starts))
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

// limitCapacity bounds the capacity that is out in a slot, for each demand.
func (m *solverModel) limitCapacity(slot int) {
	for i, demand := range m.request.Demands {
		capacity := func(placed placement) float64 {
			if m.request.Nodes[placed.node].Region != demand.Region {
				return 0
			}
			return m.request.Nodes[placed.node].Capacity[demand.Group]
		}
		total := m.table.capacity[i][slot]
		m.limitOut(total-m.table.machineLoss[i]-demand.at(slot), slot, capacity)
		if m.request.FaultTolerance.Zones != 1 || m.table.zoneCount[i] < 2 {
			continue
		}
		for zone := range m.table.zones {
			lost := m.table.zoneCapacity[i][zone][slot]
			if lost <= 0 {
				continue
			}
			m.limitOut(total-lost-demand.at(slot), slot, func(placed placement) float64 {
				if m.table.zoneOfNode[placed.node] == zone {
					return 0
				}
				return capacity(placed)
			})
		}
	}
}

// limitOut bounds the sum of a figure over the nodes that are out in a slot.
func (m *solverModel) limitOut(limit float64, slot int, figure func(placement) float64) {
	var literals, weights []int
	sum := 0
	for _, open := range m.starts {
		if !open.covers(slot) {
			continue
		}
		if weight := int(math.Ceil(figure(open.placement) * solverScale)); weight > 0 {
			literals, weights = append(literals, m.variables[open]), append(weights, weight)
			sum += weight
		}
	}
	scaledLimit := max(int(math.Floor(limit*solverScale+roundingSlack)), 0) // 0: no node may be out
	if sum > scaledLimit {
		m.constraints = append(m.constraints, solver.LtEq(literals, weights, scaledLimit))
	}
}

// limitWindows bounds the nodes of each window that are out at once, and excludes conflicting windows, in a slot.
func (m *solverModel) limitWindows(slot int) {
	for i, window := range m.request.Windows {
		if window.MaxConcurrent > 0 {
			m.limitOut(float64(window.MaxConcurrent), slot, func(placed placement) float64 {
				if placed.window == i {
					return 1
				}
				return 0
			})
		}
		for _, open := range m.byWindow[window.Name] {
			if open.covers(slot) {
				m.excludeConflicts(window, open, slot)
			}
		}
	}
}

func (m *solverModel) excludeConflicts(window WindowRequest, open start, slot int) {
	for _, name := range window.Conflicts {
		for _, other := range m.byWindow[name] {
			if other.covers(slot) {
				m.exclude(open, other)
			}
		}
	}
}

// orderWindows excludes starts before the end of a window that comes first.
func (m *solverModel) orderWindows() {
	for _, window := range m.request.Windows {
		for _, name := range window.After {
			for _, open := range m.byWindow[window.Name] {
				for _, other := range m.byWindow[name] {
					if other.slot+other.duration > open.slot {
						m.exclude(open, other)
					}
				}
			}
		}
	}
}

// exclude forbids two starts together.
func (m *solverModel) exclude(a, b start) {
	m.constraints = append(m.constraints, solver.PropClause(-m.variables[a], -m.variables[b]))
}

// schedule reads the chosen starts from a solution.
func (m *solverModel) schedule(solution []bool) Schedule {
	var schedule Schedule
	for i, open := range m.starts {
		if solution[i] {
			schedule.Assignments = append(schedule.Assignments, m.request.assignment(open.placement, open.slot))
		}
	}
	return schedule.finish(m.request)
}
