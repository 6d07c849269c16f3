// Package membershipmodel is the rules of views and chain as a small state machine, explored exhaustively: every order of
// messages (late, lost, repeated), of writes reaching the disk, of kills and of lost disks, within bounds. The engines
// in controlplane/membership and controlplane/chainreplication follow these rules; faults can be put in to see that the check finds them.
package membershipmodel

import (
	"fmt"
	"hash/maphash"
	"math/bits"
	"math/rand/v2"
	"slices"
)

// Fault is a bug put in on purpose.
type Fault int

const (
	NoFault           Fault = iota
	ViewNumberIgnored       // a pass of any view is taken, from anyone
	WipedMemberVotes        // a machine that lost its disk keeps its vote
	AckBeforeSync           // a pass or an acknowledgement leaves before its register is on disk
	UnsyncedHead            // a member that was never filled may become head
	QuorumOfNewChain        // a view is decided by the members of its new chain alone
	NonVoterVotes           // a machine that is no voter promises and accepts, and its word counts
)

// Bounds limit what happens in a run.
type Bounds struct {
	Members    int
	Commands   int // 2 at the most
	DiskLosses int // lost disks; each waits until the one before has been made good
	Proposals  int
	MaxStates  int // exploring ends after so many

	// Joining begins in view 2, whose second member has just come in and is empty, after an order was acknowledged in
	// view 1.
	StartsWithJoiner bool

	// Swapped begins in view 2, in which the last member has the seat of the one before it; that one has not heard of it.
	StartsWithReplacement bool
}

// Result is what an exploration found.
type Result struct {
	States    int
	Complete  bool     // all states within the bounds were seen
	Violation string   // empty: nothing
	Trace     []string // the shortest way there
}

const (
	maxMembers = 5 // members
	maxView    = 4

	maxWalkSteps = 80 // steps
)

type (
	slots [2]uint8 // what entered under each number: 1 + the view it entered in, by whom; 0: nothing
	view  struct {
		number       uint8
		chain        [maxMembers]int8 // members in order; -1: none
		incarnations [maxMembers]uint8
		unsynced     uint8 // bits: those of the chain that may not be filled

		voters uint8 // bits: who decides on the next view
	}
	member struct {
		incarnation      uint8 // of its disk
		view             view
		promised         uint8
		acceptedBallot   uint8
		acceptedView     view
		memory, disk     slots
		syncedView       uint8 // view; on disk with it
		memorySyncedView uint8
	}
	state struct {
		members       [maxMembers]member
		committed     slots
		committedView uint8 // the newest view that acknowledged
		commands      uint8
		diskLosses    uint8
		proposals     uint8
		decided       [maxView + 2]view // as somebody has learnt
	}
	messageKind uint8
	message     struct {
		kind               messageKind
		viewNumber, ballot uint8
		from               int8
		incarnation        uint8
		acceptedBallot     uint8
		view               view
		slots              slots
	}
)

const (
	prepare messageKind = iota + 1
	promise
	accept
	accepted
	forward
)

func (r slots) length() int {
	n := 0
	for n < len(r) && r[n] != 0 {
		n++
	}
	return n
}

func (v view) position(i int) int {
	for p, x := range v.chain {
		if int(x) == i {
			return p
		}
	}
	return -1
}

func (v view) length() int {
	n := 0
	for n < maxMembers && v.chain[n] >= 0 {
		n++
	}
	return n
}

// node is a state with the messages that were ever sent; they are never taken away, so each may come at any time, more
// than once or never.
type node struct {
	state state
	sent  []uint16 // numbers of messages, in order

	violation string
}

// messageTable gives messages numbers.
type messageTable struct {
	numbers  map[message]uint16
	messages []message
}

func (b *messageTable) numberOf(m message) uint16 {
	n, ok := b.numbers[m]
	if !ok {
		n = uint16(len(b.messages))
		b.numbers[m] = n
		b.messages = append(b.messages, m)
	}
	return n
}

type fingerprint [2]uint64

var fingerprintSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

func (x *node) fingerprint() (k fingerprint) {
	for i := range k {
		h := maphash.Comparable(fingerprintSeeds[i], x.state)
		for _, n := range x.sent {
			h = (h ^ uint64(n)) * 0x9e3779b97f4a7c15
			h ^= h >> 29
		}
		k[i] = h
	}
	return k
}

