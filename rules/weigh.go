package rules // What each replica is to weigh.

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSpareShare   = 0.35    // least share of a replica taken to be spare (design: 0.05)
	rampStartShare  = 0.1     // a new replica's first part of its fair share (design)
	rampSpan        = 5.0 / 9 // the ramp's length by the longest warm-up; 10 s where that is 18 s (design)
	coldLoadShare   = 0.8     // part of a cold replica's least capacity that it may be sent
	avoidShare      = 0.6     // with this share of attempts dropped, a cold replica gets no entry; less in small parts
	avoidSpeedup    = 2.0     // all the less, as proxies need a part of the time until statistics tell to avoid others
	speedPeriods    = 8.0     // speeds, and shares of traffic groups, are learnt over so many periods
	outlierFactor   = 3.0     // dropping so many times more than the rest is bad; bounds a measured speed too
	trialShare      = 0.15    // part of its fair share that an ejected replica still gets
	levelDelay      = 3       // reviews until the statistics show what a changed level did
	minTableProxies = 5.0     // there are no more tables than one for so many proxies
	minSubsetSize   = 8.0     // a table prefers so many replicas or more
	outsideShare    = 0.05    // by a table's subset, what all replicas outside it weigh in it
	maxSubsetSkew   = 1.25    // a part has at most so many times the spare capacity of another, by their flows
)

// createTables makes the tables: one of all replicas for all proxies and, for groups that stay in their zone, one a zone.
//
// Exception for size, where all entries of one table cannot be sent anew within a period's part of the
// channel: a table for every few proxies, which prefers a subset of the replicas and names the others at a
// small weight. That is against changed entries that cost more than the channel has, and more connections than
// replicas accept; it should also catch handshakes that eat the fleet. Tables for groups that stay in their
// zone have pairs among the common ones with the same proxies and, at first, the same subset, so that both
// share connections. Harm: a subset is a smaller sample than the fleet, so share keeps subsets even.
func (g *Governor) createTables(replicas float64) {
	zones := g.cfg.zones
	n := int(min(g.cfg.proxies/minTableProxies/(1+indicator(zones > 0)), replicas/minSubsetSize))
	if replicas*g.cfg.proxies <= g.cfg.pacedEntries || n < max(zones, 2) {
		n = 1
	}
	for range n {
		g.tables = append(g.tables, &table{kind: common})
	}
	for i := 0; zones > 0 && i < max(n, zones); i++ {
		g.tables = append(g.tables, &table{kind: home, zone: ZoneID(i % zones)})
	}
	for i, t := range g.tables {
		t.id, t.admits = TableID(i), make([]Admit, len(g.groups))
		if n > 1 && t.kind == home {
			t.paired = g.tables[i-n]
		}
	}
}

// weigh sets the wanted weights, by spare capacity under the bounds of bound.
//
// While the fleet is saturated and nothing can be blocked, an even load makes every replica late. Then listed weights
// stand: some replicas stay in time, and full ones turn the excess away at once. Harm: where listed weights are far
// from true speeds, a short jam moves more flows than it need.
func (g *Governor) weigh(now Time) {
	spare, flows := 0.0, 1.0
	for _, r := range g.replicas {
		r.wanted, r.maxShare, r.cold = [2]float64{}, g.shareLimit(now, r), !g.warm(now, r)
		if !r.loadKnown {
			r.load = g.meanLoad
		} else if !math.IsInf(r.maxShare, 1) { // idle for its small share, which says nothing of its fair one
			r.load = max(r.load, g.meanLoad)
		}
		if r.size == 0 || g.saturated {
			r.size = r.listed
		}
		if r.spare = r.size * max(1-r.load, minSpareShare); g.saturated {
			r.spare = r.size
		}
		spare += r.spare
	}
	for _, t := range g.tables {
		flows += t.flows
	}
	for z := range g.cfg.zones {
		g.distribute(now, home, ZoneID(z))
	}
	for _, r := range g.replicas {
		if t := r.table[home]; t != nil && t.paired == nil { // its zone's own flows come off its part of the common
			r.spare = max(r.spare-r.wanted[home]/100*t.flows/flows*spare, r.spare*rampStartShare)
		}
	}
	g.distribute(now, common, 0)
}

