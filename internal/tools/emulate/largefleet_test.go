package emulate

import (
	"slices"
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// observedDecider is a rules.Governor that passes the events and orders of each step to a callback.
type observedDecider struct {
	rules.Governor
	observe func(now rules.Time, events []rules.Event, orders []rules.Order)
}

func (d *observedDecider) Step(now rules.Time, events []rules.Event) []rules.Order {
	orders := d.Governor.Step(now, events)
	d.observe(now, events, orders)
	return orders
}

func requireNoViolations(t *testing.T, r *Result) {
	t.Helper()
	for _, v := range r.Violations {
		t.Errorf("invariant violated at %.2f s: %s: %s", v.At, v.Invariant, v.Detail)
	}
}

// TestGovernorFailover crashes three of five governors at once. Their proxies must join the other two and be bound within the time
// that the channels need to send their tables, without exceeding the channel capacity.
func TestGovernorFailover(t *testing.T) {
	type wait struct{ joined, bound rules.Time }
	waits := map[rules.ProxyID]*wait{}
	f := LargeFleet(1280, 120)
	f.Duration = 25 * time.Second
	crashedAt := simulationEpoch + rules.Time(8*time.Second)
	r := run(t, Config{Fleet: f, Seed: 21, Faults: []Fault{{Kind: "governors_die", At: 8 * time.Second, Share: 0.6}},
		NewDecider: func(*Simulation, int) Decider {
			return &observedDecider{observe: func(now rules.Time, events []rules.Event, orders []rules.Order) {
				for _, e := range events {
					if j, ok := e.(rules.Joined); ok && now > crashedAt {
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
	// Each proxy is sent a full table of all replicas, with up to two lines per replica: a weight and an ejection.
	linesPerGovernor := float64(2*f.Replicas+20) * float64(len(waits)) / 2 / f.ChannelRate
	if len(waits) < 600 || longest > time.Duration(1.5*linesPerGovernor*float64(time.Second)) {
		t.Errorf("%d proxies rejoined, the slowest was bound after %v; sending their lines takes %.1f s", len(waits), longest, linesPerGovernor)
	}
	if r.ServiceLevel < 0.94 {
		t.Errorf("service level %.3f", r.ServiceLevel)
	}
}

// TestDiscoveryOutage drains replicas during a discovery outage. Governors must retry without synchronizing their calls, and
// respect the drains once discovery is available again.
func TestDiscoveryOutage(t *testing.T) {
	f := LargeFleet(640, 60)
	f.Duration = 30 * time.Second
	calls := map[int]int{} // by interval of 100 ms
	notified := 0
	r := run(t, Config{Fleet: f, Seed: 22, Faults: []Fault{{Kind: "list_down", At: 6 * time.Second, Duration: 9 * time.Second},
		{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.3}},
		NewDecider: func(*Simulation, int) Decider {
			return &observedDecider{observe: func(now rules.Time, events []rules.Event, orders []rules.Order) {
				at := time.Duration(now - simulationEpoch)
				for _, e := range events {
					if l, ok := e.(rules.List); ok && at > 15*time.Second && slices.ContainsFunc(l.Entries, func(entry rules.Entry) bool { return entry.State == rules.Draining }) {
						notified++
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
		t.Errorf("%d discovery calls in total, at most %d within 100 ms", total, most)
	}
	if notified < f.Governors {
		t.Errorf("%d drain notifications after the outage, want at least %d", notified, f.Governors)
	}
}

// TestRollingReplacement replaces 60% of the replicas within three seconds. Invariants must hold, and warming replicas must receive
// traffic when the remaining warm ones are overloaded.
func TestRollingReplacement(t *testing.T) {
	f := LargeFleet(1280, 120)
	f.Load, f.Duration = 0.5, 30*time.Second
	faults := []Fault{{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.6}}
	r := run(t, Config{Fleet: f, Seed: 3, Faults: faults})
	requireNoViolations(t, r)
	if r.ServiceLevel < 0.87 {
		t.Errorf("service level %.3f", r.ServiceLevel)
	}
	f.Load, f.ClientTimeoutShare = 0.7, 0.4
	r = run(t, Config{Fleet: f, Seed: 3, Faults: faults})
	warmup, attempts, failed := 0, 0, 0
	for _, s := range r.Seconds[14:24] {
		warmup, attempts, failed = warmup+s.WarmupAttempts, attempts+s.Attempts, failed+s.FailedAttempts
	}
	if share := float64(warmup) / float64(attempts); share < 0.2 || failed < attempts/4 {
		t.Errorf("warming replicas received a share of %.2f of the attempts; %d of %d attempts failed", share, failed, attempts)
	}
}

// TestZoneRecovery restarts all replicas of a zone at once, of which all governors are notified at about the same time. Their
// combined warm-up traffic must not overload a replica.
func TestZoneRecovery(t *testing.T) {
	f := LargeFleet(1280, 120)
	f.Load, f.Duration = 0.55, 35*time.Second
	zone := 2
	r := run(t, Config{Fleet: f, Seed: 24, Faults: []Fault{{Kind: "zone_loss", At: 8 * time.Second, RecoverAfter: 6 * time.Second, Zone: &zone}}})
	requireNoViolations(t, r)
	if r.ServiceLevel < 0.9 {
		t.Errorf("service level %.3f", r.ServiceLevel)
	}
	if last := r.Seconds[30]; float64(last.InTime) < 0.95*float64(last.Offered) {
		t.Errorf("at 30 s %d of %d flows are delivered in time", last.InTime, last.Offered)
	}
}
