package membershipmodel

import (
	"fmt"
	"slices"
)

// violatedInvariant returns the invariant that a state violates, or "".
func (model *reconfigurationModel) violatedInvariant(w *world) string {
	if model.violation != "" {
		return model.violation
	}
	if !model.scope.ExceedsTolerance {
		if violation := model.violatedAvailability(w); violation != "" {
			return violation
		}
	}
	if model.scope.SkipsLiveness {
		return ""
	}
	return model.violatedLiveness(w)
}

// violatedAvailability checks that a quorum of the newest view's voters run, and that one of its synced members does and
// holds everything that was acknowledged.
func (model *reconfigurationModel) violatedAvailability(w *world) string {
	v := w.newest()
	runningVoters, holderRuns := 0, false
	for i := range int(w.started) {
		m := &w.machines[i]
		if m.status != running {
			continue
		}
		if v.voters.has(i) {
			runningVoters++
		}
		synced := v.hasInChain(i) && (!v.unsynced.has(i) || m.syncedView == w.newestView)
		if synced && m.held.startsWith(w.committed) {
			holderRuns = true
		}
	}
	if runningVoters < v.quorum() {
		return fmt.Sprintf("of the voters of view %d (%v) only %d run; counted as lost: %d",
			w.newestView, v, runningVoters, model.countLost(w))
	}
	if !holderRuns {
		return fmt.Sprintf("nobody who runs and is synced in view %d (%v) holds what was acknowledged; counted as lost: %d",
			w.newestView, v, model.countLost(w))
	}
	return ""
}

// countLost counts machines as the promise to tolerate losses does: one that had a fault until it has caught up, also a new
// one; one that is lost or has left until a new one has caught up in its stead and, if it is lost, until it is no voter. A
// machine has caught up when it is a voter in whose chain a commit was seen, and no agreement is under way.
func (model *reconfigurationModel) countLost(w *world) int {
	var (
		faulty           int // Had a fault and have not caught up.
		departedVoters   int // Departed, and a lost identity at the address may still be a voter.
		departed         int // Departed otherwise.
		caughtUpNew      int // At new addresses: may stand for departed ones.
		faultyReplacings int // At new addresses: started for a departed one, and had a fault.
	)
	for i := range int(w.started) {
		m := &w.machines[i]
		switch {
		case m.status == lost && !m.departed: // Another identity has its address.
		case model.isSeed(m) && m.departed && w.hasLostVoterAt(m.address):
			departedVoters++
		case model.isSeed(m) && m.departed:
			departed++
		case model.isSeed(m) && !m.caughtUp:
			faulty++
		case model.isSeed(m):
		case m.caughtUp && !m.departed:
			caughtUpNew++
		case m.hadFault && m.isReplacement:
			faultyReplacings++
		case m.hadFault:
			faulty++
		}
	}
	unreplaced := departedVoters + max(departed-caughtUpNew, 0)
	return faulty + unreplaced + max(faultyReplacings-unreplaced, 0)
}

// hasLostVoterAt reports whether a lost identity at an address may still be a voter.
func (w *world) hasLostVoterAt(address uint8) bool {
	return slices.ContainsFunc(w.machines[:w.started], func(m machine) bool {
		return m.address == address && m.status == lost && !m.votedOut
	})
}

// mayLeave reports whether a machine may exit that knows of some members that they saw a commit in a view. The exit must
// leave what was acknowledged on enough disks, and must not take away a voter that is needed.
func (model *reconfigurationModel) mayLeave(w *world, number uint8, i int, sawCommit idSet) bool {
	v := &w.views[number]
	if v.hasInChain(i) || (v.members()&v.voters&sawCommit).count() <= model.tolerance {
		return false
	}
	hasLearner := v.members()&^v.voters != 0
	if v.voters.count() <= 2*model.tolerance+1 && !hasLearner || model.fault == LeavingMemberExitsAsVoter {
		return true
	}
	for j := range int(w.started) {
		if w.machines[j].address == w.machines[i].address && v.voters.has(j) {
			return false // It, or what it was before it lost its disk.
		}
	}
	return true
}

// normalize does what happens at once: commits where the tail holds a register, answers, and the accounts of who has caught
// up or departed. It clears what can have no effect any more, so that equal states are recognized.
func (model *reconfigurationModel) normalize(w *world) {
	for i := range int(w.started) {
		m := &w.machines[i]
		v := &w.views[m.view]
		isTail := v.length() > 0 && v.position(i) == v.length()-1
		if m.status == running && m.view > 0 && m.isSynced() && isTail {
			model.commit(w, m.view, m.held)
		}
	}
	oldest := w.oldestViewHeld()
	for i := range int(w.started) {
		model.updateAccounts(w, i, oldest)
	}
	for number := range oldest {
		w.views[number] = configuration{}
	}
	w.sortPending(oldest)
}

