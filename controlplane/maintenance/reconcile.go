package maintenance

import (
	"cmp"
	"slices"
	"strings"

	"zincloft.example/zincloft/fleet"
)

// Reconcile returns the next state to propose and whether it differs. It makes one change at a time, in this order: record a
// phase reported by a node, revoke a window if a floor is violated, or grant the next window.
func (s State) Reconcile(current Fleet) (State, bool) {
	next := s.clone()
	nodes := map[string]Node{}
	for _, node := range current.Nodes {
		nodes[node.Name] = node
	}
	if next.recordReported(nodes) {
		return next, true
	}
	if !current.Complete {
		return s, false // an apparent shortfall may be due to unknown nodes
	}
	if shortfalls := next.Shortfalls(current, next.IsOut); len(shortfalls) > 0 {
		return next, next.revoke(current, shortfalls)
	}
	if next.Paused {
		return s, false
	}
	return next, next.grant(current, nodes)
}

// recordReported applies the first report of a node that has reached its window's phase. Reports with a different fencing token
// are ignored.
func (s *State) recordReported(nodes map[string]Node) bool {
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

// revoke revokes one grant in a region with a shortfall. Nodes that have not drained yet come first, as they return immediately;
// among equals the newest grant comes first.
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
		region := regions[window.Node] // "" if the node is unknown: it may be in any region
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

// compareForRevocation returns a positive number if a should be revoked before b.
func compareForRevocation(a, b Window) int {
	draining := func(window Window) int {
		if window.Phase == fleet.PhaseDraining {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(draining(a), draining(b)), cmp.Compare(a.FencingToken, b.FencingToken))
}

// grant grants the first requested window that violates no floor. If there is none, it updates the reasons why windows are
// waiting. It reports whether anything changed.
func (s *State) grant(current Fleet, nodes map[string]Node) bool {
	changed := false
	for i := range s.Windows {
		window := &s.Windows[i]
		if window.Phase != fleet.PhaseRequested {
			continue
		}
		reason := s.blockingReason(current, nodes, window.Node)
		if reason == "" {
			s.FencingToken++
			window.Phase, window.FencingToken = fleet.PhaseDraining, s.FencingToken
			window.Reason = "granted: " + s.describeRemaining(current, window.Node)
			s.appendAudit("%s %s", window.Node, window.Reason)
			return true
		}
		if reasonKind(window.Reason) != reasonKind(reason) {
			window.Reason, changed = reason, true
		}
	}
	return changed
}

// blockingReason returns why a node cannot be taken out of service now, or "" if it can.
func (s *State) blockingReason(current Fleet, nodes map[string]Node, node string) string {
	if !nodes[node].Serving {
		return "it is not serving"
	}
	out := func(other string) bool { return other == node || s.IsOut(other) }
	if shortfalls := s.Shortfalls(current, out); len(shortfalls) > 0 {
		return "without it " + shortfalls[0].String()
	}
	return ""
}

// reasonKind strips the numbers from a reason. They change constantly, and each change would cause a proposal.
func reasonKind(reason string) string {
	kind, _, _ := strings.Cut(reason, ":")
	return kind
}
