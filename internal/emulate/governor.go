package emulate

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// stepDelay is how long a governor gathers before it steps.
const stepDelay = 4 * time.Millisecond

// governor is one that is emulated: its decider, its channel, and what is on the way to it.
type governor struct {
	sim             *Simulation
	index           int
	up              bool
	incarnation     int
	decider         Decider
	channelSlowdown float64 // times that its channel is slower, by troubles
	reportLoss      float64 // share of its reports that is lost, by troubles
	reportDelay     time.Duration
	inbox           []rules.Event
	stepScheduled   bool // a Step is coming

	tables       []*weightTable
	allTables    map[rules.GroupID]rules.Admit
	withdrawn    map[rules.ReplicaID]bool
	sessions     map[rules.ProxyID]*proxySession
	sessionOrder []*proxySession // by the time of joining
	version      uint16

	channelFreeAt  rules.Time // when the channel will have sent all that is in it
	channelBatches []channelBatch

	unavailableSince  map[rules.ReplicaID]rules.Time // when it was told that one drains or is gone
	listed            map[rules.ReplicaID]rules.Entry
	watchingDiscovery bool

	intake       *intake.Intake   // where proxies tell what each met
	zoneStats    [][]attemptStats // by zone and replica, of this period
	reportQueues []reportQueue    // what waits to be passed on, by zone
}

type weightTable struct {
	weights           map[rules.ReplicaID]float64
	order             []rules.ReplicaID
	admissions        []rules.Admit
	admissionGroups   rules.GroupSet // levels ordered
	cached            *tableSnapshot // as it stands; nil: to be made
	changedLines      int            // lines changed in this Step
	cleared           bool
	changedAdmissions rules.GroupSet
}

type proxySession struct {
	proxy            *proxy
	incarnation      int
	tables           []int // by group; -1: unbound
	rebound          rules.GroupSet
	ejected          map[rules.ReplicaID]bool
	changedEjections int
	recentMessages   []rules.Time // messages lately
	lastArrival      rules.Time   // the last of them
	replicaStats     map[rules.ReplicaID]*attemptStats
	batchSequence    uint32 // batches
}

// channelBatch is lines in the channel until it has sent them.
type channelBatch struct {
	sentAt rules.Time
	lines  float64
}

type attemptStats struct {
	attempts, failures int
	totalLatency       time.Duration
	since              rules.Time
	report             rules.Report
	hasReport          bool
}

// reportQueue wait until the governor is passed them, oldest first. What is told again of the same adds up.
type reportQueue struct {
	pending       []queuedReport
	positions     map[uint64]int // by key: place in the queue, counted from its first ever
	firstPosition int
}

type queuedReport struct {
	key   uint64
	event rules.Event
	since rules.Time
}

func newGovernor(sim *Simulation, n int) *governor {
	return &governor{sim: sim, index: n, channelSlowdown: 1}
}

// start begins a life.
func (g *governor) start() {
	sim := g.sim
	g.up = true
	g.incarnation++
	g.tables, g.allTables, g.withdrawn = nil, map[rules.GroupID]rules.Admit{}, map[rules.ReplicaID]bool{}
	g.sessions, g.sessionOrder, g.version, g.channelFreeAt, g.channelBatches = map[rules.ProxyID]*proxySession{}, nil, 0, 0, nil
	g.unavailableSince, g.listed = map[rules.ReplicaID]rules.Time{}, map[rules.ReplicaID]rules.Entry{}
	g.inbox, g.stepScheduled, g.watchingDiscovery = nil, false, false
	g.zoneStats, g.reportQueues = make([][]attemptStats, sim.fleet.Zones), make([]reportQueue, sim.fleet.Zones)
	g.decider = &rules.Governor{}
	if sim.config.NewDecider != nil {
		g.decider = sim.config.NewDecider(sim, g.index)
	}
	set := sim.settings
	set.Zone = rules.ZoneID(g.index % sim.fleet.Zones)
	g.post(rules.Start{Seed: sim.config.Seed<<8 + uint64(g.index)<<4 + uint64(g.incarnation), Settings: set})
	if g.intake = nil; sim.fleet.ProxyReports {
		g.intake = intake.New(intake.Settings{Seed: sim.config.Seed, Period: sim.fleet.ReportPeriod, Budget: intakeBudget, HalfLife: 2 * sim.fleet.ReportPeriod, MostAge: 10 * sim.fleet.ReportPeriod,
			Pairs: intakeMaxPairs, Zones: sim.fleet.Zones})
		g.scheduleIntakeCut(g.incarnation)
	}
	for z := range sim.fleet.Zones {
		g.scheduleCollection(z, g.incarnation)
	}
	g.scheduleDelivery(g.incarnation)
}

