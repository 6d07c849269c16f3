package rules

// This file holds every decision of a governor; api.go beside it holds the interface: ids, settings, events, orders.
//
// A caller keeps one Governor for each instance (the zero value is ready) and hands it what happened, in order:
//
//	orders := g.Step(now, events)
//
// The orders take effect at now, in order. The same events always give the same orders. Nothing is decided before
// a Start event has brought the settings. Sites with slices are left undecided: there, Step orders nothing.
//
// Ordinary path: each replica's reported load is smoothed, its spare capacity (listed weight x share not busy) sets
// its weight, and once a period the changed lines go out, largest change first. Around it stand the guards, each
// with a note on what it is against.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Ratios. Those from the design page are marked so; the rest are ours.
const (
	smoothPeriods = 8.0     // load is smoothed over so many report periods (design: 5)
	spareFloor    = 0.25    // least share of a replica taken to be spare (design: 0.05)
	skipChange    = 0.1     // changes of a weight below this part of it are not sent (design)
	pacedShare    = 1.0 / 3 // part of a second of channel that a period's changes may fill (design)
	rampFrom      = 0.1     // a new replica's first part of its fair share (design)
	rampSpan      = 5.0 / 9 // the ramp's length by the longest warm-up; 10 s where that is 18 s (design)
	coldFill      = 0.8     // part of a cold replica's least capacity that it may be sent
	trickle       = 0.15    // part of its fair share that a replica held out still gets
	outMost       = 0.4     // part of the fleet that may be held out at once
	memoryPeriods = 4.0     // answers count in a replica's health for about so many periods
	dropsToJudge  = 3.0     // no judgement on fewer dropped tries than this
	dropShareBad  = 0.35    // share of dropped tries from which a replica may be held out
	dropsOverRest = 3.0     // and its share is so many times that of all others
	owedToJudge   = 8.0     // silence counts once so many answers are owed
	goodToReturn  = 2       // good answers in a row after which a replica held out comes back
	speedFlows    = 8.0     // a replica's own speed counts as much as the fleet's after so many flows
	speedPeriods  = 8.0     // speed is learnt over so many periods
	loadWanted    = 0.8     // above this load of the fleet, flows of least utility are blocked
	avoidShare    = 0.6     // with this share of tries dropped, proxies avoid so many that a cold replica gets no line
	loadPassed    = 1.3     // an overload is not taken to be worse than this: tries that are turned away cost no work
	jamLoad       = 1.0     // above this not at all where levels are not heeded: what is turned away is shed
	unjamLoad     = 0.85
	holdPeriods   = 3          // after a restart, proxies keep our former tables for so long at most
	homeLeast     = 0.1        // part of its share of the common table that a replica keeps beside its zone's own flows
	letDelay      = 3          // reviews until sums show what a changed level did
	dropsUntaught = 0.2        // share of dropped tries above which a replica's answers do not tell its speed
	levelLeast    = 0.05       // what is always let in of a traffic group
	levelStep     = 0.04       // smaller changes of a level are not sent
	speedMost     = 3.0        // bound on what a measured speed makes of a listed weight
	sharedTable   = TableID(0) // all replicas, for all proxies; a zone's own table has number 1 + zone
)

// figures are what the settings come to.
type figures struct {
	shared      GroupSet // groups on the shared table
	home        GroupSet // groups on the table of the proxy's zone
	zones       int
	onRequest   bool
	probes      bool
	levels      LevelKind
	avoids      bool // proxies avoid replicas that failed them
	period      time.Duration
	wake        time.Duration
	pacedLines  float64
	lineCap     float64
	head        float64 // lines of a message besides its orders, the mark included
	ledgerSpan  time.Duration
	messageCap  int
	messageSpan time.Duration
	askWait     time.Duration
	warmAfter   time.Duration
	coldFrom    float64
}

type group struct {
	id     GroupID
	retry  Retry   // the most that its effect allows
	budget float64 // latency budget in seconds; work is taken to go by it
	merit  float64 // utility by latency budget: what a unit of work is worth
	flows  float64 // that came, over the health window
	level  float64
	sent   Admit // as last ordered, for the first of its tables
}

