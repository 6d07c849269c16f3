package membershipmodel

import (
	"strings"
	"testing"
)

// TestMessageFaultsAreFound puts bugs in on purpose: a check that misses them is worth nothing.
func TestMessageFaultsAreFound(t *testing.T) {
	for _, x := range []struct {
		name  string
		fault Fault
		b     Bounds
	}{
		{"no view number", ViewNumberIgnored, Bounds{Members: 3, Commands: 1, DiskLosses: 0, Proposals: 1, MaxStates: 2e6}},
		{"amnesia", WipedMemberVotes, Bounds{Members: 3, Commands: 1, DiskLosses: 1, Proposals: 1, MaxStates: 2e6}},
		{"acknowledged before the sync", AckBeforeSync, Bounds{Members: 3, Commands: 2, DiskLosses: 0, Proposals: 0, MaxStates: 2e6}},
		{"a head that was never filled", UnsyncedHead, Bounds{Members: 3, Commands: 1, DiskLosses: 0, Proposals: 1, MaxStates: 2e6, StartsWithJoiner: true}},
		{"decided by too few", QuorumOfNewChain, Bounds{Members: 3, Commands: 0, DiskLosses: 0, Proposals: 2, MaxStates: 2e6}},
		{"decided by one that is no voter", NonVoterVotes, Bounds{Members: 4, Proposals: 2, MaxStates: 2e4, StartsWithReplacement: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := ExploreMessages(x.b, x.fault)
			if r.Violation == "" { // it lies deeper
				r = WalkMessages(x.b, x.fault, 1, 100000)
			}
			t.Logf("%d states: %s\n%s", r.States, r.Violation, strings.Join(r.Trace, "\n"))
			if r.Violation == "" {
				t.Errorf("not found in %d states, all: %v", r.States, r.Complete)
			}
		})
	}
}

func TestMessagesAreSound(t *testing.T) {
	for _, b := range []Bounds{
		{Members: 3, Commands: 2, DiskLosses: 0, Proposals: 1, MaxStates: 5e6},
		{Members: 3, Commands: 1, DiskLosses: 1, Proposals: 1, MaxStates: 5e6},
		{Members: 3, Commands: 2, DiskLosses: 1, Proposals: 1, MaxStates: 5e6, StartsWithJoiner: true},
		{Members: 3, Commands: 0, DiskLosses: 0, Proposals: 2, MaxStates: 8e4},
		{Members: 4, Commands: 0, DiskLosses: 0, Proposals: 1, MaxStates: 5e6, StartsWithReplacement: true},
		{Members: 4, Commands: 0, DiskLosses: 0, Proposals: 2, MaxStates: 8e4, StartsWithReplacement: true},
		{Members: 5, Commands: 1, DiskLosses: 0, Proposals: 1, MaxStates: 8e4},
	} {
		r := ExploreMessages(b, NoFault)
		t.Logf("%+v: %d states, all: %v", b, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s\n%s", r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}