// crash ends a life; its proxies notice.
func (g *governor) crash() {
	if !g.up {
		return
	}
	g.up = false
	g.incarnation++
	for _, m := range slices.Clone(g.sessionOrder) {
		p := m.proxy
		p.fresh = p.fresh && m.rebound == 0 && len(m.recentMessages) == 0
		p.governor = nil
		g.sim.schedule(g.sim.uniform(g.sim.fleet.DisconnectDetectionDelay, 2*g.sim.fleet.DisconnectDetectionDelay), p.connect)
	}
	g.sessions, g.sessionOrder = map[rules.ProxyID]*proxySession{}, nil
}

// post hands an event over with the next Step.
func (g *governor) post(e rules.Event) {
	g.inbox = append(g.inbox, e)
	if g.stepScheduled {
		return
	}
	g.stepScheduled = true
	life := g.incarnation
	g.sim.schedule(stepDelay, func() {
		if g.incarnation == life && g.up {
			g.step()
		}
	})
}

func (g *governor) join(p *proxy) {
	m := &proxySession{proxy: p, incarnation: g.incarnation, tables: slices.Repeat([]int{-1}, len(g.sim.fleet.Groups)), ejected: map[rules.ReplicaID]bool{}}
	g.sessions[p.id] = m
	g.sessionOrder = append(g.sessionOrder, m)
	if g.intake != nil {
		g.intake.Join(p.id, rules.ZoneID(p.zone))
		m.replicaStats = map[rules.ReplicaID]*attemptStats{}
		g.scheduleProxyReport(m, g.incarnation)
	}
	g.sim.monitor.updateUnserved(p, p.governor != nil)
	g.post(rules.Joined{Proxy: p.id, Zone: rules.ZoneID(p.zone), Rate: p.rate, Fresh: p.fresh, Unsure: !p.fresh && g.intake != nil})
}

func (g *governor) leave(p *proxy) {
	m := g.sessions[p.id]
	if m == nil {
		return
	}
	delete(g.sessions, p.id)
	g.sessionOrder = slices.DeleteFunc(g.sessionOrder, func(o *proxySession) bool { return o == m })
	if g.intake != nil {
		g.intake.Leave(p.id)
	}
	life := g.incarnation
	g.sim.schedule(g.sim.uniform(g.sim.fleet.DisconnectDetectionDelay/2, g.sim.fleet.DisconnectDetectionDelay), func() {
		if g.incarnation == life && g.sessions[p.id] == nil {
			g.post(rules.Left{Proxy: p.id})
		}
	})
}

// step hands over what has come, and carries out what is ordered.
func (g *governor) step() {
	events := g.inbox
	g.inbox, g.stepScheduled = nil, false
	for _, e := range events {
		if l, is := e.(rules.List); is {
			g.recordList(l)
		}
	}
	orders := g.decider.Step(g.sim.now, events)
	g.traceStep(events, orders)
	life := g.incarnation
	carries := false
	var mark *rules.Mark
	for _, o := range orders {
		switch o := o.(type) {
		case rules.WakeAfter:
			g.sim.schedule(o.After, func() {
				if g.incarnation == life {
					g.post(rules.Wake{Mark: o.Mark})
				}
			})
		case rules.Observe:
			g.watchingDiscovery = o.On
			if o.On {
				g.sim.discovery.watch(g)
			}
		case rules.FetchList:
			g.sim.discovery.refetch(g)
		case rules.Forget:
			delete(g.unavailableSince, o.Replica)
			delete(g.listed, o.Replica)
			if g.intake != nil {
				g.intake.Forget(o.Replica)
			}
		case rules.Mark:
			mark = &o
		case rules.Log:
		default:
			carries = true
			g.applyOrder(o)
		}
	}
	if carries || mark != nil {
		g.publish(mark)
	}
}

