package ownershipmodel

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

var (
	boundsSuccession = Bounds{Ranges: 1, Commits: 2, ViewChanges: 1, Calls: 3}
	boundsReturn     = Bounds{Ranges: 1, Commits: 2, ViewChanges: 2, Calls: 1}
	boundsMoves      = Bounds{Ranges: 1, Commits: 3, ViewChanges: 1, Calls: 2}
	boundsCrashes    = Bounds{Ranges: 1, Commits: 2, ViewChanges: 1, Calls: 1, GranterCrashes: 1, ReplicaCrashes: 1}
	boundsReplica    = Bounds{Ranges: 1, Commits: 2, Calls: 2, ReplicaCrashes: 1}
	boundsRemoval    = Bounds{Ranges: 1, Commits: 2, ViewChanges: 1, Calls: 1, Removals: 1, ShorterSecondLease: true}
	boundsParts      = Bounds{Ranges: 2, Commits: 2, Calls: 3}
)

// TestInjectedFaultsAreDetected guards against invariants that miss a fault. The bounds are those of TestNoViolationWithoutFault. The numbers
// of states are pinned in both to detect unintended changes of the model.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  Fault
		bounds Bounds
		want   violation
		states int
	}{
		{"token from memory after a restart", TokenFromMemory, boundsCrashes, tokenNotRising, 362},
		{"lease counted from the sending of the grant", LeaseFromSending, boundsSuccession, twoHolders, 15106},
		{"lease that may have ended counts as ended", LeaseEndRoundedDown, boundsSuccession, twoHolders, 14035},
		{"successor ignores the former head's authority", SuccessorIgnoresAuthority, boundsSuccession, twoHolders, 43835},
		{"successor ignores the former head's calls", SuccessorIgnoresCalls, boundsSuccession, twoHolders, 43835},
		{"successor ignores the former head's leases", SuccessorIgnoresLeases, boundsSuccession, twoHolders, 43835},
		{"successor takes the former head's leases for its own", SuccessorAssumesOwnLease, boundsRemoval, twoHolders, 138759},
		{"tenure spans that of another head", TenureSpansOtherHead, boundsReturn, twoHolders, 254354},
		{"authority counted from the end of the read", AuthorityFromEndOfRead, boundsSuccession, twoHolders, 103268},
		{"renewal after the end of the authority", CallsWithoutAuthority, boundsSuccession, twoHolders, 80729},
		{"unanswered release taken as acknowledged", TimeoutTakenAsRelease, boundsSuccession, twoHolders, 22758},
		{"renewal of a range being released", RenewsReleasingRange, boundsSuccession, twoHolders, 14143},
		{"grant delivered after its timeout", LateGrantDelivered, boundsSuccession, twoHolders, 54994},
		{"range free despite a grant in flight", GrantInFlightIgnored, boundsSuccession, twoHolders, 10540},
		{"renewal of the whole after a part was moved", RenewsWholeAfterPartialMove, boundsParts, twoHolders, 4439},
		{"proposal without comparison of the revision", UnconditionalProposal, boundsSuccession, tokenNotRising, 30602},
		{"grant before its commit", GrantsBeforeCommit, boundsSuccession, twoHolders, 69329},
		{"division while leases from before a removal run", DivisionIgnoresLeases, boundsRemoval, twoHolders, 43638},
		{"leases forgotten with a removed service", RemovalForgetsLeases, boundsRemoval, twoHolders, 55981},
		{"only an acknowledged release frees a range", GoneReplicaKeepsRange, boundsReplica, neverHeld, 2},
		{"replica ID used again", ReplicaIDReused, boundsReplica, twoHolders, 2846},
		{"call to another replica at the address performed", TargetIgnored, boundsReplica, twoHolders, 4807},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			result := Explore(test.bounds, test.fault)
			t.Logf("%d states: %s\n%s", result.States, result.Violation, strings.Join(result.Trace, "\n"))
			if result.Violation != test.want.String() {
				t.Errorf("violation %q after %d states, want %q; complete: %v", result.Violation, result.States, test.want, result.Complete)
			}
			if result.States != test.states {
				t.Errorf("%d states, want %d", result.States, test.states)
			}
		})
	}
}

func TestNoViolationWithoutFault(t *testing.T) {
	type exploration struct {
		bounds Bounds
		states int // 0: not pinned
	}
	explorations := []exploration{
		{boundsSuccession, 114601},
		{boundsReturn, 402929},
		{boundsMoves, 364304},
		{boundsCrashes, 480397},
		{boundsReplica, 4359},
		{boundsRemoval, 215619},
		{boundsParts, 90582},
	}
	if os.Getenv("ZINCLOFT_LONG") != "" {
		explorations = append(explorations,
			exploration{Bounds{Ranges: 1, Commits: 3, ViewChanges: 2, Calls: 2, MaxStates: 5e6}, 0},
			exploration{Bounds{Ranges: 1, Commits: 4, ViewChanges: 1, Calls: 2, ReplicaCrashes: 1}, 2382187},
			exploration{Bounds{Ranges: 1, Commits: 2, ViewChanges: 1, Calls: 2, GranterCrashes: 1, ReplicaCrashes: 1, Removals: 1, MaxStates: 5e6}, 0},
			exploration{Bounds{Ranges: 2, Commits: 2, ViewChanges: 1, Calls: 2, MaxStates: 5e6}, 0},
			exploration{Bounds{Ranges: 2, Commits: 4, Calls: 3, MaxStates: 5e6}, 0})
	}
	for _, x := range explorations {
		t.Run(fmt.Sprintf("%+v", x.bounds), func(t *testing.T) {
			t.Parallel()
			result := Explore(x.bounds, NoFault)
			t.Logf("%d states, complete: %v", result.States, result.Complete)
			if result.Violation != "" {
				t.Errorf("%s\n%s", result.Violation, strings.Join(result.Trace, "\n"))
			}
			if !result.Complete && x.bounds.MaxStates == 0 {
				t.Error("the exploration is incomplete")
			}
			if x.states > 0 && result.States != x.states {
				t.Errorf("%d states, want %d", result.States, x.states)
			}
		})
	}
}
