package simulation

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/messages"
)

const (
	beatEvery  = 1500 * time.Millisecond
	silence    = time.Second // a comb that says nothing for so long is left
	reports    = time.Second
	picksEvery = 60 * time.Millisecond
	coldFor    = 3 * time.Second
	dialMost   = 300 * time.Millisecond
	work       = 150 * time.Millisecond
	handling   = 2 * time.Millisecond // of a request at a forager
	slots      = 1                    // so few that cold replicas are needed
)

// bee is an edge machine with its forager.
type bee struct {
	node
	i       int
	brain   *router.Forager
	comb    *machine // whose stream it holds; nil: none
	stream  uint64
	whole   bool
	heardAt time.Duration
	version uint64 // newest in force in this life
	seq     uint64
	at      int // of the candidates, the next one to call
	meets   *machine
	seeds   []string
	freeAt  time.Duration
}

func (w *world) wake(b *bee) {
	w.begins(&b.node)
	b.brain = router.New(router.Settings{Zone: w.zone(b.i), Zones: w.zones(), RetryRatio: 0.2, RetrySlack: 60,
		ColdTimes: coldTimes, ColdSlack: coldSlack, Seed: w.r.Uint64()})
	b.comb, b.stream, b.version, b.seq, b.at, b.seeds = nil, 0, 0, 0, 0, w.seeds(false)
	life := b.life
	var follow, send func()
	follow = func() {
		if !b.up || b.life != life {
			return
		}
		w.run(&b.node, life, func() { w.follow(b) })
		w.after(50*time.Millisecond+time.Duration(w.r.IntN(100))*time.Millisecond, follow)
	}
	send = func() {
		if !b.up || b.life != life {
			return
		}
		w.run(&b.node, life, func() { w.pick(b) })
		w.after(time.Duration(w.r.Int64N(int64(2*picksEvery))), send)
	}
	w.after(time.Duration(w.r.IntN(100))*time.Millisecond, follow)
	w.after(time.Second, send)
}

func (w *world) sting(b *bee, t Trouble) {
	switch t.Kind {
	case "bkill":
		if b.up {
			b.up = false
			if b.comb != nil {
				m, n := b.comb, b.stream
				w.carry(&b.node, &m.node, 0, 0, func() { w.ends(m, n) })
			}
			w.after(t.For, func() { w.wake(b) })
		}
	case "bfreeze":
		w.freeze(&b.node, t.For)
	case "bcut":
		var links [][2]string
		for _, m := range w.combs {
			links = append(links, [2]string{b.name, m.name}, [2]string{m.name, b.name})
		}
		w.part(links, t.For)
	}
}

// follow keeps a stream from one comb, as the daemon does.
func (w *world) follow(b *bee) {
	if b.comb != nil {
		if w.now-b.heardAt > silence {
			w.lost(b, b.stream)
		}
		return
	}
	all := b.brain.Candidates(b.seeds)
	m := w.byAddr[all[b.at%len(all)]]
	b.at++
	if b.meets != nil {
		m, b.meets = b.meets, nil
	}
	w.tokens++
	n := w.tokens
	b.comb, b.stream, b.whole, b.heardAt = m, n, false, w.now-silence+dialMost
	w.carry(&b.node, &m.node, 0, 0, func() {
		if m.brain == nil {
			return
		}
		m.streams[n] = b
		if r, known := m.brain.Coordinator().Register(); (w.s.Unasked || w.s.Fault == ToldUnasked) && known {
			w.tell(m, b, n, &messages.StateUpdate{Full: true, Bootstrapping: true, Sequence: r.Sequence, ConfigVersion: r.Version, Config: r.Body, EvacuatedZones: sortedKeys(r.EvacuatedZones)})
		}
		w.step(m, controller.Event{GatewayJoined: &controller.GatewayJoined{Stream: n, Gateway: b.name, Zone: w.zone(b.i)}})
	})
	if !m.up {
		w.after(time.Millisecond, func() { w.lost(b, n) })
	}
}

// lost ends a stream at the forager.
func (w *world) lost(b *bee, n uint64) {
	if b.comb == nil || b.stream != n {
		return
	}
	m := b.comb
	b.comb = nil
	b.brain.Left(w.local(&b.node))
	w.carry(&b.node, &m.node, 0, 0, func() { w.ends(m, n) })
	life := m.life
	w.after(4*time.Second, func() { // at the latest, nothing is read there any more
		w.run(&m.node, life, func() { w.ends(m, n) })
	})
}

// ends has a comb hear that a stream has ended.
func (w *world) ends(m *machine, n uint64) {
	if m.streams[n] != nil {
		delete(m.streams, n)
		w.step(m, controller.Event{GatewayLeft: n})
	}
}