func (x *node) clone() *node { return &node{state: x.state, sent: slices.Clone(x.sent)} }

func (model *messageModel) send(x *node, m message) {
	n := model.table.numberOf(m)
	if i, ok := slices.BinarySearch(x.sent, n); !ok {
		x.sent = slices.Insert(x.sent, i, n)
	}
}

type messageModel struct {
	bounds   Bounds
	fault    Fault
	table    *messageTable
	messages []message // of the state at hand
	emit     func(y *node, what string, args ...any)
}

func initialNode(b Bounds) *node {
	start := &node{}
	first := view{number: 1, voters: 1<<b.Members - 1}
	for i := range maxMembers {
		first.chain[i] = -1
		if i < b.Members {
			first.chain[i] = int8(i)
		}
	}
	for i := range b.Members {
		start.state.members[i] = member{view: first}
		if i == 0 {
			start.state.members[i].syncedView, start.state.members[i].memorySyncedView = 1, 1
		}
	}
	if b.StartsWithJoiner {
		const order = 1 + 1*8 + 1
		v := view{number: 2, chain: [maxMembers]int8{0, int8(b.Members) - 1, -1, -1, -1}, unsynced: 1 << (b.Members - 1), voters: first.voters}
		for i := range b.Members {
			start.state.members[i] = member{view: v, memory: slots{order}, disk: slots{order}, syncedView: 1, memorySyncedView: 1}
		}
		start.state.members[0].syncedView, start.state.members[0].memorySyncedView = 2, 2
		start.state.members[b.Members-1] = member{view: v}
		start.state.committed, start.state.committedView, start.state.commands = slots{order}, 1, 1
	}
	if b.StartsWithReplacement {
		in, out := b.Members-1, b.Members-2
		first.voters &^= 1 << in
		first.chain[in] = -1
		second := first
		second.number, second.chain[out], second.voters = 2, int8(in), first.voters&^(1<<out)|1<<in
		for i := range b.Members {
			start.state.members[i].view = second
		}
		start.state.members[0].syncedView, start.state.members[0].memorySyncedView = 2, 2
		start.state.members[out].view = first
		start.state.decided[2] = second
	}
	return start
}

// WalkMessages takes random ways through the states, for faults that lie deeper than exploring reaches.
func WalkMessages(b Bounds, fault Fault, seed uint64, walks int) Result {
	r := rand.New(rand.NewPCG(seed, 1))
	model := &messageModel{bounds: b, fault: fault, table: &messageTable{numbers: map[message]uint16{}}}
	var res Result
	type step struct {
		y    *node
		what string
		args []any
	}
	var next []step
	model.emit = func(y *node, what string, args ...any) { next = append(next, step{y, what, args}) }
	for range walks {
		x := initialNode(b)
		var trace []step
		for {
			res.States++
			model.messages = model.messages[:0]
			for _, n := range x.sent {
				model.messages = append(model.messages, model.table.messages[n])
			}
			next = next[:0]
			if res.Violation = model.expand(x); res.Violation != "" {
				for _, s := range trace {
					res.Trace = append(res.Trace, fmt.Sprintf(s.what, s.args...))
				}
				return res
			}
			if len(next) == 0 || len(trace) > maxWalkSteps {
				break
			}
			s := next[r.IntN(len(next))]
			trace, x = append(trace, s), s.y
		}
	}
	return res
}

// ExploreMessages searches breadth first.
func ExploreMessages(b Bounds, fault Fault) Result {
	start := initialNode(b)
	type from struct {
		at   fingerprint
		what string
		args []any
	}
	seen := map[fingerprint]from{start.fingerprint(): {}}
	queue := []*node{start}
	res := Result{Complete: true}
	var at fingerprint
	model := &messageModel{bounds: b, fault: fault, table: &messageTable{numbers: map[message]uint16{}}}
	model.emit = func(y *node, what string, args ...any) {
		k := y.fingerprint()
		if _, ok := seen[k]; !ok {
			seen[k] = from{at, what, args}
			queue = append(queue, y)
		}
	}
	for head := 0; head < len(queue); head++ {
		x := queue[head]
		queue[head] = nil
		if res.States++; res.States >= b.MaxStates {
			res.Complete = false
			break
		}
		at = x.fingerprint()
		model.messages = model.messages[:0]
		for _, n := range x.sent {
			model.messages = append(model.messages, model.table.messages[n])
		}
		if res.Violation = model.expand(x); res.Violation != "" {
			for k := at; seen[k].what != ""; k = seen[k].at {
				res.Trace = append(res.Trace, fmt.Sprintf(seen[k].what, seen[k].args...))
			}
			slices.Reverse(res.Trace)
			return res
		}
	}
	return res
}

