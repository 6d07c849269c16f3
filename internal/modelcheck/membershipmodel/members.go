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
	LeaverExitsAtOnce      Fault = iota + 100 // who leaves ends at once
	JoinBeforeCommit                          // one is taken into the chain out of a view that hasn't settled, also where it isn't needed
	LeaverDroppedEarly                        // who leaves is dropped from the chain while too few others in it are filled
	LeaverTrustsTail                          // who leaves ends at the word of the tail, and hears nobody else after it
	LeaverIgnoresNewerView                    // who leaves counts the word of those who know of a later view
	LeaverExitsAsVoter                        // who leaves ends while it is a voter beyond those that are needed
	LeaverNotReadmitted                       // who leaves isn't taken back into the chain, also where it is needed
	UnsyncedReplacement                       // a stranger has a voter's seat at once, while it is empty
	UnsyncedAddition                          // a stranger is added to the voters at once, while it is empty
	LeaseRead                                 // a reading trusts in contact, and asks nobody
	CommandAppliedTwice                       // an order's identity isn't remembered
	ReturningMemberLeads                      // a member that comes back with its disk has its old place at the head
	ConflictAcknowledged                      // an order below the version held is acknowledged, whatever its body
	ConflictReportedEarly                     // a conflict is told before what it conflicts with is committed
)

// Scope limits what happens around a core of Members machines, half of which less one may be lost.
type Scope struct {
	Members             int
	Newcomers           int // machines started at new addresses
	Losses              int // machines lost for good
	Wipes               int // disks lost; the machine comes back under another identity
	Kills               int // disk kept; may be started again
	Suspicions          int // suspected while they run
	Leaves              int
	Returns             int // of those that had left, with their disk
	Commands            int // different ones: the first two are for one version, the third for none
	Submissions         int // orders and repeats that reach a head
	Reads               int
	Views               int       // agreed after the first
	SupersededProposals int       // values that a proposer may put in the place of another, for each number
	MaxStates           int       // exploring ends after so many; 0: never
	Deadline            time.Time // or then; zero: never
	StartsUnsynced      bool      // begins in a view whose members but the head are marked as fresh, just filled, which they have yet to hear
	SkipsLiveness       bool      // doesn't try whether the core would come to rest
	ExceedsTolerance    bool      // blips and kills beyond what may be lost; no promise but safety and coming to rest
}

// String names what may happen.
func (s Scope) String() string {
	out := fmt.Sprintf("%d members", s.Members)
	for _, x := range []struct {
		n    int
		what string
	}{{s.Newcomers, "new"}, {s.Losses, "gone"}, {s.Wipes, "wiped"}, {s.Kills, "killed"}, {s.Suspicions, "suspected"}, {s.Leaves, "leaving"}, {s.Returns, "returning"},
		{s.Submissions, "orders entered"}, {s.Reads, "readings"}, {s.Views, "views"}, {s.SupersededProposals, "values given up"}} {
		if x.n > 0 {
			out += fmt.Sprintf(", %d %s", x.n, x.what)
		}
	}
	if s.ExceedsTolerance {
		out += ", beyond what may be lost"
	}
	if s.StartsUnsynced {
		out += ", all but the head marked as fresh"
	}
	return out
}

const (
	maxIdentities      = 8
	maxViews           = 8
	maxRegisterLength  = 3
	maxPendingCommands = 4
)

const ( // what a machine has accepted
	acceptedNothing uint8 = iota
	acceptedSuperseded
	acceptedLive
)

const ( // of a machine
	notStarted uint8 = iota
	running
	stopped // its disk is kept
	lost
)

type (
	register      [maxRegisterLength]uint8 // of each order taken: 1 + its number + 4 times the view that it entered in
	idSet         uint8
	configuration struct {
		voters, unsynced idSet
		chain            [maxIdentities]uint8 // 1 + identity; 0: none
	}
	machine struct {
		status           uint8
		address          uint8
		leaving          bool
		suspected        bool
		caughtUp         bool // has caught up since its last trouble
		hadFault         bool // and it has had one
		votedOut         bool // gone, and no voter in a settled view
		isReplacement    bool // began when one was away
		departed         bool // left or gone: it counts as lost until a successor has caught up
		view, syncedView uint8
		commitsSeen      uint8 // 1 + how many orders it knows to be committed in its view; 0: none was seen
		accepted         uint8 // of the agreement on view+1: a value that was given up, or the live one
		confirmedBy      idSet // who told this one, which leaves, that it saw a commit in its view
		held             register
	}
	pendingCommand struct { // an order, at whoever has sent it on
		command, view, sequence uint8
		conflict                bool
	}
	readRequest struct {
		active                         bool
		member, view                   uint8
		heldLength, acknowledgedLength uint8 // held here; acknowledged by then
		confirmedBy                    idSet
	}
	world struct {
		machines              [maxIdentities]machine
		started               uint8
		newestView            uint8
		views                 [maxViews + 1]configuration
		proposal              configuration // the one value that may be decided next
		superseded            uint8
		committed             register
		committedView         uint8
		pending               [maxPendingCommands]pendingCommand
		acknowledged, refused uint8 // bits of orders
		submissions           [3]uint8
		read                  readRequest

		newcomers, losses, wipes, kills, suspicions, leaves, returns, reads uint8
	}
)

