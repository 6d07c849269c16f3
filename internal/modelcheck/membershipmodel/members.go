package membershipmodel

import (
	"fmt"
	"hash/maphash"
	"math/bits"
	"slices"
	"time"
)

// The second machine: how the core's membership changes, over many views. An agreement is one value in force at a time
// (what Prepare at a majority allows; Explore tries its messages), accepted by each voter by itself; registers go from
// member to member as they lie on disk, also when their sender has ended since. Around it are replacements, removals,
// losses of disks, kills and blips in any order, orders with identities that are entered again, and readings. Who is
// dropped from the chain must have had trouble or be leaving; who may be hit by trouble, and when, is bounded by what the
// core promises to bear. From each state it is also tried whether the core comes to rest, left alone.

// Bugs that only this machine knows; it knows FreshHead too.
const (
	LeaverNotWaited    Fault = iota + 100 // who leaves ends at once
	JoinUnsettled                         // one is taken into the chain out of a view that hasn't settled, also where it isn't needed
	LeaverDroppedEarly                    // who leaves is dropped from the chain while too few others in it are filled
	LeaverTrustsTail                      // who leaves ends at the word of the tail, and hears nobody else after it
	LeaverOldView                         // who leaves counts the word of those who know of a later view
	LeaverStillVoter                      // who leaves ends while it is a voter beyond those that are needed
	LeaverNotTaken                        // who leaves isn't taken back into the chain, also where it is needed
	SeatUnfilled                          // a stranger has a voter's seat at once, while it is empty
	AddedUnfilled                         // a stranger is added to the voters at once, while it is empty
	LeaseRead                             // a reading trusts in contact, and asks nobody
	AppliedAgain                          // an order's identity isn't remembered
	OldSnapshotHead                       // a member that comes back with its disk has its old place at the head
	TwoConfirmed                          // an order below the version held is acknowledged, whatever its body
	ConflictAtOnce                        // a conflict is told before what it conflicts with is committed
)

// Scope limits what happens around a core of Members machines, half of which less one may be lost.
type Scope struct {
	Members  int
	Spares   int // machines started at new addresses
	Gone     int // machines lost for good
	Wipes    int // disks lost; the machine comes back under another identity
	Kills    int // disk kept; may be started again
	Blips    int // suspected while they run
	Leaves   int
	Returns  int // of those that had left, with their disk
	Orders   int // different ones: the first two are for one version, the third for none
	Enters   int // orders and repeats that reach a head
	Readings int
	Views    int       // agreed after the first
	Tries    int       // values that a proposer may put in the place of another, for each number
	States   int       // exploring ends after so many; 0: never
	Until    time.Time // or then; zero: never
	Passed   bool      // begins in a view whose members but the head are marked as fresh, just filled, which they have yet to hear
	NoCalm   bool      // doesn't try whether the core would come to rest
	Over     bool      // blips and kills beyond what may be lost; no promise but safety and coming to rest
}

// String names what may happen.
func (s Scope) String() string {
	out := fmt.Sprintf("%d members", s.Members)
	for _, x := range []struct {
		n    int
		what string
	}{{s.Spares, "new"}, {s.Gone, "gone"}, {s.Wipes, "wiped"}, {s.Kills, "killed"}, {s.Blips, "suspected"}, {s.Leaves, "leaving"}, {s.Returns, "returning"},
		{s.Enters, "orders entered"}, {s.Readings, "readings"}, {s.Views, "views"}, {s.Tries, "values given up"}} {
		if x.n > 0 {
			out += fmt.Sprintf(", %d %s", x.n, x.what)
		}
	}
	if s.Over {
		out += ", beyond what may be lost"
	}
	if s.Passed {
		out += ", all but the head marked as fresh"
	}
	return out
}

const (
	idsMost   = 8
	viewsMost = 8
	regMost   = 3
	pendMost  = 4
)

const ( // what a machine has accepted
	none uint8 = iota
	dead
	live
)

const ( // of a machine
	unborn uint8 = iota
	up
	down // its disk is kept
	gone
)

type (
	register [regMost]uint8 // of each order taken: 1 + its number + 4 times the view that it entered in
	idSet    uint8
	config   struct {
		voters, fresh idSet
		chain         [idsMost]uint8 // 1 + identity; 0: none
	}
	machine struct {
		status       uint8
		addr         uint8
		leaving      bool
		suspect      bool
		ok           bool // has caught up since its last trouble
		hurt         bool // and it has had one
		out          bool // gone, and no voter in a settled view
		instead      bool // began when one was away
		removed      bool // left or gone: it counts as lost until a successor has caught up
		view, synced uint8
		com          uint8 // 1 + how many orders it knows to be committed in its view; 0: none was seen
		accepted     uint8 // of the agreement on view+1: a value that was given up, or the live one
		told         idSet // who told this one, which leaves, that it saw a commit in its view
		held         register
	}
	waiting struct { // an order, at whoever has sent it on
		order, n, seq uint8
		conflict      bool
	}
	reading struct {
		on       bool
		by, n    uint8
		need, at uint8 // held here; acknowledged by then
		votes    idSet
	}
	world struct {
		m         [idsMost]machine
		born      uint8
		newest    uint8
		views     [viewsMost + 1]config
		live      config // the one value that may be decided next
		tries     uint8
		committed register
		in        uint8
		pend      [pendMost]waiting
		okd, refd uint8 // bits of orders
		entered   [3]uint8
		read      reading

		spares, gones, wipes, kills, blips, leaves, returns, readings uint8
	}
)

