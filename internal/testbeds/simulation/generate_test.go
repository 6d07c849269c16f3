package simulation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// TestGeneratedSchedules runs generated schedules and checks that the operator calls are linearizable.
func TestGeneratedSchedules(t *testing.T) {
	t.Parallel()
	for _, members := range []int{3, 5} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			acknowledged, calls, requests, warmupRequests := 0, 0, 0, 0
			for seed := range seedCount(t, 40) {
				schedule := Generate(seed, members, 8, 25*time.Second)
				result := Run(schedule)
				acknowledged, calls = acknowledged+result.Acknowledged, calls+result.AnsweredCalls
				requests, warmupRequests = requests+result.Requests, warmupRequests+result.WarmupRequests
				if len(result.Violations) == 0 && !porcupine.CheckOperations(registerModel, operationHistory(result.Operations)) {
					t.Fatalf("seed %d: operator calls are not linearizable:\n%+v\n%s", seed, result.Operations, traceText(result))
				}
				if len(result.Violations) > 0 {
					schedule, result = Shrink(schedule)
					t.Fatalf("seed %d, shrunk:\n%s\n%s", seed, schedule.JSON(), traceText(result))
				}
			}
			t.Logf("%d commands acknowledged of %d calls answered, %d requests sent, %d of them to warming replicas", acknowledged, calls, requests, warmupRequests)
			if acknowledged == 0 || calls == acknowledged || warmupRequests == 0 || requests == warmupRequests {
				t.Error("the schedules don't cover commands, reads and requests to warm and warming replicas")
			}
		})
	}
}

// TestRegressionSchedules runs shrunk schedules that once violated an invariant. They are described in docs/incidents.
func TestRegressionSchedules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no schedules under testdata: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var schedule Schedule
			if err := json.Unmarshal(raw, &schedule); err != nil {
				t.Fatal(err)
			}
			if result := Run(schedule); len(result.Violations) > 0 {
				t.Errorf("%s\n%s", result.Violations[0], traceText(result))
			}
		})
	}
}

// TestRunIsDeterministic checks that a schedule always yields the same history.
func TestRunIsDeterministic(t *testing.T) {
	schedule := Generate(7, 5, 8, 25*time.Second)
	first, second := Run(schedule), Run(schedule)
	if !slices.Equal(first.Trace, second.Trace) || first.Requests != second.Requests || first.WarmupRequests != second.WarmupRequests {
		t.Error("two runs of the same schedule differ")
	}
}
