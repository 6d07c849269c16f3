package rules

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSpareShare   = 0.35    // lowest share of a replica's size that counts as spare; 0.05 on the design page
	rampStartShare  = 0.1     // share of its fair share that a new replica starts with; as on the design page
	rampSpan        = 5.0 / 9 // duration of the ramp, as a share of the longest warm-up; the design page has 10 s for a warm-up of 18 s
	coldLoadShare   = 0.8     // share of its lowest capacity that a cold replica may receive
	avoidShare      = 0.6     // share of dropped attempts at which a cold replica gets no entry; less in small subsets
	avoidSpeedup    = 2.0     // proxies avoid replicas in half of the time until statistics show the failures
	speedPeriods    = 8.0     // window over which speeds and flows are measured, in periods
	outlierFactor   = 3.0     // ratio of drop shares that marks an outlier; also limits a measured speed
	trialShare      = 0.15    // share of its fair share that an ejected replica keeps
	levelDelay      = 3       // reviews until the statistics show the effect of a changed level
	minTableProxies = 5.0     // fewest proxies per table
	minSubsetSize   = 8.0     // fewest replicas in a table's subset
	outsideShare    = 0.05    // total weight of the replicas outside a table's subset, relative to the subset
	maxSubsetSkew   = 1.25    // largest ratio of two subsets' spare capacities per flow
)

// createTables creates one common table of all replicas and, if some groups stay in their zone, one home table per zone.
//
// If the channel cannot carry all entries of such a table to all proxies within a period, it creates a table for every few
// proxies instead. Each prefers a subset of the replicas and holds the others at a small weight. Guards against more changed
// entries than the channel carries, more connections than replicas accept, and excessive handshakes. Each home table is
// then paired with a common table of the same proxies and initially the same subset, so that both use the same connections.
// Side effect: a subset varies more than the fleet, so distribute keeps the subsets even.
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

