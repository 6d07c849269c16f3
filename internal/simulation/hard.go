package simulation

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/messages"
)

const (
	watchEvery = 50 * time.Millisecond
	seedLag    = 5 * time.Second        // a machine that is gone stands in lists of addresses for so long
	grace      = 6 * time.Second        // from SIGTERM to SIGKILL
	formIn     = 5 * time.Second        // seven from three seeds, one after the other: 3.9 s, and up to 4.5 s where links lose messages
	diskMost   = 64 << 10               // bytes of files on a disk, on days with a Tolerance
	waitsMost  = 6 * time.Second        // of a trouble that waits for a moment
	claims     = 60                     // changes for which it is known which body was acknowledged under a number
	lateMost   = 500 * time.Millisecond // an order without a clear answer may still take effect for so long after it was given up
)

// hard is what is watched on days with a Tolerance.
type hard struct {
	top       uint64 // newest number committed anywhere
	seen      bool
	tops      []moment
	acks      []moment          // versions acknowledged, rising
	committed map[string]uint64 // bodies, and the number of the first register that held each
	refused   map[string]bool
	held      map[uint64]claim // acknowledged, by version
	ids       map[string]int   // of bodies
	waits     []Trouble
	spare     *machine
	spares    int
	formed    bool // the first view's machines have had their time
	ticks     int
}

// claim is a configuration that was acknowledged, and the number with which it was committed, or the newest before it.
type claim struct {
	body string
	top  uint64
}

type moment struct {
	at time.Duration
	n  uint64
}

// last is the newest number of no later than a moment.
func last(all []moment, at time.Duration) uint64 {
	for _, m := range slices.Backward(all) {
		if m.at <= at {
			return m.n
		}
	}
	return 0
}

func (h *hard) begin() {
	h.committed, h.refused, h.held, h.ids = map[string]uint64{}, map[string]bool{}, map[uint64]claim{}, map[string]int{"": 0}
}

func (h *hard) id(body string) int {
	n, ok := h.ids[body]
	if !ok {
		n = len(h.ids)
		h.ids[body] = n
	}
	return n
}

// Try is one call to one comb, as porcupine takes it: what it asked for and what came of it.
type Try struct {
	Key     string // what it is about: the configuration (empty), or a zone
	Kind    string // put, out, back, read
	Version uint64
	Body    int    // of the configuration, or 1 with a zone that is out
	Seq     uint64 // read, of a committed register: its number
	Refused bool   // 409
	Clear   bool
	Call    time.Duration
	End     time.Duration // without a clear answer: when it was given up
}

// event is something that unsettles the core.
func (w *world) event() {
	if w.s.Tolerance > 0 {
		w.trouble = max(w.trouble, w.now+restart)
	}
}

// severed tells whether nothing goes from one node to another.
func severed(from, to *node) bool {
	return from.apart > 0 || to.apart > 0 || from.core && to.core && (from.mute > 0 || to.deaf > 0)
}

func (n *node) cutOff() bool { return n.apart > 0 || n.mute > 0 || n.deaf > 0 }

// present lists the combs that a list of addresses may hold.
func (w *world) present() (all []*machine) {
	for _, m := range w.combs {
		if !m.gone || w.now-m.goneAt < seedLag {
			all = append(all, m)
		}
	}
	return all
}

// seeds are the addresses in a settings file: at the first start the same for all, later any three, one of them at least of
// a machine that is not gone.
func (w *world) seeds(first bool) (seeds []string) {
	if first || w.hard.spares == 0 {
		for _, o := range w.combs[:w.s.Seeds] {
			seeds = append(seeds, o.addr)
		}
		return seeds
	}
	all, stays := w.present(), false
	for _, i := range w.r.Perm(len(all)) {
		m := all[i]
		if len(seeds) < 2 || len(seeds) == 2 && (stays || !m.gone) {
			seeds, stays = append(seeds, m.addr), stays || !m.gone
		}
	}
	return seeds
}

// anyone is a comb that a caller picks.
func (w *world) anyone() *machine {
	if w.s.Tolerance == 0 {
		return w.combs[w.r.IntN(len(w.combs))]
	}
	all := w.present()
	return all[w.r.IntN(len(all))]
}

