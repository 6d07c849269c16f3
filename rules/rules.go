package rules

// This file holds every decision of a governor; api.go holds the interface, state.go the records. A caller
// keeps one Governor for each instance (the zero value is ready) and hands it what happened, in order:
//
//	orders := g.Step(now, events)
//
// The orders take effect at now, in order; the same events always give the same orders. Nothing is decided
// before a Start event has brought the settings. Sites with slices are left undecided: Step orders nothing.
//
// The ordinary path: each replica's reported load is smoothed, its spare capacity (its size x the share not
// busy) sets its weight, and once a report period the changed lines go out, largest change first. The
// guards around it say what they are against, what else they should catch, and when they could do harm.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// "design" marks what the design page names, with its value where ours differs.
const (
	smoothPeriods = 12.0    // load is smoothed over so many report periods (design: 5)
	spareFloor    = 0.35    // least share of a replica taken to be spare (design: 0.05)
	skipChange    = 0.1     // changes below this part of a weight are not sent (design)
	pacedShare    = 1.0 / 3 // part of a second of channel that a period's changes may fill (design)
	rampFrom      = 0.1     // a new replica's first part of its fair share (design)
	rampSpan      = 5.0 / 9 // the ramp's length by the longest warm-up; 10 s where that is 18 s (design)
	coldFill      = 0.8     // part of a cold replica's least capacity that it may be sent
	fallPart      = 0.75    // of what pushes a cold replica over, it may be sent where others can't take theirs
	avoidShare    = 0.6     // with this share of tries dropped, a cold replica gets no line; less in small parts
	avoidSoon     = 2.0     // all the less, as proxies need a part of the time until sums tell to avoid others
	speedPeriods  = 8.0     // speeds, and shares of traffic groups, are learnt over so many periods
	speedFlows    = 8.0     // flows after which a replica's own speed counts as much as its kind's
	doubtAbove    = 1.5     // a measured speed is believed up to so many times what answer times tell
	taughtDrops   = 0.2     // share of dropped tries above which a replica's answers do not tell its speed
	healthPeriods = 4.0     // answers count in a replica's health for about so many periods
	dropsToJudge  = 3.0     // no judgement on fewer dropped tries than this
	dropShareBad  = 0.35    // share of dropped tries from which a replica may be held out
	manyTimes     = 3.0     // dropping so many times more than the rest is bad; bounds a measured speed too
	owedToJudge   = 8.0     // answers owed after which silence counts
	roundLeast    = 0.75    // periods that a zone's round takes at the least
	wholeRound    = 0.8     // with so many replicas by those of the round before, a quiet zone has said all
	trickle       = 0.15    // part of its fair share that a replica held out still gets
	goodToReturn  = 2       // good answers in a row after which it returns
	outMost       = 0.4     // part of the fleet, or of one proxy's table, that may be held out at once
	pairShare     = 0.5     // share of dropped tries from which a pair of proxy and replica may be bad
	pairDrops     = 2.0     // no judgement on a pair by fewer drops of its own than this
	pairDoubt     = 0.1     // nor where chance alone would bring so many such pairs
	leastRate     = 0.001   // share of tries that any pair is taken to drop by chance
	pairPrior     = 2.0     // further tries at pairs of a replica are judged with so many good ones added
	shunPeriods   = 12.0    // a proxy shuts a replica out for so long, twice as long each time that it fails on
	shunsMost     = 16.0    // and so many times as long at the most
	loadWanted    = 0.8     // flows are blocked to keep the fleet at this load
	letDelay      = 3       // reviews until the sums show what a changed level did
	fillMost      = 0.9     // part of the lines that may wait, by our count of them
	slowMost      = 10.0    // a channel so many times slower is still counted right
	removeShare   = 0.25    // part of the drain grace that removals may wait for others, or for naming
	restartLevel  = 0.5     // what a restarted governor lets in until its first sums
	levelLeast    = 0.05    // what is always let in of a traffic group
	jamLoad       = 1.2     // load, raised by drops, from which a fleet that can block nothing counts as jammed
	askParts      = 20      // a failed call for the list is made again after one or two such parts of the time
	fillShare     = 2.0 / 3 // the same as pacedShare for naming replicas in tables that lean on others
	tableLeast    = 5.0     // there are no more tables than one for so many proxies
	partLeast     = 8.0     // a table leans on so many replicas or more
	restShare     = 0.05    // by a table's part, what all replicas outside it weigh in it
	evenParts     = 1.25    // a part has at most so many times the spare capacity of another, by their flows
)

