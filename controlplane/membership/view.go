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
	HeartbeatInterval       = 200 * time.Millisecond // beats go to every peer this often
	suspectTimeout          = 800 * time.Millisecond // a peer silent for so long is taken for lost
	changeConfirmationDelay = 200 * time.Millisecond // a change must have been wanted for so long
	joinStabilityPeriod     = 300 * time.Millisecond // a joiner must have been in touch for so long
	proposerStagger         = 300 * time.Millisecond // each further machine in the chain waits so much longer to propose
	proposalTimeout         = 500 * time.Millisecond // a proposal without an outcome is given up
	forgetTimeout           = 20 * time.Second       // a stranger that is not in the roster is forgotten
	maxTickGap              = 400 * time.Millisecond // between two ticks: then it was we who were held up
	standstillThreshold     = 500 * time.Millisecond // that another's clock gained on ours: then ours stood still
	clockDriftDivisor       = 100                    // clocks differ by less than one part in so many
	contactLease            = time.Second            // contact by a word of ours that was answered lasts so long from its sending
	replacementTimeout      = 2 * time.Second        // a voter out of the chain for so long may give its seat to a successor
	pairRemovalTimeout      = 12 * time.Second       // two voters gone for so long are dropped without successors
	minVoters               = 3                      // voters below which none is dropped without a successor
)

// Member is a core machine.
type Member struct {
	ID      string `cbor:"1,keyasint"` // its disk's identity
	Addr    string `cbor:"2,keyasint"` // where governors call it
	Zone    string `cbor:"3,keyasint,omitempty"`
	APIAddr string `cbor:"4,keyasint,omitempty" json:"Call"` // where replicas and operators call it
}

// View is one agreed state of the core. It is not changed once made.
type View struct {
	Number uint64   `cbor:"1,keyasint" json:"N"`
	Voters []Member `cbor:"2,keyasint" json:"Roster"`
	Chain  []string `cbor:"3,keyasint"` // identities, head first

	// Fresh names those of the chain that may not hold yet what their predecessors hold. None of them may become the
	// head before a commit in this view has shown that it was filled.
	Unsynced []string `cbor:"4,keyasint,omitempty" json:"Fresh"`

	// Learners stand in the chain and are filled there; their word does not count. One at a time.
	Learners []Member `cbor:"5,keyasint,omitempty"`
}

// HasVoter tells whether an identity's word counts in the view.
func (v View) HasVoter(id string) bool {
	return slices.ContainsFunc(v.Voters, func(m Member) bool { return m.ID == id })
}

// HasLearner tells whether an identity is a learner's.
func (v View) HasLearner(id string) bool {
	return slices.ContainsFunc(v.Learners, func(m Member) bool { return m.ID == id })
}

// Members lists voters and learners.
func (v View) Members() []Member { return append(slices.Clone(v.Voters), v.Learners...) }

// Position is an identity's place in the chain, or -1.
func (v View) Position(id string) int { return slices.Index(v.Chain, id) }

// Quorum is how many of the roster must agree.
func (v View) Quorum() int { return len(v.Voters)/2 + 1 }

// Ballot orders proposals.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"`
}

// Less tells whether b comes before c.
func (b Ballot) Less(c Ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, c.Round), cmp.Compare(b.Proposer, c.Proposer)) < 0
}

// DurableState is what must be on stable storage before what rests on it is told.
type DurableState struct {
	View           View   `cbor:"1,keyasint"`
	PromisedBallot Ballot `cbor:"2,keyasint"` // of the agreement on view N+1, as the next two
	AcceptedBallot Ballot `cbor:"3,keyasint"`
	AcceptedView   *View  `cbor:"4,keyasint,omitempty"`
}

// MessageKind tells messages apart.
type MessageKind uint8

const (
	Heartbeat MessageKind = iota + 1
	Prepare
	Promise
	Reject
	Accept
	Accepted
	Decided
)

