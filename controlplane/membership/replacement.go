package membership

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// This file determines the next view.
//
// The voters change one at a time, except that all failed ones of an odd number are removed together. A new machine joins the chain as a learner. Once a
// commit has shown that it is synced, it replaces a failed or departed voter in a single view change, so that the number of
// tolerated losses is not reduced in between. A leaving member stays in the chain until the remaining members suffice. An even
// number of voters tolerates no more losses than one voter fewer, so a failed voter is removed from an even number. Voters are
// removed only while the remaining ones tolerate the losses that the deployment states (tolerance.go). See
// docs/design/control-plane.md, rules 3, 6, 13 and 15.

const (
	// joinStabilityPeriod is how long a machine must have been reachable without interruption before it joins the chain.
	joinStabilityPeriod = 300 * time.Millisecond

	// replacementTimeout is how long a voter must have been unavailable before it may be replaced.
	replacementTimeout = 2 * time.Second

	// pairRemovalTimeout is how long two or more voters of an odd number must have been unavailable before they are removed together
	// without replacement.
	pairRemovalTimeout = 12 * time.Second

	// noVoter is the index returned if there is no voter to replace.
	noVoter = -1
)

// successorPlan builds the next view. Its methods are called in the order used by nextView.
type successorPlan struct {
	node *Node
	now  Time
	next View

	// viewCommitted reports that a commit was observed in the current view, so all members of its chain are synced.
	viewCommitted bool
}

