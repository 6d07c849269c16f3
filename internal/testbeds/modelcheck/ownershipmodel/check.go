package ownershipmodel

// violation is an invariant that a state violates.
type violation uint8

const (
	noViolation violation = iota
	twoHolders
	tokenNotRising
	neverHeld
)

func (v violation) String() string {
	return [...]string{
		noViolation:    "",
		twoHolders:     "two replicas hold the same keys",
		tokenNotRising: "a range was changed without a higher token",
		neverHeld:      "a range does not get its holder without further faults",
	}[v]
}

// check returns the invariant that a state violates.
func (e *explorer) check(s *state) violation {
	if s.violation != noViolation {
		return s.violation
	}
	for r := range e.bounds.Ranges {
		if s.replicas[0].keys[r].leaseLeft > 0 && s.replicas[1].keys[r].leaseLeft > 0 {
			return twoHolders
		}
	}
	if !e.converges(s) {
		return neverHeld
	}
	return noViolation
}