func (s idSet) has(i int) bool { return s&(1<<i) != 0 }
func (s idSet) count() int     { return bits.OnesCount8(uint8(s)) }

func (r register) length() (n int) {
	for n < regMost && r[n] != 0 {
		n++
	}
	return n
}

func (r register) holds(c register) bool {
	for i, x := range c {
		if x != 0 && r[i] != x {
			return false
		}
	}
	return true
}

func orderOf(entry uint8) int { return int(entry-1) & 3 }

func (c *config) length() (n int) {
	for n < idsMost && c.chain[n] != 0 {
		n++
	}
	return n
}

func (c *config) place(i int) int { return slices.Index(c.chain[:], uint8(i+1)) }

func (c *config) members() (s idSet) {
	for _, x := range c.chain {
		if x != 0 {
			s |= 1 << (x - 1)
		}
	}
	return s
}

func (c *config) majority() int { return c.voters.count()/2 + 1 }

func (c config) String() string {
	s := "chain"
	for _, x := range c.chain[:c.length()] {
		s += fmt.Sprintf(" %d", x-1)
		if c.fresh.has(int(x - 1)) {
			s += "(fresh)"
		}
	}
	s += ", voters"
	for i := range idsMost {
		if c.voters.has(i) {
			s += fmt.Sprintf(" %d", i)
		}
	}
	return s
}

type crowd struct {
	s      Scope
	f      int
	fault  Fault
	emit   func(y *world, what string, a, b, d int)
	rests  map[uint64]struct{} // from there the core comes to rest
	path   []uint64
	broken string
	views  []config // scratch
}

func (c *crowd) start() *world {
	old := register{1 + 3 + 4*1} // acknowledged before
	w := &world{born: uint8(c.s.Members), newest: 1, committed: old, in: 1}
	v := &w.views[1]
	for i := range c.s.Members {
		v.voters |= 1 << i
		v.chain[i] = uint8(i + 1)
		w.m[i] = machine{status: up, addr: uint8(i), ok: true, view: 1, synced: 1, held: old}
		if c.s.Passed && i > 0 {
			v.fresh |= 1 << i
		}
	}
	return w
}

// lost counts machines as the promise does: one that had trouble until it has caught up, a new one too; one that is gone,
// or was let go, until a new one has caught up in its stead (and, if it is gone, until it is no voter). Caught up is a voter in whose chain a commit was seen and no
// agreement is under way.
func (c *crowd) lost(w *world) int {
	missing, seated, away, spareOK, spareNot := 0, 0, 0, 0, 0
	for i := range int(w.born) {
		m := &w.m[i]
		switch {
		case m.status == gone && !m.removed: // another identity has its address
		case int(m.addr) < c.s.Members && m.removed && slices.ContainsFunc(w.m[:w.born], func(x machine) bool { return x.addr == m.addr && x.status == gone && !x.out }):
			seated++
		case int(m.addr) < c.s.Members && m.removed:
			away++
		case int(m.addr) < c.s.Members && !m.ok:
			missing++
		case int(m.addr) < c.s.Members:
		case m.ok && !m.removed:
			spareOK++
		case m.hurt && m.instead:
			spareNot++
		case m.hurt:
			missing++
		}
	}
	bare := seated + max(away-spareOK, 0)
	return missing + bare + max(spareNot-bare, 0)
}

