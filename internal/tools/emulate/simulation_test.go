package emulate

import (
	"flag"
	"reflect"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/rules"
)

// init fixes the default seed of rapid, so that test results are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
}

func run(t testing.TB, config Config) *Result {
	t.Helper()
	r, err := Run(config)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRunIsDeterministic guards against results that depend on anything but the configuration: concurrent runs on one core and on
// four must be identical.
func TestRunIsDeterministic(t *testing.T) {
	config := Config{Fleet: LargeFleet(250, 30), Seed: 3, Faults: []Fault{
		{Kind: "deploy", At: 5 * time.Second, Duration: 4 * time.Second, Share: 0.5}, {Kind: "governors_die", At: 8 * time.Second, Share: 0.4, RecoverAfter: 5 * time.Second},
		{Kind: "hang", At: 12 * time.Second, Duration: 5 * time.Second, Share: 0.1}, {Kind: "burst", At: 15 * time.Second, Duration: 4 * time.Second, Factor: 1.5}}}
	var all []*Result
	for _, cores := range []int{1, 4} {
		previous := runtime.GOMAXPROCS(cores)
		results := make(chan *Result, 2)
		for range 2 {
			go func() { r, _ := Run(config); results <- r }()
		}
		all = append(all, <-results, <-results)
		runtime.GOMAXPROCS(previous)
	}
	for _, r := range all[1:] {
		if !reflect.DeepEqual(all[0].Seconds, r.Seconds) || all[0].EventCount != r.EventCount {
			t.Error("two runs with the same seed differ")
		}
	}
	config.Seed = 4
	if r := run(t, config); reflect.DeepEqual(r.Seconds, all[0].Seconds) {
		t.Error("a run with another seed is identical")
	}
}

// TestEachFlowHasOneOutcome checks on random configurations that every flow has exactly one outcome, delivered utility never exceeds
// requested utility, and no connection or core leaks.
func TestEachFlowHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := SmallFleet()
		f.Governors, f.Proxies, f.Replicas = rapid.IntRange(1, 3).Draw(t, "governors"), rapid.IntRange(3, 30).Draw(t, "proxies"), rapid.IntRange(2, 12).Draw(t, "replicas")
		f.Load, f.AdmissionLevels = rapid.Float64Range(0.2, 1.5).Draw(t, "load"), rapid.Bool().Draw(t, "levels")
		f.Duration, f.SettleTime = 12*time.Second, 30*time.Second
		var faults []Fault
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			faults = append(faults, Fault{Kind: rapid.SampledFrom(FaultKinds()).Draw(t, "kind"), At: time.Duration(rapid.IntRange(0, 10).Draw(t, "at")) * time.Second,
				Duration: time.Duration(rapid.IntRange(0, 6).Draw(t, "for")) * time.Second, RecoverAfter: time.Duration(rapid.IntRange(0, 5).Draw(t, "back")) * time.Second,
				Share: rapid.Float64Range(0, 1).Draw(t, "share"), Factor: rapid.Float64Range(0, 3).Draw(t, "factor")})
		}
		var simulation *Simulation
		r, err := Run(Config{Fleet: f, Seed: rapid.Uint64().Draw(t, "seed"), Faults: faults,
			NewDecider: func(sim *Simulation, _ int) Decider { simulation = sim; return &rules.Governor{} }})
		if err != nil {
			t.Fatal(err)
		}
		offered := 0
		for _, s := range r.Seconds {
			offered += s.Offered
		}
		if r.Offered() != offered || r.Outcomes[Pending] != 0 {
			t.Fatalf("%d flows arrived, outcomes %v", offered, r.Outcomes)
		}
		for _, g := range r.Groups {
			if g.DeliveredUtility > g.RequestedUtility+1e-9 {
				t.Fatalf("%s: delivered utility %.1f exceeds requested utility %.1f", g.Name, g.DeliveredUtility, g.RequestedUtility)
			}
		}
		for _, replica := range simulation.replicas {
			open := 0
			for _, p := range simulation.proxies {
				if _, ok := p.connections[replica.id]; ok {
					open++
				}
			}
			if replica.connections != open || replica.busy < 0 {
				t.Fatalf("replica %d counts %d connections, %d are open; %d cores busy", replica.id, replica.connections, open, replica.busy)
			}
		}
	})
}

// TestClientRetriesViolateNoInvariant checks that a repeated effect due to a client retry is no violation. Only proxy retries, which
// governors control, count.
func TestClientRetriesViolateNoInvariant(t *testing.T) {
	f := SmallFleet()
	f.ClientRetries = 3
	r := run(t, Config{Fleet: f, Seed: 2, Faults: []Fault{{Kind: "hang", At: 5 * time.Second, Duration: 10 * time.Second, Share: 0.3}}})
	retries := 0
	for _, s := range r.Seconds {
		retries += s.ClientRetries
	}
	if len(r.Violations) > 0 || retries == 0 {
		t.Errorf("%d client retries, violations %v", retries, r.Violations)
	}
}
