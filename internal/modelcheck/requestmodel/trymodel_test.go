package requestmodel

import (
	"os"
	"strings"
	"testing"
)

// TestFaultsAreFound puts bugs in on purpose: a check that misses them is worth nothing.
func TestFaultsAreFound(t *testing.T) {
	unsafe, mixed := [2]bool{}, [2]bool{false, true}
	for _, x := range []struct {
		name  string
		fault Fault
		b     Bounds
		found string
	}{
		{"bytes behind the answer", ReusesWithBytes, Bounds{Safe: unsafe, Surplus: 1}, "with bytes behind"},
		{"a repeat after a silence", RepeatsAfterSilence, Bounds{Safe: unsafe, Breaks: 1}, "ran twice"},
		{"an identity not compared", IgnoresIdentity, Bounds{Safe: unsafe, Surplus: 1}, "told not to have run"},
		{"a promise after a reset", PromisesAfterReset, Bounds{Safe: unsafe, Breaks: 2}, "ran"},
		{"a pooled connection past its time", ReusesPastTime, Bounds{Safe: unsafe}, "past its time"},
		{"a nameless refusal of an earlier request", BelievesNameless, Bounds{Safe: unsafe, Surplus: 1}, "told not to have run"},
		{"a doubt forgotten after a later proof", ForgetsDoubt, Bounds{Safe: mixed, Breaks: 1}, "told not to have run"},
		{"an offer for nobody", OffersForNobody, Bounds{Safe: unsafe}, "client had left"},
		{"a connection used again after a silence", ReusesAfterSilence, Bounds{Safe: unsafe, Breaks: 1}, "still carried another"},
		{"a beaten try's connection used again", KeepsBeatenTry, Bounds{Safe: mixed}, "still carried another"},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.b.States = 4e5
			r := Explore(x.b, x.fault)
			t.Logf("%d states: %s\n%s", r.States, r.Broken, strings.Join(r.Trace, "\n"))
			if r.Broken == "" || !strings.Contains(r.Broken, x.found) {
				t.Errorf("%q in %d states, all: %v", r.Broken, r.States, r.Complete)
			}
		})
	}
}

func TestSound(t *testing.T) {
	bounds := []Bounds{
		{Safe: [2]bool{false, false}, Surplus: 1, Breaks: 1, States: 3e6},
		{Safe: [2]bool{false, true}, Surplus: 1, Breaks: 1, States: 3e6},
		{Safe: [2]bool{true, true}, Surplus: 0, Breaks: 1, States: 3e6},
	}
	if os.Getenv("ZINCLOFT_LONG") != "" {
		bounds = append(bounds, Bounds{Safe: [2]bool{false, false}, Surplus: 2, Breaks: 1, States: 1e7}, Bounds{Safe: [2]bool{false, true}, Surplus: 1, Breaks: 2, States: 1e7})
	}
	for _, b := range bounds {
		r := Explore(b, Sound)
		t.Logf("%+v: %d states, all: %v", b, r.States, r.Complete)
		if r.Broken != "" {
			t.Errorf("%s\n%s", r.Broken, strings.Join(r.Trace, "\n"))
		}
	}
}
