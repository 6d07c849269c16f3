package rules

// This file holds every decision of a governor; api.go beside it holds the interface. A caller keeps one
// Governor for each instance (the zero value is ready) and hands it what happened, in order:
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
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Ratios and counts. "design" marks those that the design page names, with its starting value where ours
// differs.
const (
	smoothPeriods = 12.0    // load is smoothed over so many report periods (design: 5)
	spareFloor    = 0.35    // least share of a replica taken to be spare (design: 0.05)
	skipChange    = 0.1     // changes below this part of a weight are not sent (design)
	pacedShare    = 1.0 / 3 // part of a second of channel that a period's changes may fill (design)
	rampFrom      = 0.1     // a new replica's first part of its fair share (design)
	rampSpan      = 5.0 / 9 // the ramp's length by the longest warm-up; 10 s where that is 18 s (design)
	coldFill      = 0.8     // part of a cold replica's least capacity that it may be sent
	avoidShare    = 0.6     // with this share of tries dropped, a cold replica gets no line
	speedPeriods  = 8.0     // speeds, and shares of traffic groups, are learnt over so many periods
	speedFlows    = 8.0     // flows after which a replica's own speed counts as much as the fleet's
	taughtDrops   = 0.2     // share of dropped tries above which a replica's answers do not tell its speed
	healthPeriods = 4.0     // answers count in a replica's health for about so many periods
	dropsToJudge  = 3.0     // no judgement on fewer dropped tries than this
	dropShareBad  = 0.35    // share of dropped tries from which a replica may be held out
	manyTimes     = 3.0     // dropping so many times more than the rest is bad; bounds a measured speed too
	owedToJudge   = 8.0     // answers owed after which silence counts
	trickle       = 0.15    // part of its fair share that a replica held out still gets
	goodToReturn  = 2       // good answers in a row after which it returns
	outMost       = 0.4     // part of the fleet that may be held out at once
	loadWanted    = 0.8     // flows are blocked to keep the fleet at this load
	letDelay      = 3       // reviews until the sums show what a changed level did
	levelLeast    = 0.05    // what is always let in of a traffic group
	jamLoad       = 1.2     // load, raised by drops, from which a fleet that can block nothing counts as jammed
	askParts      = 20      // a failed call for the list is made again after one or two such parts of the time
)

// The tables: one of all replicas for all proxies and, for traffic groups that stay in their zone, one a
// zone.
const (
	common = 0 // places of a replica's lines in its record
	home   = 1

	commonTable = TableID(0)
)

func homeTable(z ZoneID) TableID { return commonTable + 1 + TableID(z) }

// figures are what the settings come to.
type figures struct {
	common, home GroupSet // traffic groups on the common table, and on a zone's
	zones        int
	onRequest    bool    // the list must be asked for
	blocks       bool    // levels are heeded
	unblocked    float64 // the level that lets all in
	avoids       bool    // proxies avoid replicas that failed them
	period       time.Duration
	pacedLines   float64
	lineCap      float64
	head         float64 // lines of a message besides its orders, the mark included
	ledgerSpan   time.Duration
	messageCap   int
	messageSpan  time.Duration
	askWait      time.Duration
	warmAfter    time.Duration
	coldFrom     float64
}

// group is a traffic group.
type group struct {
	id     GroupID
	budget float64 // latency budget in seconds; work is taken to go by it
	merit  float64 // utility by latency budget
	flows  float64 // that came, over the speed window
	sent   Admit   // as last ordered
}

// replica is all that is known of one replica.
type replica struct {
	id      ReplicaID
	zone    ZoneID
	state   State
	listed  float64
	started Time

	newTries, newDrops int // since the last review
	newLoad            float64
	newReports         int

	known        bool    // its load has been reported
	load         float64 // smoothed
	served, busy float64 // flows answered, and periods spent busy, over the speed window
	size         float64 // listed weight x measured speed

	tries, drops float64 // over the health window
	owed         float64 // answers expected since the last good one
	out          bool    // held out
	streak       int     // good answers in a row while held out
	backAt       Time    // end of the last time out

	spare float64
	most  float64    // bound on its share, by its fair share
	want  [2]float64 // weight in the common table and in its zone's
	sent  [2]float64 // as last ordered
}

