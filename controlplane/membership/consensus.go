package membership

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

// This file implements single-decree Paxos among the voters of view n to decide view n+1. The Paxos state is reset with
// each installed view.

const (
	// proposalTimeout is the time after which an undecided proposal is abandoned. It also bounds the random backoff before
	// the next proposal.
	proposalTimeout = 500 * time.Millisecond

	// changeConfirmationDelay is how long a view change must have been necessary before it is proposed.
	changeConfirmationDelay = 200 * time.Millisecond

	// proposerStagger is the additional delay per chain position before a member proposes. It reduces competing proposals.
	proposerStagger = 300 * time.Millisecond
)

// proposal is this node's own proposal of the next view.
type proposal struct {
	active          bool
	startedAt       Time
	ballot          Ballot
	value           View
	highestAccepted Ballot // Highest ballot of a view accepted by a promising voter; value is that view.
	accepting       bool   // Whether phase 2 has started.
	promisedBy      map[string]bool
	acceptedBy      map[string]bool
}

// ConfirmsLatestView reports whether this node is a voter and knows of no later view that may have been decided. Because a
// decision requires a quorum, such confirmations by a quorum prove that no later view existed when the first of them was
// made.
func (node *Node) ConfirmsLatestView(number uint64) bool {
	return node.state.View.Number == number && node.state.AcceptedView == nil && node.state.View.HasVoter(node.self.ID)
}

// proposeIfNeeded starts a proposal once a view change has been necessary for long enough.
func (node *Node) proposeIfNeeded(now Time) {
	value, needed := node.valueToPropose(now)
	if !needed {
		node.changeNeededSince = 0
		return
	}
	if node.changeNeededSince == 0 {
		node.changeNeededSince = now
	}
	neededFor := now - node.changeNeededSince
	if node.proposal.active || now < node.backoffUntil || neededFor < node.proposalDelay(value) {
		return
	}
	node.beginProposal(now, value)
}

// valueToPropose returns the view to propose, and whether there is one.
func (node *Node) valueToPropose(now Time) (View, bool) {
	if next, ok := node.nextView(now); ok {
		return next, true
	}
	// An accepted view may have been decided even if its proposer failed. Voters that accepted it no longer confirm the
	// current view, so linearizable reads fail until the agreement is completed (docs/design/control-plane.md, rule 10).
	if node.state.AcceptedView != nil && node.HasQuorumContact(now) && !node.diskUnhealthy {
		return *node.state.AcceptedView, true
	}
	return View{}, false
}

// proposalDelay returns how long a view change must have been necessary before this node proposes it.
func (node *Node) proposalDelay(value View) Time {
	rank := value.Position(node.self.ID)
	if rank < 0 {
		rank = len(value.Chain)
	}
	return changeConfirmationDelay + Time(rank)*proposerStagger
}

// beginProposal starts phase 1 with a ballot higher than any seen by this node.
func (node *Node) beginProposal(now Time, value View) {
	node.highestRound = max(node.highestRound, node.state.PromisedBallot.Round) + 1
	node.proposal = proposal{
		active:     true,
		startedAt:  now,
		ballot:     Ballot{Round: node.highestRound, Proposer: node.self.ID},
		value:      value,
		promisedBy: map[string]bool{},
		acceptedBy: map[string]bool{},
	}
	base := node.state.View
	for _, voter := range base.Voters {
		node.send(voter, Message{Kind: Prepare, ViewNumber: value.Number, Ballot: node.proposal.ballot, View: &base}, false)
	}
}

// abandonStaleProposal abandons a proposal that was not decided within proposalTimeout.
func (node *Node) abandonStaleProposal(now Time) {
	if node.proposal.active && now-node.proposal.startedAt > proposalTimeout {
		node.abandonProposal(now, proposalTimeout)
	}
}

// abandonProposal abandons the proposal and backs off for a random time of up to maxBackoff.
func (node *Node) abandonProposal(now, maxBackoff Time) {
	node.proposal.active = false
	node.backoffUntil = now + Time(node.random()*float64(maxBackoff))
}

