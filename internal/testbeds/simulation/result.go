package simulation

import "time"

// Result is what was seen in a run.
type Result struct {
	Violations []string // of invariants; a run ends with the first
	Trace      []string // a line for each thing of note, with its time in seconds

	Acknowledged   int // commands that were acknowledged
	AnsweredCalls  int // calls of operators that were answered clearly, commands and reads
	Requests       int // that gateways sent to replicas
	WarmupRequests int // of them, to replicas that were warming up
	Retries        int // requests that their gateway's budget allowed a retry
	NewestView     uint64
	DrainedWindows int // maintenance windows in which a gateway was drained
	NewestSequence uint64
	MaxDiskBytes   int // most bytes on one disk
	Operations     []Operation
	Attempts       []Attempt

	// RequestLatencies are of requests while no maintenance window was open, and while one was.
	RequestLatencies [2][]time.Duration
	// CommandLatencies run from the call that was answered to its acknowledgement.
	CommandLatencies []time.Duration
	// ViewRepairTimes run from a kill, freeze or cut of a member of the chain until a view without it was installed.
	ViewRepairTimes []time.Duration
	// ConfigPropagationTimes run from the commit of a configuration until a gateway with a stream had it in force.
	ConfigPropagationTimes []time.Duration

	// The rest is measured in schedules with a Tolerance.

	// CatchUpTimes run from the start of a member until it was in the chain and had on disk what was committed.
	CatchUpTimes []time.Duration
	// JoinTimes are the same of members at a new address.
	JoinTimes []time.Duration
	// ResponsesWhileIsolated run from the begin of a cut to each answer that the member cut off still gave.
	ResponsesWhileIsolated []time.Duration
	// HeartbeatsWhileIsolated are the same of answers to heartbeats of replicas.
	HeartbeatsWhileIsolated []time.Duration
	// ResponsesAfterResume run from a thaw to each answer that was given while others had a newer view.
	ResponsesAfterResume []time.Duration
}

// Operation is one call of an operator, for a check of the whole history against one register that only grows: a write
// raises the register to at least its version, a read returns it.
type Operation struct {
	Read         bool
	Version      uint64
	Call, Return time.Duration // Return 0: there was no clear answer
}

// AttemptKind says what an Attempt asked for.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptRead     AttemptKind = "read"
	AttemptPut      AttemptKind = "put"  // a configuration
	AttemptEvacuate AttemptKind = "out"  // a zone
	AttemptRestore  AttemptKind = "back" // a zone
)

// Attempt is one call to one member, for a check of linearizability: what it asked for and what came of it. Each committed
// register that is seen counts as a read of all keys.
type Attempt struct {
	Key      string // what it is about: the configuration (empty), or a zone
	Kind     AttemptKind
	Version  uint64
	BodyID   int    // of the configuration; of a zone 1 if it is evacuated
	Sequence uint64 // of the committed register that was seen; 0: the call of an operator
	Conflict bool   // answered by 409
	Answered bool   // clearly
	Call     time.Duration
	Return   time.Duration // without a clear answer: when the caller gave up
}
