package emulate

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// violatingDecider is a rules.Governor that deliberately violates one invariant.
type violatingDecider struct {
	rules.Governor
	violates Invariant
}

func (d *violatingDecider) Step(now rules.Time, events []rules.Event) []rules.Order {
	if d.violates == DrainGraceRespected {
		events = slices.DeleteFunc(slices.Clone(events), func(e rules.Event) bool { list, ok := e.(rules.List); return ok && list.Scope == rules.Changes })
	}
	orders := d.Governor.Step(now, events)
	for i, o := range orders {
		switch o := o.(type) {
		case rules.EndpointWeight:
			switch {
			case d.violates == ProxiesHaveEndpoints:
				o.Weight = 0
			case d.violates == WarmupLoadBounded && o.Weight > 0:
				o.Weight = 1
				if o.Replica >= 12 {
					o.Weight = 1000
				}
			}
			orders[i] = o
		case rules.Admit:
			if d.violates == EffectsAppliedOnce {
				o.Retry = rules.RetryTwice
				orders[i] = o
			}
		}
	}
	if d.violates == ChannelQueueBounded {
		for r := range 40 {
			orders = append(orders, rules.EndpointWeight{Table: 0, Replica: rules.ReplicaID(r % 12), Weight: float64(now%1000) + 1})
		}
	}
	return orders
}

// TestViolationsAreDetected guards against a monitor that misses a violation or reports a false one.
func TestViolationsAreDetected(t *testing.T) {
	for _, violated := range []Invariant{ProxiesHaveEndpoints, EffectsAppliedOnce, DrainGraceRespected, WarmupLoadBounded, ChannelQueueBounded, ""} {
		f := SmallFleet()
		f.Load, f.Duration = 0.6, 30*time.Second
		faults := []Fault{{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.4}}
		if violated == EffectsAppliedOnce {
			f.Load = 0.2 // with slow replicas, so that the partitions drop responses of executing attempts
			faults = append(faults, Fault{Kind: "slow", At: 3 * time.Second, Share: 1, Factor: 3}, Fault{Kind: "zone_cut", At: 6 * time.Second, Duration: 5 * time.Second},
				Fault{Kind: "zone_cut", At: 15 * time.Second, Duration: 5 * time.Second})
		}
		reported := ""
		r := run(t, Config{Fleet: f, Seed: 5, Faults: faults, NewDecider: func(*Simulation, int) Decider { return &violatingDecider{violates: violated} },
			OnViolation: func(sim *Simulation, v Violation) {
				reported += fmt.Sprintf("%s at %.2f; ", v.Invariant, sim.elapsedSeconds())
			}})
		if violated == "" {
			if len(r.Violations) > 0 {
				t.Errorf("false violations reported: %v", r.Violations)
			}
			continue
		}
		if !slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Invariant == violated }) || !strings.Contains(reported, string(violated)) || len(r.Trace) == 0 {
			t.Errorf("%s: found %v, reported %s", violated, r.Violations, reported)
		}
	}
}
