package emulate

import (
	"math"
	"testing"
	"time"

	"zincloft.example/zincloft/rules"
)

// equalWeightsDecider binds all proxies to one table with equal weights for the first replicas.
type equalWeightsDecider struct {
	replicas int
	bound    bool
}

func (d *equalWeightsDecider) Step(_ rules.Time, events []rules.Event) (orders []rules.Order) {
	for _, e := range events {
		if joined, ok := e.(rules.Joined); ok {
			if !d.bound {
				for r := range d.replicas {
					orders = append(orders, rules.EndpointWeight{Replica: rules.ReplicaID(r), Weight: 1})
				}
			}
			d.bound = true
			orders = append(orders, rules.Bind{Proxy: joined.Proxy})
		}
	}
	return orders
}

// erlangWait returns the mean waiting time of an M/M/c queue in units of the mean service time, by the Erlang C formula.
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

// TestResponseTimeMatchesQueueingTheory compares the mean response time of one replica with the Erlang C formula for M/M/c and the
// Pollaczek-Khinchine formula for M/D/1.
func TestResponseTimeMatchesQueueingTheory(t *testing.T) {
	for _, test := range []struct {
		cores int
		load  float64
		work  string
	}{{1, 0.5, ExponentialWork}, {1, 0.8, ExponentialWork}, {2, 0.7, ExponentialWork}, {4, 0.8, ExponentialWork}, {1, 0.5, ConstantWork}, {1, 0.8, ConstantWork}} {
		f := SmallFleet()
		f.Governors, f.Zones, f.Proxies, f.Replicas = 1, 1, 20, 1
		f.Kinds = []MachineKind{{Name: "one", Share: 1, Cores: test.cores, Speed: 1}}
		f.Groups = []TrafficGroup{{Name: "look", Share: 1, MeanWork: 50 * time.Millisecond, LatencyBudget: time.Hour, Expiry: 2 * time.Hour, Utility: 1, Effect: "retriable"}}
		f.Load, f.WorkDistribution, f.Duration, f.HandshakeWork, f.LocalDelay, f.MaxConnectionsPerCore, f.ProxyRateCV = test.load, test.work, 40*time.Minute, 0, 0, 1000, 0
		f.ConnectionIdleTimeout, f.ApplyTimePerLine = 2*time.Hour, 0
		mean, n := 0.0, 0
		for seed := range uint64(4) {
			config := Config{Fleet: f, Seed: seed, NewDecider: func(*Simulation, int) Decider { return &equalWeightsDecider{replicas: 1} }}
			r := run(t, config)
			mean, n = mean+r.latency.Mean(), n+1
		}
		got := mean / float64(n) / 50_000 // mean service times
		want := 1 + erlangWait(test.cores, test.load)
		if test.work == ConstantWork {
			want = 1 + test.load/(2*(1-test.load))
		}
		if math.Abs(got/want-1) > 0.04 {
			t.Errorf("%d cores, load %.1f, %s: mean response time %.3f service times, want %.3f", test.cores, test.load, test.work, got, want)
		}
	}
}