// Step takes what happened at now and returns what is to be done.
func (g *Governor) Step(now Time, events []Event) []Order {
	g.ordered, g.orders, g.lines, g.written = g.ordered+len(g.orders), nil, 0, 0
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
			g.list(now, e)
		case Wake:
			if g.on && e.Mark == g.mark {
				woken, held = true, now-g.wakeAt > Time(g.fig.period/4)
				g.wake(now)
			}
		case Joined:
			joined = true
			g.join(e)
		case Left:
			g.leave(e.Proxy)
		case Applied:
			g.confirm(e)
		case Sums:
			g.sums(now, e)
		case Intake:
			g.intake(e)
		case Pair:
			g.judge(now, e)
		case Recalled:
			g.recall(e)
		}
	}
	if !g.on {
		return g.orders
	}
	since := time.Duration(now - g.reviewed)
	due := g.sumsCame && since >= g.fig.period*3/4 || since >= g.fig.period*3/2
	if due {
		g.review(now, since)
		g.release(now)
	}
	marked := woken && !held && g.silence(now)
	if g.lists > 0 && (due || listed || marked) {
		g.weigh(now)
	}
	if g.lists > 0 && (due || listed || woken || joined && !g.taught) {
		g.publish(now, due)
	} else if g.lists > 0 && joined {
		g.bind(now)
	}
	g.book(now)
	g.follow(now)
	return g.orders
}

func (g *Governor) start(now Time, e Start) {
	s := e.Settings
	*g = Governor{on: s.Slices == 0, seed: e.Seed, reviewed: now, askAt: now, orders: g.orders,
		byID: map[ReplicaID]*replica{}, proxies: map[ProxyID]*proxy{}}
	if !g.on {
		g.orders = append(g.orders, Log{"a site with slices: this module leaves it undecided"})
		return
	}
	span := s.LineCap / s.LinePace * slowMost * float64(time.Second)
	g.fig = figures{
		proxies: float64(s.Proxies) / float64(max(s.Governors, 1)), warmAfter: s.WarmAfter, coldFrom: s.ColdFrom,
		onRequest: s.ListOnRequest, blocks: s.Levels == LevelShare, fails: float64(s.FailsToAvoid),
		unblocked: 1 + one(s.Levels == LevelRate)*(math.MaxInt32-1), // a rate: more than any proxy gets
		period:    s.Period, lineCap: s.LineCap * fillMost, pacedLines: s.LinePace * pacedShare,
		leaveLines: min(s.LinePace*s.DrainGrace.Seconds()/2, s.LineCap*fillMost),
		fillLines:  s.LinePace * min(fillShare, s.DrainGrace.Seconds()*removeShare), head: s.HeadLines + 1,
		ledgerSpan: time.Duration(span) + s.TravelMost, messageCap: cmp.Or(s.MessageCap, math.MaxInt32),
		messageSpan: s.MessageSpan, askWait: s.AskWithin / askParts,
		removeWait: Time(float64(s.DrainGrace) * removeShare), allProxies: float64(s.Proxies),
		linkPeriods: float64(s.LinkIdle) / float64(s.Period),
		links:       cmp.Or(s.LinksLeast, math.MaxFloat64),
		room:        max(math.Sqrt(s.FallMultiple*fallPart/coldFill), 1),
	}
	for i, tg := range s.Groups {
		kind := common
		if tg.HomeOnly {
			kind, g.fig.zones = home, s.Zones
		}
		g.fig.groups[kind] |= 1 << i
		budget := max(tg.LatencyBudget.Seconds(), math.SmallestNonzeroFloat32)
		g.fig.budget = min(cmp.Or(g.fig.budget, budget), budget)
		g.groups = append(g.groups, group{id: GroupID(i), budget: budget, merit: tg.Utility / budget})
	}
	slices.SortStableFunc(g.groups, func(a, b group) int { return cmp.Compare(a.merit, b.merit) })
	g.meanLoad, g.cover = 0.5, s.Period // guesses until the first sums
	g.holdUntil = now + Time(s.Period*letDelay)
	g.let = slices.Repeat([]float64{1}, 4*letDelay)
	g.zones = make([]zone, s.Zones)
	g.wake(now)
}

func (g *Governor) wake(now Time) {
	g.mark, g.wakeAt = g.mark+1, now+Time(g.fig.period/4)
	g.orders = append(g.orders, WakeAfter{g.fig.period / 4, g.mark})
}

// lay makes the tables: one of all replicas for all proxies and, for traffic groups that stay in their
// zone, one a zone.
//
// Exception for size, where all lines of one table cannot be sent anew within a period's part of the
// channel: a table for every few proxies, which leans on a part of the replicas and names the others at a
// small weight. That is against changed lines that cost more than the channel has, and more connections than
// replicas accept; it should also catch handshakes that eat the fleet. Tables for groups that stay in their
// zone have pairs among the common ones with the same proxies and, at first, the same part, so that both
// share connections. Harm: a part is a smaller sample than the fleet, so share keeps parts even.
func (g *Governor) lay(replicas float64) {
	zones := g.fig.zones
	n := int(min(g.fig.proxies/tableLeast/(1+one(zones > 0)), replicas/partLeast))
	if replicas*g.fig.proxies <= g.fig.pacedLines || n < max(zones, 2) {
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
			t.pair = g.tables[i-n]
		}
	}
}

