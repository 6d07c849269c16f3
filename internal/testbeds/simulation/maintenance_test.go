package simulation

import (
	"slices"
	"testing"
	"time"
)

// TestMaintenanceWindows checks that concurrent maintenance windows respect the agreed capacity floors while members
// fail, and that no gateway remains in a transitional phase.
func TestMaintenanceWindows(t *testing.T) {
	t.Parallel()
	drained := 0
	for seed := range seedCount(t, 14) {
		schedule := GenerateWindows(seed, 3+2*int(seed%2), 6, 40*time.Second)
		result := Run(schedule)
		drained += result.DrainedWindows
		if len(result.Violations) > 0 {
			schedule, result = Shrink(schedule)
			t.Fatalf("seed %d, shrunk:\n%s\n%s", seed, schedule.JSON(), traceText(result))
		}
	}
	t.Logf("%d windows with a drained gateway", drained)
	if drained == 0 {
		t.Error("no gateway was drained in any window")
	}
}

// TestPlannedMaintenance runs planned maintenance windows under traffic while members fail, and checks that open
// windows don't raise latencies.
func TestPlannedMaintenance(t *testing.T) {
	t.Parallel()
	var latencies [2][]time.Duration
	greedy, optimal, serial, drained := 0, 0, 0, 0
	for seed := range seedCount(t, 6) {
		plan, ok := GeneratePlannedMaintenance(seed)
		if !ok {
			t.Fatalf("seed %d: no timetable", seed)
		}
		result := Run(plan.Schedule)
		if len(result.Violations) > 0 {
			t.Fatalf("seed %d:\n%s\n%s", seed, plan.Schedule.JSON(), traceText(result))
		}
		greedy, optimal, serial, drained = greedy+plan.GreedySlots, optimal+plan.OptimalSlots, serial+plan.SerialSlots, drained+result.DrainedWindows
		for i := range latencies {
			latencies[i] = append(latencies[i], result.RequestLatencies[i]...)
		}
	}
	p99 := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)*99/100] }
	during, otherwise := p99(latencies[1]), p99(latencies[0])
	t.Logf("%d nodes drained; timetables: greedy %d slots, optimal %d, serial %d; p99 %v with an open window (%d requests), %v without (%d), ratio %.3f",
		drained, greedy, optimal, serial, during, len(latencies[1]), otherwise, len(latencies[0]), float64(during)/float64(otherwise))
	if float64(during) > 1.05*float64(otherwise) || drained == 0 {
		t.Error("open windows raised p99 latency by more than 5 %, or no node was drained")
	}
}
