package rules

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"math/bits"
	"slices"
	"time"
)

// This file holds what a governor keeps in mind and the bookkeeping of it. The decisions are in rules.go,
// health.go, weigh.go and publish.go.

// config are what the settings come to.
type config struct {
	groups                             [2]GroupSet // traffic groups by kind of table
	zones                              int         // if some traffic groups stay in their zone
	proxies                            float64     // that join this governor when all is well
	listOnRequest, canShed             bool        // the list must be asked for; levels are heeded
	avoidAfter                         float64     // of a proxy's own in a row after which it avoids a replica; 0: never
	openLevel                          float64     // the level that lets all in
	pacedEntries, fillEntries          float64
	coldEntries                        float64 // that the channel takes while a cold replica falls over
	drainEntries                       float64 // that may wait while proxies join that may hold what leaves
	entryCapacity, messageEntries      float64 // of the channel; lines of a message besides its orders
	messageLimit                       int
	period, messageSpan, listRetryWait time.Duration
	batchLifetime, warmupTime          time.Duration
	removeWait                         Time
	minBudget                          float64 // the least latency budget
	allProxies, minConnections         float64 // proxies of all governors; connections that each replica surely accepts
	idlePeriods                        float64 // a connection that lies idle stays open for so long
	coldCapacity                       float64
	coldMargin                         float64 // by which a cold replica's weight may be over what is meant: its square is sure
}

// group is a traffic group.
type group struct {
	id          GroupID
	budget      float64 // latency budget in seconds; work is taken to go by it
	utilityRate float64 // utility by latency budget
	flows       float64 // that came, over the speed window
}

// replica is all that is known of one replica.
type replica struct {
	id       ReplicaID
	zone     ZoneID
	kind     KindID
	state    State
	listed   float64
	started  Time
	listedIn int // the last list that named it

	newAttempts, newDrops, newLoad, newReports float64 // since the last review
	newInFlight, queueDelay                    float64 // flows that it holds, by its reports; seconds that they take
	newLatency, latency                        float64 // seconds that good tries took: new, over the speed window
	newWindow                                  time.Duration
	lastStatsAt                                Time  // the last review that had sums of it
	rounds                                     []int // of each zone, the last that had sums of it; 0: none

	cold         bool    // its warm-up may not be over, when last weighed
	loadKnown    bool    // its load has been reported
	load         float64 // smoothed
	served, busy float64 // flows answered, and periods spent busy, over the speed window
	size         float64 // listed weight x measured speed

	attempts, drops float64 // over the health window
	overdue         float64 // answers expected since the last good one
	ejected         bool    // held out
	recentAttempts  float64 // tries while a connection stays open
	refusedShare    float64 // share of tries dropped, if they were connections refused
	successes       float64 // good answers in a row while held out
	returnedAt      Time    // end of the last time out

	spare, maxShare float64    // spare capacity; bound on its share, by its fair share
	table           [2]*table  // whose part it is in, by kind
	wanted          [2]float64 // weight there
	sent            []float64  // as last ordered, by table
	tables          int        // tables that hold it
}

// table holds all replicas open to its traffic groups. Where there are several of a kind, each leans on a
// part of them.
type table struct {
	id               TableID
	kind             int
	zone             ZoneID // home tables only
	paired           *table // home tables only, where there are several: the common one of the same proxies
	proxies          []*proxy
	flows            float64 // that came to its proxies, over the speed window
	entries          float64 // that it holds
	admits           []Admit // as last ordered, by place in groups
	subset           []*replica
	spare, totalSize float64 // spare capacity of its part; size of all replicas open to it
	attempts, drops  float64 // of its part, over the health window
	urgent, changes  []change
	movedFlows       float64 // flows that its changes move
}

// spareCapacity is the spare capacity of a table's part, bounds aside.
func (t *table) spareCapacity() (sum float64) {
	for _, r := range t.subset {
		sum += r.spare
	}
	return sum
}

// anyLeaving tells whether some replica drains or is gone and not yet forgotten.
func (g *Governor) anyLeaving() bool {
	return slices.ContainsFunc(g.replicas, func(r *replica) bool { return r.state != Ready })
}

