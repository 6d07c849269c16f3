package membershipmodel

import (
	"fmt"
	"slices"
)

// messageModel is the rules of one agreement and of the chain, with all messages.
type messageModel struct {
	bounds   Bounds
	fault    Fault
	table    *messageTable
	messages []message // Those sent in the node at hand.

	// emit takes a node that may follow the one at hand, and the step that leads there as a format and its arguments.
	emit func(next *node, step string, args ...any)
}

// expand emits every node that may follow and returns the invariant that is violated, if one is.
//
// What may happen at once without making anything else impossible does so before all else.
func (model *messageModel) expand(n *node) string {
	model.readMessages(n)
	if model.forwardAndCommit(n) {
		if n.violation == "" {
			model.emit(n, "registers are forwarded and acknowledged")
		}
		return n.violation
	}
	for i := range model.bounds.Members {
		model.syncOrKill(n, i)
		model.loseDisk(n, i)
		model.enterCommand(n, i)
		model.propose(n, i)
		for _, m := range model.messages {
			model.deliver(n, i, m)
		}
		model.learnDecision(n, i)
	}
	return n.violation
}

func (model *messageModel) readMessages(n *node) {
	model.messages = model.messages[:0]
	for _, number := range n.sent {
		model.messages = append(model.messages, model.table.messages[number])
	}
}

func (model *messageModel) send(n *node, m message) {
	number := model.table.numberOf(m)
	if i, sent := slices.BinarySearch(n.sent, number); !sent {
		n.sent = slices.Insert(n.sent, i, number)
	}
}

// forwardAndCommit has every member forward what it holds, and the tail acknowledge it, and reports whether that changed
// the node. Messages stay for ever, so sending them at once excludes no other course of events, and acknowledging early
// only makes promises that are harder to keep.
func (model *messageModel) forwardAndCommit(n *node) bool {
	changed := false
	for i := range model.bounds.Members {
		m := &n.state.members[i]
		position := m.view.position(i)
		if position < 0 || !m.hasOwnDisk(i) {
			continue
		}
		held, syncedView := m.disk, m.syncedView
		if model.fault == AckBeforeSync {
			held, syncedView = m.memory, m.memorySyncedView
		}
		if syncedView != m.view.number {
			continue
		}
		if position+1 < m.view.length() {
			before := len(n.sent)
			model.send(n, message{kind: forward, viewNumber: m.view.number, from: int8(i), slots: held})
			changed = changed || len(n.sent) > before
			continue
		}
		changed = n.acknowledge(i, m.view.number, held) || changed
	}
	return changed
}

// acknowledge has the tail of a view acknowledge what it holds and reports whether anything is acknowledged for the first time. What was acknowledged must
// be in each later acknowledgement.
func (n *node) acknowledge(tail int, viewNumber uint8, held slots) bool {
	old := n.state.committed
	known := held == old && n.state.committedView >= viewNumber
	ofOlderView := held.length() < old.length() && viewNumber <= n.state.committedView && (held[0] == 0 || held[0] == old[0])
	if known || ofOlderView {
		return false
	}
	for i := range old {
		if old[i] != 0 && held[i] != old[i] && n.violation == "" {
			n.violation = fmt.Sprintf("sequence %d was acknowledged as %d; the tail %d of view %d now acknowledges %d",
				i+1, old[i], tail, viewNumber, held[i])
		}
	}
	n.state.committed, n.state.committedView = held, max(n.state.committedView, viewNumber)
	return true
}

// syncOrKill has what a member holds in memory reach its disk, or get lost.
func (model *messageModel) syncOrKill(n *node, i int) {
	m := &n.state.members[i]
	if m.memory == m.disk && m.memorySyncedView == m.syncedView {
		return
	}
	synced := n.clone()
	synced.state.members[i].disk, synced.state.members[i].syncedView = m.memory, m.memorySyncedView
	model.emit(synced, "%d syncs", i)
	killed := n.clone()
	killed.state.members[i].memory, killed.state.members[i].memorySyncedView = m.disk, m.syncedView
	model.emit(killed, "%d is killed before it syncs", i)
}

// syncAtOnce brings what a member holds to disk. Where nothing is sent before that, being killed between the two is the
// same as not having received the message.
func (model *messageModel) syncAtOnce(m *member) {
	if model.fault != AckBeforeSync {
		m.disk, m.syncedView = m.memory, m.memorySyncedView
	}
}

func (model *messageModel) loseDisk(n *node, i int) {
	if n.state.diskLosses >= uint8(model.bounds.DiskLosses) || !model.allSynced(n) {
		return
	}
	next := n.clone()
	next.state.diskLosses++
	m := &next.state.members[i]
	if model.fault == WipedMemberVotes {
		all := model.bounds.Members
		*m = member{incarnation: m.incarnation, view: view{number: firstView, chain: inOrder(all), voters: firstMembers(all)}}
	} else {
		*m = member{incarnation: m.incarnation + 1, view: view{chain: inOrder(0)}}
	}
	model.emit(next, "%d loses its disk", i)
}

