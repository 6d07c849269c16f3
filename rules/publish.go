package rules // What goes out when: lines, levels, binding.

import (
	"cmp"
	"math"
	"slices"
)

const (
	minRelativeChange = 0.1  // changes below this part of a weight are not sent (design)
	targetLoad        = 0.8  // flows are blocked to keep the fleet at this load
	fewWarmReplicas   = 3    // warm replicas that proxies are not likely to avoid all before statistics tell
	restartLevel      = 0.5  // what a restarted governor lets in until its first statistics
	minLevel          = 0.05 // what is always admitted of a traffic group
	saturationLoad    = 1.2  // load, raised by drops, from which a fleet that can block nothing counts as saturated
)

// publish sends what changed: removals, then new entries and deep cuts, levels and joins, at once; all but
// removals leave half of the channel. The rest goes once a period, in a part of the channel and of a proxy's
// messages, tables whose changes move most first; each sends all, largest first, as heads cost much. A cold
// replica gets no entry that would flood it, nor a first one that could not be taken back before it falls over.
func (g *Governor) publish(now Time, due bool) {
	g.discardExpired(now)
	g.removeLeaving(now)
	for _, r := range g.replicas {
		for kind, t := range r.table {
			if t == nil || r.state != Ready {
				continue
			}
			want, sent := r.wanted[kind]*max(t.warmRatio(r), 1/g.cfg.coldMargin), r.sent[t.id]
			want *= indicator(!r.cold || !g.overwhelms(now, t, r) && (sent > 0 || g.queuedEntries <= g.cfg.coldEntries))
			c := change{r, want, math.Abs(want - sent)}
			if c.delta > 0 && (want < sent/2 || sent < maxSubsetSkew*t.outsideWeight(r)) {
				t.urgent = append(t.urgent, c)
			} else if c.delta > 0 && c.delta >= minRelativeChange*sent {
				t.changes, t.movedFlows = append(t.changes, c), t.movedFlows+c.delta*t.flows
			}
		}
	}
	if !g.hasStats && slices.ContainsFunc(g.unbound, func(p *proxy) bool { return !p.fresh }) {
		g.admitted = slices.Repeat([]float64{restartLevel}, len(g.admitted)) // our former levels may have been low
	}
	if g.anyLeaving() && g.tables[0].entries > 0 {
		g.bind(now)
	}
	for _, t := range g.tables {
		g.send(now, t, t.urgent, g.cfg.entryCapacity/2, g.cfg.messageLimit*3/4)
	}
	if due || !g.hasStats {
		g.admit(now)
	}
	g.bind(now)
	if due {
		for _, t := range slices.SortedStableFunc(slices.Values(g.tables), byMovedFlows) {
			g.send(now, t, t.changes, g.cfg.pacedEntries, g.cfg.messageLimit/2)
		}
		// Else proxies would be sent far more entries when bound, or when the next wave goes.
		if len(g.unbound) == 0 && now-g.removalsSentAt >= Time(g.cfg.messageSpan) {
			g.addRemaining(now)
		}
	}
}

// overwhelms reports whether a table's flows are more than its few warm replicas answer and its cold ones stand: proxies avoid the
// warm ones then, whatever a cold one weighs, and statistics tell late. Harm: new ones help late.
func (g *Governor) overwhelms(now Time, t *table, r *replica) bool {
	least := g.cfg.coldCapacity + (1-g.cfg.coldCapacity)*min(float64(now-r.started)/float64(g.cfg.warmupTime), 1)
	most := g.cfg.coldMargin * g.cfg.coldMargin * coldLoadShare * least * cmp.Or(r.size, r.listed) * g.speed
	return g.cfg.avoidAfter > 0 && g.coldExcess(now, t, r, fewWarmReplicas) > most
}

// removeLeaving takes the entries of replicas that are draining or deregistered, with all of a proxy's messages. Tables that only name
// them wait for others, as replicas which go one by one would use those up. One that would lose more entries than its
// part holds is cleared and its subset sent anew, against waves faster than a slow channel. Harm: a few flows go there
// for a part of the grace.
func (g *Governor) removeLeaving(now Time) {
	all := now-g.removalsSentAt >= g.cfg.removeWait
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
		anew := 1 + len(t.subset) + len(g.groups)
		if all && len(t.changes) > 0 {
			g.removalsSentAt = now
			if len(t.changes) > anew && t.spare > 0 &&
				g.reserve(now, t.proxies, 1, float64(anew), g.cfg.entryCapacity, g.cfg.messageLimit) > 0 {
				g.resend(t)
			} else {
				g.send(now, t, t.changes, g.cfg.entryCapacity, g.cfg.messageLimit)
			}
		}
		t.changes = t.changes[:0]
	}
}