// warmRatio is 1 for a warm replica. For a cold one it is how far the warm lines of a table, as ordered, are behind what they are to
// weigh: proxies see shares, so a line that stands among others which are yet to rise has more than is meant.
func (t *table) warmRatio(r *replica) float64 {
	if !r.cold {
		return 1
	}
	want, sent := 0.0, 0.0
	for _, o := range t.subset {
		if o.sent[t.id] > 0 && !o.cold && o.state == Ready {
			want, sent = want+o.wanted[t.kind], sent+o.sent[t.id]
		}
	}
	if want == 0 {
		return 1
	}
	return min(sent/want, 1)
}

// coldExcess is what comes to a table's proxies in a period beyond what its warm lines, as ordered, can answer, for each cold
// replica of its part; 0 where so many warm lines or more weigh as much as the cold one.
func (g *Governor) coldExcess(now Time, t *table, r *replica, lines int) float64 {
	flows, cold := t.flows/speedPeriods*(1+g.dropShare), 0.0
	for _, o := range t.subset {
		if o.state == Ready && !g.warm(now, o) {
			cold++
		} else if o.state == Ready && o.sent[t.id] > 0 && o.sent[t.id] >= r.wanted[t.kind] {
			if flows, lines = flows-o.size*g.speed, lines-1; lines <= 0 {
				return 0
			}
		}
	}
	return flows / max(cold, 1)
}

// byMovedFlows orders tables by the flows that their changes move, most first.
func byMovedFlows(a, b *table) int { return cmp.Compare(b.movedFlows, a.movedFlows) }

// accepts tells whether a table is for replicas and proxies of a zone.
func (t *table) accepts(z ZoneID) bool { return t.kind == common || t.zone == z }

// change is a line that a table waits for.
type change struct {
	replica       *replica
	weight, delta float64
}

type proxy struct {
	id        ProxyID
	zone      ZoneID
	rate      float64
	fresh     bool    // it held standing tables only when it joined
	entryCost float64 // lines that one line of its tables costs when it is bound
	table     [2]*table
	messages  []Time         // written within the message span
	lastStep  int            // the last Step that wrote to it
	ejections []pairEjection // oldest first
}

// pairEjection is a replica that one proxy shuts out, or did until lately.
type pairEjection struct {
	replica   *replica
	active    bool
	expiresAt Time
	duration  Time // from the order on
}

// channelBatch is what one Step put into the channel.
type channelBatch struct {
	sentAt                   Time
	entries                  float64
	messages, unacknowledged float64 // messages in all, and not yet confirmed
}

// Governor decides for the proxies that are joined to it.
type Governor struct {
	started  bool
	cfg      config
	seed     uint64
	draws    uint32
	timerID  uint64 // of the wake-up that is due next
	replicas []*replica
	byID     map[ReplicaID]*replica
	proxies  map[ProxyID]*proxy
	unbound  []*proxy // joined and not yet bound, most flows first
	ejecting []*proxy // those with shuns
	tables   []*table
	groups   []group // least merit first

	listRevision int  // so far
	listedAt     Time // the last one
	observing    bool
	listRetryAt  Time

	reviewedAt                 Time
	statsPending, hasStats     bool          // sums came since the last review; have been reviewed
	longestWindow, statsWindow time.Duration // what sums are counted over: the longest since the last review, and smoothed
	zones                      []zoneRounds
	ejectionsLeft              int     // replicas that may still be held out
	timerAt                    Time    // when the wake-up is due
	bindAfter                  Time    // until then, or the first sums, proxies keep what a former life gave them
	newFlows                   float64 // that came to proxies since the last review

	meanLoad, dropShare float64 // of the replicas in service
	demand              float64 // tries by what the fleet can answer, or its load if that is more
	speed               float64 // flows that a replica of size 1 answers in a period in which it is busy throughout
	saturated           bool
	admitted            []float64 // part of the work asked for that is let in, latest first

	reviews                   int  // so far
	orderCount                int  // orders of earlier Steps
	removalsSentAt            Time // tables that only name what goes last heard of it
	orders                    []Order
	step, nextTable           int // Steps so far; the table that is filled up next
	channel                   []channelBatch
	channelVersion            uint16  // of the channel's last parcel
	queuedEntries             float64 // lines that may wait in the channel
	stepEntries, stepMessages float64 // lines and messages put into it by this Step
}

