package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// fleet simulates proxies that follow a governor's orders and report to an Aggregator once per second.
type fleet struct {
	t           *testing.T
	gov         rules.Governor
	in          *intake.Aggregator
	now         rules.Time
	timerID     uint64
	version     uint16
	random      *rand.Rand
	weights     []float64 // by replica
	ejected     []map[rules.ReplicaID]bool
	seq         uint32
	joinedAt    uint32
	list        []rules.Entry
	dropShare   func(proxy, replica int) float64 // share of attempts dropped
	everEjected map[int]bool                     // proxies that have ejected replica 11 since the last start
}

const second = rules.Time(time.Second)

func newFleet(t *testing.T, proxies, replicas int) *fleet {
	f := &fleet{t: t, now: 1000 * second, random: rand.New(rand.NewPCG(3, 4)), weights: make([]float64, replicas),
		ejected: make([]map[rules.ReplicaID]bool, proxies), dropShare: func(int, int) float64 { return 0 }}
	for r := range replicas {
		f.list = append(f.list, rules.Entry{Replica: rules.ReplicaID(r), State: rules.Ready, Listed: 1})
	}
	for p := range f.ejected {
		f.ejected[p] = map[rules.ReplicaID]bool{}
	}
	f.start()
	return f
}

// start restarts the governor; all proxies rejoin.
func (f *fleet) start() {
	f.gov, f.joinedAt = rules.Governor{}, f.seq
	clear(f.weights)
	f.everEjected = map[int]bool{}
	f.in = intake.New(intake.Settings{Seed: 5, Period: time.Second, Budget: 20_000, HalfLife: 2 * time.Second, MaxAge: 10 * time.Second,
		MaxPairs: 2000, Zones: 1, StatsFromRecords: true})
	entryRate := 200 * float64(len(f.ejected))
	f.step(rules.Start{Seed: 7, Settings: rules.Settings{Groups: []rules.TrafficGroup{{Name: "look", LatencyBudget: time.Second}},
		Governors: 1, Proxies: len(f.ejected), Zones: 1, Period: time.Second, EntryRate: entryRate, EntryCapacity: 2 * entryRate, MessageEntries: 6, MessageLimit: 20,
		MessageSpan: 10 * time.Second, MaxMessageDelay: 400 * time.Millisecond, DrainGrace: 3 * time.Second, WarmupTime: 18 * time.Second, ColdCapacity: 0.2}},
		rules.List{Scope: rules.Full, Entries: f.list})
	var joins []rules.Event
	for p := range f.ejected {
		joins = append(joins, rules.Joined{Proxy: rules.ProxyID(p), FlowRate: 4, Fresh: true})
		f.in.Join(rules.ProxyID(p), 0)
		clear(f.ejected[p])
	}
	f.step(joins...)
}

func (f *fleet) step(events ...rules.Event) {
	for _, o := range f.gov.Step(f.now, events) {
		switch o := o.(type) {
		case rules.WakeAfter:
			f.timerID = o.TimerID
		case rules.AckRequest:
			f.version = o.Version
		case rules.EndpointWeight:
			f.weights[o.Replica] = o.Weight
		case rules.PairEjection:
			f.ejected[o.Proxy][o.Replica] = o.Ejected
			if o.Replica == 11 {
				f.everEjected[int(o.Proxy)] = true
			}
		}
	}
}

// second simulates four attempts of every proxy and the report of them.
func (f *fleet) second() {
	f.seq++
	for p := range f.ejected {
		attempts, dropped := make([]int, len(f.weights)), make([]int, len(f.weights))
		total := 0.0
		for r, w := range f.weights {
			if !f.ejected[p][rules.ReplicaID(r)] {
				total += w
			}
		}
		for range 4 {
			at := f.random.Float64() * total
			for r, w := range f.weights {
				if f.ejected[p][rules.ReplicaID(r)] {
					continue
				}
				if at -= w; at <= 0 {
					attempts[r]++
					if f.random.Float64() < f.dropShare(p, r) {
						dropped[r]++
					}
					break
				}
			}
		}
		b := intake.NewBatch()
		b.Proxy, b.Sequence, b.Window, b.ReceivedAt = rules.ProxyID(p), f.seq-f.joinedAt, time.Second, f.now
		for r, n := range attempts {
			if n > 0 {
				b.Records = append(b.Records, intake.Record{Replica: rules.ReplicaID(r), Attempts: n, Dropped: dropped[r], MeanLatency: 50 * time.Millisecond,
					Report: rules.LoadReport{Utilization: 0.5}})
			}
		}
		f.in.AddBatch(f.now, b)
		b.Free()
	}
	for q := range 4 {
		f.now += second / 4
		var events []rules.Event
		for p := range f.ejected {
			events = append(events, rules.Applied{Proxy: rules.ProxyID(p), Version: f.version})
		}
		if q == 0 {
			events = append(events, f.in.Flush(f.now)...)
		}
		f.step(append(events, rules.Wake{TimerID: f.timerID})...)
	}
}

