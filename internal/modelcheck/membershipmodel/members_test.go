package membershipmodel

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestMemberFaultsAreFound puts bugs into the rules of membership, orders and readings: each must be found, and each in a
// scope in which the sound rules hold (TestMembersSound has the same ones).
func TestMemberFaultsAreFound(t *testing.T) {
	for _, x := range []struct {
		name  string
		fault Fault
		s     Scope
	}{
		{"a head that was never filled", FreshHead, scopeFreshHead},
		{"a newcomer that is taken in while the others are still marked", JoinUnsettled, scopePassed},
		{"a leaver that isn't waited for", LeaverNotWaited, scopeLeave},
		{"a leaver that is dropped while too few others are filled", LeaverDroppedEarly, scopeLeave},
		{"a leaver that trusts the tail's word", LeaverTrustsTail, scopeLeave},
		{"a leaver that goes by an older view", LeaverOldView, scopeLeaveGone},
		{"a leaver that ends as a voter though it has a successor", LeaverStillVoter, scopeReplace},
		{"a leaver that isn't taken back", LeaverNotTaken, scopeLeave},
		{"a newcomer that is added to the voters while it is empty", AddedUnfilled, scopeLost},
		{"a lease that outlives a freeze", LeaseRead, scopeRead},
		{"a repeated order that is applied again", AppliedAgain, scopeOrders},
		{"a head with an old snapshot", OldSnapshotHead, scopeOrders},
		{"two confirmed under one number", TwoConfirmed, scopeOrders},
		{"a conflict that is told at once", ConflictAtOnce, scopeOrders},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			r := ExploreMembers(x.s, x.fault)
			t.Logf("%d states: %s\n%s", r.States, r.Broken, strings.Join(r.Trace, "\n"))
			if r.Broken == "" {
				t.Errorf("not found in %d states, all: %v", r.States, r.Complete)
			}
		})
	}
}

var (
	scopeFreshHead = Scope{Members: 3, Kills: 3, Orders: 1, Enters: 1, Views: 3, Over: true}
	scopePassed    = Scope{Members: 3, Spares: 1, Kills: 1, Views: 3, Passed: true}
	scopeLeave     = Scope{Members: 3, Kills: 2, Leaves: 1, Views: 4, Tries: 1}
	scopeLeaveGone = Scope{Members: 3, Kills: 1, Gone: 1, Leaves: 1, Views: 4, Tries: 1}
	scopeReplace   = Scope{Members: 3, Spares: 1, Gone: 1, Leaves: 1, Views: 3}
	scopeLost      = Scope{Members: 3, Spares: 1, Kills: 1, Gone: 1, Views: 4}
	scopeSeat      = Scope{Members: 3, Spares: 1, Wipes: 1, Gone: 1, Views: 4}
	scopeRead      = Scope{Members: 3, Blips: 1, Orders: 1, Enters: 1, Readings: 1, Views: 2}
	scopeOrders    = Scope{Members: 3, Kills: 1, Orders: 2, Enters: 3, Views: 2}
)

// TestMembersSound explores the rules without a bug, each scope whole.
func TestMembersSound(t *testing.T) {
	for _, s := range []Scope{scopeFreshHead, scopePassed, scopeLeave, scopeLeaveGone, scopeReplace, scopeLost, scopeSeat, scopeRead, scopeOrders} {
		r := ExploreMembers(s, Sound)
		t.Logf("%v: %d states, all: %v", s, r.States, r.Complete)
		if r.Broken != "" {
			t.Errorf("%s\n%s", r.Broken, strings.Join(r.Trace, "\n"))
		}
		if !r.Complete {
			t.Errorf("not all states were seen")
		}
	}
}

// TestSeatAtOnce: that a stranger has an absent voter's seat at once, while it is empty, breaks nothing as long as it is
// marked as fresh and counts as lost until it is filled (the rules wait all the same: what holds with it is that much less).
func TestSeatAtOnce(t *testing.T) {
	r := ExploreMembers(scopeSeat, SeatUnfilled)
	t.Logf("%v: %d states, all: %v", scopeSeat, r.States, r.Complete)
	if r.Broken != "" || !r.Complete {
		t.Errorf("%s\n%s", r.Broken, strings.Join(r.Trace, "\n"))
	}
}

// TestMembersLarge takes minutes and gigabytes: it runs where MODEL_SECONDS says how long each scope may take, and prints
// what was seen by then (docs/results.md).
func TestMembersLarge(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("MODEL_SECONDS"))
	if seconds == 0 {
		t.Skip("MODEL_SECONDS isn't set")
	}
	for _, s := range []Scope{
		{Members: 3, Spares: 1, Gone: 1, Wipes: 1, Leaves: 1, Views: 5},
		{Members: 3, Spares: 1, Gone: 1, Leaves: 1, Views: 6},
		{Members: 3, Spares: 1, Gone: 1, Leaves: 1, Views: 4, Orders: 1, Enters: 1},
		{Members: 3, Spares: 1, Gone: 1, Leaves: 1, Views: 3, Tries: 1},
		{Members: 3, Spares: 1, Wipes: 1, Leaves: 1, Views: 5},
		{Members: 3, Spares: 1, Kills: 1, Leaves: 1, Views: 4},
		{Members: 3, Spares: 1, Leaves: 1, Returns: 1, Views: 5},
		{Members: 3, Kills: 1, Blips: 1, Leaves: 1, Returns: 1, Orders: 1, Enters: 1, Views: 4},
		{Members: 3, Kills: 1, Blips: 1, Orders: 1, Enters: 1, Readings: 1, Views: 2},
		{Members: 3, Wipes: 1, Kills: 1, Orders: 2, Enters: 3, Views: 3},
		{Members: 5, Spares: 1, Gone: 2, Views: 5},
		{Members: 5, Spares: 1, Gone: 1, Leaves: 1, Views: 4},
		{Members: 5, Gone: 1, Kills: 1, Leaves: 1, Views: 4},
		{Members: 5, Wipes: 1, Kills: 1, Orders: 1, Enters: 1, Views: 3},
	} {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			s.Until = time.Now().Add(time.Duration(seconds) * time.Second)
			r := ExploreMembers(s, Sound)
			t.Logf("%d states, all: %v", r.States, r.Complete)
			if r.Broken != "" {
				t.Errorf("%s\n%s", r.Broken, strings.Join(r.Trace, "\n"))
			}
		})
	}
}
