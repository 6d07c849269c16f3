package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// Delays of discovery calls.
const (
	maxCallDelay = 20 * time.Millisecond  // maximum response delay; the minimum is half of it
	refusalDelay = 500 * time.Millisecond // until a call fails during an outage
)

// discovery is the service that lists replicas. It observes changes with a delay and notifies all watching governors.
type discovery struct {
	sim            *Simulation
	entries        []rules.Entry // by replica ID
	version        int
	changeVersions []int // version of the last change of each entry
	notified       map[*governor]notification
	outages        int           // number of active faults that make it unavailable
	extraDelay     time.Duration // delay added by faults
}

// notification is the last version sent to an incarnation of a governor.
type notification struct{ incarnation, version int }

// start lists the initial replicas.
func (d *discovery) start(sim *Simulation) {
	d.sim, d.notified = sim, map[*governor]notification{}
	for _, r := range sim.replicas {
		d.entries = append(d.entries, r.entry())
		d.changeVersions = append(d.changeVersions, 0)
	}
	d.version = 1
}

// entry returns the discovery entry for the current state of a replica.
func (r *replica) entry() rules.Entry {
	return rules.Entry{Replica: r.id, Zone: rules.ZoneID(r.zone), Kind: rules.KindID(r.kind), State: r.state, Listed: 1, StartedAt: r.startedAt}
}

// update publishes the current state of a replica after the discovery delay.
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

// notify sends a governor the changes that it has not received yet, if any.
func (d *discovery) notify(g *governor) {
	if last, ok := d.notified[g]; ok && last.incarnation == g.incarnation && last.version == d.version {
		return
	}
	d.sendUpdate(g)
}

// sendUpdate sends the changes since the last update, or the full list if this incarnation has not received one.
func (d *discovery) sendUpdate(g *governor) {
	last := d.notified[g]
	update := rules.List{Scope: rules.Changes}
	if last.incarnation != g.incarnation {
		update.Scope, last.version = rules.Full, -1
	}
	for i, entry := range d.entries {
		omitted := update.Scope == rules.Full && entry.State == rules.Deregistered
		if d.changeVersions[i] > last.version && !omitted {
			update.Entries = append(update.Entries, entry)
		}
	}
	d.notified[g] = notification{g.incarnation, d.version}
	g.post(update)
}

// watch starts the watch of a governor, which first receives an update. During an outage the call fails.
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

// refetch sends the full list to a governor again.
func (d *discovery) refetch(g *governor) {
	delete(d.notified, g)
	d.watch(g)
}

// startOutage makes discovery unavailable and terminates all watches.
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