// called is the comb of an operator's next try: the one named, the one that a redirect names, the same again, or one that was
// not called yet.
func (w *world) called(c *call) *machine {
	if w.s.Tolerance == 0 {
		return w.combs[w.r.IntN(len(w.combs))]
	}
	all := w.present()
	m := c.next
	switch c.next = nil; {
	case m != nil:
	case len(c.had) == 0 && c.act.To > 0:
		m = all[(c.act.To-1)%len(all)]
	case len(c.had) > 0 && c.act.Back && c.had[0].up && !c.had[0].frozen && c.tries < 4:
		m = c.had[0]
	default:
		left := slices.DeleteFunc(slices.Clone(all), func(m *machine) bool { return slices.Contains(c.had, m) })
		if len(left) == 0 {
			left, c.had = all, c.had[:0]
		}
		m = left[w.r.IntN(len(left))]
	}
	c.had = append(c.had, m)
	return m
}

// tried takes down that a call is made.
func (w *world) tried(c *call) {
	if w.s.Tolerance == 0 {
		return
	}
	t := Try{Kind: c.act.Kind, Version: c.version, Call: w.now}
	switch c.act.Kind {
	case "put":
		t.Body = w.hard.id(c.body)
	case "evacuate":
		t.Kind, t.Key = "out", w.zone(c.act.On)
	case "restore":
		t.Kind, t.Key = "back", w.zone(c.act.On)
	}
	w.res.Tries = append(w.res.Tries, t)
	c.try = len(w.res.Tries)
}

// givenUp takes down that nothing more is heard of a call's last try.
func (w *world) givenUp(c *call) {
	if c.try > 0 {
		w.res.Tries[c.try-1].End = w.now
	}
	c.try = 0
}

// unclear takes an answer that is neither yes nor no.
func (w *world) unclear(c *call, a controller.Response) {
	w.givenUp(c)
	if w.s.Tolerance == 0 {
		return
	}
	switch {
	case a.Status == http.StatusTemporaryRedirect:
		c.next = w.byAddr[a.Address]
	case a.Status >= 400 && a.Status < 500 && a.Status != http.StatusRequestTimeout && a.Status != http.StatusTooManyRequests:
		w.broken("call %d is answered %d", c.n, a.Status)
	}
}

// loses has an answer lost on its way, once, where the schedule says so.
func (w *world) loses(m *machine, c *call, a controller.Response) bool {
	if !c.act.Lost || c.lost || a.Status != http.StatusOK {
		return false
	}
	c.lost = true
	w.say("%s: the answer %d to call %d is lost", m.name, a.Status, c.n)
	return true
}

// answers takes a clear answer down, and watches what it says.
func (w *world) answers(m *machine, c *call, a controller.Response) {
	if w.s.Tolerance == 0 {
		return
	}
	w.speaks(m)
	if c.try > 0 {
		t := &w.res.Tries[c.try-1]
		t.End, t.Clear, t.Refused = w.now, true, a.Status == http.StatusConflict
		if t.Kind == "read" && a.Status == http.StatusOK {
			t.Version, t.Body = w.versions[string(a.Body)], w.hard.id(string(a.Body))
		}
		c.try = 0
	}
	if c.act.Kind == "read" {
		return
	}
	if a.Status == http.StatusConflict {
		if w.say("%s: call %d (%s) is refused", m.name, c.n, short(c.body)); c.act.Kind != "put" {
			w.broken("call %d, %s, is answered 409", c.n, c.act.Kind)
		}
		if w.hard.refused[c.body] = true; w.hard.committed[c.body] > 0 {
			w.broken("%s refuses call %d, version %d %s, which was taken", m.name, c.n, c.version, short(c.body))
		}
		return
	}
	w.say("%s: call %d (%s %d %s) is acknowledged", m.name, c.n, c.act.Kind, max(c.version, uint64(c.act.On)), short(c.body))
	if c.act.Kind != "put" {
		return
	}
	if had, ok := w.hard.held[c.version]; !ok {
		top := last(w.hard.tops, c.began) // it may have been taken among others, and not been seen
		if seq := w.hard.committed[c.body]; seq > 0 {
			top = seq // it may have been taken long before it was acknowledged
		}
		w.hard.held[c.version] = claim{c.body, top}
	} else if had.body != c.body && w.hard.top-had.top < claims {
		w.broken("version %d is acknowledged as %s and as %s", c.version, short(had.body), short(c.body))
	}
	if c.version > last(w.hard.acks, w.now) {
		w.hard.acks = append(w.hard.acks, moment{w.now, c.version})
	}
}

// speaks measures how long one that was cut off, or that has just thawed and missed a view, still answers.
func (w *world) speaks(m *machine) {
	if m.cutOff() {
		w.res.Still = append(w.res.Still, w.now-m.cutAt)
	}
	if m.wokeAt > 0 && m.brain.Coordinator().View().Number < w.res.Views {
		w.res.Thawed = append(w.res.Thawed, w.now-m.wokeAt)
	}
}