// commit has the tail of a view acknowledge a register: everything acknowledged before must be in it, and no command twice.
func (model *reconfigurationModel) commit(w *world, number uint8, held register) {
	old := w.committed
	switch {
	case old.startsWith(held) && (number <= w.committedView || held == old):
	case !held.startsWith(old):
		model.violation = fmt.Sprintf("acknowledged were %v; the tail of view %d acknowledges %v", old, number, held)
	default:
		w.committed = held
		if command, twice := held.appliedTwice(); twice {
			model.violation = fmt.Sprintf("command %d is applied twice: %v", command+1, held)
		}
	}
	w.committedView = max(w.committedView, number)
	for i := range w.pending {
		p := &w.pending[i]
		if p.view == number && int(p.sequence) <= held.length() {
			model.answerCommand(w, *p)
			*p = pendingCommand{}
		}
	}
}

// appliedTwice returns a command that is in the register twice, if there is one.
func (r register) appliedTwice() (command int, twice bool) {
	for i, entry := range r[:r.length()] {
		if slices.ContainsFunc(r[:i], func(e uint8) bool { return commandOf(e) == commandOf(entry) }) {
			command, twice = commandOf(entry), true
		}
	}
	return command, twice
}

// answerCommand gives a command its answer, and checks that acknowledged commands are in force, and rejected ones are not
// but what they conflict with is.
func (model *reconfigurationModel) answerCommand(w *world, p pendingCommand) {
	command := int(p.command)
	if p.conflict {
		w.rejected |= 1 << command
	} else {
		w.acknowledged |= 1 << command
	}
	inForce := w.committed.hasCommand(command)
	switch {
	case w.acknowledged&w.rejected != 0 || p.conflict && inForce:
		model.violation = fmt.Sprintf("command %d was taken, and rejected", command+1)
	case p.conflict && !w.committed.hasCommand(rivalOf(command)):
		model.violation = fmt.Sprintf("command %d is rejected for one that is not committed", command+1)
	case !p.conflict && !inForce:
		const rivals = 1<<0 | 1<<1
		model.violation = fmt.Sprintf("command %d is acknowledged and not in force; acknowledged under one version: %02b",
			command+1, w.acknowledged&rivals)
	}
}

// oldestViewHeld returns the number of the oldest view that a machine holds which may still run.
func (w *world) oldestViewHeld() uint8 {
	oldest := w.newestView
	for i := range int(w.started) {
		if m := &w.machines[i]; m.status != lost && m.view > 0 {
			oldest = min(oldest, m.view)
		}
	}
	return oldest
}

// updateAccounts notes whether a machine has caught up, departed, or was voted out.
func (model *reconfigurationModel) updateAccounts(w *world, i int, oldest uint8) {
	m, v := &w.machines[i], w.newest()
	newestCommitted := w.committedView == w.newestView
	switch m.status {
	case running:
		if !m.suspected && newestCommitted && w.proposal.isNone() && v.voters.has(i) && v.hasInChain(i) {
			m.caughtUp, m.hadFault, m.departed = true, false, false
		}
		if m.leaving && newestCommitted && model.mayLeave(w, w.committedView, i, w.syncedAndRunning(w.committedView)) {
			m.departed = true
		}
	case lost:
		if m.view < oldest {
			m.forget()
		}
		if newestCommitted && !v.voters.has(i) {
			m.votedOut = true
		}
	}
}

// forget clears what a lost machine held; only the accounts remain.
func (m *machine) forget() {
	*m = machine{
		status:        lost,
		address:       m.address,
		departed:      m.departed,
		hadFault:      m.hadFault,
		isReplacement: m.isReplacement,
		votedOut:      m.votedOut,
	}
}

func (w *world) syncedAndRunning(number uint8) idSet {
	var set idSet
	for i := range int(w.started) {
		if m := &w.machines[i]; m.status == running && m.syncedView == number {
			set |= 1 << i
		}
	}
	return set
}

// sortPending drops the commands that wait in views that nobody holds any more, and sorts the others.
func (w *world) sortPending(oldest uint8) {
	kept := 0
	for _, p := range w.pending {
		if p.view >= oldest && p.view > 0 {
			w.pending[kept] = p
			kept++
		}
	}
	clear(w.pending[kept:])
	slices.SortFunc(w.pending[:kept], func(a, b pendingCommand) int { return a.sortKey() - b.sortKey() })
}

func (p pendingCommand) sortKey() int {
	const viewWeight, commandWeight = 64, 16
	return int(p.view)*viewWeight + int(p.command)*commandWeight + int(p.sequence)
}
