package ownershipmodel

import "fmt"

// callSteps adds the steps in which a head calls replicas: grants that it renews and ranges that it takes back.
func (e *explorer) callSteps(s state, member int) {
	g := &s.granters[member]
	for r := range e.bounds.Ranges {
		switch known := g.known.ranges[r]; known.phase {
		case granted:
			e.renewalSteps(s, member, r)
		case releasing:
			e.releaseSteps(s, member, r)
			if e.fault == RenewsReleasingRange {
				e.addGrant(s, member, setOf(r), known)
			}
		}
	}
	if p := s.proposals[member]; p.pending && e.fault == GrantsBeforeCommit {
		for r := range e.bounds.Ranges {
			if p.ranges[r].phase == granted && p.ranges[r] != g.known.ranges[r] {
				e.addGrant(s, member, setOf(r), p.ranges[r])
			}
		}
	}
}

// renewalSteps adds the renewal of a granted range. Ranges of the same grant are renewed together, as a single range.
func (e *explorer) renewalSteps(s state, member, r int) {
	g := &s.granters[member]
	known := g.known.ranges[r]
	if g.memory[r].fenced {
		return
	}
	ranges := setOf(r)
	if e.fault == RenewsWholeAfterPartialMove && known.token == initialToken {
		ranges = allRanges
	}
	for other := range e.bounds.Ranges {
		if other == r || g.known.ranges[other] != known {
			continue
		}
		if other < r {
			return
		}
		ranges |= setOf(other)
	}
	e.addGrant(s, member, ranges, known)
}

// addGrant adds the step in which a grant of some ranges is sent.
func (e *explorer) addGrant(s state, member int, ranges rangeSet, grant keyRange) {
	if s.isInFlight(grantCall, member, ranges) {
		return
	}
	if !e.send(&s, call{kind: grantCall, member: uint8(member), ranges: ranges, token: grant.token, target: grant.owner}) {
		return
	}
	if e.fault == LeaseFromSending {
		e.recordLease(&s, member, ranges)
	}
	e.add(s, "granter %d sends the grant of ranges %02b to replica %d with token %d", member, ranges, grant.owner, grant.token)
}

// releaseSteps adds the release of a range, alone or together with another one of the same owner.
func (e *explorer) releaseSteps(s state, member, r int) {
	g := &s.granters[member]
	if g.memory[r].released || s.isInFlight(releaseCall, member, setOf(r)) {
		return
	}
	known := g.known.ranges[r]
	e.addRelease(s, member, setOf(r), known)
	for other := r + 1; other < e.bounds.Ranges; other++ {
		second := g.known.ranges[other]
		due := second.phase == releasing && !g.memory[other].released && !s.isInFlight(releaseCall, member, setOf(other))
		if due && second.owner == known.owner {
			known.token = max(known.token, second.token)
			e.addRelease(s, member, setOf(r)|setOf(other), known)
		}
	}
}

func (e *explorer) addRelease(s state, member int, ranges rangeSet, release keyRange) {
	if e.send(&s, call{kind: releaseCall, member: uint8(member), ranges: ranges, token: release.token, target: release.owner}) {
		e.add(s, "granter %d sends the release of ranges %02b to replica %d with token %d", member, ranges, release.owner, release.token)
	}
}

// send puts a call in flight. It reports whether the bounds allow it.
func (e *explorer) send(s *state, sent call) bool {
	for i := range e.bounds.Calls {
		if s.calls[i].kind == noCall {
			s.calls[i] = sent
			return true
		}
	}
	return false
}

// deliverySteps adds the steps in which a call arrives, is answered, or ends without an answer, by a timeout or a lost connection.
func (e *explorer) deliverySteps(s state, i int) {
	c := s.calls[i]
	if c.outcome == notArrived {
		next := s
		e.arrive(&next, i)
		e.add(next, "the %s", e.describe(c, "arrives"))
	} else {
		next := s
		e.endCall(&next, i, true)
		e.add(next, "the %s", e.describe(c, "is answered"))
	}
	if !c.timedOut {
		e.endCall(&s, i, false)
		e.add(s, "the %s", e.describe(c, "ends without an answer"))
	}
}

func (e *explorer) describe(c call, event string) string {
	if !e.labeled {
		return ""
	}
	kind := [...]string{grantCall: "grant", releaseCall: "release"}[c.kind]
	return fmt.Sprintf("%s of ranges %02b by granter %d to replica %d with token %d %s", kind, c.ranges, c.member, c.target, c.token, event)
}

// arrive lets a call take effect at the replica that now has the address.
func (e *explorer) arrive(s *state, i int) {
	c := &s.calls[i]
	c.outcome = e.execute(s, c)
	if c.timedOut {
		*c = call{}
	}
}

// execute performs a call at the replica.
func (e *explorer) execute(s *state, c *call) outcome {
	if !s.runs(c.target) && e.fault != TargetIgnored {
		return misdirected
	}
	keys := &s.replicas[c.target.address()].keys
	for r := range keys {
		if c.kind == grantCall && c.ranges.has(r) && keys[r].seenToken > c.token {
			return fenced
		}
	}
	for r := range keys {
		if !c.ranges.has(r) {
			continue
		}
		keys[r].seenToken = max(keys[r].seenToken, c.token)
		keys[r].leaseLeft = 0
		if c.kind == grantCall {
			keys[r].leaseLeft = e.leaseOf(int(c.member)) + roundingTicks
		}
	}
	return accepted
}

// endCall ends a call for its granter. Without an answer its connection is reset, so that it does not arrive any more.
func (e *explorer) endCall(s *state, i int, answered bool) {
	c := s.calls[i]
	s.calls[i] = call{}
	if e.fault == LateGrantDelivered && c.kind == grantCall && c.outcome == notArrived {
		c.timedOut, c.age = true, 0
		s.calls[i] = c
	}
	g := &s.granters[c.member]
	if !g.leading {
		return
	}
	if c.kind == grantCall {
		e.endGrant(s, g, c, answered)
		return
	}
	if !answered && e.fault != TimeoutTakenAsRelease || answered && c.outcome != accepted {
		return
	}
	for r, known := range g.known.ranges {
		if c.ranges.has(r) && known.phase == releasing && known.owner == c.target && known.token <= c.token {
			g.memory[r].released = true
		}
	}
}

func (e *explorer) endGrant(s *state, g *granter, c call, answered bool) {
	ranges := c.ranges
	for r, known := range g.known.ranges {
		isCurrent := known.phase == granted && known.token == c.token
		if c.ranges.has(r) && isCurrent && answered && c.outcome == fenced {
			g.memory[r].fenced = true
		}
		if e.fault == RenewsWholeAfterPartialMove && !isCurrent {
			ranges &^= setOf(r)
		}
	}
	if e.fault != LeaseFromSending {
		e.recordLease(s, int(c.member), ranges)
	}
}

// recordLease records that replicas may hold ranges for the duration of a lease from now on.
func (e *explorer) recordLease(s *state, member int, ranges rangeSet) {
	for r := range e.bounds.Ranges {
		if ranges.has(r) {
			s.granters[member].memory[r].leaseLeft = e.leaseOf(member) + roundingTicks
		}
	}
}
