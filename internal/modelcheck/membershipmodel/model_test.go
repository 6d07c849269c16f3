package membershipmodel

import (
	"strings"
	"testing"
)

// TestFaultsAreFound puts bugs in on purpose: a check that misses them is worth nothing.
func TestFaultsAreFound(t *testing.T) {
	for _, x := range []struct {
		name  string
		fault Fault
		b     Bounds
	}{
		{"no view number", NoViewNumber, Bounds{Members: 3, Orders: 1, Losses: 0, Proposals: 1, States: 2e6}},
		{"amnesia", Amnesia, Bounds{Members: 3, Orders: 1, Losses: 1, Proposals: 1, States: 2e6}},
		{"acknowledged before the sync", AckBeforeSync, Bounds{Members: 3, Orders: 2, Losses: 0, Proposals: 0, States: 2e6}},
		{"a head that was never filled", FreshHead, Bounds{Members: 3, Orders: 1, Losses: 0, Proposals: 1, States: 2e6, Joining: true}},
		{"decided by too few", SplitMajorities, Bounds{Members: 3, Orders: 0, Losses: 0, Proposals: 2, States: 2e6}},
		{"decided by one that is no voter", OutsiderVotes, Bounds{Members: 4, Proposals: 2, States: 2e4, Swapped: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			r := Explore(x.b, x.fault)
			if r.Broken == "" { // it lies deeper
				r = Walk(x.b, x.fault, 1, 100000)
			}
			t.Logf("%d states: %s\n%s", r.States, r.Broken, strings.Join(r.Trace, "\n"))
			if r.Broken == "" {
				t.Errorf("not found in %d states, all: %v", r.States, r.Complete)
			}
		})
	}
}

func TestSound(t *testing.T) {
	for _, b := range []Bounds{
		{Members: 3, Orders: 2, Losses: 0, Proposals: 1, States: 5e6},
		{Members: 3, Orders: 1, Losses: 1, Proposals: 1, States: 5e6},
		{Members: 3, Orders: 2, Losses: 1, Proposals: 1, States: 5e6, Joining: true},
		{Members: 3, Orders: 0, Losses: 0, Proposals: 2, States: 8e4},
		{Members: 4, Orders: 0, Losses: 0, Proposals: 1, States: 5e6, Swapped: true},
		{Members: 4, Orders: 0, Losses: 0, Proposals: 2, States: 8e4, Swapped: true},
		{Members: 5, Orders: 1, Losses: 0, Proposals: 1, States: 8e4},
	} {
		r := Explore(b, Sound)
		t.Logf("%+v: %d states, all: %v", b, r.States, r.Complete)
		if r.Broken != "" {
			t.Errorf("%s\n%s", r.Broken, strings.Join(r.Trace, "\n"))
		}
	}
}
