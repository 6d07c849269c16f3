package ownershipmodel

// mayAct reports whether a member is the head of its view and has authority.
func (e *explorer) mayAct(s *state, member int) bool {
	g := &s.granters[member]
	isHead := g.leading && int(s.heads[g.view]) == member
	return isHead && (g.authority > 0 || e.fault == CallsWithoutAuthority)
}

// authoritySteps adds the step in which a quorum confirms a read of a head. A confirmation that takes longer only shortens the authority.
func (e *explorer) authoritySteps(s state, member int) {
	g := &s.granters[member]
	if !g.leading || g.view != s.view || int(s.heads[g.view]) != member {
		return
	}
	s.confirmRead(member)
	e.add(s, "a read of granter %d is confirmed", member)
}

// confirmRead gives a head authority. It learns what is committed.
func (s *state) confirmRead(member int) {
	s.granters[member].authority = 1
	s.learn(member)
}

// learn updates a granter's table. What it remembers about calls holds for unchanged ranges only.
func (s *state) learn(member int) {
	g := &s.granters[member]
	for r := range s.table.ranges {
		if s.table.ranges[r] != g.known.ranges[r] {
			g.memory[r].released, g.memory[r].fenced = false, false
		}
	}
	g.known = s.table
}
