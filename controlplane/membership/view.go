// Package membership agrees on who forms the chain of core machines, and mends it. It is free of I/O: events in, actions
// out, clock and chance handed in.
//
// A view is a number, a roster (the voters: every core machine whose word counts), the chain, an ordered part of the
// roster, and at most one learner, which stands in the chain but does not vote yet. View n+1 is decided by one round of
// single-decree agreement among the roster of view n, so any two decisions meet in a machine that knows of both. A machine
// is known by the identity of its disk: one that lost its disk has lost its word, comes back under another identity, and
// counts nowhere until it was filled as a learner and a view has made it a voter.
//
// Two things are told apart. Suspicion rests on arrivals: who is heard, and hears, stays in the chain; a mistake there
// costs a view, no more. Contact rests on echoes: a machine counts itself in touch only while a majority of the voters has
// answered words of its own that it sent within a second. What lay in a socket while a machine stood still proves nothing.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Time is a moment on the caller's steady clock.
type Time = time.Duration

const (
	BeatEvery    = 200 * time.Millisecond // beats go to every peer this often
	suspectAfter = 800 * time.Millisecond // a peer silent for so long is taken for lost
	sureAfter    = 200 * time.Millisecond // a change must have been wanted for so long
	settleFor    = 300 * time.Millisecond // a joiner must have been in touch for so long
	rankWait     = 300 * time.Millisecond // each further machine in the chain waits so much longer to propose
	proposalMost = 500 * time.Millisecond // a proposal without an outcome is given up
	forgetAfter  = 20 * time.Second       // a stranger that is not in the roster is forgotten
	heldUp       = 400 * time.Millisecond // between two ticks: then it was we who were held up
	stoodFor     = 500 * time.Millisecond // that another's clock gained on ours: then ours stood still
	driftPart    = 100                    // clocks differ by less than one part in so many
	contactFor   = time.Second            // contact by a word of ours that was answered lasts so long from its sending
	goneAfter    = 2 * time.Second        // a voter out of the chain for so long may give its seat to a successor
	emptyAfter   = 12 * time.Second       // two voters gone for so long are dropped without successors
	fewest       = 3                      // voters below which none is dropped without a successor
)

// Member is a core machine.
type Member struct {
	ID   string `cbor:"1,keyasint"` // its disk's identity
	Addr string `cbor:"2,keyasint"` // where governors call it
	Zone string `cbor:"3,keyasint,omitempty"`
	Call string `cbor:"4,keyasint,omitempty"` // where replicas and operators call it
}

// View is one agreed state of the core. It is not changed once made.
type View struct {
	N      uint64   `cbor:"1,keyasint"`
	Roster []Member `cbor:"2,keyasint"`
	Chain  []string `cbor:"3,keyasint"` // identities, head first

	// Fresh names those of the chain that may not hold yet what their predecessors hold. None of them may become the
	// head before a commit in this view has shown that it was filled.
	Fresh []string `cbor:"4,keyasint,omitempty"`

	// Learners stand in the chain and are filled there; their word does not count. One at a time.
	Learners []Member `cbor:"5,keyasint,omitempty"`
}

// In tells whether an identity's word counts in the view.
func (v View) In(id string) bool {
	return slices.ContainsFunc(v.Roster, func(m Member) bool { return m.ID == id })
}

// Learns tells whether an identity is a learner's.
func (v View) Learns(id string) bool {
	return slices.ContainsFunc(v.Learners, func(m Member) bool { return m.ID == id })
}

// Members lists voters and learners.
func (v View) Members() []Member { return append(slices.Clone(v.Roster), v.Learners...) }

// Place is an identity's place in the chain, or -1.
func (v View) Place(id string) int { return slices.Index(v.Chain, id) }

// Majority is how many of the roster must agree.
func (v View) Majority() int { return len(v.Roster)/2 + 1 }

// Ballot orders proposals.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	By    string `cbor:"2,keyasint"`
}

// Less tells whether b comes before c.
func (b Ballot) Less(c Ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, c.Round), cmp.Compare(b.By, c.By)) < 0
}