// list takes in word from discovery. A replica that started anew begins as an unknown one.
func (g *Governor) list(now Time, e List) {
	if !g.on || g.tables == nil && len(e.Entries) == 0 { // nothing to go by yet
		return
	}
	if e.Scope == Failed {
		g.observing, g.askAt = false, now+g.chance(g.fig.askWait, 2*g.fig.askWait)
		return
	}
	g.lists, g.listedAt, g.observing = g.lists+1, now, e.Scope != Cached
	if g.tables == nil {
		g.lay(float64(len(e.Entries)))
	}
	for _, n := range e.Entries {
		r := g.byID[n.Replica]
		if r == nil {
			r = &replica{id: n.Replica, sent: make([]float64, len(g.tables)), rounds: make([]int, len(g.zones))}
			g.byID[r.id] = r
			g.replicas = append(g.replicas, r)
		}
		if n.StartedAt != r.started || n.State == Ready && r.state == Gone {
			clear(r.rounds)
			*r = replica{id: r.id, started: n.StartedAt, heardAt: now, table: r.table, sent: r.sent, lines: r.lines,
				rounds: r.rounds}
		}
		r.zone, r.kind, r.state, r.listed, r.inList = n.Zone, n.Kind, n.State, n.Listed, g.lists
		if !(r.listed > 0) || math.IsInf(r.listed, 0) {
			r.listed = 1
		}
		if r.state != Ready {
			g.holdUntil = now // what proxies hold may still send there
		}
	}
	for _, r := range g.replicas {
		if e.Scope != Changes && r.inList != g.lists {
			r.state, g.holdUntil = Gone, now
		}
	}
}

func (g *Governor) sums(now Time, e Sums) {
	r := g.byID[e.Replica]
	if r == nil || e.Tries <= 0 || e.Dropped < 0 || e.Dropped > e.Tries || e.Over <= 0 {
		return
	}
	if g.hear(now, r, e.Zone); e.Dropped < e.Tries {
		r.owed = 0
	}
	g.sumsCame, g.longest, r.newOver = true, max(g.longest, e.Over), max(r.newOver, e.Over)
	r.newTries, r.newDrops = r.newTries+float64(e.Tries), r.newDrops+float64(e.Dropped)
	r.newTime += e.Took.Seconds() * float64(e.Tries-e.Dropped)
	known := one(e.Report.Util >= 0)
	r.newLoad, r.newReports = r.newLoad+known*min(e.Report.Util, 1), r.newReports+known
	r.newHeld += known * max(e.Report.InFlight, 0)
}

// review takes in the sums that came since the last one: health first, then speeds, then how much to let
// in. Sums come capped, so a replica may be heard of less than once a period; what is heard is judged by
// the time that it covers.
func (g *Governor) review(now Time, since time.Duration) {
	if !g.taught && g.sumsCame { // the first sums may reach back to before our start
		since, g.taught = min(max(since, g.longest), speedPeriods*g.fig.period), true
	}
	periods := float64(since) / float64(g.fig.period)
	speedKept, healthKept := keep(periods, speedPeriods), keep(periods, healthPeriods)
	f := fleet{kinds: map[KindID]pace{}}
	for _, r := range g.replicas {
		if r.newTries > 0 {
			heard := float64(min(now-r.heardAt, Time(r.newOver))) / float64(g.fig.period)
			r.heardAt = now
			if r.newReports > 0 {
				if !r.known {
					r.load, r.known = max(r.reported(), g.meanLoad), true
				}
				r.load += (r.reported() - r.load) * (1 - keep(heard, smoothPeriods))
				if r.newDrops <= taughtDrops*r.newTries {
					kept := keep(heard, speedPeriods)
					r.time = r.time*kept + r.newTime
					r.served = r.served*kept + r.newTries - r.newDrops
					r.busy = r.busy*kept + r.reported()*heard
				}
			}
		}
		r.tries, r.drops = r.tries*healthKept+r.newTries, r.drops*healthKept+r.newDrops
		r.met = r.met*keep(periods, g.fig.linkPeriods) + r.newTries
		f.ready, f.out = f.ready+one(r.state == Ready), f.out+one(r.state == Ready && r.out)
		f.goodTime, f.time, f.listed = f.goodTime+r.newTime, f.time+r.time, f.listed+r.listed*r.served
		f.over += r.newTries * float64(r.newOver)
		f.tries, f.drops = f.tries+r.newTries, f.drops+r.newDrops
		f.allTries, f.allDrops = f.allTries+r.tries, f.allDrops+r.drops
		f.served, f.busy, f.sent = f.served+r.served, f.busy+r.busy*r.listed, f.sent+r.ordered(common)
		k := f.kinds[r.kind]
		f.kinds[r.kind] = pace{k.served + r.served, k.busy + r.busy*r.listed}
	}
	if f.tries > 0 {
		g.cover += (max(time.Duration(f.over/f.tries), g.fig.period) - g.cover) / 2
	}
	g.health(now, &f)
	speed := f.served / max(f.busy, math.SmallestNonzeroFloat32)
	for _, r := range g.replicas {
		r.size = r.listed
		if speed > 0 {
			own := pace{r.served, r.busy * r.listed}.by(speed, f.kinds[r.kind].by(speed, 1))
			r.size *= min(max(own, 1/manyTimes), manyTimes)
			// A replica that answers too slowly for its measured speed shows less load than it has.
			usual := f.time / f.served
			most := doubtAbove * f.listed / f.served * usual * (r.served + speedFlows) / (r.time + speedFlows*usual)
			if r.size > most {
				r.size, r.load = most, max(r.load, g.meanLoad)
			}
		}
		if r.wait = max(r.wait-since.Seconds(), 0); r.newReports > 0 && speed > 0 { // else it works off what it has
			r.wait = r.newHeld / r.newReports / (r.size * speed) * g.fig.period.Seconds()
		}
		if r.known && r.state == Ready && !r.out {
			f.size, f.work = f.size+r.size, f.work+r.size*r.load
			if sent := r.ordered(common); r.newReports > 0 {
				f.reported, f.latest = f.reported+sent, f.latest+sent*r.reported()
			}
		}
		r.newTries, r.newDrops, r.newLoad, r.newReports, r.newOver, r.newTime, r.newHeld = 0, 0, 0, 0, 0, 0, 0
	}
	g.dropShare = max(f.allDrops/max(f.allTries, 1), f.drops/max(f.tries, 1))
	if f.size > 0 {
		g.meanLoad = f.work / f.size
		g.demand = max(g.meanLoad, f.tries/periods/max(f.size*speed, math.SmallestNonzeroFloat32))
	}
	if f.reported > 0 {
		g.setLevel(now, &f)
	}
	g.reviews, g.reviewed, g.sumsCame, g.newFlows, g.longest = g.reviews+1, now, false, 0, 0
	for i := range g.groups {
		g.groups[i].flows *= speedKept
	}
	for _, t := range g.tables {
		t.flows *= speedKept
	}
}