// ejectedBy counts the proxies at which a replica is ejected.
func (f *fleet) ejectedBy(r rules.ReplicaID) (n int) {
	for _, ejected := range f.ejected {
		if ejected[r] {
			n++
		}
	}
	return n
}

// unexpectedEjections counts the ejected pairs for which expected is false.
func (f *fleet) unexpectedEjections(expected func(p int, r rules.ReplicaID) bool) (n int) {
	for p, replicas := range f.ejected {
		for r, ejected := range replicas {
			if ejected && !expected(p, r) {
				n++
			}
		}
	}
	return n
}

// TestReplicaFailingForFewProxies has one replica drop all attempts of 1% of 2,000 proxies and another 1% of all attempts: the
// first must be ejected at those proxies within 10 s, the second at hardly any. The same must hold after a restart of the
// governor, with which a replica begins to drain.
func TestReplicaFailingForFewProxies(t *testing.T) {
	f := newFleet(t, 2000, 30)
	for range 4 {
		f.second()
	}
	if n := f.unexpectedEjections(func(int, rules.ReplicaID) bool { return false }); n > 0 {
		t.Fatalf("%d pairs are ejected while nothing fails", n)
	}
	f.dropShare = func(p, r int) float64 {
		switch {
		case r == 11 && p%100 == 7:
			return 1
		case r == 20:
			return 0.01
		}
		return 0
	}
	few := func(p int, r rules.ReplicaID) bool { return r == 11 && p%100 == 7 }
	for run := range 2 {
		if run > 0 {
			f.list[3].State = rules.Draining
			f.start()
			if f.weights[3] > 0 {
				t.Error("a draining replica has a weight after the restart")
			}
		}
		found := 0
		for s := 1; s <= 25; s++ {
			if f.second(); found == 0 && f.ejectedBy(11) > 0 {
				found = s
			}
		}
		if found == 0 || found > 10 {
			t.Errorf("run %d: first ejection after %d s", run, found)
		}
		if n := len(f.everEjected); n < 15 {
			t.Errorf("run %d: replica 11 was ejected at %d of 20 proxies within 25 s", run, n)
		}
		if n := f.unexpectedEjections(few); n > 2 {
			t.Errorf("run %d: %d other pairs are ejected", run, n)
		}
		if f.weights[11] < f.weights[12]/2 {
			t.Errorf("run %d: the weight of replica 11 is reduced for all proxies: %.2f, replica 12 has %.2f", run, f.weights[11], f.weights[12])
		}
	}
}

// TestReplicaFailingForAllProxies has a replica drop all attempts of all proxies, in the first second only of a tenth of them: its
// weight must fall to a quarter within 5 s, without ejections at single proxies.
func TestReplicaFailingForAllProxies(t *testing.T) {
	f := newFleet(t, 500, 20)
	for range 4 {
		f.second()
	}
	f.dropShare = func(p, r int) float64 { return map[[2]int]float64{{5, 0}: 1}[[2]int{r, p % 10}] }
	f.second()
	f.dropShare = func(_, r int) float64 { return map[int]float64{5: 1}[r] }
	for s := 1; f.weights[5] > 5.0/4; s++ {
		if f.second(); s > 5 {
			t.Fatalf("after 5 s the weight is %.2f", f.weights[5])
		}
	}
	for range 5 {
		f.second()
	}
	if n := f.unexpectedEjections(func(int, rules.ReplicaID) bool { return false }); n > 0 {
		t.Errorf("%d pairs are ejected", n)
	}
}

// TestFaultyPathOfProxy has one proxy drop three quarters of its attempts at all replicas: no replica may be ejected there.
func TestFaultyPathOfProxy(t *testing.T) {
	f := newFleet(t, 200, 20)
	f.dropShare = func(p, _ int) float64 { return map[int]float64{9: 0.75}[p] }
	for range 20 {
		f.second()
	}
	if n := f.unexpectedEjections(func(int, rules.ReplicaID) bool { return false }); n > 1 {
		t.Errorf("%d pairs are ejected", n)
	}
}
