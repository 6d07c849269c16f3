package membershipmodel

import (
	"fmt"
	"slices"
)

// violatedInvariant returns the invariant that a state violates, or "".
func (model *reconfigurationModel) violatedInvariant(cs *clusterState) string {
	if model.violation != "" {
		return model.violation
	}
	if !model.scope.ExceedsTolerance {
		if violation := model.violatedAvailability(cs); violation != "" {
			return violation
		}
	}
	if model.scope.SkipsLiveness {
		return ""
	}
	return model.violatedLiveness(cs)
}

// violatedAvailability checks that a quorum of the newest view's voters is running and that a running synced member holds all
// acknowledged commands.
func (model *reconfigurationModel) violatedAvailability(cs *clusterState) string {
	v := cs.newest()
	runningVoters, holderRuns := 0, false
	for i := range int(cs.started) {
		m := &cs.machines[i]
		if m.status != running {
			continue
		}
		if v.voters.has(i) {
			runningVoters++
		}
		synced := v.hasInChain(i) && (!v.unsynced.has(i) || m.syncedView == cs.newestView)
		if synced && m.register.startsWith(cs.committed) {
			holderRuns = true
		}
	}
	if runningVoters < v.quorum() {
		return fmt.Sprintf("view %d (%v) has only %d running voters; machines counted as lost: %d",
			cs.newestView, v, runningVoters, model.countLost(cs))
	}
	if !holderRuns {
		return fmt.Sprintf("no running synced member of view %d (%v) holds all acknowledged commands; machines counted as lost: %d",
			cs.newestView, v, model.countLost(cs))
	}
	return ""
}

// countLost returns the number of machines that count as lost with respect to the tolerance: a machine with a fault until it has
// caught up, and a lost or departed machine until its replacement has caught up and, if it is lost, it is no longer a voter. A
// machine has caught up when it is a voter in the chain of a committed view and no agreement is in progress.
func (model *reconfigurationModel) countLost(cs *clusterState) int {
	var (
		faulty             int // With a fault, and not caught up.
		departedVoters     int // Departed; a lost identity at the address may still be a voter.
		departed           int // Other departed machines.
		caughtUpNew        int // At new addresses; can replace departed machines.
		faultyReplacements int // At new addresses; started as replacements, and had a fault.
	)
	for i := range int(cs.started) {
		m := &cs.machines[i]
		switch {
		case m.status == lost && !m.departed: // Another identity with its address counts.
		case model.isSeed(m) && m.departed && cs.hasLostVoterAt(m.address):
			departedVoters++
		case model.isSeed(m) && m.departed:
			departed++
		case model.isSeed(m) && !m.caughtUp:
			faulty++
		case model.isSeed(m):
		case m.caughtUp && !m.departed:
			caughtUpNew++
		case m.hadFault && m.isReplacement:
			faultyReplacements++
		case m.hadFault:
			faulty++
		}
	}
	unreplaced := departedVoters + max(departed-caughtUpNew, 0)
	return faulty + unreplaced + max(faultyReplacements-unreplaced, 0)
}

// hasLostVoterAt reports whether a lost identity at an address may still be a voter.
func (cs *clusterState) hasLostVoterAt(address uint8) bool {
	return slices.ContainsFunc(cs.machines[:cs.started], func(m machine) bool {
		return m.address == address && m.status == lost && !m.removedAsVoter
	})
}

// mayLeave reports whether a machine may exit, given the members that have seen a commit in the view. Enough disks must hold the
// acknowledged commands, and the machine must not be a voter that can be replaced or removed.
func (model *reconfigurationModel) mayLeave(cs *clusterState, number uint8, i int, sawCommit idSet) bool {
	v := &cs.views[number]
	if v.hasInChain(i) || (v.members()&v.voters&sawCommit).count() <= model.tolerance {
		return false
	}
	hasLearner := v.members()&^v.voters != 0
	if v.voters.count() <= 2*model.tolerance+1 && !hasLearner || model.fault == LeavingMemberExitsAsVoter {
		return true
	}
	for j := range int(cs.started) {
		if cs.machines[j].address == cs.machines[i].address && v.voters.has(j) {
			return false // This machine, or its identity before a disk loss, is a voter.
		}
	}
	return true
}

// normalize applies what follows immediately from a state: commits by the tail, answers, and the machines' flags. It clears what
// can no longer have an effect, so that equivalent states become equal.
func (model *reconfigurationModel) normalize(cs *clusterState) {
	for i := range int(cs.started) {
		m := &cs.machines[i]
		v := &cs.views[m.view]
		isTail := v.length() > 0 && v.position(i) == v.length()-1
		if m.status == running && m.view > 0 && m.isSynced() && isTail {
			model.commit(cs, m.view, m.register)
		}
	}
	oldest := cs.oldestView()
	for i := range int(cs.started) {
		model.updateFlags(cs, i, oldest)
	}
	for number := range oldest {
		cs.views[number] = configuration{}
	}
	cs.sortPending(oldest)
}