// replica is all that is known of one replica.
type replica struct {
	id      ReplicaID
	zone    ZoneID
	state   State
	listed  float64
	started Time
	known   bool // its load has been reported

	load         float64 // smoothed
	served, busy float64 // flows answered, and periods spent busy, over the speed window
	tries, drops float64 // over the health window
	owed         float64 // answers expected since the last good one
	streak       int     // good answers in a row while held out
	out          bool
	backAt       Time // end of the last time out
	newTries     int  // since the last review
	newDrops     int
	newLoad      float64
	newReports   int
	size         float64 // listed weight x measured speed
	spare        float64
	cap          float64    // share that it may have at most, by its fair share
	share        [2]float64 // wanted share of the shared table and of its zone's, in 100
	sent         [2]float64 // as last ordered
}

type proxy struct {
	id       ProxyID
	zone     ZoneID
	bound    bool
	fresh    bool   // holds its standing tables only
	messages []Time // within the message span
	touched  bool   // gets a message from this Step
}

// pending is what one Step put into the channel and no proxy has yet confirmed.
type pending struct {
	version  uint16
	lines    float64
	waiting  int
	messages int
	at       Time
}

// Governor decides for the proxies that are joined to it.
type Governor struct {
	on        bool
	fig       figures
	seed      uint64
	draws     uint32
	replicas  []*replica // by id
	proxies   []*proxy   // by id
	groups    []group    // least merit first
	channel   []pending
	version   uint16
	mark      uint64
	reviewed  Time
	sumsCame  bool
	firstOver time.Duration // what the first sums were counted over
	taught    bool          // those have been reviewed
	listSeen  bool
	holdUntil Time // proxies that hold our former tables keep them until then, or until the first sums
	newFlows  float64
	allFlows  float64   // over the flow window
	homeFlows []float64 // that may go only to replicas of their zone, by zone, over the health window
	observing bool
	askAt     Time
	meanLoad  float64 // of the replicas in service, smoothed
	jammed    bool    // all are full and nothing can be blocked: listed weights, no further tries
	dropShare float64
	demand    float64           // work sent, by what the fleet can do; above 1 in overload
	let       [letDelay]float64 // part of the work asked for that is let in, latest first
	orders    []Order
	spent     float64
	spentMsgs int
}

// Step takes what happened at now and returns what is to be done.
func (g *Governor) Step(now Time, events []Event) []Order {
	g.orders, g.spent, g.spentMsgs = nil, 0, 0
	listChanged := false
	for _, e := range events {
		switch e := e.(type) {
		case Start:
			g.start(now, e)
		case Killed:
			*g = Governor{}
		case List:
			g.list(now, e)
			listChanged = true
		case Wake:
			if g.on && e.Mark == g.mark {
				g.mark++
				g.orders = append(g.orders, WakeAfter{g.fig.wake, g.mark})
			}
		case Joined:
			g.leave(e.Proxy)
			at, _ := g.findProxy(e.Proxy)
			g.proxies = slices.Insert(g.proxies, at, &proxy{id: e.Proxy, zone: e.Zone, fresh: e.Fresh})
		case Left:
			g.leave(e.Proxy)
		case Applied:
			g.applied(e)
		case Sums:
			g.sums(e)
		case Intake:
			g.intake(e)
		}
	}
	if !g.on {
		return g.orders
	}
	since := time.Duration(now - g.reviewed)
	due := g.sumsCame && since >= g.fig.period*3/4 || since >= g.fig.period*3/2
	if due {
		g.review(now, since)
	}
	if due || listChanged {
		g.weigh(now)
	}
	g.publish(now, due)
	g.follow(now)
	return g.orders
}