// allSynced reports whether all members are in the chain of one view, synced and with the disks that they had when it was
// agreed on. Only then may a disk be lost.
func (model *messageModel) allSynced(n *node) bool {
	for i := range model.bounds.Members {
		m := &n.state.members[i]
		inView := m.view.number == n.state.members[0].view.number && m.view.position(i) >= 0 && m.hasOwnDisk(i)
		if !inView || m.syncedView != m.view.number || m.disk.length() < n.state.committed.length() {
			return false
		}
	}
	return true
}

// enterCommand has the head take a command.
func (model *messageModel) enterCommand(n *node, i int) {
	m := &n.state.members[i]
	isHead := m.view.position(i) == 0 && m.hasOwnDisk(i)
	if !isHead || n.state.commands >= uint8(model.bounds.Commands) || m.memory.length() >= len(m.memory) {
		return
	}
	next := n.clone()
	next.state.commands++
	head := &next.state.members[i]
	head.memory[m.memory.length()] = entry(m.view.number, next.state.commands)
	head.memorySyncedView = m.view.number
	model.syncAtOnce(head)
	model.emit(next, "command %d enters at %d in view %d", next.state.commands, i, m.view.number)
}

// propose has a member of the chain begin an agreement on the next view.
func (model *messageModel) propose(n *node, i int) {
	m := &n.state.members[i]
	if m.view.position(i) < 0 || !m.hasOwnDisk(i) || n.state.proposals >= uint8(model.bounds.Proposals) || m.view.number >= maxView {
		return
	}
	number := m.view.number + 1
	ballot := (m.promised/ballotsPerRound+1)*ballotsPerRound + uint8(i) + 1
	next := n.clone()
	next.state.proposals++
	model.send(next, message{kind: prepare, viewNumber: number, ballot: ballot, from: int8(i), view: m.view})
	model.emit(next, "%d prepares view %d", i, number)
}

// deliver has a member receive a message.
func (model *messageModel) deliver(n *node, i int, m message) {
	switch m.kind {
	case prepare:
		model.handlePrepare(n, i, m)
	case promise:
		model.handlePromise(n, i, m)
	case accept:
		model.handleAccept(n, i, m)
	case forward:
		model.handleForward(n, i, m)
	case accepted: // See learnDecision.
	}
}

// handlePrepare has a voter promise. The view that the proposal builds on is decided, so it may be learnt from the message.
func (model *messageModel) handlePrepare(n *node, i int, m message) {
	voter := &n.state.members[i]
	if base := m.view; voter.view.number < base.number {
		next := n.clone()
		next.state.members[i].installView(i, base)
		model.emit(next, "%d learns view %d", i, base.number)
		return
	}
	if voter.view.number != m.viewNumber-1 || m.ballot <= voter.promised || !model.mayVote(voter, i) {
		return
	}
	next := n.clone()
	next.state.members[i].promised = m.ballot
	model.send(next, message{
		kind:           promise,
		viewNumber:     m.viewNumber,
		ballot:         m.ballot,
		from:           int8(i),
		incarnation:    voter.incarnation,
		acceptedBallot: voter.acceptedBallot,
		view:           voter.acceptedView,
	})
	model.emit(next, "%d promises ballot %d of view %d", i, m.ballot, m.viewNumber)
}

// handlePromise has the proposer begin phase 2 once a quorum has promised: with the view accepted under the highest ballot
// or, if none was, with any view that it may want.
func (model *messageModel) handlePromise(n *node, i int, m message) {
	proposer := &n.state.members[i]
	if proposer.view.number != m.viewNumber-1 || int(m.ballot%ballotsPerRound)-1 != i {
		return
	}
	promises, highest, value := 0, uint8(0), view{}
	for _, other := range model.messages {
		if !other.belongsTo(promise, m) {
			continue
		}
		promises++
		if other.acceptedBallot > highest {
			highest, value = other.acceptedBallot, other.view
		}
	}
	if promises < proposer.view.quorum() || model.count(accept, m) > 0 {
		return
	}
	values := []view{value}
	if highest == 0 {
		values = model.candidateViews(n, i)
	}
	for _, v := range values {
		next := n.clone()
		model.send(next, message{kind: accept, viewNumber: m.viewNumber, ballot: m.ballot, view: v})
		model.emit(next, "%d asks to accept view %d: chain %v", i, m.viewNumber, v.chain[:v.length()])
	}
}

func (model *messageModel) handleAccept(n *node, i int, m message) {
	voter := &n.state.members[i]
	if voter.view.number != m.viewNumber-1 || m.ballot < voter.promised || voter.acceptedBallot == m.ballot || !model.mayVote(voter, i) {
		return
	}
	next := n.clone()
	changed := &next.state.members[i]
	changed.promised, changed.acceptedBallot, changed.acceptedView = m.ballot, m.ballot, m.view
	model.send(next, message{
		kind:        accepted,
		viewNumber:  m.viewNumber,
		ballot:      m.ballot,
		from:        int8(i),
		incarnation: voter.incarnation,
		view:        m.view,
	})
	model.emit(next, "%d accepts view %d", i, m.viewNumber)
}