func (s idSet) has(i int) bool { return s&(1<<i) != 0 }
func (s idSet) count() int     { return bits.OnesCount8(uint8(s)) }

func (r register) length() (n int) {
	for n < maxRegisterLength && r[n] != 0 {
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

func commandOf(entry uint8) int { return int(entry-1) & 3 }

func (c *configuration) length() (n int) {
	for n < maxIdentities && c.chain[n] != 0 {
		n++
	}
	return n
}

func (c *configuration) position(i int) int { return slices.Index(c.chain[:], uint8(i+1)) }

func (c *configuration) members() (s idSet) {
	for _, x := range c.chain {
		if x != 0 {
			s |= 1 << (x - 1)
		}
	}
	return s
}

func (c *configuration) quorum() int { return c.voters.count()/2 + 1 }

func (c configuration) String() string {
	s := "chain"
	for _, x := range c.chain[:c.length()] {
		s += fmt.Sprintf(" %d", x-1)
		if c.unsynced.has(int(x - 1)) {
			s += "(fresh)"
		}
	}
	s += ", voters"
	for i := range maxIdentities {
		if c.voters.has(i) {
			s += fmt.Sprintf(" %d", i)
		}
	}
	return s
}

type reconfigurationModel struct {
	scope      Scope
	tolerance  int
	fault      Fault
	emit       func(y *world, what string, a, b, d int)
	quiescing  map[uint64]struct{} // from there the core comes to rest
	path       []uint64
	violation  string
	candidates []configuration // scratch
}

func (model *reconfigurationModel) initialWorld() *world {
	old := register{1 + 3 + 4*1} // acknowledged before
	w := &world{started: uint8(model.scope.Members), newestView: 1, committed: old, committedView: 1}
	v := &w.views[1]
	for i := range model.scope.Members {
		v.voters |= 1 << i
		v.chain[i] = uint8(i + 1)
		w.machines[i] = machine{status: running, address: uint8(i), caughtUp: true, view: 1, syncedView: 1, held: old}
		if model.scope.StartsUnsynced && i > 0 {
			v.unsynced |= 1 << i
		}
	}
	return w
}

// countLost counts machines as the promise does: one that had trouble until it has caught up, a new one too; one that is gone,
// or was let go, until a new one has caught up in its stead (and, if it is gone, until it is no voter). Caught up is a voter in whose chain a commit was seen and no
// agreement is under way.
func (model *reconfigurationModel) countLost(w *world) int {
	missing, seated, away, spareOK, spareNot := 0, 0, 0, 0, 0
	for i := range int(w.started) {
		m := &w.machines[i]
		switch {
		case m.status == lost && !m.departed: // another identity has its address
		case int(m.address) < model.scope.Members && m.departed && slices.ContainsFunc(w.machines[:w.started], func(x machine) bool { return x.address == m.address && x.status == lost && !x.votedOut }):
			seated++
		case int(m.address) < model.scope.Members && m.departed:
			away++
		case int(m.address) < model.scope.Members && !m.caughtUp:
			missing++
		case int(m.address) < model.scope.Members:
		case m.caughtUp && !m.departed:
			spareOK++
		case m.hadFault && m.isReplacement:
			spareNot++
		case m.hadFault:
			missing++
		}
	}
	bare := seated + max(away-spareOK, 0)
	return missing + bare + max(spareNot-bare, 0)
}

// normalize does what is no choice: commits where the tail holds a register, answers, who has caught up, who may go.
func (model *reconfigurationModel) normalize(w *world) {
	low := w.newestView
	for i := range int(w.started) {
		m := &w.machines[i]
		v := &w.views[m.view]
		if m.status == running && m.view > 0 && m.syncedView == m.view && v.length() > 0 && v.position(i) == v.length()-1 {
			model.commit(w, m.view, m.held)
		}
		if m.status != lost && m.view > 0 {
			low = min(low, m.view)
		}
	}
	v := &w.views[w.newestView]
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status == running && !m.suspected && w.committedView == w.newestView && w.proposal.voters == 0 && v.voters.has(i) && v.position(i) >= 0 {
			m.caughtUp, m.hadFault, m.departed = true, false, false
		}
		if m.status == running && m.leaving && w.committedView == w.newestView {
			var run idSet
			for j := range int(w.started) {
				if x := &w.machines[j]; x.status == running && x.syncedView == w.committedView {
					run |= 1 << j
				}
			}
			m.departed = m.departed || model.mayLeave(w, w.committedView, i, run)
		}
		if m.status == lost && m.view < low {
			*m = machine{status: lost, address: m.address, departed: m.departed, hadFault: m.hadFault, isReplacement: m.isReplacement, votedOut: m.votedOut}
		}
		if m.status == lost && w.committedView == w.newestView && !v.voters.has(i) {
			m.votedOut = true
		}
	}
	for n := uint8(0); n < low; n++ {
		w.views[n] = configuration{}
	}
	k := 0
	for _, p := range w.pending {
		if p.view >= low && p.view > 0 {
			w.pending[k] = p
			k++
		}
	}
	clear(w.pending[k:])
	slices.SortFunc(w.pending[:k], func(a, b pendingCommand) int {
		return int(a.view)*64 + int(a.command)*16 + int(a.sequence) - int(b.view)*64 - int(b.command)*16 - int(b.sequence)
	})
}

func (model *reconfigurationModel) commit(w *world, n uint8, r register) {
	old := w.committed
	switch {
	case old.holds(r) && (n <= w.committedView || r == old):
	case !r.holds(old):
		model.violation = fmt.Sprintf("acknowledged were %v; the tail of view %d acknowledges %v", old, n, r)
	default:
		w.committed = r
		var seen uint8
		for _, x := range r[:r.length()] {
			if bit := uint8(1) << commandOf(x); seen&bit != 0 {
				model.violation = fmt.Sprintf("order %d is applied twice: %v", commandOf(x)+1, r)
			} else {
				seen |= bit
			}
		}
	}
	w.committedView = max(w.committedView, n)
	for i := range w.pending {
		p := &w.pending[i]
		if p.view != n || int(p.sequence) > r.length() {
			continue
		}
		model.answerCommand(w, *p)
		*p = pendingCommand{}
	}
}

func (model *reconfigurationModel) answerCommand(w *world, p pendingCommand) {
	bit := uint8(1) << p.command
	if !p.conflict {
		w.acknowledged |= bit
	} else {
		w.refused |= bit
	}
	applied := func(o int) bool {
		return slices.ContainsFunc(w.committed[:w.committed.length()], func(x uint8) bool { return commandOf(x) == o })
	}
	switch {
	case w.acknowledged&w.refused != 0 || p.conflict && applied(int(p.command)):
		model.violation = fmt.Sprintf("order %d was taken, and refused", p.command+1)
	case p.conflict && !applied(1-int(p.command)):
		model.violation = fmt.Sprintf("order %d is refused for one that isn't committed", p.command+1)
	case !p.conflict && !applied(int(p.command)):
		model.violation = fmt.Sprintf("order %d is acknowledged and not in force; confirmed under one number: %02b", p.command+1, w.acknowledged&3)
	}
}

// mayLeave tells whether a machine may end that knows of some members that they saw a commit in a view.
func (model *reconfigurationModel) mayLeave(w *world, n uint8, i int, saw idSet) bool {
	v := &w.views[n]
	if v.position(i) >= 0 || (v.members()&v.voters&saw).count() < model.tolerance+1 {
		return false
	}
	if v.voters.count() <= 2*model.tolerance+1 && v.members()&^v.voters == 0 || model.fault == LeaverExitsAsVoter {
		return true
	}
	for j := range int(w.started) {
		if w.machines[j].address == w.machines[i].address && v.voters.has(j) {
			return false // it, or what it was before it lost its disk
		}
	}
	return true
}

func (model *reconfigurationModel) violatedInvariant(w *world) string {
	if model.violation != "" {
		return model.violation
	}
	v := &w.views[w.newestView]
	if !model.scope.ExceedsTolerance {
		alive, holder := 0, false
		for i := range int(w.started) {
			m := &w.machines[i]
			if m.status != running {
				continue
			}
			if v.voters.has(i) {
				alive++
			}
			if v.position(i) >= 0 && (!v.unsynced.has(i) || m.syncedView == w.newestView) && m.held.holds(w.committed) {
				holder = true
			}
		}
		if alive < v.quorum() {
			return fmt.Sprintf("of the voters of view %d (%v) only %d run; counted as lost: %d", w.newestView, v, alive, model.countLost(w))
		}
		if !holder {
			return fmt.Sprintf("nobody who runs and is filled in view %d (%v) holds what was acknowledged; counted as lost: %d", w.newestView, v, model.countLost(w))
		}
	}
	if !model.scope.SkipsLiveness {
		return model.violatedLiveness(w)
	}
	return ""
}

func (model *reconfigurationModel) emitNormalized(y *world, what string, a, b, d int) {
	model.normalize(y)
	model.emit(y, what, a, b, d)
}

func (model *reconfigurationModel) installView(w *world, i int, n uint8) {
	m := &w.machines[i]
	m.view, m.commitsSeen, m.accepted, m.confirmedBy = n, 0, acceptedNothing, 0
	if w.views[n].position(i) == 0 {
		m.syncedView = n
	}
	if w.read.active && int(w.read.member) == i {
		w.read = readRequest{} // answered with 503
	}
}

// expand tries everything that can happen.
func (model *reconfigurationModel) expand(w *world) {
	model.expandEnvironment(w)
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status != running {
			continue
		}
		for n := m.view + 1; n <= w.newestView; n++ {
			// Who has no place in a view loses by learning it only what it may still do in an older one; a voter learns it by
			// voting, and must know it to vouch for it.
			if v := &w.views[n]; v.position(i) < 0 && !(m.leaving && v.voters != 0) && !(model.scope.Reads > 0 && v.voters.has(i)) {
				continue
			}
			y := *w
			model.installView(&y, i, n)
			model.emitNormalized(&y, "%d learns view %d", i, int(n), 0)
		}
		model.expandReplication(w, i)
		model.expandProposals(w, i)
		model.expandVotes(w, i)
		model.expandReads(w, i)
		if !m.leaving {
			continue
		}
		for j := range int(w.started) {
			if x := &w.machines[j]; j != i && m.view > 0 && x.status == running && x.view == m.view && x.commitsSeen > 0 && (x.accepted == acceptedNothing || model.fault == LeaverIgnoresNewerView) && !m.confirmedBy.has(j) && w.views[m.view].position(j) >= 0 && w.views[m.view].voters.has(j) {
				y := *w
				y.machines[i].confirmedBy |= 1 << j
				model.emitNormalized(&y, "%d tells %d that view %d is settled, and that it knows of no later one", j, i, int(m.view))
			}
		}
		told := m.confirmedBy
		if model.fault == LeaverTrustsTail && m.commitsSeen > 0 {
			told = w.views[m.view].members()
		}
		if model.fault == LeaverExitsAtOnce || m.view > 0 && (m.accepted == acceptedNothing || model.fault == LeaverIgnoresNewerView) && model.mayLeave(w, m.view, i, told) {
			y := *w
			z := &y.machines[i]
			z.status, z.commitsSeen, z.confirmedBy, z.suspected = stopped, 0, 0, false
			if y.read.active && int(y.read.member) == i {
				y.read = readRequest{}
			}
			model.emitNormalized(&y, "%d has left", i, 0, 0)
		}
	}
}