// by is a speed as a multiple of the fleet's. Where few flows tell, what is alike does: for a replica its
// kind, for a kind the fleet.
func (p pace) by(fleet, alike float64) float64 {
	return (p.served + speedFlows) / (p.busy*fleet + speedFlows/alike)
}

// recall takes on what a former life of ours had learnt of a replica, as far as it is trusted and nothing is
// heard yet. One held out is held out again; good answers bring it back. Against tables of which nothing is
// learnt after a restart. Harm: one that is mended meanwhile gets a trickle at first.
func (g *Governor) recall(e Recalled) {
	r := g.byID[e.Replica]
	if r == nil || r.known || r.served > 0 || !(e.Speed > 0 && e.Answers > 0 && e.Trust >= 0 && e.Trust <= 1) {
		return
	}
	r.size = r.listed * math.Pow(min(max(e.Speed, 1/manyTimes), manyTimes), e.Trust)
	r.served, r.busy = speedPeriods*speedFlows*e.Trust, speedPeriods*speedFlows*e.Trust/e.Answers
	r.out = e.Out && r.state == Ready
}

// setLevel sets how much of the work asked for is let in, and whether a fleet that can block nothing is
// jammed, by the load that flows met; beyond 1 drops tell how far the fleet is over. Where good answers take
// over the least latency budget, drops count whatever load is reported: against reports that hide overload;
// it should also catch work that waits for something else than a core. After a restart of ours it starts
// from the part of the flows that was tried. Harm: drops not from load block flows for a while.
func (g *Governor) setLevel(now Time, f *fleet) {
	if now < g.holdUntil && len(g.waiting) > 0 {
		g.let = slices.Repeat([]float64{min(max(f.tries/max(g.newFlows, 1), levelLeast), 1)}, len(g.let))
	}
	g.holdUntil = min(g.holdUntil, now)
	met := f.latest / f.reported * (1 + g.dropShare)
	g.jammed = !g.fig.blocks && (met > jamLoad || g.jammed && met > loadWanted)
	if f.goodTime > g.fig.budget*(f.tries-f.drops) {
		met = max(met, loadWanted+g.dropShare-dropShareBad)
	}
	made := letDelay - 1 + int((g.cover-g.fig.period)/g.fig.period) // the review whose level made these sums
	want := g.let[min(made, len(g.let)-1)] * loadWanted / max(met, spareFloor)
	copy(g.let[1:], g.let)
	g.let[0] = min(max(want, levelLeast), 1)
}

// health holds out replicas that drop flows though less busy than the fleet, and those silent though flows
// go there: against fast drops and hangs; it also catches a crash before the list tells, a cut path, and a
// false report of nought. The load of full ones has lowered their weight already. When all others drop as
// much, the fault is shared. One that answers, though proxies keep more connections to it than replicas must
// accept, refuses some: it gets less, else the fastest would be held out first. One held out keeps a trickle
// and returns by its good answers. Harm: a few drops by chance on a quiet day hold one out for some seconds.
func (g *Governor) health(now Time, f *fleet) {
	for _, r := range g.replicas {
		good := r.newTries - r.newDrops
		if good <= 0 && f.sent > 0 && now-r.heardAt > Time(2*g.cover-g.fig.period*5/4) { // or its sums may wait
			r.owed += f.tries * r.ordered(common) / f.sent
		}
		if r.out {
			if r.streak += good; r.newDrops > 0 {
				r.streak = 0
			}
			if r.streak >= goodToReturn {
				r.out, r.backAt, r.tries, r.drops = false, now, 0, 0
			}
			continue
		}
		rest := (f.allDrops - r.drops) / max(f.allTries-r.tries, 1)
		full := r.newReports > 0 && r.reported() > g.meanLoad
		dropping := !full && r.drops >= dropsToJudge && r.drops > r.tries*max(dropShareBad, manyTimes*rest)
		links := g.fig.allProxies * (1 - math.Exp(-r.met/float64(len(g.proxies)+1)))
		if r.refused = 0; dropping && r.drops < r.tries-1 && links > g.fig.links {
			dropping, r.refused = false, r.drops/r.tries
		}
		if r.state == Ready && dropping && f.out < f.ready*outMost {
			r.out, r.streak = true, 0
			f.out++
		}
	}
	g.outMost = int(f.ready*outMost - f.out)
}

