package emulate

import (
	"slices"
	"sort"

	"zincloft.example/zincloft/rules"
)

// weightTable is a table of endpoint weights and admissions as ordered by a decider. It tracks the changes of the current step.
type weightTable struct {
	weights           map[rules.ReplicaID]float64
	order             []rules.ReplicaID // in insertion order
	admissions        []rules.Admit     // by traffic group
	admissionGroups   rules.GroupSet    // groups with an admission order
	cached            *tableSnapshot    // nil if outdated
	changedLines      int
	cleared           bool
	changedAdmissions rules.GroupSet
}

// setWeight sets the weight of a replica; 0 removes it.
func (t *weightTable) setWeight(id rules.ReplicaID, weight float64) {
	_, present := t.weights[id]
	switch {
	case weight > 0 && !present:
		t.order = append(t.order, id)
	case weight == 0 && present:
		t.order = slices.DeleteFunc(t.order, func(other rules.ReplicaID) bool { return other == id })
	}
	t.weights[id] = weight
	if weight == 0 {
		delete(t.weights, id)
	}
	t.cached = nil
	t.changedLines++
}

// clear removes all weights and admission orders.
func (t *weightTable) clear() {
	clear(t.weights)
	t.order, t.cached, t.cleared, t.changedLines, t.admissionGroups = nil, nil, true, 0, 0
}

// snapshot returns the current table. Snapshots are shared by proxies and must not be modified.
func (t *weightTable) snapshot() *tableSnapshot {
	if t.cached == nil {
		snapshot := &tableSnapshot{}
		for _, id := range t.order {
			snapshot.add(id, t.weights[id])
		}
		t.cached = snapshot
	}
	return t.cached
}

// tableSnapshot is an immutable copy of the weights of a table.
type tableSnapshot struct {
	replicas          []rules.ReplicaID
	weights           []float64
	cumulativeWeights []float64
}

func (s *tableSnapshot) add(id rules.ReplicaID, weight float64) {
	s.replicas = append(s.replicas, id)
	s.weights = append(s.weights, weight)
	s.cumulativeWeights = append(s.cumulativeWeights, s.totalWeight()+weight)
}

// totalWeight returns the sum of the weights, or 0 for a nil snapshot.
func (s *tableSnapshot) totalWeight() float64 {
	if s == nil || len(s.cumulativeWeights) == 0 {
		return 0
	}
	return s.cumulativeWeights[len(s.cumulativeWeights)-1]
}

// indexAt returns the index of the replica selected by a draw from [0, totalWeight).
func (s *tableSnapshot) indexAt(draw float64) int {
	return min(sort.SearchFloat64s(s.cumulativeWeights, draw), len(s.cumulativeWeights)-1)
}

// table returns the table with an ID and creates it if needed.
func (g *governor) table(id rules.TableID) *weightTable {
	for int(id) >= len(g.tables) {
		g.tables = append(g.tables, &weightTable{weights: map[rules.ReplicaID]float64{}, admissions: make([]rules.Admit, len(g.sim.fleet.Groups))})
	}
	return g.tables[id]
}

// inGroupSet reports whether a set contains a traffic group. The empty set stands for all groups.
func inGroupSet(set rules.GroupSet, group int) bool { return set == 0 || set&(1<<group) != 0 }

// applyOrder applies an order to tables and sessions. Proxies receive the change with the next message.
func (g *governor) applyOrder(o rules.Order) {
	switch o := o.(type) {
	case rules.EndpointWeight:
		g.table(o.Table).setWeight(o.Replica, o.Weight)
	case rules.ClearTable:
		g.table(o.Table).clear()
	case rules.Admit:
		g.setAdmission(o)
	case rules.Bind:
		g.bind(o)
	case rules.ReplicaEjection:
		g.ejectedForAll[o.Replica] = o.Ejected
		for _, session := range g.sessionOrder {
			session.changedEjections++
		}
	case rules.PairEjection:
		if session := g.sessions[o.Proxy]; session != nil {
			session.ejected[o.Replica] = o.Ejected
			session.changedEjections++
		}
	}
}

// setAdmission sets the admission level and retry policy of traffic groups in one table or globally.
func (g *governor) setAdmission(order rules.Admit) {
	for group := range g.sim.fleet.Groups {
		if !inGroupSet(order.Groups, group) {
			continue
		}
		if order.Table == rules.AllTables {
			g.globalAdmissions[rules.GroupID(group)] = order
			for _, t := range g.tables {
				t.changedAdmissions |= 1 << group
			}
			continue
		}
		t := g.table(order.Table)
		t.admissions[group] = order
		t.admissionGroups |= 1 << group
		t.changedAdmissions |= 1 << group
	}
}

// bind assigns a table to a proxy for traffic groups.
func (g *governor) bind(order rules.Bind) {
	session := g.sessions[order.Proxy]
	if session == nil {
		return
	}
	for group := range g.sim.fleet.Groups {
		if inGroupSet(order.Groups, group) {
			session.tables[group] = int(order.Table)
			session.reboundGroups |= 1 << group
		}
	}
	g.table(order.Table)
}