// expandEnvironment is what happens to machines.
func (model *reconfigurationModel) expandEnvironment(w *world) {
	try := func(y *world, what string, a, b int) {
		model.normalize(y)
		if model.scope.ExceedsTolerance || model.countLost(y) <= model.tolerance {
			model.emit(y, what, a, b, 0)
		}
	}
	stop := func(y *world, i int, status uint8) *machine {
		z := &y.machines[i]
		z.status, z.caughtUp, z.hadFault, z.commitsSeen, z.confirmedBy, z.suspected = status, false, true, 0, 0, false
		if y.read.active && int(y.read.member) == i {
			y.read = readRequest{}
		}
		return z
	}
	if int(w.newcomers) < model.scope.Newcomers && w.started < maxIdentities {
		y := *w
		away := slices.ContainsFunc(w.machines[:model.scope.Members], func(m machine) bool { return m.departed })
		y.machines[y.started] = machine{status: running, address: uint8(model.scope.Members) + y.newcomers, isReplacement: away}
		y.started++
		y.newcomers++
		model.emitNormalized(&y, "%d starts at a new address", int(w.started), 0, 0)
	}
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status == stopped {
			y := *w
			z := &y.machines[i]
			if m.leaving {
				if int(y.returns) >= model.scope.Returns {
					continue
				}
				y.returns++
				z.leaving, z.caughtUp = false, false // its successor, if it has one, stands for it until it is taken in again
			}
			z.status = running
			model.emitNormalized(&y, "%d starts again with its disk", i, 0, 0)
			continue
		}
		if m.status != running {
			continue
		}
		if int(w.losses) < model.scope.Losses {
			y := *w
			y.losses++
			stop(&y, i, lost).departed = true
			try(&y, "%d is lost for good", i, 0)
		}
		if int(w.wipes) < model.scope.Wipes && w.started < maxIdentities && !m.leaving {
			y := *w
			y.wipes++
			stop(&y, i, lost)
			y.machines[y.started] = machine{status: running, address: m.address, hadFault: true, isReplacement: m.isReplacement}
			y.started++
			try(&y, "%d loses its disk and comes back as %d", i, int(w.started))
		}
		if int(w.kills) < model.scope.Kills && !m.leaving {
			y := *w
			y.kills++
			stop(&y, i, stopped)
			try(&y, "%d is killed", i, 0)
		}
		if m.suspected {
			y := *w
			y.machines[i].suspected = false
			model.emitNormalized(&y, "%d is heard again", i, 0, 0)
		} else if int(w.suspicions) < model.scope.Suspicions {
			y := *w
			y.suspicions++
			y.machines[i].suspected, y.machines[i].caughtUp, y.machines[i].hadFault = true, false, true
			try(&y, "%d isn't heard", i, 0)
		}
		if int(w.leaves) < model.scope.Leaves && !m.leaving && int(m.address) < model.scope.Members {
			y := *w
			y.leaves++
			y.machines[i].leaving = true
			model.emitNormalized(&y, "%d is told to leave", i, 0, 0)
		}
	}
}

