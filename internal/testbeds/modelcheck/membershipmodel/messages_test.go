package membershipmodel

import (
	"strings"
	"testing"
)

// TestInjectedMessageFaultsAreDetected guards against invariants of the message model that miss a fault.
func TestInjectedMessageFaultsAreDetected(t *testing.T) {
	const maxStates, maxWalkedStates = 2e6, 2e4
	for _, test := range []struct {
		name   string
		fault  Fault
		bounds Bounds
	}{
		{"view number ignored", ViewNumberIgnored, Bounds{Members: 3, Commands: 1, Proposals: 1, MaxStates: maxStates}},
		{"vote of a member without its disk", WipedMemberVotes, Bounds{Members: 3, Commands: 1, DiskLosses: 1, Proposals: 1, MaxStates: maxStates}},
		{"acknowledgement before the sync", AckBeforeSync, Bounds{Members: 3, Commands: 2, MaxStates: maxStates}},
		{"unsynced head", UnsyncedHead, Bounds{Members: 3, Commands: 1, Proposals: 1, MaxStates: maxStates, StartsWithJoiner: true}},
		{"quorum of the new chain", QuorumOfNewChain, Bounds{Members: 3, Proposals: 2, MaxStates: maxStates}},
		{"vote of a non-voter", NonVoterVotes, Bounds{Members: 4, Proposals: 2, MaxStates: maxWalkedStates, StartsWithReplacement: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := ExploreMessages(test.bounds, test.fault)
			if result.Violation == "" { // Beyond the limit of exploration.
				const seed, walks = 1, 100000
				result = WalkMessages(test.bounds, test.fault, seed, walks)
			}
			t.Logf("%d states: %s\n%s", result.States, result.Violation, strings.Join(result.Trace, "\n"))
			if result.Violation == "" {
				t.Errorf("no violation found in %d states; complete: %v", result.States, result.Complete)
			}
		})
	}
}

// TestMessagesAreSound explores the message model without a fault. The numbers of states are pinned to detect unintended changes
// of the model.
func TestMessagesAreSound(t *testing.T) {
	const unlimited, limited = 5e6, 8e4
	for _, test := range []struct {
		bounds   Bounds
		states   int
		complete bool
	}{
		{Bounds{Members: 3, Commands: 2, Proposals: 1, MaxStates: unlimited}, 246396, true},
		{Bounds{Members: 3, Commands: 1, DiskLosses: 1, Proposals: 1, MaxStates: unlimited}, 163487, true},
		{Bounds{Members: 3, Commands: 2, DiskLosses: 1, Proposals: 1, MaxStates: unlimited, StartsWithJoiner: true}, 13148, true},
		{Bounds{Members: 3, Proposals: 2, MaxStates: limited}, limited, false},
		{Bounds{Members: 4, Proposals: 1, MaxStates: unlimited, StartsWithReplacement: true}, 63904, true},
		{Bounds{Members: 4, Proposals: 2, MaxStates: limited, StartsWithReplacement: true}, limited, false},
		{Bounds{Members: 5, Commands: 1, Proposals: 1, MaxStates: limited}, limited, false},
	} {
		result := ExploreMessages(test.bounds, NoFault)
		t.Logf("%+v: %d states, complete: %v", test.bounds, result.States, result.Complete)
		if result.Violation != "" {
			t.Errorf("%s\n%s", result.Violation, strings.Join(result.Trace, "\n"))
		}
		if result.States != test.states || result.Complete != test.complete {
			t.Errorf("%+v: %d states, complete: %v; want %d, complete: %v", test.bounds, result.States, result.Complete, test.states, test.complete)
		}
	}
}
