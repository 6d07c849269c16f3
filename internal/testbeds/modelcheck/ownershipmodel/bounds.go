package ownershipmodel

// Bounds limit an exploration.
type Bounds struct {
	Ranges             int // 1 or 2
	Commits            int // changes of the table
	ViewChanges        int
	GranterCrashes     int // each followed by a restart
	ReplicaCrashes     int // each followed by the start of another replica at the same address
	Removals           int // of the service from the configuration
	Calls              int // in flight at the same time
	ShorterSecondLease bool
	MaxStates          int // exploration stops beyond this number; 0 means no limit
}

// Durations in ticks.
const (
	authorityTicks   = 1 // of a confirmed read, from its start
	callTicks        = 1 // until a grant call times out
	leaseTicks       = 1
	longerLeaseTicks = 2 // of granter 0 with Bounds.ShorterSecondLease
	roundingTicks    = 1 // a duration has ended this much later than it may have ended
)

// leaseOf returns the duration of the leases that a granter grants.
func (e *explorer) leaseOf(member int) uint8 {
	if e.bounds.ShorterSecondLease && member == 0 {
		return longerLeaseTicks
	}
	return leaseTicks
}

// authorityTicks returns how long a head that has confirmed a read makes calls.
func (e *explorer) authorityTicks() uint8 {
	if e.fault == AuthorityFromEndOfRead {
		return authorityTicks + 1
	}
	return authorityTicks
}

// successionWait returns how long after the start of its tenure a granter waits for the leases of former heads.
func (e *explorer) successionWait(member int) uint8 {
	lease := max(e.leaseOf(0), e.leaseOf(1))
	switch e.fault {
	case SuccessorIgnoresAuthority:
		return callTicks + lease + roundingTicks
	case SuccessorIgnoresCalls:
		return authorityTicks + lease + roundingTicks
	case SuccessorIgnoresLeases:
		return authorityTicks + callTicks + roundingTicks
	case SuccessorAssumesOwnLease:
		lease = e.leaseOf(member)
	}
	return authorityTicks + callTicks + lease + roundingTicks
}