// expandReplication is the chain's part.
func (model *reconfigurationModel) expandReplication(w *world, i int) {
	m := &w.machines[i]
	if m.view == 0 {
		return
	}
	v := &w.views[m.view]
	p := v.position(i)
	if p == 0 {
		total := 0
		for _, n := range w.submissions {
			total += int(n)
		}
		for o := 0; o < model.scope.Commands && total < model.scope.Submissions; o++ {
			if w.submissions[o] < 2 {
				model.submit(w, i, o)
			}
		}
	}
	if p > 0 { // a pass may be on its way though its sender has ended
		from := &w.machines[v.chain[p-1]-1]
		if from.view == m.view && from.syncedView == m.view && (m.syncedView != m.view || from.held.length() > m.held.length()) {
			y := *w
			y.machines[i].held, y.machines[i].syncedView = from.held, m.view
			model.emitNormalized(&y, "%d takes the pass of view %d from %d", i, int(m.view), int(v.chain[p-1]-1))
		}
	}
	if p < 0 && !m.leaving {
		return
	}
	// What the tail holds was told.
	if tail := &w.machines[v.chain[v.length()-1]-1]; tail.view == m.view && tail.syncedView == m.view && int(m.commitsSeen) < 1+tail.held.length() {
		y := *w
		y.machines[i].commitsSeen = uint8(1 + tail.held.length())
		model.emitNormalized(&y, "%d hears that in view %d the tail has %d orders", i, int(m.view), tail.held.length())
	}
}

