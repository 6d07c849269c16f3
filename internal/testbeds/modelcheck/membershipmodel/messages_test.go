package membershipmodel

import (
	"strings"
	"testing"
)

// TestInjectedMessageFaultsAreDetected plants faults in the message model: a check that misses them is worth nothing.
func TestInjectedMessageFaultsAreDetected(t *testing.T) {
	const maxStates, maxWalkedStates = 2e6, 2e4
	for _, test := range []struct {
		name   string
		fault  Fault
		bounds Bounds
	}{
		{"view numbers are ignored", ViewNumberIgnored, Bounds{Members: 3, Commands: 1, Proposals: 1, MaxStates: maxStates}},
		{"a wiped member votes", WipedMemberVotes, Bounds{Members: 3, Commands: 1, DiskLosses: 1, Proposals: 1, MaxStates: maxStates}},
		{"acknowledged before the sync", AckBeforeSync, Bounds{Members: 3, Commands: 2, MaxStates: maxStates}},
		{"a head that was never synced", UnsyncedHead, Bounds{Members: 3, Commands: 1, Proposals: 1, MaxStates: maxStates, StartsWithJoiner: true}},
		{"decided by too few", QuorumOfNewChain, Bounds{Members: 3, Proposals: 2, MaxStates: maxStates}},
		{"decided by a machine that is no voter", NonVoterVotes, Bounds{Members: 4, Proposals: 2, MaxStates: maxWalkedStates, StartsWithReplacement: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := ExploreMessages(test.bounds, test.fault)
			if result.Violation == "" { // It lies deeper.
				const seed, walks = 1, 100000
				result = WalkMessages(test.bounds, test.fault, seed, walks)
			}
			t.Logf("%d states: %s\n%s", result.States, result.Violation, strings.Join(result.Trace, "\n"))
			if result.Violation == "" {
				t.Errorf("not found in %d states, all: %v", result.States, result.Complete)
			}
		})
	}
}

// TestMessagesAreSound explores the message model without a fault. The numbers of states are kept here because a change of
// the model that is meant to keep its meaning must not change them.
func TestMessagesAreSound(t *testing.T) {
	const enough, limited = 5e6, 8e4
	for _, test := range []struct {
		bounds   Bounds
		states   int
		complete bool
	}{
		{Bounds{Members: 3, Commands: 2, Proposals: 1, MaxStates: enough}, 246396, true},
		{Bounds{Members: 3, Commands: 1, DiskLosses: 1, Proposals: 1, MaxStates: enough}, 163487, true},
		{Bounds{Members: 3, Commands: 2, DiskLosses: 1, Proposals: 1, MaxStates: enough, StartsWithJoiner: true}, 13148, true},
		{Bounds{Members: 3, Proposals: 2, MaxStates: limited}, limited, false},
		{Bounds{Members: 4, Proposals: 1, MaxStates: enough, StartsWithReplacement: true}, 63904, true},
		{Bounds{Members: 4, Proposals: 2, MaxStates: limited, StartsWithReplacement: true}, limited, false},
		{Bounds{Members: 5, Commands: 1, Proposals: 1, MaxStates: limited}, limited, false},
	} {
		result := ExploreMessages(test.bounds, NoFault)
		t.Logf("%+v: %d states, all: %v", test.bounds, result.States, result.Complete)
		if result.Violation != "" {
			t.Errorf("%s\n%s", result.Violation, strings.Join(result.Trace, "\n"))
		}
		if result.States != test.states || result.Complete != test.complete {
			t.Errorf("%+v: %d states, all: %v; want %d, all: %v", test.bounds, result.States, result.Complete, test.states, test.complete)
		}
	}
}
