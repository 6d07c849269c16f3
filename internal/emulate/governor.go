package emulate

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// tick is how long a governor gathers before it steps.
const tick = 4 * time.Millisecond

// governor is one that is emulated: its decider, its channel, and what is on the way to it.
type governor struct {
	w     *World
	n     int
	up    bool
	life  int
	mind  Decider
	slow  float64 // times that its channel is slower, by troubles
	lost  float64 // share of its reports that is lost, by troubles
	late  time.Duration
	inbox []rules.Event
	due   bool // a Step is coming

	tables  []*table
	all     map[rules.GroupID]rules.Admit
	out     map[rules.ReplicaID]bool
	members map[rules.ProxyID]*member
	order   []*member // by the time of joining
	version uint16

	free    rules.Time // when the channel will have sent all that is in it
	parcels []parcel

	told     map[rules.ReplicaID]rules.Time // when it was told that one drains or is gone
	known    map[rules.ReplicaID]rules.Entry
	watching bool

	in    *intake.Aggregator // where proxies tell what each met
	sums  [][]sum            // by zone and replica, of this period
	heard []reports          // what waits to be passed on, by zone
}

type table struct {
	lines   map[rules.ReplicaID]float64
	order   []rules.ReplicaID
	admits  []rules.Admit
	has     rules.GroupSet // levels ordered
	view    *view          // as it stands; nil: to be made
	altered int            // lines changed in this Step
	cleared bool
	leveled rules.GroupSet
}

type member struct {
	p       *proxy
	life    int
	table   []int // by group; -1: unbound
	bound   rules.GroupSet
	shuns   map[rules.ReplicaID]bool
	shunned int
	sent    []rules.Time // messages lately
	arrives rules.Time   // the last of them
	pairs   map[rules.ReplicaID]*sum
	told    uint32 // batches
}

// parcel is lines in the channel until it has sent them.
type parcel struct {
	until rules.Time
	lines float64
}

type sum struct {
	tries, dropped int
	took           time.Duration
	since          rules.Time
	report         rules.LoadReport
	told           bool
}

// reports wait until the governor is passed them, oldest first. What is told again of the same adds up.
type reports struct {
	queue   []report
	waiting map[uint64]int // by key: place in the queue, counted from its first ever
	first   int
}

type report struct {
	key   uint64
	event rules.Event
	since rules.Time
}

func newGovernor(w *World, n int) *governor { return &governor{w: w, n: n, slow: 1} }

// start begins a life.
func (g *governor) start() {
	w := g.w
	g.up = true
	g.life++
	g.tables, g.all, g.out = nil, map[rules.GroupID]rules.Admit{}, map[rules.ReplicaID]bool{}
	g.members, g.order, g.version, g.free, g.parcels = map[rules.ProxyID]*member{}, nil, 0, 0, nil
	g.told, g.known = map[rules.ReplicaID]rules.Time{}, map[rules.ReplicaID]rules.Entry{}
	g.inbox, g.due, g.watching = nil, false, false
	g.sums, g.heard = make([][]sum, w.fleet.Zones), make([]reports, w.fleet.Zones)
	g.mind = &rules.Governor{}
	if w.play.New != nil {
		g.mind = w.play.New(w, g.n)
	}
	set := w.set
	set.Zone = rules.ZoneID(g.n % w.fleet.Zones)
	g.post(rules.Start{Seed: w.play.Seed<<8 + uint64(g.n)<<4 + uint64(g.life), Settings: set})
	if g.in = nil; w.fleet.Met {
		g.in = intake.New(intake.Settings{Seed: w.play.Seed, Period: w.fleet.Period, Budget: metBudget, HalfLife: 2 * w.fleet.Period, MaxAge: 10 * w.fleet.Period,
			MaxPairs: metPairs, Zones: w.fleet.Zones})
		g.cut(g.life)
	}
	for z := range w.fleet.Zones {
		g.collect(z, g.life)
	}
	g.pass(g.life)
}

// kill ends a life; its proxies notice.
func (g *governor) kill() {
	if !g.up {
		return
	}
	g.up = false
	g.life++
	for _, m := range slices.Clone(g.order) {
		p := m.p
		p.fresh = p.fresh && m.bound == 0 && len(m.sent) == 0
		p.gov = nil
		g.w.in(g.w.between(g.w.fleet.Noticed, 2*g.w.fleet.Noticed), p.dial)
	}
	g.members, g.order = map[rules.ProxyID]*member{}, nil
}