func (g *Governor) start(now Time, e Start) {
	s := e.Settings
	*g = Governor{on: s.Slices == 0, seed: e.Seed, reviewed: now, askAt: now, orders: g.orders, meanLoad: 0.5}
	if !g.on {
		g.orders = append(g.orders, Log{"a site with slices: this module leaves it undecided"})
		return
	}
	g.fig = figures{
		zones: s.Zones, onRequest: s.ListOnRequest, probes: s.ProbesAllowed, levels: s.Levels, avoids: s.FailsToAvoid > 0, period: s.Period,
		wake: s.Period / 4, pacedLines: s.LinePace * pacedShare, lineCap: s.LineCap, head: s.HeadLines + 1,
		messageCap: s.MessageCap, messageSpan: s.MessageSpan, askWait: s.AskWithin / 20, warmAfter: s.WarmAfter,
		coldFrom: s.ColdFrom, ledgerSpan: 4*time.Duration(s.LineCap/s.LinePace*float64(time.Second)) + s.TravelMost,
	}
	for i, tg := range s.Groups {
		if tg.HomeOnly {
			g.fig.home |= 1 << i
		} else {
			g.fig.shared |= 1 << i
		}
		budget := max(tg.LatencyBudget.Seconds(), 1e-3)
		g.groups = append(g.groups, group{id: GroupID(i), retry: retryFor(tg, s.FirstWait), budget: budget,
			merit: tg.Utility / budget})
	}
	slices.SortStableFunc(g.groups, func(a, b group) int { return cmp.Compare(a.merit, b.merit) })
	for i := range g.let {
		g.let[i] = 1
	}
	g.shed(now, 0)
	g.homeFlows = make([]float64, s.Zones)
	g.mark, g.holdUntil = 1, now+Time(g.fig.period*holdPeriods)
	g.orders = append(g.orders, WakeAfter{g.fig.wake, g.mark})
}

// retryFor is the way of trying again that a traffic group's effect allows. A deduped flow may follow a try that ran
// only where every replica drops repeats, and well inside the window, since a stalled proxy sends late.
func retryFor(tg TrafficGroup, firstWait float64) Retry {
	wait := time.Duration(firstWait * float64(tg.LatencyBudget))
	switch {
	case tg.Effect == Retriable, tg.Effect == Deduped && tg.DedupedByAll && wait < tg.Window/2:
		return RetryUnrun
	}
	return RetryUnrun
}

func (g *Governor) findReplica(id ReplicaID) (int, bool) {
	return slices.BinarySearchFunc(g.replicas, id, func(r *replica, id ReplicaID) int { return cmp.Compare(r.id, id) })
}

func (g *Governor) findProxy(id ProxyID) (int, bool) {
	return slices.BinarySearchFunc(g.proxies, id, func(p *proxy, id ProxyID) int { return cmp.Compare(p.id, id) })
}

func (g *Governor) leave(id ProxyID) {
	if at, ok := g.findProxy(id); ok {
		g.proxies = slices.Delete(g.proxies, at, at+1)
	}
}

// list takes in word from discovery. A replica that started anew begins as an unknown one.
func (g *Governor) list(now Time, e List) {
	if !g.on {
		return
	}
	if e.Scope == Failed {
		g.observing, g.askAt = false, now+Time(g.draw(g.fig.askWait, 2*g.fig.askWait))
		return
	}
	g.listSeen = true
	g.observing = e.Scope != Cached
	if e.Scope != Changes {
		for _, r := range g.replicas {
			if !slices.ContainsFunc(e.Entries, func(n Entry) bool { return n.Replica == r.id }) {
				r.state, g.holdUntil = Gone, now
			}
		}
	}
	for _, n := range e.Entries {
		at, ok := g.findReplica(n.Replica)
		if !ok {
			g.replicas = slices.Insert(g.replicas, at, &replica{id: n.Replica})
		}
		r := g.replicas[at]
		if !ok || n.StartedAt != r.started || n.State == Ready && r.state == Gone {
			*r = replica{id: n.Replica, sent: r.sent, started: n.StartedAt}
		}
		r.zone, r.state, r.listed = n.Zone, n.State, n.Listed
		if r.state != Ready {
			g.holdUntil = now
		}
		if !(r.listed > 0) || math.IsInf(r.listed, 0) {
			r.listed = 1
		}
	}
}

func (g *Governor) sums(e Sums) {
	at, ok := g.findReplica(e.Replica)
	if !ok || e.Tries <= 0 || e.Dropped < 0 || e.Dropped > e.Tries {
		return
	}
	r := g.replicas[at]
	g.sumsCame, g.firstOver = true, max(g.firstOver, e.Over)
	r.newTries += e.Tries
	r.newDrops += e.Dropped
	if e.Report.Util >= 0 {
		r.newLoad += min(e.Report.Util, 1)
		r.newReports++
	}
}

func (g *Governor) intake(e Intake) {
	i := slices.IndexFunc(g.groups, func(tg group) bool { return tg.id == e.Group })
	if i < 0 || e.Flows <= 0 {
		return
	}
	g.groups[i].flows += float64(e.Flows)
	g.newFlows += float64(e.Flows)
	at, joined := g.findProxy(e.Proxy)
	if joined && g.fig.home&(1<<e.Group) != 0 && int(g.proxies[at].zone) < len(g.homeFlows) {
		g.homeFlows[g.proxies[at].zone] += float64(e.Flows)
	}
}

