package membershipmodel

import (
	"fmt"
	"slices"
)

// violatedLiveness checks that the control plane comes to rest when nothing more befalls it: in a committed view that has
// all who run and stay as voters, no voter too many that does not, and nobody waiting to leave who could. It returns why it
// does not, or "".
func (model *reconfigurationModel) violatedLiveness(w *world) string {
	current := *w
	model.path = model.path[:0]
	for {
		model.forgetHistory(&current)
		digest := current.fingerprint()
		if _, known := model.comesToRest[digest]; known {
			break
		}
		if slices.Contains(model.path, digest) { // Nothing changes any more.
			if reason := model.reasonNotAtRest(&current); reason != "" {
				model.violation = ""
				return "left alone, the control plane does not come to rest: " + reason
			}
			break
		}
		model.path = append(model.path, digest)
		model.advance(&current)
		if model.violation != "" {
			return "left alone: " + model.violation
		}
	}
	for _, digest := range model.path {
		model.comesToRest[digest] = struct{}{}
	}
	return ""
}

// reasonNotAtRest says why a state that does not change any more is none to rest in, or "".
func (model *reconfigurationModel) reasonNotAtRest(w *world) string {
	v := w.newest()
	if w.committedView != w.newestView {
		return fmt.Sprintf("nothing is committed in the newest view (%v)", v)
	}
	staying := 0
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status != running || m.leaving {
			continue
		}
		staying++
		if !v.hasInChain(i) || !v.voters.has(i) {
			return fmt.Sprintf("%d runs, and is no member (%v)", i, v)
		}
	}
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status == running && m.leaving && staying >= v.quorum() && staying > model.tolerance {
			return fmt.Sprintf("%d cannot leave (%v)", i, v)
		}
	}
	if voters := v.voters.count(); voters > max(2*model.tolerance+1, staying) {
		return fmt.Sprintf("%d voters, of whom %d run (%v)", voters, staying, v)
	}
	return ""
}

// forgetHistory drops what no longer matters once nothing more befalls the control plane, so that more states are equal.
func (model *reconfigurationModel) forgetHistory(w *world) {
	for i := range w.machines {
		m := &w.machines[i]
		m.suspected = false
		if model.scope.ExceedsTolerance && m.status == stopped && !m.leaving {
			m.status = running // All come back.
		}
	}
	if !w.learnsNewestView() {
		return
	}
	for i := range w.machines {
		if m := &w.machines[i]; m.status == running && m.view < w.newestView {
			model.installView(w, i, w.newestView)
		}
	}
	w.renumberViews()
}

// learnsNewestView reports whether those that run learn of the newest view: one that runs knows it, or so many voters of
// the view before run that they decide or hear of it.
func (w *world) learnsNewestView() bool {
	previous := &w.views[w.newestView-1]
	runningVoters := 0
	for i := range w.machines {
		m := &w.machines[i]
		if m.status != running {
			continue
		}
		if m.view == w.newestView {
			return true
		}
		if previous.voters.has(i) {
			runningVoters++
		}
	}
	return !previous.isNone() && runningVoters >= previous.quorum()
}

// renumberViews makes the newest view number 1, and forgets older ones and counts of the past.
func (w *world) renumberViews() {
	shift := w.newestView - 1
	renumbered := world{
		machines:   w.machines,
		started:    w.started,
		newestView: 1,
		proposal:   w.proposal,
		committed:  w.committed,
	}
	renumbered.views[1] = *w.newest()
	if w.committedView == w.newestView {
		renumbered.committedView = 1
	}
	for i := range renumbered.machines {
		m := &renumbered.machines[i]
		if m.status == lost {
			m.forget()
			continue
		}
		if m.view != w.newestView {
			m.commitsSeen, m.accepted = 0, acceptedNothing
		}
		m.view, m.syncedView = max(m.view, shift)-shift, max(m.syncedView, shift)-shift
	}
	*w = renumbered
}

// advance lets the control plane do what it would do next if nothing befell it.
func (model *reconfigurationModel) advance(w *world) {
	model.normalize(w)
	if !w.proposal.isNone() && w.acceptAndDecide() {
		return
	}
	w.forwardAll()
	model.normalize(w)
	w.announceCommit()
	model.exitLeavers(w)
	if w.hasVotersForQuorum() {
		model.proposeBest(w)
	}
}

// acceptAndDecide has every voter accept the value in force, and reports whether that decides it.
func (w *world) acceptAndDecide() bool {
	for i := range w.machines {
		m := &w.machines[i]
		if m.status == running && w.newest().voters.has(i) && m.view == w.newestView {
			m.accepted = acceptedLive
		}
	}
	return w.decide()
}

// forwardAll forwards the register down the chain of the newest view, as far as its members run.
func (w *world) forwardAll() {
	v := w.newest()
	for position := 1; position < v.length(); position++ {
		from, to := &w.machines[v.at(position-1)], &w.machines[v.at(position)]
		bothRun := from.status == running && to.status == running
		if bothRun && from.view == w.newestView && from.canForwardTo(to) {
			to.held, to.syncedView = from.held, w.newestView
		}
	}
}

// announceCommit has all members hear what the tail of the newest view has committed.
func (w *world) announceCommit() {
	v := w.newest()
	tail := &w.machines[v.at(v.length()-1)]
	if tail.status != running || tail.view != w.newestView || !tail.isSynced() {
		return
	}
	for i := range w.machines {
		if m := &w.machines[i]; m.status == running && m.view == w.newestView {
			m.commitsSeen = uint8(1 + tail.held.length())
		}
	}
}

// exitLeavers has everyone exit who leaves and may.
func (model *reconfigurationModel) exitLeavers(w *world) {
	var sawCommit idSet
	for i := range w.machines {
		if m := &w.machines[i]; m.status == running && m.commitsSeen > 0 {
			sawCommit |= 1 << i
		}
	}
	for i := range w.machines {
		m := &w.machines[i]
		if m.status == running && m.leaving && m.commitsSeen > 0 && model.mayLeave(w, w.newestView, i, sawCommit) {
			m.status, m.commitsSeen, m.caughtUp = stopped, 0, false
		}
	}
}

func (w *world) hasVotersForQuorum() bool {
	runningVoters := 0
	for i := range w.machines {
		if w.machines[i].status == running && w.newest().voters.has(i) {
			runningVoters++
		}
	}
	return runningVoters >= w.newest().quorum()
}

// proposeBest puts the best view that a member may want in force, if it is better than the newest view.
func (model *reconfigurationModel) proposeBest(w *world) {
	v := w.newest()
	best, value := w.score(v), configuration{}
	for i := range w.machines {
		if m := &w.machines[i]; m.status != running || m.view != w.newestView || !v.hasInChain(i) {
			continue
		}
		for _, candidate := range model.candidateViews(w, i) {
			if score := w.score(&candidate); score > best {
				best, value = score, candidate
			}
		}
	}
	if !value.isNone() {
		w.replaceProposal(value)
	}
}

// What a view is worth for its members and voters. Only the order of views by their sums matters.
const (
	scoreChainRunning = 100
	scoreChainLeaving = -10
	scoreChainFailed  = -30
	scoreVoterRunning = 5
	scoreVoterAway    = -3
	scoreVoterLost    = -4
)

// score rates a view: the more that run and stay are in its chain and vote, the better.
func (w *world) score(v *configuration) int {
	members := v.members()
	score := 0
	for i := range int(w.started) {
		m := &w.machines[i]
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
	return scoreVoterAway
}
