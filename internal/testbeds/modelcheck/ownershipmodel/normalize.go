package ownershipmodel

import "slices"

// normalize clears what can no longer have an effect and orders the calls, so that more states become equal.
func (e *explorer) normalize(s *state) {
	for member := range s.granters {
		g := &s.granters[member]
		isOutdated := g.view < s.view && g.authority == 0 && int(s.heads[g.view+1]) != member
		if isOutdated && !g.crashed && e.fault != TenureSpansOtherHead && e.fault != CallsWithoutAuthority {
			*g = granter{view: g.view, counter: g.counter}
		}
	}
	for i := range s.calls {
		if c := &s.calls[i]; c.outcome != notArrived && !s.granters[c.member].leading {
			*c = call{}
		}
	}
	s.sortCalls()
}

// sortCalls orders the calls.
func (s *state) sortCalls() {
	slices.SortFunc(s.calls[:], func(a, b call) int {
		switch x, y := a.order(), b.order(); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
}

// order returns a number that distinguishes calls; it is 0 if there is none.
func (c *call) order() uint64 {
	timedOut := uint64(0)
	if c.timedOut {
		timedOut = 1
	}
	order := uint64(0)
	for _, field := range [...]uint8{uint8(c.kind), c.member, uint8(c.ranges), c.token, uint8(c.target), c.age, uint8(c.outcome)} {
		order = order<<8 | uint64(field)
	}
	return order<<8 | timedOut
}

// swapReplicas returns the state with the two addresses exchanged.
func (s state) swapReplicas() state {
	s.replicas[0], s.replicas[1] = s.replicas[1], s.replicas[0]
	for i := range s.replicas {
		s.replicas[i].id = s.replicas[i].id.swapped()
	}
	swapOwners(&s.table.ranges)
	for member := range s.granters {
		swapOwners(&s.granters[member].known.ranges)
		swapOwners(&s.proposals[member].ranges)
	}
	for i := range s.calls {
		if s.calls[i].kind != noCall {
			s.calls[i].target = s.calls[i].target.swapped()
		}
	}
	s.sortCalls()
	return s
}

func (id replicaID) swapped() replicaID { return id ^ 1 }

func swapOwners(ranges *[rangeCount]keyRange) {
	for r := range ranges {
		if ranges[r].phase != undivided {
			ranges[r].owner = ranges[r].owner.swapped()
		}
	}
}