// review folds the sums that came since the last one into each replica's load, speed and health.
func (g *Governor) review(now Time, since time.Duration) {
	g.reviewed, g.sumsCame = now, false
	if !g.taught && g.firstOver > 0 {
		since, g.taught = g.firstOver, true // the first sums may reach back to before our start
	}
	periods := float64(since) / float64(g.fig.period)
	var tries, drops, served, busy, sent, fresh, failed float64
	for _, r := range g.replicas {
		if r.newReports > 0 {
			load := r.newLoad / float64(r.newReports)
			if !r.known {
				r.load, r.known = max(load, g.meanLoad), true
			}
			if float64(r.newDrops) <= dropsUntaught*float64(r.newTries) {
				keep := math.Exp(-periods / speedPeriods)
				r.served = r.served*keep + float64(r.newTries-r.newDrops)
				r.busy = r.busy*keep + load*periods
			}
			r.load += (load - r.load) * (1 - math.Exp(-periods/smoothPeriods))
		}
		keep := math.Exp(-periods / memoryPeriods)
		r.tries = r.tries*keep + float64(r.newTries)
		r.drops = r.drops*keep + float64(r.newDrops)
		tries, drops = tries+r.tries, drops+r.drops
		fresh, failed = fresh+float64(r.newTries), failed+float64(r.newDrops)
		served, busy, sent = served+r.served, busy+r.busy*r.listed, sent+r.sent[0]
	}
	g.health(now, tries, drops, sent)
	fleet := served / max(busy, 1e-9)
	var size, work, reported, latest float64
	for _, r := range g.replicas {
		r.size = r.listed
		if fleet > 0 {
			speed := (r.served + speedFlows) / (r.busy*r.listed*fleet + speedFlows)
			r.size *= min(max(speed, 1/speedMost), speedMost)
		}
		if r.known && r.state == Ready && !r.out {
			size, work = size+r.size, work+r.size*r.load
			if r.newReports > 0 {
				reported, latest = reported+r.size, latest+r.size*r.newLoad/float64(r.newReports)
			}
		}
		r.newTries, r.newDrops, r.newLoad, r.newReports = 0, 0, 0, 0
	}
	passed := 0.0
	if fleet*size > 0 {
		passed = fresh / periods / (fleet * size)
	}
	if size > 0 {
		g.meanLoad = work / size
		g.demand = max(g.meanLoad, passed)
		g.jammed = g.fig.levels == LevelIgnored && (g.demand > jamLoad || g.jammed && g.demand > unjamLoad)
	}
	if reported > 0 && now < g.holdUntil {
		g.holdUntil = now
		held := slices.ContainsFunc(g.proxies, func(p *proxy) bool { return !p.bound })
		for i := range g.let {
			if !held {
				break
			}
			g.let[i] = min(max(fresh/max(g.newFlows, 1), levelLeast), 1)
		}
	}
	g.newFlows = 0
	if reported > 0 {
		pressure := max(latest/reported, min(passed*(1-failed/max(fresh, 1)/2), loadPassed))
		want := min(g.let[letDelay-1]*loadWanted/max(pressure, spareFloor), 1)
		copy(g.let[1:], g.let[:])
		g.let[0] = max(want, levelLeast)
	}
	g.dropShare = max(drops/max(tries, 1), failed/max(fresh, 1))
	keep := math.Exp(-periods / speedPeriods)
	for i := range g.groups {
		g.groups[i].flows *= keep
	}
	for z := range g.homeFlows {
		g.homeFlows[z] *= keep
	}
}

