package simulation

import (
	"os"
	"testing"
)

// familyTotals sums up the results of several schedules.
type familyTotals struct {
	schedules, acknowledged, rejected, unanswered, joined, caughtUp, maxDiskBytes int
}

func (totals *familyTotals) add(result Result) {
	totals.schedules++
	totals.acknowledged += result.Acknowledged
	totals.joined += len(result.JoinTimes)
	totals.caughtUp += len(result.CatchUpTimes)
	totals.maxDiskBytes = max(totals.maxDiskBytes, result.MaxDiskBytes)
	for _, attempt := range result.Attempts {
		if attempt.Conflict {
			totals.rejected++
		}
		if !attempt.Answered && attempt.Kind != AttemptRead {
			totals.unanswered++
		}
	}
}

// TestFamilies runs schedules of each family with 3, 5 and 7 members. SIMULATION_SEEDS sets the number of seeds,
// SIMULATION_FROM the first seed, SIMULATION_FAMILY and SIMULATION_MEMBERS restrict the run, and SIMULATION_SHOW sets
// how many failing schedules of each family and size are shrunk.
func TestFamilies(t *testing.T) {
	t.Parallel()
	from, n := uint64(environmentInt(t, "SIMULATION_FROM", 0)), uint64(environmentInt(t, "SIMULATION_SEEDS", 1))
	onlyFamily := os.Getenv("SIMULATION_FAMILY")
	totals := &familyTotals{}
	for _, family := range Families {
		for _, members := range []int{3, 5, 7} {
			if onlyFamily != "" && onlyFamily != family || environmentInt(t, "SIMULATION_MEMBERS", members) != members {
				continue
			}
			failed := 0
			for seed := from; seed < from+n; seed++ {
				schedule := GenerateFamily(family, seed, members)
				result, violation := runChecked(t, schedule)
				totals.add(result)
				if violation == "" {
					continue
				}
				failed++
				t.Errorf("%s, %d members, seed %d: %s", family, members, seed, violation)
				if failed <= environmentInt(t, "SIMULATION_SHOW", 1) {
					reportShrunk(t, schedule)
				}
			}
			if failed > 0 {
				t.Errorf("%s, %d members: %d of %d schedules fail", family, members, failed, n)
			}
		}
	}
	t.Logf("%d schedules, seeds %d to %d: %d commands acknowledged, %d rejected, %d attempts without a conclusive response, %d members joined and %d caught up, at most %d bytes on a disk; %d histories undecided",
		totals.schedules, from, from+n-1, totals.acknowledged, totals.rejected, totals.unanswered, totals.joined, totals.caughtUp, totals.maxDiskBytes, undecidedHistories.Load())
	if totals.acknowledged == 0 || onlyFamily == "" && (totals.rejected == 0 || totals.unanswered == 0 || totals.joined == 0 || totals.caughtUp == 0) {
		t.Errorf("the schedules don't cover all outcomes: %+v", *totals)
	}
}

// reportShrunk shrinks a failing schedule and reports the result.
func reportShrunk(t *testing.T, schedule Schedule) {
	t.Helper()
	shrunk, result := ShrinkWith(schedule, func(candidate Schedule) (Result, bool) {
		result, violation := runChecked(t, candidate)
		return result, violation != ""
	})
	_, violation := runChecked(t, shrunk)
	t.Errorf("%s; shrunk:\n%s\n%s", violation, shrunk.JSON(), traceText(result))
}

// TestVersionBelowRetainedClaims checks that the invariants allow two configurations with the same version if more
// than maxClaims higher versions were claimed before, so that members remember neither.
func TestVersionBelowRetainedClaims(t *testing.T) {
	if _, violation := runChecked(t, GenerateFamily("long", 21, 7)); violation != "" {
		t.Error(violation)
	}
}
