package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/internal/statestore"
)

const (
	keptKey   = "state"
	keptMost  = 64 << 10 // bytes that a comb keeps: a configuration of some hundred, a dozen replicas, windows with their audit
	callsMost = 60       // that wait at a comb
)

// machine is a core machine with its comb.
type machine struct {
	node
	i       int
	addr    string
	brain   *controller.Controller
	store   *statestore.Store
	disk    *disk
	wiped   int
	seen    uint64 // newest committed number in this life
	calls   map[uint64]func(controller.Response)
	callers map[uint64]*call // operators' calls that wait here
	streams map[uint64]*bee
	seeds   []string
	wall    time.Duration // by which its time of day is off
	spare   bool          // came at a new address
	gone    bool
	leaving bool
	goneAt  time.Duration
	caught  bool
	sent    int // messages in the second at hand
	second  time.Duration
}

// start begins a comb's life as its daemon does: the store is opened, what an empty disk lacks is made up, and the first
// write is awaited before anything is listened on.
func (w *world) start(m *machine, first bool) {
	w.begins(&m.node)
	w.event()
	m.seen, m.brain, m.caught = 0, nil, first
	m.calls, m.callers, m.streams = map[uint64]func(controller.Response){}, map[uint64]*call{}, map[uint64]*bee{}
	store, err := statestore.Open(m.disk)
	if err != nil {
		w.broken("%s cannot open its store: %v", m.name, err)
		return
	}
	m.store = store
	var k coordinator.PersistentState
	if raw, ok := store.Get(keptKey); ok {
		if k, err = coordinator.DecodePersistentState(raw); err != nil {
			w.broken("%s cannot read its disk: %v", m.name, err)
			return
		}
	}
	seeds := w.seeds(first)
	if k.DiskID == "" && !first {
		m.wiped++
	}
	if w.s.Fault == ClaimsForgotten {
		k.Register.Claims = nil
	}
	k.Initialize(m.addr, seeds, first || w.s.Fault == Amnesia, fmt.Sprintf("w%d", m.wiped))
	m.brain = controller.New(w.local(&m.node), controller.Options{Zone: w.zone(m.i), ControlAddr: m.addr, Zones: []string{"a", "b", "c"}, RegionByZone: map[string]string{"a": "r0", "b": "r1", "c": "r2"}, Seeds: seeds, LinkMbps: 1000,
		DrainDeadline: drainIn, HeartbeatInterval: beatEvery, RandomSeed: w.r.Uint64()}, membership.Member{ID: k.DiskID, Addr: m.addr, Zone: w.zone(m.i), APIAddr: m.addr}, k)
	w.say("%s starts as %s, view %d, register %d (version %d)", m.name, k.DiskID, k.View.View.Number, k.Register.Sequence, k.Register.Version)
	raw, err := m.brain.PersistentState()
	if err != nil {
		w.broken("%s: %v", m.name, err)
		return
	}
	w.history.start(w, m, raw)
	brain := m.brain
	m.brain = nil // nothing reaches it before
	var begin func()
	begin = func() {
		w.write(m, raw, func(problem string) {
			if problem != "" {
				w.after(300*time.Millisecond, func() {
					if m.up && m.store == store {
						begin()
					}
				})
				return
			}
			m.brain = brain
			w.step(m, controller.Event{Start: true})
			w.tock(m, m.life)
		})
	}
	w.carryOut(m, begin) // once files that were set aside are renamed: two at the disk at once would take each other's operations
}

func (w *world) tock(m *machine, life int) {
	if m.frozen && w.s.Tolerance > 0 {
		m.ticks = func() { w.step(m, controller.Event{}) }
	} else {
		w.run(&m.node, life, func() { w.step(m, controller.Event{}) })
	}
	if m.up && m.life == life {
		late := time.Duration(w.r.IntN(5)) * time.Millisecond
		if w.r.IntN(200) == 0 {
			late += 60 * time.Millisecond
		}
		w.after(controller.TickInterval+late, func() { w.tock(m, life) })
	}
}