// zoneRounds is what a zone's collector has passed on. It is through a round when it speaks again of a replica that it
// has spoken of in that round.
type zoneRounds struct {
	round, reported, reportedBefore int  // rounds so far; replicas heard of in this one and in the one before
	startedAt, lastStatsAt          Time // of this round; its latest sums
}

// complete tells that a zone has spoken of about as many replicas as in the round before.
func (z *zoneRounds) complete() bool {
	return float64(z.reported) >= completeRoundShare*float64(z.reportedBefore)
}

// speedSample is flows answered, and periods spent busy for them by listed weight.
type speedSample struct{ served, busy float64 }

// fleetStats is what the latest sums show of all replicas together.
type fleetStats struct {
	attempts, drops, windowAttempts, windowDrops float64 // since the last review; over the health window
	served, busy                                 float64 // over the speed window, busy by listed weight
	sent, reported, reportedLoad                 float64 // weights in common tables: all, those that reported, times load
	size, busySize                               float64 // of the replicas in service, and their busy part
	kinds                                        map[KindID]speedSample
	ready, ejected, windows                      float64 // replicas; what the tries were counted over, by tries
	newLatency, latency, listed                  float64 // seconds of good tries: new, over the window; listed by flows
}

func (s GroupSet) has(id GroupID) bool { return s&(1<<id) != 0 }

// usable is what a replica's bound leaves of its spare capacity; never quite nothing, or where all are bound to nothing
// they would all go to one table's part, and the other tables would be empty.
func (r *replica) usable() float64 {
	return r.spare * max(min(r.maxShare, 1), math.SmallestNonzeroFloat32)
}

// sentWeight is a replica's weight as last ordered in the table whose part it is in.
func (r *replica) sentWeight(kind int) float64 {
	if r.table[kind] == nil {
		return 0
	}
	return r.sent[r.table[kind].id]
}

// reportedLoad is the mean of a replica's new reports.
func (r *replica) reportedLoad() float64 { return r.newLoad / r.newReports }

// Kinds of tables: home ones are for traffic groups that stay in their zone, common ones for all others.
const (
	common = 0
	home   = 1
)

// warm tells whether a replica's warm-up is surely over.
func (g *Governor) warm(now Time, r *replica) bool {
	return r.started == 0 || now-r.started >= Time(g.cfg.warmupTime)
}

// indicator counts what is true.
func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// decay is what is left of a sum over a window after some periods.
func decay(periods, window float64) float64 { return math.Exp(-periods / window) }

// setWeight sets a line of a table.
func (g *Governor) setWeight(t *table, r *replica, weight float64) {
	if r.sent[t.id] == 0 {
		r.tables, t.entries = r.tables+1, t.entries+1
	}
	if weight == 0 {
		r.tables, t.entries = r.tables-1, t.entries-1
	}
	r.sent[t.id] = weight
	g.orders = append(g.orders, EndpointWeight{t.id, r.id, weight})
}

// resend empties a table and sends its part and levels anew.
func (g *Governor) resend(t *table) {
	g.orders = append(g.orders, ClearTable{t.id})
	for _, r := range g.replicas {
		if r.sent[t.id] > 0 {
			r.sent[t.id], r.tables = 0, r.tables-1
		}
	}
	t.entries = 0
	for _, r := range t.subset {
		if r.wanted[t.kind] > 0 {
			g.setWeight(t, r, r.wanted[t.kind])
		}
	}
	for _, o := range t.admits {
		if o.Groups != 0 {
			g.orders = append(g.orders, o)
		}
	}
}

// recordBatch notes what this Step has put into the channel, and asks that it be confirmed.
func (g *Governor) recordBatch(now Time) {
	if g.stepMessages > 0 {
		g.channelVersion++
		g.orders = append(g.orders, AckRequest{Version: g.channelVersion})
		g.channel = append(g.channel, channelBatch{now, g.stepEntries, g.stepMessages, g.stepMessages})
	}
}

