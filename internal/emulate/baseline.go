package emulate

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Baselines, beside rules.Governor. They know of no channel: play them with FreeChannel.
const (
	Even        = "even"         // listed weights, which are equal here; a round robin by chance
	LeastLoaded = "least_loaded" // by the late reports: all flows to the two of eight that report least
	TwoChoices  = "two_choices"  // even weights; proxies pick two and take the one that they have fewer flows at
	TrueState   = "true_state"   // sees what each replica does, and which are up, half a second late: the upper mark
)

// Baselines names them all.
func Baselines() []string { return []string{Even, LeastLoaded, TwoChoices, TrueState} }

// baselineTableSize is how many replicas a baseline's table holds: proxies that meet all of them open more connections than replicas take.
const baselineTableSize = 8

// baseline steers proxies by a table for each eight replicas, every so many by number, written anew each period.
type baseline struct {
	sim          *Simulation
	policy       string
	load         map[rules.ReplicaID]float64 // last reported
	ready        map[rules.ReplicaID]bool
	tables       map[rules.TableID]map[rules.ReplicaID]float64
	observations []observation
}

// observation is the truth at a time.
type observation struct {
	at      rules.Time
	weights map[rules.ReplicaID]float64
}

// trueStateDelay is how late TrueState sees.
const trueStateDelay = 500 * time.Millisecond

// NewBaseline makes one of the baselines; nil where there is none of that name.
func NewBaseline(policy string) func(*Simulation, int) Decider {
	if !slices.Contains(Baselines(), policy) {
		return nil
	}
	return func(sim *Simulation, _ int) Decider {
		return &baseline{sim: sim, policy: policy, load: map[rules.ReplicaID]float64{}, ready: map[rules.ReplicaID]bool{}, tables: map[rules.TableID]map[rules.ReplicaID]float64{}}
	}
}

// Step is Decider's.
func (b *baseline) Step(now rules.Time, events []rules.Event) (out []rules.Order) {
	for _, e := range events {
		switch e := e.(type) {
		case rules.Start:
			out = append(out, rules.Observe{On: true}, rules.WakeAfter{After: trueStateDelay / 2, Mark: 1})
		case rules.List:
			if e.Scope == rules.Failed {
				out = append(out, rules.Observe{On: true})
			}
			for _, n := range e.Entries {
				if b.ready[n.Replica] = n.State == rules.Ready; !b.ready[n.Replica] {
					delete(b.ready, n.Replica)
				}
			}
			out = b.updateTables(now, out)
		case rules.Sums:
			if e.Report.Util >= 0 {
				b.load[e.Replica] = e.Report.Util
			}
		case rules.Wake:
			out = append(b.updateTables(now, out), rules.WakeAfter{After: trueStateDelay / 2, Mark: 1})
		case rules.Joined:
			out = append(out, rules.Bind{Proxy: e.Proxy, Table: rules.TableID(int(e.Proxy) % b.tableCount())})
		}
	}
	return out
}

func (b *baseline) tableCount() int { return max(b.sim.fleet.Replicas/baselineTableSize, 1) }

// updateTables orders what has changed. A table whose replicas are all gone holds all others.
func (b *baseline) updateTables(now rules.Time, out []rules.Order) []rules.Order {
	all := b.weights(now)
	for t := range b.tableCount() {
		want := map[rules.ReplicaID]float64{}
		for r, weight := range all {
			if int(r)%b.tableCount() == t {
				want[r] = weight
			}
		}
		if len(want) == 0 {
			want = all
		}
		out = b.updateTable(rules.TableID(t), want, out)
	}
	return out
}

func (b *baseline) updateTable(t rules.TableID, want map[rules.ReplicaID]float64, out []rules.Order) []rules.Order {
	if b.tables[t] == nil {
		b.tables[t] = map[rules.ReplicaID]float64{}
	}
	ids := make([]rules.ReplicaID, 0, len(want))
	for r := range want {
		ids = append(ids, r)
	}
	for r := range b.tables[t] {
		if want[r] == 0 {
			ids = append(ids, r)
		}
	}
	slices.Sort(ids)
	for _, r := range slices.Compact(ids) {
		if b.tables[t][r] != want[r] {
			out = append(out, rules.Line{Table: t, Replica: r, Weight: want[r]})
		}
	}
	b.tables[t] = want
	return out
}

func (b *baseline) weights(now rules.Time) map[rules.ReplicaID]float64 {
	want := map[rules.ReplicaID]float64{}
	switch b.policy {
	case TrueState:
		truth := map[rules.ReplicaID]float64{}
		for _, r := range b.sim.replicas {
			if r.up && r.state == rules.Ready && r.hung == 0 && r.errorShare == 0 {
				idle := max(float64(r.cores)-float64(r.busy+len(r.queue)), 0.15*float64(r.cores))
				truth[r.id] = idle * r.coreRate()
			}
		}
		b.observations = append(b.observations, observation{now, truth})
		for len(b.observations) > 1 && b.observations[1].at <= now-rules.Time(trueStateDelay) {
			b.observations = b.observations[1:]
		}
		return b.observations[0].weights
	case LeastLoaded:
		var ids []rules.ReplicaID
		for r := range b.ready {
			ids = append(ids, r)
		}
		slices.SortFunc(ids, func(x, y rules.ReplicaID) int { return cmp.Or(cmp.Compare(b.load[x], b.load[y]), cmp.Compare(x, y)) })
		left := map[int]int{} // of each table
		for _, r := range ids {
			if t := int(r) % b.tableCount(); left[t] < baselineTableSize/4 {
				left[t]++
				want[r] = 1
			}
		}
	default:
		for r := range b.ready {
			want[r] = 1
		}
	}
	return want
}
