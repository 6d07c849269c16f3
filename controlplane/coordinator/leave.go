package coordinator

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// BeginLeave asks the other members to go on without this one. LeaveComplete reports when they can.
func (c *Coordinator) BeginLeave() { c.membership.Leave() }

// LeaveComplete reports whether this member may stop: nothing rests on it any more, or nobody is there to take over. The others
// must be able to go on without it: a quorum of the voters, each in the chain and in contact now, was synced in this view and
// has what is committed here. While this member's seat makes the number of voters even, it waits until that seat is dropped.
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

// isReplaced reports whether the view does without this member, and whether its seat is somebody else's or needs nobody: a
// learner is about to take it, and an even number of voters drops it. That goes for the seat of a disk that this machine had
// before, too.
func (c *Coordinator) isReplaced(view membership.View) bool {
	self := c.membership.Self()
	if view.Position(self.ID) >= 0 || view.HasVoter(self.ID) && !c.membership.ConfirmsLatestView(view.Number) {
		return false
	}
	hasSeat := slices.ContainsFunc(view.Voters, func(voter fleet.Member) bool { return voter.Addr == self.Addr })
	return !hasSeat || len(view.Voters)%2 != 0 && len(view.Learners) == 0
}

// countSyncedVoters counts the voters that hold, in this view, what is committed here.
func (c *Coordinator) countSyncedVoters(now time.Duration, view membership.View) int {
	committed, _ := c.chain.Committed()
	count := 0
	for _, voter := range view.Voters {
		inChain := view.Position(voter.ID) >= 0 && c.membership.HasContact(now, voter.ID)
		if inChain && c.membership.IsSynced(voter.ID, view.Number) && c.peerCommitted[voter.ID] >= committed.Sequence {
			count++
		}
	}
	return count
}
