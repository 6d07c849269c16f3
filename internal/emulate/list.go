package emulate

import (
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// discovery is discovery: what it knows follows the truth late, and each governor is told of changes while it watches.
type discovery struct {
	sim            *Simulation
	entries        []rules.Entry // by replica, as discovery knows them
	version        int
	changeVersions []int // version of each entry's last change
	notified       map[*governor]notification
	outages        int           // troubles that take it down
	extraDelay     time.Duration // more than usual, by troubles
}

// notification is how far a life of a governor has been told.
type notification struct{ incarnation, version int }

func (l *discovery) start(sim *Simulation) {
	l.sim, l.notified = sim, map[*governor]notification{}
	for _, r := range sim.replicas {
		l.entries = append(l.entries, r.entry())
		l.changeVersions = append(l.changeVersions, 0)
	}
	l.version = 1
}

func (r *replica) entry() rules.Entry {
	return rules.Entry{Replica: r.id, Zone: rules.ZoneID(r.zone), Kind: rules.KindID(r.kind), State: r.state, Listed: 1, StartedAt: r.startedAt}
}

// update has discovery learn of a replica, late.
func (l *discovery) update(r *replica) {
	sim := l.sim
	entry := r.entry()
	sim.schedule(sim.uniform(sim.fleet.MaxDiscoveryDelay/2, sim.fleet.MaxDiscoveryDelay)+l.extraDelay, func() {
		for int(r.id) >= len(l.entries) {
			l.entries = append(l.entries, rules.Entry{Replica: rules.ReplicaID(len(l.entries))})
			l.changeVersions = append(l.changeVersions, 0)
		}
		l.version++
		l.entries[r.id], l.changeVersions[r.id] = entry, l.version
		for _, g := range sim.governors {
			if g.up && g.watchingDiscovery && l.outages == 0 {
				l.notify(g)
			}
		}
	})
}

// notify posts what a governor has not been told yet.
func (l *discovery) notify(g *governor) {
	if at, is := l.notified[g]; is && at.incarnation == g.incarnation && at.version == l.version {
		return
	}
	l.sendUpdate(g)
}

func (l *discovery) sendUpdate(g *governor) {
	at := l.notified[g]
	e := rules.List{Scope: rules.Changes}
	if at.incarnation != g.incarnation {
		e.Scope, at.version = rules.Whole, -1
	}
	for i, entry := range l.entries {
		if l.changeVersions[i] > at.version && !(e.Scope == rules.Whole && entry.State == rules.Gone) {
			e.Entries = append(e.Entries, entry)
		}
	}
	l.notified[g] = notification{g.incarnation, l.version}
	g.post(e)
}

// callTakes is how long an answer of discovery is on its way, refusal how long until a call is known to have failed.
const (
	maxCallDelay = 20 * time.Millisecond
	refusalDelay = 500 * time.Millisecond
)

// watch begins a watch: its first answer comes at once.
func (l *discovery) watch(g *governor) {
	life := g.incarnation
	if l.outages > 0 {
		l.sim.schedule(refusalDelay, func() {
			if g.incarnation == life && g.watchingDiscovery {
				g.watchingDiscovery = false
				g.post(rules.List{Scope: rules.Failed})
			}
		})
		return
	}
	l.sim.schedule(l.sim.uniform(maxCallDelay/2, maxCallDelay), func() {
		if g.incarnation == life && l.outages == 0 {
			l.sendUpdate(g)
		}
	})
}

func (l *discovery) refetch(g *governor) {
	delete(l.notified, g)
	l.watch(g)
}

// startOutage ends all watches.
func (l *discovery) startOutage() {
	if l.outages++; l.outages > 1 {
		return
	}
	for _, g := range l.sim.governors {
		life := g.incarnation
		if g.up && g.watchingDiscovery {
			g.watchingDiscovery = false
			l.sim.schedule(l.sim.fleet.LocalDelay, func() { // all at once
				if g.incarnation == life {
					g.post(rules.List{Scope: rules.Failed})
				}
			})
		}
	}
}

// warmReplicas are the replicas that are up, listed as ready and warm in truth.
func (sim *Simulation) warmReplicas() (out []*replica) {
	for _, r := range sim.replicas {
		if r.up && r.state == rules.Ready && !r.isWarmingUp() {
			out = append(out, r)
		}
	}
	return slices.Clip(out)
}