// Message is what core machines say to one another about views.
type Message struct {
	Kind          MessageKind `cbor:"1,keyasint"`
	From          Member      `cbor:"2,keyasint"`
	ViewNumber    uint64      `cbor:"3,keyasint,omitempty"` // beats: the view held; else the number agreed on
	Ballot        Ballot      `cbor:"4,keyasint,omitempty"`
	PriorBallot   Ballot      `cbor:"5,keyasint,omitempty"` // Promise: accepted before; Refuse: promised
	View          *View       `cbor:"6,keyasint,omitempty"` // Prepare: the view before; Accept, Decided: the view itself
	DiskUnhealthy bool        `cbor:"7,keyasint,omitempty"` // beats: its disk does not take writes

	Clock          ClockReading            `cbor:"8,keyasint,omitempty"`  // beats: the sender's, at sending
	Echoes         map[string]ClockReading `cbor:"9,keyasint,omitempty"`  // beats: whom the sender hears, and their clocks as it last heard
	Leaving        bool                    `cbor:"10,keyasint,omitempty"` // beats: it has been told to end
	ReplyRequested bool                    `cbor:"11,keyasint,omitempty"` // beats: it is not in touch, and wants a beat at once
	SyncedView     uint64                  `cbor:"12,keyasint,omitempty"` // beats: the last view in which it was filled, on its disk
}

// ClockReading is a reading of one life's steady clock. A machine that hears its own one back knows that whoever sent it has
// heard a word that left after that time.
type ClockReading struct {
	Incarnation uint64 `cbor:"1,keyasint"` // drawn at each start: clocks begin at nothing
	Elapsed     Time   `cbor:"2,keyasint"`
}

// Outbound is an action: a message to a peer's address. With Durable set it must wait until what is held now is on
// stable storage.
type Outbound struct {
	To        Member
	Message   Message
	AfterSave bool
}

type peer struct {
	Member
	lastHeard          Time // last beat
	connectedSince     Time // in touch without a gap since
	hearsMe            bool
	echoes             map[string]ClockReading // whom it hears
	diskUnhealthy      bool
	diskUnhealthySince Time // since
	leaving            bool
	syncedView         uint64
	clock              ClockReading // its own, as last heard
	clockLead          Time         // of ours, as far as is believed, since aheadAt: words are late, never early
	clockLeadAt        Time
	lastEchoedSend     Time // when the newest word of ours was sent that it is known to have heard; contact counts from there
}

// Node is one core machine's part. Make it with New.
type Node struct {
	self              Member
	incarnation       uint64
	state             DurableState
	random            func() float64
	peers             map[string]*peer // by identity
	diskUnhealthy     bool
	leaving           bool
	lastTick          Time
	observingSince    Time // the first tick, or the one after a standstill: before that, nobody could be heard
	nextHeartbeat     Time
	changeWantedSince Time // a change has been wanted since; 0: none is
	round             uint64
	outbound          []Outbound
	viewInstalled     bool
	stateChanged      bool
	stoodStill        bool

	proposal struct {
		on       bool
		at       Time
		ballot   Ballot
		value    View
		accept   bool
		promised map[string]bool
		accepted map[string]bool
		best     Ballot
	}
	backoffUntil  Time
	committedView uint64
	syncedView    uint64
	seeds         []string
}

// New makes an engine from what was on disk. Seeds are addresses to greet until somebody is heard there.
func New(self Member, d DurableState, seeds []string, chance func() float64) *Node {
	return &Node{self: self, incarnation: uint64(chance() * (1 << 53)), state: d, seeds: seeds, random: chance, peers: map[string]*peer{}, lastTick: -1}
}

// SetSeeds replaces the addresses to greet until somebody is heard there.
func (node *Node) SetSeeds(addrs []string) { node.seeds = addrs }

// ConfirmsLatestView tells whether this machine knows of no view after number n that may have been decided.
func (node *Node) ConfirmsLatestView(n uint64) bool {
	return node.state.View.Number == n && node.state.AcceptedView == nil && node.state.View.HasVoter(node.self.ID)
}

// KnownMember is a machine heard of, by its identity.
func (node *Node) KnownMember(id string) (Member, bool) {
	if p := node.peers[id]; p != nil {
		return p.Member, true
	}
	return Member{}, false
}

// IsReachable tells whether a machine was heard lately and hears this one.
func (node *Node) IsReachable(now Time, id string) bool { return node.isReachable(now, id) }

// Ready is what a step brings.
type Ready struct {
	Messages      []Outbound
	MustSave      bool // Durable changed
	ViewInstalled bool // another view is held now
}

func (node *Node) ready() Ready {
	o := Ready{Messages: node.outbound, MustSave: node.stateChanged, ViewInstalled: node.viewInstalled}
	node.outbound, node.stateChanged, node.viewInstalled = nil, false, false
	return o
}

