package membershipmodel

import (
	"fmt"
	"slices"
)

// violatedLiveness checks that without further faults the control plane converges to a committed view in which all running
// machines that are not leaving are voters, there are no superfluous voters, and no machine is left waiting to exit. It returns
// the reason if it does not converge, or "".
func (model *reconfigurationModel) violatedLiveness(cs *clusterState) string {
	current := *cs
	model.path = model.path[:0]
	for {
		model.discardHistory(&current)
		digest := current.fingerprint()
		if _, known := model.convergent[digest]; known {
			break
		}
		if slices.Contains(model.path, digest) { // A fixed point.
			if reason := model.reasonNotConverged(&current); reason != "" {
				model.violation = ""
				return "without further faults the control plane does not converge: " + reason
			}
			break
		}
		model.path = append(model.path, digest)
		model.advance(&current)
		if model.violation != "" {
			return "without further faults: " + model.violation
		}
	}
	for _, digest := range model.path {
		model.convergent[digest] = struct{}{}
	}
	return ""
}

// reasonNotConverged returns why a fixed point is not a converged state, or "".
func (model *reconfigurationModel) reasonNotConverged(cs *clusterState) string {
	v := cs.newest()
	if cs.committedView != cs.newestView {
		return fmt.Sprintf("nothing is committed in the newest view (%v)", v)
	}
	staying := 0
	for i := range int(cs.started) {
		m := &cs.machines[i]
		if m.status != running || m.leaving {
			continue
		}
		staying++
		if !v.hasInChain(i) || !v.voters.has(i) {
			return fmt.Sprintf("%d is running but not a member (%v)", i, v)
		}
	}
	for i := range int(cs.started) {
		m := &cs.machines[i]
		if m.status == running && m.leaving && staying >= v.quorum() && staying > model.tolerance {
			return fmt.Sprintf("%d cannot leave (%v)", i, v)
		}
	}
	if voters := v.voters.count(); voters > max(2*model.tolerance+1, staying) {
		return fmt.Sprintf("%d voters for %d running machines that are not leaving (%v)", voters, staying, v)
	}
	return ""
}

// discardHistory clears what has no effect without further faults, so that more states become equal.
func (model *reconfigurationModel) discardHistory(cs *clusterState) {
	for i := range cs.machines {
		m := &cs.machines[i]
		m.suspected = false
		if model.scope.ExceedsTolerance && m.status == stopped && !m.leaving {
			m.status = running // With ExceedsTolerance, all stopped machines restart.
		}
	}
	if !cs.learnsNewestView() {
		return
	}
	for i := range cs.machines {
		if m := &cs.machines[i]; m.status == running && m.view < cs.newestView {
			model.installView(cs, i, cs.newestView)
		}
	}
	cs.renumberViews()
}

// learnsNewestView reports whether the running machines will learn the newest view: one of them knows it, or a quorum of the
// previous view's voters is running.
func (cs *clusterState) learnsNewestView() bool {
	previous := &cs.views[cs.newestView-1]
	runningVoters := 0
	for i := range cs.machines {
		m := &cs.machines[i]
		if m.status != running {
			continue
		}
		if m.view == cs.newestView {
			return true
		}
		if previous.voters.has(i) {
			runningVoters++
		}
	}
	return !previous.isNone() && runningVoters >= previous.quorum()
}

// renumberViews renumbers the newest view to 1 and discards older views and the counts of past events.
func (cs *clusterState) renumberViews() {
	shift := cs.newestView - 1
	renumbered := clusterState{
		machines:   cs.machines,
		started:    cs.started,
		newestView: 1,
		proposal:   cs.proposal,
		committed:  cs.committed,
	}
	renumbered.views[1] = *cs.newest()
	if cs.committedView == cs.newestView {
		renumbered.committedView = 1
	}
	for i := range renumbered.machines {
		m := &renumbered.machines[i]
		if m.status == lost {
			m.clearState()
			continue
		}
		if m.view != cs.newestView {
			m.commitsSeen, m.accepted = 0, acceptedNothing
		}
		m.view, m.syncedView = max(m.view, shift)-shift, max(m.syncedView, shift)-shift
	}
	*cs = renumbered
}

