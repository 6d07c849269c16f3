package rules

import "slices"

// View is what a governor knows and wants, for people to look at. Nothing is decided by it.
type View struct {
	At       Time
	Replicas []ReplicaView // by number
	Levels   []float64     // by traffic group: as last ordered, on average over tables by their flows; 1 lets all in

	LinesWaiting, LinesCap float64 // of the channel, by our count; that may wait at the most
	Proxies, Unbound       int     // joined; of these, not yet on a table
	Busiest, MessageCap    int     // messages to the proxy with the most of them within the message span; 0: no cap
	Tables                 int
	Steps, Reviews, Orders int  // so far
	ListAt                 Time // when discovery was last heard; 0: never
	MeanLoad, DropShare    float64
	Jammed                 bool
}

// ReplicaView is what is known of one replica.
type ReplicaView struct {
	Replica      ReplicaID
	State        State
	HeldOut      bool
	Cold         bool
	Picks        float64 // share of all flows that the tables ask for it, by their flows
	Weight       float64 // in the common table whose part it is in, of 100
	Tries, Drops float64 // over the health window
	Load         float64 // smoothed share of it that is busy
	Known        bool    // its load has been reported
	HeardAt      Time    // the last review that had sums of it, or when it was first listed
	Shunned      int     // proxies that shut it out on their own account
}

// View writes down what a governor knows, into the memory of an earlier View if there is one. It changes nothing.
func (g *Governor) View(now Time, v *View) {
	*v = View{At: now, Replicas: v.Replicas[:0], Levels: v.Levels[:0], LinesWaiting: g.queue, LinesCap: g.fig.lineCap / fillMost,
		Proxies: len(g.proxies), Unbound: len(g.waiting), MessageCap: g.fig.messageCap, Tables: len(g.tables), Steps: g.step,
		Reviews: g.reviews, Orders: g.ordered + len(g.orders), ListAt: g.listedAt, MeanLoad: g.meanLoad, DropShare: g.dropShare, Jammed: g.jammed}
	shunned := map[*replica]int{}
	for _, p := range g.shunners {
		for _, s := range p.shuns {
			shunned[s.r] += int(one(s.out))
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
		x := ReplicaView{Replica: r.id, State: r.state, HeldOut: r.out, Cold: r.state == Ready && !g.warm(now, r), Weight: r.ordered(common),
			Tries: r.tries, Drops: r.drops, Load: r.load, Known: r.known, HeardAt: r.heardAt, Shunned: shunned[r]}
		for i, t := range g.tables {
			if r.sent[i] > 0 {
				x.Picks += r.sent[i] / sums[i] * (t.flows + 1) / flows
			}
		}
		v.Replicas = append(v.Replicas, x)
	}
	slices.SortFunc(v.Replicas, func(a, b ReplicaView) int { return int(a.Replica) - int(b.Replica) })
	for _, p := range g.proxies {
		lately := 0
		for _, at := range p.messages {
			lately += int(one(at > now-Time(g.fig.messageSpan)))
		}
		v.Busiest = max(v.Busiest, lately)
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
