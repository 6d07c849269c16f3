package simulation

import "time"

// Result has the violations and measurements of a run.
type Result struct {
	Violations []string // a run ends with the first
	Trace      []string // one line per notable event

	Acknowledged   int // acknowledged commands
	AnsweredCalls  int // operator calls with a conclusive response, commands and reads
	Requests       int // requests that gateways sent to replicas
	WarmupRequests int // requests to replicas that were warming up
	Retries        int // how often a gateway's budget allowed retries
	NewestView     uint64
	Sharded        ShardedResult
	DrainedWindows int // maintenance windows in which a gateway was drained
	NewestSequence uint64
	MaxDiskBytes   int // highest usage of a single disk
	Operations     []Operation
	Attempts       []Attempt

	// RequestLatencies are measured while no maintenance window is open (index 0) and while one is (index 1).
	RequestLatencies [2][]time.Duration
	// CommandLatencies are measured from the successful attempt to its acknowledgement.
	CommandLatencies []time.Duration
	// ViewRepairTimes are measured from the loss of a chain member to the installation of a view without it.
	ViewRepairTimes []time.Duration
	// ConfigPropagationTimes are measured from a commit to its application by a gateway with a stream.
	ConfigPropagationTimes []time.Duration

	// The remaining fields are measured in schedules with a Tolerance.

	// CatchUpTimes are measured from a member's start until it is in the chain with all committed state on disk.
	CatchUpTimes []time.Duration
	// JoinTimes are the same for members at a new address.
	JoinTimes []time.Duration
	// ResponsesWhileIsolated are measured from a member's isolation to each response that it still gives.
	ResponsesWhileIsolated []time.Duration
	// HeartbeatsWhileIsolated are the same for responses to heartbeats of replicas.
	HeartbeatsWhileIsolated []time.Duration
	// ResponsesAfterResume are measured from the end of a pause to each response given with an outdated view.
	ResponsesAfterResume []time.Duration
}

// ShardedResult has the measurements of the sharded service.
type ShardedResult struct {
	Requests, Served         int // requests with a key, however often they were retried
	CalmRequests, CalmServed int // those that started and ended in calm times
	NotHeld                  int // attempts that a replica rejected because it did not hold the key
	FailedInRun              int // attempts whose lease ended before they did

	Grants, Releases, Fenced int // calls that replicas received
	UncountedGrants          int // grants within thawSlack after their sender resumed or the link healed
	KeyMoves, ColdKeyMoves   int // by key: grants to another replica than the last holder, and those without its handover
	DoublyHeldKeys           int // by key: grants of a key that another replica held
}

// Operation is an operator call for a linearizability check against a single register that only increases: a write
// raises the register to at least its version, a read returns it.
type Operation struct {
	Read         bool
	Version      uint64
	Call, Return time.Duration // Return is 0 without a conclusive response
}

// AttemptKind is the operation that an Attempt requests.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptRead     AttemptKind = "read"
	AttemptPut      AttemptKind = "put"  // submit a configuration
	AttemptEvacuate AttemptKind = "out"  // evacuate a zone
	AttemptRestore  AttemptKind = "back" // restore a zone
)

// Attempt is one call to one member, for a linearizability check. Each committed register that is observed is recorded
// as a read of all keys.
type Attempt struct {
	Key      string // the zone, or empty for the configuration
	Kind     AttemptKind
	Version  uint64
	BodyID   int    // of the configuration; for a zone, 1 if it is evacuated
	Sequence uint64 // of an observed committed register; 0 for operator calls
	Conflict bool   // rejected with 409
	Answered bool   // received a conclusive response
	Call     time.Duration
	Return   time.Duration // without a conclusive response, when the caller gave up

	// MayActLate is set if the attempt may take effect long after its caller gave up, in a schedule that exceeds the tolerance: the
	// head keeps what it accepted until the chain is whole again. It must not undo what was acknowledged since.
	MayActLate bool
	ActsUntil  time.Duration // latest effect of such an attempt without a conclusive response
}

// add adds the measurements of another run.
func (r *ShardedResult) add(other ShardedResult) {
	r.Requests += other.Requests
	r.Served += other.Served
	r.CalmRequests += other.CalmRequests
	r.CalmServed += other.CalmServed
	r.NotHeld += other.NotHeld
	r.FailedInRun += other.FailedInRun
	r.Grants += other.Grants
	r.Releases += other.Releases
	r.Fenced += other.Fenced
	r.UncountedGrants += other.UncountedGrants
	r.KeyMoves += other.KeyMoves
	r.ColdKeyMoves += other.ColdKeyMoves
	r.DoublyHeldKeys += other.DoublyHeldKeys
}
