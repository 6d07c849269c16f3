package ownershipmodel

import "slices"

const (
	granterCount = 2
	replicaCount = 2 // addresses; a crashed replica is replaced by another one with a new ID
	rangeCount   = 2
	maxCalls     = 3
	maxViews     = 4
	initialToken = 1 // of all ranges in the initial state
)

// state is a state of the model. It must be comparable, as it is hashed.
type state struct {
	table     table                  // committed
	proposals [granterCount]proposal // each may still be committed, even if its granter has crashed
	view      uint8                  // latest decided view
	heads     [maxViews]uint8        // by view
	granters  [granterCount]granter
	replicas  [replicaCount]replica
	calls     [maxCalls]call // in flight
	removed   bool           // the service is not in the configuration
	spent     spent
	violation violation
}

// spent counts the events that the bounds limit.
type spent struct {
	granterCrashes, replicaCrashes, removals uint8
}

// table is the ownership table. Each change has a new revision, which is also the token of the ranges that it affects.
type table struct {
	revision uint8
	view     uint8 // view in which it was committed
	ranges   [rangeCount]keyRange
}

type keyRange struct {
	phase phase
	owner replicaID
	token uint8
}

type phase uint8

const (
	undivided phase = iota
	granted
	releasing
)

// replicaID identifies a replica across crashes. Its address is the ID modulo replicaCount.
type replicaID uint8

func (id replicaID) address() int { return int(id) % replicaCount }

// proposal is a proposed change of the table.
type proposal struct {
	pending  bool
	expected uint8 // revision that it requires
	ranges   [rangeCount]keyRange
}

// granter is the state of a member. Only the head of its view has more than the first two fields.
type granter struct {
	crashed bool
	view    uint8 // installed

	leading   bool  // in its view
	tenure    uint8 // age of the tenure, up to the wait for the leases of former heads
	authority uint8 // 1 + age of the start of the last confirmed read, or 0
	counter   uint8 // last token issued from memory; only with TokenFromMemory
	known     table // last committed table that it has learned of
	memory    [rangeCount]rangeMemory
}

// rangeMemory is what a granter remembers about a range.
type rangeMemory struct {
	leaseLeft uint8 // ticks until the leases that it granted have ended
	released  bool  // the release was acknowledged
	fenced    bool  // the token was refused
}

// replica is a running replica.
type replica struct {
	id   replicaID
	keys [rangeCount]hold
}

// hold is what a replica knows about the keys of a range.
type hold struct {
	leaseLeft uint8 // ticks until the lease has ended; 0 means that the keys are not held
	seenToken uint8 // greatest token of any call
}

// call is a call to a replica that has not ended, or one whose connection was not reset.
type call struct {
	kind     callKind
	member   uint8
	ranges   rangeSet
	token    uint8
	target   replicaID
	age      uint8 // of grants only
	outcome  outcome
	timedOut bool // ended for the granter but still in transit; only with LateGrantDelivered
}

type callKind uint8

const (
	noCall callKind = iota
	grantCall
	releaseCall
)

// outcome is the replica's answer, which is in transit to the granter.
type outcome uint8

const (
	notArrived outcome = iota
	accepted
	fenced
	misdirected
)

// rangeSet is a set of ranges.
type rangeSet uint8

const allRanges rangeSet = 1<<rangeCount - 1

func setOf(r int) rangeSet { return 1 << r }

func (s rangeSet) has(r int) bool { return s&setOf(r) != 0 }

// isInFlight reports whether a call of a granter that concerns any of the ranges has no result yet.
func (s *state) isInFlight(kind callKind, member int, ranges rangeSet) bool {
	return slices.ContainsFunc(s.calls[:], func(c call) bool {
		return c.kind == kind && int(c.member) == member && c.ranges&ranges != 0 && !c.timedOut
	})
}

// runs reports whether the replica with an ID is running.
func (s *state) runs(id replicaID) bool { return s.replicas[id.address()].id == id }

// initialState has one grant of all ranges to replica 0, committed by granter 0 as the head of view 0.
func (e *explorer) initialState() state {
	s := state{}
	s.table.revision = initialToken
	for r := range e.bounds.Ranges {
		s.table.ranges[r] = keyRange{phase: granted, owner: 0, token: initialToken}
	}
	for i := range s.replicas {
		s.replicas[i].id = replicaID(i)
	}
	s.granters[0].leading = true
	s.granters[0].known = s.table
	s.granters[0].counter = s.table.revision
	s.granters[0].tenure = e.successionWait(0)
	return s
}
