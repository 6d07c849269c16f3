package membershipmodel

// noJoiner stands for the identity of a joiner where none is meant.
const noJoiner = -1

// candidateSearch collects the views that a member may want after the newest one. What it hears of others is modelled by
// their faults.
//
// This states rules 3 and 6 of docs/design/control-plane.md independently of membership.Node, and more freely: it has no clocks, so
// any set of those that seem to have failed may be dropped, at any time.
type candidateSearch struct {
	model         *reconfigurationModel
	world         *world
	current       *configuration
	viewCommitted bool // The member saw a commit in the newest view.
	candidates    []configuration
}

// candidateViews lists the views that a member may want. The result is valid until the next call.
func (model *reconfigurationModel) candidateViews(w *world, member int) []configuration {
	search := candidateSearch{
		model:         model,
		world:         w,
		current:       w.newest(),
		viewCommitted: w.machines[member].commitsSeen > 0,
		candidates:    model.candidates[:0],
	}
	droppable := search.droppable(member)
	search.tryDropping(droppable, noJoiner)
	for joiner := range int(w.started) {
		if search.mayJoin(joiner) {
			search.tryDropping(droppable, joiner)
		}
	}
	model.candidates = search.candidates
	return search.candidates
}

// droppable returns the chain members that may be dropped: those that do not seem well, the member itself only if it
// leaves.
func (search *candidateSearch) droppable(member int) idSet {
	var set idSet
	for position := range search.current.length() {
		i := search.current.at(position)
		if !search.seemsWell(i) && (i != member || search.world.machines[i].leaving) {
			set |= 1 << i
		}
	}
	return set
}

// seemsWell reports whether a machine runs, is heard and stays.
func (search *candidateSearch) seemsWell(i int) bool {
	return search.world.machines[i].isHeard() && !search.world.machines[i].leaving
}

func (m *machine) isHeard() bool { return m.status == running && !m.suspected }

// mayJoin reports whether a machine may be appended to the chain. A leaver is taken back only where it is a voter that is
// needed. Out of a view without a commit only a voter joins, and only where the chain would be too short without it.
func (search *candidateSearch) mayJoin(i int) bool {
	m, isVoter := &search.world.machines[i], search.current.voters.has(i)
	if search.current.hasInChain(i) || !m.isHeard() {
		return false
	}
	if m.leaving && (!isVoter || search.model.fault == LeavingMemberNotReadmitted || !search.needsLeavers()) {
		return false
	}
	if search.viewCommitted || search.model.fault == JoinBeforeCommit {
		return true
	}
	return isVoter && search.countHeardVotersInChain() < search.current.quorum()
}

func (search *candidateSearch) countHeardVotersInChain() int {
	count := 0
	for i := range int(search.world.started) {
		if search.current.voters.has(i) && search.current.hasInChain(i) && search.world.machines[i].isHeard() {
			count++
		}
	}
	return count
}

// needsLeavers reports whether too few voters would be in the chain without those that leave.
func (search *candidateSearch) needsLeavers() bool {
	staying := 0
	for i := range int(search.world.started) {
		if search.current.voters.has(i) && search.seemsWell(i) {
			staying++
		}
	}
	return staying < search.current.quorum()
}

// tryDropping adds the views in which none, all, or one of the droppable members are dropped.
func (search *candidateSearch) tryDropping(droppable idSet, joiner int) {
	search.tryChain(0, joiner)
	if droppable.count() > 1 {
		search.tryChain(droppable, joiner)
	}
	for i := range int(search.world.started) {
		if droppable.has(i) {
			search.tryChain(1<<i, joiner)
		}
	}
}

// tryChain adds the views whose chain is the present one without some members and with a joiner.
func (search *candidateSearch) tryChain(dropped idSet, joiner int) {
	next := search.nextChain(dropped, joiner)
	if next.length() == 0 || next.unsynced.has(next.at(0)) {
		return // Nobody is left who certainly holds what was acknowledged.
	}
	if search.dropsLeaverEarly(&next, dropped) && search.model.fault != LeavingMemberDroppedEarly {
		return
	}
	search.add(next, search.current.voters)
	joinsUnsynced := search.joinsUnsynced(joiner)
	if !search.viewCommitted && !joinsUnsynced {
		return
	}
	absent := search.absentVoters(&next, joinsUnsynced)
	for i := range int(search.world.started) {
		if search.mayBecomeVoter(&next, i, joiner, joinsUnsynced) {
			search.tryNewVoter(next, i, absent, joinsUnsynced)
		}
	}
	if search.viewCommitted {
		search.tryFewerVoters(next, absent)
	}
}

