package membership

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// This file decides which view should follow the present one.
//
// Membership changes by agreement only, by one voter at a time (by two where a pair is dropped). A new machine is first
// synced as a learner. Once a commit has shown that it was, it takes the seat of a voter that has failed or left, in the
// same step, so that the number of losses that can be borne does not shrink in between. A member that leaves stays in the
// chain until the others can do without it. An even number of voters bears no more losses than one less, so a failed
// voter is dropped from an even number. See docs/design/control-plane.md, rules 3, 6, 13 and 15.

const (
	// joinStabilityPeriod is how long a machine must have been reachable without a gap before it joins the chain.
	joinStabilityPeriod = 300 * time.Millisecond

	// replacementTimeout is how long a voter must have been absent before its seat is free for a successor.
	replacementTimeout = 2 * time.Second

	// pairRemovalTimeout is how long two voters must have been absent before both are dropped without successors.
	pairRemovalTimeout = 12 * time.Second

	// minVoters is the number of voters from which none is dropped without a successor.
	minVoters = 3

	// noSeat stands for the index of a voter where none is meant.
	noSeat = -1
)

// successorPlan works out the view that should follow the present one. Its methods are called in the order in which
// nextView lists them.
type successorPlan struct {
	node *Node
	now  Time
	next View

	// viewCommitted says that a commit was seen in the present view, so that each member of its chain is synced.
	viewCommitted bool
}

// nextView returns the view that should follow the present one, and false if none should as far as this node can tell.
func (node *Node) nextView(now Time) (View, bool) {
	if !node.mayPlan(now) {
		return View{}, false
	}
	current := node.state.View
	plan := successorPlan{
		node:          node,
		now:           now,
		next:          View{Number: current.Number + 1, Voters: slices.Clone(current.Voters)},
		viewCommitted: node.committedView == current.Number,
	}
	plan.keepHealthyChain()
	plan.releaseLeavers()
	plan.markUnsynced()
	if !plan.hasSyncedHead() {
		return View{}, false
	}
	plan.keepLearners()
	plan.readmitVoters()
	switch {
	case plan.viewCommitted && len(plan.next.Learners) > 0:
		plan.promoteLearner()
	case len(current.Learners) == 0:
		plan.admitLearner()
	}
	plan.dropFailedVoters()
	return plan.next, !plan.next.hasSameMembership(current) && !plan.lacksQuorum()
}

// mayPlan reports whether this node can judge the others: it is a healthy member of the chain, in contact with a quorum,
// and has observed the others for long enough to tell who is silent.
func (node *Node) mayPlan(now Time) bool {
	return node.state.View.Position(node.self.ID) >= 0 && !node.diskUnhealthy &&
		node.HasQuorumContact(now) && now-node.observingSince >= suspectTimeout
}

// keepHealthyChain keeps, in their order, the chain members that are healthy and connected to those kept before them.
func (plan *successorPlan) keepHealthyChain() {
	for _, id := range plan.current().Chain {
		if plan.node.isHealthy(plan.now, id) && plan.node.isLinkedToAll(id, plan.next.Chain) {
			plan.next.Chain = append(plan.next.Chain, id)
		}
	}
}

// releaseLeavers removes the leaving members from the chain if a quorum of synced voters remains.
func (plan *successorPlan) releaseLeavers() {
	staying := slices.DeleteFunc(slices.Clone(plan.next.Chain), plan.node.isPeerLeaving)
	synced := slices.DeleteFunc(slices.Clone(staying), plan.isUnsynced)
	if plan.next.countVoters(synced) >= plan.next.Quorum() {
		plan.next.Chain = staying
	}
}

// markUnsynced carries over the marks of those that may not be synced yet.
func (plan *successorPlan) markUnsynced() {
	for _, id := range plan.next.Chain {
		if plan.isUnsynced(id) {
			plan.next.Unsynced = append(plan.next.Unsynced, id)
		}
	}
}

// hasSyncedHead reports whether the head certainly holds what was acknowledged. Where it does not, nobody is left who
// does, and a member that does has to be waited for.
func (plan *successorPlan) hasSyncedHead() bool {
	return len(plan.next.Chain) > 0 && !slices.Contains(plan.next.Unsynced, plan.next.Chain[0])
}

// keepLearners keeps the learners that are still in the chain.
func (plan *successorPlan) keepLearners() {
	for _, learner := range plan.current().Learners {
		if plan.isInChain(learner) {
			plan.next.Learners = append(plan.next.Learners, learner)
		}
	}
}

// readmitVoters appends the voters to the chain that are out of it and may join.
func (plan *successorPlan) readmitVoters() {
	for _, voter := range plan.current().Voters {
		if plan.current().Position(voter.ID) < 0 && plan.mayJoin(voter.ID) {
			plan.appendUnsynced(voter.ID)
		}
	}
}

