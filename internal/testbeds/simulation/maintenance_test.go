package simulation

import (
	"slices"
	"testing"
	"time"
)

// TestMaintenanceWindows has several operators ask for maintenance windows while members fail: what is granted at once never
// takes more than the agreed floor leaves, and no gateway stays between two states.
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
	t.Logf("%d windows in which a gateway was drained", drained)
	if drained == 0 {
		t.Error("no gateway was drained in any window")
	}
}

// TestPlannedMaintenance runs weeks of planned windows under traffic and with members that fail. -v and SIMULATION_SEEDS=200
// print what the results page quotes.
func TestPlannedMaintenance(t *testing.T) {
	t.Parallel()
	var latencies [2][]time.Duration
	greedy, best, serial, drained := 0, 0, 0, 0
	for seed := range seedCount(t, 6) {
		week, ok := GeneratePlannedMaintenance(seed)
		if !ok {
			t.Fatalf("seed %d: no timetable", seed)
		}
		result := Run(week.Schedule)
		if len(result.Violations) > 0 {
			t.Fatalf("seed %d:\n%s\n%s", seed, week.Schedule.JSON(), traceText(result))
		}
		greedy, best, serial, drained = greedy+week.GreedySlots, best+week.OptimalSlots, serial+week.SerialSlots, drained+result.DrainedWindows
		for i := range latencies {
			latencies[i] = append(latencies[i], result.RequestLatencies[i]...)
		}
	}
	p99 := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)*99/100] }
	during, otherwise := p99(latencies[1]), p99(latencies[0])
	t.Logf("%d nodes drained; greedy timetables %d slots, the shortest %d, one node after another %d; p99 %v while a window was open (%d requests), %v else (%d), ratio %.3f",
		drained, greedy, best, serial, during, len(latencies[1]), otherwise, len(latencies[0]), float64(during)/float64(otherwise))
	if float64(during) > 1.05*float64(otherwise) || drained == 0 {
		t.Error("windows made requests slower")
	}
}
