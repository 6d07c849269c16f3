package emulate

import (
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// spyDecider shows the events and orders of a governor to a test.
type spyDecider struct {
	rules.Governor
	step func(now rules.Time, events []rules.Event, orders []rules.Order)
}

func (s *spyDecider) Step(now rules.Time, events []rules.Event) []rules.Order {
	orders := s.Governor.Step(now, events)
	s.step(now, events, orders)
	return orders
}

func requireNoViolations(t *testing.T, r *Result) {
	t.Helper()
	for _, b := range r.Violations {
		t.Errorf("invariant violated at %.2f s: %s: %s", b.At, b.Invariant, b.Detail)
	}
}

// TestGovernorFailover crashes three of five governors at once: their proxies join the other two, all are bound within the time
// that a channel needs for them, and no channel ever exceeds its capacity.
func TestGovernorFailover(t *testing.T) {
	type wait struct{ joined, bound rules.Time }
	waits := map[rules.ProxyID]*wait{}
	f := LargeFleet(1280, 120)
	f.Duration = 25 * time.Second
	died := simulationEpoch + rules.Time(8*time.Second)
	r := run(t, Config{Fleet: f, Seed: 21, Faults: []Fault{{Kind: "governors_die", At: 8 * time.Second, Share: 0.6}},
		NewDecider: func(*Simulation, int) Decider {
			return &spyDecider{step: func(now rules.Time, events []rules.Event, orders []rules.Order) {
				for _, e := range events {
					if j, ok := e.(rules.Joined); ok && now > died {
						waits[j.Proxy] = &wait{joined: now}
					}
				}
				for _, o := range orders {
					if b, ok := o.(rules.Bind); ok && waits[b.Proxy] != nil {
						waits[b.Proxy].bound = now
					}
				}
			}}
		}})
	requireNoViolations(t, r)
	longest := time.Duration(0)
	for p, w := range waits {
		if w.bound == 0 {
			t.Fatalf("proxy %d was never bound", p)
		}
		longest = max(longest, time.Duration(w.bound-w.joined))
	}
	// Each is sent the whole of a table that names all replicas, each line twice as it may shut out any.
	whole := float64(2*f.Replicas+20) * float64(len(waits)) / 2 / f.ChannelRate
	if len(waits) < 600 || longest > time.Duration(1.5*whole*float64(time.Second)) {
		t.Errorf("%d came, the last was bound after %v; their lines take %.1f s", len(waits), longest, whole)
	}
	if r.ServiceLevel < 0.94 {
		t.Errorf("service %.3f", r.ServiceLevel)
	}
}

// TestDiscoveryOutage takes discovery down under five governors, while replicas drain that none of them hears of: they call
// again, but never all at the same moment, and once it is back all hear of the drains and keep them.
func TestDiscoveryOutage(t *testing.T) {
	f := LargeFleet(640, 60)
	f.Duration = 30 * time.Second
	calls := map[int]int{} // by tenth of a second
	heard := 0
	r := run(t, Config{Fleet: f, Seed: 22, Faults: []Fault{{Kind: "list_down", At: 6 * time.Second, Duration: 9 * time.Second},
		{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.3}},
		NewDecider: func(*Simulation, int) Decider {
			return &spyDecider{step: func(now rules.Time, events []rules.Event, orders []rules.Order) {
				at := time.Duration(now - simulationEpoch)
				for _, e := range events {
					if l, ok := e.(rules.List); ok && at > 15*time.Second && slices.ContainsFunc(l.Entries, func(n rules.Entry) bool { return n.State == rules.Draining }) {
						heard++
					}
				}
				for _, o := range orders {
					if o, ok := o.(rules.WatchList); ok && o.On && at > 7*time.Second {
						calls[int(at/(100*time.Millisecond))]++
					}
				}
			}}
		}})
	requireNoViolations(t, r)
	total, most := 0, 0
	for _, n := range calls {
		total, most = total+n, max(most, n)
	}
	if total < 20 || most > 3 {
		t.Errorf("%d calls in all, %d of five governors within a tenth of a second", total, most)
	}
	if heard < f.Governors {
		t.Errorf("%d of %d governors heard of the drains once discovery was back", heard, f.Governors)
	}
}

// TestReplacement replaces six in ten replicas within three seconds. Invariants hold; and where the warm replicas are far too few
// and fail half of their attempts, those that warm up, which fail next to none, are not left idle.
func TestReplacement(t *testing.T) {
	f := LargeFleet(1280, 120)
	f.Load, f.Duration = 0.5, 30*time.Second
	faults := []Fault{{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.6}}
	r := run(t, Config{Fleet: f, Seed: 3, Faults: faults})
	requireNoViolations(t, r)
	if r.ServiceLevel < 0.87 {
		t.Errorf("service %.3f", r.ServiceLevel)
	}
	f.Load, f.ClientTimeoutShare = 0.7, 0.4
	r = run(t, Config{Fleet: f, Seed: 3, Faults: faults})
	warmingUp, attempts, failed := 0, 0, 0
	for _, s := range r.Seconds[14:24] {
		warmingUp, attempts, failed = warmingUp+s.WarmupAttempts, attempts+s.Attempts, failed+s.FailedAttempts
	}
	if share := float64(warmingUp) / float64(attempts); share < 0.2 || failed < attempts/4 {
		t.Errorf("cold replicas, six in ten, got %.2f of the attempts; %d of %d attempts failed", share, failed, attempts)
	}
}

// TestZoneRecovery loses a zone of four, which comes back all at once and warms up, while governors hear of it at about the same
// time: the warm-up quotas of five governors together stay below what crashes a replica.
func TestZoneRecovery(t *testing.T) {
	f := LargeFleet(1280, 120)
	f.Load, f.Duration = 0.55, 35*time.Second
	zone := 2
	r := run(t, Config{Fleet: f, Seed: 24, Faults: []Fault{{Kind: "zone_loss", At: 8 * time.Second, RecoverAfter: 6 * time.Second, Zone: &zone}}})
	requireNoViolations(t, r)
	if r.ServiceLevel < 0.9 {
		t.Errorf("service %.3f", r.ServiceLevel)
	}
	if last := r.Seconds[30]; float64(last.InTime) < 0.95*float64(last.Offered) {
		t.Errorf("at 30 s %d of %d flows are delivered in time", last.InTime, last.Offered)
	}
}