// write has the store write, and carries its operations out one after the other.
func (w *world) write(m *machine, raw []byte, done func(problem string)) {
	w.history.persist(w, m, raw)
	m.disk.plan = nil
	err := m.store.Put(map[string][]byte{keptKey: raw})
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if w.s.Fault == AckBeforeSync {
		life := m.life
		w.after(100*time.Microsecond, func() { w.run(&m.node, life, func() { done(problem) }) })
		w.carryOut(m, nil)
		return
	}
	w.carryOut(m, func() { done(problem) })
}

func (w *world) carryOut(m *machine, done func()) {
	life := m.life
	var next func()
	next = func() {
		if !m.up || m.life != life {
			return
		}
		if len(m.disk.plan) == 0 {
			if done != nil {
				w.run(&m.node, life, done)
			}
			return
		}
		if m.disk.stalled {
			w.after(5*time.Millisecond, next)
			return
		}
		o := m.disk.plan[0]
		took := 50 * time.Microsecond
		if o.kind == "sync" || o.kind == "folder" {
			took = 500*time.Microsecond + time.Duration(w.r.ExpFloat64()*float64(time.Millisecond))
		}
		w.after(took, func() {
			if m.up && m.life == life && len(m.disk.plan) > 0 {
				m.disk.plan = m.disk.plan[1:]
				m.disk.carry(o)
				w.history.operation(w, m, o)
				next()
			}
		})
	}
	next()
}

// step has a comb decide and carries out what it says.
func (w *world) step(m *machine, e controller.Event) {
	if m.brain == nil {
		return
	}
	if w.s.Fault == NoViewNumber && e.Message != nil && e.Message.Coordinator != nil && e.Message.Coordinator.Chain != nil {
		e = anyView(m, e)
	}
	if e.Message != nil && e.Message.Coordinator != nil {
		e = w.planted(m, e)
	}
	views, seq := m.brain.Coordinator().View().Number, m.seen
	if w.s.Tolerance > 0 {
		e.WallClock = w.wallClock(m)
	}
	a := m.brain.Step(w.local(&m.node), e)
	w.history.event(w, m, e)
	if len(a.Write) > keptMost || len(m.calls) > callsMost {
		w.broken("%s holds %d bytes to be kept and %d calls", m.name, len(a.Write), len(m.calls))
	}
	if now := w.now / time.Second; now != m.second {
		m.second, m.sent = now, 0
	}
	if m.sent += len(a.Send); m.sent > messagesMost*max(len(w.combs)-1, 1) {
		w.broken("%s sends %d messages within a second", m.name, m.sent)
	}
	for _, s := range a.Send {
		to := w.byAddr[s.To]
		if to == nil || to == m {
			continue
		}
		from, msg := m.brain.Coordinator().Self(), s.Message
		w.carry(&m.node, &to.node, w.s.Loss, w.s.Reorder, func() { w.step(to, controller.Event{From: &from, Message: &msg}) })
	}
	if a.Write != nil {
		w.write(m, a.Write, func(problem string) {
			w.step(m, controller.Event{WriteResult: &controller.WriteResult{Error: problem}})
		})
	}
	if v := m.brain.Coordinator().View(); v.Number != views {
		w.viewed(m, v)
	}
	if r, known := m.brain.Coordinator().Register(); known && r.Sequence != seq {
		w.holds(m, r)
	}
	for i := range a.Publish {
		for _, n := range a.Publish[i].Streams {
			if b := m.streams[n]; b != nil {
				w.tell(m, b, n, &a.Publish[i].Update)
			}
		}
	}
	for _, x := range a.Responses {
		w.history.answer(w, m, x)
		if done := m.calls[x.Token]; done != nil {
			delete(m.calls, x.Token)
			delete(m.callers, x.Token)
			done(x)
		}
	}
	for _, n := range a.CloseStreams {
		if b := m.streams[n]; b != nil {
			w.ends(m, n)
			w.carry(&m.node, &b.node, 0, 0, func() { w.lost(b, n) })
		}
	}
	if a.ShutdownComplete {
		w.say("%s has left", m.name)
		w.kill(m, "kill", -1)
	}
}

