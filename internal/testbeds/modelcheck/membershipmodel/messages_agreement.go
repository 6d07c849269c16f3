package membershipmodel

import "fmt"

// propose emits the step in which a chain member starts an agreement on the next view.
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

// handlePrepare emits a voter's reply to a prepare message. The view that the proposal is based on is decided, so that a voter
// with an older view installs it first.
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

// handlePromise emits the start of phase 2 once a quorum has promised: with the view accepted under the highest ballot or, if
// there is none, with each candidate view.
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
		model.emit(next, "%d requests acceptance of view %d: chain %v", i, m.viewNumber, v.chain[:v.length()])
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

// learnDecision emits the step in which a member learns a view that a quorum has accepted. Two different decisions with the same
// number violate agreement.
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
			n.violation = fmt.Sprintf("view %d was decided with chain %v and with chain %v", m.viewNumber, decided.chain, m.view.chain)
			return
		}
		next := n.clone()
		next.state.decided[m.viewNumber] = m.view
		next.state.members[i].installView(i, m.view)
		model.emit(next, "%d learns view %d: chain %v", i, m.viewNumber, m.view.chain[:m.view.length()])
		return
	}
}

// votesNeeded returns the number of acceptances that decide a view.
func (model *messageModel) votesNeeded(n *node, m message) int {
	if model.fault == QuorumOfNewChain {
		return max(m.view.length()-1, 1)
	}
	if base := n.state.decided[m.viewNumber-1]; base.number != 0 {
		return base.quorum()
	}
	return view{voters: firstMembers(model.bounds.Members)}.quorum()
}

// mayVote reports whether member i may vote on the view after its own.
func (model *messageModel) mayVote(m *member, i int) bool {
	if !m.view.voters.has(i) && model.fault != NonVoterVotes {
		return false
	}
	return m.hasOwnDisk(i) || model.fault == WipedMemberVotes
}

// belongsTo reports whether a message is of the given kind and belongs to the same proposal as another.
func (m message) belongsTo(kind messageKind, other message) bool {
	return m.kind == kind && m.viewNumber == other.viewNumber && m.ballot == other.ballot
}

// count returns the number of messages of a kind that were sent for the proposal of m.
func (model *messageModel) count(kind messageKind, m message) int {
	count := 0
	for _, other := range model.messages {
		if other.belongsTo(kind, m) {
			count++
		}
	}
	return count
}

// candidateViews lists the views that a proposer may propose after its own: without one other member, with a joiner, or both.
// The implementation (membership.Node) proposes only some of these, as it also considers which members are healthy.
func (model *messageModel) candidateViews(n *node, proposer int) []view {
	var candidates []view
	for dropped := noMember; dropped < model.bounds.Members; dropped++ {
		for joiner := noMember; joiner < model.bounds.Members; joiner++ {
			if dropped == noMember && joiner == noMember || dropped == proposer {
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
	if dropped != noMember && current.position(dropped) < 0 {
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
	if joiner != noMember {
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
