package rules

// This file has Step and the handling of its events. The decisions are in health.go (ejection), weigh.go (weights) and
// publish.go (what is sent, and when). Step is deterministic: the same events always give the same orders. It makes no
// decisions before a Start event, nor for sites with slices.
//
// The reported load of each replica is smoothed, the spare capacity (size times idle share) determines its weight, and
// once per period the changed weights are sent, largest change first. The comments on the exceptions to this state which
// failure they guard against and which side effects they have.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	pacedShare         = 1.0 / 3 // seconds of channel throughput that periodic changes may occupy; as on the design page
	coldOverloadShare  = 0.75    // share of a cold replica's overload limit that it may receive when other replicas are at their limit
	minRoundPeriods    = 0.75    // shortest reporting round of a zone, in periods
	completeRoundShare = 0.8     // a round is complete with this share of the previous round's replicas
	maxChannelFill     = 0.9     // share of the channel capacity that is used
	maxSlowdown        = 10.0    // slowdown of the channel up to which queued entries are counted correctly
	removeDelayShare   = 0.25    // share of the drain grace for which removals may be delayed
	listRetryDivisor   = 20      // a failed list request is repeated after 1/20 to 2/20 of the deadline
	fillShare          = 2.0 / 3 // like pacedShare, for replicas outside a table's subset
)

// Step handles the events that occurred at now and returns the resulting orders.
func (g *Governor) Step(now Time, events []Event) []Order {
	g.orderCount, g.orders, g.stepEntries, g.stepMessages = g.orderCount+len(g.orders), nil, 0, 0
	g.step++
	var listed, woken, joined, lateWake bool
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
				woken, lateWake = true, now-g.timerAt > Time(g.cfg.period/4)
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
			g.evaluatePair(now, e)
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
		g.endPairEjections(now)
	}
	ejected := woken && !lateWake && g.ejectUnresponsive(now)
	if g.listRevision > 0 && (due || listed || ejected) {
		g.updateWeights(now)
	}
	if g.listRevision > 0 && (due || listed || woken || joined && !g.hasStats) {
		g.publish(now, due)
	} else if g.listRevision > 0 && joined {
		g.bindProxies(now)
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
	queueTime := s.EntryCapacity / s.EntryRate * maxSlowdown * float64(time.Second)
	g.cfg = config{
		proxies: float64(s.Proxies) / float64(max(s.Governors, 1)), warmupTime: s.WarmupTime, coldCapacity: s.ColdCapacity,
		listOnRequest: s.ListOnRequest, canShed: s.Levels == LevelShare, avoidAfter: float64(s.FailuresToAvoid),
		openLevel: 1 + indicator(s.Levels == LevelRate)*(math.MaxInt32-1), // a rate above that of any proxy
		period:    s.Period, entryCapacity: s.EntryCapacity * maxChannelFill, pacedEntries: s.EntryRate * pacedShare,
		drainEntries: min(s.EntryRate*s.DrainGrace.Seconds()/2, s.EntryCapacity*maxChannelFill),
		fillEntries:  s.EntryRate * min(fillShare, s.DrainGrace.Seconds()*removeDelayShare), messageEntries: s.MessageEntries + 1,
		batchLifetime: time.Duration(queueTime) + s.MaxMessageDelay, messageLimit: cmp.Or(s.MessageLimit, math.MaxInt32),
		messageSpan: s.MessageSpan, listRetryWait: s.ListRequestDeadline / listRetryDivisor,
		removeWait: Time(float64(s.DrainGrace) * removeDelayShare), allProxies: float64(s.Proxies),
		idlePeriods: float64(s.ConnectionIdleTimeout) / float64(s.Period), minConnections: cmp.Or(s.MinConnections, math.MaxFloat64),
		coldEntries: s.EntryRate * s.OverloadTime.Seconds() * removeDelayShare,
		coldMargin:  max(math.Sqrt(s.OverloadMultiple*coldOverloadShare/coldLoadShare), 1),
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
	g.meanLoad, g.statsWindow = 0.5, s.Period // assumptions until the first statistics
	g.bindAfter = now + Time(s.Period*levelDelay)
	g.admittedShares = slices.Repeat([]float64{1}, 4*levelDelay)
	g.zones = make([]zoneRounds, s.Zones)
	g.setTimer(now)
}

func (g *Governor) setTimer(now Time) {
	g.timerID, g.timerAt = g.timerID+1, now+Time(g.cfg.period/4)
	g.orders = append(g.orders, WakeAfter{g.cfg.period / 4, g.timerID})
}

// updateList applies an update from discovery. The state of a replica that has restarted is reset.
func (g *Governor) updateList(now Time, e List) {
	if !g.started || g.tables == nil && len(e.Entries) == 0 { // no tables can be created yet
		return
	}
	if e.Scope == Failed {
		g.watching, g.listRetryAt = false, now+g.randomDuration(g.cfg.listRetryWait, 2*g.cfg.listRetryWait)
		return
	}
	g.listRevision, g.listedAt, g.watching = g.listRevision+1, now, e.Scope != Cached
	if g.tables == nil {
		g.createTables(float64(len(e.Entries)))
	}
	for _, n := range e.Entries {
		r := g.byID[n.Replica]
		if r == nil {
			r = &replica{id: n.Replica, sent: make([]float64, len(g.tables)), lastRounds: make([]int, len(g.zones))}
			g.byID[r.id] = r
			g.replicas = append(g.replicas, r)
		}
		if n.StartedAt != r.started || n.State == Ready && r.state == Deregistered {
			clear(r.lastRounds)
			*r = replica{id: r.id, started: n.StartedAt, lastStatsAt: now, table: r.table, sent: r.sent, tables: r.tables,
				lastRounds: r.lastRounds}
		}
		r.zone, r.kind, r.state, r.listed, r.listedIn = n.Zone, n.Kind, n.State, n.Listed, g.listRevision
		if !(r.listed > 0) || math.IsInf(r.listed, 0) {
			r.listed = 1
		}
		if r.state != Ready {
			g.bindAfter = now // tables of an earlier run may still contain it
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
		r.missingResponses = 0
	}
	g.statsPending, g.longestWindow, r.newWindow = true, max(g.longestWindow, e.Window), max(r.newWindow, e.Window)
	r.newAttempts, r.newDrops = r.newAttempts+float64(e.Attempts), r.newDrops+float64(e.Dropped)
	r.newLatency += e.MeanLatency.Seconds() * float64(e.Attempts-e.Dropped)
	known := indicator(e.Report.Utilization >= 0)
	r.newLoad, r.newReports = r.newLoad+known*min(e.Report.Utilization, 1), r.newReports+known
	r.newInFlight += known * max(e.Report.InFlight, 0)
}

// requestList subscribes to the list if it must be requested, and repeats the request after a failure or a timeout. The
// delay is random, so that governors do not all send requests at the same time.
func (g *Governor) requestList(now Time) {
	if g.cfg.listOnRequest && !g.watching && now >= g.listRetryAt {
		g.orders = append(g.orders, WatchList{On: true})
		g.listRetryAt = now + g.randomDuration(4*g.cfg.listRetryWait, 6*g.cfg.listRetryWait)
	}
}