// post hands an event over with the next Step.
func (g *governor) post(e rules.Event) {
	g.inbox = append(g.inbox, e)
	if g.due {
		return
	}
	g.due = true
	life := g.life
	g.w.in(tick, func() {
		if g.life == life && g.up {
			g.step()
		}
	})
}

func (g *governor) join(p *proxy) {
	m := &member{p: p, life: g.life, table: slices.Repeat([]int{-1}, len(g.w.fleet.Groups)), shuns: map[rules.ReplicaID]bool{}}
	g.members[p.id] = m
	g.order = append(g.order, m)
	if g.in != nil {
		g.in.Join(p.id, rules.ZoneID(p.zone))
		m.pairs = map[rules.ReplicaID]*sum{}
		g.tell(m, g.life)
	}
	g.w.watch.bare(p, p.gov != nil)
	g.post(rules.Joined{Proxy: p.id, Zone: rules.ZoneID(p.zone), FlowRate: p.rate, Fresh: p.fresh, MayHoldEjections: !p.fresh && g.in != nil})
}

func (g *governor) leave(p *proxy) {
	m := g.members[p.id]
	if m == nil {
		return
	}
	delete(g.members, p.id)
	g.order = slices.DeleteFunc(g.order, func(o *member) bool { return o == m })
	if g.in != nil {
		g.in.Leave(p.id)
	}
	life := g.life
	g.w.in(g.w.between(g.w.fleet.Noticed/2, g.w.fleet.Noticed), func() {
		if g.life == life && g.members[p.id] == nil {
			g.post(rules.Left{Proxy: p.id})
		}
	})
}

// step hands over what has come, and carries out what is ordered.
func (g *governor) step() {
	events := g.inbox
	g.inbox, g.due = nil, false
	for _, e := range events {
		if l, is := e.(rules.List); is {
			g.hear(l)
		}
	}
	orders := g.mind.Step(g.w.now, events)
	g.note(events, orders)
	life := g.life
	carries := false
	var mark *rules.AckRequest
	for _, o := range orders {
		switch o := o.(type) {
		case rules.WakeAfter:
			g.w.in(o.After, func() {
				if g.life == life {
					g.post(rules.Wake{TimerID: o.TimerID})
				}
			})
		case rules.Observe:
			g.watching = o.On
			if o.On {
				g.w.list.call(g)
			}
		case rules.FetchList:
			g.w.list.fetch(g)
		case rules.Forget:
			delete(g.told, o.Replica)
			delete(g.known, o.Replica)
			if g.in != nil {
				g.in.Forget(o.Replica)
			}
		case rules.AckRequest:
			mark = &o
		case rules.Log:
		default:
			carries = true
			g.take(o)
		}
	}
	if carries || mark != nil {
		g.write(mark)
	}
}

// note writes a line of the trace for a Step in which something came or was ordered that people would ask for.
func (g *governor) note(events []rules.Event, orders []rules.Order) {
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
		case rules.EndpointWeight:
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
		g.w.watch.trace(fmt.Sprintf("governor %d: %d join, %d leave, %d listed of which %d drain or are gone; orders %d lines, %d of them removals, %d clears, binds %d; %.0f lines wait",
			g.n, joins, leaves, changed, gone, lines, removed, clears, binds, g.waits()))
	}
}

// hear notes what a list tells: drains count from here on.
func (g *governor) hear(l rules.List) {
	if l.Scope == rules.Failed {
		return
	}
	named := map[rules.ReplicaID]bool{}
	for _, e := range l.Entries {
		named[e.Replica] = true
		g.known[e.Replica] = e
		if e.State == rules.Ready {
			delete(g.told, e.Replica)
		} else if _, is := g.told[e.Replica]; !is {
			g.told[e.Replica] = g.w.now
		}
	}
	if l.Scope != rules.Changes {
		for r := range g.known {
			if _, is := g.told[r]; !named[r] && !is {
				g.told[r] = g.w.now
			}
		}
	}
}

func (g *governor) table(id rules.TableID) *table {
	for int(id) >= len(g.tables) {
		g.tables = append(g.tables, &table{lines: map[rules.ReplicaID]float64{}, admits: make([]rules.Admit, len(g.w.fleet.Groups))})
	}
	return g.tables[id]
}

// has tells whether a set names a group.
func has(s rules.GroupSet, group int) bool { return s == 0 || s&(1<<group) != 0 }