// Durable is what must be on stable storage before what rests on it is told.
type Durable struct {
	View     View   `cbor:"1,keyasint"`
	Promised Ballot `cbor:"2,keyasint"` // of the agreement on view N+1, as the next two
	Accepted Ballot `cbor:"3,keyasint"`
	Value    *View  `cbor:"4,keyasint,omitempty"`
}

// Kind tells messages apart.
type Kind uint8

const (
	Beat Kind = iota + 1
	Prepare
	Promise
	Refuse
	Accept
	Accepted
	Decided
)

// Message is what core machines say to one another about views.
type Message struct {
	Kind   Kind   `cbor:"1,keyasint"`
	From   Member `cbor:"2,keyasint"`
	N      uint64 `cbor:"3,keyasint,omitempty"` // beats: the view held; else the number agreed on
	Ballot Ballot `cbor:"4,keyasint,omitempty"`
	Held   Ballot `cbor:"5,keyasint,omitempty"` // Promise: accepted before; Refuse: promised
	View   *View  `cbor:"6,keyasint,omitempty"` // Prepare: the view before; Accept, Decided: the view itself
	Sick   bool   `cbor:"7,keyasint,omitempty"` // beats: its disk does not take writes

	Clock   Stamp            `cbor:"8,keyasint,omitempty"`  // beats: the sender's, at sending
	Heard   map[string]Stamp `cbor:"9,keyasint,omitempty"`  // beats: whom the sender hears, and their clocks as it last heard
	Leaving bool             `cbor:"10,keyasint,omitempty"` // beats: it has been told to end
	Ask     bool             `cbor:"11,keyasint,omitempty"` // beats: it is not in touch, and wants a beat at once
	Filled  uint64           `cbor:"12,keyasint,omitempty"` // beats: the last view in which it was filled, on its disk
}

// Stamp is a reading of one life's steady clock. A machine that hears its own one back knows that whoever sent it has
// heard a word that left after that time.
type Stamp struct {
	Life uint64 `cbor:"1,keyasint"` // drawn at each start: clocks begin at nothing
	At   Time   `cbor:"2,keyasint"`
}

// Send is an action: a message to a peer's address. With Durable set it must wait until what is held now is on
// stable storage.
type Send struct {
	To      Member
	Message Message
	Durable bool
}

type peer struct {
	Member
	heard   Time // last beat
	since   Time // in touch without a gap since
	hearsMe bool
	hears   map[string]Stamp // whom it hears
	sick    bool
	sickAt  Time // since
	leaving bool
	filled  uint64
	clock   Stamp // its own, as last heard
	ahead   Time  // of ours, as far as is believed, since aheadAt: words are late, never early
	aheadAt Time
	asked   Time // when the newest word of ours was sent that it is known to have heard; contact counts from there
}

// Engine is one core machine's part. Make it with New.
type Engine struct {
	self    Member
	life    uint64
	d       Durable
	chance  func() float64
	peers   map[string]*peer // by identity
	sick    bool
	leaving bool
	ticked  Time
	began   Time // the first tick, or the one after a standstill: before that, nobody could be heard
	beatAt  Time
	needed  Time // a change has been wanted since; 0: none is
	round   uint64
	out     []Send
	adopted bool
	changed bool
	stood   bool

	proposing struct {
		on       bool
		at       Time
		ballot   Ballot
		value    View
		accept   bool
		promised map[string]bool
		accepted map[string]bool
		best     Ballot
	}
	waitUntil Time
	settledIn uint64
	filledIn  uint64
	seeds     []string
}

// New makes an engine from what was on disk. Seeds are addresses to greet until somebody is heard there.
func New(self Member, d Durable, seeds []string, chance func() float64) *Engine {
	return &Engine{self: self, life: uint64(chance() * (1 << 53)), d: d, seeds: seeds, chance: chance, peers: map[string]*peer{}, ticked: -1}
}

// Meet replaces the addresses to greet until somebody is heard there.
func (e *Engine) Meet(addrs []string) { e.seeds = addrs }