// handleForward has a member take the register from its predecessor in the chain.
func (model *messageModel) handleForward(n *node, i int, m message) {
	receiver := &n.state.members[i]
	position := receiver.view.position(i)
	if position < 1 || !receiver.hasOwnDisk(i) {
		return
	}
	fromPredecessor := m.viewNumber == receiver.view.number && receiver.view.chain[position-1] == m.from
	if !fromPredecessor && model.fault != ViewNumberIgnored {
		return
	}
	if receiver.memorySyncedView == receiver.view.number && m.slots.length() <= receiver.memory.length() {
		return
	}
	next := n.clone()
	changed := &next.state.members[i]
	changed.memory, changed.memorySyncedView = m.slots, receiver.view.number
	model.syncAtOnce(changed)
	model.emit(next, "%d takes the register of view %d from %d", i, m.viewNumber, m.from)
}

// learnDecision has a member learn a view that a quorum has accepted. Two different decisions on one number violate
// agreement.
func (model *messageModel) learnDecision(n *node, i int) {
	for _, m := range model.messages {
		if m.kind != accepted || m.viewNumber <= n.state.members[i].view.number {
			continue
		}
		if model.count(accepted, m) < model.votesNeeded(n, m) {
			continue
		}
		decided := n.state.decided[m.viewNumber]
		if decided != (view{}) && decided != m.view {
			n.violation = fmt.Sprintf("view %d is decided as chain %v and as chain %v", m.viewNumber, decided.chain, m.view.chain)
			return
		}
		next := n.clone()
		next.state.decided[m.viewNumber] = m.view
		next.state.members[i].installView(i, m.view)
		model.emit(next, "%d learns view %d: chain %v", i, m.viewNumber, m.view.chain[:m.view.length()])
		return
	}
}

// votesNeeded returns how many voters must have accepted a view for it to be decided.
func (model *messageModel) votesNeeded(n *node, m message) int {
	if model.fault == QuorumOfNewChain {
		return max(m.view.length()-1, 1)
	}
	if base := n.state.decided[m.viewNumber-1]; base.number != 0 {
		return base.quorum()
	}
	return view{voters: firstMembers(model.bounds.Members)}.quorum()
}

// mayVote reports whether member i has a vote on the view after its own.
func (model *messageModel) mayVote(m *member, i int) bool {
	if !m.view.voters.has(i) && model.fault != NonVoterVotes {
		return false
	}
	return m.hasOwnDisk(i) || model.fault == WipedMemberVotes
}

// belongsTo reports whether a message is of a kind and belongs to the same proposal as another.
func (m message) belongsTo(kind messageKind, other message) bool {
	return m.kind == kind && m.viewNumber == other.viewNumber && m.ballot == other.ballot
}

// count returns how many messages of a kind were sent for the proposal that a message belongs to.
func (model *messageModel) count(kind messageKind, m message) int {
	count := 0
	for _, other := range model.messages {
		if other.belongsTo(kind, m) {
			count++
		}
	}
	return count
}

// candidateViews lists the views that a proposer may want after its own: without one other member, with one more, or both.
// This is wider than the implementation's choice (membership.Node), which also judges who is healthy.
func (model *messageModel) candidateViews(n *node, proposer int) []view {
	var candidates []view
	for dropped := nobody; dropped < model.bounds.Members; dropped++ {
		for joiner := nobody; joiner < model.bounds.Members; joiner++ {
			if dropped == nobody && joiner == nobody || dropped == proposer {
				continue
			}
			if candidate, ok := model.candidateView(n, proposer, dropped, joiner); ok {
				candidates = append(candidates, candidate)
			}
		}
	}
	return candidates
}

func (model *messageModel) candidateView(n *node, proposer, dropped, joiner int) (view, bool) {
	current := n.state.members[proposer].view
	if dropped != nobody && current.position(dropped) < 0 {
		return view{}, false
	}
	next := view{number: current.number + 1, chain: inOrder(0), incarnations: current.incarnations, voters: current.voters}
	length := 0
	for _, i := range current.chain[:current.length()] {
		if int(i) != dropped {
			next.chain[length] = i
			next.unsynced |= current.unsynced & (1 << i)
			length++
		}
	}
	if joiner != nobody {
		if next.position(joiner) >= 0 {
			return view{}, false
		}
		next.chain[length] = int8(joiner)
		next.incarnations[joiner] = n.state.members[joiner].incarnation
		next.unsynced |= 1 << joiner
		length++
	}
	if length == 0 || length < current.quorum() {
		return view{}, false
	}
	headSynced := !next.unsynced.has(int(next.chain[0]))
	return next, headSynced || model.fault == UnsyncedHead
}