// tidy does what is no choice: commits where the tail holds a register, answers, who has caught up, who may go.
func (c *crowd) tidy(w *world) {
	low := w.newest
	for i := range int(w.born) {
		m := &w.m[i]
		v := &w.views[m.view]
		if m.status == up && m.view > 0 && m.synced == m.view && v.length() > 0 && v.place(i) == v.length()-1 {
			c.commit(w, m.view, m.held)
		}
		if m.status != gone && m.view > 0 {
			low = min(low, m.view)
		}
	}
	v := &w.views[w.newest]
	for i := range int(w.born) {
		m := &w.m[i]
		if m.status == up && !m.suspect && w.in == w.newest && w.live.voters == 0 && v.voters.has(i) && v.place(i) >= 0 {
			m.ok, m.hurt, m.removed = true, false, false
		}
		if m.status == up && m.leaving && w.in == w.newest {
			var run idSet
			for j := range int(w.born) {
				if x := &w.m[j]; x.status == up && x.synced == w.in {
					run |= 1 << j
				}
			}
			m.removed = m.removed || c.mayLeave(w, w.in, i, run)
		}
		if m.status == gone && m.view < low {
			*m = machine{status: gone, addr: m.addr, removed: m.removed, hurt: m.hurt, instead: m.instead, out: m.out}
		}
		if m.status == gone && w.in == w.newest && !v.voters.has(i) {
			m.out = true
		}
	}
	for n := uint8(0); n < low; n++ {
		w.views[n] = config{}
	}
	k := 0
	for _, p := range w.pend {
		if p.n >= low && p.n > 0 {
			w.pend[k] = p
			k++
		}
	}
	clear(w.pend[k:])
	slices.SortFunc(w.pend[:k], func(a, b waiting) int {
		return int(a.n)*64 + int(a.order)*16 + int(a.seq) - int(b.n)*64 - int(b.order)*16 - int(b.seq)
	})
}

func (c *crowd) commit(w *world, n uint8, r register) {
	old := w.committed
	switch {
	case old.holds(r) && (n <= w.in || r == old):
	case !r.holds(old):
		c.broken = fmt.Sprintf("acknowledged were %v; the tail of view %d acknowledges %v", old, n, r)
	default:
		w.committed = r
		var seen uint8
		for _, x := range r[:r.length()] {
			if bit := uint8(1) << orderOf(x); seen&bit != 0 {
				c.broken = fmt.Sprintf("order %d is applied twice: %v", orderOf(x)+1, r)
			} else {
				seen |= bit
			}
		}
	}
	w.in = max(w.in, n)
	for i := range w.pend {
		p := &w.pend[i]
		if p.n != n || int(p.seq) > r.length() {
			continue
		}
		c.answer(w, *p)
		*p = waiting{}
	}
}

func (c *crowd) answer(w *world, p waiting) {
	bit := uint8(1) << p.order
	if !p.conflict {
		w.okd |= bit
	} else {
		w.refd |= bit
	}
	applied := func(o int) bool {
		return slices.ContainsFunc(w.committed[:w.committed.length()], func(x uint8) bool { return orderOf(x) == o })
	}
	switch {
	case w.okd&w.refd != 0 || p.conflict && applied(int(p.order)):
		c.broken = fmt.Sprintf("order %d was taken, and refused", p.order+1)
	case p.conflict && !applied(1-int(p.order)):
		c.broken = fmt.Sprintf("order %d is refused for one that isn't committed", p.order+1)
	case !p.conflict && !applied(int(p.order)):
		c.broken = fmt.Sprintf("order %d is acknowledged and not in force; confirmed under one number: %02b", p.order+1, w.okd&3)
	}
}

// mayLeave tells whether a machine may end that knows of some members that they saw a commit in a view.
func (c *crowd) mayLeave(w *world, n uint8, i int, saw idSet) bool {
	v := &w.views[n]
	if v.place(i) >= 0 || (v.members()&v.voters&saw).count() < c.f+1 {
		return false
	}
	if v.voters.count() <= 2*c.f+1 && v.members()&^v.voters == 0 || c.fault == LeaverStillVoter {
		return true
	}
	for j := range int(w.born) {
		if w.m[j].addr == w.m[i].addr && v.voters.has(j) {
			return false // it, or what it was before it lost its disk
		}
	}
	return true
}

func (c *crowd) check(w *world) string {
	if c.broken != "" {
		return c.broken
	}
	v := &w.views[w.newest]
	if !c.s.Over {
		alive, holder := 0, false
		for i := range int(w.born) {
			m := &w.m[i]
			if m.status != up {
				continue
			}
			if v.voters.has(i) {
				alive++
			}
			if v.place(i) >= 0 && (!v.fresh.has(i) || m.synced == w.newest) && m.held.holds(w.committed) {
				holder = true
			}
		}
		if alive < v.majority() {
			return fmt.Sprintf("of the voters of view %d (%v) only %d run; counted as lost: %d", w.newest, v, alive, c.lost(w))
		}
		if !holder {
			return fmt.Sprintf("nobody who runs and is filled in view %d (%v) holds what was acknowledged; counted as lost: %d", w.newest, v, c.lost(w))
		}
	}
	if !c.s.NoCalm {
		return c.rest(w)
	}
	return ""
}

func (c *crowd) next(y *world, what string, a, b, d int) {
	c.tidy(y)
	c.emit(y, what, a, b, d)
}