// Vouches tells whether this machine knows of no view after number n that may have been decided.
func (e *Engine) Vouches(n uint64) bool {
	return e.d.View.N == n && e.d.Value == nil && e.d.View.In(e.self.ID)
}

// Known is a machine heard of, by its identity.
func (e *Engine) Known(id string) (Member, bool) {
	if p := e.peers[id]; p != nil {
		return p.Member, true
	}
	return Member{}, false
}

// Heard tells whether a machine was heard lately and hears this one.
func (e *Engine) Heard(now Time, id string) bool { return e.touch(now, id) }

// Output is what a step brings.
type Output struct {
	Send    []Send
	Save    bool // Durable changed
	Adopted bool // another view is held now
}

func (e *Engine) flush() Output {
	o := Output{Send: e.out, Save: e.changed, Adopted: e.adopted}
	e.out, e.changed, e.adopted = nil, false, false
	return o
}

// Durable is the present state to be kept.
func (e *Engine) Durable() Durable { return e.d }

// View is the newest view known to be decided.
func (e *Engine) View() View { return e.d.View }

// SetSick tells whether the disk takes writes.
func (e *Engine) SetSick(sick bool) { e.sick = sick }

// Leave has the others do without this machine; Leaving tells whether it was called.
func (e *Engine) Leave()        { e.leaving = true }
func (e *Engine) Leaving() bool { return e.leaving }

// Forsaken tells whether there is nobody to hand over to: every other voter that is heard has been told to end too, or
// there is no other one.
func (e *Engine) Forsaken(now Time) bool {
	heard := 0
	for _, m := range e.d.View.Roster {
		if p := e.peers[m.ID]; p != nil && e.touch(now, m.ID) {
			if heard++; !p.leaving {
				return false
			}
		}
	}
	return heard > 0 || len(e.d.View.Roster) <= 1
}

// SetSettled tells the last view in which a commit was seen: by then all its chain was filled.
func (e *Engine) SetSettled(n uint64) { e.settledIn = n }

// SetFilled tells the last view in which this machine's predecessor filled it, or whose head it was, once that is on its disk.
func (e *Engine) SetFilled(n uint64) { e.filledIn = n }

// Self is this machine.
func (e *Engine) Self() Member { return e.self }

func (e *Engine) touch(now Time, id string) bool {
	p := e.peers[id]
	return p != nil && now-p.heard < suspectAfter && p.hearsMe
}

func (e *Engine) sound(now Time, id string) bool {
	if id == e.self.ID {
		return !e.sick
	}
	return e.touch(now, id) && !e.peers[id].sick
}

// InTouch tells whether this machine's word counts and a majority is known to have heard words of its own that are less
// than a second old. One that is not must refuse at once.
//
// The second is measured on this machine's own clock, from the sending: whatever lay in a socket while the machine stood
// still or was cut off cannot prolong it. Should its clock have stood still with it, Lost is to be called.
func (e *Engine) InTouch(now Time) bool {
	if !e.d.View.In(e.self.ID) {
		return false
	}
	n := 0
	for _, m := range e.d.View.Roster {
		if m.ID == e.self.ID || e.Contact(now, m.ID) {
			n++
		}
	}
	return n >= e.d.View.Majority()
}

// Clock is this machine's own clock, ClockOf another's as it was last heard. Heed takes a newer reading of another's clock
// that came otherwise than with a beat.
func (e *Engine) Clock(now Time) Stamp { return Stamp{e.life, now} }

func (e *Engine) ClockOf(id string) Stamp {
	if p := e.peers[id]; p != nil {
		return p.clock
	}
	return Stamp{}
}

func (e *Engine) Heed(now Time, id string, s Stamp) {
	if p := e.peers[id]; p != nil {
		e.heed(now, p, s)
	}
}