// silence holds out replicas that owe answers, once every zone which has spoken of one, and still speaks, has
// gone a whole round without a word of it. So both must tell: the traffic, by answers owed, and the time, by
// what was heard meanwhile. A review is due when a round begins and hears the head of it alone; what it
// missed comes a moment later, and at much traffic one missed review is owed hundreds of answers. A round is
// over when the next has begun, or when its collector is quiet after about as many replicas as last time.
// Against hangs; it also catches a path that is cut for all. Not judged on a wake-up that comes late: then it
// is we who were held up. Harm: a governor that is always late leaves a hung replica in until tries there are
// dropped.
func (g *Governor) silence(now Time) (marked bool) {
	for _, r := range g.replicas {
		if r.out || r.state != Ready || r.owed < owedToJudge || g.outMost <= 0 {
			continue
		}
		spoke, still := false, false
		for i, z := range g.zones {
			if r.rounds[i] == 0 || now-z.at > Time(2*g.cover) {
				continue
			}
			gap, quiet := z.round-r.rounds[i], now-z.at >= Time(g.fig.period/8)
			spoke, still = true, still || gap == 0 || gap == 1 && !(quiet && z.whole())
		}
		if spoke && !still {
			r.out, r.streak, marked = true, 0, true
			g.outMost--
		}
	}
	return marked
}

// judge shuts a replica out at one proxy, where tries between the two are dropped that neither drops
// elsewhere: against a replica that fails for a few proxies only, whose drops the sums of a zone hide; it
// also catches a path cut between the two. A proxy that drops tries at many replicas has a bad path of its
// own, and a replica that drops them for many is for health to judge. Drops must be more than chance brings
// all pairs together, or those that dropped one there must drop further ones. Nothing is heard of a pair shut
// out, so it ends by time. A proxy keeps most of its table, and cold replicas are left alone. Harm: drops by
// chance cost a proxy one line for a while.
func (g *Governor) judge(now Time, e Pair) {
	p, r := g.proxies[e.Proxy], g.byID[e.Replica]
	if p == nil || r == nil || r.state != Ready || r.out || !g.warm(now, r) || !(e.Tries >= e.Dropped) {
		return
	}
	share, usual, s := e.Dropped/e.Tries, max(e.Elsewhere, e.Others), p.shunning(r)
	byChance := math.Pow(max(usual, leastRate), e.Dropped) * float64(len(g.proxies)*len(g.replicas))
	chance := e.Dropped < pairDrops || byChance > pairDoubt
	if s != nil && s.out || !(share >= pairShare) || share < manyTimes*usual ||
		chance && e.AgainDropped < pairShare*(e.Again+pairPrior) || g.without(p, r) > outMost ||
		g.take(now, []*proxy{p}, 1, 1, g.fig.pacedLines, g.fig.messageCap/2) == 0 {
		return
	}
	span := Time(shunPeriods * float64(g.fig.period))
	if s != nil {
		span = min(2*s.span, span*shunsMost)
	}
	g.shun(now, p, r, span)
}

// release lets replicas in again at single proxies, when their time is over or too little else is left.
func (g *Governor) release(now Time) {
	for _, p := range g.shunners {
		for i := range p.shuns {
			s := &p.shuns[i]
			if s.out && g.byID[s.r.id] == s.r && (now >= s.until || g.without(p, nil) > outMost) &&
				g.take(now, []*proxy{p}, 1, 1, g.fig.lineCap, g.fig.messageCap) > 0 {
				g.unshun(p, s)
			}
		}
	}
	g.forgetShuns(now)
}

// weigh sets the wanted weights, by spare capacity under the bounds of bound.
//
// While the fleet is jammed and nothing can be blocked, an even load makes every replica late. Then listed
// weights stand: some replicas stay in time, and full ones turn the excess away at once. Harm: where listed
// weights are far from true speeds, a short jam moves more flows than it need.
func (g *Governor) weigh(now Time) {
	spare, flows := 0.0, 1.0
	for _, r := range g.replicas {
		r.want, r.most, r.cold = [2]float64{}, g.bound(now, r), !g.warm(now, r)
		if !r.known {
			r.load = g.meanLoad
		} else if !math.IsInf(r.most, 1) { // idle for its small share, which says nothing of its fair one
			r.load = max(r.load, g.meanLoad)
		}
		if r.size == 0 || g.jammed {
			r.size = r.listed
		}
		if r.spare = r.size * max(1-r.load, spareFloor); g.jammed {
			r.spare = r.size
		}
		spare += r.spare
	}
	for _, t := range g.tables {
		flows += t.flows
	}
	for z := range g.fig.zones {
		g.share(now, home, ZoneID(z))
	}
	for _, r := range g.replicas {
		if t := r.table[home]; t != nil && t.pair == nil { // its zone's own flows come off its part of the common
			r.spare = max(r.spare-r.want[home]/100*t.flows/flows*spare, r.spare*rampFrom)
		}
	}
	g.share(now, common, 0)
}