func (model *messageModel) mayVote(m *member, i int, base view) bool {
	if base.voters&(1<<i) == 0 && model.fault != NonVoterVotes {
		return false
	}
	return model.fault == WipedMemberVotes || base.incarnations[i] == m.incarnation
}

// quorum is how many of a view's voters decide on the next.
func (v view) quorum() int { return bits.OnesCount8(v.voters)/2 + 1 }

// expand tries everything that can happen in a state.
func (model *messageModel) expand(x *node) string {
	if model.forwardAndCommit(x) { // what may happen at once without taking anything else away does
		if x.violation != "" {
			return x.violation
		}
		model.emit(x, "passes and acknowledgements go out")
		return ""
	}
	for i := range model.bounds.Members {
		m := &x.state.members[i]
		if m.memory != m.disk || m.memorySyncedView != m.syncedView {
			y := x.clone()
			y.state.members[i].disk, y.state.members[i].syncedView = m.memory, m.memorySyncedView
			model.emit(y, "%d syncs", i)
			y = x.clone()
			y.state.members[i].memory, y.state.members[i].memorySyncedView = m.disk, m.syncedView
			model.emit(y, "%d is killed before it syncs", i)
		}
		if x.state.diskLosses < uint8(model.bounds.DiskLosses) && model.allSynced(x) {
			y := x.clone()
			z := &y.state.members[i]
			y.state.diskLosses++
			*z = member{incarnation: z.incarnation + 1, view: view{chain: firstChain(0)}}
			if model.fault == WipedMemberVotes {
				z.incarnation--
				z.view = view{number: 1, chain: firstChain(model.bounds.Members), voters: 1<<model.bounds.Members - 1}
			}
			model.emit(y, "%d loses its disk", i)
		}
		model.enterCommand(x, i)
		model.propose(x, i)
		for _, msg := range model.messages {
			model.deliver(x, i, msg)
		}
		model.learnDecision(x, i)
	}
	return x.violation
}

func firstChain(n int) (c [maxMembers]int8) {
	for i := range c {
		c[i] = -1
		if i < n {
			c[i] = int8(i)
		}
	}
	return c
}

// enterCommand has the head take one.
func (model *messageModel) enterCommand(x *node, i int) {
	m := &x.state.members[i]
	if m.view.position(i) != 0 || x.state.commands >= uint8(model.bounds.Commands) || m.incarnation != m.view.incarnations[i] || m.memory.length() >= len(m.memory) {
		return
	}
	y := x.clone()
	y.state.commands++
	z := &y.state.members[i]
	z.memory[m.memory.length()], z.memorySyncedView = 1+m.view.number*8+y.state.commands, m.view.number
	model.syncAtOnce(z)
	model.emit(y, "order %d enters at %d in view %d", y.state.commands, i, m.view.number)
}

// allSynced tells whether all members are in one view, filled and with the disks they had when it was agreed: only then may
// another one be lost.
func (model *messageModel) allSynced(x *node) bool {
	for i := range model.bounds.Members {
		m := &x.state.members[i]
		if m.view.number != x.state.members[0].view.number || m.view.position(i) < 0 || m.incarnation != m.view.incarnations[i] || m.syncedView != m.view.number || m.disk.length() < x.state.committed.length() {
			return false
		}
	}
	return true
}

