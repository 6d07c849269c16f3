package membership

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

// This file is single-decree Paxos among the voters of view n, whose decision is view n+1. The state of the agreement
// starts anew with each installed view.

const (
	// proposalTimeout is how long a proposal may stay without a decision before it is abandoned, and the longest random
	// backoff before the next one.
	proposalTimeout = 500 * time.Millisecond

	// changeConfirmationDelay is how long a change must have been wanted before it is proposed.
	changeConfirmationDelay = 200 * time.Millisecond

	// proposerStagger is how much longer each further member of the chain waits before it proposes, so that members
	// rarely compete.
	proposerStagger = 300 * time.Millisecond
)

// proposal is this node's own proposal for the next view.
type proposal struct {
	active          bool
	startedAt       Time
	ballot          Ballot
	value           View
	highestAccepted Ballot // Highest ballot under which a promising voter had accepted a view; value is that view.
	accepting       bool   // In phase 2.
	promisedBy      map[string]bool
	acceptedBy      map[string]bool
}

// ConfirmsLatestView reports whether this node is a voter and knows of no view after the given one that may have been
// decided. As each decision takes a quorum, a quorum of such answers shows that there was no later view when the first
// of them was given.
func (node *Node) ConfirmsLatestView(number uint64) bool {
	return node.state.View.Number == number && node.state.AcceptedView == nil && node.state.View.HasVoter(node.self.ID)
}

// proposeIfNeeded begins a proposal once a change has been wanted for long enough.
func (node *Node) proposeIfNeeded(now Time) {
	value, wanted := node.valueToPropose(now)
	if !wanted {
		node.changeWantedSince = 0
		return
	}
	if node.changeWantedSince == 0 {
		node.changeWantedSince = now
	}
	wantedFor := now - node.changeWantedSince
	if node.proposal.active || now < node.backoffUntil || wantedFor < node.proposalDelay(value) {
		return
	}
	node.beginProposal(now, value)
}

// valueToPropose returns the view to propose, if there is one.
func (node *Node) valueToPropose(now Time) (View, bool) {
	if next, ok := node.nextView(now); ok {
		return next, true
	}
	// A view that was accepted here may have been decided, though its proposer may have failed: no voter that knows of
	// it confirms the present view, and no linearizable read can be answered, until that agreement is finished
	// (docs/design/control-plane.md, rule 10).
	if node.state.AcceptedView != nil && node.HasQuorumContact(now) && !node.diskUnhealthy {
		return *node.state.AcceptedView, true
	}
	return View{}, false
}

// proposalDelay returns how long a change must have been wanted before this node proposes it.
func (node *Node) proposalDelay(value View) Time {
	rank := value.Position(node.self.ID)
	if rank < 0 {
		rank = len(value.Chain)
	}
	return changeConfirmationDelay + Time(rank)*proposerStagger
}

// beginProposal starts phase 1 under a ballot higher than any that this node has seen.
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

// abandonStaleProposal gives up a proposal that was not decided in time, and backs off.
func (node *Node) abandonStaleProposal(now Time) {
	if node.proposal.active && now-node.proposal.startedAt > proposalTimeout {
		node.abandonProposal(now, proposalTimeout)
	}
}

// abandonProposal gives up the proposal; no other is begun for a random time up to maxBackoff.
func (node *Node) abandonProposal(now, maxBackoff Time) {
	node.proposal.active = false
	node.backoffUntil = now + Time(node.random()*float64(maxBackoff))
}

// handlePrepare answers phase 1a. The view that the proposal builds on is decided, so it is installed first if it is newer.
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

// handleAccept answers phase 2a.
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

// handleReject abandons the proposal and learns the ballot that it has to exceed.
func (node *Node) handleReject(now Time, m Message) {
	if !node.proposal.active || m.Ballot != node.proposal.ballot {
		return
	}
	node.highestRound = max(node.highestRound, m.PriorBallot.Round)
	node.abandonProposal(now, proposalTimeout/2)
}

// handlePromise counts promises; a quorum of them begins phase 2. A view that a promising voter has accepted before
// replaces the proposed value, that of the highest ballot first: it may have been decided.
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

// handleAccepted counts acceptances; a quorum of them decides the view.
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

// announceDecision tells a decided view to the members of the present view and of that one.
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

// installView makes a decided view the present one, if it is newer.
func (node *Node) installView(view View) {
	if view.Number <= node.state.View.Number {
		return
	}
	node.highestInstalled = max(node.highestInstalled, view.Number)
	invariant.NotBelow(invariant.ViewNumberMonotonic, view.Number, node.highestInstalled)
	node.state = DurableState{View: view}
	node.proposal.active, node.highestRound = false, 0
	node.changeWantedSince = 0
	node.stateChanged, node.viewInstalled = true, true
}

// votesOn reports whether this node votes in the agreement on the numbered view: only the voters of the view before do.
func (node *Node) votesOn(number uint64) bool {
	return number == node.state.View.Number+1 && node.state.View.HasVoter(node.self.ID)
}

// countsForProposal reports whether an answer is a voter's to this node's present proposal.
func (node *Node) countsForProposal(m Message) bool {
	return node.proposal.active && m.Ballot == node.proposal.ballot &&
		m.ViewNumber == node.state.View.Number+1 && node.state.View.HasVoter(m.From.ID)
}
