package membershipmodel

// expandConfirmations emits the steps in which a member confirms to a leaving machine that it has seen a commit in the machine's
// view and knows of no later view.
func (model *reconfigurationModel) expandConfirmations(cs *clusterState, leaving int) {
	m := &cs.machines[leaving]
	if m.view == 0 {
		return
	}
	v := &cs.views[m.view]
	for i := range int(cs.started) {
		other := &cs.machines[i]
		sawCommit := other.status == running && other.view == m.view && other.commitsSeen > 0
		if i == leaving || !sawCommit || m.confirmedBy.has(i) || !v.hasInChain(i) || !v.voters.has(i) {
			continue
		}
		if other.accepted != acceptedNothing && model.fault != LeavingMemberIgnoresNewerView {
			continue
		}
		next := *cs
		next.machines[leaving].confirmedBy |= 1 << i
		model.emitNormalized(&next, newStep("%d confirms to %d that view %d has a commit and is the latest it knows", i, leaving, int(m.view)))
	}
}

// expandExit emits the exit of a leaving machine.
func (model *reconfigurationModel) expandExit(cs *clusterState, i int) {
	m := &cs.machines[i]
	confirmedBy := m.confirmedBy
	if model.fault == LeavingMemberTrustsTail && m.commitsSeen > 0 {
		confirmedBy = cs.views[m.view].members()
	}
	knowsNoLaterView := m.accepted == acceptedNothing || model.fault == LeavingMemberIgnoresNewerView
	mayExit := m.view > 0 && knowsNoLaterView && model.mayLeave(cs, m.view, i, confirmedBy)
	if !mayExit && model.fault != LeavingMemberExitsImmediately {
		return
	}
	next := *cs
	next.stop(i, stopped)
	model.emitNormalized(&next, newStep("%d exits", i))
}
