package membershipmodel

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestReconfigurationFaultsAreFound puts bugs into the rules of membership, orders and readings: each must be found, and each in a
// scope in which the sound rules hold (TestMembersSound has the same ones).
func TestReconfigurationFaultsAreFound(t *testing.T) {
	for _, x := range []struct {
		name  string
		fault Fault
		s     Scope
	}{
		{"a head that was never filled", UnsyncedHead, scopeUnsyncedHead},
		{"a newcomer that is taken in while the others are still marked", JoinBeforeCommit, scopeStartsUnsynced},
		{"a leaver that isn't waited for", LeaverExitsAtOnce, scopeLeave},
		{"a leaver that is dropped while too few others are filled", LeaverDroppedEarly, scopeLeave},
		{"a leaver that trusts the tail's word", LeaverTrustsTail, scopeLeave},
		{"a leaver that goes by an older view", LeaverIgnoresNewerView, scopeLeaveLoss},
		{"a leaver that ends as a voter though it has a successor", LeaverExitsAsVoter, scopeReplace},
		{"a leaver that isn't taken back", LeaverNotReadmitted, scopeLeave},
		{"a newcomer that is added to the voters while it is empty", UnsyncedAddition, scopeLoss},
		{"a lease that outlives a freeze", LeaseRead, scopeRead},
		{"a repeated order that is applied again", CommandAppliedTwice, scopeCommands},
		{"a head with an old snapshot", ReturningMemberLeads, scopeCommands},
		{"two confirmed under one number", ConflictAcknowledged, scopeCommands},
		{"a conflict that is told at once", ConflictReportedEarly, scopeCommands},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			r := ExploreReconfiguration(x.s, x.fault)
			t.Logf("%d states: %s\n%s", r.States, r.Violation, strings.Join(r.Trace, "\n"))
			if r.Violation == "" {
				t.Errorf("not found in %d states, all: %v", r.States, r.Complete)
			}
		})
	}
}

var (
	scopeUnsyncedHead   = Scope{Members: 3, Kills: 3, Commands: 1, Submissions: 1, Views: 3, ExceedsTolerance: true}
	scopeStartsUnsynced = Scope{Members: 3, Newcomers: 1, Kills: 1, Views: 3, StartsUnsynced: true}
	scopeLeave          = Scope{Members: 3, Kills: 2, Leaves: 1, Views: 4, SupersededProposals: 1}
	scopeLeaveLoss      = Scope{Members: 3, Kills: 1, Losses: 1, Leaves: 1, Views: 4, SupersededProposals: 1}
	scopeReplace        = Scope{Members: 3, Newcomers: 1, Losses: 1, Leaves: 1, Views: 3}
	scopeLoss           = Scope{Members: 3, Newcomers: 1, Kills: 1, Losses: 1, Views: 4}
	scopeWipe           = Scope{Members: 3, Newcomers: 1, Wipes: 1, Losses: 1, Views: 4}
	scopeRead           = Scope{Members: 3, Suspicions: 1, Commands: 1, Submissions: 1, Reads: 1, Views: 2}
	scopeCommands       = Scope{Members: 3, Kills: 1, Commands: 2, Submissions: 3, Views: 2}
)

// TestReconfigurationIsSound explores the rules without a bug, each scope whole.
func TestReconfigurationIsSound(t *testing.T) {
	for _, s := range []Scope{scopeUnsyncedHead, scopeStartsUnsynced, scopeLeave, scopeLeaveLoss, scopeReplace, scopeLoss, scopeWipe, scopeRead, scopeCommands} {
		r := ExploreReconfiguration(s, NoFault)
		t.Logf("%v: %d states, all: %v", s, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s\n%s", r.Violation, strings.Join(r.Trace, "\n"))
		}
		if !r.Complete {
			t.Errorf("not all states were seen")
		}
	}
}

// TestUnsyncedReplacementIsSafe: that a stranger has an absent voter's seat at once, while it is empty, breaks nothing as long as it is
// marked as fresh and counts as lost until it is filled (the rules wait all the same: what holds with it is that much less).
func TestUnsyncedReplacementIsSafe(t *testing.T) {
	r := ExploreReconfiguration(scopeWipe, UnsyncedReplacement)
	t.Logf("%v: %d states, all: %v", scopeWipe, r.States, r.Complete)
	if r.Violation != "" || !r.Complete {
		t.Errorf("%s\n%s", r.Violation, strings.Join(r.Trace, "\n"))
	}
}

// TestReconfigurationLarge takes minutes and gigabytes: it runs where MODEL_SECONDS says how long each scope may take, and prints
// what was seen by then (docs/results.md).
func TestReconfigurationLarge(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("MODEL_SECONDS"))
	if seconds == 0 {
		t.Skip("MODEL_SECONDS isn't set")
	}
	for _, s := range []Scope{
		{Members: 3, Newcomers: 1, Losses: 1, Wipes: 1, Leaves: 1, Views: 5},
		{Members: 3, Newcomers: 1, Losses: 1, Leaves: 1, Views: 6},
		{Members: 3, Newcomers: 1, Losses: 1, Leaves: 1, Views: 4, Commands: 1, Submissions: 1},
		{Members: 3, Newcomers: 1, Losses: 1, Leaves: 1, Views: 3, SupersededProposals: 1},
		{Members: 3, Newcomers: 1, Wipes: 1, Leaves: 1, Views: 5},
		{Members: 3, Newcomers: 1, Kills: 1, Leaves: 1, Views: 4},
		{Members: 3, Newcomers: 1, Leaves: 1, Returns: 1, Views: 5},
		{Members: 3, Kills: 1, Suspicions: 1, Leaves: 1, Returns: 1, Commands: 1, Submissions: 1, Views: 4},
		{Members: 3, Kills: 1, Suspicions: 1, Commands: 1, Submissions: 1, Reads: 1, Views: 2},
		{Members: 3, Wipes: 1, Kills: 1, Commands: 2, Submissions: 3, Views: 3},
		{Members: 5, Newcomers: 1, Losses: 2, Views: 5},
		{Members: 5, Newcomers: 1, Losses: 1, Leaves: 1, Views: 4},
		{Members: 5, Losses: 1, Kills: 1, Leaves: 1, Views: 4},
		{Members: 5, Wipes: 1, Kills: 1, Commands: 1, Submissions: 1, Views: 3},
	} {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			s.Deadline = time.Now().Add(time.Duration(seconds) * time.Second)
			r := ExploreReconfiguration(s, NoFault)
			t.Logf("%d states, all: %v", r.States, r.Complete)
			if r.Violation != "" {
				t.Errorf("%s\n%s", r.Violation, strings.Join(r.Trace, "\n"))
			}
		})
	}
}
