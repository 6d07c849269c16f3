package membershipmodel

// Fault is a mistake that is planted in the rules of a model.
type Fault int

// NoFault leaves the rules as they are.
const NoFault Fault = 0

// Faults of the message model. UnsyncedHead is known to both models.
const (
	ViewNumberIgnored Fault = iota + 1 // A forwarded register of any view is taken, from anyone.
	WipedMemberVotes                   // A machine that lost its disk keeps its vote.
	AckBeforeSync                      // A register is forwarded or acknowledged before it is on disk.
	UnsyncedHead                       // A member that was never synced may become head.
	QuorumOfNewChain                   // A view is decided by the members of its new chain alone.
	NonVoterVotes                      // A machine that is no voter promises and accepts, and its answers count.
)

// Faults of the reconfiguration model.
const (
	LeavingMemberExitsImmediately Fault = iota + 100 // A leaver exits at once.
	JoinBeforeCommit                                 // A machine joins the chain out of a view without a commit, also where it is not needed.
	LeavingMemberDroppedEarly                        // A leaver is dropped from the chain while too few others in it are synced.
	LeavingMemberTrustsTail                          // A leaver exits on the tail's commit alone and hears nobody else after it.
	LeavingMemberIgnoresNewerView                    // A leaver counts confirmations of members that know of a later view.
	LeavingMemberExitsAsVoter                        // A leaver exits while it is a voter beyond those that are needed.
	LeavingMemberNotReadmitted                       // A leaver is not taken back into the chain, also where it is needed.
	UnsyncedReplacement                              // A new machine takes a voter's seat at once, while it is empty.
	UnsyncedAddition                                 // A new machine is added to the voters at once, while it is empty.
	LeaseRead                                        // A read trusts in contact and asks nobody.
	CommandAppliedTwice                              // The identities of commands are not remembered.
	ReturningMemberBecomesHead                       // A member that returns with its disk becomes head.
	ConflictAcknowledged                             // A command for a version that is taken is acknowledged, whatever its content.
	ConflictReportedEarly                            // A conflict is reported before what it conflicts with is committed.
)

// Result is what an exploration found.
type Result struct {
	States    int
	Complete  bool     // Whether all states within the bounds were seen.
	Violation string   // Of an invariant; empty if there was none.
	Trace     []string // The steps that lead there.
}
