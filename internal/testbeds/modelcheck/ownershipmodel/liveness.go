package ownershipmodel

// maxRounds bounds the rounds in which every range has to get its holder.
const maxRounds = 40

// converges reports whether every range gets its holder if nothing fails any more: crashed granters restart, members learn of the latest view,
// calls are answered, and the head takes ranges from replicas that are gone.
func (e *explorer) converges(s *state) bool {
	current := *s
	current.removed = false
	var path []uint64
	for range maxRounds {
		e.performRound(&current)
		current.sortCalls()
		digest := e.Digest(&current)
		if _, known := e.converging[digest]; known || e.isSettled(&current) {
			path = append(path, digest)
			for _, digest := range path {
				e.converging[digest] = struct{}{}
			}
			return true
		}
		path = append(path, digest)
	}
	return false
}

// isSettled reports whether every range is granted to a running replica that holds it, alone.
func (e *explorer) isSettled(s *state) bool {
	for r := range e.bounds.Ranges {
		owned := s.table.ranges[r]
		if owned.phase != granted || !s.runs(owned.owner) {
			return false
		}
		for i := range s.replicas {
			if holds := s.replicas[i].keys[r].leaseLeft > 0; holds != (i == owned.owner.address()) {
				return false
			}
		}
	}
	return true
}

// performRound performs one tick and what the control plane does in it.
func (e *explorer) performRound(s *state) {
	e.completeCalls(s)
	for member := range s.granters {
		g := &s.granters[member]
		if g.crashed {
			e.restart(s, member)
		}
		if g.view < s.view {
			e.installView(s, member, s.view)
		}
		if s.proposals[member].pending && !e.commit(s, member) {
			s.proposals[member] = proposal{}
		}
	}
	head := int(s.heads[s.view])
	s.confirmRead(head)
	for r := range e.bounds.Ranges {
		e.changeRange(s, head, r)
		e.callRange(s, head, r)
	}
	e.tick(s)
}

// changeRange commits the change of a range that is needed, if there is one.
func (e *explorer) changeRange(s *state, head, r int) {
	g := &s.granters[head]
	switch known := g.known.ranges[r]; {
	case known.phase == undivided && e.mayDivide(s, head):
		e.setProposal(s, head, allRanges, keyRange{phase: granted, owner: s.replicas[0].id})
	case known.phase == granted && !s.runs(known.owner):
		e.setProposal(s, head, setOf(r), keyRange{phase: releasing, owner: known.owner})
	case known.phase == granted && g.memory[r].fenced:
		e.setProposal(s, head, setOf(r), keyRange{phase: granted, owner: known.owner})
	case known.phase == releasing && e.isFree(s, head, r):
		e.setProposal(s, head, setOf(r), keyRange{phase: granted, owner: s.replicas[0].id})
	default:
		return
	}
	e.commit(s, head)
	s.learn(head)
}

// callRange calls the owner of a range, which answers.
func (e *explorer) callRange(s *state, head, r int) {
	known := s.granters[head].known.ranges[r]
	made := call{member: uint8(head), ranges: setOf(r), token: known.token, target: known.owner}
	switch known.phase {
	case undivided:
		return
	case granted:
		made.kind = grantCall
	case releasing:
		made.kind = releaseCall
	}
	s.calls[0] = made
	e.completeCalls(s)
}

// completeCalls lets all calls arrive and be answered.
func (e *explorer) completeCalls(s *state) {
	for i := range s.calls {
		if s.calls[i].kind == noCall {
			continue
		}
		if s.calls[i].outcome == notArrived {
			e.arrive(s, i)
		}
		if s.calls[i].kind != noCall {
			e.endCall(s, i, true)
		}
	}
}