// health holds out replicas that drop what others answer, or that are silent though traffic is sent there. That
// covers a crash before the list knows of it, a hang, fast drops behind a low reported load, and a cut path. When the
// others drop as much the fault is shared and nobody is held out; nor is more than outMost of the fleet. A replica
// held out keeps a trickle and returns by its answers. Harm: a replica just restarted by others may be held longer.
func (g *Governor) health(now Time, tries, drops, sent float64) {
	var fresh, ready, out float64
	for _, r := range g.replicas {
		fresh += float64(r.newTries)
		if r.state == Ready {
			ready++
			if r.out {
				out++
			}
		}
	}
	for _, r := range g.replicas {
		good := r.newTries - r.newDrops
		if good > 0 {
			r.owed = 0
		} else if sent > 0 {
			r.owed += fresh * r.sent[0] / sent
		}
		if r.out {
			r.streak += good
			if r.newDrops > 0 {
				r.streak = 0
			}
			if r.streak >= goodToReturn {
				r.out, r.backAt, r.tries, r.drops = false, now, 0, 0
			}
			continue
		}
		rest := (drops - r.drops) / max(tries-r.tries, 1)
		full := r.newReports > 0 && r.newLoad > g.meanLoad*float64(r.newReports)
		dropping := !full && r.drops >= dropsToJudge && r.drops > r.tries*max(dropShareBad, dropsOverRest*rest)
		if r.state == Ready && (dropping || r.owed >= owedToJudge) && out < ready*outMost {
			r.out, r.streak = true, 0
			out++
		}
	}
}

// weigh sets the wanted shares: by spare capacity, under the caps of the cold, the returning and the held out. When
// the fleet is jammed, all spare terms are at the floor and say nothing, and sharing the excess out evenly makes every
// replica late: then listed weights stand, so that some stay in time, and full ones turn the excess away at once.
// Harm: where listed weights are far from true speeds, a short jam moves more flows than it need.
func (g *Governor) weigh(now Time) {
	for _, r := range g.replicas {
		r.share = [2]float64{}
		if r.size == 0 {
			r.size = r.listed
		}
		load := r.load
		if !r.known {
			load = g.meanLoad
		}
		r.spare = r.size * max(1-load, spareFloor)
		if g.jammed {
			r.size, r.spare = r.listed, r.listed
		}
		r.cap = g.capFor(now, r)
	}
	g.fill(0, func(r *replica) bool { return true })
	if g.fig.home == 0 {
		return
	}
	for z := range g.fig.zones {
		g.fill(1, func(r *replica) bool { return r.zone == ZoneID(z) })
	}
	// What a zone's own flows take of a replica comes off its part of the common table: a replica in a zone with many
	// of them would be as full as its neighbours only if its load fell behind theirs first.
	all, total := 0.0, 0.0
	for _, tg := range g.groups {
		all += tg.flows
	}
	for _, r := range g.replicas {
		if int(r.zone) < len(g.homeFlows) && all > 0 {
			r.share[0] = max(r.share[0]-r.share[1]*g.homeFlows[r.zone]/all, r.share[0]*homeLeast)
		}
		total += r.share[0]
	}
	for _, r := range g.replicas {
		r.share[0] *= 100 / max(total, 1e-9)
	}
}

// capFor bounds a replica's share, by its fair share. A started replica climbs the design's ramp, and is never sent
// more work than its least capacity at that age can do: with many cold at once, or a high load, the ramp alone
// would not hold that. Where proxies avoid replicas that fail them, a fleet that drops much leaves them few others to
// pick, so the cold one's line shrinks and then goes: its weight no longer tells what it will be sent.
func (g *Governor) capFor(now Time, r *replica) float64 {
	if r.out {
		return trickle
	}
	age := func(t Time) float64 { return max(float64(now-t)/float64(g.fig.warmAfter), 0) }
	most := math.Inf(1)
	if a := 3 * age(r.backAt); r.backAt > 0 && a < rampSpan {
		most = trickle + (1-trickle)*a/rampSpan
	}
	if a := age(r.started); r.started > 0 && a < 1 {
		least := g.fig.coldFrom + (1-g.fig.coldFrom)*a
		most = min(most, rampFrom+(1-rampFrom)*a/rampSpan, coldFill*least/max(g.demand, spareFloor))
		if !g.taught {
			most = 0
		} else if g.fig.avoids {
			most *= min(3*max(1-g.dropShare/avoidShare, 0), 1)
		}
	}
	return most
}

// fill shares a table among its replicas by spare capacity; what a cap cuts off goes to the others.
func (g *Governor) fill(kind int, in func(*replica) bool) {
	var free, capped []*replica
	var size, spare float64
	for _, r := range g.replicas {
		if r.state == Ready && in(r) {
			free = append(free, r)
			size, spare = size+r.size, spare+r.spare
		}
	}
	mass := 100.0
	for again := true; again && len(free) > 0; {
		again = false
		for i := 0; i < len(free); i++ {
			r := free[i]
			if most := 100 * r.cap * r.size / size; mass*r.spare/spare > most {
				r.share[kind] = most
				mass, spare = mass-most, spare-r.spare
				capped, free = append(capped, r), slices.Delete(free, i, i+1)
				i, again = i-1, true
			}
		}
	}
	for _, r := range free {
		r.share[kind] = mass * r.spare / spare
	}
	if len(free) > 0 {
		return
	}
	for _, r := range capped {
		if mass < 100 {
			r.share[kind] *= 100 / (100 - mass)
		} else {
			r.share[kind] = 100 * r.size / size
		}
	}
}

