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

// baselinePart is how many replicas a baseline's table holds: proxies that meet all of them open more connections than replicas take.
const baselinePart = 8

// baseline steers proxies by a table for each eight replicas, every so many by number, written anew each period.
type baseline struct {
	w     *World
	how   string
	load  map[rules.ReplicaID]float64 // last reported
	ready map[rules.ReplicaID]bool
	lines map[rules.TableID]map[rules.ReplicaID]float64
	seen  []seen
}

// seen is the truth at a time.
type seen struct {
	at      rules.Time
	weights map[rules.ReplicaID]float64
}

// trueLate is how late TrueState sees.
const trueLate = 500 * time.Millisecond

// NewBaseline makes one of the baselines; nil where there is none of that name.
func NewBaseline(how string) func(*World, int) Decider {
	if !slices.Contains(Baselines(), how) {
		return nil
	}
	return func(w *World, _ int) Decider {
		return &baseline{w: w, how: how, load: map[rules.ReplicaID]float64{}, ready: map[rules.ReplicaID]bool{}, lines: map[rules.TableID]map[rules.ReplicaID]float64{}}
	}
}

// Step is Decider's.
func (b *baseline) Step(now rules.Time, events []rules.Event) (out []rules.Order) {
	for _, e := range events {
		switch e := e.(type) {
		case rules.Start:
			out = append(out, rules.Observe{On: true}, rules.WakeAfter{After: trueLate / 2, TimerID: 1})
		case rules.List:
			if e.Scope == rules.Failed {
				out = append(out, rules.Observe{On: true})
			}
			for _, n := range e.Entries {
				if b.ready[n.Replica] = n.State == rules.Ready; !b.ready[n.Replica] {
					delete(b.ready, n.Replica)
				}
			}
			out = b.write(now, out)
		case rules.EndpointStats:
			if e.Report.Utilization >= 0 {
				b.load[e.Replica] = e.Report.Utilization
			}
		case rules.Wake:
			out = append(b.write(now, out), rules.WakeAfter{After: trueLate / 2, TimerID: 1})
		case rules.Joined:
			out = append(out, rules.Bind{Proxy: e.Proxy, Table: rules.TableID(int(e.Proxy) % b.tables())})
		}
	}
	return out
}

func (b *baseline) tables() int { return max(b.w.fleet.Replicas/baselinePart, 1) }

// write orders what has changed. A table whose replicas are all gone holds all others.
func (b *baseline) write(now rules.Time, out []rules.Order) []rules.Order {
	all := b.weigh(now)
	for t := range b.tables() {
		want := map[rules.ReplicaID]float64{}
		for r, weight := range all {
			if int(r)%b.tables() == t {
				want[r] = weight
			}
		}
		if len(want) == 0 {
			want = all
		}
		out = b.order(rules.TableID(t), want, out)
	}
	return out
}

func (b *baseline) order(t rules.TableID, want map[rules.ReplicaID]float64, out []rules.Order) []rules.Order {
	if b.lines[t] == nil {
		b.lines[t] = map[rules.ReplicaID]float64{}
	}
	ids := make([]rules.ReplicaID, 0, len(want))
	for r := range want {
		ids = append(ids, r)
	}
	for r := range b.lines[t] {
		if want[r] == 0 {
			ids = append(ids, r)
		}
	}
	slices.Sort(ids)
	for _, r := range slices.Compact(ids) {
		if b.lines[t][r] != want[r] {
			out = append(out, rules.EndpointWeight{Table: t, Replica: r, Weight: want[r]})
		}
	}
	b.lines[t] = want
	return out
}

func (b *baseline) weigh(now rules.Time) map[rules.ReplicaID]float64 {
	want := map[rules.ReplicaID]float64{}
	switch b.how {
	case TrueState:
		truth := map[rules.ReplicaID]float64{}
		for _, r := range b.w.replicas {
			if r.up && r.state == rules.Ready && r.hung == 0 && r.errors == 0 {
				idle := max(float64(r.cores)-float64(r.busy+len(r.queue)), 0.15*float64(r.cores))
				truth[r.id] = idle * r.pace()
			}
		}
		b.seen = append(b.seen, seen{now, truth})
		for len(b.seen) > 1 && b.seen[1].at <= now-rules.Time(trueLate) {
			b.seen = b.seen[1:]
		}
		return b.seen[0].weights
	case LeastLoaded:
		var ids []rules.ReplicaID
		for r := range b.ready {
			ids = append(ids, r)
		}
		slices.SortFunc(ids, func(x, y rules.ReplicaID) int { return cmp.Or(cmp.Compare(b.load[x], b.load[y]), cmp.Compare(x, y)) })
		left := map[int]int{} // of each table
		for _, r := range ids {
			if t := int(r) % b.tables(); left[t] < baselinePart/4 {
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