func (model *reconfigurationModel) submit(w *world, i, o int) {
	y := *w
	z := &y.machines[i]
	y.submissions[o]++
	n := z.held.length()
	has := func(o int) bool {
		return slices.ContainsFunc(z.held[:n], func(x uint8) bool { return commandOf(x) == o })
	}
	p := pendingCommand{command: uint8(o), view: z.view}
	switch {
	case has(o) && model.fault != CommandAppliedTwice:
	case o < 2 && has(1-o):
		p.conflict = model.fault != ConflictAcknowledged
	case n < maxRegisterLength:
		z.held[n] = uint8(1 + o + 4*int(z.view))
	default:
		return
	}
	p.sequence = uint8(z.held.length())
	if p.conflict && model.fault == ConflictReportedEarly {
		p.sequence = 0
		model.answerCommand(&y, p)
	} else {
		k := slices.IndexFunc(y.pending[:], func(x pendingCommand) bool { return x.view == 0 })
		if k < 0 {
			return
		}
		y.pending[k] = p
	}
	model.emitNormalized(&y, "order %d enters at %d in view %d", o+1, i, int(z.view))
}

func (model *reconfigurationModel) expandReads(w *world, i int) {
	m := &w.machines[i]
	if m.view == 0 {
		return
	}
	v := &w.views[m.view]
	if !w.read.active && int(w.reads) < model.scope.Reads && v.position(i) >= 0 {
		y := *w
		y.reads++
		y.read = readRequest{active: true, member: uint8(i), view: m.view, heldLength: uint8(m.held.length()), acknowledgedLength: uint8(w.committed.length())}
		model.emitNormalized(&y, "%d is asked in view %d", i, int(m.view), 0)
	}
	r := &w.read
	if !r.active {
		return
	}
	if m.view == r.view && w.views[r.view].voters.has(i) && !r.confirmedBy.has(i) && m.accepted == acceptedNothing {
		y := *w
		y.read.confirmedBy |= 1 << i
		model.emitNormalized(&y, "%d knows of no later view than %d", i, int(r.view), 0)
	}
	if int(r.member) == i && m.view == r.view && m.commitsSeen > r.heldLength && (r.confirmedBy.count() >= v.quorum() || model.fault == LeaseRead) {
		y := *w
		y.read = readRequest{}
		if m.commitsSeen-1 < r.acknowledgedLength {
			model.violation = fmt.Sprintf("%d answers with %d orders, %d were acknowledged before it was asked", i, m.commitsSeen-1, r.acknowledgedLength)
		}
		model.emitNormalized(&y, "%d answers", i, 0, 0)
	}
}

// expandProposals puts a value in the place of the live one, where a majority can promise that it has not accepted that.
func (model *reconfigurationModel) expandProposals(w *world, i int) {
	m := &w.machines[i]
	v := &w.views[w.newestView]
	if m.view != w.newestView || v.position(i) < 0 || int(w.newestView) > model.scope.Views || w.proposal.voters != 0 && int(w.superseded) >= model.scope.SupersededProposals {
		return
	}
	can := 0
	for j := range int(w.started) {
		if x := &w.machines[j]; v.voters.has(j) && x.status == running && (x.view < w.newestView || x.accepted != acceptedLive) {
			can++
		}
	}
	if can < v.quorum() {
		return
	}
	for _, next := range slices.Clone(model.candidateViews(w, i)) {
		if next == w.proposal {
			continue
		}
		y := *w
		if y.proposal.voters != 0 {
			y.superseded++
		}
		model.replaceProposal(&y, next)
		model.emitNormalized(&y, "%d proposes view %d", i, int(w.newestView)+1, 0)
	}
}

