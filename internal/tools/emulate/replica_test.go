package emulate

import (
	"math"
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// evenDecider steers one replica or a few by even weights, whatever comes.
type evenDecider struct {
	replicas int
	bound    bool
}

func (e *evenDecider) Step(_ rules.Time, events []rules.Event) (out []rules.Order) {
	for _, x := range events {
		if j, ok := x.(rules.Joined); ok {
			if !e.bound {
				for r := range e.replicas {
					out = append(out, rules.EndpointWeight{Replica: rules.ReplicaID(r), Weight: 1})
				}
			}
			e.bound = true
			out = append(out, rules.Bind{Proxy: j.Proxy})
		}
	}
	return out
}

// erlangWait is the mean wait in a queue M/M/c, in mean services, by Erlang's formula C.
func erlangWait(c int, load float64) float64 {
	a := load * float64(c)
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	wait := term / (1 - load)
	return wait / (sum + wait) / (float64(c) * (1 - load))
}

// TestQueueingFormulas holds the mean time at one replica against the formulas for M/M/c and, by Pollaczek and Khinchine, M/D/1.
func TestQueueingFormulas(t *testing.T) {
	for _, x := range []struct {
		cores int
		load  float64
		work  string
	}{{1, 0.5, ExponentialWork}, {1, 0.8, ExponentialWork}, {2, 0.7, ExponentialWork}, {4, 0.8, ExponentialWork}, {1, 0.5, ConstantWork}, {1, 0.8, ConstantWork}} {
		f := SmallFleet()
		f.Governors, f.Zones, f.Proxies, f.Replicas = 1, 1, 20, 1
		f.Kinds = []MachineKind{{Name: "one", Share: 1, Cores: x.cores, Speed: 1}}
		f.Groups = []TrafficGroup{{Name: "look", Share: 1, MeanWork: 50 * time.Millisecond, LatencyBudget: time.Hour, Expiry: 2 * time.Hour, Utility: 1, Effect: "retriable"}}
		f.Load, f.WorkDistribution, f.Duration, f.HandshakeWork, f.LocalDelay, f.MaxConnectionsPerCore, f.ProxyRateCV = x.load, x.work, 40*time.Minute, 0, 0, 1000, 0
		f.ConnectionIdleTimeout, f.ApplyTimePerLine = 2*time.Hour, 0
		mean, n := 0.0, 0
		for seed := range uint64(4) {
			w := Config{Fleet: f, Seed: seed, NewDecider: func(*Simulation, int) Decider { return &evenDecider{replicas: 1} }}
			r := run(t, w)
			mean, n = mean+r.latency.Mean(), n+1
		}
		got := mean / float64(n) / 50_000 // services
		want := 1 + erlangWait(x.cores, x.load)
		if x.work == ConstantWork {
			want = 1 + x.load/(2*(1-x.load))
		}
		if math.Abs(got/want-1) > 0.04 {
			t.Errorf("%d cores, load %.1f, %s: %.3f mean services at the replica, formula %.3f", x.cores, x.load, x.work, got, want)
		}
	}
}