func (c *crowd) adopt(w *world, i int, n uint8) {
	m := &w.m[i]
	m.view, m.com, m.accepted, m.told = n, 0, none, 0
	if w.views[n].place(i) == 0 {
		m.synced = n
	}
	if w.read.on && int(w.read.by) == i {
		w.read = reading{} // answered with 503
	}
}

// steps tries everything that can happen.
func (c *crowd) steps(w *world) {
	c.around(w)
	for i := range int(w.born) {
		m := &w.m[i]
		if m.status != up {
			continue
		}
		for n := m.view + 1; n <= w.newest; n++ {
			// Who has no place in a view loses by learning it only what it may still do in an older one; a voter learns it by
			// voting, and must know it to vouch for it.
			if v := &w.views[n]; v.place(i) < 0 && !(m.leaving && v.voters != 0) && !(c.s.Readings > 0 && v.voters.has(i)) {
				continue
			}
			y := *w
			c.adopt(&y, i, n)
			c.next(&y, "%d learns view %d", i, int(n), 0)
		}
		c.data(w, i)
		c.propose(w, i)
		c.vote(w, i)
		c.reads(w, i)
		if !m.leaving {
			continue
		}
		for j := range int(w.born) {
			if x := &w.m[j]; j != i && m.view > 0 && x.status == up && x.view == m.view && x.com > 0 && (x.accepted == none || c.fault == LeaverOldView) && !m.told.has(j) && w.views[m.view].place(j) >= 0 && w.views[m.view].voters.has(j) {
				y := *w
				y.m[i].told |= 1 << j
				c.next(&y, "%d tells %d that view %d is settled, and that it knows of no later one", j, i, int(m.view))
			}
		}
		told := m.told
		if c.fault == LeaverTrustsTail && m.com > 0 {
			told = w.views[m.view].members()
		}
		if c.fault == LeaverNotWaited || m.view > 0 && (m.accepted == none || c.fault == LeaverOldView) && c.mayLeave(w, m.view, i, told) {
			y := *w
			z := &y.m[i]
			z.status, z.com, z.told, z.suspect = down, 0, 0, false
			if y.read.on && int(y.read.by) == i {
				y.read = reading{}
			}
			c.next(&y, "%d has left", i, 0, 0)
		}
	}
}

// around is what happens to machines.
func (c *crowd) around(w *world) {
	try := func(y *world, what string, a, b int) {
		c.tidy(y)
		if c.s.Over || c.lost(y) <= c.f {
			c.emit(y, what, a, b, 0)
		}
	}
	stop := func(y *world, i int, status uint8) *machine {
		z := &y.m[i]
		z.status, z.ok, z.hurt, z.com, z.told, z.suspect = status, false, true, 0, 0, false
		if y.read.on && int(y.read.by) == i {
			y.read = reading{}
		}
		return z
	}
	if int(w.spares) < c.s.Spares && w.born < idsMost {
		y := *w
		away := slices.ContainsFunc(w.m[:c.s.Members], func(m machine) bool { return m.removed })
		y.m[y.born] = machine{status: up, addr: uint8(c.s.Members) + y.spares, instead: away}
		y.born++
		y.spares++
		c.next(&y, "%d starts at a new address", int(w.born), 0, 0)
	}
	for i := range int(w.born) {
		m := &w.m[i]
		if m.status == down {
			y := *w
			z := &y.m[i]
			if m.leaving {
				if int(y.returns) >= c.s.Returns {
					continue
				}
				y.returns++
				z.leaving, z.ok = false, false // its successor, if it has one, stands for it until it is taken in again
			}
			z.status = up
			c.next(&y, "%d starts again with its disk", i, 0, 0)
			continue
		}
		if m.status != up {
			continue
		}
		if int(w.gones) < c.s.Gone {
			y := *w
			y.gones++
			stop(&y, i, gone).removed = true
			try(&y, "%d is lost for good", i, 0)
		}
		if int(w.wipes) < c.s.Wipes && w.born < idsMost && !m.leaving {
			y := *w
			y.wipes++
			stop(&y, i, gone)
			y.m[y.born] = machine{status: up, addr: m.addr, hurt: true, instead: m.instead}
			y.born++
			try(&y, "%d loses its disk and comes back as %d", i, int(w.born))
		}
		if int(w.kills) < c.s.Kills && !m.leaving {
			y := *w
			y.kills++
			stop(&y, i, down)
			try(&y, "%d is killed", i, 0)
		}
		if m.suspect {
			y := *w
			y.m[i].suspect = false
			c.next(&y, "%d is heard again", i, 0, 0)
		} else if int(w.blips) < c.s.Blips {
			y := *w
			y.blips++
			y.m[i].suspect, y.m[i].ok, y.m[i].hurt = true, false, true
			try(&y, "%d isn't heard", i, 0)
		}
		if int(w.leaves) < c.s.Leaves && !m.leaving && int(m.addr) < c.s.Members {
			y := *w
			y.leaves++
			y.m[i].leaving = true
			c.next(&y, "%d is told to leave", i, 0, 0)
		}
	}
}