// tell brings a comb's word to a forager. A stream that loses one has ended: the next would not fit on.
func (w *world) tell(m *machine, b *bee, n uint64, s *messages.StateUpdate) {
	w.tells(m, b, s)
	if w.cut[[2]string{m.name, b.name}] > 0 || severed(&m.node, &b.node) {
		delete(m.streams, n)
		life := m.life
		w.after(silence, func() { w.run(&m.node, life, func() { w.step(m, controller.Event{GatewayLeft: n}) }) })
		return
	}
	if w.s.Fault == OwnGrants && len(s.WarmupRates) > 0 {
		all := *s
		all.WarmupRates = nil
		for _, l := range s.WarmupRates {
			l.WarmupRate *= float32(w.s.Machines)
			all.WarmupRates = append(all.WarmupRates, l)
		}
		s = &all
	}
	w.carry(&m.node, &b.node, 0, 0, func() {
		if b.comb != m || b.stream != n {
			return
		}
		b.heardAt = w.now
		w.takes(b, s)
		if b.comb == m && !b.whole && s.Full {
			b.whole = true
			b.at = 0
			w.report(m, b, n, b.brain.First(w.local(&b.node)))
			w.reports(m, b, n)
		}
	})
}

func (w *world) reports(m *machine, b *bee, n uint64) {
	w.after(reports, func() {
		if b.up && b.comb == m && b.stream == n {
			w.run(&b.node, b.life, func() {
				w.report(m, b, n, b.brain.Report(w.local(&b.node), reports, 0.2))
			})
			w.reports(m, b, n)
		}
	})
}

func (w *world) report(m *machine, b *bee, n uint64, r *messages.LoadReport) {
	w.carry(&b.node, &m.node, 0, 0, func() {
		if m.streams[n] == b {
			w.step(m, controller.Event{Stream: n, Report: r})
		}
	})
}

// takes puts a word in force, and watches that the forager does not go back and holds nothing that is not committed.
func (w *world) takes(b *bee, s *messages.StateUpdate) {
	if w.s.Fault == StaleTables && s.Sequence > 0 && s.Sequence < b.seq {
		b.brain = router.New(router.Settings{Zone: w.zone(b.i), Zones: w.zones(), Seed: 1})
	}
	t := b.brain.Take(w.local(&b.node), s)
	if w.history != nil {
		w.history.add(entryUpdate, w.now, historyGateways+b.i, w.local(&b.node), s, t.Ended, t.Table, t.Late, b.brain.Seq())
	}
	if t.Late {
		w.lost(b, b.stream)
		return
	}
	if seq := b.brain.Seq(); seq < b.seq {
		w.broken("%s went back from register %d to %d within a life", b.name, b.seq, seq)
	} else {
		b.seq = seq
	}
	c := b.brain.Config()
	if c == nil {
		return
	}
	if c.Version < b.version {
		w.broken("%s went back from version %d to %d within a life", b.name, b.version, c.Version)
	}
	if c.Version == b.version {
		return
	}
	b.version = c.Version
	at, ok := w.committed[c.Version]
	if !ok {
		w.broken("%s has version %d in force, which is not committed", b.name, c.Version)
	}
	if _, sent := w.versions[string(c.Raw)]; !sent {
		w.broken("%s has something in force that nobody sent: %q", b.name, c.Raw)
	}
	if w.calm(contact) && w.acked == c.Version {
		w.res.Told = append(w.res.Told, w.now-at)
	}
}

// pick has a forager send a request to a replica, and watches where it goes.
func (w *world) pick(b *bee) {
	if b.brain.Config() == nil {
		return
	}
	now := w.local(&b.node)
	w.between(b)
	w.rights()
	if !b.brain.Serves() && w.r.IntN(4) > 0 || b.brain.Refuses(now) { // few come still
		return
	}
	b.brain.Arrived(service)
	p := b.brain.Pick(now, router.Ask{Service: service, Request: admission.Request{Route: "r", Target: time.Second, Left: 3 * time.Second}})
	if w.history != nil {
		w.history.add(entryPick, w.now, historyGateways+b.i, now, p)
	}
	w.judge(b)
	if p.ID == "" {
		b.brain.Done(now, true, false)
		return
	}
	w.res.Picks++
	starts := max(w.now, b.freeAt) // a forager takes one request after the other
	b.freeAt = starts + handling
	w.res.Waits[w.anyOut()] = append(w.res.Waits[w.anyOut()], starts-w.now+handling+work)
	i := slices.IndexFunc(w.replicas, func(r *replica) bool { return r.id == p.ID })
	if i < 0 {
		w.broken("%s sends to %s, which never was", b.name, p.ID)
		return
	}
	r, life := w.replicas[i], b.life
	w.arrives(b, r)
	end := router.End{N: p.N, Outcome: loadbalancer.Good, Took: work, Load: [3]int{slots, 1, slots}}
	took := work
	if !r.alive {
		end, took = router.End{N: p.N, Outcome: loadbalancer.Uncalled, Refused: true}, time.Millisecond
	}
	w.after(took, func() {
		w.run(&b.node, life, func() {
			b.brain.Done(w.local(&b.node), true, false)
			out := b.brain.End(w.local(&b.node), end)
			if w.history != nil {
				w.history.add(entryAttempt, w.now, historyGateways+b.i, end, out)
			}
			if out.Fell != nil && b.comb != nil {
				w.report(b.comb, b, b.stream, &messages.LoadReport{Observations: []outlier.Word{*out.Fell}})
			}
		})
	})
}

