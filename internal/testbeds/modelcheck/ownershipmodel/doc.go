// Package ownershipmodel is a model checker for the rules by which shard keys are granted to replicas (docs/design/shard-ownership.md): a small
// state machine without I/O that is explored exhaustively within bounds. It covers two granters, of which the head of the latest view has
// authority, two replicas that may be replaced by others at the same address, and one or two ranges, in every order of events: commits, view
// changes, crashes, calls that arrive late, are lost, answered or reset, and the passing of time.
//
// Time advances in ticks. A duration of n ticks may have ended at an age of n ticks and has ended at n+1: this covers the rounding of ages to
// ticks and the bounded difference between the rates of two clocks. Replicas drop a lease anywhere in between, whereas granters wait for the
// later end.
//
// The model specifies the rules independently of packages granter and ownership and is less restrictive: moves may start at any time and have
// any target, a release call may take any time, and a proposal may be committed at any time. Faults can be injected to verify that the
// exploration detects them.
package ownershipmodel

import "zincloft.example/zincloft/internal/testbeds/modelcheck/breadthfirst"

// Fault is a bug that is injected into the model.
type Fault int

// Faults.
const (
	NoFault                     Fault = iota
	TokenFromMemory                   // a granter takes tokens from a counter in memory, which a restart resets
	LeaseFromSending                  // a lease is counted from the sending of a grant instead of the end of the call
	LeaseEndRoundedDown               // a lease that may have ended counts as ended
	SuccessorIgnoresAuthority         // a new head does not wait for the end of the former head's authority
	SuccessorIgnoresCalls             // a new head does not wait for the end of the former head's calls
	SuccessorIgnoresLeases            // a new head does not wait for the end of the leases that the former head granted
	SuccessorAssumesOwnLease          // a new head takes the former head's leases to be as short as its own
	TenureSpansOtherHead              // a head that returns after another one continues its earlier tenure
	AuthorityFromEndOfRead            // authority is counted from the end of a read that takes a tick, instead of its start
	CallsWithoutAuthority             // a head makes calls although its authority has ended
	TimeoutTakenAsRelease             // a release that timed out counts as acknowledged
	RenewsReleasingRange              // a range that is being released is still renewed
	LateGrantDelivered                // a connection is not reset at the timeout, so that a grant may arrive later
	GrantInFlightIgnored              // a range becomes free although a grant of its keys is in flight
	RenewsWholeAfterPartialMove       // after a part of a grant was moved away, the whole is still renewed
	UnconditionalProposal             // proposals are committed without comparing the revision of the table
	DivisionIgnoresLeases             // a service that was removed and added again is divided before its earlier leases have ended
	RemovalForgetsLeases              // a head forgets the leases of a service that is removed from the configuration
	GoneReplicaKeepsRange             // only an acknowledged release frees a range
	ReplicaIDReused                   // a replica that crashed comes back under the same ID
	TargetIgnored                     // a replica performs calls to another ID at its address
	GrantsBeforeCommit                // a grant is called before it is committed
)

// Result is the result of an exploration.
type Result = breadthfirst.Result

// Explore explores all states within the bounds breadth first until an invariant is violated.
func Explore(bounds Bounds, fault Fault) Result {
	return breadthfirst.Explore(newExplorer(bounds, fault), bounds.MaxStates)
}