// State is the present state to be kept.
func (node *Node) State() DurableState { return node.state }

// View is the newest view known to be decided.
func (node *Node) View() View { return node.state.View }

// SetDiskUnhealthy tells whether the disk takes writes.
func (node *Node) SetDiskUnhealthy(sick bool) { node.diskUnhealthy = sick }

// Leave has the others do without this machine; Leaving tells whether it was called.
func (node *Node) Leave()          { node.leaving = true }
func (node *Node) IsLeaving() bool { return node.leaving }

// HasNoSuccessor tells whether there is nobody to hand over to: every other voter that is heard has been told to end too, or
// there is no other one.
func (node *Node) HasNoSuccessor(now Time) bool {
	heard := 0
	for _, m := range node.state.View.Voters {
		if p := node.peers[m.ID]; p != nil && node.isReachable(now, m.ID) {
			if heard++; !p.leaving {
				return false
			}
		}
	}
	return heard > 0 || len(node.state.View.Voters) <= 1
}

// SetCommittedView tells the last view in which a commit was seen: by then all its chain was filled.
func (node *Node) SetCommittedView(n uint64) { node.committedView = n }

// SetSyncedView tells the last view in which this machine's predecessor filled it, or whose head it was, once that is on its disk.
func (node *Node) SetSyncedView(n uint64) { node.syncedView = n }

// Self is this machine.
func (node *Node) Self() Member { return node.self }

func (node *Node) isReachable(now Time, id string) bool {
	p := node.peers[id]
	return p != nil && now-p.lastHeard < suspectTimeout && p.hearsMe
}

func (node *Node) isHealthy(now Time, id string) bool {
	if id == node.self.ID {
		return !node.diskUnhealthy
	}
	return node.isReachable(now, id) && !node.peers[id].diskUnhealthy
}

// HasQuorumContact tells whether this machine's word counts and a majority is known to have heard words of its own that are less
// than a second old. One that is not must refuse at once.
//
// The second is measured on this machine's own clock, from the sending: whatever lay in a socket while the machine stood
// still or was cut off cannot prolong it. Should its clock have stood still with it, Lost is to be called.
func (node *Node) HasQuorumContact(now Time) bool {
	if !node.state.View.HasVoter(node.self.ID) {
		return false
	}
	n := 0
	for _, m := range node.state.View.Voters {
		if m.ID == node.self.ID || node.HasContact(now, m.ID) {
			n++
		}
	}
	return n >= node.state.View.Quorum()
}

// Clock is this machine's own clock, ClockOf another's as it was last heard. Heed takes a newer reading of another's clock
// that came otherwise than with a beat.
func (node *Node) Clock(now Time) ClockReading { return ClockReading{node.incarnation, now} }

func (node *Node) PeerClock(id string) ClockReading {
	if p := node.peers[id]; p != nil {
		return p.clock
	}
	return ClockReading{}
}

func (node *Node) ObserveClock(now Time, id string, s ClockReading) {
	if p := node.peers[id]; p != nil {
		node.observeClock(now, p, s)
	}
}

// observeClock takes a reading of another's clock. One that has gained on ours shows that ours stood still, with the machine: how late
// words are changes, but none is early.
func (node *Node) observeClock(now Time, p *peer, s ClockReading) {
	ahead := s.Elapsed - now
	drift := (now - p.clockLeadAt) / clockDriftDivisor // what lay in a socket comes with each reading further ahead of the one before
	switch {
	case s.Incarnation != p.clock.Incarnation:
		p.clockLead = ahead
	case ahead > p.clockLead+drift+standstillThreshold:
		node.ResetContact(now)
		node.stoodStill = true
		p.clockLead = ahead
	default:
		p.clockLead = min(max(ahead, p.clockLead-drift), p.clockLead+drift)
	}
	p.clockLeadAt = now
	p.clock = s
}

// TakeStandstill tells, once, that this machine was found to have stood still with its clock. Whatever comes from its sockets may be old.
func (node *Node) TakeStandstill() bool {
	stood := node.stoodStill
	node.stoodStill = false
	return stood
}

// IsRecentReading tells whether a reading of this machine's own clock, which others send back, is of this life and not older than most.
func (node *Node) IsRecentReading(now Time, s ClockReading, most Time) bool {
	return s.Incarnation == node.incarnation && s.Elapsed <= now && now-s.Elapsed <= most
}