// tells watches what a forager that is new to a comb is told there: nothing older than what was acknowledged some time ago.
func (w *world) tells(m *machine, b *bee, s *messages.StateUpdate) {
	if w.s.Tolerance == 0 || !s.Full || b.comb != m {
		return
	}
	w.speaks(m)
	if floor := last(w.hard.acks, w.now-contact); s.ConfigVersion < floor {
		w.broken("%s tells %s, which is new to it, of version %d; %d was acknowledged over %v before", m.name, b.name, s.ConfigVersion, floor, contact)
	}
	for _, z := range sortedKeys(w.outAt) {
		if w.now > w.outAt[z]+contact && !slices.Contains(s.EvacuatedZones, z) {
			w.broken("%s tells %s, which is new to it, nothing of zone %s, whose evacuation was acknowledged at %.2f s", m.name, b.name, z, w.outAt[z].Seconds())
		}
	}
}

// observe takes the newest committed register down as what could be read at this moment.
func (w *world) observe(m *machine, r chainreplication.Register) {
	h := &w.hard
	if w.s.Tolerance == 0 || h.seen && r.Sequence <= h.top {
		return
	}
	h.seen, h.top = true, r.Sequence
	h.tops = append(h.tops, moment{w.now, r.Sequence})
	w.res.Changes = r.Sequence
	if body := string(r.Body); body != "" {
		if h.committed[body] == 0 {
			h.committed[body] = r.Sequence
		}
		if h.refused[body] {
			w.broken("%s: version %d %s is committed, which was refused", m.name, r.Version, short(body))
		}
	}
	w.res.Tries = append(w.res.Tries, Try{Kind: "read", Version: r.Version, Body: h.id(string(r.Body)), Seq: r.Sequence, Clear: true, Call: w.now, End: w.now})
	for i := range w.zones() {
		out := 0
		if r.EvacuatedZones[w.zone(i)] {
			out = 1
		}
		w.res.Tries = append(w.res.Tries, Try{Key: w.zone(i), Kind: "read", Body: out, Seq: r.Sequence, Clear: true, Call: w.now, End: w.now})
	}
}

// newestView is the newest view held by a process that runs.
func (w *world) newestView() (v membership.View) {
	for _, m := range w.combs {
		if m.up && m.brain != nil && m.brain.Coordinator().View().Number > v.Number {
			v = m.brain.Coordinator().View()
		}
	}
	return v
}

// onDisk is the number of what a loss of power would leave on a disk, and how many bytes there are now.
func (m *machine) onDisk() (seq uint64, bytes int) {
	for _, f := range m.disk.files {
		bytes += len(f.now)
	}
	if k := m.disk.lasting(); k != nil {
		seq = k.Register.Sequence
	}
	return seq, bytes
}

func (m *machine) well() bool {
	return m.up && !m.leaving && !m.frozen && m.brain != nil && !m.cutOff() && !m.disk.full && !m.disk.refuse && !m.disk.stalled
}

// watch looks at the core from outside, again and again: after some calm all that run are filled, in touch and in the
// chain, and enough of them vote.
func (w *world) watch() {
	if w.quiet {
		return
	}
	w.after(watchEvery, w.watch)
	v, h := w.newestView(), &w.hard
	for _, m := range w.combs {
		if m.well() && !m.caught && slices.Contains(v.Chain, m.brain.Coordinator().Self().ID) {
			if seq, _ := m.onDisk(); seq >= h.top {
				m.caught = true
				if took := w.now - m.began; m.spare {
					w.res.TakenIn = append(w.res.TakenIn, took)
				} else {
					w.res.Caught = append(w.res.Caught, took)
				}
			}
		}
	}
	if h.ticks++; h.ticks%10 > 0 {
		return
	}
	h.formed = h.formed || w.calm(catchUp) && w.now > catchUp+restart
	if !w.calm(catchUp) || !h.seen || w.now < formIn {
		return
	}
	well, out, voting := 0, 0, 0
	for _, m := range w.combs {
		if !m.well() {
			if !m.gone {
				out++
			}
			continue
		}
		well++
		id := m.brain.Coordinator().Self().ID
		if v.HasVoter(id) {
			voting++
		}
		seq, bytes := m.onDisk()
		w.res.Kept = max(w.res.Kept, bytes)
		if had := last(h.tops, w.now-time.Second); seq < had || !slices.Contains(v.Chain, id) {
			w.broken("%s has been up since %.2f s, and is not filled: it holds %d of %d on disk, the chain of view %d is %s", m.name, m.began.Seconds(), seq, had, v.Number, strings.Join(v.Chain, " > "))
			return
		}
		if bytes > diskMost {
			w.broken("%s keeps %d bytes after %d changes", m.name, bytes, h.top)
		}
		if w.calm(beatable) && !m.brain.Coordinator().HasQuorumContact(w.local(&m.node)) {
			w.broken("%s is not in touch, though all has been calm", m.name)
			return
		}
	}
	if !w.calm(beatable) {
		return
	}
	// As many more may be lost as the tolerance leaves: with all there, that takes 2f+1 voters or more.
	if more := max(w.s.Tolerance-max(w.s.Machines-well, out), 0); voting-more < v.Quorum() {
		w.broken("%d of %d voters of view %d are there, and %d more may be lost", voting, len(v.Voters), v.Number, more)
	}
}