func (model *reconfigurationModel) replaceProposal(w *world, next configuration) {
	w.proposal = next
	for j := range w.machines {
		if x := &w.machines[j]; x.view == w.newestView && x.accepted == acceptedLive {
			x.accepted = acceptedSuperseded
		}
	}
}

// candidateViews lists the views that a member may want after its own. What it hears of others is modelled by their trouble.
func (model *reconfigurationModel) candidateViews(w *world, self int) []configuration {
	v := &w.views[w.newestView]
	settled := w.machines[self].commitsSeen > 0
	well := func(j int) bool {
		return w.machines[j].status == running && !w.machines[j].suspected && !w.machines[j].leaving
	}
	var bad idSet // in the chain
	for _, x := range v.chain[:v.length()] {
		if j := int(x - 1); !well(j) && (j != self || w.machines[j].leaving) {
			bad |= 1 << j
		}
	}
	model.candidates = model.candidates[:0]
	try := func(drop idSet, join int) {
		next := configuration{voters: v.voters}
		k := 0
		for _, x := range v.chain[:v.length()] {
			if join >= 0 && w.machines[join].address == w.machines[x-1].address {
				continue // the machine has come back under another identity
			}
			if !drop.has(int(x - 1)) {
				next.chain[k] = x
				k++
			}
		}
		if !settled {
			next.unsynced = v.unsynced & next.members()
		}
		if join >= 0 {
			if model.fault == ReturningMemberLeads && v.voters.has(join) {
				copy(next.chain[1:], next.chain[:k])
				next.chain[0] = uint8(join + 1)
			} else {
				next.chain[k] = uint8(join + 1)
				if model.fault != UnsyncedHead {
					next.unsynced |= 1 << join
				}
			}
			k++
		}
		if k == 0 || next.unsynced.has(int(next.chain[0]-1)) {
			return
		}
		in := next.members()
		if model.fault != LeaverDroppedEarly {
			for j := range int(w.started) {
				if m := &w.machines[j]; drop.has(j) && m.leaving && m.status == running && !m.suspected && (in&v.voters&^next.unsynced).count() < model.tolerance+1 {
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
				model.candidates = append(model.candidates, x)
			}
		}
		take(v.voters)
		atOnce := (model.fault == UnsyncedReplacement || model.fault == UnsyncedAddition) && join >= 0 && !v.voters.has(join)
		if !settled && !atOnce {
			return
		}
		var absent idSet // for long, or leaving
		for j := range int(w.started) {
			if v.voters.has(j) && !in.has(j) && !well(j) && (v.position(j) < 0 || w.machines[j].leaving || atOnce) {
				absent |= 1 << j
			}
		}
		for l := range int(w.started) {
			if v.voters.has(l) || !in.has(l) || l == join && !atOnce || w.machines[l].leaving || l != join && !settled {
				continue
			}
			same := idSet(0)
			for j := range int(w.started) {
				if absent.has(j) && w.machines[j].address == w.machines[l].address {
					same |= 1 << j
				}
			}
			if same == 0 {
				same = absent
			}
			for j := range int(w.started) {
				if same.has(j) {
					take(v.voters&^(1<<j) | 1<<l)
				}
			}
			if v.voters&^in == 0 && !atOnce || atOnce && model.fault == UnsyncedAddition {
				take(v.voters | 1<<l)
			}
		}
		if !settled {
			return
		}
		for j := range int(w.started) {
			if absent.has(j) && v.voters.count()-1 >= 2*model.tolerance+1 {
				take(v.voters &^ (1 << j))
			}
		}
		if stay := in & v.voters; stay.count() == v.quorum() && stay.count() >= 3 && v.voters&^stay == absent {
			take(stay)
		}
	}
	for join := -1; join < int(w.started); join++ {
		if join >= 0 {
			j := &w.machines[join]
			if v.position(join) >= 0 || j.status != running || j.suspected || j.leaving && (model.fault == LeaverNotReadmitted || !v.voters.has(join) || !model.needsLeavers(w, v)) {
				continue
			}
			if !settled && model.fault != JoinBeforeCommit && (!v.voters.has(join) || model.countReachableVoters(w, v) >= v.quorum()) {
				continue
			}
		}
		try(0, join)
		if bad.count() > 1 {
			try(bad, join)
		}
		for j := range int(w.started) {
			if bad.has(j) {
				try(1<<j, join)
			}
		}
	}
	return model.candidates
}

// countReachableVoters counts the voters in the chain that seem well.
func (model *reconfigurationModel) countReachableVoters(w *world, v *configuration) (n int) {
	for j := range int(w.started) {
		if m := &w.machines[j]; v.voters.has(j) && v.position(j) >= 0 && m.status == running && !m.suspected {
			n++
		}
	}
	return n
}

// needsLeavers tells whether too few voters would be in the chain without those that leave.
func (model *reconfigurationModel) needsLeavers(w *world, v *configuration) bool {
	n := 0
	for j := range int(w.started) {
		if m := &w.machines[j]; v.voters.has(j) && m.status == running && !m.suspected && !m.leaving {
			n++
		}
	}
	return n < v.quorum()
}

// expandVotes has a voter accept the live value; the last of a majority decides it.
func (model *reconfigurationModel) expandVotes(w *world, i int) {
	v := &w.views[w.newestView]
	m := &w.machines[i]
	if w.proposal.voters == 0 || !v.voters.has(i) || m.view == w.newestView && m.accepted == acceptedLive {
		return
	}
	y := *w
	if m.view < w.newestView {
		model.installView(&y, i, w.newestView)
	}
	y.machines[i].accepted = acceptedLive
	model.decide(&y)
	model.emitNormalized(&y, "%d accepts view %d", i, int(w.newestView)+1, 0)
}

func (model *reconfigurationModel) decide(w *world) bool {
	v := &w.views[w.newestView]
	n := 0
	for j := range int(w.started) {
		if x := &w.machines[j]; v.voters.has(j) && x.view == w.newestView && x.accepted == acceptedLive {
			n++
		}
	}
	if n < v.quorum() {
		return false
	}
	w.newestView++
	w.views[w.newestView], w.proposal, w.superseded = w.proposal, configuration{}, 0
	return true
}

var fingerprintSeed = maphash.MakeSeed()

// violatedLiveness tries whether the core comes to rest when nothing more befalls it: a settled view that has all who run and stay,
// as voters, no voter too many who doesn't, and nobody waiting to leave who needn't.
func (model *reconfigurationModel) violatedLiveness(w *world) string {
	y := *w
	model.path = model.path[:0]
	for {
		model.rebase(&y)
		k := maphash.Comparable(fingerprintSeed, y)
		if _, ok := model.quiescing[k]; ok {
			break
		}
		if slices.Contains(model.path, k) {
			if why := model.notAtRest(&y); why != "" {
				model.violation = ""
				return "left alone, the core doesn't come to rest: " + why
			}
			break
		}
		model.path = append(model.path, k)
		model.quiesce(&y)
		if model.violation != "" {
			return "left alone: " + model.violation
		}
	}
	for _, k := range model.path {
		model.quiescing[k] = struct{}{}
	}
	return ""
}

// rebase drops what no longer matters once nothing more befalls the core.
func (model *reconfigurationModel) rebase(w *world) {
	if model.scope.ExceedsTolerance { // all come back
		for i := range w.machines {
			if w.machines[i].status == stopped && !w.machines[i].leaving {
				w.machines[i].status = running
			}
		}
	}
	for i := range w.machines {
		w.machines[i].suspected = false
	}
	known, voters := false, 0
	for i := range w.machines {
		m := &w.machines[i]
		known = known || m.status == running && m.view == w.newestView
		if m.status == running && w.newestView > 1 && w.views[w.newestView-1].voters.has(i) {
			voters++
		}
	}
	if known || voters >= w.views[w.newestView-1].quorum() && w.views[w.newestView-1].voters != 0 {
		for i := range w.machines {
			if m := &w.machines[i]; m.status == running && m.view < w.newestView {
				model.installView(w, i, w.newestView)
			}
		}
	} else {
		return
	}
	shift := w.newestView - 1
	y := world{started: w.started, newestView: 1, proposal: w.proposal, committed: w.committed, machines: w.machines}
	y.views[1] = w.views[w.newestView]
	if w.committedView == w.newestView {
		y.committedView = 1
	}
	for i := range y.machines {
		m := &y.machines[i]
		if m.status == lost {
			*m = machine{status: lost, address: m.address, departed: m.departed, hadFault: m.hadFault, isReplacement: m.isReplacement, votedOut: m.votedOut}
			continue
		}
		if m.view != w.newestView {
			m.commitsSeen, m.accepted = 0, acceptedNothing
		}
		m.view, m.syncedView = max(m.view, shift)-shift, max(m.syncedView, shift)-shift
	}
	*w = y
}

// quiesce lets the core do what it would do next.
func (model *reconfigurationModel) quiesce(w *world) {
	v := &w.views[w.newestView]
	model.normalize(w)
	if w.proposal.voters != 0 {
		for i := range w.machines {
			if m := &w.machines[i]; m.status == running && v.voters.has(i) && m.view == w.newestView {
				m.accepted = acceptedLive
			}
		}
		if model.decide(w) {
			return
		}
	}
	n := v.length()
	for p := 1; p < n; p++ {
		from, to := &w.machines[v.chain[p-1]-1], &w.machines[v.chain[p]-1]
		if from.status == running && to.status == running && from.view == w.newestView && to.view == w.newestView && from.syncedView == w.newestView &&
			(to.syncedView != w.newestView || from.held.length() > to.held.length()) {
			to.held, to.syncedView = from.held, w.newestView
		}
	}
	model.normalize(w)
	if tail := &w.machines[v.chain[n-1]-1]; tail.status == running && tail.view == w.newestView && tail.syncedView == w.newestView {
		for i := range w.machines {
			if m := &w.machines[i]; m.status == running && m.view == w.newestView {
				m.commitsSeen = uint8(1 + tail.held.length())
			}
		}
	}
	var saw idSet
	for i := range w.machines {
		if m := &w.machines[i]; m.status == running && m.commitsSeen > 0 {
			saw |= 1 << i
		}
	}
	voters := 0
	for i := range w.machines {
		m := &w.machines[i]
		if m.status == running && m.leaving && m.commitsSeen > 0 && model.mayLeave(w, w.newestView, i, saw) {
			m.status, m.commitsSeen, m.caughtUp = stopped, 0, false
		}
		if m.status == running && v.voters.has(i) {
			voters++
		}
	}
	if voters < v.quorum() {
		return
	}
	best, value := model.score(w, v), configuration{}
	for i := range w.machines {
		if m := &w.machines[i]; m.status == running && m.view == w.newestView && v.position(i) >= 0 {
			for _, x := range model.candidateViews(w, i) {
				if s := model.score(w, &x); s > best {
					best, value = s, x
				}
			}
		}
	}
	if value.voters != 0 {
		model.replaceProposal(w, value)
	}
}

func (model *reconfigurationModel) score(w *world, v *configuration) (s int) {
	in := v.members()
	for i := range int(w.started) {
		m := &w.machines[i]
		if in.has(i) {
			switch {
			case m.status != running:
				s -= 30
			case m.leaving:
				s -= 10
			default:
				s += 100
			}
		}
		if v.voters.has(i) {
			switch {
			case m.status == running && !m.leaving:
				s += 5
			case m.status == lost:
				s -= 4
			default:
				s -= 3
			}
		}
	}
	return s
}

func (model *reconfigurationModel) notAtRest(w *world) string {
	v := &w.views[w.newestView]
	if w.committedView != w.newestView {
		return fmt.Sprintf("nothing is committed in the newest view (%v)", v)
	}
	stay := 0
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status != running || m.leaving {
			continue
		}
		stay++
		if v.position(i) < 0 || !v.voters.has(i) {
			return fmt.Sprintf("%d runs, and isn't taken in (%v)", i, v)
		}
	}
	for i := range int(w.started) {
		if m := &w.machines[i]; m.status == running && m.leaving && stay >= v.quorum() && stay >= model.tolerance+1 {
			return fmt.Sprintf("%d can't leave (%v)", i, v)
		}
	}
	if n := v.voters.count(); n > max(2*model.tolerance+1, stay) {
		return fmt.Sprintf("%d voters, of whom %d run (%v)", n, stay, v)
	}
	return ""
}

