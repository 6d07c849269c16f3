package rules

import "slices"

// View is a snapshot of a governor's state for operators.
type View struct {
	At       Time
	Replicas []ReplicaView // by ID
	Levels   []float64     // by traffic group: last ordered level, averaged over tables weighted by flows; 1 admits all

	EntriesWaiting, EntryCapacity float64 // entries queued in the channel, as counted here; its capacity
	Proxies, Unbound              int     // joined; of these, not yet bound to a table
	MostMessages, MessageLimit    int     // most messages sent to one proxy within the message span; its limit, 0: none
	Tables                        int
	Steps, Reviews, Orders        int
	ListedAt                      Time // last update from discovery; 0: never
	MeanLoad, DropShare           float64
	Saturated                     bool
}

// ReplicaView is the state of one replica in a View.
type ReplicaView struct {
	Replica         ReplicaID
	State           State
	Ejected         bool
	Cold            bool
	TrafficShare    float64 // expected share of all flows
	Weight          float64 // in the common table whose subset contains it, out of 100
	Attempts, Drops float64 // over the health window
	Load            float64 // smoothed utilization
	LoadKnown       bool    // whether it has reported its load
	LastStatsAt     Time    // last review with statistics of it, or when it was first listed
	PairEjections   int     // number of proxies that eject it individually
}

// WriteView writes the governor's state at now to v and reuses v's memory.
func (g *Governor) WriteView(now Time, v *View) {
	*v = View{At: now, Replicas: v.Replicas[:0], Levels: v.Levels[:0], EntriesWaiting: g.queuedEntries, EntryCapacity: g.cfg.entryCapacity / maxChannelFill,
		Proxies: len(g.proxies), Unbound: len(g.unbound), MessageLimit: g.cfg.messageLimit, Tables: len(g.tables), Steps: g.step,
		Reviews: g.reviews, Orders: g.orderCount + len(g.orders), ListedAt: g.listedAt, MeanLoad: g.meanLoad, DropShare: g.dropShare, Saturated: g.saturated}
	pairEjections := map[*replica]int{}
	for _, p := range g.ejecting {
		for _, s := range p.ejections {
			pairEjections[s.replica] += int(indicator(s.active))
		}
	}
	sums, flows := make([]float64, len(g.tables)), 0.0
	for _, t := range g.tables {
		flows += t.flows + 1 // tables without flows have equal weight
	}
	for _, r := range g.replicas {
		for i := range g.tables {
			sums[i] += r.sent[i]
		}
	}
	for _, r := range g.replicas {
		if g.byID[r.id] != r {
			continue
		}
		x := ReplicaView{Replica: r.id, State: r.state, Ejected: r.ejected, Cold: r.state == Ready && !g.warm(now, r), Weight: r.sentWeight(common),
			Attempts: r.attempts, Drops: r.drops, Load: r.load, LoadKnown: r.loadKnown, LastStatsAt: r.lastStatsAt, PairEjections: pairEjections[r]}
		for i, t := range g.tables {
			if r.sent[i] > 0 {
				x.TrafficShare += r.sent[i] / sums[i] * (t.flows + 1) / flows
			}
		}
		v.Replicas = append(v.Replicas, x)
	}
	slices.SortFunc(v.Replicas, func(a, b ReplicaView) int { return int(a.Replica) - int(b.Replica) })
	for _, p := range g.proxies {
		recent := 0
		for _, at := range p.messages {
			recent += int(indicator(at > now-Time(g.cfg.messageSpan)))
		}
		v.MostMessages = max(v.MostMessages, recent)
	}
	for i := range g.groups {
		level, weight := 0.0, 0.0
		for _, t := range g.tables {
			if t.admits[i].Groups != 0 {
				level, weight = level+t.admits[i].Level*(t.flows+1), weight+t.flows+1
			}
		}
		v.Levels = append(v.Levels, 1)
		if weight > 0 {
			v.Levels[i] = min(level/weight, 1)
		}
	}
	// The governor sorts groups by utility, a View lists them by ID.
	byUtility := slices.Clone(v.Levels)
	for i, tg := range g.groups {
		v.Levels[tg.id] = byUtility[i]
	}
}
