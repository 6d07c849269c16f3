package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// Delays of calls to discovery.
const (
	maxCallDelay = 20 * time.Millisecond  // until an answer arrives, at most; half of it at least
	refusalDelay = 500 * time.Millisecond // until a call to discovery that is down is known to have failed
)

// discovery is the service that lists replicas. It learns of changes late, and tells each governor that watches it.
type discovery struct {
	sim            *Simulation
	entries        []rules.Entry // by replica
	version        int
	changeVersions []int // of the last change of each entry
	notified       map[*governor]notification
	outages        int           // faults in effect that take it down
	extraDelay     time.Duration // added to its usual delay by faults
}

// notification is the version up to which an incarnation of a governor has been told.
type notification struct{ incarnation, version int }

// start lists the replicas that the run starts with.
func (d *discovery) start(sim *Simulation) {
	d.sim, d.notified = sim, map[*governor]notification{}
	for _, r := range sim.replicas {
		d.entries = append(d.entries, r.entry())
		d.changeVersions = append(d.changeVersions, 0)
	}
	d.version = 1
}

// entry is how a replica is listed in its present state.
func (r *replica) entry() rules.Entry {
	return rules.Entry{Replica: r.id, Zone: rules.ZoneID(r.zone), Kind: rules.KindID(r.kind), State: r.state, Listed: 1, StartedAt: r.startedAt}
}

// update has discovery learn of a replica's present state after a delay.
func (d *discovery) update(r *replica) {
	sim := d.sim
	entry := r.entry()
	sim.schedule(sim.uniform(sim.fleet.MaxDiscoveryDelay/2, sim.fleet.MaxDiscoveryDelay)+d.extraDelay, func() {
		for int(r.id) >= len(d.entries) {
			d.entries = append(d.entries, rules.Entry{Replica: rules.ReplicaID(len(d.entries))})
			d.changeVersions = append(d.changeVersions, 0)
		}
		d.version++
		d.entries[r.id], d.changeVersions[r.id] = entry, d.version
		for _, g := range sim.governors {
			if g.up && g.watchingDiscovery && d.outages == 0 {
				d.notify(g)
			}
		}
	})
}

// notify sends a governor what it has not been told yet, if anything.
func (d *discovery) notify(g *governor) {
	if last, told := d.notified[g]; told && last.incarnation == g.incarnation && last.version == d.version {
		return
	}
	d.sendUpdate(g)
}

// sendUpdate sends the changes since the last update; all replicas that are not gone if this incarnation has had none.
func (d *discovery) sendUpdate(g *governor) {
	last := d.notified[g]
	update := rules.List{Scope: rules.Changes}
	if last.incarnation != g.incarnation {
		update.Scope, last.version = rules.Full, -1
	}
	for i, entry := range d.entries {
		needless := update.Scope == rules.Full && entry.State == rules.Deregistered
		if d.changeVersions[i] > last.version && !needless {
			update.Entries = append(update.Entries, entry)
		}
	}
	d.notified[g] = notification{g.incarnation, d.version}
	g.post(update)
}

// watch begins a governor's watch. Its first answer comes at once; while discovery is down the call fails.
func (d *discovery) watch(g *governor) {
	incarnation := g.incarnation
	if d.outages > 0 {
		d.sim.schedule(refusalDelay, func() {
			if g.incarnation == incarnation && g.watchingDiscovery {
				g.watchingDiscovery = false
				g.post(rules.List{Scope: rules.Failed})
			}
		})
		return
	}
	d.sim.schedule(d.sim.uniform(maxCallDelay/2, maxCallDelay), func() {
		if g.incarnation == incarnation && d.outages == 0 {
			d.sendUpdate(g)
		}
	})
}

// refetch has a governor sent the complete list again.
func (d *discovery) refetch(g *governor) {
	delete(d.notified, g)
	d.watch(g)
}

// startOutage takes discovery down. All watches end at the same time.
func (d *discovery) startOutage() {
	d.outages++
	if d.outages > 1 {
		return
	}
	for _, g := range d.sim.governors {
		if !g.up || !g.watchingDiscovery {
			continue
		}
		g.watchingDiscovery = false
		incarnation := g.incarnation
		d.sim.schedule(d.sim.fleet.LocalDelay, func() {
			if g.incarnation == incarnation {
				g.post(rules.List{Scope: rules.Failed})
			}
		})
	}
}