// take notes one order.
func (g *governor) take(o rules.Order) {
	switch o := o.(type) {
	case rules.EndpointWeight:
		t := g.table(o.Table)
		_, is := t.lines[o.Replica]
		if o.Weight > 0 && !is {
			t.order = append(t.order, o.Replica)
		} else if o.Weight == 0 && is {
			t.order = slices.DeleteFunc(t.order, func(r rules.ReplicaID) bool { return r == o.Replica })
		}
		if t.lines[o.Replica] = o.Weight; o.Weight == 0 {
			delete(t.lines, o.Replica)
		}
		t.view = nil
		t.altered++
	case rules.ClearTable:
		t := g.table(o.Table)
		clear(t.lines)
		t.order, t.view, t.cleared, t.altered, t.has = nil, nil, true, 0, 0
	case rules.Admit:
		for i := range g.w.fleet.Groups {
			if !has(o.Groups, i) {
				continue
			}
			if o.Table == rules.AllTables {
				g.all[rules.GroupID(i)] = o
				for _, t := range g.tables {
					t.leveled |= 1 << i
				}
				continue
			}
			t := g.table(o.Table)
			t.admits[i] = o
			t.has |= 1 << i
			t.leveled |= 1 << i
		}
	case rules.Bind:
		if m := g.members[o.Proxy]; m != nil {
			for i := range g.w.fleet.Groups {
				if has(o.Groups, i) {
					m.table[i] = int(o.Table)
					m.bound |= 1 << i
				}
			}
			g.table(o.Table)
		}
	case rules.Withdraw:
		g.out[o.Replica] = o.Out
		for _, m := range g.order {
			m.shunned++
		}
	case rules.PairEjection:
		if m := g.members[o.Proxy]; m != nil {
			m.shuns[o.Replica] = o.Ejected
			m.shunned++
		}
	}
}

// shown is a table as it stands.
func (t *table) shown() *view {
	if t.view == nil {
		v := &view{replicas: slices.Clone(t.order)}
		total := 0.0
		for _, r := range v.replicas {
			total += t.lines[r]
			v.weights = append(v.weights, t.lines[r])
			v.sums = append(v.sums, total)
		}
		t.view = v
	}
	return t.view
}

// write puts one message for each proxy concerned into the channel. It shows tables as they stand at the Step's end.
func (g *governor) write(mark *rules.AckRequest) {
	w := g.w
	messages, lines := 0, 0.0
	type content struct {
		m      *member
		views  []*view
		levels []rules.Admit
		lines  float64
		shut   map[rules.ReplicaID]bool
	}
	var out []content
	for _, m := range g.order {
		n := 0.0
		seen := [16]int{}
		uses := seen[:0]
		for i, t := range m.table {
			if t < 0 || slices.Contains(uses, t) {
				continue
			}
			uses = append(uses, t)
			tab := g.tables[t]
			switch {
			case m.bound&(1<<i) != 0 || tab.cleared:
				n += float64(len(tab.order)) + 1
				for j := range w.fleet.Groups {
					n += float64(tab.has >> j & 1)
				}
			default:
				n += float64(tab.altered)
				for j := range w.fleet.Groups {
					n += float64(tab.leveled >> j & 1)
				}
			}
		}
		n += float64(m.shunned)
		if n == 0 && (mark == nil || !mark.AllProxies) {
			continue
		}
		if mark != nil {
			n++
		}
		c := content{m: m, lines: n + w.fleet.Head, views: make([]*view, len(m.table)), levels: make([]rules.Admit, len(m.table))}
		for i, t := range m.table {
			if t < 0 {
				continue
			}
			tab := g.tables[t]
			c.views[i] = tab.shown()
			c.levels[i] = rules.Admit{Level: 1, Retry: rules.RetryUnprocessed}
			if tab.has>>i&1 == 1 {
				c.levels[i] = tab.admits[i]
			}
			if a, is := g.all[rules.GroupID(i)]; is {
				c.levels[i].Level = min(c.levels[i].Level, a.Level)
			}
		}
		if m.shunned > 0 || m.bound != 0 {
			c.shut = map[rules.ReplicaID]bool{}
			for r, is := range g.out {
				c.shut[r] = is
			}
			for r, is := range m.shuns {
				c.shut[r] = c.shut[r] || is
			}
		}
		out = append(out, c)
		m.shunned = 0
		messages++
		lines += c.lines
	}
	for _, c := range out {
		g.enter(c.m, c.lines)
		at := max(g.free+rules.Time(w.between(w.fleet.Travel/4, w.fleet.Travel)), c.m.arrives) // a stream keeps its order
		c.m.arrives = at
		arrive := time.Duration(at - w.now)
		life, joined := g.life, c.m
		pause := time.Duration(c.lines) * w.fleet.Pause
		w.in(arrive, func() {
			p := joined.p
			if g.members[p.id] != joined || g.life != life || !p.up {
				return
			}
			p.until = max(p.until, w.now) + rules.Time(pause)
			p.apply(c.views, c.levels, c.shut)
			if mark == nil {
				return
			}
			w.in(time.Duration(p.until-w.now)+w.fleet.Net, func() {
				if g.members[p.id] == joined && g.life == life {
					g.post(rules.Applied{Proxy: p.id, Version: mark.Version, Delay: arrive})
				}
			})
		})
		c.m.bound = 0
	}
	for _, t := range g.tables {
		t.altered, t.cleared, t.leveled = 0, false, 0
	}
	w.watch.channel(g)
}