// heed takes a reading of another's clock. One that has gained on ours shows that ours stood still, with the machine: how late
// words are changes, but none is early.
func (e *Engine) heed(now Time, p *peer, s Stamp) {
	ahead := s.At - now
	drift := (now - p.aheadAt) / driftPart // what lay in a socket comes with each reading further ahead of the one before
	switch {
	case s.Life != p.clock.Life:
		p.ahead = ahead
	case ahead > p.ahead+drift+stoodFor:
		e.Lost(now)
		e.stood = true
		p.ahead = ahead
	default:
		p.ahead = min(max(ahead, p.ahead-drift), p.ahead+drift)
	}
	p.aheadAt = now
	p.clock = s
}

// Stood tells, once, that this machine was found to have stood still with its clock. Whatever comes from its sockets may be old.
func (e *Engine) Stood() bool {
	stood := e.stood
	e.stood = false
	return stood
}

// Younger tells whether a reading of this machine's own clock, which others send back, is of this life and not older than most.
func (e *Engine) Younger(now Time, s Stamp, most Time) bool {
	return s.Life == e.life && s.At <= now && now-s.At <= most
}

// Contact tells whether one other machine is known to have heard a word of this one that is less than a second old.
func (e *Engine) Contact(now Time, id string) bool {
	p := e.peers[id]
	return p != nil && p.asked > 0 && now-p.asked < contactFor
}

// Lost has all contact made anew, by a new life's clock: answers to what was said before count no more.
func (e *Engine) Lost(now Time) {
	e.life++
	e.began, e.needed = now, 0
	for _, p := range e.peers {
		p.asked = 0
	}
}

func (e *Engine) member(id string) bool { return e.d.View.In(id) || e.d.View.Learns(id) }

// Peers lists the machines heard of lately and all members of the view, this one excepted. A member is greeted however long it
// has been silent: two that both forgot each other would stay mute for ever once their link is back.
func (e *Engine) Peers(now Time) []Member {
	var all []Member
	for _, p := range e.peers {
		if now-p.heard < forgetAfter || e.member(p.ID) {
			all = append(all, p.Member)
		}
	}
	for _, m := range e.d.View.Members() {
		if e.peers[m.ID] == nil && m.ID != e.self.ID {
			all = append(all, m)
		}
	}
	for _, addr := range e.seeds {
		if addr != e.self.Addr && !slices.ContainsFunc(all, func(m Member) bool { return m.Addr == addr }) {
			all = append(all, Member{Addr: addr})
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr)) })
	return all
}

func (e *Engine) send(to Member, m Message, durable bool) {
	m.From = e.self
	e.out = append(e.out, Send{to, m, durable})
}

// Tick lets time pass: beats, suspicion, proposals.
func (e *Engine) Tick(now Time) Output {
	if e.ticked < 0 || now-e.ticked > heldUp { // frozen or starved: silence meanwhile tells nothing of the others
		e.began, e.needed = now, 0
	}
	e.ticked = now
	if now >= e.beatAt {
		e.beatAt = now + BeatEvery
		b := e.word(now)
		b.Ask = !e.InTouch(now)
		for _, m := range e.Peers(now) {
			e.send(m, b, false)
		}
	}
	for id, p := range e.peers {
		if now-p.heard > forgetAfter && !e.member(id) {
			delete(e.peers, id)
		}
	}
	if e.proposing.on && now-e.proposing.at > proposalMost {
		e.proposing.on = false
		e.waitUntil = now + Time(e.chance()*float64(proposalMost))
	}
	e.propose(now)
	return e.flush()
}

// word is a beat: that this machine lives, and whom it hears.
func (e *Engine) word(now Time) Message {
	b := Message{Kind: Beat, N: e.d.View.N, Sick: e.sick, Leaving: e.leaving, Filled: e.filledIn, Clock: e.Clock(now), Heard: map[string]Stamp{}}
	for id, p := range e.peers {
		if now-p.heard < suspectAfter {
			b.Heard[id] = p.clock
		}
	}
	return b
}

// linked tells whether a machine and each one of a chain hear each other, as far as all have told: where the link between
// two is cut, one of them must stay out, though others hear both. Passes go from neighbour to neighbour, orders to the head,
// and the tail's word to all.
func (e *Engine) linked(chain []string, id string) bool {
	hears := func(a, b string) bool {
		if a == e.self.ID {
			return true // sound by this machine's own ears
		}
		_, ok := e.peers[a].hears[b]
		return ok
	}
	return !slices.ContainsFunc(chain, func(o string) bool { return !hears(o, id) || !hears(id, o) })
}

