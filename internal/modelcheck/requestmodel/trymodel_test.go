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
		{"bytes behind the answer", ReusesWithBufferedBytes, Bounds{Safe: unsafe, SurplusResponses: 1}, "with bytes behind"},
		{"a repeat after a silence", RetriesUnsafeAfterSilence, Bounds{Safe: unsafe, Failures: 1}, "ran twice"},
		{"an identity not compared", IgnoresIdentity, Bounds{Safe: unsafe, SurplusResponses: 1}, "told not to have run"},
		{"a promise after a reset", TrustsReset, Bounds{Safe: unsafe, Failures: 2}, "ran"},
		{"a pooled connection past its time", ReusesPastKeepAlive, Bounds{Safe: unsafe}, "past its time"},
		{"a nameless refusal of an earlier request", TrustsNamelessRejection, Bounds{Safe: unsafe, SurplusResponses: 1}, "told not to have run"},
		{"a doubt forgotten after a later proof", ReportsLastExecution, Bounds{Safe: mixed, Failures: 1}, "told not to have run"},
		{"an offer for nobody", RetriesForGoneClient, Bounds{Safe: unsafe}, "client had left"},
		{"a connection used again after a silence", ReusesAfterSilence, Bounds{Safe: unsafe, Failures: 1}, "still carried another"},
		{"a beaten try's connection used again", KeepsHedgedConnection, Bounds{Safe: mixed}, "still carried another"},
	} {
		t.Run(x.name, func(t *testing.T) {
			x.b.MaxStates = 4e5
			r := Explore(x.b, x.fault)
			t.Logf("%d states: %s\n%s", r.States, r.Violation, strings.Join(r.Trace, "\n"))
			if r.Violation == "" || !strings.Contains(r.Violation, x.found) {
				t.Errorf("%q in %d states, all: %v", r.Violation, r.States, r.Complete)
			}
		})
	}
}

func TestNoFault(t *testing.T) {
	bounds := []Bounds{
		{Safe: [2]bool{false, false}, SurplusResponses: 1, Failures: 1, MaxStates: 3e6},
		{Safe: [2]bool{false, true}, SurplusResponses: 1, Failures: 1, MaxStates: 3e6},
		{Safe: [2]bool{true, true}, SurplusResponses: 0, Failures: 1, MaxStates: 3e6},
	}
	if os.Getenv("ZINCLOFT_LONG") != "" {
		bounds = append(bounds, Bounds{Safe: [2]bool{false, false}, SurplusResponses: 2, Failures: 1, MaxStates: 1e7}, Bounds{Safe: [2]bool{false, true}, SurplusResponses: 1, Failures: 2, MaxStates: 1e7})
	}
	for _, b := range bounds {
		r := Explore(b, NoFault)
		t.Logf("%+v: %d states, all: %v", b, r.States, r.Complete)
		if r.Violation != "" {
			t.Errorf("%s\n%s", r.Violation, strings.Join(r.Trace, "\n"))
		}
	}
}
