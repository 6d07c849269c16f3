package simulation

import (
	"testing"
	"time"
)

// TestOverflowBetweenSites plays sites that are swamped at three times their load, with links that are cut one way or hold everything back,
// duplicates that come late, sites that restart; -v and APIARY_SEEDS=200 print what the results page quotes.
func TestOverflowBetweenSites(t *testing.T) {
	t.Parallel()
	type sum struct {
		unanswered, lookups, orders, charged, doubts, spilled int
		own, guests                                           []time.Duration
		used, idle                                            float64
	}
	sums := map[OverflowStrategy]*sum{}
	for _, way := range []OverflowStrategy{LeaseOverflow, NoOverflow, RandomOverflow, OracleOverflow} {
		x := &sum{}
		sums[way] = x
		for seed := range seedCount(t, 12) {
			r := RunOverflow(OverflowScenario{Seed: seed, Sites: 2 + int(seed%5), OverloadedSites: 1 + int(seed%3)/2, LoadFactor: 3, Duration: 40 * time.Second, WithFaults: seed%4 > 0, Strategy: way})
			if len(r.Violations) > 0 && way == LeaseOverflow {
				t.Fatalf("seed %d: %v", seed, r.Violations[0])
			}
			x.unanswered, x.lookups, x.orders, x.charged = x.unanswered+r.Unanswered, x.lookups+r.Lookups, x.orders+r.Orders, x.charged+r.Charged
			x.doubts, x.spilled, x.used, x.idle = x.doubts+r.Uncertain, x.spilled+r.Forwarded, x.used+r.UsedSlotSeconds, x.idle+r.IdleSlotSeconds
			x.own, x.guests = append(x.own, r.OwnLatencies...), append(x.guests, r.ForwardedLatencies...)
		}
		t.Logf("%-7s %d of %d lookups unanswered, %d of %d orders charged and answered, %d in doubt; %d sent over, p99 of guests %v; own clients of others p99 %v; %.0f slot seconds used",
			way, x.unanswered, x.lookups, x.charged, x.orders, x.doubts, x.spilled, P99(x.guests).Round(time.Millisecond), P99(x.own).Round(time.Millisecond), x.used)
	}
	leases, none, oracle := sums[LeaseOverflow], sums[NoOverflow], sums[OracleOverflow]
	if leases.unanswered*2 > none.unanswered || leases.charged < none.charged {
		t.Error("spilling did not help")
	}
	if float64(P99(leases.own)) > 1.05*float64(P99(none.own)) {
		t.Error("guests made the neighbours' own clients slower")
	}
	if leases.used < 0.5*oracle.used {
		t.Error("less than half of the room was used that an oracle uses")
	}
}
