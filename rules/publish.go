package rules

import (
	"cmp"
	"math"
	"slices"
)

const (
	minRelativeChange = 0.1  // relative weight change below which nothing is sent; as on the design page
	targetLoad        = 0.8  // load at which the fleet is kept by admission levels
	fewWarmReplicas   = 3    // warm replicas of which proxies are unlikely to avoid all before statistics show failures
	restartLevel      = 0.5  // admitted share after a restart, until the first statistics
	minLevel          = 0.05 // lowest admitted share of a traffic group
	saturationLoad    = 1.2  // load, increased by drops, from which a fleet without load shedding counts as saturated
)

// publish sends changes. Removals, then new entries and large reductions, levels and bindings are sent at once; all but
// removals leave half of the channel free. Other changes are sent once per period within a part of the channel and of the
// message limit, starting with the table whose changes move the most flows. A cold replica gets no entry that would
// overload it, and no first entry while the channel is too full to remove it in time.
func (g *Governor) publish(now Time, due bool) {
	g.discardExpired(now)
	g.removeLeaving(now)
	for _, r := range g.replicas {
		for kind, t := range r.table {
			if t == nil || r.state != Ready {
				continue
			}
			want, sent := r.wanted[kind]*max(t.warmRatio(r), 1/g.cfg.coldMargin), r.sent[t.id]
			want *= indicator(!r.cold || !g.wouldOverload(now, t, r) && (sent > 0 || g.queuedEntries <= g.cfg.coldEntries))
			c := change{r, want, math.Abs(want - sent)}
			if c.delta > 0 && (want < sent/2 || sent < maxSubsetSkew*t.outsideWeight(r)) {
				t.urgent = append(t.urgent, c)
			} else if c.delta > 0 && c.delta >= minRelativeChange*sent {
				t.changes, t.movedFlows = append(t.changes, c), t.movedFlows+c.delta*t.flows
			}
		}
	}
	if !g.hasStats && slices.ContainsFunc(g.unbound, func(p *proxy) bool { return !p.fresh }) {
		g.admittedShares = slices.Repeat([]float64{restartLevel}, len(g.admittedShares)) // levels before the restart may have been low
	}
	if g.anyLeaving() && g.tables[0].entries > 0 {
		g.bindProxies(now)
	}
	for _, t := range g.tables {
		g.send(now, t, t.urgent, g.cfg.entryCapacity/2, g.cfg.messageLimit*3/4)
	}
	if due || !g.hasStats {
		g.sendLevels(now)
	}
	g.bindProxies(now)
	if due {
		for _, t := range slices.SortedStableFunc(slices.Values(g.tables), byMovedFlows) {
			g.send(now, t, t.changes, g.cfg.pacedEntries, g.cfg.messageLimit/2)
		}
		// Entries outside subsets would increase the cost of binding proxies and of removing many replicas at once.
		if len(g.unbound) == 0 && now-g.removalsSentAt >= Time(g.cfg.messageSpan) {
			g.addOutsideReplicas(now)
		}
	}
}

// wouldOverload reports whether a table's flows exceed what its few warm replicas answer and its cold ones withstand. Proxies
// then come to avoid the warm ones and overload a cold one at any weight before statistics show it. Side effect: new
// replicas take over load late.
func (g *Governor) wouldOverload(now Time, t *table, r *replica) bool {
	capacity := g.cfg.coldCapacity + (1-g.cfg.coldCapacity)*min(float64(now-r.started)/float64(g.cfg.warmupTime), 1)
	limit := g.cfg.coldMargin * g.cfg.coldMargin * coldLoadShare * capacity * cmp.Or(r.size, r.listed) * g.speed
	return g.cfg.avoidAfter > 0 && g.coldExcess(now, t, r, fewWarmReplicas) > limit
}

