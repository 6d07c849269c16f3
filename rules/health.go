package rules // Which replicas are ejected, and which return.

import (
	"math"
	"time"
)

const (
	smoothPeriods       = 12.0  // load is smoothed over so many report periods (design: 5)
	speedPriorFlows     = 8.0   // flows after which a replica's own speed counts as much as its kind's
	maxSpeedRatio       = 1.5   // a measured speed is believed up to so many times what answer times tell
	maxLearningDrops    = 0.2   // share of dropped attempts above which a replica's answers do not tell its speed
	healthPeriods       = 4.0   // answers count in a replica's health for about so many periods
	minDropsToEject     = 3.0   // no judgement on fewer dropped attempts than this
	ejectDropShare      = 0.35  // share of dropped attempts from which a replica may be ejected
	overdueToEject      = 8.0   // responses owed after which silence counts
	successesToReturn   = 2     // successful responses in a row after which it returns
	maxEjectedShare     = 0.4   // part of the fleet, or of one proxy's table, that may be ejected at once
	pairDropShare       = 0.5   // share of dropped attempts from which a pair of proxy and replica may be bad
	minPairDrops        = 2.0   // no judgement on a pair by fewer drops of its own than this
	maxChancePairs      = 0.1   // nor where chance alone would bring so many such pairs
	minDropRate         = 0.001 // share of attempts that any pair is taken to drop by chance
	pairPriorAttempts   = 2.0   // retries at pairs of a replica are judged with so many successful ones added
	ejectionPeriods     = 12.0  // a proxy ejects a replica for so long, twice as long each time that it fails on
	maxEjectionMultiple = 16.0  // and so many times as long at the most
)

