package membershipmodel

import "slices"

// expandProposals emits the steps in which a machine proposes a view. A proposal in progress can be replaced only while a quorum
// can promise that it has not accepted it.
func (model *reconfigurationModel) expandProposals(cs *clusterState, i int) {
	m := &cs.machines[i]
	v := cs.newest()
	if m.view != cs.newestView || !v.hasInChain(i) || int(cs.newestView) > model.scope.Views {
		return
	}
	supersedes := !cs.proposal.isNone()
	if supersedes && int(cs.superseded) >= model.scope.SupersededProposals || cs.countPromises() < v.quorum() {
		return
	}
	for _, candidate := range slices.Clone(model.candidateViews(cs, i)) {
		if candidate == cs.proposal {
			continue
		}
		next := *cs
		if supersedes {
			next.superseded++
		}
		next.replaceProposal(candidate)
		model.emitNormalized(&next, newStep("%d proposes view %d", i, int(cs.newestView)+1))
	}
}

// countPromises returns the number of voters that can promise that they have not accepted the current proposal.
func (cs *clusterState) countPromises() int {
	count := 0
	for i := range int(cs.started) {
		m := &cs.machines[i]
		if cs.newest().voters.has(i) && m.status == running && !cs.hasAccepted(i) {
			count++
		}
	}
	return count
}

// hasAccepted reports whether a machine has accepted the current proposal.
func (cs *clusterState) hasAccepted(i int) bool {
	m := &cs.machines[i]
	return m.view == cs.newestView && m.accepted == acceptedCurrent
}

func (cs *clusterState) replaceProposal(value configuration) {
	cs.proposal = value
	for i := range cs.machines {
		if cs.hasAccepted(i) {
			cs.machines[i].accepted = acceptedSuperseded
		}
	}
}

// expandVotes emits the step in which a voter accepts the current proposal. The last vote of a quorum decides it.
func (model *reconfigurationModel) expandVotes(cs *clusterState, i int) {
	if cs.proposal.isNone() || !cs.newest().voters.has(i) || cs.hasAccepted(i) {
		return
	}
	next := *cs
	if cs.machines[i].view < cs.newestView {
		model.installView(&next, i, cs.newestView)
	}
	next.machines[i].accepted = acceptedCurrent
	next.decide()
	model.emitNormalized(&next, newStep("%d accepts view %d", i, int(cs.newestView)+1))
}

// decide makes the current proposal the newest view if a quorum has accepted it, and reports whether it did.
func (cs *clusterState) decide() bool {
	accepted := 0
	for i := range int(cs.started) {
		if cs.newest().voters.has(i) && cs.hasAccepted(i) {
			accepted++
		}
	}
	if accepted < cs.newest().quorum() {
		return false
	}
	cs.newestView++
	cs.views[cs.newestView], cs.proposal, cs.superseded = cs.proposal, configuration{}, 0
	return true
}