// data is the chain's part.
func (c *crowd) data(w *world, i int) {
	m := &w.m[i]
	if m.view == 0 {
		return
	}
	v := &w.views[m.view]
	p := v.place(i)
	if p == 0 {
		total := 0
		for _, n := range w.entered {
			total += int(n)
		}
		for o := 0; o < c.s.Orders && total < c.s.Enters; o++ {
			if w.entered[o] < 2 {
				c.enter(w, i, o)
			}
		}
	}
	if p > 0 { // a pass may be on its way though its sender has ended
		from := &w.m[v.chain[p-1]-1]
		if from.view == m.view && from.synced == m.view && (m.synced != m.view || from.held.length() > m.held.length()) {
			y := *w
			y.m[i].held, y.m[i].synced = from.held, m.view
			c.next(&y, "%d takes the pass of view %d from %d", i, int(m.view), int(v.chain[p-1]-1))
		}
	}
	if p < 0 && !m.leaving {
		return
	}
	// What the tail holds was told.
	if tail := &w.m[v.chain[v.length()-1]-1]; tail.view == m.view && tail.synced == m.view && int(m.com) < 1+tail.held.length() {
		y := *w
		y.m[i].com = uint8(1 + tail.held.length())
		c.next(&y, "%d hears that in view %d the tail has %d orders", i, int(m.view), tail.held.length())
	}
}

func (c *crowd) enter(w *world, i, o int) {
	y := *w
	z := &y.m[i]
	y.entered[o]++
	n := z.held.length()
	has := func(o int) bool {
		return slices.ContainsFunc(z.held[:n], func(x uint8) bool { return orderOf(x) == o })
	}
	p := waiting{order: uint8(o), n: z.view}
	switch {
	case has(o) && c.fault != AppliedAgain:
	case o < 2 && has(1-o):
		p.conflict = c.fault != TwoConfirmed
	case n < regMost:
		z.held[n] = uint8(1 + o + 4*int(z.view))
	default:
		return
	}
	p.seq = uint8(z.held.length())
	if p.conflict && c.fault == ConflictAtOnce {
		p.seq = 0
		c.answer(&y, p)
	} else {
		k := slices.IndexFunc(y.pend[:], func(x waiting) bool { return x.n == 0 })
		if k < 0 {
			return
		}
		y.pend[k] = p
	}
	c.next(&y, "order %d enters at %d in view %d", o+1, i, int(z.view))
}

func (c *crowd) reads(w *world, i int) {
	m := &w.m[i]
	if m.view == 0 {
		return
	}
	v := &w.views[m.view]
	if !w.read.on && int(w.readings) < c.s.Readings && v.place(i) >= 0 {
		y := *w
		y.readings++
		y.read = reading{on: true, by: uint8(i), n: m.view, need: uint8(m.held.length()), at: uint8(w.committed.length())}
		c.next(&y, "%d is asked in view %d", i, int(m.view), 0)
	}
	r := &w.read
	if !r.on {
		return
	}
	if m.view == r.n && w.views[r.n].voters.has(i) && !r.votes.has(i) && m.accepted == none {
		y := *w
		y.read.votes |= 1 << i
		c.next(&y, "%d knows of no later view than %d", i, int(r.n), 0)
	}
	if int(r.by) == i && m.view == r.n && m.com > r.need && (r.votes.count() >= v.majority() || c.fault == LeaseRead) {
		y := *w
		y.read = reading{}
		if m.com-1 < r.at {
			c.broken = fmt.Sprintf("%d answers with %d orders, %d were acknowledged before it was asked", i, m.com-1, r.at)
		}
		c.next(&y, "%d answers", i, 0, 0)
	}
}

// propose puts a value in the place of the live one, where a majority can promise that it has not accepted that.
func (c *crowd) propose(w *world, i int) {
	m := &w.m[i]
	v := &w.views[w.newest]
	if m.view != w.newest || v.place(i) < 0 || int(w.newest) > c.s.Views || w.live.voters != 0 && int(w.tries) >= c.s.Tries {
		return
	}
	can := 0
	for j := range int(w.born) {
		if x := &w.m[j]; v.voters.has(j) && x.status == up && (x.view < w.newest || x.accepted != live) {
			can++
		}
	}
	if can < v.majority() {
		return
	}
	for _, next := range slices.Clone(c.wanted(w, i)) {
		if next == w.live {
			continue
		}
		y := *w
		if y.live.voters != 0 {
			y.tries++
		}
		c.offer(&y, next)
		c.next(&y, "%d proposes view %d", i, int(w.newest)+1, 0)
	}
}

func (c *crowd) offer(w *world, next config) {
	w.live = next
	for j := range w.m {
		if x := &w.m[j]; x.view == w.newest && x.accepted == live {
			x.accepted = dead
		}
	}
}