// traceStep writes a line of the trace for a Step in which something came or was ordered that people would ask for.
func (g *governor) traceStep(events []rules.Event, orders []rules.Order) {
	joins, leaves, changed, gone := 0, 0, 0, 0
	for _, e := range events {
		switch e := e.(type) {
		case rules.Joined:
			joins++
		case rules.Left:
			leaves++
		case rules.List:
			for _, n := range e.Entries {
				if changed++; n.State != rules.Ready {
					gone++
				}
			}
		}
	}
	lines, removed, binds, clears := 0, 0, 0, 0
	for _, o := range orders {
		switch o := o.(type) {
		case rules.Line:
			if lines++; o.Weight == 0 {
				removed++
			}
		case rules.Bind:
			binds++
		case rules.ClearTable:
			clears++
		}
	}
	if joins+leaves+changed+lines+binds+clears > 0 {
		g.sim.monitor.trace(fmt.Sprintf("governor %d: %d join, %d leave, %d listed of which %d drain or are gone; orders %d lines, %d of them removals, %d clears, binds %d; %.0f lines wait",
			g.index, joins, leaves, changed, gone, lines, removed, clears, binds, g.queuedLines()))
	}
}

// recordList notes what a list tells: drains count from here on.
func (g *governor) recordList(l rules.List) {
	if l.Scope == rules.Failed {
		return
	}
	named := map[rules.ReplicaID]bool{}
	for _, e := range l.Entries {
		named[e.Replica] = true
		g.listed[e.Replica] = e
		if e.State == rules.Ready {
			delete(g.unavailableSince, e.Replica)
		} else if _, is := g.unavailableSince[e.Replica]; !is {
			g.unavailableSince[e.Replica] = g.sim.now
		}
	}
	if l.Scope != rules.Changes {
		for r := range g.listed {
			if _, is := g.unavailableSince[r]; !named[r] && !is {
				g.unavailableSince[r] = g.sim.now
			}
		}
	}
}

func (g *governor) table(id rules.TableID) *weightTable {
	for int(id) >= len(g.tables) {
		g.tables = append(g.tables, &weightTable{weights: map[rules.ReplicaID]float64{}, admissions: make([]rules.Admit, len(g.sim.fleet.Groups))})
	}
	return g.tables[id]
}

// inGroupSet tells whether a set names a group.
func inGroupSet(s rules.GroupSet, group int) bool { return s == 0 || s&(1<<group) != 0 }

// applyOrder notes one order.
func (g *governor) applyOrder(o rules.Order) {
	switch o := o.(type) {
	case rules.Line:
		t := g.table(o.Table)
		_, is := t.weights[o.Replica]
		if o.Weight > 0 && !is {
			t.order = append(t.order, o.Replica)
		} else if o.Weight == 0 && is {
			t.order = slices.DeleteFunc(t.order, func(r rules.ReplicaID) bool { return r == o.Replica })
		}
		if t.weights[o.Replica] = o.Weight; o.Weight == 0 {
			delete(t.weights, o.Replica)
		}
		t.cached = nil
		t.changedLines++
	case rules.ClearTable:
		t := g.table(o.Table)
		clear(t.weights)
		t.order, t.cached, t.cleared, t.changedLines, t.admissionGroups = nil, nil, true, 0, 0
	case rules.Admit:
		for i := range g.sim.fleet.Groups {
			if !inGroupSet(o.Groups, i) {
				continue
			}
			if o.Table == rules.AllTables {
				g.allTables[rules.GroupID(i)] = o
				for _, t := range g.tables {
					t.changedAdmissions |= 1 << i
				}
				continue
			}
			t := g.table(o.Table)
			t.admissions[i] = o
			t.admissionGroups |= 1 << i
			t.changedAdmissions |= 1 << i
		}
	case rules.Bind:
		if m := g.sessions[o.Proxy]; m != nil {
			for i := range g.sim.fleet.Groups {
				if inGroupSet(o.Groups, i) {
					m.tables[i] = int(o.Table)
					m.rebound |= 1 << i
				}
			}
			g.table(o.Table)
		}
	case rules.Withdraw:
		g.withdrawn[o.Replica] = o.Out
		for _, m := range g.sessionOrder {
			m.changedEjections++
		}
	case rules.Shun:
		if m := g.sessions[o.Proxy]; m != nil {
			m.ejected[o.Replica] = o.Out
			m.changedEjections++
		}
	}
}

// snapshot is a table as it stands.
func (t *weightTable) snapshot() *tableSnapshot {
	if t.cached == nil {
		v := &tableSnapshot{replicas: slices.Clone(t.order)}
		total := 0.0
		for _, r := range v.replicas {
			total += t.weights[r]
			v.weights = append(v.weights, t.weights[r])
			v.cumulativeWeights = append(v.cumulativeWeights, total)
		}
		t.cached = v
	}
	return t.cached
}