// discardExpired takes parcels out of the ledger that are older than it covers, forgotten replicas out of the records, and what an
// earlier publishing gathered.
func (g *Governor) discardExpired(now Time) {
	g.replicas = slices.DeleteFunc(g.replicas, func(r *replica) bool { return g.byID[r.id] != r })
	for _, t := range g.tables {
		t.urgent, t.changes, t.movedFlows = t.urgent[:0], t.changes[:0], 0
	}
	old := 0
	for old < len(g.channel) && now-g.channel[old].sentAt > Time(g.cfg.batchLifetime) {
		old++
	}
	g.releaseBatches(old)
}

// releaseBatches takes the channel's first parcels out of the ledger.
func (g *Governor) releaseBatches(n int) {
	for _, c := range g.channel[:n] {
		g.queuedEntries -= c.entries * c.unacknowledged / c.messages
	}
	g.channel = g.channel[n:]
}

// randomDuration draws a span between the two.
func (g *Governor) randomDuration(least, most time.Duration) Time {
	g.draws++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, g.seed), g.draws)
	part := float64(crc32.ChecksumIEEE(b)) / (1 << 32)
	return Time(least) + Time(part*float64(most-least))
}

func (g *Governor) join(e Joined) {
	if g.leave(e.Proxy); !g.started {
		return
	}
	p := &proxy{id: e.Proxy, zone: e.Zone, fresh: e.Fresh, entryCost: 1}
	if e.MayHoldEjections {
		p.entryCost = 2
	}
	if e.FlowRate > 0 && !math.IsInf(e.FlowRate, 0) {
		p.rate = e.FlowRate
	}
	g.proxies[p.id] = p
	g.unbound = append(g.unbound, p)
}

func (g *Governor) leave(id ProxyID) {
	p := g.proxies[id]
	if p == nil {
		return
	}
	is := func(q *proxy) bool { return q == p }
	for _, t := range p.table {
		if t != nil {
			t.proxies, t.flows = slices.DeleteFunc(t.proxies, is), max(t.flows-g.expected(p, t), 0)
		}
	}
	g.unbound = slices.DeleteFunc(g.unbound, is)
	if len(p.ejections) > 0 {
		g.ejecting = slices.DeleteFunc(g.ejecting, is)
	}
	delete(g.proxies, id)
}

// ejectionOf finds what a proxy has against a replica.
func (p *proxy) ejectionOf(r *replica) *pairEjection {
	i := slices.IndexFunc(p.ejections, func(s pairEjection) bool { return s.replica == r })
	if i < 0 {
		return nil
	}
	return &p.ejections[i]
}

// ejectedShare is the part of a proxy's tables, of the worst of them, that it shuts out, or would with r besides.
func (g *Governor) ejectedShare(p *proxy, r *replica) (most float64) {
	for _, t := range p.table {
		if t == nil {
			continue
		}
		shut, all := 0.0, 0.0
		if r != nil {
			shut = r.sent[t.id]
		}
		for _, s := range p.ejections {
			if s.active && s.replica != r {
				shut += s.replica.sent[t.id]
			}
		}
		if shut == 0 {
			continue
		}
		for _, other := range g.replicas {
			all += other.sent[t.id]
		}
		most = max(most, shut/max(all, math.SmallestNonzeroFloat32))
	}
	return most
}

// ejectPair orders a proxy to shut a replica out for a time.
func (g *Governor) ejectPair(now Time, p *proxy, r *replica, span Time) {
	s := p.ejectionOf(r)
	if s == nil {
		if len(p.ejections) == 0 {
			g.ejecting = append(g.ejecting, p)
		}
		p.ejections = append(p.ejections, pairEjection{replica: r})
		s = &p.ejections[len(p.ejections)-1]
	}
	s.active, s.duration, s.expiresAt = true, span, now+span
	g.orders = append(g.orders, PairEjection{p.id, r.id, true})
}

// readmitPair lets a replica in again at a proxy.
func (g *Governor) readmitPair(p *proxy, s *pairEjection) {
	s.active = false
	g.orders = append(g.orders, PairEjection{p.id, s.replica.id, false})
}