// share sets the weights in tables of one kind, home ones of one zone, each by the spare capacity of its
// part. New replicas go to the part that has least by its flows, and others are moved until parts are about
// even. So all tables together still send each replica what one table would.
func (g *Governor) share(now Time, kind int, zone ZoneID) {
	var tables []*table
	for _, t := range g.tables {
		if t.kind == kind && t.open(zone) {
			t.part, t.spare, t.tries, t.drops = t.part[:0], 0, 0, 0
			tables = append(tables, t)
		}
	}
	less := func(a, b *table) int { return cmp.Compare(a.spare/(a.flows+1), b.spare/(b.flows+1)) }
	put := func(r *replica, t *table) {
		r.table[kind] = t
		t.part, t.spare, t.tries, t.drops = append(t.part, r), t.spare+r.usable(), t.tries+r.tries, t.drops+r.drops
	}
	var added []*replica
	whole, flows := 0.0, 0.0
	for _, r := range g.replicas {
		if r.state != Ready || !tables[0].open(r.zone) {
			continue
		}
		if whole += r.size; r.table[kind] == nil {
			added = append(added, r)
		} else {
			put(r, r.table[kind])
		}
	}
	for _, r := range added {
		if h := r.table[home]; kind == common && h != nil && h.pair != nil {
			put(r, h.pair)
		} else {
			put(r, slices.MinFunc(tables, less))
		}
	}
	for _, t := range tables {
		t.whole, flows = whole, flows+t.flows+1
	}
	for range tables {
		poor, rich := slices.MinFunc(tables, less), slices.MaxFunc(tables, less)
		gap, best := rich.spare*(poor.flows+1)-poor.spare*(rich.flows+1), -1
		for i, r := range rich.part {
			if r.usable() <= gap/(rich.flows+poor.flows+2) && (best < 0 || r.usable() > rich.part[best].usable()) {
				best = i
			}
		}
		if best < 0 || gap <= (evenParts-1)*poor.spare*(rich.flows+1) ||
			g.take(now, rich.proxies, 1, 1, g.fig.pacedLines, g.fig.messageCap/2) == 0 {
			break
		}
		r := rich.part[best]
		rich.part, rich.spare = slices.Delete(rich.part, best, best+1), rich.spare-r.usable()
		g.order(rich, r, rich.rest(r))
		put(r, poor)
	}
	for _, t := range tables {
		t.fill(flows, g.fig.room)
	}
}

// rest is a replica's weight in a table that leans on others.
func (t *table) rest(r *replica) float64 { return 100 * restShare * r.size / t.whole }

// bound limits a replica's share, by its fair share. A started one climbs the design's ramp, and is never
// sent more work than its least capacity at that age can do, which the ramp alone would not hold with many
// cold at once or a high load. Where proxies avoid replicas that failed them, a fleet that drops much sends
// a cold one far more than its weight says; so its line shrinks, then goes, as far as a proxy meets a replica
// often enough to avoid it before sums tell. Before the first sums it gets none. Harm: new ones help late.
//
// One that holds more than it answers within the least latency budget is cut by the square of that: what it
// is sent comes late. Against replicas that slow down while their load, at 1, tells no more; it also catches
// stolen cores and speeds taken too high. Harm: it comes back some seconds after its queue has gone.
func (g *Governor) bound(now Time, r *replica) float64 {
	if r.out {
		return trickle
	}
	age := func(t Time) float64 { return max(float64(now-t)/float64(g.fig.warmAfter), 0) }
	most := math.Inf(1)
	if a := manyTimes * age(r.backAt) / rampSpan; r.backAt > 0 && a < 1 {
		most = trickle + (1-trickle)*a
	}
	if r.refused > 0 {
		most = min(most, 1-r.refused)
	}
	if late := r.wait / g.fig.budget; late > 1 && !g.jammed {
		most = min(most, 1/late/late)
	}
	if g.warm(now, r) {
		return most
	}
	if !g.taught {
		return 0
	}
	a := age(r.started)
	least := g.fig.coldFrom + (1-g.fig.coldFrom)*a
	most = min(most, rampFrom+(1-rampFrom)*a/rampSpan, coldFill*least/max(g.demand, spareFloor))
	if g.fig.fails > 0 {
		t := cmp.Or(r.table[common], g.tables[0])
		gone := avoidShare * math.Pow(min(float64(len(t.part)+1)/(2*partLeast), 1), 2)
		pairs := float64(len(t.proxies)*len(t.part) + 1)
		soon := min(avoidSoon*t.flows/speedPeriods*letDelay/pairs/g.fig.fails, 1)
		most *= 1 - soon*min(max(3*max(g.dropShare, t.drops/max(t.tries, 1))/gone-2, 0), 1)
	}
	return most
}