// enter puts a message into the channel.
func (g *governor) enter(m *member, lines float64) {
	w := g.w
	took := time.Duration(lines / w.fleet.Pace * g.slow * float64(time.Second))
	if w.play.FreeChannel {
		took = 0
	}
	g.free = max(g.free, w.now) + rules.Time(took)
	g.parcels = append(g.parcels, parcel{g.free, lines})
	w.second.Lines += lines
	w.second.Messages++
	span := rules.Time(w.fleet.MessageSec)
	for len(m.sent) > 0 && m.sent[0] <= w.now-span {
		m.sent = m.sent[1:]
	}
	m.sent = append(m.sent, w.now)
	w.watch.message(g, m)
}

// waits is how many lines are in the channel.
func (g *governor) waits() (lines float64) {
	sent := 0
	for sent < len(g.parcels) && g.parcels[sent].until <= g.w.now {
		sent++
	}
	g.parcels = g.parcels[sent:]
	for _, p := range g.parcels {
		lines += p.lines
	}
	return lines
}

// apply takes a message's tables on.
func (p *proxy) apply(views []*view, levels []rules.Admit, shut map[rules.ReplicaID]bool) {
	for i, v := range views {
		if v != nil {
			p.views[i], p.levels[i] = v, levels[i]
		}
	}
	if shut != nil {
		p.shut = shut
	}
	p.fresh = false
	p.w.watch.bare(p, true)
}

// met adds a try to the sums of the proxy's zone.
func (g *governor) met(p *proxy, t *try, o outcome) {
	if g.sums[p.zone] == nil {
		g.sums[p.zone] = make([]sum, 0, len(g.w.replicas))
	}
	for len(g.sums[p.zone]) <= int(t.replica.id) {
		g.sums[p.zone] = append(g.sums[p.zone], sum{})
	}
	g.sums[p.zone][t.replica.id].add(t, o, g.w.now)
	if m := g.members[p.id]; g.in != nil && m != nil {
		if m.pairs[t.replica.id] == nil {
			m.pairs[t.replica.id] = &sum{}
		}
		m.pairs[t.replica.id].add(t, o, g.w.now)
	}
}

func (s *sum) add(t *try, o outcome, now rules.Time) {
	if s.tries++; o != good {
		s.dropped++
		return
	}
	s.took += time.Duration(now - t.sent)
	if t.replica.told {
		s.report, s.told = t.replica.report, true
	}
}

// What an intake may hold: the daemon derives the same from its machine.
const (
	metBudget = 20_000
	metPairs  = 2_000
)

// tell has a proxy tell each period what it met at each replica.
func (g *governor) tell(m *member, life int) {
	w := g.w
	w.in(w.between(w.fleet.Period*9/10, w.fleet.Period*11/10), func() {
		if g.life != life || g.members[m.p.id] != m {
			return
		}
		g.tell(m, life)
		b := intake.NewBatch()
		m.told++
		b.Proxy, b.Sequence, b.Window = m.p.id, m.told, w.fleet.Period
		for _, r := range slices.Sorted(maps.Keys(m.pairs)) {
			s := m.pairs[r]
			x := intake.Record{Replica: r, Attempts: s.tries, Dropped: s.dropped, Report: rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent,
				ServiceTime: rules.Absent, Rate: rules.Absent}}
			if n := s.tries - s.dropped; n > 0 {
				x.MeanLatency = s.took / time.Duration(n)
			}
			if s.told {
				x.Report = s.report
			}
			b.Records = append(b.Records, x)
		}
		clear(m.pairs)
		w.in(w.fleet.Net, func() {
			if b.ReceivedAt = w.now; g.life == life && len(b.Records) > 0 {
				g.in.AddBatch(w.now, b)
			}
			b.Free()
		})
	})
}

