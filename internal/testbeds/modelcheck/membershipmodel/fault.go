package membershipmodel

// Fault is a bug that is injected into the rules of a model.
type Fault int

// NoFault leaves the rules unchanged.
const NoFault Fault = 0

// Faults of the message model. UnsyncedHead applies to both models.
const (
	ViewNumberIgnored Fault = iota + 1 // A forwarded register is accepted from any member and any view.
	WipedMemberVotes                   // A machine that lost its disk still votes.
	AckBeforeSync                      // A register is forwarded or acknowledged before it is on disk.
	UnsyncedHead                       // A member that was never synced can become head.
	QuorumOfNewChain                   // The quorum for a view is derived from its own chain and too small.
	NonVoterVotes                      // The votes of a machine that is not a voter count.
)

// Faults of the reconfiguration model.
const (
	LeavingMemberExitsImmediately Fault = iota + 100 // A leaving member exits without waiting.
	JoinBeforeCommit                                 // A machine that is not needed joins after a view without a commit.
	LeavingMemberDroppedEarly                        // A leaving member is dropped from the chain while too few of the others are synced.
	LeavingMemberTrustsTail                          // A leaving member exits after the tail's commit without confirmations.
	LeavingMemberIgnoresNewerView                    // A leaving member counts confirmations of members that know of a later view.
	LeavingMemberExitsAsVoter                        // A leaving member exits as a voter although it can be replaced or removed.
	LeavingMemberNotReadmitted                       // A leaving member is not readmitted to the chain when it is needed.
	UnsyncedReplacement                              // A new machine replaces a voter before it is synced.
	UnsyncedAddition                                 // A new machine becomes an additional voter before it is synced.
	LeaseRead                                        // A read is answered without confirmation by a quorum.
	CommandAppliedTwice                              // Retried commands are not deduplicated.
	ReturningMemberBecomesHead                       // A voter that rejoins with its disk becomes head.
	ConflictAcknowledged                             // A command for a version that is already used is acknowledged despite a conflict.
	ConflictReportedEarly                            // A conflict is reported before the conflicting command is committed.
	SilentVotersRemoved                              // Absent voters are removed although the others tolerate too few disk losses.
)

// Result is the result of an exploration.
type Result struct {
	States    int
	Complete  bool     // Whether all states within the bounds were explored.
	Violation string   // The violated invariant, or "".
	Trace     []string // The steps that lead to the violation.
}