// ExploreReconfiguration searches breadth first.
func ExploreReconfiguration(s Scope, fault Fault) Result {
	model := &reconfigurationModel{scope: s, tolerance: (s.Members - 1) / 2, fault: fault, quiescing: map[uint64]struct{}{}}
	start := *model.initialWorld()
	seen := map[uint64]uint32{maphash.Comparable(fingerprintSeed, start): 0}
	parents, keys := []uint32{0}, []uint64{maphash.Comparable(fingerprintSeed, start)}
	layer, following := []world{start}, []world(nil)
	res := Result{Complete: true}
	at := uint32(0)
	wrong, wrongAt, last := "", uint32(0), ""
	model.emit = func(y *world, what string, a, b, d int) {
		if wrong != "" {
			return
		}
		k := maphash.Comparable(fingerprintSeed, *y)
		if _, ok := seen[k]; ok && model.violation == "" {
			return
		}
		if broken := model.violatedInvariant(y); broken != "" {
			wrong, wrongAt, last = broken, at, describeStep(what, a, b, d)
			return
		}
		seen[k] = uint32(len(keys))
		keys, parents = append(keys, k), append(parents, at)
		following = append(following, *y)
	}
	for len(layer) > 0 && wrong == "" {
		for i := range layer {
			at = seen[maphash.Comparable(fingerprintSeed, layer[i])]
			model.expand(&layer[i])
			res.States++
			res.Complete = s.MaxStates == 0 || res.States < s.MaxStates
			if res.States%1024 == 0 && !s.Deadline.IsZero() && time.Now().After(s.Deadline) {
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
	if res.Violation = wrong; wrong == "" {
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
		model.emit = func(z *world, what string, a, b, d int) {
			if found == "" && maphash.Comparable(fingerprintSeed, *z) == k {
				if y, found = *z, describeStep(what, a, b, d); z.proposal != w.proposal && z.proposal.voters != 0 {
					found += ": " + z.proposal.String()
				} else if z.newestView > w.newestView {
					found += ", which decides it"
				}
			}
		}
		model.violation = ""
		model.expand(&w)
		w = y
		res.Trace = append(res.Trace, found)
	}
	res.Trace = append(res.Trace, last)
	return res
}

func describeStep(what string, a, b, d int) string {
	args := []any{a, b, d}
	n := 0
	for i := 0; i+1 < len(what); i++ {
		if what[i] == '%' {
			n++
		}
	}
	return fmt.Sprintf(what, args[:n]...)
}
