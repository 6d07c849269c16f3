package maintenance

import (
	"cmp"
	"slices"
	"strings"

	"zincloft.example/zincloft/fleet"
)

// Reconcile returns the state that should be proposed next, and whether it differs. It makes one change at a time: first what
// nodes have reported is taken in, then a window is revoked where a floor is not kept, else the next one is granted.
func (s State) Reconcile(current Fleet) (State, bool) {
	next := s.clone()
	nodes := map[string]Node{}
	for _, node := range current.Nodes {
		nodes[node.Name] = node
	}
	if next.observe(nodes) {
		return next, true
	}
	if !current.Complete {
		return s, false // the nodes that are not known may be the ones that a floor lacks
	}
	if shortfalls := next.Shortfalls(current, next.IsOut); len(shortfalls) > 0 {
		return next, next.revoke(current, shortfalls)
	}
	if next.Paused {
		return s, false
	}
	return next, next.grant(current, nodes)
}

// observe takes in the first report of a node that has reached its window's phase. What a node reports under an older fencing
// token is ignored.
func (s *State) observe(nodes map[string]Node) bool {
	for i := range s.Windows {
		window := &s.Windows[i]
		node, known := nodes[window.Node]
		if !known || node.FencingToken != window.FencingToken {
			continue
		}
		switch {
		case window.Phase == fleet.PhaseDraining && node.Phase == fleet.PhaseDrained:
			window.Phase = fleet.PhaseDrained
			s.appendAudit("%s is drained", window.Node)
			return true
		case window.Phase == fleet.PhaseReturning && node.Phase == fleet.PhaseServing && node.Serving:
			s.appendAudit("%s serves again", window.Node)
			s.Windows = slices.Delete(s.Windows, i, i+1)
			return true
		}
	}
	return false
}

// revoke takes one grant back, in a region with a shortfall: first of a node that has not drained yet, as it is back at once;
// the newest first.
func (s *State) revoke(current Fleet, shortfalls []Shortfall) bool {
	short, regions := map[string]bool{}, map[string]string{}
	for _, shortfall := range shortfalls {
		short[shortfall.Region] = true
	}
	for _, node := range current.Nodes {
		regions[node.Name] = node.Region
	}
	chosen := -1
	for i, window := range s.Windows {
		region := regions[window.Node] // "" where the node is not known: it may be in any
		granted := window.Phase == fleet.PhaseDraining || window.Phase == fleet.PhaseDrained
		if !granted || region != "" && !short[region] {
			continue
		}
		if chosen < 0 || compareForRevocation(window, s.Windows[chosen]) > 0 {
			chosen = i
		}
	}
	if chosen < 0 {
		return false
	}
	s.returnToService(chosen, "a floor is not kept: "+shortfalls[0].String())
	return true
}

// compareForRevocation is above 0 where a is to be revoked before b.
func compareForRevocation(a, b Window) int {
	draining := func(window Window) int {
		if window.Phase == fleet.PhaseDraining {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(draining(a), draining(b)), cmp.Compare(a.FencingToken, b.FencingToken))
}

// grant grants the first requested window that leaves every floor kept. Where there is none it updates the reasons for which
// windows wait. It returns whether anything changed.
func (s *State) grant(current Fleet, nodes map[string]Node) bool {
	changed := false
	for i := range s.Windows {
		window := &s.Windows[i]
		if window.Phase != fleet.PhaseRequested {
			continue
		}
		obstacle := s.obstacle(current, nodes, window.Node)
		if obstacle == "" {
			s.FencingToken++
			window.Phase, window.FencingToken = fleet.PhaseDraining, s.FencingToken
			window.Reason = "granted: " + s.describeRemaining(current, window.Node)
			s.appendAudit("%s %s", window.Node, window.Reason)
			return true
		}
		if withoutFigures(window.Reason) != withoutFigures(obstacle) {
			window.Reason, changed = obstacle, true
		}
	}
	return changed
}

// obstacle is why a node can't be taken out now; empty where it can.
func (s *State) obstacle(current Fleet, nodes map[string]Node, node string) string {
	if !nodes[node].Serving {
		return "it is not serving"
	}
	out := func(other string) bool { return other == node || s.IsOut(other) }
	if shortfalls := s.Shortfalls(current, out); len(shortfalls) > 0 {
		return "without it " + shortfalls[0].String()
	}
	return ""
}

// withoutFigures cuts the figures off a reason: they change all the time, and each change would be a proposal.
func withoutFigures(reason string) string {
	kind, _, _ := strings.Cut(reason, ":")
	return kind
}