// distribute sets the weights in tables of one kind, home ones of one zone, each by the spare capacity of its subset. New
// replicas go to the subset that has least by its flows, and others are moved until subsets are about even. So all
// tables together still send each replica what one table would.
func (g *Governor) distribute(now Time, kind int, zone ZoneID) {
	var tables []*table
	for _, t := range g.tables {
		if t.kind == kind && t.accepts(zone) {
			t.subset, t.spare, t.attempts, t.drops = t.subset[:0], 0, 0, 0
			tables = append(tables, t)
		}
	}
	less := func(a, b *table) int { return cmp.Compare(a.spare/(a.flows+1), b.spare/(b.flows+1)) }
	put := func(r *replica, t *table) {
		r.table[kind] = t
		t.subset, t.spare, t.attempts, t.drops = append(t.subset, r), t.spare+r.usable(), t.attempts+r.attempts, t.drops+r.drops
	}
	var added []*replica
	whole, flows := 0.0, 0.0
	for _, r := range g.replicas {
		if r.state != Ready || !tables[0].accepts(r.zone) {
			continue
		}
		if whole += r.size; r.table[kind] == nil {
			added = append(added, r)
		} else {
			put(r, r.table[kind])
		}
	}
	for _, r := range added {
		if h := r.table[home]; kind == common && h != nil && h.paired != nil {
			put(r, h.paired)
		} else {
			put(r, slices.MinFunc(tables, less))
		}
	}
	for _, t := range tables {
		t.totalSize, flows = whole, flows+t.flows+1
	}
	for range tables {
		poor, rich := slices.MinFunc(tables, less), slices.MaxFunc(tables, less)
		gap, best := rich.spare*(poor.flows+1)-poor.spare*(rich.flows+1), -1
		for i, r := range rich.subset {
			if r.usable() <= gap/(rich.flows+poor.flows+2) && (best < 0 || r.usable() > rich.subset[best].usable()) {
				best = i
			}
		}
		if best < 0 || gap <= (maxSubsetSkew-1)*poor.spare*(rich.flows+1) ||
			g.reserve(now, rich.proxies, 1, 1, g.cfg.pacedEntries, g.cfg.messageLimit/2) == 0 {
			break
		}
		r := rich.subset[best]
		rich.subset, rich.spare = slices.Delete(rich.subset, best, best+1), rich.spare-r.usable()
		g.setWeight(rich, r, rich.outsideWeight(r))
		put(r, poor)
	}
	for _, t := range tables {
		t.assignWeights(flows, g.cfg.coldMargin)
	}
}

// outsideWeight is a replica's weight in a table that prefers others.
func (t *table) outsideWeight(r *replica) float64 { return 100 * outsideShare * r.size / t.totalSize }

// shareLimit limits a replica's share, by its fair share. A started one climbs the design's ramp, and is never sent more
// work than its least capacity at that age can do, as many cold at once or a high load would have it. Where proxies
// avoid replicas that failed them, a fleet that drops much sends a cold one far more than its weight says; so its
// line shrinks, then goes, as far as a proxy meets a replica often enough to avoid it before statistics tell. Before the
// first statistics it gets none. Harm: new ones help late.
//
// One that holds more than it answers within the least latency budget is cut by the square of that: what it is sent
// comes late. Protects against replicas that slow down while their load, at 1, tells no more; it also catches stolen cores
// and speeds taken too high. Harm: it comes back some seconds after its queue has gone.
func (g *Governor) shareLimit(now Time, r *replica) float64 {
	if r.ejected {
		return trialShare
	}
	age := func(t Time) float64 { return max(float64(now-t)/float64(g.cfg.warmupTime), 0) }
	most := math.Inf(1)
	if a := outlierFactor * age(r.returnedAt) / rampSpan; r.returnedAt > 0 && a < 1 {
		most = trialShare + (1-trialShare)*a
	}
	if r.refusedShare > 0 {
		most = min(most, 1-r.refusedShare)
	}
	if late := r.queueDelay / g.cfg.minBudget; late > 1 && !g.saturated {
		most = min(most, 1/late/late)
	}
	if g.warm(now, r) {
		return most
	}
	if !g.hasStats {
		return 0
	}
	a := age(r.started)
	least := g.cfg.coldCapacity + (1-g.cfg.coldCapacity)*a
	most = min(most, rampStartShare+(1-rampStartShare)*a/rampSpan, coldLoadShare*least/max(g.demand, minSpareShare))
	if g.cfg.avoidAfter > 0 {
		t := cmp.Or(r.table[common], g.tables[0])
		gone := avoidShare * math.Pow(min(float64(len(t.subset)+1)/(2*minSubsetSize), 1), 2)
		pairs := float64(len(t.proxies)*len(t.subset) + 1)
		soon := min(avoidSpeedup*t.flows/speedPeriods*levelDelay/pairs/g.cfg.avoidAfter, 1)
		most *= 1 - soon*min(max(3*max(g.dropShare, t.drops/max(t.attempts, 1))/gone-2, 0), 1)
	}
	return most
}

// assignWeights shares a table's 100 among its subset by spare capacity; what a bound cuts off goes to the others. Bounds are
// by the fair share of all flows of its kind, since a few proxies may have more than their part. Where all are
// bound, what they cannot take goes to the replicas named beside the subset, or, where there are none, they share it
// by their bounds; cold ones only as far as they surely stand, so long as one is warm.
func (t *table) assignWeights(flows, room float64) {
	size, all := t.totalSize*(t.flows+1)/flows, t.spareCapacity()
	slices.SortStableFunc(t.subset, func(a, b *replica) int { // most bound first
		return cmp.Compare(a.maxShare*a.size/a.spare, b.maxShare*b.size/b.spare)
	})
	left, spare, warm := 100.0, all, 0.0
	for _, r := range t.subset {
		r.wanted[t.kind] = min(left*r.spare/spare, 100*r.maxShare*r.size/size)
		left, spare = left-r.wanted[t.kind], spare-r.spare
		warm += indicator(!r.cold) * r.wanted[t.kind]
	}
	over := min(100/(100-left), room)
	for _, r := range t.subset {
		switch {
		case left < 1:
		case t.entries > 2*float64(len(t.subset)):
			r.wanted[t.kind] *= min(100*outsideShare/left, 1)
		case warm > 0 && r.cold:
			r.wanted[t.kind] *= over
		case warm > 0:
			r.wanted[t.kind] *= (100 - (100-left-warm)*over) / warm
		case left < 100:
			r.wanted[t.kind] *= 100 / (100 - left)
		default:
			r.wanted[t.kind] = 100 * r.spare / all
		}
	}
}
