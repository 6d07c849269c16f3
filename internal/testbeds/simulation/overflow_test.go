package simulation

import (
	"testing"
	"time"
)

// overflowTotals sums up the results of one strategy.
type overflowTotals struct {
	unanswered, lookups, orders, answeredOrders, uncertain, forwarded int
	own, forwardedLatencies                                           []time.Duration
	usedSlotSeconds                                                   float64
}

func (totals *overflowTotals) add(result OverflowResult) {
	totals.unanswered += result.UnansweredLookups
	totals.lookups += result.Lookups
	totals.orders += result.Orders
	totals.answeredOrders += result.AnsweredOrders
	totals.uncertain += result.UncertainOrders
	totals.forwarded += result.ForwardedRequests
	totals.usedSlotSeconds += result.UsedSlotSeconds
	totals.own = append(totals.own, result.LocalLatencies...)
	totals.forwardedLatencies = append(totals.forwardedLatencies, result.ForwardedLatencies...)
}

// TestOverflowBetweenSites checks that overflow helps sites at three times their load without harming others, despite
// link faults, late duplicates and site restarts.
func TestOverflowBetweenSites(t *testing.T) {
	t.Parallel()
	byStrategy := map[OverflowStrategy]*overflowTotals{}
	for _, strategy := range []OverflowStrategy{LeaseOverflow, NoOverflow, RandomOverflow, OracleOverflow} {
		totals := &overflowTotals{}
		byStrategy[strategy] = totals
		for seed := range seedCount(t, 12) {
			result := RunOverflow(OverflowScenario{Seed: seed, Sites: 2 + int(seed%5), OverloadedSites: 1 + int(seed%3)/2, LoadFactor: 3, Duration: 40 * time.Second,
				WithFaults: seed%4 > 0, Strategy: strategy})
			if len(result.Violations) > 0 && strategy == LeaseOverflow {
				t.Fatalf("seed %d: %v", seed, result.Violations[0])
			}
			totals.add(result)
		}
		t.Logf("%-7s %d of %d lookups unanswered, %d of %d orders answered, %d uncertain; %d forwarded, p99 %v; local requests of other sites p99 %v; %.0f slot seconds used",
			strategy, totals.unanswered, totals.lookups, totals.answeredOrders, totals.orders, totals.uncertain, totals.forwarded,
			P99(totals.forwardedLatencies).Round(time.Millisecond), P99(totals.own).Round(time.Millisecond), totals.usedSlotSeconds)
	}
	leases, none, oracle := byStrategy[LeaseOverflow], byStrategy[NoOverflow], byStrategy[OracleOverflow]
	if leases.unanswered*2 > none.unanswered || leases.answeredOrders < none.answeredOrders {
		t.Error("overflow did not halve the unanswered lookups, or fewer orders were answered")
	}
	if float64(P99(leases.own)) > 1.05*float64(P99(none.own)) {
		t.Error("forwarded requests raised the p99 latency of other sites' clients by more than 5 %")
	}
	if leases.usedSlotSeconds < 0.5*oracle.usedSlotSeconds {
		t.Error("used less than half of the slot time that the oracle uses")
	}
}
