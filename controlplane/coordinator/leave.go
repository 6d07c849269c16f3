package coordinator

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// BeginLeave starts a graceful shutdown: the other members are asked to replace this one. LeaveComplete reports when it may
// stop.
func (c *Coordinator) BeginLeave() { c.membership.Leave() }

// LeaveComplete reports whether this member may stop after BeginLeave: no requests are pending, and either no other member can
// take over or the other members can continue without it. They can if the view has replaced this member and a quorum of the
// voters is in the chain, in contact, synced in this view and up to date with what is committed here.
func (c *Coordinator) LeaveComplete(now time.Duration) bool {
	if !c.membership.IsLeaving() || len(c.proposals)+len(c.reads)+len(c.replications) > 0 {
		return false
	}
	if c.membership.HasNoSuccessor(now) {
		return true
	}
	view := c.membership.View()
	return c.isReplaced(view) && c.countSyncedVoters(now, view) >= view.Quorum()
}

// isReplaced reports whether the view has replaced this member: it is outside the chain and, if it is still a voter, knows of
// no later view that may have been decided. A voter that remains at its address, with this or a former disk, is acceptable only
// if it will not be removed and no learner is about to replace one of the voters.
func (c *Coordinator) isReplaced(view membership.View) bool {
	self := c.membership.Self()
	if view.Position(self.ID) >= 0 || view.HasVoter(self.ID) && !c.membership.ConfirmsLatestView(view.Number) {
		return false
	}
	index := slices.IndexFunc(view.Voters, func(voter fleet.Member) bool { return voter.Addr == self.Addr })
	return index < 0 || !c.membership.IsRemovableVoter(view.Voters[index].ID) && len(view.Learners) == 0
}

// countSyncedVoters counts the reachable chain voters that are synced in the view and have all that is committed here.
func (c *Coordinator) countSyncedVoters(now time.Duration, view membership.View) int {
	committed, _ := c.chain.Committed()
	count := 0
	for _, voter := range view.Voters {
		isActive := view.Position(voter.ID) >= 0 && c.membership.HasContact(now, voter.ID)
		if isActive && c.membership.IsSynced(voter.ID, view.Number) && c.peerCommitted[voter.ID] >= committed.Sequence {
			count++
		}
	}
	return count
}