// struck is the machine that a trouble means.
func (w *world) struck(t Trouble) *machine {
	v := w.newestView()
	of := func(id string) *machine {
		addr, _, _ := strings.Cut(id, "/")
		return w.byAddr[addr]
	}
	if n := len(v.Chain); n > 0 {
		switch t.Role {
		case "head":
			return of(v.Chain[0])
		case "tail":
			return of(v.Chain[n-1])
		case "middle":
			return of(v.Chain[n/2])
		}
	}
	if t.Role == "newest" && w.hard.spare != nil {
		return w.hard.spare
	}
	if t.On < len(w.combs) && !w.combs[t.On].gone {
		return w.combs[t.On]
	}
	var there []*machine
	for _, m := range w.combs {
		if !m.gone {
			there = append(there, m)
		}
	}
	return there[t.On%len(there)]
}

// timed strikes with what waited for a view.
func (w *world) timed(v membership.View) {
	if len(w.hard.waits) == 0 {
		return
	}
	in := func(ids []string) bool {
		return w.hard.spare != nil && slices.ContainsFunc(ids, func(id string) bool { return strings.HasPrefix(id, w.hard.spare.addr+"/") })
	}
	var voters []string
	for _, m := range v.Voters {
		voters = append(voters, m.ID)
	}
	waits := w.hard.waits
	w.hard.waits = nil
	for _, t := range waits {
		if t.When == "joined" && !in(v.Chain) || t.When == "voter" && !in(voters) {
			w.hard.waits = append(w.hard.waits, t)
			continue
		}
		t.When = ""
		most := 8 * time.Millisecond // at once, or as it settles
		if w.r.IntN(2) == 0 {
			most = 700 * time.Millisecond
		}
		w.after(time.Duration(w.r.Int64N(int64(most))), func() { w.strike(t) })
	}
}