// fill shares a table's 100 among its part by spare capacity; what a bound cuts off goes to the others.
// Bounds are by the fair share of all flows of its kind, since a few proxies may have more than their part.
// Where all are bound, what they cannot take goes to the replicas named beside the part, or, where there are
// none, they share it by their bounds; cold ones only as far as they surely stand, so long as one is warm.
func (t *table) fill(flows, room float64) {
	size, all := t.whole*(t.flows+1)/flows, t.spares()
	slices.SortStableFunc(t.part, func(a, b *replica) int { // most bound first
		return cmp.Compare(a.most*a.size/a.spare, b.most*b.size/b.spare)
	})
	left, spare, warm := 100.0, all, 0.0
	for _, r := range t.part {
		r.want[t.kind] = min(left*r.spare/spare, 100*r.most*r.size/size)
		left, spare = left-r.want[t.kind], spare-r.spare
		warm += one(!r.cold) * r.want[t.kind]
	}
	over := min(100/(100-left), room)
	for _, r := range t.part {
		switch {
		case left < 1:
		case t.lines > 2*float64(len(t.part)):
			r.want[t.kind] *= min(100*restShare/left, 1)
		case warm > 0 && r.cold:
			r.want[t.kind] *= over
		case warm > 0:
			r.want[t.kind] *= (100 - (100-left-warm)*over) / warm
		case left < 100:
			r.want[t.kind] *= 100 / (100 - left)
		default:
			r.want[t.kind] = 100 * r.spare / all
		}
	}
}

// publish sends what changed: removals, then new lines and deep cuts, levels and joins, at once; all but
// removals leave half of the channel. The rest goes once a period, in a part of the channel and of a proxy's
// messages, tables whose changes move most first; each sends all, largest first, as heads cost much.
func (g *Governor) publish(now Time, due bool) {
	g.expire(now)
	g.remove(now)
	for _, r := range g.replicas {
		for kind, t := range r.table {
			if t == nil || r.state != Ready {
				continue
			}
			want, sent := r.want[kind]*max(t.behind(r), 1/g.fig.room), r.sent[t.id]
			c := change{r, want, math.Abs(want - sent)}
			if c.by > 0 && (want < sent/2 || sent < evenParts*t.rest(r)) {
				t.urgent = append(t.urgent, c)
			} else if c.by > 0 && c.by >= skipChange*sent {
				t.changes, t.moves = append(t.changes, c), t.moves+c.by*t.flows
			}
		}
	}
	if !g.taught && slices.ContainsFunc(g.waiting, func(p *proxy) bool { return !p.fresh }) {
		g.let = slices.Repeat([]float64{restartLevel}, len(g.let)) // our former levels may have been low
	}
	if g.leaving() && g.tables[0].lines > 0 {
		g.bind(now)
	}
	for _, t := range g.tables {
		g.send(now, t, t.urgent, g.fig.lineCap/2, g.fig.messageCap*3/4)
	}
	if due || !g.taught {
		g.admit(now)
	}
	g.bind(now)
	if due {
		for _, t := range slices.SortedStableFunc(slices.Values(g.tables), mostMoves) {
			g.send(now, t, t.changes, g.fig.pacedLines, g.fig.messageCap/2)
		}
		// Else proxies would be sent far more lines when bound, or when the next wave goes.
		if len(g.waiting) == 0 && now-g.removedAt >= Time(g.fig.messageSpan) {
			g.name(now)
		}
	}
}

// remove takes the lines of replicas that drain or are gone, with all of a proxy's messages. Tables that only
// name them wait for others, as replicas which go one by one would use those up. One that would lose more
// lines than its part holds is cleared and its part sent anew, against waves faster than a slow channel.
// Harm: a few flows go there for a part of the grace.
func (g *Governor) remove(now Time) {
	all := now-g.removedAt >= g.fig.removeWait
	for _, r := range g.replicas {
		for i := 0; r.state != Ready && r.lines > 0 && i < len(g.tables); i++ {
			if t := g.tables[i]; r.sent[i] > 0 && t != r.table[t.kind] {
				t.changes = append(t.changes, change{r, 0, 0})
			} else if r.sent[i] > 0 && g.take(now, t.proxies, 1, 1, g.fig.lineCap, g.fig.messageCap) > 0 {
				g.order(t, r, 0)
			}
		}
		if r.state == Gone && r.lines == 0 {
			delete(g.byID, r.id)
			g.orders = append(g.orders, Forget{r.id})
		}
	}
	for _, t := range g.tables {
		anew := 1 + len(t.part) + len(g.groups)
		if all && len(t.changes) > 0 {
			g.removedAt = now
			if len(t.changes) > anew && t.spare > 0 &&
				g.take(now, t.proxies, 1, float64(anew), g.fig.lineCap, g.fig.messageCap) > 0 {
				g.clear(t)
			} else {
				g.send(now, t, t.changes, g.fig.lineCap, g.fig.messageCap)
			}
		}
		t.changes = t.changes[:0]
	}
}

// send orders changes of a table, largest first, as far as they fit, and tells whether all did.
func (g *Governor) send(now Time, t *table, changes []change, room float64, messages int) bool {
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.by, a.by) })
	n := g.take(now, t.proxies, len(changes), 1, room, messages)
	for _, c := range changes[:n] {
		g.order(t, c.r, c.weight)
	}
	return n == len(changes)
}

