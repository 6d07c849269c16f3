package rules

import "slices"

// View is a snapshot of a governor's state for operators. No decision depends on it.
type View struct {
	At       Time
	Replicas []ReplicaView // by number
	Levels   []float64     // by traffic group: as last ordered, averaged over tables by their flows; 1 admits all

	EntriesWaiting, EntryCapacity float64 // waiting in the channel, by our count; its capacity
	Proxies, Unbound              int     // joined; of these, not yet on a table
	MostMessages, MessageLimit    int     // messages to the proxy with the most of them within the message span; 0: no cap
	Tables                        int
	Steps, Reviews, Orders        int  // so far
	ListedAt                      Time // when the last update from discovery came; 0: never
	MeanLoad, DropShare           float64
	Saturated                     bool
}

// ReplicaView is the state of one replica in a View.
type ReplicaView struct {
	Replica         ReplicaID
	State           State
	Ejected         bool
	Cold            bool
	TrafficShare    float64 // share of all flows that the tables give it
	Weight          float64 // in the common table whose subset it is in, of 100
	Attempts, Drops float64 // over the health window
	Load            float64 // smoothed share of it that is busy
	LoadKnown       bool    // its load has been reported
	LastStatsAt     Time    // the last review with statistics of it, or when it was first listed
	PairEjections   int     // proxies at which it is ejected
}

// WriteView writes the governor's state at now to v, whose memory it reuses. It changes nothing.
func (g *Governor) WriteView(now Time, v *View) {
	*v = View{At: now, Replicas: v.Replicas[:0], Levels: v.Levels[:0], EntriesWaiting: g.queuedEntries, EntryCapacity: g.cfg.entryCapacity / maxChannelFill,
		Proxies: len(g.proxies), Unbound: len(g.unbound), MessageLimit: g.cfg.messageLimit, Tables: len(g.tables), Steps: g.step,
		Reviews: g.reviews, Orders: g.orderCount + len(g.orders), ListedAt: g.listedAt, MeanLoad: g.meanLoad, DropShare: g.dropShare, Saturated: g.saturated}
	shunned := map[*replica]int{}
	for _, p := range g.ejecting {
		for _, s := range p.ejections {
			shunned[s.replica] += int(indicator(s.active))
		}
	}
	sums, flows := make([]float64, len(g.tables)), 0.0
	for _, t := range g.tables {
		flows += t.flows + 1 // so that tables without flows count alike
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
			Attempts: r.attempts, Drops: r.drops, Load: r.load, LoadKnown: r.loadKnown, LastStatsAt: r.lastStatsAt, PairEjections: shunned[r]}
		for i, t := range g.tables {
			if r.sent[i] > 0 {
				x.TrafficShare += r.sent[i] / sums[i] * (t.flows + 1) / flows
			}
		}
		v.Replicas = append(v.Replicas, x)
	}
	slices.SortFunc(v.Replicas, func(a, b ReplicaView) int { return int(a.Replica) - int(b.Replica) })
	for _, p := range g.proxies {
		lately := 0
		for _, at := range p.messages {
			lately += int(indicator(at > now-Time(g.cfg.messageSpan)))
		}
		v.MostMessages = max(v.MostMessages, lately)
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
	// groups are kept by merit, a View has them by number
	byMerit := slices.Clone(v.Levels)
	for i, tg := range g.groups {
		v.Levels[tg.id] = byMerit[i]
	}
}
