package emulate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// The baseline policies that rules.Governor is compared with. They do not respect channel limits and must be run with
// Config.UnlimitedChannel.
const (
	// EqualWeights assigns the same weight to every ready replica.
	EqualWeights = "even"
	// LeastLoaded routes only to the quarter of the replicas with the lowest reported utilization, which may be stale.
	LeastLoaded = "least_loaded"
	// TwoChoices is EqualWeights with proxies that use PickPowerOfTwoChoices.
	TwoChoices = "two_choices"
	// Oracle derives weights from the true state of every replica, delayed by oracleDelay. It is an upper bound.
	Oracle = "true_state"
)

const (
	// baselineTableSize is the number of replicas in a table of a baseline. If every proxy used every replica, the connection
	// limits of the replicas would be exceeded.
	baselineTableSize = 8
	// leastLoadedPerTable is the number of replicas of each table that LeastLoaded uses.
	leastLoadedPerTable = baselineTableSize / 4
	// oracleDelay is the age of the fleet state that Oracle uses.
	oracleDelay = 500 * time.Millisecond
	// minIdleShare is the minimum share of cores that Oracle counts as idle, so that a fully busy replica keeps a weight.
	minIdleShare = 0.15
	// updateInterval is the interval of table updates, and updateTimerID identifies their timer.
	updateInterval = oracleDelay / 2
	updateTimerID  = 1
)

// BaselinePolicies returns the names of all baseline policies.
func BaselinePolicies() []string { return []string{EqualWeights, LeastLoaded, TwoChoices, Oracle} }

// baseline is a Decider that partitions replicas into tables of baselineTableSize and assigns proxies to tables by ID.
type baseline struct {
	sim          *Simulation
	policy       string
	load         map[rules.ReplicaID]float64 // last reported utilization
	ready        map[rules.ReplicaID]bool
	tables       map[rules.TableID]map[rules.ReplicaID]float64 // as last ordered
	observations []observation                                 // for Oracle, oldest first
}

// observation holds the weights derived from the true state at a point in time.
type observation struct {
	at      rules.Time
	weights map[rules.ReplicaID]float64
}

// NewBaseline returns a constructor for Config.NewDecider, or nil if the policy is unknown.
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
			orders = append(orders, rules.WatchList{On: true}, rules.WakeAfter{After: updateInterval, TimerID: updateTimerID})
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
			orders = append(orders, rules.WakeAfter{After: updateInterval, TimerID: updateTimerID})
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

// tableIndex is the index of the table that contains a replica.
func (b *baseline) tableIndex(id rules.ReplicaID) int { return int(id) % b.tableCount() }

// updateTables returns the orders that bring all tables up to date. A table without ready replicas of its own falls back to
// all ready replicas.
func (b *baseline) updateTables(now rules.Time) []rules.Order {
	var orders []rules.Order
	all := b.weights(now)
	for table := range b.tableCount() {
		desired := map[rules.ReplicaID]float64{}
		for id, weight := range all {
			if b.tableIndex(id) == table {
				desired[id] = weight
			}
		}
		if len(desired) == 0 {
			desired = all
		}
		orders = append(orders, b.updateTable(rules.TableID(table), desired)...)
	}
	return orders
}

// updateTable returns the orders that change a table to the desired weights, sorted by replica.
func (b *baseline) updateTable(table rules.TableID, desired map[rules.ReplicaID]float64) []rules.Order {
	current := b.tables[table]
	ids := slices.Collect(maps.Keys(desired))
	for id := range current {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var orders []rules.Order
	for _, id := range slices.Compact(ids) {
		if current[id] != desired[id] {
			orders = append(orders, rules.EndpointWeight{Table: table, Replica: id, Weight: desired[id]})
		}
	}
	b.tables[table] = desired
	return orders
}

// weights computes the weights of all replicas under the policy.
func (b *baseline) weights(now rules.Time) map[rules.ReplicaID]float64 {
	switch b.policy {
	case Oracle:
		return b.oracleWeights(now)
	case LeastLoaded:
		return b.leastLoadedWeights()
	}
	weights := map[rules.ReplicaID]float64{}
	for id := range b.ready {
		weights[id] = 1
	}
	return weights
}

// oracleWeights records the state of the fleet and returns the most recent observation that is at least oracleDelay old.
func (b *baseline) oracleWeights(now rules.Time) map[rules.ReplicaID]float64 {
	weights := map[rules.ReplicaID]float64{}
	for _, r := range b.sim.replicas {
		if r.up && r.state == rules.Ready && r.hung == 0 && r.errorShare == 0 {
			cores := float64(r.cores)
			idle := max(cores-float64(r.busy+len(r.queue)), minIdleShare*cores)
			weights[r.id] = idle * r.coreRate()
		}
	}
	b.observations = append(b.observations, observation{now, weights})
	for len(b.observations) > 1 && b.observations[1].at <= now-rules.Time(oracleDelay) {
		b.observations = b.observations[1:]
	}
	return b.observations[0].weights
}

// leastLoadedWeights assigns a weight to the replicas of each table that report the lowest utilization.
func (b *baseline) leastLoadedWeights() map[rules.ReplicaID]float64 {
	ids := slices.Collect(maps.Keys(b.ready))
	slices.SortFunc(ids, func(x, y rules.ReplicaID) int { return cmp.Or(cmp.Compare(b.load[x], b.load[y]), cmp.Compare(x, y)) })
	weights := map[rules.ReplicaID]float64{}
	used := map[int]int{} // by table
	for _, id := range ids {
		if table := b.tableIndex(id); used[table] < leastLoadedPerTable {
			used[table]++
			weights[id] = 1
		}
	}
	return weights
}
