package rules

import (
	"math"
	"time"
)

const (
	smoothPeriods       = 12.0  // window over which load is smoothed, in periods; 5 on the design page
	speedPriorFlows     = 8.0   // flows after which a replica's own speed has the same weight as that of its kind
	maxSpeedRatio       = 1.5   // limit of the measured speed, as a multiple of the speed that the latency suggests
	maxLearningDrops    = 0.2   // share of dropped attempts above which no speed is measured
	healthPeriods       = 4.0   // window of the health counts, in periods
	minDropsToEject     = 3.0   // fewest dropped attempts that eject a replica
	ejectDropShare      = 0.35  // lowest share of dropped attempts that ejects a replica
	missingToEject      = 8.0   // missing responses after which a silent replica is ejected
	successesToReturn   = 2     // consecutive successful responses that end an ejection
	maxEjectedShare     = 0.4   // largest share of the fleet, or of a proxy's table, that is ejected at once
	pairDropShare       = 0.5   // lowest share of dropped attempts that ejects a replica at one proxy
	minPairDrops        = 2.0   // fewest drops of a pair that count as evidence by themselves
	maxChancePairs      = 0.1   // largest number of such pairs expected by chance
	minDropRate         = 0.001 // assumed lowest share of attempts dropped by chance
	pairPriorAttempts   = 2.0   // successful retries added to those of a replica's pairs
	ejectionPeriods     = 12.0  // first ejection of a replica at one proxy, in periods; doubles with each renewal
	maxEjectionMultiple = 16.0  // longest such ejection, as a multiple of the first
)

// review evaluates the statistics since the last review: health, then speeds, then admission levels. The rate of statistics
// is limited, so a replica may be reported less than once per period; statistics count by the time that they cover.
func (g *Governor) review(now Time, since time.Duration) { //nolint:gocognit // one pass over the replicas; a split would exceed the policy's line bound
	if !g.hasStats && g.statsPending { // the first statistics may cover time before the start
		since, g.hasStats = min(max(since, g.longestWindow), speedPeriods*g.cfg.period), true
	}
	periods := float64(since) / float64(g.cfg.period)
	speedKept, healthKept := decay(periods, speedPeriods), decay(periods, healthPeriods)
	f := fleetStats{kinds: map[KindID]speedSample{}}
	for _, r := range g.replicas {
		if r.newAttempts > 0 { //nolint:nestif // as above: a split costs lines over the policy's bound
			covered := float64(min(now-r.lastStatsAt, Time(r.newWindow))) / float64(g.cfg.period)
			r.lastStatsAt = now
			if r.newReports > 0 {
				if !r.loadKnown {
					r.load, r.loadKnown = max(r.reportedLoad(), g.meanLoad), true
				}
				r.load += (r.reportedLoad() - r.load) * (1 - decay(covered, smoothPeriods))
				if r.newDrops <= maxLearningDrops*r.newAttempts {
					kept := decay(covered, speedPeriods)
					r.latency = r.latency*kept + r.newLatency
					r.served = r.served*kept + r.newAttempts - r.newDrops
					r.busy = r.busy*kept + r.reportedLoad()*covered
				}
			}
		}
		r.attempts, r.drops = r.attempts*healthKept+r.newAttempts, r.drops*healthKept+r.newDrops
		r.recentAttempts = r.recentAttempts*decay(periods, g.cfg.idlePeriods) + r.newAttempts
		f.ready, f.ejected = f.ready+indicator(r.state == Ready), f.ejected+indicator(r.state == Ready && r.ejected)
		f.newLatency, f.latency, f.listed = f.newLatency+r.newLatency, f.latency+r.latency, f.listed+r.listed*r.served
		f.windows += r.newAttempts * float64(r.newWindow)
		f.attempts, f.drops = f.attempts+r.newAttempts, f.drops+r.newDrops
		f.windowAttempts, f.windowDrops = f.windowAttempts+r.attempts, f.windowDrops+r.drops
		f.served, f.busy, f.sent = f.served+r.served, f.busy+r.busy*r.listed, f.sent+r.sentWeight(common)
		k := f.kinds[r.kind]
		f.kinds[r.kind] = speedSample{k.served + r.served, k.busy + r.busy*r.listed}
	}
	if f.attempts > 0 {
		g.statsWindow += (max(time.Duration(f.windows/f.attempts), g.cfg.period) - g.statsWindow) / 2
	}
	g.updateHealth(now, &f)
	g.speed = f.served / max(f.busy, math.SmallestNonzeroFloat32)
	for _, r := range g.replicas {
		r.size = r.listed
		if g.speed > 0 {
			speed := speedSample{r.served, r.busy * r.listed}.relativeSpeed(g.speed, f.kinds[r.kind].relativeSpeed(g.speed, 1))
			r.size *= min(max(speed, 1/outlierFactor), outlierFactor)
			// A replica whose latency contradicts its measured speed reports less load than it has.
			meanLatency := f.latency / f.served
			maxSize := maxSpeedRatio * f.listed / f.served * meanLatency * (r.served + speedPriorFlows) / (r.latency + speedPriorFlows*meanLatency)
			if r.size > maxSize {
				r.size, r.load = maxSize, max(r.load, g.meanLoad)
			}
		}
		if r.queueDelay = max(r.queueDelay-since.Seconds(), 0); r.newReports > 0 && g.speed > 0 { // without reports, its queue is assumed to shrink
			r.queueDelay = r.newInFlight / r.newReports / (r.size * g.speed) * g.cfg.period.Seconds()
		}
		if r.loadKnown && r.state == Ready && !r.ejected {
			f.size, f.busySize = f.size+r.size, f.busySize+r.size*r.load
			if sent := r.sentWeight(common); r.newReports > 0 {
				f.reported, f.reportedLoad = f.reported+sent, f.reportedLoad+sent*r.reportedLoad()
			}
		}
		r.newAttempts, r.newDrops, r.newLoad, r.newReports, r.newWindow, r.newLatency, r.newInFlight = 0, 0, 0, 0, 0, 0, 0
	}
	g.dropShare = max(f.windowDrops/max(f.windowAttempts, 1), f.drops/max(f.attempts, 1))
	if f.size > 0 {
		g.meanLoad = f.busySize / f.size
		g.demand = max(g.meanLoad, f.attempts/periods/max(f.size*g.speed, math.SmallestNonzeroFloat32))
	}
	if f.reported > 0 {
		g.updateAdmission(now, &f)
	}
	g.reviews, g.reviewedAt, g.statsPending, g.newFlows, g.longestWindow = g.reviews+1, now, false, 0, 0
	for i := range g.groups {
		g.groups[i].flows *= speedKept
	}
	for _, t := range g.tables {
		t.flows *= speedKept
	}
}