// wanted lists the views that a member may want after its own. What it hears of others is modelled by their trouble.
func (c *crowd) wanted(w *world, self int) []config {
	v := &w.views[w.newest]
	settled := w.m[self].com > 0
	well := func(j int) bool { return w.m[j].status == up && !w.m[j].suspect && !w.m[j].leaving }
	var bad idSet // in the chain
	for _, x := range v.chain[:v.length()] {
		if j := int(x - 1); !well(j) && (j != self || w.m[j].leaving) {
			bad |= 1 << j
		}
	}
	c.views = c.views[:0]
	try := func(drop idSet, join int) {
		next := config{voters: v.voters}
		k := 0
		for _, x := range v.chain[:v.length()] {
			if join >= 0 && w.m[join].addr == w.m[x-1].addr {
				continue // the machine has come back under another identity
			}
			if !drop.has(int(x - 1)) {
				next.chain[k] = x
				k++
			}
		}
		if !settled {
			next.fresh = v.fresh & next.members()
		}
		if join >= 0 {
			if c.fault == OldSnapshotHead && v.voters.has(join) {
				copy(next.chain[1:], next.chain[:k])
				next.chain[0] = uint8(join + 1)
			} else {
				next.chain[k] = uint8(join + 1)
				if c.fault != FreshHead {
					next.fresh |= 1 << join
				}
			}
			k++
		}
		if k == 0 || next.fresh.has(int(next.chain[0]-1)) {
			return
		}
		in := next.members()
		if c.fault != LeaverDroppedEarly {
			for j := range int(w.born) {
				if m := &w.m[j]; drop.has(j) && m.leaving && m.status == up && !m.suspect && (in&v.voters&^next.fresh).count() < c.f+1 {
					return
				}
			}
		}
		take := func(voters idSet) {
			if (in & voters).count() < voters.count()/2+1 {
				return
			}
			if x := next; x.chain != v.chain || voters != v.voters {
				x.voters = voters
				c.views = append(c.views, x)
			}
		}
		take(v.voters)
		atOnce := (c.fault == SeatUnfilled || c.fault == AddedUnfilled) && join >= 0 && !v.voters.has(join)
		if !settled && !atOnce {
			return
		}
		var absent idSet // for long, or leaving
		for j := range int(w.born) {
			if v.voters.has(j) && !in.has(j) && !well(j) && (v.place(j) < 0 || w.m[j].leaving || atOnce) {
				absent |= 1 << j
			}
		}
		for l := range int(w.born) {
			if v.voters.has(l) || !in.has(l) || l == join && !atOnce || w.m[l].leaving || l != join && !settled {
				continue
			}
			same := idSet(0)
			for j := range int(w.born) {
				if absent.has(j) && w.m[j].addr == w.m[l].addr {
					same |= 1 << j
				}
			}
			if same == 0 {
				same = absent
			}
			for j := range int(w.born) {
				if same.has(j) {
					take(v.voters&^(1<<j) | 1<<l)
				}
			}
			if v.voters&^in == 0 && !atOnce || atOnce && c.fault == AddedUnfilled {
				take(v.voters | 1<<l)
			}
		}
		if !settled {
			return
		}
		for j := range int(w.born) {
			if absent.has(j) && v.voters.count()-1 >= 2*c.f+1 {
				take(v.voters &^ (1 << j))
			}
		}
		if stay := in & v.voters; stay.count() == v.majority() && stay.count() >= 3 && v.voters&^stay == absent {
			take(stay)
		}
	}
	for join := -1; join < int(w.born); join++ {
		if join >= 0 {
			j := &w.m[join]
			if v.place(join) >= 0 || j.status != up || j.suspect || j.leaving && (c.fault == LeaverNotTaken || !v.voters.has(join) || !c.needed(w, v)) {
				continue
			}
			if !settled && c.fault != JoinUnsettled && (!v.voters.has(join) || c.without(w, v) >= v.majority()) {
				continue
			}
		}
		try(0, join)
		if bad.count() > 1 {
			try(bad, join)
		}
		for j := range int(w.born) {
			if bad.has(j) {
				try(1<<j, join)
			}
		}
	}
	return c.views
}

// without counts the voters in the chain that seem well.
func (c *crowd) without(w *world, v *config) (n int) {
	for j := range int(w.born) {
		if m := &w.m[j]; v.voters.has(j) && v.place(j) >= 0 && m.status == up && !m.suspect {
			n++
		}
	}
	return n
}

// needed tells whether too few voters would be in the chain without those that leave.
func (c *crowd) needed(w *world, v *config) bool {
	n := 0
	for j := range int(w.born) {
		if m := &w.m[j]; v.voters.has(j) && m.status == up && !m.suspect && !m.leaving {
			n++
		}
	}
	return n < v.majority()
}