// judge watches that a forager has in force what was acknowledged a while ago, where all has been calm since.
func (w *world) judge(b *bee) {
	if w.calm(contact) && w.acked > 0 && w.now > max(w.ackedAt, w.trouble+contact)+configIn && b.version < w.acked {
		w.broken("%s still has version %d in force, %d was acknowledged at %.2f s", b.name, b.version, w.acked, w.ackedAt.Seconds())
	}
}

// replica is one life of a replica.
type replica struct {
	id, zone  string
	seq       uint64
	alive     bool
	draining  bool
	coldUntil time.Duration
	told      time.Duration // its leaving was acknowledged; 0: not
	next      string
	arrivals  []time.Duration // while cold, of the last second
}

// begin starts a replica.
func (w *world) begin(z int, cold bool) {
	r := &replica{id: fmt.Sprintf("i%d", len(w.replicas)), zone: w.zone(z), alive: true}
	if cold {
		r.coldUntil = w.now + coldFor
	}
	w.replicas = append(w.replicas, r)
	var beat func()
	beat = func() {
		if r.alive && !w.quiet {
			w.beat(r, 0)
			w.after(beatEvery+time.Duration(w.r.IntN(60))*time.Millisecond, beat)
		}
	}
	w.after(time.Duration(w.r.IntN(300))*time.Millisecond, beat)
}

// beat calls a comb, and others until one acknowledges.
func (w *world) beat(r *replica, tries int) {
	if !r.alive || tries > 4 {
		return
	}
	m := w.anyone()
	if t := w.byAddr[r.next]; t != nil {
		m = t
	}
	r.next = ""
	r.seq++
	answered := false
	retry := func() {
		if !answered {
			answered = true
			w.beat(r, tries+1)
		}
	}
	if !m.up || m.frozen || m.brain == nil {
		w.after(100*time.Millisecond, retry)
		return
	}
	l := registry.Instance{ID: r.id, Service: service, Addr: "10.9.0." + r.id[1:] + ":80", Zone: r.zone, Slots: slots, Draining: r.draining,
		WarmupMillis: max((r.coldUntil - w.now).Milliseconds(), 0), Sequence: r.seq}
	w.after(time.Second, retry)
	w.beats(m, l, false, func(ok bool, next string) {
		if answered {
			return
		}
		if answered = true; !ok {
			w.after(100*time.Millisecond, func() { w.beat(r, tries+1) })
			return
		}
		r.next = next
		if l.Draining && r.told == 0 {
			r.told = w.now
			w.say("%s: the leaving of %s is acknowledged", m.name, r.id)
			w.after(drainIn+time.Second, func() { w.leave(r) })
		}
	})
}

func (w *world) drain(r *replica) {
	if r.alive && !r.draining {
		r.draining = true
		w.beat(r, 0)
		w.after(8*time.Second, func() { r.alive = false })
	}
}

func (w *world) leave(r *replica) {
	m := w.anyone()
	if r.alive && m.up && !m.frozen && m.brain != nil {
		w.beats(m, registry.Instance{ID: r.id}, true, func(bool, string) {})
	}
	r.alive = false
}

// arrives watches a request that reaches a replica.
func (w *world) arrives(b *bee, r *replica) {
	if r.told > 0 && w.now > max(r.told, w.trouble+contact)+drainIn && w.calm(contact) {
		w.broken("%s sends to %s, whose leaving was acknowledged at %.2f s", b.name, r.id, r.told.Seconds())
	}
	if at, out := w.outAt[r.zone]; out && w.now > max(at, w.trouble+contact)+evacuateIn && w.calm(contact) {
		w.broken("%s sends to %s in zone %s, whose evacuation was acknowledged at %.2f s", b.name, r.id, r.zone, at.Seconds())
	}
	if w.now >= r.coldUntil || !r.alive {
		r.arrivals = nil
		return
	}
	w.res.Colds++
	r.arrivals = append(slices.DeleteFunc(r.arrivals, func(t time.Duration) bool { return w.now-t >= time.Second }), w.now)
	if n := float64(len(r.arrivals)); n > coldPerS*coldTimes+coldSlack {
		w.broken("%s is cold and gets its %.0fth request within a second", r.id, n)
	}
}