// handlePrepare handles phase 1a. The view that the proposal is based on is decided, so it is installed first if it is newer.
func (node *Node) handlePrepare(m Message) {
	if m.View != nil {
		node.installView(*m.View)
	}
	view, promised := node.state.View, node.state.PromisedBallot
	switch {
	case m.ViewNumber <= view.Number:
		node.sendDecided(m.From)
	case !node.votesOn(m.ViewNumber):
	case !promised.Less(m.Ballot):
		node.send(m.From, Message{Kind: Reject, ViewNumber: m.ViewNumber, Ballot: m.Ballot, PriorBallot: promised}, false)
	default:
		node.state.PromisedBallot, node.stateChanged = m.Ballot, true
		node.send(m.From, Message{
			Kind:        Promise,
			ViewNumber:  m.ViewNumber,
			Ballot:      m.Ballot,
			PriorBallot: node.state.AcceptedBallot,
			View:        node.state.AcceptedView,
		}, true)
	}
}

// handleAccept handles phase 2a.
func (node *Node) handleAccept(m Message) {
	if m.View == nil || !node.votesOn(m.ViewNumber) || m.Ballot.Less(node.state.PromisedBallot) {
		return
	}
	node.state.PromisedBallot = m.Ballot
	node.state.AcceptedBallot = m.Ballot
	node.state.AcceptedView = m.View
	node.stateChanged = true
	node.send(m.From, Message{Kind: Accepted, ViewNumber: m.ViewNumber, Ballot: m.Ballot}, true)
}

// handleReject abandons the proposal and records the round that the next ballot has to exceed.
func (node *Node) handleReject(now Time, m Message) {
	if !node.proposal.active || m.Ballot != node.proposal.ballot {
		return
	}
	node.highestRound = max(node.highestRound, m.PriorBallot.Round)
	node.abandonProposal(now, proposalTimeout/2)
}

// handlePromise counts promises and starts phase 2 once there is a quorum. The proposed value is replaced by the view with
// the highest ballot that a promising voter has accepted, because that view may have been decided.
func (node *Node) handlePromise(m Message) {
	p := &node.proposal
	if !node.countsForProposal(m) || p.accepting {
		return
	}
	p.promisedBy[m.From.ID] = true
	if m.View != nil && p.highestAccepted.Less(m.PriorBallot) {
		p.highestAccepted, p.value = m.PriorBallot, *m.View
	}
	if len(p.promisedBy) < node.state.View.Quorum() {
		return
	}
	p.accepting = true
	value := p.value
	for _, voter := range node.state.View.Voters {
		node.send(voter, Message{Kind: Accept, ViewNumber: m.ViewNumber, Ballot: p.ballot, View: &value}, false)
	}
}

// handleAccepted counts acceptances. The view is decided once there is a quorum.
func (node *Node) handleAccepted(m Message) {
	p := &node.proposal
	if !node.countsForProposal(m) || !p.accepting {
		return
	}
	p.acceptedBy[m.From.ID] = true
	if len(p.acceptedBy) < node.state.View.Quorum() {
		return
	}
	node.announceDecision(p.value)
	node.installView(p.value)
}

// announceDecision sends the decided view to the members of the current view and of the decided one.
func (node *Node) announceDecision(decided View) {
	receivers := map[string]fleet.Member{}
	for _, m := range append(node.state.View.Members(), decided.Members()...) {
		receivers[m.ID] = m
	}
	delete(receivers, node.self.ID)
	for _, id := range slices.Sorted(maps.Keys(receivers)) {
		node.send(receivers[id], Message{Kind: Decided, ViewNumber: decided.Number, View: &decided}, false)
	}
}

// installView installs a decided view if it is newer than the current one.
func (node *Node) installView(view View) {
	if view.Number <= node.state.View.Number {
		return
	}
	node.highestInstalled = max(node.highestInstalled, view.Number)
	invariant.NotBelow(invariant.ViewNumberMonotonic, view.Number, node.highestInstalled)
	node.state = DurableState{View: view}
	node.proposal.active, node.highestRound = false, 0
	node.changeNeededSince = 0
	node.stateChanged, node.viewInstalled = true, true
}

// votesOn reports whether this node votes on the view with the given number. Only voters of the preceding view do.
func (node *Node) votesOn(number uint64) bool {
	return number == node.state.View.Number+1 && node.state.View.HasVoter(node.self.ID)
}

// countsForProposal reports whether a response was sent by a voter and belongs to this node's active proposal.
func (node *Node) countsForProposal(m Message) bool {
	return node.proposal.active && m.Ballot == node.proposal.ballot &&
		m.ViewNumber == node.state.View.Number+1 && node.state.View.HasVoter(m.From.ID)
}
