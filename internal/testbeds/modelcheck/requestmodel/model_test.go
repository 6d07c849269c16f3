package requestmodel

import (
	"os"
	"strings"
	"testing"
)

// TestInjectedFaultsAreDetected plants bugs: a check that misses them is worth nothing. The number of states until a bug is found is
// pinned, as are those of TestNoViolationWithoutFault: a change of the model's form alone leaves them as they are.
func TestInjectedFaultsAreDetected(t *testing.T) {
	unsafe, mixed := [2]bool{}, [2]bool{false, true}
	for _, test := range []struct {
		name   string
		fault  Fault
		bounds Bounds
		found  string
		states int
	}{
		{"bytes behind the response", ReusesWithBufferedBytes, Bounds{Idempotent: unsafe, UnsolicitedResponses: 1}, "with bytes behind", 2457},
		{"a retry after a silence", RetriesUnsafeAfterTimeout, Bounds{Idempotent: unsafe, Failures: 1}, "executed twice", 241},
		{"an identity that is not compared", IgnoresRequestID, Bounds{Idempotent: unsafe, UnsolicitedResponses: 1}, "executed was answered 503", 8565},
		{"a promise after a reset", TreatsResetAsNotExecuted, Bounds{Idempotent: unsafe, Failures: 2}, "executed", 2011},
		{"a pooled connection past its keep-alive timeout", ReusesPastKeepAlive, Bounds{Idempotent: unsafe}, "past its keep-alive timeout", 352},
		{"a nameless rejection of an earlier request", TrustsUnidentifiedRejection, Bounds{Idempotent: unsafe, UnsolicitedResponses: 1}, "executed was answered 503", 8670},
		{"an unknown execution forgotten after a later proof", ReportsLastExecution, Bounds{Idempotent: mixed, Failures: 1}, "executed was answered 503", 1528},
		{"a retry for a client that is gone", RetriesForDisconnectedClient, Bounds{Idempotent: unsafe}, "client had left", 112},
		{"a connection reused after a silence", ReusesAfterTimeout, Bounds{Idempotent: unsafe, Failures: 1}, "still carried another", 59},
		{"the connection of a slower attempt reused", ReusesHedgedConnection, Bounds{Idempotent: mixed}, "still carried another", 589},
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

func TestNoViolationWithoutFault(t *testing.T) {
	type exploration struct {
		bounds Bounds
		states int // 0: not pinned
	}
	explorations := []exploration{
		{Bounds{Idempotent: [2]bool{false, false}, UnsolicitedResponses: 1, Failures: 1, MaxStates: 3e6}, 832029},
		{Bounds{Idempotent: [2]bool{false, true}, UnsolicitedResponses: 1, Failures: 1, MaxStates: 3e6}, 845126},
		{Bounds{Idempotent: [2]bool{true, true}, UnsolicitedResponses: 0, Failures: 1, MaxStates: 3e6}, 65441},
	}
	if os.Getenv("ZINCLOFT_LONG") != "" {
		explorations = append(explorations,
			exploration{Bounds{Idempotent: [2]bool{false, false}, UnsolicitedResponses: 2, Failures: 1, MaxStates: 1e7}, 0},
			exploration{Bounds{Idempotent: [2]bool{false, true}, UnsolicitedResponses: 1, Failures: 2, MaxStates: 1e7}, 0})
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
