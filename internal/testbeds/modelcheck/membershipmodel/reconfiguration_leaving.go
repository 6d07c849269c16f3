package membershipmodel

// expandConfirmations has others tell a leaving machine that they saw a commit in its view and know of no later one.
func (model *reconfigurationModel) expandConfirmations(w *world, leaver int) {
	m := &w.machines[leaver]
	if m.view == 0 {
		return
	}
	v := &w.views[m.view]
	for i := range int(w.started) {
		other := &w.machines[i]
		sawCommit := other.status == running && other.view == m.view && other.commitsSeen > 0
		if i == leaver || !sawCommit || m.confirmedBy.has(i) || !v.hasInChain(i) || !v.voters.has(i) {
			continue
		}
		if other.accepted != acceptedNothing && model.fault != LeavingMemberIgnoresNewerView {
			continue
		}
		next := *w
		next.machines[leaver].confirmedBy |= 1 << i
		model.emitNormalized(&next, newStep("%d tells %d that view %d has a commit, and that it knows of no later view", i, leaver, int(m.view)))
	}
}

// expandExit has a leaving machine exit.
func (model *reconfigurationModel) expandExit(w *world, i int) {
	m := &w.machines[i]
	confirmedBy := m.confirmedBy
	if model.fault == LeavingMemberTrustsTail && m.commitsSeen > 0 {
		confirmedBy = w.views[m.view].members()
	}
	knowsNoLaterView := m.accepted == acceptedNothing || model.fault == LeavingMemberIgnoresNewerView
	mayExit := m.view > 0 && knowsNoLaterView && model.mayLeave(w, m.view, i, confirmedBy)
	if !mayExit && model.fault != LeavingMemberExitsImmediately {
		return
	}
	next := *w
	next.stop(i, stopped)
	model.emitNormalized(&next, newStep("%d has left", i))
}