// nextChain returns the present view with the changed chain and the marks of unsynced members.
func (search *candidateSearch) nextChain(dropped idSet, joiner int) configuration {
	current, machines := search.current, &search.world.machines
	next := configuration{voters: current.voters}
	length := 0
	for position := range current.length() {
		i := current.at(position)
		if joiner != noJoiner && machines[joiner].address == machines[i].address {
			continue // The machine has returned under another identity.
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

// dropsLeaverEarly reports whether a member that leaves, and is heard, is dropped though too few of those that remain are
// synced.
func (search *candidateSearch) dropsLeaverEarly(next *configuration, dropped idSet) bool {
	syncedVoters := next.members() & search.current.voters &^ next.unsynced
	if syncedVoters.count() >= search.model.tolerance+1 {
		return false
	}
	for i := range int(search.world.started) {
		if m := &search.world.machines[i]; dropped.has(i) && m.leaving && m.isHeard() {
			return true
		}
	}
	return false
}

// add adds a view with the given voters, if it has a quorum of them in its chain and differs from the present one.
func (search *candidateSearch) add(next configuration, voters idSet) {
	next.voters = voters
	if (next.members() & voters).count() < next.quorum() {
		return
	}
	if next.chain != search.current.chain || voters != search.current.voters {
		search.candidates = append(search.candidates, next)
	}
}

// joinsUnsynced reports whether a joiner becomes a voter at once, by one of the faults.
func (search *candidateSearch) joinsUnsynced(joiner int) bool {
	fault := search.model.fault
	return (fault == UnsyncedReplacement || fault == UnsyncedAddition) && joiner != noJoiner && !search.current.voters.has(joiner)
}

// absentVoters returns the voters that are out of the next chain and have been absent for long, or leave.
func (search *candidateSearch) absentVoters(next *configuration, joinsUnsynced bool) idSet {
	var absent idSet
	members := next.members()
	for i := range int(search.world.started) {
		if !search.current.voters.has(i) || members.has(i) || search.seemsWell(i) {
			continue
		}
		if !search.current.hasInChain(i) || search.world.machines[i].leaving || joinsUnsynced {
			absent |= 1 << i
		}
	}
	return absent
}

// mayBecomeVoter reports whether a machine in the next chain may become a voter: a learner that was synced and stays.
func (search *candidateSearch) mayBecomeVoter(next *configuration, i, joiner int, joinsUnsynced bool) bool {
	if search.current.voters.has(i) || !next.hasInChain(i) || search.world.machines[i].leaving {
		return false
	}
	if i == joiner {
		return joinsUnsynced
	}
	return search.viewCommitted
}

// tryNewVoter adds the views in which a machine takes the seat of an absent voter, of the one at its own address if there
// is one, and where no voter is missing the view in which it is a voter in addition.
func (search *candidateSearch) tryNewVoter(next configuration, newVoter int, absent idSet, joinsUnsynced bool) {
	machines, voters := &search.world.machines, search.current.voters
	replaceable := absent & search.sameAddress(machines[newVoter].address)
	if replaceable == 0 {
		replaceable = absent
	}
	for i := range int(search.world.started) {
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
	for i := range int(search.world.started) {
		if search.world.machines[i].address == address {
			set |= 1 << i
		}
	}
	return set
}

// tryFewerVoters adds the views in which one absent voter is dropped and enough remain, or all of them.
func (search *candidateSearch) tryFewerVoters(next configuration, absent idSet) {
	const minVoters = 3 // As in package membership.
	voters := search.current.voters
	for i := range int(search.world.started) {
		if absent.has(i) && voters.count()-1 >= 2*search.model.tolerance+1 {
			search.add(next, voters&^(1<<i))
		}
	}
	staying := next.members() & voters
	if staying.count() == search.current.quorum() && staying.count() >= minVoters && voters&^staying == absent {
		search.add(next, staying)
	}
}