// updateWeights sets the wanted weights by spare capacity, within the limits of shareLimit.
//
// While the fleet is saturated and proxies cannot shed load, balancing would make every replica late. Listed weights apply
// then: some replicas stay within the latency budget, and full ones reject the excess at once. Side effect: if listed weights
// are far from the true speeds, a short overload moves more flows than necessary.
func (g *Governor) updateWeights(now Time) {
	spare, flows := 0.0, 1.0
	for _, r := range g.replicas {
		r.wanted, r.maxShare, r.cold = [2]float64{}, g.shareLimit(now, r), !g.warm(now, r)
		if !r.loadKnown {
			r.load = g.meanLoad
		} else if !math.IsInf(r.maxShare, 1) { // its load at a limited share does not predict the load at its fair share
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
		if t := r.table[home]; t != nil && t.paired == nil { // flows that stay in its zone reduce its capacity for common ones
			r.spare = max(r.spare-r.wanted[home]/100*t.flows/flows*spare, r.spare*rampStartShare)
		}
	}
	g.distribute(now, common, 0)
}

// distribute assigns replicas to the subsets of the tables of one kind (home tables: of one zone) and sets their weights. New
// replicas join the subset with the least spare capacity per flow, and others are moved until the subsets are about even.
// Each replica then receives about as many flows from all tables together as it would from a single one.
func (g *Governor) distribute(now Time, kind int, zone ZoneID) {
	var tables []*table
	for _, t := range g.tables {
		if t.kind == kind && t.accepts(zone) {
			t.subset, t.spare, t.attempts, t.drops = t.subset[:0], 0, 0, 0
			tables = append(tables, t)
		}
	}
	bySpare := func(a, b *table) int { return cmp.Compare(a.spare/(a.flows+1), b.spare/(b.flows+1)) }
	assign := func(r *replica, t *table) {
		r.table[kind] = t
		t.subset, t.spare, t.attempts, t.drops = append(t.subset, r), t.spare+r.usableSpare(), t.attempts+r.attempts, t.drops+r.drops
	}
	var added []*replica
	totalSize, flows := 0.0, 0.0
	for _, r := range g.replicas {
		if r.state != Ready || !tables[0].accepts(r.zone) {
			continue
		}
		if totalSize += r.size; r.table[kind] == nil {
			added = append(added, r)
		} else {
			assign(r, r.table[kind])
		}
	}
	for _, r := range added {
		if h := r.table[home]; kind == common && h != nil && h.paired != nil {
			assign(r, h.paired)
		} else {
			assign(r, slices.MinFunc(tables, bySpare))
		}
	}
	for _, t := range tables {
		t.totalSize, flows = totalSize, flows+t.flows+1
	}
	for range tables {
		smallest, largest := slices.MinFunc(tables, bySpare), slices.MaxFunc(tables, bySpare)
		gap, best := largest.spare*(smallest.flows+1)-smallest.spare*(largest.flows+1), -1
		for i, r := range largest.subset {
			if r.usableSpare() <= gap/(largest.flows+smallest.flows+2) && (best < 0 || r.usableSpare() > largest.subset[best].usableSpare()) {
				best = i
			}
		}
		if best < 0 || gap <= (maxSubsetSkew-1)*smallest.spare*(largest.flows+1) ||
			g.reserve(now, largest.proxies, 1, 1, g.cfg.pacedEntries, g.cfg.messageLimit/2) == 0 {
			break
		}
		r := largest.subset[best]
		largest.subset, largest.spare = slices.Delete(largest.subset, best, best+1), largest.spare-r.usableSpare()
		g.setWeight(largest, r, largest.outsideWeight(r))
		assign(r, smallest)
	}
	for _, t := range tables {
		t.assignWeights(flows, g.cfg.coldMargin)
	}
}

// outsideWeight is a replica's weight in a table whose subset does not contain it.
func (t *table) outsideWeight(r *replica) float64 { return 100 * outsideShare * r.size / t.totalSize }

// shareLimit returns the limit of a replica's share, as a multiple of its fair share. A cold replica ramps up and never gets
// more work than its lowest capacity at its age, which a high load or many cold replicas would otherwise cause. It gets
// nothing before the first statistics. If proxies avoid failing replicas, a cold one receives far more than its weight while
// others drop attempts; its weight is reduced, down to none, by how likely proxies are to avoid a replica before statistics
// show the failures. Side effect: new replicas take over load late.
//
// A replica with more flows in flight than it answers within the shortest latency budget is limited by the square of that
// ratio, as what it is sent comes late. Guards against replicas that slow down at full utilization, stolen CPU time and overestimated speeds. Side effect:
// the limit remains for some seconds after the queue is empty.
func (g *Governor) shareLimit(now Time, r *replica) float64 {
	if r.ejected {
		return trialShare
	}
	age := func(t Time) float64 { return max(float64(now-t)/float64(g.cfg.warmupTime), 0) }
	limit := math.Inf(1)
	if a := outlierFactor * age(r.returnedAt) / rampSpan; r.returnedAt > 0 && a < 1 {
		limit = trialShare + (1-trialShare)*a
	}
	if r.refusedShare > 0 {
		limit = min(limit, 1-r.refusedShare)
	}
	if backlog := r.queueDelay / g.cfg.minBudget; backlog > 1 && !g.saturated {
		limit = min(limit, 1/backlog/backlog)
	}
	if g.warm(now, r) {
		return limit
	}
	if !g.hasStats {
		return 0
	}
	a := age(r.started)
	capacity := g.cfg.coldCapacity + (1-g.cfg.coldCapacity)*a
	limit = min(limit, rampStartShare+(1-rampStartShare)*a/rampSpan, coldLoadShare*capacity/max(g.demand, minSpareShare))
	if g.cfg.avoidAfter > 0 {
		t := cmp.Or(r.table[common], g.tables[0])
		cutoff := avoidShare * math.Pow(min(float64(len(t.subset)+1)/(2*minSubsetSize), 1), 2)
		pairs := float64(len(t.proxies)*len(t.subset) + 1)
		avoidance := min(avoidSpeedup*t.flows/speedPeriods*levelDelay/pairs/g.cfg.avoidAfter, 1)
		limit *= 1 - avoidance*min(max(3*max(g.dropShare, t.drops/max(t.attempts, 1))/cutoff-2, 0), 1)
	}
	return limit
}

// assignWeights divides a total weight of 100 among a table's subset by spare capacity. What exceeds a replica's limit goes to
// the others. Limits relate to the fair share of all flows of the table's kind, as a table's proxies may have more than an
// average part of them. If all are at their limits, the remainder goes to the replicas outside the subset or, without
// these, is divided in proportion to the limits, of which cold replicas get at most margin while any warm one has weight.
func (t *table) assignWeights(flows, margin float64) {
	size, all := t.totalSize*(t.flows+1)/flows, t.spareCapacity()
	slices.SortStableFunc(t.subset, func(a, b *replica) int { // most limited first
		return cmp.Compare(a.maxShare*a.size/a.spare, b.maxShare*b.size/b.spare)
	})
	left, spare, warm := 100.0, all, 0.0
	for _, r := range t.subset {
		r.wanted[t.kind] = min(left*r.spare/spare, 100*r.maxShare*r.size/size)
		left, spare = left-r.wanted[t.kind], spare-r.spare
		warm += indicator(!r.cold) * r.wanted[t.kind]
	}
	coldFactor := min(100/(100-left), margin)
	for _, r := range t.subset {
		switch {
		case left < 1:
		case t.entries > 2*float64(len(t.subset)):
			r.wanted[t.kind] *= min(100*outsideShare/left, 1)
		case warm > 0 && r.cold:
			r.wanted[t.kind] *= coldFactor
		case warm > 0:
			r.wanted[t.kind] *= (100 - (100-left-warm)*coldFactor) / warm
		case left < 100:
			r.wanted[t.kind] *= 100 / (100 - left)
		default:
			r.wanted[t.kind] = 100 * r.spare / all
		}
	}
}