// removeLeaving removes the entries of draining and deregistered replicas, up to the full channel and message limits. Tables
// that hold them outside their subset collect removals, as replicas that leave one by one would use up the message limit. A
// table that would lose more entries than its subset has is cleared and sent again. Side effect: a few flows reach leaving
// replicas for a part of the drain grace.
func (g *Governor) removeLeaving(now Time) {
	removalsDue := now-g.removalsSentAt >= g.cfg.removeWait
	for _, r := range g.replicas {
		for i := 0; r.state != Ready && r.tables > 0 && i < len(g.tables); i++ {
			if t := g.tables[i]; r.sent[i] > 0 && t != r.table[t.kind] {
				t.changes = append(t.changes, change{r, 0, 0})
			} else if r.sent[i] > 0 && g.reserve(now, t.proxies, 1, 1, g.cfg.entryCapacity, g.cfg.messageLimit) > 0 {
				g.setWeight(t, r, 0)
			}
		}
		if r.state == Deregistered && r.tables == 0 {
			delete(g.byID, r.id)
			g.orders = append(g.orders, Forget{r.id})
		}
	}
	for _, t := range g.tables {
		resendEntries := 1 + len(t.subset) + len(g.groups)
		if removalsDue && len(t.changes) > 0 {
			g.removalsSentAt = now
			if len(t.changes) > resendEntries && t.spare > 0 &&
				g.reserve(now, t.proxies, 1, float64(resendEntries), g.cfg.entryCapacity, g.cfg.messageLimit) > 0 {
				g.resend(t)
			} else {
				g.send(now, t, t.changes, g.cfg.entryCapacity, g.cfg.messageLimit)
			}
		}
		t.changes = t.changes[:0]
	}
}

// send orders as many changes of a table as the channel permits, largest first, and reports whether these are all.
func (g *Governor) send(now Time, t *table, changes []change, limit float64, messages int) bool {
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.delta, a.delta) })
	n := g.reserve(now, t.proxies, len(changes), 1, limit, messages)
	for _, c := range changes[:n] {
		g.setWeight(t, c.replica, c.weight)
	}
	return n == len(changes)
}

// addOutsideReplicas adds missing warm replicas outside the subset to one table after the other. Cold replicas are left out,
// as a rolling deployment needs the channel for removals.
func (g *Governor) addOutsideReplicas(now Time) {
	for range g.tables {
		t := g.tables[g.nextTable%len(g.tables)]
		var missing []change
		for _, r := range g.replicas {
			if g.warm(now, r) && r.sent[t.id] == 0 && r.sentWeight(t.kind) > 0 && t.accepts(r.zone) {
				missing = append(missing, change{r, t.outsideWeight(r), 0})
			}
		}
		if !g.send(now, t, missing, g.cfg.fillEntries, g.cfg.messageLimit/2) {
			return
		}
		if g.nextTable++; len(missing) == 0 {
			return
		}
	}
}

// updateAdmission sets the admitted share of the offered work, and whether a fleet without load shedding is saturated, from
// the reported load at replicas in proportion to their weights. At full load, drops show the excess. If successful responses
// exceed the shortest latency budget, drops count at any reported load. Guards against reports that hide overload, and work
// that waits for something other than a core. After a restart it starts from the share of flows that was attempted. Side
// effect: drops that load does not cause reduce admission for a while.
func (g *Governor) updateAdmission(now Time, f *fleetStats) {
	if now < g.bindAfter && len(g.unbound) > 0 {
		g.admittedShares = slices.Repeat([]float64{min(max(f.attempts/max(g.newFlows, 1), minLevel), 1)}, len(g.admittedShares))
	}
	g.bindAfter = min(g.bindAfter, now)
	observed := f.reportedLoad / f.reported * (1 + g.dropShare)
	g.saturated = !g.cfg.canShed && (observed > saturationLoad || g.saturated && observed > targetLoad)
	if f.newLatency > g.cfg.minBudget*(f.attempts-f.drops) {
		observed = max(observed, targetLoad+g.dropShare-ejectDropShare)
	}
	lag := levelDelay - 1 + int((g.statsWindow-g.cfg.period)/g.cfg.period) // reviews since the level under which these statistics arose
	share := g.admittedShares[min(lag, len(g.admittedShares)-1)] * targetLoad / max(observed, minSpareShare)
	copy(g.admittedShares[1:], g.admittedShares)
	g.admittedShares[0] = min(max(share, minLevel), 1)
}

