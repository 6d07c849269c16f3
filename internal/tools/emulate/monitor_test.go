package emulate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// violatingDecider violates one invariant on purpose.
type violatingDecider struct {
	rules.Governor
	violates Invariant
}

func (b *violatingDecider) Step(now rules.Time, events []rules.Event) []rules.Order {
	if b.violates == DrainGraceRespected {
		events = slices.DeleteFunc(slices.Clone(events), func(e rules.Event) bool { l, ok := e.(rules.List); return ok && l.Scope == rules.Changes })
	}
	out := b.Governor.Step(now, events)
	for i, o := range out {
		switch o := o.(type) {
		case rules.EndpointWeight:
			switch {
			case b.violates == ProxiesHaveEndpoints:
				o.Weight = 0
			case b.violates == WarmupLoadBounded && o.Weight > 0:
				o.Weight = 1
				if o.Replica >= 12 {
					o.Weight = 1000
				}
			}
			out[i] = o
		case rules.Admit:
			if b.violates == EffectsAppliedOnce {
				o.Retry = rules.RetryTwice
				out[i] = o
			}
		}
	}
	if b.violates == ChannelQueueBounded {
		for r := range 40 {
			out = append(out, rules.EndpointWeight{Table: 0, Replica: rules.ReplicaID(r % 12), Weight: float64(now%1000) + 1})
		}
	}
	return out
}

// TestViolationsAreDetected has a governor violate each invariant on purpose, and one that violates none.
func TestViolationsAreDetected(t *testing.T) {
	for _, how := range []Invariant{ProxiesHaveEndpoints, EffectsAppliedOnce, DrainGraceRespected, WarmupLoadBounded, ChannelQueueBounded, ""} {
		f := SmallFleet()
		f.Load, f.Duration = 0.6, 30*time.Second
		faults := []Fault{{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.4}}
		if how == EffectsAppliedOnce {
			f.Load = 0.2 // and work takes long, so that some is under way when a zone is cut off: its answers are lost
			faults = append(faults, Fault{Kind: "slow", At: 3 * time.Second, Share: 1, Factor: 3}, Fault{Kind: "zone_cut", At: 6 * time.Second, Duration: 5 * time.Second},
				Fault{Kind: "zone_cut", At: 15 * time.Second, Duration: 5 * time.Second})
		}
		reported := ""
		r := run(t, Config{Fleet: f, Seed: 5, Faults: faults, NewDecider: func(*Simulation, int) Decider { return &violatingDecider{violates: how} },
			OnViolation: func(sim *Simulation, b Violation) {
				reported += fmt.Sprintf("%s at %.2f; ", b.Invariant, sim.elapsedSeconds())
			}})
		if how == "" {
			if len(r.Violations) > 0 {
				t.Errorf("no invariant is violated, and %v is reported", r.Violations)
			}
			continue
		}
		if !slices.ContainsFunc(r.Violations, func(b Violation) bool { return b.Invariant == how }) || !strings.Contains(reported, string(how)) || len(r.Trace) == 0 {
			t.Errorf("%s: found %v, reported %s", how, r.Violations, reported)
		}
	}
}