// advance performs the next steps of the control plane without faults.
func (model *reconfigurationModel) advance(cs *clusterState) {
	model.normalize(cs)
	if !cs.proposal.isNone() && cs.acceptAndDecide() {
		return
	}
	cs.forwardAll()
	model.normalize(cs)
	cs.announceCommit()
	model.exitLeavingMachines(cs)
	if cs.hasVotersForQuorum() {
		model.proposeBest(cs)
	}
}

// acceptAndDecide lets every running voter accept the current proposal and reports whether that decides it.
func (cs *clusterState) acceptAndDecide() bool {
	for i := range cs.machines {
		m := &cs.machines[i]
		if m.status == running && cs.newest().voters.has(i) && m.view == cs.newestView {
			m.accepted = acceptedCurrent
		}
	}
	return cs.decide()
}

// forwardAll forwards the register along the chain of the newest view between running members.
func (cs *clusterState) forwardAll() {
	v := cs.newest()
	for position := 1; position < v.length(); position++ {
		from, to := &cs.machines[v.at(position-1)], &cs.machines[v.at(position)]
		bothRun := from.status == running && to.status == running
		if bothRun && from.view == cs.newestView && from.canForwardTo(to) {
			to.register, to.syncedView = from.register, cs.newestView
		}
	}
}

// announceCommit lets all machines in the newest view learn what its tail has committed.
func (cs *clusterState) announceCommit() {
	v := cs.newest()
	tail := &cs.machines[v.at(v.length()-1)]
	if tail.status != running || tail.view != cs.newestView || !tail.isSynced() {
		return
	}
	for i := range cs.machines {
		if m := &cs.machines[i]; m.status == running && m.view == cs.newestView {
			m.commitsSeen = uint8(1 + tail.register.length())
		}
	}
}

// exitLeavingMachines stops all leaving machines that may exit.
func (model *reconfigurationModel) exitLeavingMachines(cs *clusterState) {
	var sawCommit idSet
	for i := range cs.machines {
		if m := &cs.machines[i]; m.status == running && m.commitsSeen > 0 {
			sawCommit |= 1 << i
		}
	}
	for i := range cs.machines {
		m := &cs.machines[i]
		if m.status == running && m.leaving && m.commitsSeen > 0 && model.mayLeave(cs, cs.newestView, i, sawCommit) {
			m.status, m.commitsSeen, m.caughtUp = stopped, 0, false
		}
	}
}

func (cs *clusterState) hasVotersForQuorum() bool {
	runningVoters := 0
	for i := range cs.machines {
		if cs.machines[i].status == running && cs.newest().voters.has(i) {
			runningVoters++
		}
	}
	return runningVoters >= cs.newest().quorum()
}

// proposeBest proposes the candidate view with the highest score if it is better than the newest view.
func (model *reconfigurationModel) proposeBest(cs *clusterState) {
	v := cs.newest()
	best, value := cs.score(v), configuration{}
	for i := range cs.machines {
		if m := &cs.machines[i]; m.status != running || m.view != cs.newestView || !v.hasInChain(i) {
			continue
		}
		for _, candidate := range model.candidateViews(cs, i) {
			if score := cs.score(&candidate); score > best {
				best, value = score, candidate
			}
		}
	}
	if !value.isNone() {
		cs.replaceProposal(value)
	}
}

// Scores of the members and voters of a view. Only the order of the views by their total matters.
const (
	scoreChainRunning     = 100
	scoreChainLeaving     = -10
	scoreChainFailed      = -30
	scoreVoterRunning     = 5
	scoreVoterUnavailable = -3
	scoreVoterLost        = -4
)

// score rates a view by how many healthy machines are in its chain and among its voters.
func (cs *clusterState) score(v *configuration) int {
	members := v.members()
	score := 0
	for i := range int(cs.started) {
		m := &cs.machines[i]
		if members.has(i) {
			score += m.scoreInChain()
		}
		if v.voters.has(i) {
			score += m.scoreAsVoter()
		}
	}
	return score
}

func (m *machine) scoreInChain() int {
	switch {
	case m.status != running:
		return scoreChainFailed
	case m.leaving:
		return scoreChainLeaving
	}
	return scoreChainRunning
}

func (m *machine) scoreAsVoter() int {
	switch {
	case m.status == running && !m.leaving:
		return scoreVoterRunning
	case m.status == lost:
		return scoreVoterLost
	}
	return scoreVoterUnavailable
}