// promoteLearner makes the synced learner a voter: in the place of one that has failed or left or, where none is missing,
// in addition. Else it has to wait until the missing voter is back, or can be replaced.
func (plan *successorPlan) promoteLearner() {
	learner, next := plan.next.Learners[0], &plan.next
	switch seat := plan.seatFor(learner); {
	case seat != noSeat:
		next.Voters[seat], next.Learners = learner, nil
	case next.countVoters(next.Chain) == len(next.Voters):
		next.Voters, next.Learners = append(next.Voters, learner), nil
	}
}

// seatFor returns the index of the voter that a learner replaces: the one at the same address, which has lost its disk;
// else one that has left; else one that has failed.
func (plan *successorPlan) seatFor(learner fleet.Member) int {
	if seat := indexOfAddr(plan.next.Voters, learner.Addr); seat >= 0 {
		return seat
	}
	return plan.freeSeat()
}

// freeSeat returns the index of a voter that has left or, if there is none, of one that has failed.
func (plan *successorPlan) freeSeat() int {
	if seat := slices.IndexFunc(plan.next.Voters, plan.hasLeft); seat >= 0 {
		return seat
	}
	return slices.IndexFunc(plan.next.Voters, plan.hasFailedFor(replacementTimeout))
}

// admitLearner appends the first machine that is no member and may join to the chain, as a learner. A machine at the
// address of a voter that is still reachable has to wait.
func (plan *successorPlan) admitLearner() {
	for _, candidate := range plan.node.nonMembers() {
		seat := indexOfAddr(plan.next.Voters, candidate.Addr)
		if !plan.mayJoin(candidate.ID) || seat >= 0 && plan.node.IsReachable(plan.now, plan.next.Voters[seat].ID) {
			continue
		}
		plan.next.Learners = []fleet.Member{candidate}
		plan.appendUnsynced(candidate.ID)
		return
	}
}

// dropFailedVoters drops one failed voter from an even number of voters, or two from an odd number, if no other change of
// the voters is under way.
func (plan *successorPlan) dropFailedVoters() {
	next := &plan.next
	changing := len(next.Learners) > 0 || !sameIdentities(next.Voters, plan.current().Voters)
	if !plan.viewCommitted || changing || len(next.Voters) <= minVoters {
		return
	}
	if len(next.Voters)%2 == 0 {
		if seat := plan.freeSeat(); seat != noSeat {
			next.Voters = slices.Delete(next.Voters, seat, seat+1)
		}
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(next.Voters), plan.hasFailedFor(pairRemovalTimeout))
	if len(remaining) <= len(next.Voters)-2 && len(remaining) >= minVoters {
		next.Voters = remaining
	}
}

func (plan *successorPlan) current() View { return plan.node.state.View }

func (plan *successorPlan) isInChain(m fleet.Member) bool { return plan.next.Position(m.ID) >= 0 }

// isUnsynced reports whether a member is marked as unsynced in the present view and has not been synced since.
func (plan *successorPlan) isUnsynced(id string) bool {
	current := plan.current()
	return !plan.viewCommitted && slices.Contains(current.Unsynced, id) && !plan.node.IsSynced(id, current.Number)
}

// lacksQuorum reports whether fewer voters than a quorum are in the chain.
func (plan *successorPlan) lacksQuorum() bool {
	return plan.next.countVoters(plan.next.Chain) < plan.next.Quorum()
}

// mayJoin reports whether a machine may be appended to the chain. Out of a view in which no commit was seen nobody joins,
// nor does a leaver, unless the chain would be too short without it: should the head be lost before it forwards the
// register in the next view, those that joined in the last one would be marked as unsynced once more.
func (plan *successorPlan) mayJoin(id string) bool {
	node := plan.node
	if !node.isHealthy(plan.now, id) || plan.now-node.peers[id].connectedSince < joinStabilityPeriod {
		return false
	}
	if !node.isLinkedToAll(id, plan.next.Chain) {
		return false
	}
	return plan.viewCommitted && !node.isPeerLeaving(id) || plan.lacksQuorum()
}

func (plan *successorPlan) appendUnsynced(id string) {
	plan.next.Chain = append(plan.next.Chain, id)
	plan.next.Unsynced = append(plan.next.Unsynced, id)
}

// hasLeft reports whether a voter is out of the chain because it leaves.
func (plan *successorPlan) hasLeft(voter fleet.Member) bool {
	return !plan.isInChain(voter) && plan.node.isPeerLeaving(voter.ID)
}

// hasFailedFor returns a test for voters that are out of the chain, not healthy, and have been absent for so long.
func (plan *successorPlan) hasFailedFor(timeout Time) func(fleet.Member) bool {
	return func(voter fleet.Member) bool {
		return !plan.isInChain(voter) && !plan.node.isHealthy(plan.now, voter.ID) &&
			plan.node.absentFor(plan.now, voter.ID) >= timeout
	}
}

// nonMembers returns the machines that are heard and belong neither to the voters nor to the learners, ordered by identity.
func (node *Node) nonMembers() []fleet.Member {
	var candidates []fleet.Member
	for id, p := range node.peers {
		if !node.isMember(id) {
			candidates = append(candidates, p.Member)
		}
	}
	slices.SortFunc(candidates, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}