// relativeSpeed is a speed as a multiple of the fleet's. With few flows it tends to the prior: the speed of a replica's kind,
// or of the fleet for a kind.
func (p speedSample) relativeSpeed(fleet, prior float64) float64 {
	return (p.served + speedPriorFlows) / (p.busy*fleet + speedPriorFlows/prior)
}

// restore adopts measurements of an earlier run in proportion to their trust, unless the replica has been measured since. A
// replica that was ejected is ejected again until it responds. Guards against uniform weights after a restart. Side effect:
// a replica that has recovered in the meantime starts with the trial share.
func (g *Governor) restore(e PriorMeasurement) {
	r := g.byID[e.Replica]
	if r == nil || r.loadKnown || r.served > 0 || !(e.Speed > 0 && e.Throughput > 0 && e.Trust >= 0 && e.Trust <= 1) {
		return
	}
	r.size = r.listed * math.Pow(min(max(e.Speed, 1/outlierFactor), outlierFactor), e.Trust)
	r.served, r.busy = speedPeriods*speedPriorFlows*e.Trust, speedPeriods*speedPriorFlows*e.Trust/e.Throughput
	r.ejected = e.Ejected && r.state == Ready
}

// updateHealth ejects replicas that drop attempts while no busier than the fleet, and counts missing responses. Guards
// against fast failures: a crash before discovery reports it, a cut path, a false report of zero load. Overloaded replicas
// are exempt, as their load lowers their weight already, and so is a replica if the others drop a similar share. If proxies
// hold more connections than a replica must accept, its drops count as refused connections and only reduce its share. An
// ejected replica keeps a trial share and returns by successful responses. Side effect: at low traffic, chance drops may
// eject a replica.
func (g *Governor) updateHealth(now Time, f *fleetStats) {
	for _, r := range g.replicas {
		succeeded := r.newAttempts - r.newDrops
		if succeeded <= 0 && f.sent > 0 && now-r.lastStatsAt > Time(2*g.statsWindow-g.cfg.period*5/4) { // or its statistics may be delayed
			r.missingResponses += f.attempts * r.sentWeight(common) / f.sent
		}
		if r.ejected {
			if r.successes += succeeded; r.newDrops > 0 {
				r.successes = 0
			}
			if r.successes >= successesToReturn {
				r.ejected, r.returnedAt, r.attempts, r.drops = false, now, 0, 0
			}
			continue
		}
		othersDropShare := (f.windowDrops - r.drops) / max(f.windowAttempts-r.attempts, 1)
		busy := r.newReports > 0 && r.reportedLoad() > g.meanLoad
		dropping := !busy && r.drops >= minDropsToEject && r.drops > r.attempts*max(ejectDropShare, outlierFactor*othersDropShare)
		connections := g.cfg.allProxies * (1 - math.Exp(-r.recentAttempts/float64(len(g.proxies)+1)))
		if r.refusedShare = 0; dropping && r.drops < r.attempts-1 && connections > g.cfg.minConnections {
			dropping, r.refusedShare = false, r.drops/r.attempts
		}
		if r.state == Ready && dropping && f.ejected < f.ready*maxEjectedShare {
			r.ejected, r.successes = true, 0
			f.ejected++
		}
	}
	g.ejectionsLeft = int(f.ready*maxEjectedShare - f.ejected)
}

