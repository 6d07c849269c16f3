package clients

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/rules"
)

// tableView selects the content of a table for some traffic groups: all of it, or its changes in the step. It does not depend
// on the proxy, so that its rendering can be shared.
type tableView struct {
	table rules.TableID
	set   rules.GroupSet
	full  bool
}

// viewsFor appends the views to send to a proxy: the full table for newly bound groups, its changes for the others. Groups
// bound to the same table share views, so that a message has at most two parts per group and one more for ejections.
func (s *routingState) viewsFor(proxy *proxyState, views []tableView) []tableView {
	type use struct {
		table rules.TableID
		set   rules.GroupSet
	}
	var buffer [16]use
	uses := buffer[:0]
	for g := range s.groups {
		t, ok := proxy.table[rules.GroupID(g)]
		if !ok {
			t = rules.AllTables
		}
		at, found := slices.BinarySearchFunc(uses, t, func(u use, t rules.TableID) int { return cmp.Compare(u.table, t) })
		if !found {
			uses = slices.Insert(uses, at, use{table: t})
		}
		uses[at].set |= 1 << g
	}
	for _, u := range uses {
		full := u.set & proxy.newlyBound
		if s.table(u.table).cleared {
			full = u.set
		}
		views = append(views, tableView{u.table, full, true}, tableView{u.table, u.set &^ full, false})
	}
	return views
}

// assignments returns the parts for a view, rendered at most once per step.
func (s *routingState) assignments(view tableView) []assignment {
	if view.set == 0 {
		return nil
	}
	parts, cached := s.renderedViews[view]
	if !cached {
		parts = s.render(view)
		s.renderedViews[view] = parts
	}
	return parts
}

// render returns the parts for a view. Groups with the same admission level share a part; if all groups do, the level is sent
// with the weights.
func (s *routingState) render(view tableView) []assignment {
	var parts []assignment
	if weights := s.renderWeights(view); weights.entryCount() > 0 {
		parts = append(parts, weights)
	}
	levels := s.renderLevels(view)
	if len(parts) == 1 && len(levels) == 1 && levels[0].groups == view.set {
		parts[0].level = levels[0].level
		return parts
	}
	return append(parts, levels...)
}

func (s *routingState) renderWeights(view tableView) assignment {
	t := s.table(view.table)
	part := assignment{groups: view.set, full: view.full && view.table != rules.AllTables}
	replicas := maps.Keys(t.changedWeights)
	if part.full {
		replicas = maps.Keys(t.weights)
	}
	for _, replica := range slices.Sorted(replicas) {
		part.weights = append(part.weights, weight{replica, t.weights[replica]})
	}
	return part
}

// renderLevels returns a part for each distinct admission level of the groups.
func (s *routingState) renderLevels(view tableView) (levels []assignment) {
	t := s.table(view.table)
	changed := t.changedLevels | s.table(rules.AllTables).changedLevels
	for _, group := range s.groupIDs(view.set) {
		if !view.full && changed&(1<<group) == 0 {
			continue
		}
		level, ok := s.admission(t, group)
		if !ok {
			continue
		}
		at := slices.IndexFunc(levels, func(part assignment) bool {
			return part.level.Level == level.Level && part.level.Retry == level.Retry
		})
		if at < 0 {
			at, levels = len(levels), append(levels, assignment{level: &level})
		}
		levels[at].groups |= 1 << group
	}
	return levels
}