// commit lets the tail of a view acknowledge a register, which must include everything acknowledged before and no command twice.
func (model *reconfigurationModel) commit(cs *clusterState, number uint8, acknowledged register) {
	old := cs.committed
	switch {
	case old.startsWith(acknowledged) && (number <= cs.committedView || acknowledged == old):
	case !acknowledged.startsWith(old):
		model.violation = fmt.Sprintf("register %v was acknowledged; the tail of view %d acknowledges %v", old, number, acknowledged)
	default:
		cs.committed = acknowledged
		if command, twice := acknowledged.appliedTwice(); twice {
			model.violation = fmt.Sprintf("command %d is applied twice: %v", command+1, acknowledged)
		}
	}
	cs.committedView = max(cs.committedView, number)
	for i := range cs.pending {
		p := &cs.pending[i]
		if p.view == number && int(p.sequence) <= acknowledged.length() {
			model.answerCommand(cs, *p)
			*p = pendingCommand{}
		}
	}
}

// appliedTwice returns a command that occurs in the register twice, if any.
func (r register) appliedTwice() (command int, twice bool) {
	for i, entry := range r[:r.length()] {
		if slices.ContainsFunc(r[:i], func(e uint8) bool { return commandOf(e) == commandOf(entry) }) {
			command, twice = commandOf(entry), true
		}
	}
	return command, twice
}

// answerCommand answers a command and checks that an acknowledged command is committed, and that a rejected one is not while the
// conflicting command is.
func (model *reconfigurationModel) answerCommand(cs *clusterState, p pendingCommand) {
	command := int(p.command)
	if p.conflict {
		cs.rejected |= 1 << command
	} else {
		cs.acknowledged |= 1 << command
	}
	isCommitted := cs.committed.hasCommand(command)
	switch {
	case cs.acknowledged&cs.rejected != 0 || p.conflict && isCommitted:
		model.violation = fmt.Sprintf("command %d was both applied and rejected", command+1)
	case p.conflict && !cs.committed.hasCommand(conflictingCommand(command)):
		model.violation = fmt.Sprintf("command %d is rejected for a conflict with a command that is not committed", command+1)
	case !p.conflict && !isCommitted:
		const conflicting = 1<<0 | 1<<1
		model.violation = fmt.Sprintf("command %d is acknowledged but not committed; commands acknowledged for the same version: %02b",
			command+1, cs.acknowledged&conflicting)
	}
}

// oldestView returns the number of the oldest view among the machines that are not lost.
func (cs *clusterState) oldestView() uint8 {
	oldest := cs.newestView
	for i := range int(cs.started) {
		if m := &cs.machines[i]; m.status != lost && m.view > 0 {
			oldest = min(oldest, m.view)
		}
	}
	return oldest
}

// updateFlags records whether a machine has caught up, departed, or was removed as a voter.
func (model *reconfigurationModel) updateFlags(cs *clusterState, i int, oldest uint8) {
	m, v := &cs.machines[i], cs.newest()
	newestCommitted := cs.committedView == cs.newestView
	switch m.status {
	case running:
		if !m.suspected && newestCommitted && cs.proposal.isNone() && v.voters.has(i) && v.hasInChain(i) {
			m.caughtUp, m.hadFault, m.departed = true, false, false
		}
		if m.leaving && newestCommitted && model.mayLeave(cs, cs.committedView, i, cs.syncedAndRunning(cs.committedView)) {
			m.departed = true
		}
	case lost:
		if m.view < oldest {
			m.clearState()
		}
		if newestCommitted && !v.voters.has(i) {
			m.removedAsVoter = true
		}
	}
}

// clearState clears the state of a lost machine except for what countLost needs.
func (m *machine) clearState() {
	*m = machine{
		status:         lost,
		address:        m.address,
		departed:       m.departed,
		hadFault:       m.hadFault,
		isReplacement:  m.isReplacement,
		removedAsVoter: m.removedAsVoter,
	}
}

func (cs *clusterState) syncedAndRunning(number uint8) idSet {
	var set idSet
	for i := range int(cs.started) {
		if m := &cs.machines[i]; m.status == running && m.syncedView == number {
			set |= 1 << i
		}
	}
	return set
}

// sortPending drops the pending commands of views older than oldest, and sorts the others.
func (cs *clusterState) sortPending(oldest uint8) {
	kept := 0
	for _, p := range cs.pending {
		if p.view >= oldest && p.view > 0 {
			cs.pending[kept] = p
			kept++
		}
	}
	clear(cs.pending[kept:])
	slices.SortFunc(cs.pending[:kept], func(a, b pendingCommand) int { return a.sortKey() - b.sortKey() })
}

func (p pendingCommand) sortKey() int {
	const viewWeight, commandWeight = 64, 16
	return int(p.view)*viewWeight + int(p.command)*commandWeight + int(p.sequence)
}