// ejectUnresponsive ejects replicas with missing responses, once every zone that has reported the replica and still reports
// others has completed a round without it. Missing responses alone are not sufficient, as a review may run when only part of a
// round has arrived: with much traffic, hundreds of responses are missing after one missed review. A round is complete when the next one has begun, or when the collector pauses after about as many
// replicas as in the previous round. Guards against hung replicas and paths that are cut for all proxies. Skipped on late
// wake-ups, when the governor itself was stalled. Side effect: a governor that is always late ejects a hung replica only
// when attempts at it are dropped.
func (g *Governor) ejectUnresponsive(now Time) (changed bool) {
	for _, r := range g.replicas {
		if r.ejected || r.state != Ready || r.missingResponses < missingToEject || g.ejectionsLeft <= 0 {
			continue
		}
		reported, pending := false, false
		for i, z := range g.zones {
			if r.lastRounds[i] == 0 || now-z.lastStatsAt > Time(2*g.statsWindow) {
				continue
			}
			gap, quiet := z.round-r.lastRounds[i], now-z.lastStatsAt >= Time(g.cfg.period/8)
			reported, pending = true, pending || gap == 0 || gap == 1 && (!quiet || !z.complete())
		}
		if reported && !pending {
			r.ejected, r.successes, changed = true, 0, true
			g.ejectionsLeft--
		}
	}
	return changed
}

// evaluatePair ejects a replica at one proxy if attempts between the two are dropped far more often than at other replicas or
// other proxies. Guards against replicas that fail for a few proxies only, and paths cut between the two, which the
// statistics of a zone do not show. The drops must exceed what chance causes over all pairs, or pairs of the replica that
// dropped an attempt must keep dropping them. The ejection ends by time, as the pair yields no further evidence. A proxy keeps
// most of its table, and cold replicas are exempt. Side effect: chance drops cost a proxy one entry for a while.
func (g *Governor) evaluatePair(now Time, e PairStats) {
	p, r := g.proxies[e.Proxy], g.byID[e.Replica]
	if p == nil || r == nil || r.state != Ready || r.ejected || !g.warm(now, r) || !(e.Attempts >= e.Dropped) {
		return
	}
	dropShare, elsewhere, s := e.Dropped/e.Attempts, max(e.ReplicaDropShare, e.ProxyDropShare), p.ejectionOf(r)
	expectedByChance := math.Pow(max(elsewhere, minDropRate), e.Dropped) * float64(len(g.proxies)*len(g.replicas))
	mayBeChance := e.Dropped < minPairDrops || expectedByChance > maxChancePairs
	if s != nil && s.active || !(dropShare >= pairDropShare) || dropShare < outlierFactor*elsewhere ||
		mayBeChance && e.RetriedDropped < pairDropShare*(e.RetriedAttempts+pairPriorAttempts) || g.ejectedShare(p, r) > maxEjectedShare ||
		g.reserve(now, []*proxy{p}, 1, 1, g.cfg.pacedEntries, g.cfg.messageLimit/2) == 0 {
		return
	}
	duration := Time(ejectionPeriods * float64(g.cfg.period))
	if s != nil {
		duration = min(2*s.duration, duration*maxEjectionMultiple)
	}
	g.ejectPair(now, p, r, duration)
}

// endPairEjections ends ejections at single proxies that have expired or that leave the proxy too little of its table.
func (g *Governor) endPairEjections(now Time) {
	for _, p := range g.ejecting {
		for i := range p.ejections {
			s := &p.ejections[i]
			if s.active && g.byID[s.replica.id] == s.replica && (now >= s.expiresAt || g.ejectedShare(p, nil) > maxEjectedShare) &&
				g.reserve(now, []*proxy{p}, 1, 1, g.cfg.entryCapacity, g.cfg.messageLimit) > 0 {
				g.readmitPair(p, s)
			}
		}
	}
	g.dropStaleEjections(now)
}
