package rules

// The decisions of a governor stand in this file (Step and its input), health.go, weigh.go and publish.go. A caller
// keeps one Governor for each instance, whose zero value is ready, and hands it what happened, in order:
//
//	orders := g.Step(now, events)
//
// The orders take effect at now, in order; the same events always give the same orders. Nothing is decided
// before a Start event has brought the settings. Sites with slices are left undecided: Step orders nothing.
//
// The ordinary path: each replica's reported load is smoothed, its spare capacity (its size x the share not
// busy) sets its weight, and once a report period the changed weights are sent, largest change first. The
// guards around it say what they protect against, what else they should catch, and when they could do harm.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// "design" marks what the design page names, with its value where ours differs.
const (
	pacedShare         = 1.0 / 3 // part of a second of channel that a period's changes may fill (design)
	coldOverloadPart   = 0.75    // of what pushes a cold replica over, it may be sent where others can't take theirs
	minRoundPeriods    = 0.75    // periods that a zone's round takes at the least
	completeRoundShare = 0.8     // with so many replicas by those of the round before, a quiet zone has said all
	maxChannelFill     = 0.9     // part of the entries that may wait, by our count of them
	maxSlowdown        = 10.0    // a channel so many times slower is still counted right
	removeShare        = 0.25    // part of the drain grace that removals may wait for others, or for naming
	listRetryParts     = 20      // a failed call for the list is made again after one or two such parts of the time
	fillShare          = 2.0 / 3 // the same as pacedShare for naming replicas in tables that prefer others
)

// Step takes what happened at now and returns what is to be done.
func (g *Governor) Step(now Time, events []Event) []Order {
	g.orderCount, g.orders, g.stepEntries, g.stepMessages = g.orderCount+len(g.orders), nil, 0, 0
	g.step++
	var listed, woken, joined, held bool
	for _, e := range events {
		switch e := e.(type) {
		case Start:
			g.start(now, e)
		case Killed:
			*g = Governor{}
		case List:
			listed = true
			g.updateList(now, e)
		case Wake:
			if g.started && e.TimerID == g.timerID {
				woken, held = true, now-g.timerAt > Time(g.cfg.period/4)
				g.setTimer(now)
			}
		case Joined:
			joined = true
			g.join(e)
		case Left:
			g.leave(e.Proxy)
		case Applied:
			g.acknowledge(e)
		case EndpointStats:
			g.recordStats(now, e)
		case GroupTraffic:
			g.countTraffic(e)
		case PairStats:
			g.judgePair(now, e)
		case PriorMeasurement:
			g.restore(e)
		}
	}
	if !g.started {
		return g.orders
	}
	since := time.Duration(now - g.reviewedAt)
	due := g.statsPending && since >= g.cfg.period*3/4 || since >= g.cfg.period*3/2
	if due {
		g.review(now, since)
		g.releaseEjections(now)
	}
	marked := woken && !held && g.ejectSilent(now)
	if g.listRevision > 0 && (due || listed || marked) {
		g.weigh(now)
	}
	if g.listRevision > 0 && (due || listed || woken || joined && !g.hasStats) {
		g.publish(now, due)
	} else if g.listRevision > 0 && joined {
		g.bind(now)
	}
	g.recordBatch(now)
	g.requestList(now)
	return g.orders
}

func (g *Governor) start(now Time, e Start) {
	s := e.Settings
	*g = Governor{started: s.Slices == 0, seed: e.Seed, reviewedAt: now, listRetryAt: now, orders: g.orders,
		byID: map[ReplicaID]*replica{}, proxies: map[ProxyID]*proxy{}}
	if !g.started {
		g.orders = append(g.orders, Log{"a site with slices: this module leaves it undecided"})
		return
	}
	span := s.EntryCapacity / s.EntryRate * maxSlowdown * float64(time.Second)
	g.cfg = config{
		proxies: float64(s.Proxies) / float64(max(s.Governors, 1)), warmupTime: s.WarmupTime, coldCapacity: s.ColdCapacity,
		listOnRequest: s.ListOnRequest, canShed: s.Levels == LevelShare, avoidAfter: float64(s.FailuresToAvoid),
		openLevel: 1 + indicator(s.Levels == LevelRate)*(math.MaxInt32-1), // a rate: more than any proxy gets
		period:    s.Period, entryCapacity: s.EntryCapacity * maxChannelFill, pacedEntries: s.EntryRate * pacedShare,
		drainEntries: min(s.EntryRate*s.DrainGrace.Seconds()/2, s.EntryCapacity*maxChannelFill),
		fillEntries:  s.EntryRate * min(fillShare, s.DrainGrace.Seconds()*removeShare), messageEntries: s.MessageEntries + 1,
		batchLifetime: time.Duration(span) + s.MaxMessageDelay, messageLimit: cmp.Or(s.MessageLimit, math.MaxInt32),
		messageSpan: s.MessageSpan, listRetryWait: s.ListRequestDeadline / listRetryParts,
		removeWait: Time(float64(s.DrainGrace) * removeShare), allProxies: float64(s.Proxies),
		idlePeriods: float64(s.ConnectionIdleTimeout) / float64(s.Period), minConnections: cmp.Or(s.MinConnections, math.MaxFloat64),
		coldEntries: s.EntryRate * s.OverloadTime.Seconds() * removeShare,
		coldMargin:  max(math.Sqrt(s.OverloadMultiple*coldOverloadPart/coldLoadShare), 1),
	}
	for i, tg := range s.Groups {
		kind := common
		if tg.HomeOnly {
			kind, g.cfg.zones = home, s.Zones
		}
		g.cfg.groups[kind] |= 1 << i
		budget := max(tg.LatencyBudget.Seconds(), math.SmallestNonzeroFloat32)
		g.cfg.minBudget = min(cmp.Or(g.cfg.minBudget, budget), budget)
		g.groups = append(g.groups, group{id: GroupID(i), budget: budget, utilityRate: tg.Utility / budget})
	}
	slices.SortStableFunc(g.groups, func(a, b group) int { return cmp.Compare(a.utilityRate, b.utilityRate) })
	g.meanLoad, g.statsWindow = 0.5, s.Period // guesses until the first statistics
	g.bindAfter = now + Time(s.Period*levelDelay)
	g.admitted = slices.Repeat([]float64{1}, 4*levelDelay)
	g.zones = make([]zoneRounds, s.Zones)
	g.setTimer(now)
}