// HasContact tells whether one other machine is known to have heard a word of this one that is less than a second old.
func (node *Node) HasContact(now Time, id string) bool {
	p := node.peers[id]
	return p != nil && p.lastEchoedSend > 0 && now-p.lastEchoedSend < contactLease
}

// ResetContact has all contact made anew, by a new life's clock: answers to what was said before count no more.
func (node *Node) ResetContact(now Time) {
	node.incarnation++
	node.observingSince, node.changeWantedSince = now, 0
	for _, p := range node.peers {
		p.lastEchoedSend = 0
	}
}

func (node *Node) isMember(id string) bool {
	return node.state.View.HasVoter(id) || node.state.View.HasLearner(id)
}

// Peers lists the machines heard of lately and all members of the view, this one excepted. A member is greeted however long it
// has been silent: two that both forgot each other would stay mute for ever once their link is back.
func (node *Node) Peers(now Time) []Member {
	var all []Member
	for _, p := range node.peers {
		if now-p.lastHeard < forgetTimeout || node.isMember(p.ID) {
			all = append(all, p.Member)
		}
	}
	for _, m := range node.state.View.Members() {
		if node.peers[m.ID] == nil && m.ID != node.self.ID {
			all = append(all, m)
		}
	}
	for _, addr := range node.seeds {
		if addr != node.self.Addr && !slices.ContainsFunc(all, func(m Member) bool { return m.Addr == addr }) {
			all = append(all, Member{Addr: addr})
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr)) })
	return all
}

func (node *Node) send(to Member, m Message, durable bool) {
	m.From = node.self
	node.outbound = append(node.outbound, Outbound{to, m, durable})
}

// Tick lets time pass: beats, suspicion, proposals.
func (node *Node) Tick(now Time) Ready {
	if node.lastTick < 0 || now-node.lastTick > maxTickGap { // frozen or starved: silence meanwhile tells nothing of the others
		node.observingSince, node.changeWantedSince = now, 0
	}
	node.lastTick = now
	if now >= node.nextHeartbeat {
		node.nextHeartbeat = now + HeartbeatInterval
		b := node.heartbeat(now)
		b.ReplyRequested = !node.HasQuorumContact(now)
		for _, m := range node.Peers(now) {
			node.send(m, b, false)
		}
	}
	for id, p := range node.peers {
		if now-p.lastHeard > forgetTimeout && !node.isMember(id) {
			delete(node.peers, id)
		}
	}
	if node.proposal.on && now-node.proposal.at > proposalTimeout {
		node.proposal.on = false
		node.backoffUntil = now + Time(node.random()*float64(proposalTimeout))
	}
	node.propose(now)
	return node.ready()
}

// heartbeat is a beat: that this machine lives, and whom it hears.
func (node *Node) heartbeat(now Time) Message {
	b := Message{Kind: Heartbeat, ViewNumber: node.state.View.Number, DiskUnhealthy: node.diskUnhealthy, Leaving: node.leaving, SyncedView: node.syncedView, Clock: node.Clock(now), Echoes: map[string]ClockReading{}}
	for id, p := range node.peers {
		if now-p.lastHeard < suspectTimeout {
			b.Echoes[id] = p.clock
		}
	}
	return b
}

// isLinkedToAll tells whether a machine and each one of a chain hear each other, as far as all have told: where the link between
// two is cut, one of them must stay out, though others hear both. Passes go from neighbour to neighbour, orders to the head,
// and the tail's word to all.
func (node *Node) isLinkedToAll(chain []string, id string) bool {
	hears := func(a, b string) bool {
		if a == node.self.ID {
			return true // sound by this machine's own ears
		}
		_, ok := node.peers[a].echoes[b]
		return ok
	}
	return !slices.ContainsFunc(chain, func(o string) bool { return !hears(o, id) || !hears(id, o) })
}

// IsSynced tells whether a machine has said that it was filled in view n, on its disk: then it holds all that was acknowledged.
func (node *Node) IsSynced(id string, n uint64) bool { return node.syncedViewOf(id) == n }

func (node *Node) syncedViewOf(id string) uint64 {
	if p := node.peers[id]; p != nil {
		return p.syncedView
	}
	if id == node.self.ID {
		return node.syncedView
	}
	return 0
}

