package clients

import (
	"cmp"
	"maps"
	"slices"

	"zincloft.example/zincloft/rules"
)

// tableView is what a table shows to some traffic groups: all of it, or its changes. It is the same for all proxies that it
// concerns.
type tableView struct {
	table rules.TableID
	set   rules.GroupSet
	full  bool
}

// viewsFor appends the views that a proxy is to be sent: all of a table to newly bound groups, its changes to the others.
// Groups of one table go together, and one place stays for withdrawals, so the parts of a message are at most two for each
// group and one more.
func (s *routingState) viewsFor(proxy *proxyState, views []tableView) []tableView {
	type use struct {
		table rules.TableID
		set   rules.GroupSet
	}
	var room [16]use
	uses := room[:0]
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

// assignments returns the parts that a view makes, which are rendered once a step.
func (s *routingState) assignments(view tableView) []assignment {
	if view.set == 0 {
		return nil
	}
	parts, made := s.renderedViews[view]
	if !made {
		parts = s.render(view)
		s.renderedViews[view] = parts
	}
	return parts
}

// render makes the parts of a view. Groups under one level go into one part; where all do, the level goes with the weights.
func (s *routingState) render(view tableView) []assignment {
	var parts []assignment
	if weights := s.renderWeights(view); weights.lineCount() > 0 {
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

// renderLevels makes a part for each admission level of the groups.
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