type proxy struct {
	id       ProxyID
	zone     ZoneID
	fresh    bool // it held standing tables only when it joined
	bound    bool
	messages []Time // written within the message span
	touched  bool   // gets a message from this Step
}

// parcel is what one Step put into the channel.
type parcel struct {
	version        uint16
	at             Time
	lines          float64
	messages, left int // messages in all, and not yet confirmed
}

// Governor decides for the proxies that are joined to it.
type Governor struct {
	on       bool
	fig      figures
	seed     uint64
	draws    uint32
	mark     uint64 // of the wake-up that is due next
	replicas []*replica
	proxies  []*proxy
	groups   []group // least merit first

	listSeen  bool
	observing bool
	askAt     Time

	reviewed  Time
	sumsCame  bool
	taught    bool          // sums have been reviewed
	firstOver time.Duration // what the first sums were counted over
	holdUntil Time          // until then, or the first sums, proxies keep what a former life of ours gave them
	newFlows  float64       // that came to proxies since the last review
	homeFlows []float64     // that stay in their zone, by zone, over the speed window

	meanLoad  float64 // of the replicas in service, smoothed
	demand    float64 // tries by what the fleet can answer, or its load if that is more
	dropShare float64
	jammed    bool
	let       [letDelay]float64 // part of the work asked for that is let in, latest first

	orders  []Order
	channel []parcel
	version uint16
	lines   float64 // put into the channel by this Step
	written int     // messages by this Step
}