// absentFor is how long a machine has not been heard, or has been heard with a disk that takes no writes, as far as this one
// can tell.
func (node *Node) absentFor(now Time, id string) Time {
	p := node.peers[id]
	switch {
	case p == nil:
		return now - node.observingSince
	case p.diskUnhealthy && node.isReachable(now, id):
		return now - max(p.diskUnhealthySince, node.observingSince)
	}
	return now - max(p.lastHeard, node.observingSince)
}

func (node *Node) isPeerLeaving(id string) bool {
	if id == node.self.ID {
		return node.leaving
	}
	p := node.peers[id]
	return p != nil && p.leaving
}

// nextView is the view that should follow, if one should.
//
// Membership changes by agreement only, one voter at a time (two where a pair is dropped). A stranger is first filled as a
// learner; once a commit has shown that it was, it takes the seat of a voter that is gone, in the same step, so that the
// number of voters that may be lost does not shrink in between. A leaver stays in the chain until the others can do
// without it. An even number of voters bears no more losses than one less, so a voter that is gone is dropped from it.
func (node *Node) nextView(now Time) (View, bool) {
	v := node.state.View
	if v.Position(node.self.ID) < 0 || node.diskUnhealthy || !node.HasQuorumContact(now) || now-node.observingSince < suspectTimeout {
		return View{}, false
	}
	settled := node.committedView == v.Number
	next := View{Number: v.Number + 1, Voters: slices.Clone(v.Voters)}
	for _, id := range v.Chain {
		if node.isHealthy(now, id) && node.isLinkedToAll(next.Chain, id) {
			next.Chain = append(next.Chain, id)
		}
	}
	fresh := func(id string) bool { // by the view; one that was filled in it holds all that was acknowledged
		return !settled && slices.Contains(v.Unsynced, id) && node.syncedViewOf(id) != v.Number
	}
	stay := slices.DeleteFunc(slices.Clone(next.Chain), node.isPeerLeaving)
	if next.countVoters(slices.DeleteFunc(slices.Clone(stay), fresh)) >= next.Quorum() {
		next.Chain = stay
	}
	for _, id := range next.Chain {
		if fresh(id) {
			next.Unsynced = append(next.Unsynced, id)
		}
	}
	if len(next.Chain) == 0 || slices.Contains(next.Unsynced, next.Chain[0]) {
		return View{}, false // nobody is left who surely holds what was promised: wait for one
	}
	for _, m := range v.Learners {
		if slices.Contains(next.Chain, m.ID) {
			next.Learners = append(next.Learners, m)
		}
	}
	// Out of a view in which no commit was seen nobody is taken in, but where the chain would else be too short: should its
	// head be lost before it passes in the next one, those who came in the last would be marked as fresh once more.
	short := func() bool { return next.countVoters(next.Chain) < next.Quorum() }
	joins := func(id string) bool {
		return node.isHealthy(now, id) && now-node.peers[id].connectedSince >= joinStabilityPeriod && node.isLinkedToAll(next.Chain, id) && (settled && !node.isPeerLeaving(id) || short())
	}
	for _, m := range v.Voters { // known, but out of the chain
		if v.Position(m.ID) < 0 && joins(m.ID) {
			next.Chain, next.Unsynced = append(next.Chain, m.ID), append(next.Unsynced, m.ID)
		}
	}
	gone := func(after Time) func(Member) bool { // a seat of nobody
		return func(m Member) bool {
			return !slices.Contains(next.Chain, m.ID) && !node.isHealthy(now, m.ID) && node.absentFor(now, m.ID) >= after
		}
	}
	left := func(m Member) bool { return !slices.Contains(next.Chain, m.ID) && node.isPeerLeaving(m.ID) }
	switch {
	case settled && len(next.Learners) > 0:
		m := next.Learners[0]
		seat := slices.IndexFunc(next.Voters, func(o Member) bool { return o.Addr == m.Addr })
		for _, free := range []func(Member) bool{left, gone(replacementTimeout)} {
			if seat < 0 {
				seat = slices.IndexFunc(next.Voters, free)
			}
		}
		switch {
		case seat >= 0:
			next.Voters[seat], next.Learners = m, nil
		case next.countVoters(next.Chain) == len(next.Voters): // nobody is missing: the core grows
			next.Voters, next.Learners = append(next.Voters, m), nil
		} // else it is waited until who is missing is back, or gone for good
	case len(v.Learners) == 0:
		for _, p := range node.nonMembers() {
			i := slices.IndexFunc(next.Voters, func(m Member) bool { return m.Addr == p.Addr })
			if joins(p.ID) && (i < 0 || !node.isReachable(now, next.Voters[i].ID)) {
				next.Learners = []Member{p.Member}
				next.Chain, next.Unsynced = append(next.Chain, p.ID), append(next.Unsynced, p.ID)
				break
			}
		}
	}
	if settled && len(next.Learners) == 0 && slices.EqualFunc(next.Voters, v.Voters, sameIdentity) && len(next.Voters) > minVoters {
		if len(next.Voters)%2 == 0 {
			seat := slices.IndexFunc(next.Voters, left)
			if seat < 0 {
				seat = slices.IndexFunc(next.Voters, gone(replacementTimeout))
			}
			if seat >= 0 {
				next.Voters = slices.Delete(next.Voters, seat, seat+1)
			}
		} else if rest := slices.DeleteFunc(slices.Clone(next.Voters), gone(pairRemovalTimeout)); len(rest) <= len(next.Voters)-2 && len(rest) >= minVoters {
			next.Voters = rest
		}
	}
	changed := !slices.Equal(next.Chain, v.Chain) || !slices.EqualFunc(next.Voters, v.Voters, sameIdentity) || !slices.EqualFunc(next.Learners, v.Learners, sameIdentity)
	return next, changed && next.countVoters(next.Chain) >= next.Quorum()
}