// forwardAndCommit has every member pass on what it holds, and the tail acknowledge it. Messages stay for ever, so sending them at
// once takes no other course of events away, and acknowledging early only makes promises that are harder to keep.
func (model *messageModel) forwardAndCommit(x *node) (changed bool) {
	for i := range model.bounds.Members {
		m := &x.state.members[i]
		p := m.view.position(i)
		if p < 0 || m.incarnation != m.view.incarnations[i] {
			continue
		}
		r, synced := m.disk, m.syncedView
		if model.fault == AckBeforeSync {
			r, synced = m.memory, m.memorySyncedView
		}
		if synced != m.view.number {
			continue
		}
		if p+1 < m.view.length() {
			before := len(x.sent)
			model.send(x, message{kind: forward, viewNumber: m.view.number, from: int8(i), slots: r})
			changed = changed || len(x.sent) > before
			continue
		}
		old := x.state.committed
		if r == old && x.state.committedView >= m.view.number || r.length() < old.length() && m.view.number <= x.state.committedView && r[0] == old[0]*min(r[0], 1) {
			continue // known, or the late word of an older view
		}
		for s := range old {
			if old[s] != 0 && r[s] != old[s] && x.violation == "" {
				x.violation = fmt.Sprintf("number %d was acknowledged as %d; the tail %d of view %d now acknowledges %d", s+1, old[s], i, m.view.number, r[s])
			}
		}
		x.state.committed, x.state.committedView, changed = r, max(x.state.committedView, m.view.number), true
	}
	return changed
}

// syncAtOnce brings what a member holds on disk. Where nothing is told before that, a loss between the two is the same as not
// having heard.
func (model *messageModel) syncAtOnce(m *member) {
	if model.fault != AckBeforeSync {
		m.disk, m.syncedView = m.memory, m.memorySyncedView
	}
}

// propose has a member of the chain begin an agreement on a view without one other, or with one more.
func (model *messageModel) propose(x *node, i int) {
	m := &x.state.members[i]
	if m.view.position(i) < 0 || m.incarnation != m.view.incarnations[i] || x.state.proposals >= uint8(model.bounds.Proposals) || m.view.number >= maxView {
		return
	}
	n := m.view.number + 1
	b := (m.promised/8+1)*8 + uint8(i) + 1
	y := x.clone()
	y.state.proposals++
	model.send(y, message{kind: prepare, viewNumber: n, ballot: b, from: int8(i), view: m.view})
	model.emit(y, "%d prepares view %d", i, n)
}

// candidateViews lists the views that a proposer may want after its own.
func (model *messageModel) candidateViews(m *member, i int, x *node) (out []view) {
	settled := x.state.members[i].syncedView == m.view.number && m.view.unsynced == 0
	for drop := -1; drop < model.bounds.Members; drop++ {
		for join := -1; join < model.bounds.Members; join++ {
			if drop < 0 && join < 0 || drop == i {
				continue
			}
			v := view{number: m.view.number + 1, incarnations: m.view.incarnations, voters: m.view.voters}
			for k := range v.chain {
				v.chain[k] = -1
			}
			k := 0
			for _, c := range m.view.chain {
				if c >= 0 && int(c) != drop {
					v.chain[k] = c
					if m.view.unsynced&(1<<c) != 0 && !settled {
						v.unsynced |= 1 << c
					}
					k++
				}
			}
			if drop >= 0 && m.view.position(drop) < 0 {
				continue
			}
			if join >= 0 {
				if v.position(join) >= 0 {
					continue
				}
				v.chain[k] = int8(join)
				v.incarnations[join] = x.state.members[join].incarnation
				v.unsynced |= 1 << join
				k++
			}
			if k < m.view.quorum() || k == 0 {
				continue
			}
			if v.unsynced&(1<<v.chain[0]) != 0 && model.fault != UnsyncedHead {
				continue
			}
			out = append(out, v)
		}
	}
	return out
}

