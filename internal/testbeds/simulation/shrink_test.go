package simulation

import (
	"slices"
	"testing"
	"time"
)

// TestShrinkRemovesUnneededParts shrinks by a check that needs one fault, one action and one gateway: only these are left,
// and the spare, without which more members would be lost than may be.
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
		t.Errorf("%d spares are left of %d", got, spares)
	}
	if len(schedule.Faults) != spares+1 || !slices.Contains(schedule.Faults, needed) {
		t.Errorf("the faults left are %v", schedule.Faults)
	}
	if len(schedule.Actions) != 1 || schedule.Actions[0] != neededAction {
		t.Errorf("the actions left are %v", schedule.Actions)
	}
	if schedule.Gateways != 1 || schedule.Replicas != 0 {
		t.Errorf("%d gateways and %d replicas are left", schedule.Gateways, schedule.Replicas)
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
