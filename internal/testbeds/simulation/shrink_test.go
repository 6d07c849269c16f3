package simulation

import (
	"slices"
	"testing"
	"time"
)

// TestShrinkRemovesUnneededParts shrinks with a check that needs one fault, one action and one gateway, and expects
// only these and the spares to remain.
func TestShrinkRemovesUnneededParts(t *testing.T) {
	schedule := GenerateFamily("replaced", 3, 5)
	needed := Fault{At: 9 * time.Second, Kind: PauseProcess, Target: 1}
	schedule.Faults = append(schedule.Faults, needed, Fault{At: 10 * time.Second, Kind: AddSpareMember})
	neededAction := schedule.Actions[len(schedule.Actions)/2]
	spares := countSpares(schedule)
	for range 5 { // a long schedule is shrunk in one round only
		schedule, _ = ShrinkWith(schedule, func(s Schedule) (Result, bool) {
			return Result{}, slices.Contains(s.Faults, needed) && slices.Contains(s.Actions, neededAction) && s.Gateways > 0
		})
	}
	if got := countSpares(schedule); got != spares {
		t.Errorf("%d of %d spares left", got, spares)
	}
	if len(schedule.Faults) != spares+1 || !slices.Contains(schedule.Faults, needed) {
		t.Errorf("faults left: %v", schedule.Faults)
	}
	if len(schedule.Actions) != 1 || schedule.Actions[0] != neededAction {
		t.Errorf("actions left: %v", schedule.Actions)
	}
	if schedule.Gateways != 1 || schedule.Replicas != 0 {
		t.Errorf("got %d gateways and %d replicas, want 1 and 0", schedule.Gateways, schedule.Replicas)
	}
}

func countSpares(schedule Schedule) (n int) {
	for _, fault := range schedule.Faults {
		if fault.Kind == AddSpareMember {
			n++
		}
	}
	return n
}