// publish puts one message for each proxy concerned into the channel. It shows tables as they stand at the Step's end.
func (g *governor) publish(mark *rules.Mark) {
	sim := g.sim
	messages, lines := 0, 0.0
	type content struct {
		m      *proxySession
		views  []*tableSnapshot
		levels []rules.Admit
		lines  float64
		shut   map[rules.ReplicaID]bool
	}
	var out []content
	for _, m := range g.sessionOrder {
		n := 0.0
		seen := [16]int{}
		uses := seen[:0]
		for i, t := range m.tables {
			if t < 0 || slices.Contains(uses, t) {
				continue
			}
			uses = append(uses, t)
			tab := g.tables[t]
			switch {
			case m.rebound&(1<<i) != 0 || tab.cleared:
				n += float64(len(tab.order)) + 1
				for j := range sim.fleet.Groups {
					n += float64(tab.admissionGroups >> j & 1)
				}
			default:
				n += float64(tab.changedLines)
				for j := range sim.fleet.Groups {
					n += float64(tab.changedAdmissions >> j & 1)
				}
			}
		}
		n += float64(m.changedEjections)
		if n == 0 && (mark == nil || !mark.ToAll) {
			continue
		}
		if mark != nil {
			n++
		}
		c := content{m: m, lines: n + sim.fleet.MessageOverhead, views: make([]*tableSnapshot, len(m.tables)), levels: make([]rules.Admit, len(m.tables))}
		for i, t := range m.tables {
			if t < 0 {
				continue
			}
			tab := g.tables[t]
			c.views[i] = tab.snapshot()
			c.levels[i] = rules.Admit{Level: 1, Retry: rules.RetryUnrun}
			if tab.admissionGroups>>i&1 == 1 {
				c.levels[i] = tab.admissions[i]
			}
			if a, is := g.allTables[rules.GroupID(i)]; is {
				c.levels[i].Level = min(c.levels[i].Level, a.Level)
			}
		}
		if m.changedEjections > 0 || m.rebound != 0 {
			c.shut = map[rules.ReplicaID]bool{}
			for r, is := range g.withdrawn {
				c.shut[r] = is
			}
			for r, is := range m.ejected {
				c.shut[r] = c.shut[r] || is
			}
		}
		out = append(out, c)
		m.changedEjections = 0
		messages++
		lines += c.lines
	}
	for _, c := range out {
		g.enqueue(c.m, c.lines)
		at := max(g.channelFreeAt+rules.Time(sim.uniform(sim.fleet.MaxMessageDelay/4, sim.fleet.MaxMessageDelay)), c.m.lastArrival) // a stream keeps its order
		c.m.lastArrival = at
		arrive := time.Duration(at - sim.now)
		life, joined := g.incarnation, c.m
		pause := time.Duration(c.lines) * sim.fleet.ApplyTimePerLine
		sim.schedule(arrive, func() {
			p := joined.proxy
			if g.sessions[p.id] != joined || g.incarnation != life || !p.up {
				return
			}
			p.busyUntil = max(p.busyUntil, sim.now) + rules.Time(pause)
			p.applyMessage(c.views, c.levels, c.shut)
			if mark == nil {
				return
			}
			sim.schedule(time.Duration(p.busyUntil-sim.now)+sim.fleet.LocalDelay, func() {
				if g.sessions[p.id] == joined && g.incarnation == life {
					g.post(rules.Applied{Proxy: p.id, Version: mark.Version, Took: arrive})
				}
			})
		})
		c.m.rebound = 0
	}
	for _, t := range g.tables {
		t.changedLines, t.cleared, t.changedAdmissions = 0, false, 0
	}
	sim.monitor.checkChannel(g)
}

// enqueue puts a message into the channel.
func (g *governor) enqueue(m *proxySession, lines float64) {
	sim := g.sim
	took := time.Duration(lines / sim.fleet.ChannelRate * g.channelSlowdown * float64(time.Second))
	if sim.config.FreeChannel {
		took = 0
	}
	g.channelFreeAt = max(g.channelFreeAt, sim.now) + rules.Time(took)
	g.channelBatches = append(g.channelBatches, channelBatch{g.channelFreeAt, lines})
	sim.current.ChannelLines += lines
	sim.current.Messages++
	span := rules.Time(sim.fleet.MessageWindow)
	for len(m.recentMessages) > 0 && m.recentMessages[0] <= sim.now-span {
		m.recentMessages = m.recentMessages[1:]
	}
	m.recentMessages = append(m.recentMessages, sim.now)
	sim.monitor.checkMessages(g, m)
}

