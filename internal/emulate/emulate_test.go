package emulate

import (
	"flag"
	"fmt"
	"math"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zincloft.example/zincloft/rules"
)

// init has rapid draw the same days each time, unless it is told a seed: CI gives one verdict.
func init() {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
}

func run(t testing.TB, p Config) *Result {
	t.Helper()
	r, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSameSeedSameRun plays a troubled day twice at a time on one core and on four: every second of it is the same.
func TestSameSeedSameRun(t *testing.T) {
	p := Config{Fleet: LargeFleet(250, 30), Seed: 3, Faults: []Fault{
		{Kind: "deploy", At: 5 * time.Second, Duration: 4 * time.Second, Share: 0.5}, {Kind: "governors_die", At: 8 * time.Second, Share: 0.4, RecoverAfter: 5 * time.Second},
		{Kind: "hang", At: 12 * time.Second, Duration: 5 * time.Second, Share: 0.1}, {Kind: "burst", At: 15 * time.Second, Duration: 4 * time.Second, Factor: 1.5}}}
	var all []*Result
	for _, cores := range []int{1, 4} {
		before := runtime.GOMAXPROCS(cores)
		found := make(chan *Result, 2)
		for range 2 {
			go func() { r, _ := Run(p); found <- r }()
		}
		all = append(all, <-found, <-found)
		runtime.GOMAXPROCS(before)
	}
	for _, r := range all[1:] {
		if !reflect.DeepEqual(all[0].Seconds, r.Seconds) || all[0].EventCount != r.EventCount {
			t.Error("two runs of one seed differ")
		}
	}
	p.Seed = 4
	if r := run(t, p); reflect.DeepEqual(r.Seconds, all[0].Seconds) {
		t.Error("another seed gives the same run")
	}
}

// evenDecider steers one replica or a few by even weights, whatever comes.
type evenDecider struct {
	replicas int
	bound    bool
}

func (e *evenDecider) Step(_ rules.Time, events []rules.Event) (out []rules.Order) {
	for _, x := range events {
		if j, is := x.(rules.Joined); is {
			if !e.bound {
				for r := range e.replicas {
					out = append(out, rules.Line{Replica: rules.ReplicaID(r), Weight: 1})
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
	}{{1, 0.5, Exponential}, {1, 0.8, Exponential}, {2, 0.7, Exponential}, {4, 0.8, Exponential}, {1, 0.5, Constant}, {1, 0.8, Constant}} {
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
		if x.work == Constant {
			want = 1 + x.load/(2*(1-x.load))
		}
		if math.Abs(got/want-1) > 0.04 {
			t.Errorf("%d cores, load %.1f, %s: %.3f mean services at the replica, formula %.3f", x.cores, x.load, x.work, got, want)
		}
	}
}

// TestEachFlowHasOneOutcome draws days at random: every flow has exactly one ending, utility served is never more than asked for,
// and connections and cores are all given back.
func TestEachFlowHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := SmallFleet()
		f.Governors, f.Proxies, f.Replicas = rapid.IntRange(1, 3).Draw(t, "governors"), rapid.IntRange(3, 30).Draw(t, "proxies"), rapid.IntRange(2, 12).Draw(t, "replicas")
		f.Load, f.AdmissionLevels = rapid.Float64Range(0.2, 1.5).Draw(t, "load"), rapid.Bool().Draw(t, "levels")
		f.Duration, f.SettleTime = 12*time.Second, 30*time.Second
		var troubles []Fault
		for range rapid.IntRange(0, 4).Draw(t, "troubles") {
			troubles = append(troubles, Fault{Kind: rapid.SampledFrom(FaultKinds()).Draw(t, "kind"), At: time.Duration(rapid.IntRange(0, 10).Draw(t, "at")) * time.Second,
				Duration: time.Duration(rapid.IntRange(0, 6).Draw(t, "for")) * time.Second, RecoverAfter: time.Duration(rapid.IntRange(0, 5).Draw(t, "back")) * time.Second,
				Share: rapid.Float64Range(0, 1).Draw(t, "share"), Factor: rapid.Float64Range(0, 3).Draw(t, "factor")})
		}
		var world *Simulation
		r, err := Run(Config{Fleet: f, Seed: rapid.Uint64().Draw(t, "seed"), Faults: troubles,
			NewDecider: func(w *Simulation, _ int) Decider { world = w; return &rules.Governor{} }})
		if err != nil {
			t.Fatal(err)
		}
		offered := 0
		for _, s := range r.Seconds {
			offered += s.Offered
		}
		if r.Offered() != offered || r.Outcomes[Pending] != 0 {
			t.Fatalf("%d flows came, endings %v", offered, r.Outcomes)
		}
		for _, g := range r.Groups {
			if g.DeliveredUtility > g.RequestedUtility+1e-9 {
				t.Fatalf("%s: %.1f served of %.1f", g.Name, g.DeliveredUtility, g.RequestedUtility)
			}
		}
		for _, x := range world.replicas {
			open := 0
			for _, p := range world.proxies {
				if _, is := p.connections[x.id]; is {
					open++
				}
			}
			if x.connections != open || x.busy < 0 {
				t.Fatalf("replica %d counts %d connections, %d are open; %d cores busy", x.id, x.connections, open, x.busy)
			}
		}
	})
}

// violatingDecider breaks one rule on purpose.
type violatingDecider struct {
	rules.Governor
	violates Invariant
	table    bool
}

func (b *violatingDecider) Step(now rules.Time, events []rules.Event) []rules.Order {
	if b.violates == DrainsAreKept {
		events = slices.DeleteFunc(slices.Clone(events), func(e rules.Event) bool { l, is := e.(rules.List); return is && l.Scope == rules.Changes })
	}
	out := b.Governor.Step(now, events)
	for i, o := range out {
		switch o := o.(type) {
		case rules.Line:
			switch {
			case b.violates == ProxiesHaveReplicas:
				o.Weight = 0
			case b.violates == WarmupIsBounded && o.Weight > 0:
				o.Weight = 1
				if o.Replica >= 12 {
					o.Weight = 1000
				}
			}
			out[i] = o
		case rules.Admit:
			if b.violates == EffectsHappenOnce {
				o.Retry = rules.RetryTwice
				out[i] = o
			}
		}
	}
	if b.violates == ChannelIsBounded {
		for r := range 40 {
			out = append(out, rules.Line{Table: 0, Replica: rules.ReplicaID(r % 12), Weight: float64(now%1000) + 1})
		}
	}
	return out
}

// TestViolationsAreDetected has a governor break each rule on purpose, and one that breaks none.
func TestViolationsAreDetected(t *testing.T) {
	for _, how := range []Invariant{ProxiesHaveReplicas, EffectsHappenOnce, DrainsAreKept, WarmupIsBounded, ChannelIsBounded, ""} {
		f := SmallFleet()
		f.Load, f.Duration = 0.6, 30*time.Second
		troubles := []Fault{{Kind: "deploy", At: 8 * time.Second, Duration: 3 * time.Second, Share: 0.4}}
		if how == EffectsHappenOnce {
			f.Load = 0.2 // and work takes long, so that some is under way when a zone is cut off: its answers are lost
			troubles = append(troubles, Fault{Kind: "slow", At: 3 * time.Second, Share: 1, Factor: 3}, Fault{Kind: "zone_cut", At: 6 * time.Second, Duration: 5 * time.Second},
				Fault{Kind: "zone_cut", At: 15 * time.Second, Duration: 5 * time.Second})
		}
		told := ""
		r := run(t, Config{Fleet: f, Seed: 5, Faults: troubles, NewDecider: func(*Simulation, int) Decider { return &violatingDecider{violates: how} },
			OnViolation: func(w *Simulation, b Violation) { told += fmt.Sprintf("%s at %.2f; ", b.Invariant, w.elapsedSeconds()) }})
		if how == "" {
			if len(r.Violations) > 0 {
				t.Errorf("rules are kept, and %v is told", r.Violations)
			}
			continue
		}
		if !slices.ContainsFunc(r.Violations, func(b Violation) bool { return b.Invariant == how }) || !strings.Contains(told, string(how)) || len(r.Trace) == 0 {
			t.Errorf("%s: found %v, told %s", how, r.Violations, told)
		}
	}
}

// TestClientRetriesAreNotProxyRetries has the retry of a try that may have run counted as a repeat only where the governor ordered it.
func TestClientRetriesAreNotProxyRetries(t *testing.T) {
	f := SmallFleet()
	f.ClientRetries = 3
	r := run(t, Config{Fleet: f, Seed: 2, Faults: []Fault{{Kind: "hang", At: 5 * time.Second, Duration: 10 * time.Second, Share: 0.3}}})
	again := 0
	for _, s := range r.Seconds {
		again += s.ClientRetries
	}
	if len(r.Violations) > 0 || again == 0 {
		t.Errorf("%d repeats of clients, breaks %v", again, r.Violations)
	}
}

// TestProxyReportsEjectPairs has a replica swallow the flows of one proxy in ten, which tell of it themselves: through the intake the
// governor finds them and has them alone shut it out, and service is better than without such reports.
func TestProxyReportsEjectPairs(t *testing.T) {
	f := SmallFleet()
	f.Proxies, f.Load, f.Duration = 60, 0.4, 60*time.Second
	troubles := []Fault{{Kind: "partial", At: 8 * time.Second, Share: 0.08, Factor: 0.1}}
	shuns, wrong := 0, 0
	var world *Simulation
	p := Config{Fleet: f, Seed: 6, Faults: troubles, NewDecider: func(w *Simulation, _ int) Decider {
		world = w
		return &spyDecider{step: func(_ rules.Time, _ []rules.Event, orders []rules.Order) {
			for _, o := range orders {
				if s, is := o.(rules.Shun); is && s.Out {
					shuns++
					if w.replicas[s.Replica].partialShare == 0 || w.proxies[s.Proxy].selector >= 0.1 {
						wrong++
					}
				}
			}
		}}
	}}
	without := run(t, p)
	if shuns > 0 {
		t.Errorf("%d orders to shut out, and no proxy tells of what it met", shuns)
	}
	p.Fleet.ProxyReports = true
	with := run(t, p)
	few := 0
	for _, x := range world.proxies {
		if x.selector < 0.1 {
			few++
		}
	}
	if few == 0 || shuns < few/2 || wrong > 1 || with.ServiceLevel < without.ServiceLevel-0.005 {
		t.Errorf("%d proxies fail there: %d orders, %d of them wrong; service %.4f, without %.4f", few, shuns, wrong, with.ServiceLevel, without.ServiceLevel)
	}
}
