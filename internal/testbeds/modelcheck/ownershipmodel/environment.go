package ownershipmodel

// timeSteps adds the steps in which a tick passes or a replica's lease ends by its clock before it must have ended.
func (e *explorer) timeSteps(s state) {
	next := s
	e.tick(&next)
	e.add(next, "a tick passes")
	for i := range s.replicas {
		for r := range e.bounds.Ranges {
			if left := s.replicas[i].keys[r].leaseLeft; left > 0 && left <= roundingTicks {
				next := s
				next.replicas[i].keys[r].leaseLeft = 0
				e.add(next, "the lease of replica %d for range %d ends", s.replicas[i].id, r)
			}
		}
	}
}

// tick lets one tick pass. Grant calls that are too old time out.
func (e *explorer) tick(s *state) {
	for i := range s.replicas {
		for r := range s.replicas[i].keys {
			countDown(&s.replicas[i].keys[r].leaseLeft)
		}
	}
	for member := range s.granters {
		g := &s.granters[member]
		if !g.leading {
			continue
		}
		g.tenure = min(g.tenure+1, e.successionWait(member))
		if g.authority > 0 {
			g.authority++
		}
		if g.authority > 1+e.authorityTicks() {
			g.authority = 0
		}
		for r := range g.memory {
			countDown(&g.memory[r].leaseLeft)
		}
	}
	for i := range s.calls {
		if c := &s.calls[i]; c.kind == grantCall && !c.timedOut {
			if c.age++; c.age > callTicks {
				e.endCall(s, i, false)
			}
		}
	}
}

func countDown(left *uint8) {
	if *left > 0 {
		*left--
	}
}

// crashSteps adds the steps in which a granter crashes or restarts, or a replica crashes and another one starts at its address.
func (e *explorer) crashSteps(s state) {
	for member := range s.granters {
		if s.granters[member].crashed {
			next := s
			e.restart(&next, member)
			e.add(next, "granter %d restarts", member)
			continue
		}
		if int(s.spent.granterCrashes) < e.bounds.GranterCrashes {
			next := s
			next.spent.granterCrashes++
			next.granters[member] = granter{crashed: true, view: s.granters[member].view}
			next.resetConnections(func(c *call) bool { return int(c.member) == member })
			e.add(next, "granter %d crashes", member)
		}
	}
	if int(s.spent.replicaCrashes) == e.bounds.ReplicaCrashes {
		return
	}
	s.spent.replicaCrashes++
	for i := range s.replicas {
		next := s
		next.replicas[i] = replica{id: s.replicas[i].id + replicaCount}
		if e.fault == ReplicaIDReused {
			next.replicas[i].id = s.replicas[i].id
		}
		next.resetConnections(func(c *call) bool { return c.target == s.replicas[i].id && c.outcome != notArrived })
		e.add(next, "replica %d crashes and %d starts at its address", s.replicas[i].id, next.replicas[i].id)
	}
}

// resetConnections removes calls that have not ended.
func (s *state) resetConnections(reset func(*call) bool) {
	for i := range s.calls {
		if reset(&s.calls[i]) {
			s.calls[i] = call{}
		}
	}
}

// restart starts a granter that remembers nothing but the view it had installed.
func (e *explorer) restart(s *state, member int) {
	g := &s.granters[member]
	*g = granter{view: g.view}
	g.leading = int(s.heads[g.view]) == member
}

// configurationSteps adds the steps in which the service is removed from the configuration or added again.
func (e *explorer) configurationSteps(s state) {
	if s.removed {
		s.removed = false
		e.add(s, "the service is added again")
		return
	}
	if int(s.spent.removals) < e.bounds.Removals {
		s.spent.removals++
		s.removed = true
		for member := range s.granters {
			if e.fault == RemovalForgetsLeases {
				s.granters[member].memory = [rangeCount]rangeMemory{}
			}
		}
		e.add(s, "the service is removed")
	}
}

// viewSteps adds the steps in which a view is decided or installed by a member.
func (e *explorer) viewSteps(s state) {
	if int(s.view) < e.bounds.ViewChanges {
		for head := range s.granters {
			next := s
			next.view++
			next.heads[next.view] = uint8(head)
			e.add(next, "view %d is decided, with granter %d as head", next.view, head)
		}
	}
	for member := range s.granters {
		if s.granters[member].crashed {
			continue
		}
		for view := s.granters[member].view + 1; view <= s.view; view++ {
			next := s
			e.installView(&next, member, view)
			e.add(next, "granter %d installs view %d", member, view)
		}
	}
}

// installView installs a view. The tenure of a head continues if it was the head of the view before.
func (e *explorer) installView(s *state, member int, view uint8) {
	g := &s.granters[member]
	isHead := int(s.heads[view]) == member
	continues := g.leading && (view == g.view+1 || e.fault == TenureSpansOtherHead)
	if e.fault == TenureSpansOtherHead && !isHead {
		g.view, g.authority = view, 0 // keeps leading, so that it finds its earlier tenure when it returns
		return
	}
	if !isHead || !continues {
		*g = granter{counter: g.counter}
	}
	g.view, g.leading = view, isHead
	g.authority = 0
}
