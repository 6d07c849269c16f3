package requestmodel

import (
	"os"
	"strings"
	"testing"
)

// TestFaultsAreFound plants bugs: a check that misses them is worth nothing. The number of states until a bug is found is
// pinned, as are those of TestNoFault: a change of the model's form alone leaves them as they are.
func TestFaultsAreFound(t *testing.T) {
	unsafe, mixed := [2]bool{}, [2]bool{false, true}
	for _, test := range []struct {
		name   string
		fault  Fault
		bounds Bounds
		found  string
		states int
	}{
		{"bytes behind the response", ReusesWithBufferedBytes, Bounds{Safe: unsafe, SurplusResponses: 1}, "with bytes behind", 2457},
		{"a retry after a silence", RetriesUnsafeAfterSilence, Bounds{Safe: unsafe, Failures: 1}, "executed twice", 241},
		{"an identity that is not compared", IgnoresIdentity, Bounds{Safe: unsafe, SurplusResponses: 1}, "executed was answered 503", 8565},
		{"a promise after a reset", TrustsReset, Bounds{Safe: unsafe, Failures: 2}, "executed", 2011},
		{"a pooled connection past its keep-alive timeout", ReusesPastKeepAlive, Bounds{Safe: unsafe}, "past its keep-alive timeout", 352},
		{"a nameless rejection of an earlier request", TrustsNamelessRejection, Bounds{Safe: unsafe, SurplusResponses: 1}, "executed was answered 503", 8670},
		{"an unknown execution forgotten after a later proof", ReportsLastExecution, Bounds{Safe: mixed, Failures: 1}, "executed was answered 503", 1528},
		{"a retry for a client that is gone", RetriesForGoneClient, Bounds{Safe: unsafe}, "client had left", 112},
		{"a connection reused after a silence", ReusesAfterSilence, Bounds{Safe: unsafe, Failures: 1}, "still carried another", 59},
		{"the connection of a slower attempt reused", KeepsHedgedConnection, Bounds{Safe: mixed}, "still carried another", 589},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.bounds.MaxStates = 4e5
			result := Explore(test.bounds, test.fault)
			t.Logf("%d states: %s\n%s", result.States, result.Violation, strings.Join(result.Trace, "\n"))
			if result.Violation == "" || !strings.Contains(result.Violation, test.found) {
				t.Errorf("%q in %d states, all: %v", result.Violation, result.States, result.Complete)
			}
			if result.States != test.states {
				t.Errorf("%d states, want %d", result.States, test.states)
			}
		})
	}
}

func TestNoFault(t *testing.T) {
	type exploration struct {
		bounds Bounds
		states int // 0: not pinned
	}
	explorations := []exploration{
		{Bounds{Safe: [2]bool{false, false}, SurplusResponses: 1, Failures: 1, MaxStates: 3e6}, 832029},
		{Bounds{Safe: [2]bool{false, true}, SurplusResponses: 1, Failures: 1, MaxStates: 3e6}, 845126},
		{Bounds{Safe: [2]bool{true, true}, SurplusResponses: 0, Failures: 1, MaxStates: 3e6}, 65441},
	}
	if os.Getenv("ZINCLOFT_LONG") != "" {
		explorations = append(explorations,
			exploration{Bounds{Safe: [2]bool{false, false}, SurplusResponses: 2, Failures: 1, MaxStates: 1e7}, 0},
			exploration{Bounds{Safe: [2]bool{false, true}, SurplusResponses: 1, Failures: 2, MaxStates: 1e7}, 0})
	}
	for _, x := range explorations {
		result := Explore(x.bounds, NoFault)
		t.Logf("%+v: %d states, all: %v", x.bounds, result.States, result.Complete)
		if result.Violation != "" {
			t.Errorf("%s\n%s", result.Violation, strings.Join(result.Trace, "\n"))
		}
		if x.states > 0 && result.States != x.states {
			t.Errorf("%+v: %d states, want %d", x.bounds, result.States, x.states)
		}
	}
}