// Filled tells whether a machine has said that it was filled in view n, on its disk: then it holds all that was acknowledged.
func (e *Engine) Filled(id string, n uint64) bool { return e.filled(id) == n }

func (e *Engine) filled(id string) uint64 {
	if p := e.peers[id]; p != nil {
		return p.filled
	}
	if id == e.self.ID {
		return e.filledIn
	}
	return 0
}

// absent is how long a machine has not been heard, or has been heard with a disk that takes no writes, as far as this one
// can tell.
func (e *Engine) absent(now Time, id string) Time {
	p := e.peers[id]
	switch {
	case p == nil:
		return now - e.began
	case p.sick && e.touch(now, id):
		return now - max(p.sickAt, e.began)
	}
	return now - max(p.heard, e.began)
}

func (e *Engine) leaves(id string) bool {
	if id == e.self.ID {
		return e.leaving
	}
	p := e.peers[id]
	return p != nil && p.leaving
}

// want is the view that should follow, if one should.
//
// Membership changes by agreement only, one voter at a time (two where a pair is dropped). A stranger is first filled as a
// learner; once a commit has shown that it was, it takes the seat of a voter that is gone, in the same step, so that the
// number of voters that may be lost does not shrink in between. A leaver stays in the chain until the others can do
// without it. An even number of voters bears no more losses than one less, so a voter that is gone is dropped from it.
func (e *Engine) want(now Time) (View, bool) {
	v := e.d.View
	if v.Place(e.self.ID) < 0 || e.sick || !e.InTouch(now) || now-e.began < suspectAfter {
		return View{}, false
	}
	settled := e.settledIn == v.N
	next := View{N: v.N + 1, Roster: slices.Clone(v.Roster)}
	for _, id := range v.Chain {
		if e.sound(now, id) && e.linked(next.Chain, id) {
			next.Chain = append(next.Chain, id)
		}
	}
	fresh := func(id string) bool { // by the view; one that was filled in it holds all that was acknowledged
		return !settled && slices.Contains(v.Fresh, id) && e.filled(id) != v.N
	}
	stay := slices.DeleteFunc(slices.Clone(next.Chain), e.leaves)
	if next.voting(slices.DeleteFunc(slices.Clone(stay), fresh)) >= next.Majority() {
		next.Chain = stay
	}
	for _, id := range next.Chain {
		if fresh(id) {
			next.Fresh = append(next.Fresh, id)
		}
	}
	if len(next.Chain) == 0 || slices.Contains(next.Fresh, next.Chain[0]) {
		return View{}, false // nobody is left who surely holds what was promised: wait for one
	}
	for _, m := range v.Learners {
		if slices.Contains(next.Chain, m.ID) {
			next.Learners = append(next.Learners, m)
		}
	}
	// Out of a view in which no commit was seen nobody is taken in, but where the chain would else be too short: should its
	// head be lost before it passes in the next one, those who came in the last would be marked as fresh once more.
	short := func() bool { return next.voting(next.Chain) < next.Majority() }
	joins := func(id string) bool {
		return e.sound(now, id) && now-e.peers[id].since >= settleFor && e.linked(next.Chain, id) && (settled && !e.leaves(id) || short())
	}
	for _, m := range v.Roster { // known, but out of the chain
		if v.Place(m.ID) < 0 && joins(m.ID) {
			next.Chain, next.Fresh = append(next.Chain, m.ID), append(next.Fresh, m.ID)
		}
	}
	gone := func(after Time) func(Member) bool { // a seat of nobody
		return func(m Member) bool {
			return !slices.Contains(next.Chain, m.ID) && !e.sound(now, m.ID) && e.absent(now, m.ID) >= after
		}
	}
	left := func(m Member) bool { return !slices.Contains(next.Chain, m.ID) && e.leaves(m.ID) }
	switch {
	case settled && len(next.Learners) > 0:
		m := next.Learners[0]
		seat := slices.IndexFunc(next.Roster, func(o Member) bool { return o.Addr == m.Addr })
		for _, free := range []func(Member) bool{left, gone(goneAfter)} {
			if seat < 0 {
				seat = slices.IndexFunc(next.Roster, free)
			}
		}
		switch {
		case seat >= 0:
			next.Roster[seat], next.Learners = m, nil
		case next.voting(next.Chain) == len(next.Roster): // nobody is missing: the core grows
			next.Roster, next.Learners = append(next.Roster, m), nil
		} // else it is waited until who is missing is back, or gone for good
	case len(v.Learners) == 0:
		for _, p := range e.strangers() {
			i := slices.IndexFunc(next.Roster, func(m Member) bool { return m.Addr == p.Addr })
			if joins(p.ID) && (i < 0 || !e.touch(now, next.Roster[i].ID)) {
				next.Learners = []Member{p.Member}
				next.Chain, next.Fresh = append(next.Chain, p.ID), append(next.Fresh, p.ID)
				break
			}
		}
	}
	if settled && len(next.Learners) == 0 && slices.EqualFunc(next.Roster, v.Roster, same) && len(next.Roster) > fewest {
		if len(next.Roster)%2 == 0 {
			seat := slices.IndexFunc(next.Roster, left)
			if seat < 0 {
				seat = slices.IndexFunc(next.Roster, gone(goneAfter))
			}
			if seat >= 0 {
				next.Roster = slices.Delete(next.Roster, seat, seat+1)
			}
		} else if rest := slices.DeleteFunc(slices.Clone(next.Roster), gone(emptyAfter)); len(rest) <= len(next.Roster)-2 && len(rest) >= fewest {
			next.Roster = rest
		}
	}
	changed := !slices.Equal(next.Chain, v.Chain) || !slices.EqualFunc(next.Roster, v.Roster, same) || !slices.EqualFunc(next.Learners, v.Learners, same)
	return next, changed && next.voting(next.Chain) >= next.Majority()
}

