package ownershipmodel

// proposalSteps adds the steps in which a proposal is committed or lost.
func (e *explorer) proposalSteps(s state, member int) {
	if !s.proposals[member].pending {
		return
	}
	lost := s
	lost.proposals[member] = proposal{}
	e.add(lost, "the proposal of granter %d is lost", member)
	if e.commit(&s, member) {
		e.add(s, "the proposal of granter %d is committed as revision %d: %v", member, s.table.revision, s.table.ranges)
	}
}

// commit commits a proposal if the table has the revision that it expects. Tokens have to rise. The head of the latest view learns of it at
// once; a later commit has the same effect as learning of it later.
func (e *explorer) commit(s *state, member int) bool {
	p := s.proposals[member]
	if p.expected != s.table.revision && e.fault != UnconditionalProposal {
		return false
	}
	for r := range p.ranges {
		if p.ranges[r] != s.table.ranges[r] && p.ranges[r].phase != undivided && p.ranges[r].token <= s.table.ranges[r].token {
			s.violation = tokenNotRising
		}
	}
	s.proposals[member] = proposal{}
	s.table = table{revision: s.table.revision + 1, view: s.view, ranges: p.ranges}
	for i := range s.proposals {
		if e.fault != UnconditionalProposal {
			s.proposals[i] = proposal{} // it expects an earlier revision
		}
	}
	if head := int(s.heads[s.view]); s.granters[head].leading && s.granters[head].view == s.view {
		s.learn(head)
	}
	return true
}

// changeSteps adds the proposals of a head.
func (e *explorer) changeSteps(s state, member int) {
	if s.proposals[member].pending || int(s.table.revision) > e.bounds.Commits {
		return
	}
	known := s.granters[member].known
	if s.removed {
		if known.ranges[0].phase != undivided {
			e.propose(s, member, allRanges, keyRange{phase: undivided}, "removal")
		}
		return
	}
	if known.revision > 0 && known.ranges[0].phase == undivided {
		if e.mayDivide(&s, member) {
			for i := range s.replicas {
				e.propose(s, member, allRanges, keyRange{phase: granted, owner: s.replicas[i].id}, "division")
			}
		}
		return
	}
	for r := range e.bounds.Ranges {
		e.rangeChangeSteps(s, member, r)
	}
}

// rangeChangeSteps adds the proposals that concern one range.
func (e *explorer) rangeChangeSteps(s state, member, r int) {
	known := s.granters[member].known.ranges[r]
	switch {
	case known.phase == granted:
		e.propose(s, member, setOf(r), keyRange{phase: releasing, owner: known.owner}, "release")
		if s.granters[member].memory[r].fenced {
			e.propose(s, member, setOf(r), keyRange{phase: granted, owner: known.owner}, "new token")
		}
	case known.phase == releasing && e.isFree(&s, member, r):
		for i := range s.replicas {
			if target := s.replicas[i].id; !s.isReleaseInFlightTo(target, member, r) {
				e.propose(s, member, setOf(r), keyRange{phase: granted, owner: target}, "grant")
			}
		}
	}
}

// isReleaseInFlightTo reports whether a release call to a replica has no result yet. It would end a grant that it follows.
func (s *state) isReleaseInFlightTo(target replicaID, member, r int) bool {
	for _, c := range s.calls {
		if c.kind == releaseCall && int(c.member) == member && c.target == target && c.ranges.has(r) {
			return true
		}
	}
	return false
}

// isFree reports whether a granter may conclude that no replica holds a range that is being released.
func (e *explorer) isFree(s *state, member, r int) bool {
	return s.granters[member].memory[r].released || e.haveLeasesEnded(s, member, r)
}

// haveLeasesEnded reports whether all leases must have ended that this granter or a former head may have granted.
func (e *explorer) haveLeasesEnded(s *state, member, r int) bool {
	if e.fault == GoneReplicaKeepsRange {
		return false
	}
	g := &s.granters[member]
	remaining := uint8(0)
	if e.fault == LeaseEndRoundedDown {
		remaining = roundingTicks
	}
	ignoresCalls := e.fault == GrantInFlightIgnored || e.fault == LeaseFromSending
	inFlight := !ignoresCalls && s.isInFlight(grantCall, member, setOf(r))
	return g.tenure >= e.successionWait(member) && g.memory[r].leaseLeft <= remaining && !inFlight
}

// mayDivide reports whether no replica holds keys from before the service was removed.
func (e *explorer) mayDivide(s *state, member int) bool {
	for r := range e.bounds.Ranges {
		if e.fault != DivisionIgnoresLeases && !e.haveLeasesEnded(s, member, r) {
			return false
		}
	}
	return true
}

// propose adds the step in which a granter proposes that some ranges change.
func (e *explorer) propose(s state, member int, ranges rangeSet, changed keyRange, reason string) {
	e.setProposal(&s, member, ranges, changed)
	e.add(s, "granter %d proposes a %s: %v", member, reason, s.proposals[member].ranges)
}

// setProposal makes a change of some ranges, with a new token, the pending proposal of a granter.
func (e *explorer) setProposal(s *state, member int, ranges rangeSet, changed keyRange) {
	g := &s.granters[member]
	changed.token = g.known.revision + 1
	if e.fault == TokenFromMemory {
		g.counter++
		changed.token = g.counter
	}
	p := proposal{pending: true, expected: g.known.revision, ranges: g.known.ranges}
	for r := range e.bounds.Ranges {
		if ranges.has(r) {
			p.ranges[r] = changed
		}
	}
	s.proposals[member] = p
}