// Step takes what happened at now and returns what is to be done.
func (g *Governor) Step(now Time, events []Event) []Order {
	g.orders, g.lines, g.written = nil, 0, 0
	listed := false
	for _, e := range events {
		switch e := e.(type) {
		case Start:
			g.start(now, e)
		case Killed:
			*g = Governor{}
		case List:
			g.list(now, e)
			listed = true
		case Wake:
			if g.on && e.Mark == g.mark {
				g.wake()
			}
		case Joined:
			g.proxies = slices.DeleteFunc(g.proxies, func(p *proxy) bool { return p.id == e.Proxy })
			g.proxies = append(g.proxies, &proxy{id: e.Proxy, zone: e.Zone, fresh: e.Fresh})
		case Left:
			g.proxies = slices.DeleteFunc(g.proxies, func(p *proxy) bool { return p.id == e.Proxy })
		case Applied:
			g.confirm(e)
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
	if due || listed {
		g.weigh(now)
	}
	g.publish(now, due)
	g.follow(now)
	return g.orders
}

func (g *Governor) start(now Time, e Start) {
	s := e.Settings
	*g = Governor{on: s.Slices == 0, seed: e.Seed, reviewed: now, askAt: now, orders: g.orders}
	if !g.on {
		g.orders = append(g.orders, Log{"a site with slices: this module leaves it undecided"})
		return
	}
	full := time.Duration(s.LineCap / s.LinePace * float64(time.Second)) // to empty a full channel
	g.fig = figures{
		zones: s.Zones, onRequest: s.ListOnRequest, blocks: s.Levels == LevelShare, unblocked: 1,
		avoids: s.FailsToAvoid > 0, period: s.Period, pacedLines: s.LinePace * pacedShare, lineCap: s.LineCap,
		head: s.HeadLines + 1, ledgerSpan: 4*full + s.TravelMost, messageCap: s.MessageCap,
		messageSpan: s.MessageSpan, askWait: s.AskWithin / askParts, warmAfter: s.WarmAfter, coldFrom: s.ColdFrom,
	}
	if s.Levels == LevelRate {
		g.fig.unblocked = math.MaxInt32 // flows a second: more than any proxy gets
	}
	for i, tg := range s.Groups {
		if tg.HomeOnly {
			g.fig.home |= 1 << i
		} else {
			g.fig.common |= 1 << i
		}
		budget := max(tg.LatencyBudget.Seconds(), math.SmallestNonzeroFloat32)
		g.groups = append(g.groups, group{id: GroupID(i), budget: budget, merit: tg.Utility / budget})
	}
	slices.SortStableFunc(g.groups, func(a, b group) int { return cmp.Compare(a.merit, b.merit) })
	g.homeFlows = make([]float64, s.Zones)
	g.meanLoad = 0.5 // a guess until the first sums
	g.holdUntil = now + Time(g.fig.period*letDelay)
	for i := range g.let {
		g.let[i] = 1
	}
	g.admit(now)
	g.wake()
}

func (g *Governor) wake() {
	g.mark++
	g.orders = append(g.orders, WakeAfter{g.fig.period / 4, g.mark})
}

// find returns the element that fits, or nil.
func find[T any](list []*T, fits func(*T) bool) *T {
	if i := slices.IndexFunc(list, fits); i >= 0 {
		return list[i]
	}
	return nil
}

// list takes in word from discovery. A replica that started anew begins as an unknown one.
func (g *Governor) list(now Time, e List) {
	if !g.on {
		return
	}
	if e.Scope == Failed {
		g.observing, g.askAt = false, now+g.chance(g.fig.askWait, 2*g.fig.askWait)
		return
	}
	g.listSeen, g.observing = true, e.Scope != Cached
	if e.Scope != Changes {
		for _, r := range g.replicas {
			if !slices.ContainsFunc(e.Entries, func(n Entry) bool { return n.Replica == r.id }) {
				r.state, g.holdUntil = Gone, now
			}
		}
	}
	for _, n := range e.Entries {
		r := find(g.replicas, func(r *replica) bool { return r.id == n.Replica })
		if r == nil {
			r = &replica{id: n.Replica}
			g.replicas = append(g.replicas, r)
		}
		if n.StartedAt != r.started || n.State == Ready && r.state == Gone {
			*r = replica{id: n.Replica, started: n.StartedAt, sent: r.sent}
		}
		r.zone, r.state, r.listed = n.Zone, n.State, n.Listed
		if !(r.listed > 0) || math.IsInf(r.listed, 0) {
			r.listed = 1
		}
		if r.state != Ready {
			g.holdUntil = now // what proxies hold may still send there
		}
	}
}

func (g *Governor) sums(e Sums) {
	r := find(g.replicas, func(r *replica) bool { return r.id == e.Replica })
	if r == nil || e.Tries <= 0 || e.Dropped < 0 || e.Dropped > e.Tries {
		return
	}
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
	p := find(g.proxies, func(p *proxy) bool { return p.id == e.Proxy })
	if i < 0 || p == nil || e.Flows <= 0 {
		return
	}
	g.groups[i].flows += float64(e.Flows)
	g.newFlows += float64(e.Flows)
	if g.fig.home.has(e.Group) && int(p.zone) < len(g.homeFlows) {
		g.homeFlows[p.zone] += float64(e.Flows)
	}
}

func (s GroupSet) has(id GroupID) bool { return s&(1<<id) != 0 }

// fleet is what the latest sums show of all replicas together.
type fleet struct {
	tries, drops       float64 // since the last review
	allTries, allDrops float64 // over the health window
	sent               float64 // weights ordered in the common table
	served, busy       float64 // over the speed window, busy by listed weight
	size, work         float64 // of the replicas in service, and their busy part
	reported, latest   float64 // weights in the common table of those that reported, and their busy part
}

// review takes in the sums that came since the last one: health first, then speeds, then how much to let
// in.
func (g *Governor) review(now Time, since time.Duration) {
	if !g.taught && g.sumsCame { // the first sums may reach back to before our start
		since, g.taught = min(max(since, g.firstOver), speedPeriods*g.fig.period), true
	}
	periods := float64(since) / float64(g.fig.period)
	keep := func(window float64) float64 { return math.Exp(-periods / window) }
	var f fleet
	for _, r := range g.replicas {
		tries, drops := float64(r.newTries), float64(r.newDrops)
		if r.newReports > 0 {
			load := r.newLoad / float64(r.newReports)
			if !r.known {
				r.load, r.known = max(load, g.meanLoad), true
			}
			r.load += (load - r.load) * (1 - keep(smoothPeriods))
			if drops <= taughtDrops*tries {
				r.served = r.served*keep(speedPeriods) + tries - drops
				r.busy = r.busy*keep(speedPeriods) + load*periods
			}
		}
		r.tries, r.drops = r.tries*keep(healthPeriods)+tries, r.drops*keep(healthPeriods)+drops
		f.tries, f.drops = f.tries+tries, f.drops+drops
		f.allTries, f.allDrops = f.allTries+r.tries, f.allDrops+r.drops
		f.served, f.busy, f.sent = f.served+r.served, f.busy+r.busy*r.listed, f.sent+r.sent[common]
	}
	g.health(now, &f)
	speed := f.served / max(f.busy, math.SmallestNonzeroFloat32)
	for _, r := range g.replicas {
		r.size = r.listed
		if speed > 0 {
			own := (r.served + speedFlows) / (r.busy*r.listed*speed + speedFlows)
			r.size *= min(max(own, 1/manyTimes), manyTimes)
		}
		if r.known && r.state == Ready && !r.out {
			f.size, f.work = f.size+r.size, f.work+r.size*r.load
			if r.newReports > 0 {
				f.reported, f.latest = f.reported+r.sent[common], f.latest+r.sent[common]*r.newLoad/float64(r.newReports)
			}
		}
		r.newTries, r.newDrops, r.newLoad, r.newReports = 0, 0, 0, 0
	}
	passed := 0.0 // tries by what the fleet could answer if it were busy throughout
	if f.size*speed > 0 {
		passed = f.tries / periods / (f.size * speed)
	}
	g.dropShare = max(f.allDrops/max(f.allTries, 1), f.drops/max(f.tries, 1))
	if f.size > 0 {
		g.meanLoad = f.work / f.size
		g.demand = max(g.meanLoad, passed)
	}
	if f.reported > 0 {
		g.setLevel(now, &f)
	}
	g.reviewed, g.sumsCame, g.newFlows = now, false, 0
	for i := range g.groups {
		g.groups[i].flows *= keep(speedPeriods)
	}
	for z := range g.homeFlows {
		g.homeFlows[z] *= keep(speedPeriods)
	}
}

// setLevel sets how much of the work asked for is let in, and whether a fleet that can block nothing is
// jammed. It goes by the load that flows met; that cannot pass 1, and beyond it drops tell how far the
// fleet is over. Harm: drops that are not from load block flows for some seconds too.
func (g *Governor) setLevel(now Time, f *fleet) {
	if now < g.holdUntil && slices.ContainsFunc(g.proxies, func(p *proxy) bool { return !p.bound }) {
		// We have restarted, and our levels are lost: start from the part of the flows that was tried.
		for i := range g.let {
			g.let[i] = min(max(f.tries/max(g.newFlows, 1), levelLeast), 1)
		}
	}
	g.holdUntil = min(g.holdUntil, now)
	met := f.latest / f.reported * (1 + g.dropShare)
	g.jammed = !g.fig.blocks && (met > jamLoad || g.jammed && met > loadWanted)
	want := g.let[letDelay-1] * loadWanted / max(met, spareFloor) // the level that made these sums
	copy(g.let[1:], g.let[:])
	g.let[0] = min(max(want, levelLeast), 1)
}

// health holds out replicas that drop flows though they are less busy than the fleet, and those that are
// silent though flows go there. That is against fast drops behind a low report and against hangs; it also
// catches a crash before the list knows of it, a cut path, and a false report of nought. Full replicas drop
// flows too, but their load has lowered their weight already, and holding them out would jam the rest. When
// all others drop as much, the fault is shared and nobody is held out. A replica held out keeps a trickle
// and returns by its good answers. Harm: one that drops a few flows by chance on a quiet day is out for
// some seconds.
func (g *Governor) health(now Time, f *fleet) {
	var ready, out float64
	for _, r := range g.replicas {
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
		} else if f.sent > 0 {
			r.owed += f.tries * r.sent[common] / f.sent
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
		full := r.newReports > 0 && r.newLoad > g.meanLoad*float64(r.newReports)
		dropping := !full && r.drops >= dropsToJudge && r.drops > r.tries*max(dropShareBad, manyTimes*rest)
		if r.state == Ready && (dropping || r.owed >= owedToJudge) && out < ready*outMost {
			r.out, r.streak = true, 0
			out++
		}
	}
}

// weigh sets the wanted weights, by spare capacity under the bounds of bound.
//
// While the fleet is jammed and nothing can be blocked, spare shares are at the floor and say nothing, and
// an even load makes every replica late. Then listed weights stand: some replicas stay in time, and full
// ones turn the excess away at once. Harm: where listed weights are far from true speeds, a short jam moves
// more flows than it need.
func (g *Governor) weigh(now Time) {
	for _, r := range g.replicas {
		r.want, r.most = [2]float64{}, g.bound(now, r)
		if !math.IsInf(r.most, 1) { // it is idle for its small share, which says nothing of its fair one
			r.load = max(r.load, g.meanLoad)
		}
		load := r.load
		if !r.known {
			load = g.meanLoad
		}
		if r.size == 0 || g.jammed {
			r.size = r.listed
		}
		r.spare = r.size * max(1-load, spareFloor)
		if g.jammed {
			r.spare = r.size
		}
	}
	g.fill(common, func(*replica) bool { return true })
	if g.fig.home == 0 {
		return
	}
	for z := range g.fig.zones {
		g.fill(home, func(r *replica) bool { return int(r.zone) == z })
	}
	// Exception for traffic groups that stay in their zone: what a zone's own flows take of a replica comes
	// off its part of the common table. Without it, a replica in a busy zone is relieved only as far as its
	// load exceeds the others'.
	flows, total := 0.0, 0.0
	for _, tg := range g.groups {
		flows += tg.flows
	}
	for _, r := range g.replicas {
		if int(r.zone) < len(g.homeFlows) {
			own := r.want[home] * g.homeFlows[r.zone] / max(flows, 1)
			r.want[common] = max(r.want[common]-own, r.want[common]*rampFrom)
		}
		total += r.want[common]
	}
	for _, r := range g.replicas {
		r.want[common] *= 100 / max(total, math.SmallestNonzeroFloat32)
	}
}

// bound limits a replica's share, by its fair share. A started one climbs the design's ramp, and is never
// sent more work than its least capacity at that age can do: with many cold at once, or a high load, the
// ramp alone would not hold that. Where proxies avoid replicas that failed them, a fleet that drops much
// leaves them little else to pick, and a cold replica is sent far more than its weight says; so its line
// shrinks, then goes. Before the first sums nothing is known and it gets none. Harm: under heavy drops, new
// replicas help late.
func (g *Governor) bound(now Time, r *replica) float64 {
	if r.out {
		return trickle
	}
	age := func(t Time) float64 { return max(float64(now-t)/float64(g.fig.warmAfter), 0) }
	most := math.Inf(1)
	if a := manyTimes * age(r.backAt) / rampSpan; r.backAt > 0 && a < 1 {
		most = trickle + (1-trickle)*a
	}
	a := age(r.started)
	if r.started == 0 || a >= 1 {
		return most
	}
	if !g.taught {
		return 0
	}
	least := g.fig.coldFrom + (1-g.fig.coldFrom)*a
	most = min(most, rampFrom+(1-rampFrom)*a/rampSpan, coldFill*least/max(g.demand, spareFloor))
	if g.fig.avoids {
		most *= min(max(3-3*g.dropShare/avoidShare, 0), 1)
	}
	return most
}

// fill shares a table's 100 among its replicas by spare capacity; what a bound cuts off goes to the others.
// Where all are bound, they share the rest by their bounds.
func (g *Governor) fill(kind int, in func(*replica) bool) {
	var free, cut []*replica
	var size, spare float64
	for _, r := range g.replicas {
		if r.state == Ready && in(r) {
			free = append(free, r)
			size, spare = size+r.size, spare+r.spare
		}
	}
	left := 100.0
	for again := true; again; {
		again = false
		for i := 0; i < len(free); i++ {
			r := free[i]
			if most := 100 * r.most * r.size / size; left*r.spare/spare > most {
				r.want[kind] = most
				left, spare = left-most, spare-r.spare
				cut, free = append(cut, r), slices.Delete(free, i, i+1)
				i, again = i-1, true
			}
		}
	}
	for _, r := range free {
		r.want[kind] = left * r.spare / spare
	}
	for _, r := range cut {
		if len(free) > 0 {
			break
		} else if left < 100 {
			r.want[kind] *= 100 / (100 - left)
		} else {
			r.want[kind] = 100 * r.size / size
		}
	}
}

// line is a change that a table waits for.
type line struct {
	r      *replica
	kind   int
	change float64
	urgent bool
}

func (l line) table() TableID {
	if l.kind == common {
		return commonTable
	}
	return homeTable(l.r.zone)
}

// publish sends what changed. Joins, new lines, removals and deep cuts go at once; the rest goes once a
// period, largest change first, in a part of the channel and of a proxy's messages.
func (g *Governor) publish(now Time, due bool) {
	var changed []line
	for _, r := range g.replicas {
		for k, sent := range r.sent {
			l := line{r, k, math.Abs(r.want[k] - sent), r.want[k] < sent/2 || sent == 0}
			if l.change > 0 && (l.urgent || due && l.change >= skipChange*sent) {
				changed = append(changed, l)
			}
		}
	}
	slices.SortStableFunc(changed, func(a, b line) int {
		if a.urgent == b.urgent {
			return cmp.Compare(b.change, a.change)
		} else if a.urgent {
			return -1
		}
		return 1
	})
	for _, p := range g.proxies {
		p.touched = false
		for len(p.messages) > 0 && p.messages[0] <= now-Time(g.fig.messageSpan) {
			p.messages = p.messages[1:]
		}
	}
	if due {
		g.admit(now)
	}
	for _, l := range changed {
		uses := func(p *proxy) bool { return p.bound && (l.kind == common || p.zone == l.r.zone) }
		room, messages := g.fig.pacedLines, g.fig.messageCap/2
		if l.r.state != Ready { // the drain rule leaves no time to wait for a message of the span to pass
			room, messages = g.fig.lineCap, g.fig.messageCap
		} else if l.urgent {
			room, messages = g.fig.lineCap, g.fig.messageCap*3/4
		}
		if g.reach(now, uses, 1, room, messages) {
			l.r.sent[l.kind] = l.r.want[l.kind]
			g.orders = append(g.orders, Line{l.table(), l.r.id, l.r.sent[l.kind]})
		}
	}
	for _, p := range g.proxies {
		g.bind(now, p)
	}
	if g.written > 0 {
		g.version++
		g.orders = append(g.orders, Mark{Version: g.version})
		g.channel = append(g.channel, parcel{g.version, now, g.lines, g.written, g.written})
	}
	g.replicas = slices.DeleteFunc(g.replicas, func(r *replica) bool {
		return r.state == Gone && r.sent == [2]float64{}
	})
}

// admit orders levels and ways of trying again. What is not let in is taken from the traffic groups whose
// utility by work is least. A flow is tried again only on proof that it never ran: a try that may be
// followed after any failure gives up early, and its work is lost. While the fleet is jammed and nothing
// can be blocked, not even that: what a full replica turns away is then shed, where a further try would
// only fill the next.
func (g *Governor) admit(now Time) {
	total := 0.0
	for _, tg := range g.groups {
		total += tg.flows * tg.budget
	}
	left := (1 - g.let[0]) * total
	for i := range g.groups {
		tg := &g.groups[i]
		o := Admit{Table: commonTable, Groups: 1 << tg.id, Level: g.fig.unblocked, Retry: RetryUnrun}
		if work := tg.flows * tg.budget; g.fig.blocks && left > 0 && work > 0 {
			cut := min(left, work*(1-levelLeast))
			o.Level, left = 1-cut/work, left-cut
		}
		if g.jammed {
			o.Retry = RetryNever
		}
		step := math.Abs(o.Level - tg.sent.Level)
		small := step == 0 || o.Level < 1 && step < levelLeast
		if small && o.Retry == tg.sent.Retry ||
			!g.reach(now, func(p *proxy) bool { return p.bound }, 1, g.fig.lineCap, g.fig.messageCap/2) {
			continue
		}
		tg.sent = o
		if !g.fig.home.has(tg.id) {
			g.orders = append(g.orders, o)
			continue
		}
		for z := range g.fig.zones {
			o.Table = homeTable(ZoneID(z))
			g.orders = append(g.orders, o)
		}
	}
}

// bind puts a proxy on its tables. Until then it goes by tables that we do not know; binding it also ends
// whatever an earlier stream withdrew. This covers joins, rejoins, and all proxies at once after a restart
// of ours, when they go on with what they hold until the first sums have told us the load, or until some
// replica must be left.
func (g *Governor) bind(now Time, p *proxy) {
	if p.bound || !g.listSeen || !p.fresh && now < g.holdUntil {
		return
	}
	lines := 2 + float64(len(g.groups))
	for _, r := range g.replicas {
		if r.sent[common] > 0 {
			lines++
		}
		if r.sent[home] > 0 && r.zone == p.zone {
			lines++
		}
	}
	only := func(q *proxy) bool { return q == p }
	if !g.reach(now, only, lines, g.fig.lineCap, g.fig.messageCap) {
		return
	}
	p.bound = true
	if g.fig.common != 0 {
		g.orders = append(g.orders, Bind{p.id, commonTable, g.fig.common})
	}
	if g.fig.home != 0 {
		g.orders = append(g.orders, Bind{p.id, homeTable(p.zone), g.fig.home})
	}
}

// reach books lines to each proxy that uses them, or none if the channel or one of them has no room.
func (g *Governor) reach(now Time, uses func(*proxy) bool, lines, room float64, messages int) bool {
	queued := g.queued(now)
	for _, p := range g.proxies {
		if !uses(p) {
			continue
		}
		if queued += lines; !p.touched {
			queued += g.fig.head
		}
		if queued > room || g.fig.messageCap > 0 && !p.touched && len(p.messages) >= messages {
			return false
		}
	}
	for _, p := range g.proxies {
		if !uses(p) {
			continue
		}
		if g.lines += lines; !p.touched {
			g.lines += g.fig.head
			g.written++
			p.touched, p.messages = true, append(p.messages, now)
		}
	}
	return true
}

// queued counts the lines that may wait in the channel. Until a proxy confirms a later message all of a
// parcel may still be there, however slow the channel has become; what no one ever confirms is given up
// after some time.
func (g *Governor) queued(now Time) float64 {
	g.channel = slices.DeleteFunc(g.channel, func(c parcel) bool { return now-c.at > Time(g.fig.ledgerSpan) })
	lines := g.lines
	for _, c := range g.channel {
		lines += c.lines * float64(c.left) / float64(c.messages)
	}
	return lines
}

func (g *Governor) confirm(e Applied) {
	at := slices.IndexFunc(g.channel, func(c parcel) bool { return c.version == e.Version })
	if at < 0 {
		return
	}
	g.channel = slices.Delete(g.channel, 0, at)
	if g.channel[0].left--; g.channel[0].left <= 0 {
		g.channel = slices.Delete(g.channel, 0, 1)
	}
}

// follow keeps the list coming where it must be asked for: again after a failure or no answer, after a wait
// drawn by chance so that governors do not all ask at once.
func (g *Governor) follow(now Time) {
	if g.fig.onRequest && !g.observing && now >= g.askAt {
		g.orders = append(g.orders, Observe{On: true})
		g.askAt = now + g.chance(4*g.fig.askWait, 6*g.fig.askWait)
	}
}

// chance draws a span between the two.
func (g *Governor) chance(least, most time.Duration) Time {
	g.draws++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, g.seed), g.draws)
	part := float64(crc32.ChecksumIEEE(b)) / (1 << 32)
	return Time(least) + Time(part*float64(most-least))
}
