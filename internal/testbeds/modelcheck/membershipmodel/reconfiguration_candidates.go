package membershipmodel

// noJoiner is the identity for no joiner.
const noJoiner = -1

// candidateSearch collects the views that a member may propose after the newest one. Failure detection is modeled by the
// machines' faults.
//
// It specifies rules 3 and 6 of docs/design/control-plane.md independently of membership.Node and less restrictively: as there
// are no clocks, any subset of the machines that seem to have failed can be dropped at any time.
type candidateSearch struct {
	model         *reconfigurationModel
	state         *clusterState
	current       *configuration
	viewCommitted bool // The member has seen a commit in the newest view.
	candidates    []configuration
}

// candidateViews lists the views that a member may propose. The result is valid until the next call.
func (model *reconfigurationModel) candidateViews(cs *clusterState, member int) []configuration {
	search := candidateSearch{
		model:         model,
		state:         cs,
		current:       cs.newest(),
		viewCommitted: cs.machines[member].commitsSeen > 0,
		candidates:    model.candidates[:0],
	}
	droppable := search.droppable(member)
	search.tryDropping(droppable, noJoiner)
	for joiner := range int(cs.started) {
		if search.mayJoin(joiner) {
			search.tryDropping(droppable, joiner)
		}
	}
	model.candidates = search.candidates
	return search.candidates
}

// droppable returns the chain members that may be dropped: those that are not healthy, but the proposing member itself only if
// it is leaving.
func (search *candidateSearch) droppable(member int) idSet {
	var set idSet
	for position := range search.current.length() {
		i := search.current.at(position)
		if !search.isHealthy(i) && (i != member || search.state.machines[i].leaving) {
			set |= 1 << i
		}
	}
	return set
}

// isHealthy reports whether a machine is reachable and not leaving.
func (search *candidateSearch) isHealthy(i int) bool {
	return search.state.machines[i].isReachable() && !search.state.machines[i].leaving
}

func (m *machine) isReachable() bool { return m.status == running && !m.suspected }

// mayJoin reports whether a machine may be appended to the chain. A leaving machine is readmitted only if it is a voter that is
// needed. After a view without a commit, only voters may join, and only if the chain would otherwise be too short.
func (search *candidateSearch) mayJoin(i int) bool {
	m, isVoter := &search.state.machines[i], search.current.voters.has(i)
	if search.current.hasInChain(i) || !m.isReachable() {
		return false
	}
	if m.leaving && (!isVoter || search.model.fault == LeavingMemberNotReadmitted || !search.needsLeavingVoters()) {
		return false
	}
	if search.viewCommitted || search.model.fault == JoinBeforeCommit {
		return true
	}
	return isVoter && search.countReachableVotersInChain() < search.current.quorum()
}

func (search *candidateSearch) countReachableVotersInChain() int {
	count := 0
	for i := range int(search.state.started) {
		if search.current.voters.has(i) && search.current.hasInChain(i) && search.state.machines[i].isReachable() {
			count++
		}
	}
	return count
}

// needsLeavingVoters reports whether the healthy voters are fewer than a quorum.
func (search *candidateSearch) needsLeavingVoters() bool {
	staying := 0
	for i := range int(search.state.started) {
		if search.current.voters.has(i) && search.isHealthy(i) {
			staying++
		}
	}
	return staying < search.current.quorum()
}

// tryDropping adds the views in which none, all or a single one of the droppable members are dropped.
func (search *candidateSearch) tryDropping(droppable idSet, joiner int) {
	search.tryChain(0, joiner)
	if droppable.count() > 1 {
		search.tryChain(droppable, joiner)
	}
	for i := range int(search.state.started) {
		if droppable.has(i) {
			search.tryChain(1<<i, joiner)
		}
	}
}

// tryChain adds the views whose chain is the current one without the dropped members and with the joiner.
func (search *candidateSearch) tryChain(dropped idSet, joiner int) {
	next := search.nextChain(dropped, joiner)
	if next.length() == 0 || next.unsynced.has(next.at(0)) {
		return // No remaining member is certain to hold all acknowledged commands.
	}
	if search.dropsLeavingMemberEarly(&next, dropped) && search.model.fault != LeavingMemberDroppedEarly {
		return
	}
	search.add(next, search.current.voters)
	joinsUnsynced := search.joinsUnsynced(joiner)
	if !search.viewCommitted && !joinsUnsynced {
		return
	}
	absent := search.absentVoters(&next, joinsUnsynced)
	for i := range int(search.state.started) {
		if search.mayBecomeVoter(&next, i, joiner, joinsUnsynced) {
			search.tryNewVoter(next, i, absent, joinsUnsynced)
		}
	}
	if search.viewCommitted {
		search.tryFewerVoters(next, absent)
	}
}