// queuedLines is how many lines are in the channel.
func (g *governor) queuedLines() (lines float64) {
	sent := 0
	for sent < len(g.channelBatches) && g.channelBatches[sent].sentAt <= g.sim.now {
		sent++
	}
	g.channelBatches = g.channelBatches[sent:]
	for _, p := range g.channelBatches {
		lines += p.lines
	}
	return lines
}

// applyMessage takes a message's tables on.
func (p *proxy) applyMessage(views []*tableSnapshot, levels []rules.Admit, shut map[rules.ReplicaID]bool) {
	for i, v := range views {
		if v != nil {
			p.tables[i], p.admissions[i] = v, levels[i]
		}
	}
	if shut != nil {
		p.ejected = shut
	}
	p.fresh = false
	p.sim.monitor.updateUnserved(p, true)
}

// recordAttempt adds a try to the sums of the proxy's zone.
func (g *governor) recordAttempt(p *proxy, t *attempt, o attemptOutcome) {
	if g.zoneStats[p.zone] == nil {
		g.zoneStats[p.zone] = make([]attemptStats, 0, len(g.sim.replicas))
	}
	for len(g.zoneStats[p.zone]) <= int(t.replica.id) {
		g.zoneStats[p.zone] = append(g.zoneStats[p.zone], attemptStats{})
	}
	g.zoneStats[p.zone][t.replica.id].add(t, o, g.sim.now)
	if m := g.sessions[p.id]; g.intake != nil && m != nil {
		if m.replicaStats[t.replica.id] == nil {
			m.replicaStats[t.replica.id] = &attemptStats{}
		}
		m.replicaStats[t.replica.id].add(t, o, g.sim.now)
	}
}

func (s *attemptStats) add(t *attempt, o attemptOutcome, now rules.Time) {
	if s.attempts++; o != succeeded {
		s.failures++
		return
	}
	s.totalLatency += time.Duration(now - t.sentAt)
	if t.replica.hasReport {
		s.report, s.hasReport = t.replica.report, true
	}
}

// What an intake may hold: the daemon derives the same from its machine.
const (
	intakeBudget   = 20_000
	intakeMaxPairs = 2_000
)

// scheduleProxyReport has a proxy tell each period what it met at each replica.
func (g *governor) scheduleProxyReport(m *proxySession, life int) {
	sim := g.sim
	sim.schedule(sim.uniform(sim.fleet.ReportPeriod*9/10, sim.fleet.ReportPeriod*11/10), func() {
		if g.incarnation != life || g.sessions[m.proxy.id] != m {
			return
		}
		g.scheduleProxyReport(m, life)
		b := intake.NewBatch()
		m.batchSequence++
		b.Proxy, b.Seq, b.Over = m.proxy.id, m.batchSequence, sim.fleet.ReportPeriod
		for _, r := range slices.Sorted(maps.Keys(m.replicaStats)) {
			s := m.replicaStats[r]
			x := intake.Record{Replica: r, Tries: s.attempts, Dropped: s.failures, Report: rules.Report{Util: rules.Absent, InFlight: rules.Absent,
				ServiceTime: rules.Absent, Rate: rules.Absent}}
			if n := s.attempts - s.failures; n > 0 {
				x.Took = s.totalLatency / time.Duration(n)
			}
			if s.hasReport {
				x.Report = s.report
			}
			b.Records = append(b.Records, x)
		}
		clear(m.replicaStats)
		sim.schedule(sim.fleet.LocalDelay, func() {
			if b.Read = sim.now; g.incarnation == life && len(b.Records) > 0 {
				g.intake.Take(sim.now, b)
			}
			b.Free()
		})
	})
}

// scheduleIntakeCut hands over what the intake has gathered.
func (g *governor) scheduleIntakeCut(life int) {
	g.sim.schedule(deliveryInterval, func() {
		if g.incarnation != life {
			return
		}
		g.scheduleIntakeCut(life)
		if g.intake.Due(g.sim.now) {
			for _, e := range g.intake.Cut(g.sim.now) {
				g.post(e)
			}
		}
	})
}

