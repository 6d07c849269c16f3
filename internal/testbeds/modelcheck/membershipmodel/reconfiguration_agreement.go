package membershipmodel

import "slices"

// expandProposals puts a value in the place of the one in force, where a quorum can promise that it has not accepted that.
func (model *reconfigurationModel) expandProposals(w *world, i int) {
	m := &w.machines[i]
	v := w.newest()
	if m.view != w.newestView || !v.hasInChain(i) || int(w.newestView) > model.scope.Views {
		return
	}
	supersedes := !w.proposal.isNone()
	if supersedes && int(w.superseded) >= model.scope.SupersededProposals || w.countPromises() < v.quorum() {
		return
	}
	for _, candidate := range slices.Clone(model.candidateViews(w, i)) {
		if candidate == w.proposal {
			continue
		}
		next := *w
		if supersedes {
			next.superseded++
		}
		next.replaceProposal(candidate)
		model.emitNormalized(&next, newStep("%d proposes view %d", i, int(w.newestView)+1))
	}
}

// countPromises returns how many voters can promise that they have not accepted the value in force.
func (w *world) countPromises() int {
	count := 0
	for i := range int(w.started) {
		m := &w.machines[i]
		if w.newest().voters.has(i) && m.status == running && !w.hasAccepted(i) {
			count++
		}
	}
	return count
}

// hasAccepted reports whether a machine has accepted the value in force.
func (w *world) hasAccepted(i int) bool {
	m := &w.machines[i]
	return m.view == w.newestView && m.accepted == acceptedLive
}

func (w *world) replaceProposal(value configuration) {
	w.proposal = value
	for i := range w.machines {
		if w.hasAccepted(i) {
			w.machines[i].accepted = acceptedSuperseded
		}
	}
}

// expandVotes has a voter accept the value in force; the last of a quorum decides it.
func (model *reconfigurationModel) expandVotes(w *world, i int) {
	if w.proposal.isNone() || !w.newest().voters.has(i) || w.hasAccepted(i) {
		return
	}
	next := *w
	if w.machines[i].view < w.newestView {
		model.installView(&next, i, w.newestView)
	}
	next.machines[i].accepted = acceptedLive
	next.decide()
	model.emitNormalized(&next, newStep("%d accepts view %d", i, int(w.newestView)+1))
}

// decide makes the value in force the newest view if a quorum has accepted it, and reports whether it has.
func (w *world) decide() bool {
	accepted := 0
	for i := range int(w.started) {
		if w.newest().voters.has(i) && w.hasAccepted(i) {
			accepted++
		}
	}
	if accepted < w.newest().quorum() {
		return false
	}
	w.newestView++
	w.views[w.newestView], w.proposal, w.superseded = w.proposal, configuration{}, 0
	return true
}