// expected is what a table's flows will be from a proxy, by what it told at joining.
func (g *Governor) expected(p *proxy, t *table) float64 {
	groups := float64(bits.OnesCount16(uint16(g.cfg.groups[t.kind]))) / float64(len(g.groups))
	return p.rate * groups * speedPeriods * g.cfg.period.Seconds()
}

func (g *Governor) countTraffic(e GroupTraffic) {
	i := slices.IndexFunc(g.groups, func(tg group) bool { return tg.id == e.Group })
	p := g.proxies[e.Proxy]
	if i < 0 || p == nil || e.Flows <= 0 {
		return
	}
	g.groups[i].flows += float64(e.Flows)
	g.newFlows += float64(e.Flows)
	for _, t := range p.table {
		if t != nil && g.cfg.groups[t.kind].has(e.Group) {
			t.flows += float64(e.Flows)
		}
	}
}

// acknowledge takes note that a proxy has applied a message. Until then all of a parcel may still wait, however
// slow the channel has become.
func (g *Governor) acknowledge(e Applied) {
	at := len(g.channel) - 1 - int(g.channelVersion-e.Version)
	if at < 0 {
		return
	}
	g.releaseBatches(at)
	c := &g.channel[0]
	if c.unacknowledged--; c.unacknowledged <= 0 {
		g.releaseBatches(1)
	}
	g.queuedEntries -= c.entries / c.messages
}

// dropStaleEjections drops what proxies have against replicas that are gone, and what has not been renewed for as long as
// it lasted.
func (g *Governor) dropStaleEjections(now Time) {
	g.ejecting = slices.DeleteFunc(g.ejecting, func(p *proxy) bool {
		p.ejections = slices.DeleteFunc(p.ejections, func(s pairEjection) bool {
			return g.byID[s.replica.id] != s.replica || !s.active && now >= s.expiresAt+s.duration
		})
		return len(p.ejections) == 0
	})
}

// trackRound notes that a zone has spoken of a replica. What two collectors of a zone say of one time, or one of
// them after a stall, is one round.
func (g *Governor) trackRound(now Time, r *replica, id ZoneID) {
	if int(id) >= len(g.zones) {
		return
	}
	z := &g.zones[id]
	if r.rounds[id] == z.round && (z.round == 0 || now-z.startedAt >= Time(float64(g.cfg.period)*minRoundPeriods)) {
		z.round, z.reportedBefore, z.reported, z.startedAt = z.round+1, z.reported, 0, now
	}
	if z.lastStatsAt = now; r.rounds[id] != z.round {
		r.rounds[id], z.reported = z.round, z.reported+1
	}
}

// AppendRecalled adds what is worth keeping of each replica over a restart, by number.
func (g *Governor) AppendRecalled(m []Recalled) []Recalled {
	for _, r := range g.replicas {
		if g.byID[r.id] == r && r.size > 0 && r.listed > 0 && r.served > 0 && r.busy > 0 {
			m = append(m, Recalled{Replica: r.id, Speed: r.size / r.listed, Answers: r.served / r.busy, Out: r.ejected})
		}
	}
	slices.SortFunc(m, func(a, b Recalled) int { return cmp.Compare(a.Replica, b.Replica) })
	return m
}

// reserve books up to n times so many lines to each proxy, and returns for how many times there is room.
func (g *Governor) reserve(now Time, proxies []*proxy, n int, lines, room float64, messages int) int {
	heads := 0.0
	for _, p := range proxies {
		if p.lastStep == g.step {
			continue
		}
		heads += g.cfg.messageEntries
		for len(p.messages) > 0 && p.messages[0] <= now-Time(g.cfg.messageSpan) {
			p.messages = p.messages[1:]
		}
		if len(p.messages) >= messages {
			return 0
		}
	}
	each := float64(len(proxies)) * lines
	if each > 0 {
		n = min(n, max(int((room-g.queuedEntries-heads)/each), 0))
	}
	if n == 0 {
		return 0
	}
	for _, p := range proxies {
		if p.lastStep != g.step {
			p.lastStep, p.messages = g.step, append(p.messages, now)
			g.stepMessages++
		}
	}
	heads += float64(n) * each
	g.stepEntries, g.queuedEntries = g.stepEntries+heads, g.queuedEntries+heads
	return n
}