// line is a change that a table waits for.
type line struct {
	table  TableID
	kind   int
	r      *replica
	change float64
}

// publish sends what changed: removals, deep cuts and joins at once, the rest once a period, largest change first.
func (g *Governor) publish(now Time, due bool) {
	var urgent, paced []line
	var lines [2 + math.MaxUint8]int
	for _, r := range g.replicas {
		for k, t := range r.tables() {
			if r.sent[k] > 0 {
				lines[t]++
			}
		}
	}
	for _, r := range g.replicas {
		for k, t := range r.tables() {
			if k == 1 && g.fig.home == 0 {
				continue
			}
			l := line{t, k, r, math.Abs(r.share[k] - r.sent[k])}
			switch {
			case r.share[k] == r.sent[k]:
			case r.share[k] < r.sent[k]/2, lines[t] == 0:
				urgent = append(urgent, l)
			case due && l.change >= skipChange*r.sent[k]:
				paced = append(paced, l)
			}
		}
	}
	// Additions come before removals, so that a table is never seen without a line.
	slices.SortStableFunc(urgent, func(a, b line) int { return cmp.Compare(b.r.share[b.kind], a.r.share[a.kind]) })
	slices.SortStableFunc(paced, func(a, b line) int { return cmp.Compare(b.change, a.change) })
	for _, p := range g.proxies {
		p.touched = false
		for len(p.messages) > 0 && p.messages[0] <= now-Time(g.fig.messageSpan) {
			p.messages = p.messages[1:]
		}
	}
	if due {
		g.shed(now, 1-g.let[0])
	}
	for _, l := range urgent {
		g.sendLine(now, l, g.fig.lineCap, g.fig.messageCap)
	}
	if g.listSeen {
		for _, p := range g.proxies {
			g.bind(now, p)
		}
	}
	for _, l := range paced {
		g.sendLine(now, l, g.fig.pacedLines, g.fig.messageCap/2)
	}
	if g.spentMsgs > 0 {
		g.version++
		g.orders = append(g.orders, Mark{Version: g.version})
		g.channel = append(g.channel, pending{g.version, g.spent, g.spentMsgs, g.spentMsgs, now})
	}
	g.replicas = slices.DeleteFunc(g.replicas, func(r *replica) bool { return r.state == Gone && r.sent == [2]float64{} })
}

func (r *replica) tables() [2]TableID {
	return [2]TableID{sharedTable, sharedTable + 1 + TableID(r.zone)}
}

// sendLine orders one line if the channel and every proxy that uses the table have room for it.
func (g *Governor) sendLine(now Time, l line, room float64, messages int) {
	uses := func(p *proxy) bool { return l.kind == 0 || p.zone == l.r.zone }
	if g.reach(now, uses, 1, room, messages) {
		l.r.sent[l.kind] = l.r.share[l.kind]
		g.orders = append(g.orders, Line{l.table, l.r.id, l.r.sent[l.kind]})
	}
}

// reach books a number of lines to each bound proxy that uses them, or nothing if there is no room for all.
func (g *Governor) reach(now Time, uses func(*proxy) bool, lines, room float64, messages int) bool {
	cost := 0.0
	for _, p := range g.proxies {
		if p.bound && uses(p) {
			cost += g.cost(p, lines)
			if !g.mayWrite(p, messages) {
				return false
			}
		}
	}
	if g.queued(now)+cost > room {
		return false
	}
	for _, p := range g.proxies {
		if p.bound && uses(p) {
			g.write(now, p, lines)
		}
	}
	return true
}