// scheduleCollection gathers a zone's sums each period; they come late.
func (g *governor) scheduleCollection(zone, life int) {
	sim := g.sim
	sim.schedule(sim.fleet.ReportPeriod, func() {
		if g.incarnation != life {
			return
		}
		g.scheduleCollection(zone, life)
		var batch []queuedReport
		since := sim.now - rules.Time(sim.fleet.ReportPeriod)
		for r := range g.zoneStats[zone] {
			s := &g.zoneStats[zone][r]
			if s.attempts == 0 {
				continue
			}
			e := rules.Sums{Replica: rules.ReplicaID(r), Zone: rules.ZoneID(zone), Tries: s.attempts, Dropped: s.failures,
				Report: rules.Report{Util: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}}
			if n := s.attempts - s.failures; n > 0 {
				e.Took = s.totalLatency / time.Duration(n)
			}
			if s.hasReport {
				e.Report = s.report
			}
			batch = append(batch, queuedReport{uint64(r), e, since})
			*s = attemptStats{}
		}
		for _, m := range g.sessionOrder {
			if m.proxy.zone != zone {
				continue
			}
			for i, u := range m.proxy.usage {
				if u[0] > 0 {
					batch = append(batch, queuedReport{1<<32 | uint64(m.proxy.id)<<8 | uint64(i), rules.Intake{Proxy: m.proxy.id, Group: rules.GroupID(i), Flows: u[0], Dropped: u[1]}, since})
					m.proxy.usage[i] = [2]int{}
				}
			}
		}
		sim.randomStream.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		sim.schedule(sim.uniform(sim.fleet.MaxReportDelay/2, sim.fleet.MaxReportDelay)+g.reportDelay, func() {
			if g.incarnation != life {
				return
			}
			for _, r := range batch {
				if g.reportLoss == 0 || sim.randomStream.Float64() >= g.reportLoss {
					g.reportQueues[zone].add(r)
				}
			}
		})
	})
}

// add puts a report in line, or to what waits of the same.
func (q *reportQueue) add(r queuedReport) {
	if q.positions == nil {
		q.positions = map[uint64]int{}
	}
	if at, is := q.positions[r.key]; is {
		old := &q.pending[at-q.firstPosition]
		switch e := old.event.(type) {
		case rules.Sums:
			n := r.event.(rules.Sums)
			goodOld, goodNew := e.Tries-e.Dropped, n.Tries-n.Dropped
			if all := goodOld + goodNew; all > 0 {
				e.Took = (e.Took*time.Duration(goodOld) + n.Took*time.Duration(goodNew)) / time.Duration(all)
			}
			e.Tries, e.Dropped = e.Tries+n.Tries, e.Dropped+n.Dropped
			if n.Report.Util >= 0 {
				e.Report = n.Report
			}
			old.event = e
		case rules.Intake:
			n := r.event.(rules.Intake)
			e.Flows, e.Dropped = e.Flows+n.Flows, e.Dropped+n.Dropped
			old.event = e
		}
		return
	}
	q.positions[r.key] = q.firstPosition + len(q.pending)
	q.pending = append(q.pending, r)
}

// deliveryInterval is how often reports are passed on.
const deliveryInterval = 50 * time.Millisecond

// scheduleDelivery hands the governor what it may be passed, oldest first.
func (g *governor) scheduleDelivery(life int) {
	sim := g.sim
	sim.schedule(deliveryInterval, func() {
		if g.incarnation != life {
			return
		}
		g.scheduleDelivery(life)
		left := int(1e9)
		if sim.fleet.MaxReportsPerSecond > 0 {
			left = int(sim.fleet.MaxReportsPerSecond * deliveryInterval.Seconds())
		}
		for left > 0 {
			oldest := -1
			for z := range g.reportQueues {
				if q := g.reportQueues[z].pending; len(q) > 0 && (oldest < 0 || q[0].since < g.reportQueues[oldest].pending[0].since) {
					oldest = z
				}
			}
			if oldest < 0 {
				return
			}
			q := &g.reportQueues[oldest]
			r := q.pending[0]
			q.pending = q.pending[1:]
			q.firstPosition++
			delete(q.positions, r.key)
			over := time.Duration(sim.now-r.since) / sim.fleet.ReportPeriod * sim.fleet.ReportPeriod
			switch e := r.event.(type) {
			case rules.Sums:
				e.Over = max(over-sim.fleet.ReportPeriod, sim.fleet.ReportPeriod)
				if g.intake != nil {
					s, counts := g.intake.Sums(sim.now, sim.now, e)
					if e = s; !counts {
						continue
					}
				}
				g.post(e)
			case rules.Intake:
				e.Over = max(over-sim.fleet.ReportPeriod, sim.fleet.ReportPeriod)
				g.post(e)
			}
			left--
		}
	})
}