// nextChain returns the current view with the changed chain and set of unsynced members.
func (search *candidateSearch) nextChain(dropped idSet, joiner int) configuration {
	current, machines := search.current, &search.state.machines
	next := configuration{voters: current.voters}
	length := 0
	for position := range current.length() {
		i := current.at(position)
		if joiner != noJoiner && machines[joiner].address == machines[i].address {
			continue // Replaced by the joiner, which is the same machine with another identity.
		}
		if !dropped.has(i) {
			next.chain[length] = current.chain[position]
			length++
		}
	}
	if !search.viewCommitted {
		next.unsynced = current.unsynced & next.members()
	}
	switch {
	case joiner == noJoiner:
	case search.model.fault == ReturningMemberBecomesHead && current.voters.has(joiner):
		copy(next.chain[1:], next.chain[:length])
		next.chain[0] = uint8(joiner + 1)
	default:
		next.chain[length] = uint8(joiner + 1)
		if search.model.fault != UnsyncedHead {
			next.unsynced |= 1 << joiner
		}
	}
	return next
}

// dropsLeavingMemberEarly reports whether a reachable leaving member is dropped while too few of the remaining members are
// synced.
func (search *candidateSearch) dropsLeavingMemberEarly(next *configuration, dropped idSet) bool {
	syncedVoters := next.members() & search.current.voters &^ next.unsynced
	if syncedVoters.count() >= search.model.tolerance+1 {
		return false
	}
	for i := range int(search.state.started) {
		if m := &search.state.machines[i]; dropped.has(i) && m.leaving && m.isReachable() {
			return true
		}
	}
	return false
}

// add adds a view with the given voters if its chain contains a quorum of them and it differs from the current one.
func (search *candidateSearch) add(next configuration, voters idSet) {
	next.voters = voters
	if (next.members() & voters).count() < next.quorum() {
		return
	}
	if next.chain != search.current.chain || voters != search.current.voters {
		search.candidates = append(search.candidates, next)
	}
}

// joinsUnsynced reports whether a fault lets the joiner become a voter before it is synced.
func (search *candidateSearch) joinsUnsynced(joiner int) bool {
	fault := search.model.fault
	return (fault == UnsyncedReplacement || fault == UnsyncedAddition) && joiner != noJoiner && !search.current.voters.has(joiner)
}

// absentVoters returns the unhealthy voters outside the next chain that are outside the current chain as well, or are leaving.
func (search *candidateSearch) absentVoters(next *configuration, joinsUnsynced bool) idSet {
	var absent idSet
	members := next.members()
	for i := range int(search.state.started) {
		if !search.current.voters.has(i) || members.has(i) || search.isHealthy(i) {
			continue
		}
		if !search.current.hasInChain(i) || search.state.machines[i].leaving || joinsUnsynced {
			absent |= 1 << i
		}
	}
	return absent
}

// mayBecomeVoter reports whether a machine in the next chain may become a voter: a synced learner that is not leaving.
func (search *candidateSearch) mayBecomeVoter(next *configuration, i, joiner int, joinsUnsynced bool) bool {
	if search.current.voters.has(i) || !next.hasInChain(i) || search.state.machines[i].leaving {
		return false
	}
	if i == joiner {
		return joinsUnsynced
	}
	return search.viewCommitted
}

// tryNewVoter adds the views in which a machine replaces an absent voter, which is one at its own address if there is any. If no
// voter is missing, it also adds the view in which the machine becomes an additional voter.
func (search *candidateSearch) tryNewVoter(next configuration, newVoter int, absent idSet, joinsUnsynced bool) {
	machines, voters := &search.state.machines, search.current.voters
	replaceable := absent & search.sameAddress(machines[newVoter].address)
	if replaceable == 0 {
		replaceable = absent
	}
	for i := range int(search.state.started) {
		if replaceable.has(i) {
			search.add(next, voters&^(1<<i)|1<<newVoter)
		}
	}
	noneMissing := voters&^next.members() == 0
	if noneMissing && !joinsUnsynced || joinsUnsynced && search.model.fault == UnsyncedAddition {
		search.add(next, voters|1<<newVoter)
	}
}

func (search *candidateSearch) sameAddress(address uint8) idSet {
	var set idSet
	for i := range int(search.state.started) {
		if search.state.machines[i].address == address {
			set |= 1 << i
		}
	}
	return set
}

// tryFewerVoters adds the views in which one absent voter is removed, or all of them, if the remaining voters tolerate as many
// losses as the control plane has to tolerate. Absent voters may return with their disks, so they do not count as losses.
func (search *candidateSearch) tryFewerVoters(next configuration, absent idSet) {
	voters, needed := search.current.voters, 2*search.model.tolerance+1
	for i := range int(search.state.started) {
		if absent.has(i) && voters.count()-1 >= needed {
			search.add(next, voters&^(1<<i))
		}
	}
	if search.model.fault == SilentVotersRemoved {
		needed = 1
	}
	staying := next.members() & voters
	if staying.count() == search.current.quorum() && staying.count() >= needed && voters&^staying == absent {
		search.add(next, staying)
	}
}
