package requestmodel

import (
	"os"
	"strings"
	"testing"
)

// TestInjectedFaultsAreDetected guards against invariants that miss a fault. Here and in TestNoViolationWithoutFault, the numbers
// of states are pinned to detect unintended changes of the model.
func TestInjectedFaultsAreDetected(t *testing.T) {
	nonIdempotent, mixed := [2]bool{}, [2]bool{false, true}
	for _, test := range []struct {
		name   string
		fault  Fault
		bounds Bounds
		want   string
		states int
	}{
		{"reuse with buffered bytes", ReusesWithBufferedBytes, Bounds{Idempotent: nonIdempotent, UnsolicitedResponses: 1}, "with unread bytes", 2457},
		{"retry of a non-idempotent request after a timeout", RetriesNonIdempotentAfterTimeout, Bounds{Idempotent: nonIdempotent, Failures: 1}, "executed more than once", 241},
		{"request ID not checked", IgnoresRequestID, Bounds{Idempotent: nonIdempotent, UnsolicitedResponses: 1}, "executed request was answered with 503", 8565},
		{"reset treated as not executed", TreatsResetAsNotExecuted, Bounds{Idempotent: nonIdempotent, Failures: 2}, "executed", 2011},
		{"reuse past the keep-alive timeout", ReusesPastKeepAlive, Bounds{Idempotent: nonIdempotent}, "past its keep-alive timeout", 352},
		{"rejection without a request ID accepted", TrustsUnidentifiedRejection, Bounds{Idempotent: nonIdempotent, UnsolicitedResponses: 1}, "executed request was answered with 503", 8670},
		{"execution status of the last attempt reported", ReportsLastExecution, Bounds{Idempotent: mixed, Failures: 1}, "executed request was answered with 503", 1528},
		{"retry for a disconnected client", RetriesForDisconnectedClient, Bounds{Idempotent: nonIdempotent}, "for a disconnected client", 112},
		{"reuse after a timeout", ReusesAfterTimeout, Bounds{Idempotent: nonIdempotent, Failures: 1}, "another request in flight", 59},
		{"reuse of the connection of a hedged attempt", ReusesHedgedConnection, Bounds{Idempotent: mixed}, "another request in flight", 589},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.bounds.MaxStates = 4e5
			result := Explore(test.bounds, test.fault)
			t.Logf("%d states: %s\n%s", result.States, result.Violation, strings.Join(result.Trace, "\n"))
			if result.Violation == "" || !strings.Contains(result.Violation, test.want) {
				t.Errorf("violation %q after %d states, want %q; complete: %v", result.Violation, result.States, test.want, result.Complete)
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
		t.Logf("%+v: %d states, complete: %v", x.bounds, result.States, result.Complete)
		if result.Violation != "" {
			t.Errorf("%s\n%s", result.Violation, strings.Join(result.Trace, "\n"))
		}
		if x.states > 0 && result.States != x.states {
			t.Errorf("%+v: %d states, want %d", x.bounds, result.States, x.states)
		}
	}
}