func same(a, b Member) bool { return a.ID == b.ID }

// voting counts the voters among some.
func (v View) voting(ids []string) (n int) {
	for _, id := range ids {
		if v.In(id) {
			n++
		}
	}
	return n
}

func (e *Engine) strangers() []*peer {
	var all []*peer
	for id, p := range e.peers {
		if !e.member(id) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (e *Engine) propose(now Time) {
	next, ok := e.want(now)
	if !ok && e.d.Value != nil && e.InTouch(now) && !e.sick {
		// An agreement was begun and its proposer has gone: it may have been decided, so nobody who knows of it vouches
		// for the present view, and no question can be answered until it is brought to an end.
		next, ok = *e.d.Value, true
	}
	if !ok {
		e.needed = 0
		return
	}
	if e.needed == 0 {
		e.needed = now
	}
	rank := slices.Index(next.Chain, e.self.ID)
	if rank < 0 {
		rank = len(next.Chain)
	}
	if e.proposing.on || now < e.waitUntil || now-e.needed < sureAfter+Time(rank)*rankWait {
		return
	}
	e.round = max(e.round, e.d.Promised.Round) + 1
	p := &e.proposing
	p.on, p.at, p.ballot, p.value, p.accept, p.best = true, now, Ballot{e.round, e.self.ID}, next, false, Ballot{}
	p.promised, p.accepted = map[string]bool{}, map[string]bool{}
	base := e.d.View
	for _, m := range base.Roster {
		e.send(m, Message{Kind: Prepare, N: next.N, Ballot: p.ballot, View: &base}, false)
	}
}

func (e *Engine) adopt(v View) {
	if v.N <= e.d.View.N {
		return
	}
	e.d = Durable{View: v}
	e.proposing.on, e.needed, e.round = false, 0, 0
	e.changed, e.adopted = true, true
}

// Receive takes in a message.
func (e *Engine) Receive(now Time, m Message) Output {
	from := m.From
	switch m.Kind {
	case Beat:
		e.beat(now, m)
	case Decided:
		if m.View != nil {
			e.adopt(*m.View)
		}
	case Prepare:
		if m.View != nil {
			e.adopt(*m.View)
		}
		switch {
		case m.N <= e.d.View.N:
			v := e.d.View
			e.send(from, Message{Kind: Decided, N: v.N, View: &v}, true)
		case m.N != e.d.View.N+1 || !e.d.View.In(e.self.ID):
		case !e.d.Promised.Less(m.Ballot):
			e.send(from, Message{Kind: Refuse, N: m.N, Ballot: m.Ballot, Held: e.d.Promised}, false)
		default:
			e.d.Promised, e.changed = m.Ballot, true
			e.send(from, Message{Kind: Promise, N: m.N, Ballot: m.Ballot, Held: e.d.Accepted, View: e.d.Value}, true)
		}
	case Accept:
		if m.View == nil || m.N != e.d.View.N+1 || m.Ballot.Less(e.d.Promised) || !e.d.View.In(e.self.ID) {
			return e.flush()
		}
		e.d.Promised, e.d.Accepted, e.d.Value, e.changed = m.Ballot, m.Ballot, m.View, true
		e.send(from, Message{Kind: Accepted, N: m.N, Ballot: m.Ballot}, true)
	case Refuse:
		if p := &e.proposing; p.on && m.Ballot == p.ballot {
			e.round = max(e.round, m.Held.Round)
			p.on, e.waitUntil = false, now+Time(e.chance()*float64(proposalMost)/2)
		}
	case Promise, Accepted:
		e.count(m)
	}
	return e.flush()
}

func (e *Engine) count(m Message) {
	p := &e.proposing
	if !p.on || m.Ballot != p.ballot || m.N != e.d.View.N+1 || !e.d.View.In(m.From.ID) {
		return
	}
	if m.Kind == Promise && !p.accept {
		p.promised[m.From.ID] = true
		if m.View != nil && p.best.Less(m.Held) {
			p.best, p.value = m.Held, *m.View
		}
		if len(p.promised) >= e.d.View.Majority() {
			p.accept = true
			value := p.value
			for _, to := range e.d.View.Roster {
				e.send(to, Message{Kind: Accept, N: m.N, Ballot: p.ballot, View: &value}, false)
			}
		}
	}
	if m.Kind == Accepted && p.accept {
		p.accepted[m.From.ID] = true
		if len(p.accepted) >= e.d.View.Majority() {
			value := p.value
			tell := map[string]Member{}
			for _, to := range append(e.d.View.Members(), value.Members()...) {
				tell[to.ID] = to
			}
			for _, id := range sorted(tell) {
				if id != e.self.ID {
					e.send(tell[id], Message{Kind: Decided, N: value.N, View: &value}, false)
				}
			}
			e.adopt(value)
		}
	}
}

func sorted(m map[string]Member) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (e *Engine) beat(now Time, m Message) {
	if m.From.ID == e.self.ID {
		return
	}
	p := e.peers[m.From.ID]
	fresh := p == nil || now-p.heard >= suspectAfter
	if p == nil {
		p = &peer{since: now}
		e.peers[m.From.ID] = p
	} else if now-p.heard >= suspectAfter {
		p.since = now
	}
	if m.Sick && !p.sick {
		p.sickAt = now
	}
	e.heed(now, p, m.Clock)
	p.Member, p.heard, p.sick, p.leaving, p.filled = m.From, now, m.Sick, m.Leaving, m.Filled
	echo, hears := m.Heard[e.self.ID]
	if hears && !p.hearsMe {
		p.since = now
	}
	p.hearsMe, p.hears = hears, m.Heard
	if hears && e.Younger(now, echo, contactFor) {
		p.asked = max(p.asked, echo.At)
	}
	if m.N < e.d.View.N { // before all else: an older view may have given it a vote that it has no more
		v := e.d.View
		e.send(m.From, Message{Kind: Decided, N: v.N, View: &v}, true)
	}
	if fresh || m.Ask { // it is told at once that it is heard: after a restart of all, nothing can begin before
		e.send(m.From, e.word(now), false)
	}
}