// anyView is a fault: a pass, or the tail's word that it is committed, counts whatever view it is of.
func anyView(m *machine, e controller.Event) controller.Event {
	v := m.brain.Coordinator().View()
	msg, inner, word := *e.Message, *e.Message.Coordinator, *e.Message.Coordinator.Chain
	inner.Chain, msg.Coordinator, e.Message = &word, &inner, &msg
	if i := v.Position(m.brain.Coordinator().Self().ID); word.Kind == chainreplication.Forward && i > 0 {
		word.ViewNumber, word.From = v.Number, v.Chain[i-1]
	} else if word.Kind == chainreplication.Commit {
		word.ViewNumber = v.Number
	}
	return e
}

func (w *world) viewed(m *machine, v membership.View) {
	w.timed(v)
	for _, t := range w.onView {
		w.onView, w.trouble = nil, w.now+t.For+restart
		w.after(time.Duration(w.r.Int64N(int64(6*time.Millisecond))), func() { t.Kind = "all"; w.strike(t) })
		break
	}
	w.res.Views = max(w.res.Views, v.Number)
	w.say("%s is in view %d: chain %s", m.name, v.Number, strings.Join(v.Chain, " > "))
	for i, at := range w.down {
		if !slices.ContainsFunc(v.Chain, func(id string) bool { return strings.HasPrefix(id, w.combs[i].addr+"/") }) && i != m.i {
			w.res.Mended = append(w.res.Mended, w.now-at)
			delete(w.down, i)
		}
	}
}

// holds watches that no two machines hold different states to be committed under one number, that nobody goes back, and
// that nothing is held that nobody sent.
func (w *world) holds(m *machine, r chainreplication.Register) {
	what := fmt.Sprintf("version %d %q, out %v", r.Version, short(string(r.Body)), r.EvacuatedZones)
	if had, ok := w.bySeq[r.Sequence]; ok && had != what {
		w.broken("number %d is committed as %s at %s, and as %s elsewhere", r.Sequence, what, m.name, had)
	} else if !ok {
		w.bySeq[r.Sequence] = what
		w.say("%s: committed %d: %s", m.name, r.Sequence, what)
	}
	if r.Sequence < m.seen {
		w.broken("%s went back from %d to %d within a life", m.name, m.seen, r.Sequence)
	}
	m.seen = r.Sequence
	w.observe(m, r)
	w.granted(m, r)
	if _, ok := w.committed[r.Version]; !ok {
		w.committed[r.Version] = w.now
	}
	if _, sent := w.versions[string(r.Body)]; r.Version > 0 && !sent {
		w.broken("%s holds a configuration that nobody sent: %q", m.name, r.Body)
	}
}

// kill ends a comb's process: by itself, or with the power, or with the disk.
func (w *world) kill(m *machine, how string, back time.Duration) {
	if !m.up {
		return
	}
	if m.brain != nil && m.brain.Coordinator().View().Position(m.brain.Coordinator().Self().ID) >= 0 && back >= time.Second {
		w.down[m.i] = w.now
	}
	m.up, m.frozen = false, false
	switch how {
	case "kill":
		m.disk.killed(w.r)
	case "power":
		m.disk.power(w.r)
	case "wipe":
		m.disk.files, m.disk.plan = map[string]*file{}, nil
		m.disk.rev++
	}
	w.history.disk(entryKill, w, m)
	if m.store != nil {
		m.store.Close()
	}
	for _, token := range sortedTokens(m.callers) {
		c := m.callers[token]
		w.after(0, func() { w.again(c) })
	}
	if how == "kill" { // its connections end at once; without power nobody is told
		for _, n := range sortedTokens(m.streams) {
			b := m.streams[n]
			w.carry(&m.node, &b.node, 0, 0, func() { w.lost(b, n) })
		}
	}
	w.event()
	if back < 0 {
		m.gone, m.goneAt = true, w.now
		return
	}
	w.after(back, func() {
		delete(w.down, m.i)
		if !m.up && !m.gone {
			w.start(m, false)
		}
	})
}