// vote has a voter accept the live value; the last of a majority decides it.
func (c *crowd) vote(w *world, i int) {
	v := &w.views[w.newest]
	m := &w.m[i]
	if w.live.voters == 0 || !v.voters.has(i) || m.view == w.newest && m.accepted == live {
		return
	}
	y := *w
	if m.view < w.newest {
		c.adopt(&y, i, w.newest)
	}
	y.m[i].accepted = live
	c.decide(&y)
	c.next(&y, "%d accepts view %d", i, int(w.newest)+1, 0)
}

func (c *crowd) decide(w *world) bool {
	v := &w.views[w.newest]
	n := 0
	for j := range int(w.born) {
		if x := &w.m[j]; v.voters.has(j) && x.view == w.newest && x.accepted == live {
			n++
		}
	}
	if n < v.majority() {
		return false
	}
	w.newest++
	w.views[w.newest], w.live, w.tries = w.live, config{}, 0
	return true
}

var worldSeed = maphash.MakeSeed()

// rest tries whether the core comes to rest when nothing more befalls it: a settled view that has all who run and stay,
// as voters, no voter too many who doesn't, and nobody waiting to leave who needn't.
func (c *crowd) rest(w *world) string {
	y := *w
	c.path = c.path[:0]
	for {
		c.rebase(&y)
		k := maphash.Comparable(worldSeed, y)
		if _, ok := c.rests[k]; ok {
			break
		}
		if slices.Contains(c.path, k) {
			if why := c.atRest(&y); why != "" {
				c.broken = ""
				return "left alone, the core doesn't come to rest: " + why
			}
			break
		}
		c.path = append(c.path, k)
		c.calm(&y)
		if c.broken != "" {
			return "left alone: " + c.broken
		}
	}
	for _, k := range c.path {
		c.rests[k] = struct{}{}
	}
	return ""
}

// rebase drops what no longer matters once nothing more befalls the core.
func (c *crowd) rebase(w *world) {
	if c.s.Over { // all come back
		for i := range w.m {
			if w.m[i].status == down && !w.m[i].leaving {
				w.m[i].status = up
			}
		}
	}
	for i := range w.m {
		w.m[i].suspect = false
	}
	known, voters := false, 0
	for i := range w.m {
		m := &w.m[i]
		known = known || m.status == up && m.view == w.newest
		if m.status == up && w.newest > 1 && w.views[w.newest-1].voters.has(i) {
			voters++
		}
	}
	if known || voters >= w.views[w.newest-1].majority() && w.views[w.newest-1].voters != 0 {
		for i := range w.m {
			if m := &w.m[i]; m.status == up && m.view < w.newest {
				c.adopt(w, i, w.newest)
			}
		}
	} else {
		return
	}
	shift := w.newest - 1
	y := world{born: w.born, newest: 1, live: w.live, committed: w.committed, m: w.m}
	y.views[1] = w.views[w.newest]
	if w.in == w.newest {
		y.in = 1
	}
	for i := range y.m {
		m := &y.m[i]
		if m.status == gone {
			*m = machine{status: gone, addr: m.addr, removed: m.removed, hurt: m.hurt, instead: m.instead, out: m.out}
			continue
		}
		if m.view != w.newest {
			m.com, m.accepted = 0, none
		}
		m.view, m.synced = max(m.view, shift)-shift, max(m.synced, shift)-shift
	}
	*w = y
}

// calm lets the core do what it would do next.
func (c *crowd) calm(w *world) {
	v := &w.views[w.newest]
	c.tidy(w)
	if w.live.voters != 0 {
		for i := range w.m {
			if m := &w.m[i]; m.status == up && v.voters.has(i) && m.view == w.newest {
				m.accepted = live
			}
		}
		if c.decide(w) {
			return
		}
	}
	n := v.length()
	for p := 1; p < n; p++ {
		from, to := &w.m[v.chain[p-1]-1], &w.m[v.chain[p]-1]
		if from.status == up && to.status == up && from.view == w.newest && to.view == w.newest && from.synced == w.newest &&
			(to.synced != w.newest || from.held.length() > to.held.length()) {
			to.held, to.synced = from.held, w.newest
		}
	}
	c.tidy(w)
	if tail := &w.m[v.chain[n-1]-1]; tail.status == up && tail.view == w.newest && tail.synced == w.newest {
		for i := range w.m {
			if m := &w.m[i]; m.status == up && m.view == w.newest {
				m.com = uint8(1 + tail.held.length())
			}
		}
	}
	var saw idSet
	for i := range w.m {
		if m := &w.m[i]; m.status == up && m.com > 0 {
			saw |= 1 << i
		}
	}
	voters := 0
	for i := range w.m {
		m := &w.m[i]
		if m.status == up && m.leaving && m.com > 0 && c.mayLeave(w, w.newest, i, saw) {
			m.status, m.com, m.ok = down, 0, false
		}
		if m.status == up && v.voters.has(i) {
			voters++
		}
	}
	if voters < v.majority() {
		return
	}
	best, value := c.score(w, v), config{}
	for i := range w.m {
		if m := &w.m[i]; m.status == up && m.view == w.newest && v.place(i) >= 0 {
			for _, x := range c.wanted(w, i) {
				if s := c.score(w, &x); s > best {
					best, value = s, x
				}
			}
		}
	}
	if value.voters != 0 {
		c.offer(w, value)
	}
}