// shed blocks the given part of the work asked for, from the traffic groups whose utility by work is least.
func (g *Governor) shed(now Time, excess float64) {
	total := 0.0
	for _, tg := range g.groups {
		total += tg.flows * tg.budget
	}
	left := excess * total
	for i := range g.groups {
		tg := &g.groups[i]
		work := tg.flows * tg.budget
		tg.level = 1
		if g.fig.levels != LevelIgnored && left > 0 {
			cut := min(left, work*(1-levelLeast))
			tg.level, left = 1-cut/work, left-cut
		}
		retry := tg.retry
		if g.jammed {
			retry = RetryNever
		}
		step := math.Abs(tg.level - tg.sent.Level)
		if retry == tg.sent.Retry && (step == 0 || tg.level < 1 && step < levelStep) {
			continue
		}
		tables, all := TableID(1), func(*proxy) bool { return true }
		if g.fig.home&(1<<tg.id) != 0 {
			tables = TableID(g.fig.zones)
		}
		if !g.reach(now, all, 1, g.fig.lineCap, g.fig.messageCap/2) && g.version > 0 {
			continue
		}
		tg.sent = Admit{Level: tg.level, Retry: retry}
		for t := range tables {
			if g.fig.home&(1<<tg.id) != 0 {
				t += sharedTable + 1
			}
			g.orders = append(g.orders, Admit{t, 1 << tg.id, tg.level, retry})
		}
	}
}

// bind puts a proxy on its tables. Until then it goes by tables that we do not know; binding it also ends whatever
// an earlier stream withdrew. This covers joins, rejoins, and all proxies at once after our own restart.
func (g *Governor) bind(now Time, p *proxy) {
	if p.bound || !p.fresh && now < g.holdUntil {
		return
	}
	lines := 2 + float64(len(g.groups))
	for _, r := range g.replicas {
		if r.sent[0] > 0 {
			lines++
		}
		if r.sent[1] > 0 && r.zone == p.zone {
			lines++
		}
	}
	if cost := g.cost(p, lines); g.queued(now)+cost > g.fig.lineCap || !g.mayWrite(p, g.fig.messageCap) {
		return
	}
	g.write(now, p, lines)
	p.bound = true
	if g.fig.shared != 0 {
		g.orders = append(g.orders, Bind{p.id, sharedTable, g.fig.shared})
	}
	if g.fig.home != 0 {
		g.orders = append(g.orders, Bind{p.id, sharedTable + 1 + TableID(p.zone), g.fig.home})
	}
}

// The ledger counts lines in the channel at their most: until a proxy confirms a later message, all of it may still
// wait there, however slow the channel has become. It leaves urgent orders all that the paced ones may not use.
func (g *Governor) queued(now Time) float64 {
	g.channel = slices.DeleteFunc(g.channel, func(c pending) bool { return now-c.at > Time(g.fig.ledgerSpan) })
	lines := g.spent
	for _, c := range g.channel {
		lines += c.lines * float64(c.waiting) / float64(c.messages)
	}
	return lines
}

func (g *Governor) applied(e Applied) {
	at := slices.IndexFunc(g.channel, func(c pending) bool { return c.version == e.Version })
	if at < 0 {
		return
	}
	g.channel = slices.Delete(g.channel, 0, at)
	if g.channel[0].waiting--; g.channel[0].waiting <= 0 {
		g.channel = slices.Delete(g.channel, 0, 1)
	}
}

func (g *Governor) cost(p *proxy, lines float64) float64 {
	if !p.touched {
		lines += g.fig.head
	}
	return lines
}

func (g *Governor) mayWrite(p *proxy, most int) bool {
	return g.fig.messageCap == 0 || p.touched || len(p.messages) < most
}

func (g *Governor) write(now Time, p *proxy, lines float64) {
	g.spent += g.cost(p, lines)
	if !p.touched {
		p.touched = true
		p.messages = append(p.messages, now)
		g.spentMsgs++
	}
}

// follow keeps the list coming where it must be asked for: again after a failure or no answer, after a wait drawn by
// chance so that governors do not all ask at once.
func (g *Governor) follow(now Time) {
	if g.fig.onRequest && !g.observing && now >= g.askAt {
		g.orders = append(g.orders, Observe{On: true})
		g.askAt = now + Time(g.draw(4*g.fig.askWait, 6*g.fig.askWait))
	}
}

// draw returns a span between the two by chance.
func (g *Governor) draw(least, most time.Duration) time.Duration {
	g.draws++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, g.seed), g.draws)
	part := float64(crc32.ChecksumIEEE(b)) / (1 << 32)
	return least + time.Duration(part*float64(most-least))
}

var _ = fmt.Sprint