func sortedTokens[V any](m map[uint64]V) []uint64 {
	var all []uint64
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// call is one call of an operator.
type call struct {
	n        int
	act      Act
	body     string
	version  uint64
	floor    uint64 // acknowledged before a read began
	began    time.Duration
	tries    int
	done     bool
	deadline time.Duration
	asked    time.Duration // the try at hand
	had      []*machine    // called already
	next     *machine      // a redirect's
	lost     bool          // an answer was lost on its way
	try      int           // of Result.Tries
	op       int           // of a write
	ended    time.Duration
}

// act has operators call, and replicas come and go.
func (w *world) act(n int, a Act) {
	switch a.Kind {
	case "drain":
		if a.On < len(w.replicas) {
			w.drain(w.replicas[a.On])
		}
		return
	case "begin":
		w.begin(a.On, true)
		return
	}
	c := &call{n: n, act: a, began: w.now, deadline: w.now + 5*time.Second, floor: w.acked}
	switch a.Kind {
	case "put":
		if a.Body > 0 {
			n = a.Body
		}
		c.version, c.body = a.Version, configuration(a.Version, n)
		w.versions[c.body] = c.version
		c.op = len(w.res.Ops)
		w.res.Ops = append(w.res.Ops, Op{false, c.version, c.began, 0})
	case "restore":
		if at, out := w.outAt[w.zone(a.On)]; out && w.now > at+evacuateIn && w.calm(contact) {
			for _, r := range w.replicas { // they may have turned cold shortly before
				if r.zone == w.zone(a.On) && r.alive {
					r.coldUntil = max(r.coldUntil, w.now+coldFor)
				}
			}
		}
		delete(w.outAt, w.zone(a.On))
		w.restoring = append(w.restoring, c)
	}
	w.again(c)
}

// again sends a call to some machine, once more.
func (w *world) again(c *call) {
	w.givenUp(c)
	if c.done || w.now > c.deadline || w.quiet {
		if !c.done && !w.quiet && c.began > w.trouble+beatable && c.tries > 0 {
			w.broken("call %d, made at %.2f s when all had been calm, was not answered", c.n, c.began.Seconds())
		}
		return
	}
	c.tries++
	c.asked = w.now
	m := w.called(c)
	if !m.up || m.frozen && w.s.Tolerance == 0 || m.brain == nil {
		w.after(200*time.Millisecond, func() { w.again(c) })
		return
	}
	w.tokens++
	e := controller.Event{Token: w.tokens}
	w.tried(c)
	switch c.act.Kind {
	case "read":
		c.floor = max(c.floor, w.acked)
		e.ReadConfiguration = true
	case "agree", "ask", "finish", "cancel":
		e.MaintenanceCommand = w.command(c.act)
	case "put":
		e.Command = &chainreplication.Command{Version: c.version, Body: []byte(c.body)}
	default:
		e.Command = &chainreplication.Command{Zone: w.zone(c.act.On), Evacuated: c.act.Kind == "evacuate"}
	}
	m.callers[e.Token] = c
	tries := c.tries
	m.calls[e.Token] = func(a controller.Response) {
		if w.s.Tolerance == 0 || c.tries == tries && !w.loses(m, c, a) {
			w.answered(m, c, a)
		}
	}
	if w.s.Tolerance > 0 { // it may lie in the socket of one that is frozen
		w.run(&m.node, m.life, func() {
			if w.s.Fault == LateCalls && w.now-m.wokeAt < time.Second {
				life := m.life
				w.after(time.Second, func() { w.run(&m.node, life, func() { w.step(m, e) }) })
				return
			}
			w.step(m, e)
		})
	} else {
		w.step(m, e)
	}
	w.after(time.Second, func() { // silence: another machine is asked
		if !c.done && c.tries == tries {
			w.again(c)
		}
	})
}

func (w *world) answered(m *machine, c *call, a controller.Response) {
	if c.done {
		return
	}
	switch a.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
	default:
		w.unclear(c, a)
		tries := c.tries
		w.after(100*time.Millisecond, func() {
			if c.tries == tries {
				w.again(c)
			}
		})
		return
	}
	c.done, c.ended = true, w.now
	w.res.Calls++
	w.answers(m, c, a)
	if c.act.Kind == "read" {
		version := uint64(0)
		if a.Status == http.StatusOK {
			v, sent := w.versions[string(a.Body)]
			if !sent {
				w.broken("%s answers a configuration that nobody sent: %q", m.name, a.Body)
			}
			version = v
		}
		w.res.Ops = append(w.res.Ops, Op{true, version, c.began, w.now})
		if version < c.floor {
			w.broken("%s answers version %d, %d was acknowledged before it was asked", m.name, version, c.floor)
		}
		return
	}
	if a.Status == http.StatusConflict {
		return
	}
	w.res.Acked++
	w.res.Took = append(w.res.Took, w.now-c.asked)
	for _, t := range w.onAck {
		w.onAck, w.trouble = w.onAck[1:], w.now+t.For+restart
		t.On, t.Kind = m.i, strings.TrimPrefix(t.Kind, "ack")
		w.after(time.Duration(w.r.Int64N(int64(4*time.Millisecond))), func() { w.strike(t) })
		break
	}
	if w.lonely(m) {
		w.broken("%s acknowledges call %d though it has been cut off for long", m.name, c.n)
	}
	switch c.act.Kind {
	case "put":
		w.res.Ops[c.op].End = w.now
		if c.version > w.acked {
			w.acked, w.ackedAt = c.version, w.now
		}
	case "evacuate":
		open := func(o *call) bool {
			return w.zone(o.act.On) == w.zone(c.act.On) && (o.began >= c.began || !o.done || o.ended >= c.began)
		}
		if !slices.ContainsFunc(w.restoring, open) { // else it cannot be said which of the two came last
			w.outAt[w.zone(c.act.On)] = w.now
		}
	}
	w.lasts(c)
}