func (c *crowd) score(w *world, v *config) (s int) {
	in := v.members()
	for i := range int(w.born) {
		m := &w.m[i]
		if in.has(i) {
			switch {
			case m.status != up:
				s -= 30
			case m.leaving:
				s -= 10
			default:
				s += 100
			}
		}
		if v.voters.has(i) {
			switch {
			case m.status == up && !m.leaving:
				s += 5
			case m.status == gone:
				s -= 4
			default:
				s -= 3
			}
		}
	}
	return s
}

func (c *crowd) atRest(w *world) string {
	v := &w.views[w.newest]
	if w.in != w.newest {
		return fmt.Sprintf("nothing is committed in the newest view (%v)", v)
	}
	stay := 0
	for i := range int(w.born) {
		m := &w.m[i]
		if m.status != up || m.leaving {
			continue
		}
		stay++
		if v.place(i) < 0 || !v.voters.has(i) {
			return fmt.Sprintf("%d runs, and isn't taken in (%v)", i, v)
		}
	}
	for i := range int(w.born) {
		if m := &w.m[i]; m.status == up && m.leaving && stay >= v.majority() && stay >= c.f+1 {
			return fmt.Sprintf("%d can't leave (%v)", i, v)
		}
	}
	if n := v.voters.count(); n > max(2*c.f+1, stay) {
		return fmt.Sprintf("%d voters, of whom %d run (%v)", n, stay, v)
	}
	return ""
}

// ExploreMembers searches breadth first.
func ExploreMembers(s Scope, fault Fault) Result {
	c := &crowd{s: s, f: (s.Members - 1) / 2, fault: fault, rests: map[uint64]struct{}{}}
	start := *c.start()
	seen := map[uint64]uint32{maphash.Comparable(worldSeed, start): 0}
	parents, keys := []uint32{0}, []uint64{maphash.Comparable(worldSeed, start)}
	layer, following := []world{start}, []world(nil)
	res := Result{Complete: true}
	at := uint32(0)
	wrong, wrongAt, last := "", uint32(0), ""
	c.emit = func(y *world, what string, a, b, d int) {
		if wrong != "" {
			return
		}
		k := maphash.Comparable(worldSeed, *y)
		if _, ok := seen[k]; ok && c.broken == "" {
			return
		}
		if broken := c.check(y); broken != "" {
			wrong, wrongAt, last = broken, at, step(what, a, b, d)
			return
		}
		seen[k] = uint32(len(keys))
		keys, parents = append(keys, k), append(parents, at)
		following = append(following, *y)
	}
	for len(layer) > 0 && wrong == "" {
		for i := range layer {
			at = seen[maphash.Comparable(worldSeed, layer[i])]
			c.steps(&layer[i])
			res.States++
			res.Complete = s.States == 0 || res.States < s.States
			if res.States%1024 == 0 && !s.Until.IsZero() && time.Now().After(s.Until) {
				res.Complete = false
			}
			if wrong != "" || !res.Complete {
				break
			}
		}
		if !res.Complete {
			break
		}
		layer, following = following, layer[:0]
	}
	if res.Broken = wrong; wrong == "" {
		return res
	}
	var way []uint64
	for k := wrongAt; k != 0; k = parents[k] {
		way = append(way, keys[k])
	}
	slices.Reverse(way)
	w := start
	for _, k := range way { // the same again, with words
		var y world
		found := ""
		c.emit = func(z *world, what string, a, b, d int) {
			if found == "" && maphash.Comparable(worldSeed, *z) == k {
				if y, found = *z, step(what, a, b, d); z.live != w.live && z.live.voters != 0 {
					found += ": " + z.live.String()
				} else if z.newest > w.newest {
					found += ", which decides it"
				}
			}
		}
		c.broken = ""
		c.steps(&w)
		w = y
		res.Trace = append(res.Trace, found)
	}
	res.Trace = append(res.Trace, last)
	return res
}

func step(what string, a, b, d int) string {
	args := []any{a, b, d}
	n := 0
	for i := 0; i+1 < len(what); i++ {
		if what[i] == '%' {
			n++
		}
	}
	return fmt.Sprintf(what, args[:n]...)
}