func (model *messageModel) deliver(x *node, i int, msg message) {
	m := &x.state.members[i]
	switch msg.kind {
	case prepare:
		base := msg.view
		if m.view.number < base.number { // the base is decided: it may be learnt from the message
			y := x.clone()
			installView(&y.state.members[i], i, base)
			model.emit(y, "%d learns view %d", i, base.number)
			return
		}
		if m.view.number != msg.viewNumber-1 || msg.ballot <= m.promised || !model.mayVote(m, i, m.view) {
			return
		}
		y := x.clone()
		y.state.members[i].promised = msg.ballot
		model.send(y, message{kind: promise, viewNumber: msg.viewNumber, ballot: msg.ballot, from: int8(i), incarnation: m.incarnation, acceptedBallot: m.acceptedBallot, view: m.acceptedView})
		model.emit(y, "%d promises ballot %d of view %d", i, msg.ballot, msg.viewNumber)
	case promise:
		if m.view.number != msg.viewNumber-1 || int(msg.ballot%8)-1 != i {
			return
		}
		have, best, value := 0, uint8(0), view{}
		for _, o := range model.messages {
			if o.kind == promise && o.viewNumber == msg.viewNumber && o.ballot == msg.ballot {
				have++
				if o.acceptedBallot > best {
					best, value = o.acceptedBallot, o.view
				}
			}
		}
		if have < m.view.quorum() || slices.ContainsFunc(model.messages, func(o message) bool {
			return o.kind == accept && o.viewNumber == msg.viewNumber && o.ballot == msg.ballot
		}) {
			return
		}
		values := []view{value}
		if best == 0 {
			values = model.candidateViews(m, i, x)
		}
		for _, v := range values {
			y := x.clone()
			model.send(y, message{kind: accept, viewNumber: msg.viewNumber, ballot: msg.ballot, view: v})
			model.emit(y, "%d asks to accept view %d: chain %v", i, msg.viewNumber, v.chain[:v.length()])
		}
	case accept:
		if m.view.number != msg.viewNumber-1 || msg.ballot < m.promised || m.acceptedBallot == msg.ballot || !model.mayVote(m, i, m.view) {
			return
		}
		y := x.clone()
		z := &y.state.members[i]
		z.promised, z.acceptedBallot, z.acceptedView = msg.ballot, msg.ballot, msg.view
		model.send(y, message{kind: accepted, viewNumber: msg.viewNumber, ballot: msg.ballot, from: int8(i), incarnation: m.incarnation, view: msg.view})
		model.emit(y, "%d accepts view %d", i, msg.viewNumber)
	case forward:
		p := m.view.position(i)
		if p < 1 || m.incarnation != m.view.incarnations[i] {
			return
		}
		if (msg.viewNumber != m.view.number || m.view.chain[p-1] != msg.from) && model.fault != ViewNumberIgnored {
			return
		}
		if m.memorySyncedView == m.view.number && msg.slots.length() <= m.memory.length() {
			return
		}
		y := x.clone()
		z := &y.state.members[i]
		z.memory, z.memorySyncedView = msg.slots, m.view.number
		model.syncAtOnce(z)
		model.emit(y, "%d takes a pass of view %d from %d", i, msg.viewNumber, msg.from)
	}
}

func installView(m *member, i int, v view) {
	m.view, m.promised, m.acceptedBallot, m.acceptedView = v, 0, 0, view{}
	if v.position(i) == 0 && m.incarnation == v.incarnations[i] {
		m.syncedView, m.memorySyncedView = v.number, v.number // the head has nobody to be filled by
		m.memory = m.disk
	}
}

// baseView is the view whose voters decide on a number.
func (model *messageModel) baseView(x *node, n uint8) view {
	if v := x.state.decided[n-1]; v.number != 0 {
		return v
	}
	return view{voters: 1<<model.bounds.Members - 1} // the first
}

// learnDecision has a member hear of a decision.
func (model *messageModel) learnDecision(x *node, i int) {
	m := &x.state.members[i]
	for _, msg := range model.messages {
		if msg.kind != accepted || msg.viewNumber <= m.view.number {
			continue
		}
		have, need := 0, model.baseView(x, msg.viewNumber).quorum()
		for _, o := range model.messages {
			if o.kind == accepted && o.viewNumber == msg.viewNumber && o.ballot == msg.ballot {
				have++
			}
		}
		if model.fault == QuorumOfNewChain {
			need = max(msg.view.length()-1, 1)
		}
		if have < need {
			continue
		}
		if x.state.decided[msg.viewNumber] != (view{}) && x.state.decided[msg.viewNumber] != msg.view {
			x.violation = fmt.Sprintf("view %d is decided as chain %v and as chain %v", msg.viewNumber, x.state.decided[msg.viewNumber].chain, msg.view.chain)
			return
		}
		y := x.clone()
		y.state.decided[msg.viewNumber] = msg.view
		installView(&y.state.members[i], i, msg.view)
		model.emit(y, "%d learns view %d: chain %v", i, msg.viewNumber, msg.view.chain[:msg.view.length()])
		return
	}
}