// review takes in the statistics that came since the last one: health first, then speeds, then how much to let
// in. Statistics come capped, so a replica may be heard of less than once a period; what is heard is judged by
// the time that it covers.
func (g *Governor) review(now Time, since time.Duration) { //nolint:gocognit // one pass over the replicas; a split would exceed the policy's line bound
	if !g.hasStats && g.statsPending { // the first statistics may reach back to before our start
		since, g.hasStats = min(max(since, g.longestWindow), speedPeriods*g.cfg.period), true
	}
	periods := float64(since) / float64(g.cfg.period)
	speedKept, healthKept := decay(periods, speedPeriods), decay(periods, healthPeriods)
	f := fleetStats{kinds: map[KindID]speedSample{}}
	for _, r := range g.replicas {
		if r.newAttempts > 0 { //nolint:nestif // as above: a split costs lines over the policy's bound
			heard := float64(min(now-r.lastStatsAt, Time(r.newWindow))) / float64(g.cfg.period)
			r.lastStatsAt = now
			if r.newReports > 0 {
				if !r.loadKnown {
					r.load, r.loadKnown = max(r.reportedLoad(), g.meanLoad), true
				}
				r.load += (r.reportedLoad() - r.load) * (1 - decay(heard, smoothPeriods))
				if r.newDrops <= maxLearningDrops*r.newAttempts {
					kept := decay(heard, speedPeriods)
					r.latency = r.latency*kept + r.newLatency
					r.served = r.served*kept + r.newAttempts - r.newDrops
					r.busy = r.busy*kept + r.reportedLoad()*heard
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
	g.health(now, &f)
	g.speed = f.served / max(f.busy, math.SmallestNonzeroFloat32)
	for _, r := range g.replicas {
		r.size = r.listed
		if g.speed > 0 {
			own := speedSample{r.served, r.busy * r.listed}.relativeSpeed(g.speed, f.kinds[r.kind].relativeSpeed(g.speed, 1))
			r.size *= min(max(own, 1/outlierFactor), outlierFactor)
			// A replica that answers too slowly for its measured speed shows less load than it has.
			usual := f.latency / f.served
			most := maxSpeedRatio * f.listed / f.served * usual * (r.served + speedPriorFlows) / (r.latency + speedPriorFlows*usual)
			if r.size > most {
				r.size, r.load = most, max(r.load, g.meanLoad)
			}
		}
		if r.queueDelay = max(r.queueDelay-since.Seconds(), 0); r.newReports > 0 && g.speed > 0 { // else it works off what it has
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
		g.setLevel(now, &f)
	}
	g.reviews, g.reviewedAt, g.statsPending, g.newFlows, g.longestWindow = g.reviews+1, now, false, 0, 0
	for i := range g.groups {
		g.groups[i].flows *= speedKept
	}
	for _, t := range g.tables {
		t.flows *= speedKept
	}
}

// relativeSpeed is a speed as a multiple of the fleet's. Where few flows tell, what is alike does: for a replica its
// kind, for a kind the fleet.
func (p speedSample) relativeSpeed(fleet, alike float64) float64 {
	return (p.served + speedPriorFlows) / (p.busy*fleet + speedPriorFlows/alike)
}

// restore takes on what an earlier run had measured of a replica, as far as it is trusted and nothing is
// heard yet. One ejected before is ejected again; successful responses bring it back. Protects against tables of which nothing is
// learnt after a restart. Harm: one that has recovered meanwhile gets a trial share at first.
func (g *Governor) restore(e PriorMeasurement) {
	r := g.byID[e.Replica]
	if r == nil || r.loadKnown || r.served > 0 || !(e.Speed > 0 && e.Throughput > 0 && e.Trust >= 0 && e.Trust <= 1) {
		return
	}
	r.size = r.listed * math.Pow(min(max(e.Speed, 1/outlierFactor), outlierFactor), e.Trust)
	r.served, r.busy = speedPeriods*speedPriorFlows*e.Trust, speedPeriods*speedPriorFlows*e.Trust/e.Throughput
	r.ejected = e.Ejected && r.state == Ready
}

// health ejects replicas that drop flows though less busy than the fleet, and those silent though flows
// go there: against fast drops and hangs; it also catches a crash before the list tells, a cut path, and a
// false report of zero load. The load of full ones has lowered their weight already. When all others drop as
// much, the fault is shared. One that answers, though proxies keep more connections to it than replicas must
// accept, refuses some: it gets less, else the fastest would be ejected first. One ejected keeps a trial share
// and returns by its successful responses. Harm: a few drops by chance on a quiet day eject one for some seconds.
func (g *Governor) health(now Time, f *fleetStats) {
	for _, r := range g.replicas {
		good := r.newAttempts - r.newDrops
		if good <= 0 && f.sent > 0 && now-r.lastStatsAt > Time(2*g.statsWindow-g.cfg.period*5/4) { // or its statistics may wait
			r.overdue += f.attempts * r.sentWeight(common) / f.sent
		}
		if r.ejected {
			if r.successes += good; r.newDrops > 0 {
				r.successes = 0
			}
			if r.successes >= successesToReturn {
				r.ejected, r.returnedAt, r.attempts, r.drops = false, now, 0, 0
			}
			continue
		}
		rest := (f.windowDrops - r.drops) / max(f.windowAttempts-r.attempts, 1)
		full := r.newReports > 0 && r.reportedLoad() > g.meanLoad
		dropping := !full && r.drops >= minDropsToEject && r.drops > r.attempts*max(ejectDropShare, outlierFactor*rest)
		links := g.cfg.allProxies * (1 - math.Exp(-r.recentAttempts/float64(len(g.proxies)+1)))
		if r.refusedShare = 0; dropping && r.drops < r.attempts-1 && links > g.cfg.minConnections {
			dropping, r.refusedShare = false, r.drops/r.attempts
		}
		if r.state == Ready && dropping && f.ejected < f.ready*maxEjectedShare {
			r.ejected, r.successes = true, 0
			f.ejected++
		}
	}
	g.ejectionsLeft = int(f.ready*maxEjectedShare - f.ejected)
}

// ejectSilent ejects replicas that owe responses, once every zone that has reported one, and still reports, has
// gone a whole round without a report of it. So both must tell: the traffic, by responses owed, and the time, by
// what was heard meanwhile. A review is due when a round begins and hears the head of it alone; what it
// missed comes a moment later, and at much traffic one missed review is owed hundreds of answers. A round is
// over when the next has begun, or when its collector is quiet after about as many replicas as last time.
// Protects against hangs; it also catches a path that is cut for all. Not judged on a wake-up that comes late: then it
// is the governor that was stalled. Harm: a governor that is always late leaves a hung replica in until attempts there are
// dropped.
func (g *Governor) ejectSilent(now Time) (marked bool) {
	for _, r := range g.replicas {
		if r.ejected || r.state != Ready || r.overdue < overdueToEject || g.ejectionsLeft <= 0 {
			continue
		}
		spoke, still := false, false
		for i, z := range g.zones {
			if r.rounds[i] == 0 || now-z.lastStatsAt > Time(2*g.statsWindow) {
				continue
			}
			gap, quiet := z.round-r.rounds[i], now-z.lastStatsAt >= Time(g.cfg.period/8)
			spoke, still = true, still || gap == 0 || gap == 1 && (!quiet || !z.complete())
		}
		if spoke && !still {
			r.ejected, r.successes, marked = true, 0, true
			g.ejectionsLeft--
		}
	}
	return marked
}

// judgePair ejects a replica at one proxy, where attempts between the two are dropped that neither drops
// elsewhere: against a replica that fails for a few proxies only, whose drops the statistics of a zone hide; it
// also catches a path cut between the two. A proxy that drops attempts at many replicas has a bad path of its
// own, and a replica that drops them for many is for health to judge. Drops must be more than chance brings
// all pairs together, or those that dropped one there must drop further ones. Nothing is heard of a pair shut
// out, so it ends by time. A proxy keeps most of its table, and cold replicas are left alone. Harm: drops by
// chance cost a proxy one entry for a while.
func (g *Governor) judgePair(now Time, e PairStats) {
	p, r := g.proxies[e.Proxy], g.byID[e.Replica]
	if p == nil || r == nil || r.state != Ready || r.ejected || !g.warm(now, r) || !(e.Attempts >= e.Dropped) {
		return
	}
	share, usual, s := e.Dropped/e.Attempts, max(e.ReplicaDropShare, e.ProxyDropShare), p.ejectionOf(r)
	byChance := math.Pow(max(usual, minDropRate), e.Dropped) * float64(len(g.proxies)*len(g.replicas))
	chance := e.Dropped < minPairDrops || byChance > maxChancePairs
	if s != nil && s.active || !(share >= pairDropShare) || share < outlierFactor*usual ||
		chance && e.RetriedDropped < pairDropShare*(e.RetriedAttempts+pairPriorAttempts) || g.ejectedShare(p, r) > maxEjectedShare ||
		g.reserve(now, []*proxy{p}, 1, 1, g.cfg.pacedEntries, g.cfg.messageLimit/2) == 0 {
		return
	}
	span := Time(ejectionPeriods * float64(g.cfg.period))
	if s != nil {
		span = min(2*s.duration, span*maxEjectionMultiple)
	}
	g.ejectPair(now, p, r, span)
}

// releaseEjections lets replicas in again at single proxies, when their time is over or too little else is left.
func (g *Governor) releaseEjections(now Time) {
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