// name gives the table whose turn it is the replicas outside its part that it lacks, cold ones not yet: a
// rolling deploy needs the channel for removals.
func (g *Governor) name(now Time) {
	for range g.tables {
		t := g.tables[g.next%len(g.tables)]
		var lacks []change
		for _, r := range g.replicas {
			if g.warm(now, r) && r.sent[t.id] == 0 && r.ordered(t.kind) > 0 && t.open(r.zone) {
				lacks = append(lacks, change{r, t.rest(r), 0})
			}
		}
		if !g.send(now, t, lacks, g.fig.fillLines, g.fig.messageCap/2) {
			return
		}
		if g.next++; len(lacks) == 0 {
			return
		}
	}
}

// admit orders levels and ways of trying again. What is not let in is taken from the traffic groups whose
// utility by work is least. A flow is tried again only on proof that it never ran: a try that may be
// followed after any failure gives up early, and its work is lost. While the fleet is jammed and nothing
// can be blocked, not even that, as a further try would only fill the next replica.
func (g *Governor) admit(now Time) {
	total := 0.0
	for _, tg := range g.groups {
		total += tg.flows * tg.budget
	}
	left := (1 - g.let[0]) * total
	for i, tg := range g.groups {
		o := Admit{Groups: 1 << tg.id, Level: g.fig.unblocked, Retry: RetryUnrun}
		if work := tg.flows * tg.budget; g.fig.blocks && total == 0 {
			o.Level = g.let[0]
		} else if g.fig.blocks && left > 0 && work > 0 {
			cut := min(left, work*(1-levelLeast))
			o.Level, left = 1-cut/work, left-cut
		}
		if g.jammed {
			o.Retry = RetryNever
		}
		for _, t := range g.tables {
			o.Table = t.id
			step := math.Abs(o.Level - t.admits[i].Level)
			same := o.Retry == t.admits[i].Retry && (step == 0 || o.Level < 1 && step < levelLeast)
			if g.fig.groups[t.kind].has(tg.id) && !same &&
				g.take(now, t.proxies, 1, 1, g.fig.lineCap/2, g.fig.messageCap*3/4) > 0 {
				t.admits[i] = o
				g.orders = append(g.orders, o)
			}
		}
	}
}

// bind puts proxies on their tables, those with most flows first; it also ends whatever an earlier stream
// withdrew. After a restart of ours, proxies go on with what they hold until the first sums have told us the
// load, or until some replica must be left. Those that may hold it come before urgent changes, as
// far into the channel as half of the drain grace lets it send: against a lost governor's proxies.
func (g *Governor) bind(now Time) {
	slices.SortStableFunc(g.waiting, func(a, b *proxy) int { return cmp.Compare(b.rate, a.rate) })
	leaving := g.leaving()
	g.waiting = slices.DeleteFunc(g.waiting, func(p *proxy) bool {
		if !p.fresh && now < g.holdUntil {
			return false
		}
		var chosen [2]*table
		for _, t := range g.tables {
			best := chosen[t.kind]
			if t.open(p.zone) && (best == nil || t.flows < best.flows) {
				chosen[t.kind] = t
			}
		}
		if h := chosen[home]; h != nil && h.pair != nil {
			chosen[common] = h.pair
		}
		lines := float64(len(g.groups))
		for _, t := range chosen {
			if t != nil {
				lines += 1 + t.lines*p.each
			}
		}
		room := max(g.fig.lineCap/2, min(lines+g.fig.head, g.fig.lineCap),
			one(leaving && !p.fresh)*g.fig.leaveLines)
		if g.take(now, []*proxy{p}, 1, lines, room, g.fig.messageCap) == 0 {
			return false
		}
		for kind, t := range chosen {
			if t != nil && g.fig.groups[kind] != 0 {
				p.table[kind] = t
				t.proxies, t.flows = append(t.proxies, p), t.flows+g.expected(p, t)
				g.orders = append(g.orders, Bind{p.id, t.id, g.fig.groups[kind]})
			}
		}
		return true
	})
}

// take books up to n times so many lines to each proxy, and returns for how many times there is room.
func (g *Governor) take(now Time, proxies []*proxy, n int, lines, room float64, messages int) int {
	heads := 0.0
	for _, p := range proxies {
		if p.step == g.step {
			continue
		}
		heads += g.fig.head
		for len(p.messages) > 0 && p.messages[0] <= now-Time(g.fig.messageSpan) {
			p.messages = p.messages[1:]
		}
		if len(p.messages) >= messages {
			return 0
		}
	}
	each := float64(len(proxies)) * lines
	if each > 0 {
		n = min(n, max(int((room-g.queue-heads)/each), 0))
	}
	if n == 0 {
		return 0
	}
	for _, p := range proxies {
		if p.step != g.step {
			p.step, p.messages = g.step, append(p.messages, now)
			g.written++
		}
	}
	heads += float64(n) * each
	g.lines, g.queue = g.lines+heads, g.queue+heads
	return n
}

// follow keeps the list coming where it must be asked for: again after a failure or no answer, after a wait
// drawn by chance so that governors do not all ask at once.
func (g *Governor) follow(now Time) {
	if g.fig.onRequest && !g.observing && now >= g.askAt {
		g.orders = append(g.orders, Observe{On: true})
		g.askAt = now + g.chance(4*g.fig.askWait, 6*g.fig.askWait)
	}
}