// nextView returns the view that should follow the current one, and false if no change is needed or possible.
func (node *Node) nextView(now Time) (View, bool) {
	if !node.canProposeView(now) {
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
	plan.removeLeavingMembers()
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
	plan.removeFailedVoters()
	return plan.next, !plan.next.hasSameMembership(current) && !plan.lacksQuorum()
}

// canProposeView reports whether this node can determine the next view: it is a healthy member of the chain, is in contact
// with a quorum, and has observed the other members for at least suspectTimeout.
func (node *Node) canProposeView(now Time) bool {
	return node.state.View.Position(node.self.ID) >= 0 && !node.diskUnhealthy &&
		node.HasQuorumContact(now) && now-node.observingSince >= suspectTimeout
}

// keepHealthyChain keeps the chain members, in order, that are healthy and linked to all members kept before them.
func (plan *successorPlan) keepHealthyChain() {
	for _, id := range plan.current().Chain {
		if plan.node.isHealthy(plan.now, id) && plan.node.isLinkedToAll(id, plan.next.Chain) {
			plan.next.Chain = append(plan.next.Chain, id)
		}
	}
}

// removeLeavingMembers removes leaving members from the chain if a quorum of synced voters remains.
func (plan *successorPlan) removeLeavingMembers() {
	staying := slices.DeleteFunc(slices.Clone(plan.next.Chain), plan.node.isPeerLeaving)
	synced := slices.DeleteFunc(slices.Clone(staying), plan.isUnsynced)
	if plan.next.countVoters(synced) >= plan.next.Quorum() {
		plan.next.Chain = staying
	}
}

// markUnsynced marks the members that were unsynced in the current view and may still be.
func (plan *successorPlan) markUnsynced() {
	for _, id := range plan.next.Chain {
		if plan.isUnsynced(id) {
			plan.next.Unsynced = append(plan.next.Unsynced, id)
		}
	}
}

// hasSyncedHead reports whether the head of the next view is known to have everything that was acknowledged. If not, no view
// is proposed until a synced member returns.
func (plan *successorPlan) hasSyncedHead() bool {
	return len(plan.next.Chain) > 0 && !slices.Contains(plan.next.Unsynced, plan.next.Chain[0])
}

// keepLearners keeps the learners that are in the chain.
func (plan *successorPlan) keepLearners() {
	for _, learner := range plan.current().Learners {
		if plan.isInChain(learner) {
			plan.next.Learners = append(plan.next.Learners, learner)
		}
	}
}

// readmitVoters appends voters outside the chain that may join it.
func (plan *successorPlan) readmitVoters() {
	for _, voter := range plan.current().Voters {
		if plan.current().Position(voter.ID) < 0 && plan.canJoin(voter.ID) {
			plan.appendUnsynced(voter.ID)
		}
	}
}

// promoteLearner makes the synced learner a voter. It replaces a failed or departed voter, or is added if all voters are in
// the chain. Otherwise it remains a learner until the missing voter returns or may be replaced.
func (plan *successorPlan) promoteLearner() {
	learner, next := plan.next.Learners[0], &plan.next
	switch index := plan.voterToReplace(learner); {
	case index != noVoter:
		next.Voters[index], next.Learners = learner, nil
	case next.countVoters(next.Chain) == len(next.Voters):
		next.Voters, next.Learners = append(next.Voters, learner), nil
	}
}

// voterToReplace returns the index of the voter to be replaced by a learner: the voter at the same address, whose disk was
// lost, or else a departed or failed voter.
func (plan *successorPlan) voterToReplace(learner fleet.Member) int {
	if index := indexOfAddr(plan.next.Voters, learner.Addr); index >= 0 {
		return index
	}
	return plan.replaceableVoter()
}

// replaceableVoter returns the index of a departed voter or else of a failed one.
func (plan *successorPlan) replaceableVoter() int {
	if index := slices.IndexFunc(plan.next.Voters, plan.hasLeft); index >= 0 {
		return index
	}
	return slices.IndexFunc(plan.next.Voters, plan.hasFailedFor(replacementTimeout))
}

// admitLearner adds the first eligible non-member to the chain as a learner. A machine at the address of a reachable voter is
// not eligible.
func (plan *successorPlan) admitLearner() {
	for _, candidate := range plan.node.nonMembers() {
		index := indexOfAddr(plan.next.Voters, candidate.Addr)
		if !plan.canJoin(candidate.ID) || index >= 0 && plan.node.IsReachable(plan.now, plan.next.Voters[index].ID) {
			continue
		}
		plan.next.Learners = []fleet.Member{candidate}
		plan.appendUnsynced(candidate.ID)
		return
	}
}

// removeFailedVoters removes one failed voter from an even number of voters, or all failed ones, at least two, from an odd
// number, unless another change of the voters is in progress or the remaining voters would tolerate too few losses.
func (plan *successorPlan) removeFailedVoters() {
	next := &plan.next
	changing := len(next.Learners) > 0 || !sameIdentities(next.Voters, plan.current().Voters)
	if !plan.viewCommitted || changing {
		return
	}
	remaining := plan.remainingVoters()
	if len(remaining) < len(next.Voters) && plan.node.allowsRemoval(next.Voters, remaining) {
		next.Voters = remaining
	}
}

// remainingVoters returns the voters without those that have failed for long enough to be removed. The fault tolerance is not
// considered.
func (plan *successorPlan) remainingVoters() []fleet.Member {
	voters := plan.next.Voters
	if len(voters)%2 == 0 {
		if index := plan.replaceableVoter(); index != noVoter {
			return withoutVoter(voters, index)
		}
		return voters
	}
	remaining := slices.DeleteFunc(slices.Clone(voters), plan.hasFailedFor(pairRemovalTimeout))
	if len(remaining) > len(voters)-2 {
		return voters
	}
	return remaining
}

func (plan *successorPlan) current() View { return plan.node.state.View }

func (plan *successorPlan) isInChain(m fleet.Member) bool { return plan.next.Position(m.ID) >= 0 }

// isUnsynced reports whether a member was marked as unsynced in the current view and is not known to have been synced since.
func (plan *successorPlan) isUnsynced(id string) bool {
	current := plan.current()
	return !plan.viewCommitted && slices.Contains(current.Unsynced, id) && !plan.node.IsSynced(id, current.Number)
}

// lacksQuorum reports whether the chain contains fewer voters than a quorum.
func (plan *successorPlan) lacksQuorum() bool {
	return plan.next.countVoters(plan.next.Chain) < plan.next.Quorum()
}

// canJoin reports whether a machine may be appended to the chain. Unless the chain lacks a quorum, no machine joins before a
// commit in the current view, and no leaving member joins. If the head failed before forwarding its register, members that
// joined in consecutive views would all be marked as unsynced, and none could become the head.
func (plan *successorPlan) canJoin(id string) bool {
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

// hasLeft reports whether a voter is leaving and outside the chain.
func (plan *successorPlan) hasLeft(voter fleet.Member) bool {
	return !plan.isInChain(voter) && plan.node.isPeerLeaving(voter.ID)
}

// hasFailedFor returns a predicate for voters that are outside the chain, unhealthy and unavailable for at least the timeout.
func (plan *successorPlan) hasFailedFor(timeout Time) func(fleet.Member) bool {
	return func(voter fleet.Member) bool {
		return !plan.isInChain(voter) && !plan.node.isHealthy(plan.now, voter.ID) &&
			plan.node.unavailableFor(plan.now, voter.ID) >= timeout
	}
}

// nonMembers returns the known peers that are neither voters nor learners, ordered by ID.
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
