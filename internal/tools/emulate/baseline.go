package emulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// The policies that rules.Governor is compared with. They know nothing of channels: run them with Config.UnlimitedChannel.
const (
	// EqualWeights gives all replicas the same weight.
	EqualWeights = "even"
	// LeastLoaded sends everything to the quarter of the replicas that report the least load. Reports are late.
	LeastLoaded = "least_loaded"
	// TwoChoices is EqualWeights with the proxies picking by PickPowerOfTwoChoices.
	TwoChoices = "two_choices"
	// Oracle sees what each replica does and which are up, trueStateDelay late: an upper bound.
	Oracle = "true_state"
)

const (
	// baselineTableSize is how many replicas a table of a baseline names: proxies that meet all replicas open more connections
	// than replicas accept.
	baselineTableSize = 8
	// leastLoadedPerTable is how many replicas of each table LeastLoaded uses.
	leastLoadedPerTable = baselineTableSize / 4
	// trueStateDelay is how late Oracle sees the fleet.
	trueStateDelay = 500 * time.Millisecond
	// minIdleShare is the share of its cores that Oracle counts as idle on a replica that is busy, so that it keeps a weight.
	minIdleShare = 0.15
	// updateInterval is how often a baseline renews its tables, and updateMark marks the wake-ups for it.
	updateInterval = trueStateDelay / 2
	updateMark     = 1
)

// BaselinePolicies returns the names of all baselines.
func BaselinePolicies() []string { return []string{EqualWeights, LeastLoaded, TwoChoices, Oracle} }

// baseline is a Decider that gives each eight replicas a table, and each proxy one of the tables, by their numbers.
type baseline struct {
	sim          *Simulation
	policy       string
	load         map[rules.ReplicaID]float64 // utilization last reported
	ready        map[rules.ReplicaID]bool
	tables       map[rules.TableID]map[rules.ReplicaID]float64 // as ordered
	observations []observation                                 // of Oracle, oldest first
}

// observation is the true state at a time.
type observation struct {
	at      rules.Time
	weights map[rules.ReplicaID]float64
}

// NewBaseline returns a constructor of the baseline of a name, for Config.NewDecider; nil if there is none.
func NewBaseline(policy string) func(*Simulation, int) Decider {
	if !slices.Contains(BaselinePolicies(), policy) {
		return nil
	}
	return func(sim *Simulation, _ int) Decider {
		return &baseline{
			sim:    sim,
			policy: policy,
			load:   map[rules.ReplicaID]float64{},
			ready:  map[rules.ReplicaID]bool{},
			tables: map[rules.TableID]map[rules.ReplicaID]float64{},
		}
	}
}

// Step implements Decider.
func (b *baseline) Step(now rules.Time, events []rules.Event) []rules.Order {
	var orders []rules.Order
	for _, e := range events {
		switch e := e.(type) {
		case rules.Start:
			orders = append(orders, rules.WatchList{On: true}, rules.WakeAfter{After: updateInterval, TimerID: updateMark})
		case rules.List:
			if e.Scope == rules.Failed {
				orders = append(orders, rules.WatchList{On: true})
			}
			b.recordList(e)
			orders = append(orders, b.updateTables(now)...)
		case rules.EndpointStats:
			if e.Report.Utilization >= 0 {
				b.load[e.Replica] = e.Report.Utilization
			}
		case rules.Wake:
			orders = append(orders, b.updateTables(now)...)
			orders = append(orders, rules.WakeAfter{After: updateInterval, TimerID: updateMark})
		case rules.Joined:
			orders = append(orders, rules.Bind{Proxy: e.Proxy, Table: rules.TableID(int(e.Proxy) % b.tableCount())})
		}
	}
	return orders
}

func (b *baseline) recordList(list rules.List) {
	for _, entry := range list.Entries {
		if entry.State == rules.Ready {
			b.ready[entry.Replica] = true
		} else {
			delete(b.ready, entry.Replica)
		}
	}
}

func (b *baseline) tableCount() int { return max(b.sim.fleet.Replicas/baselineTableSize, 1) }

// tableOf is the number of the table that names a replica.
func (b *baseline) tableOf(id rules.ReplicaID) int { return int(id) % b.tableCount() }

// updateTables orders what has changed in all tables. A table whose own replicas are all gone names all others.
func (b *baseline) updateTables(now rules.Time) []rules.Order {
	var orders []rules.Order
	all := b.weights(now)
	for table := range b.tableCount() {
		wanted := map[rules.ReplicaID]float64{}
		for id, weight := range all {
			if b.tableOf(id) == table {
				wanted[id] = weight
			}
		}
		if len(wanted) == 0 {
			wanted = all
		}
		orders = append(orders, b.updateTable(rules.TableID(table), wanted)...)
	}
	return orders
}

// updateTable orders what differs between a table and what is wanted of it, in the order of the replicas.
func (b *baseline) updateTable(table rules.TableID, wanted map[rules.ReplicaID]float64) []rules.Order {
	present := b.tables[table]
	ids := slices.Collect(maps.Keys(wanted))
	for id := range present {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var orders []rules.Order
	for _, id := range slices.Compact(ids) {
		if present[id] != wanted[id] {
			orders = append(orders, rules.EndpointWeight{Table: table, Replica: id, Weight: wanted[id]})
		}
	}
	b.tables[table] = wanted
	return orders
}

// weights are the weights of all replicas by the policy.
func (b *baseline) weights(now rules.Time) map[rules.ReplicaID]float64 {
	switch b.policy {
	case Oracle:
		return b.trueStateWeights(now)
	case LeastLoaded:
		return b.leastLoadedWeights()
	}
	weights := map[rules.ReplicaID]float64{}
	for id := range b.ready {
		weights[id] = 1
	}
	return weights
}

// trueStateWeights observes the fleet and returns the latest observation that is old enough.
func (b *baseline) trueStateWeights(now rules.Time) map[rules.ReplicaID]float64 {
	weights := map[rules.ReplicaID]float64{}
	for _, r := range b.sim.replicas {
		if r.up && r.state == rules.Ready && r.hung == 0 && r.errorShare == 0 {
			cores := float64(r.cores)
			idle := max(cores-float64(r.busy+len(r.queue)), minIdleShare*cores)
			weights[r.id] = idle * r.coreRate()
		}
	}
	b.observations = append(b.observations, observation{now, weights})
	for len(b.observations) > 1 && b.observations[1].at <= now-rules.Time(trueStateDelay) {
		b.observations = b.observations[1:]
	}
	return b.observations[0].weights
}

// leastLoadedWeights gives a weight to the replicas of each table that report the least load.
func (b *baseline) leastLoadedWeights() map[rules.ReplicaID]float64 {
	ids := slices.Collect(maps.Keys(b.ready))
	slices.SortFunc(ids, func(x, y rules.ReplicaID) int { return cmp.Or(cmp.Compare(b.load[x], b.load[y]), cmp.Compare(x, y)) })
	weights := map[rules.ReplicaID]float64{}
	used := map[int]int{} // by table
	for _, id := range ids {
		if table := b.tableOf(id); used[table] < leastLoadedPerTable {
			used[table]++
			weights[id] = 1
		}
	}
	return weights
}