// lonely tells whether a machine has reached no other for seconds.
func (w *world) lonely(m *machine) bool {
	if w.s.Tolerance > 0 {
		return m.cutOff() && w.now-m.cutAt > contact
	}
	at, ok := w.down[m.i]
	if !ok || w.now-at <= 3*time.Second || m.frozen {
		return false
	}
	for _, o := range w.combs {
		if o != m && w.cut[[2]string{m.name, o.name}] == 0 {
			return false
		}
	}
	return true
}

// lasts watches that what was just acknowledged is on more disks than may be lost at once, whatever power takes away.
func (w *world) lasts(c *call) {
	n := 0
	for _, m := range w.combs {
		if m.gone {
			continue
		}
		if k := m.disk.lasting(); k != nil && (c.act.Kind != "put" || k.Register.Version >= c.version) {
			n++
		}
	}
	most := min((w.s.Machines-1)/2, (w.s.Seeds-1)/2)
	if w.hard.formed {
		most = w.s.Tolerance
	}
	if n <= most {
		w.broken("call %d was acknowledged with only %d disks that hold it", c.n, n)
	}
}

// last asks once more, when all is calm again: what was acknowledged must be there.
func (w *world) last() {
	w.say("the last question: version %d or newer", w.acked)
	c := &call{n: -1, act: Act{Kind: "read"}, floor: w.acked, began: w.now, deadline: w.now + 6*time.Second}
	w.again(c)
	w.after(5*time.Second, func() {
		if !c.done {
			w.broken("the last question was not answered")
		}
		w.quiet = true
	})
}

// beats has a replica's word reach a comb; done is told whether it was acknowledged.
func (w *world) beats(m *machine, l registry.Instance, leave bool, done func(ok bool, next string)) {
	w.tokens++
	e := controller.Event{Token: w.tokens, Heartbeat: &l}
	if leave {
		e = controller.Event{Token: w.tokens, Deregister: l.ID}
	}
	m.calls[e.Token] = func(a controller.Response) {
		if a.Status == http.StatusOK && m.cutOff() {
			w.res.Beats = append(w.res.Beats, w.now-m.cutAt)
		}
		done(a.Status == http.StatusOK, a.Address)
	}
	w.step(m, e)
}