func sameIdentity(a, b Member) bool { return a.ID == b.ID }

// countVoters counts the voters among some.
func (v View) countVoters(ids []string) (n int) {
	for _, id := range ids {
		if v.HasVoter(id) {
			n++
		}
	}
	return n
}

func (node *Node) nonMembers() []*peer {
	var all []*peer
	for id, p := range node.peers {
		if !node.isMember(id) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (node *Node) propose(now Time) {
	next, ok := node.nextView(now)
	if !ok && node.state.AcceptedView != nil && node.HasQuorumContact(now) && !node.diskUnhealthy {
		// An agreement was begun and its proposer has gone: it may have been decided, so nobody who knows of it vouches
		// for the present view, and no question can be answered until it is brought to an end.
		next, ok = *node.state.AcceptedView, true
	}
	if !ok {
		node.changeWantedSince = 0
		return
	}
	if node.changeWantedSince == 0 {
		node.changeWantedSince = now
	}
	rank := slices.Index(next.Chain, node.self.ID)
	if rank < 0 {
		rank = len(next.Chain)
	}
	if node.proposal.on || now < node.backoffUntil || now-node.changeWantedSince < changeConfirmationDelay+Time(rank)*proposerStagger {
		return
	}
	node.round = max(node.round, node.state.PromisedBallot.Round) + 1
	p := &node.proposal
	p.on, p.at, p.ballot, p.value, p.accept, p.best = true, now, Ballot{node.round, node.self.ID}, next, false, Ballot{}
	p.promised, p.accepted = map[string]bool{}, map[string]bool{}
	base := node.state.View
	for _, m := range base.Voters {
		node.send(m, Message{Kind: Prepare, ViewNumber: next.Number, Ballot: p.ballot, View: &base}, false)
	}
}

func (node *Node) installView(v View) {
	if v.Number <= node.state.View.Number {
		return
	}
	node.state = DurableState{View: v}
	node.proposal.on, node.changeWantedSince, node.round = false, 0, 0
	node.stateChanged, node.viewInstalled = true, true
}

// Step takes in a message.
func (node *Node) Step(now Time, m Message) Ready {
	from := m.From
	switch m.Kind {
	case Heartbeat:
		node.handleHeartbeat(now, m)
	case Decided:
		if m.View != nil {
			node.installView(*m.View)
		}
	case Prepare:
		if m.View != nil {
			node.installView(*m.View)
		}
		switch {
		case m.ViewNumber <= node.state.View.Number:
			v := node.state.View
			node.send(from, Message{Kind: Decided, ViewNumber: v.Number, View: &v}, true)
		case m.ViewNumber != node.state.View.Number+1 || !node.state.View.HasVoter(node.self.ID):
		case !node.state.PromisedBallot.Less(m.Ballot):
			node.send(from, Message{Kind: Reject, ViewNumber: m.ViewNumber, Ballot: m.Ballot, PriorBallot: node.state.PromisedBallot}, false)
		default:
			node.state.PromisedBallot, node.stateChanged = m.Ballot, true
			node.send(from, Message{Kind: Promise, ViewNumber: m.ViewNumber, Ballot: m.Ballot, PriorBallot: node.state.AcceptedBallot, View: node.state.AcceptedView}, true)
		}
	case Accept:
		if m.View == nil || m.ViewNumber != node.state.View.Number+1 || m.Ballot.Less(node.state.PromisedBallot) || !node.state.View.HasVoter(node.self.ID) {
			return node.ready()
		}
		node.state.PromisedBallot, node.state.AcceptedBallot, node.state.AcceptedView, node.stateChanged = m.Ballot, m.Ballot, m.View, true
		node.send(from, Message{Kind: Accepted, ViewNumber: m.ViewNumber, Ballot: m.Ballot}, true)
	case Reject:
		if p := &node.proposal; p.on && m.Ballot == p.ballot {
			node.round = max(node.round, m.PriorBallot.Round)
			p.on, node.backoffUntil = false, now+Time(node.random()*float64(proposalTimeout)/2)
		}
	case Promise, Accepted:
		node.countVote(m)
	}
	return node.ready()
}

func (node *Node) countVote(m Message) {
	p := &node.proposal
	if !p.on || m.Ballot != p.ballot || m.ViewNumber != node.state.View.Number+1 || !node.state.View.HasVoter(m.From.ID) {
		return
	}
	if m.Kind == Promise && !p.accept {
		p.promised[m.From.ID] = true
		if m.View != nil && p.best.Less(m.PriorBallot) {
			p.best, p.value = m.PriorBallot, *m.View
		}
		if len(p.promised) >= node.state.View.Quorum() {
			p.accept = true
			value := p.value
			for _, to := range node.state.View.Voters {
				node.send(to, Message{Kind: Accept, ViewNumber: m.ViewNumber, Ballot: p.ballot, View: &value}, false)
			}
		}
	}
	if m.Kind == Accepted && p.accept {
		p.accepted[m.From.ID] = true
		if len(p.accepted) >= node.state.View.Quorum() {
			value := p.value
			tell := map[string]Member{}
			for _, to := range append(node.state.View.Members(), value.Members()...) {
				tell[to.ID] = to
			}
			for _, id := range sortedIDs(tell) {
				if id != node.self.ID {
					node.send(tell[id], Message{Kind: Decided, ViewNumber: value.Number, View: &value}, false)
				}
			}
			node.installView(value)
		}
	}
}

func sortedIDs(m map[string]Member) []string {
	var ids []string
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (node *Node) handleHeartbeat(now Time, m Message) {
	if m.From.ID == node.self.ID {
		return
	}
	p := node.peers[m.From.ID]
	fresh := p == nil || now-p.lastHeard >= suspectTimeout
	if p == nil {
		p = &peer{connectedSince: now}
		node.peers[m.From.ID] = p
	} else if now-p.lastHeard >= suspectTimeout {
		p.connectedSince = now
	}
	if m.DiskUnhealthy && !p.diskUnhealthy {
		p.diskUnhealthySince = now
	}
	node.observeClock(now, p, m.Clock)
	p.Member, p.lastHeard, p.diskUnhealthy, p.leaving, p.syncedView = m.From, now, m.DiskUnhealthy, m.Leaving, m.SyncedView
	echo, hears := m.Echoes[node.self.ID]
	if hears && !p.hearsMe {
		p.connectedSince = now
	}
	p.hearsMe, p.echoes = hears, m.Echoes
	if hears && node.IsRecentReading(now, echo, contactLease) {
		p.lastEchoedSend = max(p.lastEchoedSend, echo.Elapsed)
	}
	if m.ViewNumber < node.state.View.Number { // before all else: an older view may have given it a vote that it has no more
		v := node.state.View
		node.send(m.From, Message{Kind: Decided, ViewNumber: v.Number, View: &v}, true)
	}
	if fresh || m.ReplyRequested { // it is told at once that it is heard: after a restart of all, nothing can begin before
		node.send(m.From, node.heartbeat(now), false)
	}
}