// send orders changes of a table, largest first, as far as they fit, and reports whether all did.
func (g *Governor) send(now Time, t *table, changes []change, room float64, messages int) bool {
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.delta, a.delta) })
	n := g.reserve(now, t.proxies, len(changes), 1, room, messages)
	for _, c := range changes[:n] {
		g.setWeight(t, c.replica, c.weight)
	}
	return n == len(changes)
}

// addRemaining gives the table whose turn it is the replicas outside its subset that it lacks, cold ones not yet: a
// rolling deploy needs the channel for removals.
func (g *Governor) addRemaining(now Time) {
	for range g.tables {
		t := g.tables[g.nextTable%len(g.tables)]
		var lacks []change
		for _, r := range g.replicas {
			if g.warm(now, r) && r.sent[t.id] == 0 && r.sentWeight(t.kind) > 0 && t.accepts(r.zone) {
				lacks = append(lacks, change{r, t.outsideWeight(r), 0})
			}
		}
		if !g.send(now, t, lacks, g.cfg.fillEntries, g.cfg.messageLimit/2) {
			return
		}
		if g.nextTable++; len(lacks) == 0 {
			return
		}
	}
}

// setLevel sets how much of the work asked for is admitted, and whether a fleet that can block nothing is saturated, by
// the load that flows met; beyond 1 drops tell how far the fleet is over. Where successful responses take over the least
// latency budget, drops count whatever load is reported: against reports that hide overload; it should also catch
// work that waits for something else than a core. After a restart of ours it starts from the part of the flows that
// was tried. Harm: drops not from load block flows for a while.
func (g *Governor) setLevel(now Time, f *fleetStats) {
	if now < g.bindAfter && len(g.unbound) > 0 {
		g.admitted = slices.Repeat([]float64{min(max(f.attempts/max(g.newFlows, 1), minLevel), 1)}, len(g.admitted))
	}
	g.bindAfter = min(g.bindAfter, now)
	met := f.reportedLoad / f.reported * (1 + g.dropShare)
	g.saturated = !g.cfg.canShed && (met > saturationLoad || g.saturated && met > targetLoad)
	if f.newLatency > g.cfg.minBudget*(f.attempts-f.drops) {
		met = max(met, targetLoad+g.dropShare-ejectDropShare)
	}
	made := levelDelay - 1 + int((g.statsWindow-g.cfg.period)/g.cfg.period) // the review whose level made these statistics
	want := g.admitted[min(made, len(g.admitted)-1)] * targetLoad / max(met, minSpareShare)
	copy(g.admitted[1:], g.admitted)
	g.admitted[0] = min(max(want, minLevel), 1)
}

// admit orders levels and retry policies. What is not admitted is taken from the traffic groups whose utility by
// work is least. A flow is tried again only on proof that it never ran: an attempt that may be retried after any failure
// gives up early, and its work is lost. While the fleet is saturated and nothing can be blocked, not even that, as a
// retry would only fill the next replica.
func (g *Governor) admit(now Time) {
	total := 0.0
	for _, tg := range g.groups {
		total += tg.flows * tg.budget
	}
	left := (1 - g.admitted[0]) * total
	for i, tg := range g.groups {
		o := Admit{Groups: 1 << tg.id, Level: g.cfg.openLevel, Retry: RetryUnprocessed}
		if work := tg.flows * tg.budget; g.cfg.canShed && total == 0 {
			o.Level = g.admitted[0]
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

// bind puts proxies on their tables, those with most flows first; it also ends whatever an earlier stream withdrew.
// After a restart of ours, proxies go on with what they hold until the first statistics have told us the load, or until
// some replica must be left. Those that may hold it come before urgent changes, as far into the channel as half of
// the drain grace lets it send: against a lost governor's proxies.
func (g *Governor) bind(now Time) {
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
		lines := float64(len(g.groups))
		for _, t := range chosen {
			if t != nil {
				lines += 1 + t.entries*p.entryCost
			}
		}
		room := max(g.cfg.entryCapacity/2, min(lines+g.cfg.messageEntries, g.cfg.entryCapacity),
			indicator(leaving && !p.fresh)*g.cfg.drainEntries)
		if g.reserve(now, []*proxy{p}, 1, lines, room, g.cfg.messageLimit) == 0 {
			return false
		}
		for kind, t := range chosen {
			if t != nil && g.cfg.groups[kind] != 0 {
				p.table[kind] = t
				t.proxies, t.flows = append(t.proxies, p), t.flows+g.expected(p, t)
				g.orders = append(g.orders, Bind{p.id, t.id, g.cfg.groups[kind]})
			}
		}
		return true
	})
}