// strikeHard does what only days with a Tolerance have, and tells whether it was that.
func (w *world) strikeHard(t Trouble) bool {
	if t.When != "" {
		w.hard.waits = append(w.hard.waits, t)
		w.after(waitsMost, func() { w.hard.waits = slices.DeleteFunc(w.hard.waits, func(x Trouble) bool { return x == t }) })
		return true
	}
	over := func(f func()) {
		w.after(t.For, func() { f(); w.event() })
	}
	switch t.Kind {
	case "bkill", "bfreeze", "bcut", "rcrash", "step":
		return false
	case "all", "allpower", "wipepower":
		w.say("TROUBLE: %v", t)
		lost := 0
		for i := range w.combs {
			m, how := w.combs[(i+t.On)%len(w.combs)], "kill"
			if t.Kind != "all" {
				how = "power"
			}
			if t.Kind == "wipepower" && lost < w.s.Tolerance && m.up {
				how, lost = "wipe", lost+1
			}
			w.kill(m, how, t.For+time.Duration(w.r.IntN(300))*time.Millisecond)
		}
		return true
	case "spare":
		w.hard.spares++
		m := &machine{i: len(w.combs), node: node{name: "comb " + string(rune('A'+w.hard.spares-1)), core: true}, addr: spareAddr(w.hard.spares), disk: newDisk(), spare: true}
		w.say("TROUBLE: %s is new", m.name)
		w.combs = append(w.combs, m)
		w.byAddr[m.addr], w.hard.spare = m, m
		w.start(m, false)
		return true
	}
	m := w.struck(t)
	w.say("TROUBLE: %s: %v", m.name, t)
	w.event()
	switch t.Kind {
	case "kill":
		w.kill(m, "kill", restart)
	case "power", "wipe":
		w.kill(m, t.Kind, t.For)
	case "gone", "leave":
		if m.up {
			w.down[m.i] = w.now
		}
		if t.Kind == "leave" {
			w.leaves(m)
		} else {
			w.kill(m, "power", -1)
			m.gone = true
		}
		if t.For > 0 { // it comes back with its disk, when nobody counts on it any more
			w.after(t.For, func() {
				if m.gone && !m.up {
					m.gone, m.leaving = false, false
					w.start(m, false)
				}
			})
		}
	case "freeze", "still", "stopped":
		if m.up && !m.frozen {
			w.down[m.i], m.cutAt = w.now, w.now
			life, from := m.life, w.now
			w.after(t.For, func() {
				if m.life == life && t.Kind != "freeze" {
					m.skew -= time.Duration(float64(w.now-from) * m.rate)
				}
				if m.life == life && t.Kind == "stopped" {
					m.wall -= w.now - from
				}
			})
			w.freeze(&m.node, t.For)
			over(func() { delete(w.down, m.i) })
		}
	case "cut", "island", "deaf", "mute":
		w.down[m.i] = w.now
		if !m.cutOff() {
			m.cutAt = w.now
		}
		add := func(n int) {
			switch t.Kind {
			case "cut":
				m.apart += n
			case "island":
				m.deaf, m.mute = m.deaf+n, m.mute+n
			case "deaf":
				m.deaf += n
			case "mute":
				m.mute += n
			}
		}
		add(1)
		over(func() { add(-1); delete(w.down, m.i) })
	case "full":
		m.disk.full = true
		over(func() { m.disk.full = false })
	case "refuse":
		m.disk.refuse = true
		over(func() { m.disk.refuse = false })
	case "stall":
		m.disk.stalled = true
		over(func() { m.disk.stalled = false })
	default:
		w.broken("no such trouble: %s", t.Kind)
	}
	if t.Meet && len(w.bees) > 0 {
		w.after(time.Duration(w.r.Int64N(int64(1500*time.Millisecond))), func() { w.meet(m) })
		w.after(max(t.For-300*time.Millisecond, 0)+time.Duration(w.r.Int64N(int64(600*time.Millisecond))), func() { w.meet(m) })
	}
	return true
}

func spareAddr(n int) string { return "10.0.1." + string(rune('0'+n)) + ":7000" }

// planted puts a bug in what the machines say to one another.
func (w *world) planted(m *machine, e controller.Event) controller.Event {
	msg, c := *e.Message, *e.Message.Coordinator
	switch f := w.s.Fault; {
	case f == VouchesAnyway && c.ConfirmViewResponse != nil:
		x := *c.ConfirmViewResponse
		x.Confirmed, c.ConfirmViewResponse = true, &x
	case f == NoIdentity && c.ProposeRequest != nil:
		x := *c.ProposeRequest
		x.Command.ID, c.ProposeRequest = 0, &x
	case f == ConflictUntold && c.ProposeResponse != nil:
		x := *c.ProposeResponse
		x.Conflict, c.ProposeResponse = false, &x
	default:
		return e
	}
	msg.Coordinator, e.Message = &c, &msg
	return e
}

// leaves ends a machine in order: SIGTERM, then SIGKILL after the grace.
func (w *world) leaves(m *machine) {
	if !m.up {
		m.gone, m.goneAt = true, w.now
		return
	}
	life := m.life
	if m.leaving = true; w.s.Fault == LeavesAtOnce {
		w.kill(m, "kill", -1)
		return
	}
	w.run(&m.node, life, func() { w.step(m, controller.Event{Shutdown: true}) })
	w.after(grace, func() {
		if m.up && m.life == life {
			w.say("%s has not ended within the grace", m.name)
			w.kill(m, "kill", -1)
		}
	})
}

// wallClock is the time of day at a machine.
func (w *world) wallClock(m *machine) time.Duration { return 1000*time.Hour + w.now + m.wall }

// meet has a forager begin a new life and call one comb first.
func (w *world) meet(m *machine) {
	b := w.bees[w.r.IntN(len(w.bees))]
	if !b.up || w.quiet {
		return
	}
	b.up = false
	if b.comb != nil {
		m, n := b.comb, b.stream
		w.carry(&b.node, &m.node, 0, 0, func() { w.ends(m, n) })
	}
	w.after(20*time.Millisecond, func() {
		if !b.up {
			w.wake(b)
			b.meets = m
		}
	})
}