// cut hands over what the intake has gathered.
func (g *governor) cut(life int) {
	g.w.in(passEach, func() {
		if g.life != life {
			return
		}
		g.cut(life)
		if g.in.FlushDue(g.w.now) {
			for _, e := range g.in.Flush(g.w.now) {
				g.post(e)
			}
		}
	})
}

// collect gathers a zone's sums each period; they come late.
func (g *governor) collect(zone, life int) {
	w := g.w
	w.in(w.fleet.Period, func() {
		if g.life != life {
			return
		}
		g.collect(zone, life)
		var batch []report
		since := w.now - rules.Time(w.fleet.Period)
		for r := range g.sums[zone] {
			s := &g.sums[zone][r]
			if s.tries == 0 {
				continue
			}
			e := rules.EndpointStats{Replica: rules.ReplicaID(r), Zone: rules.ZoneID(zone), Attempts: s.tries, Dropped: s.dropped,
				Report: rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}}
			if n := s.tries - s.dropped; n > 0 {
				e.MeanLatency = s.took / time.Duration(n)
			}
			if s.told {
				e.Report = s.report
			}
			batch = append(batch, report{uint64(r), e, since})
			*s = sum{}
		}
		for _, m := range g.order {
			if m.p.zone != zone {
				continue
			}
			for i, u := range m.p.usage {
				if u[0] > 0 {
					batch = append(batch, report{1<<32 | uint64(m.p.id)<<8 | uint64(i), rules.GroupTraffic{Proxy: m.p.id, Group: rules.GroupID(i), Flows: u[0], Dropped: u[1]}, since})
					m.p.usage[i] = [2]int{}
				}
			}
		}
		w.chance.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		w.in(w.between(w.fleet.ReportLate/2, w.fleet.ReportLate)+g.late, func() {
			if g.life != life {
				return
			}
			for _, r := range batch {
				if g.lost == 0 || w.chance.Float64() >= g.lost {
					g.heard[zone].add(r)
				}
			}
		})
	})
}

// add puts a report in line, or to what waits of the same.
func (q *reports) add(r report) {
	if q.waiting == nil {
		q.waiting = map[uint64]int{}
	}
	if at, is := q.waiting[r.key]; is {
		old := &q.queue[at-q.first]
		switch e := old.event.(type) {
		case rules.EndpointStats:
			n := r.event.(rules.EndpointStats)
			goodOld, goodNew := e.Attempts-e.Dropped, n.Attempts-n.Dropped
			if all := goodOld + goodNew; all > 0 {
				e.MeanLatency = (e.MeanLatency*time.Duration(goodOld) + n.MeanLatency*time.Duration(goodNew)) / time.Duration(all)
			}
			e.Attempts, e.Dropped = e.Attempts+n.Attempts, e.Dropped+n.Dropped
			if n.Report.Utilization >= 0 {
				e.Report = n.Report
			}
			old.event = e
		case rules.GroupTraffic:
			n := r.event.(rules.GroupTraffic)
			e.Flows, e.Dropped = e.Flows+n.Flows, e.Dropped+n.Dropped
			old.event = e
		}
		return
	}
	q.waiting[r.key] = q.first + len(q.queue)
	q.queue = append(q.queue, r)
}

// passEach is how often reports are passed on.
const passEach = 50 * time.Millisecond

// pass hands the governor what it may be passed, oldest first.
func (g *governor) pass(life int) {
	w := g.w
	w.in(passEach, func() {
		if g.life != life {
			return
		}
		g.pass(life)
		left := int(1e9)
		if w.fleet.Hears > 0 {
			left = int(w.fleet.Hears * passEach.Seconds())
		}
		for left > 0 {
			oldest := -1
			for z := range g.heard {
				if q := g.heard[z].queue; len(q) > 0 && (oldest < 0 || q[0].since < g.heard[oldest].queue[0].since) {
					oldest = z
				}
			}
			if oldest < 0 {
				return
			}
			q := &g.heard[oldest]
			r := q.queue[0]
			q.queue = q.queue[1:]
			q.first++
			delete(q.waiting, r.key)
			over := time.Duration(w.now-r.since) / w.fleet.Period * w.fleet.Period
			switch e := r.event.(type) {
			case rules.EndpointStats:
				e.Window = max(over-w.fleet.Period, w.fleet.Period)
				if g.in != nil {
					s, counts := g.in.AdjustStats(w.now, w.now, e)
					if e = s; !counts {
						continue
					}
				}
				g.post(e)
			case rules.GroupTraffic:
				e.Window = max(over-w.fleet.Period, w.fleet.Period)
				g.post(e)
			}
			left--
		}
	})
}