// sendLevels orders admission levels and retry policies. Flows are shed from the traffic groups with the lowest utility per
// work first. Only flows that were provably not processed are retried: a retry after any failure would need a shorter
// attempt timeout, which wastes work. A saturated fleet without load shedding gets no retries, as they would fill the next
// replica.
func (g *Governor) sendLevels(now Time) {
	total := 0.0
	for _, tg := range g.groups {
		total += tg.flows * tg.budget
	}
	left := (1 - g.admittedShares[0]) * total
	for i, tg := range g.groups {
		o := Admit{Groups: 1 << tg.id, Level: g.cfg.openLevel, Retry: RetryUnprocessed}
		if work := tg.flows * tg.budget; g.cfg.canShed && total == 0 {
			o.Level = g.admittedShares[0]
		} else if g.cfg.canShed && left > 0 && work > 0 {
			cut := min(left, work*(1-minLevel))
			o.Level, left = 1-cut/work, left-cut
		}
		if g.saturated {
			o.Retry = RetryNever
		}
		for _, t := range g.tables {
			o.Table = t.id
			step := math.Abs(o.Level - t.admits[i].Level)
			same := o.Retry == t.admits[i].Retry && (step == 0 || o.Level < 1 && step < minLevel)
			if g.cfg.groups[t.kind].has(tg.id) && !same &&
				g.reserve(now, t.proxies, 1, 1, g.cfg.entryCapacity/2, g.cfg.messageLimit*3/4) > 0 {
				t.admits[i] = o
				g.orders = append(g.orders, o)
			}
		}
	}
}

// bindProxies binds proxies to tables, those with the most flows first. After a restart, proxies keep the tables they hold
// until the first statistics show the load or a replica leaves. Proxies that may hold a leaving replica are then bound
// before urgent changes are sent, up to the entries that the channel carries in half of the drain grace. Guards against
// proxies of a lost governor that keep sending to the leaving replica.
func (g *Governor) bindProxies(now Time) {
	slices.SortStableFunc(g.unbound, func(a, b *proxy) int { return cmp.Compare(b.rate, a.rate) })
	leaving := g.anyLeaving()
	g.unbound = slices.DeleteFunc(g.unbound, func(p *proxy) bool {
		if !p.fresh && now < g.bindAfter {
			return false
		}
		var chosen [2]*table
		for _, t := range g.tables {
			best := chosen[t.kind]
			if t.accepts(p.zone) && (best == nil || t.flows < best.flows) {
				chosen[t.kind] = t
			}
		}
		if h := chosen[home]; h != nil && h.paired != nil {
			chosen[common] = h.paired
		}
		entries := float64(len(g.groups))
		for _, t := range chosen {
			if t != nil {
				entries += 1 + t.entries*p.entryCost
			}
		}
		limit := max(g.cfg.entryCapacity/2, min(entries+g.cfg.messageEntries, g.cfg.entryCapacity),
			indicator(leaving && !p.fresh)*g.cfg.drainEntries)
		if g.reserve(now, []*proxy{p}, 1, entries, limit, g.cfg.messageLimit) == 0 {
			return false
		}
		for kind, t := range chosen {
			if t != nil && g.cfg.groups[kind] != 0 {
				p.table[kind] = t
				t.proxies, t.flows = append(t.proxies, p), t.flows+g.expectedFlows(p, t)
				g.orders = append(g.orders, Bind{p.id, t.id, g.cfg.groups[kind]})
			}
		}
		return true
	})
}