func (g *Governor) setTimer(now Time) {
	g.timerID, g.timerAt = g.timerID+1, now+Time(g.cfg.period/4)
	g.orders = append(g.orders, WakeAfter{g.cfg.period / 4, g.timerID})
}

// updateList takes in an update from discovery. A replica that started anew begins as an unknown one.
func (g *Governor) updateList(now Time, e List) {
	if !g.started || g.tables == nil && len(e.Entries) == 0 { // nothing to go by yet
		return
	}
	if e.Scope == Failed {
		g.observing, g.listRetryAt = false, now+g.randomDuration(g.cfg.listRetryWait, 2*g.cfg.listRetryWait)
		return
	}
	g.listRevision, g.listedAt, g.observing = g.listRevision+1, now, e.Scope != Cached
	if g.tables == nil {
		g.createTables(float64(len(e.Entries)))
	}
	for _, n := range e.Entries {
		r := g.byID[n.Replica]
		if r == nil {
			r = &replica{id: n.Replica, sent: make([]float64, len(g.tables)), rounds: make([]int, len(g.zones))}
			g.byID[r.id] = r
			g.replicas = append(g.replicas, r)
		}
		if n.StartedAt != r.started || n.State == Ready && r.state == Deregistered {
			clear(r.rounds)
			*r = replica{id: r.id, started: n.StartedAt, lastStatsAt: now, table: r.table, sent: r.sent, tables: r.tables,
				rounds: r.rounds}
		}
		r.zone, r.kind, r.state, r.listed, r.listedIn = n.Zone, n.Kind, n.State, n.Listed, g.listRevision
		if !(r.listed > 0) || math.IsInf(r.listed, 0) {
			r.listed = 1
		}
		if r.state != Ready {
			g.bindAfter = now // what proxies hold may still send there
		}
	}
	for _, r := range g.replicas {
		if e.Scope != Changes && r.listedIn != g.listRevision {
			r.state, g.bindAfter = Deregistered, now
		}
	}
}

func (g *Governor) recordStats(now Time, e EndpointStats) {
	r := g.byID[e.Replica]
	if r == nil || e.Attempts <= 0 || e.Dropped < 0 || e.Dropped > e.Attempts || e.Window <= 0 {
		return
	}
	if g.trackRound(now, r, e.Zone); e.Dropped < e.Attempts {
		r.overdue = 0
	}
	g.statsPending, g.longestWindow, r.newWindow = true, max(g.longestWindow, e.Window), max(r.newWindow, e.Window)
	r.newAttempts, r.newDrops = r.newAttempts+float64(e.Attempts), r.newDrops+float64(e.Dropped)
	r.newLatency += e.MeanLatency.Seconds() * float64(e.Attempts-e.Dropped)
	known := indicator(e.Report.Utilization >= 0)
	r.newLoad, r.newReports = r.newLoad+known*min(e.Report.Utilization, 1), r.newReports+known
	r.newInFlight += known * max(e.Report.InFlight, 0)
}

// requestList keeps the list coming where it must be asked for: again after a failure or no answer, after a wait
// drawn by chance so that governors do not all ask at once.
func (g *Governor) requestList(now Time) {
	if g.cfg.listOnRequest && !g.observing && now >= g.listRetryAt {
		g.orders = append(g.orders, WatchList{On: true})
		g.listRetryAt = now + g.randomDuration(4*g.cfg.listRetryWait, 6*g.cfg.listRetryWait)
	}
}
