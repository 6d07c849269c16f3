package membership

import (
	"cmp"

	"zincloft.example/zincloft/fleet"
)

// This file determines the next view if no member that is known to be synced is left in the chain, because their disks are lost.
//
// A register is committed only once it is on stable storage at all members of its view's chain, which contains a quorum of the
// voters. So among any quorum of the voters, the one with the latest register has everything that was acknowledged: the register
// that was synced in the latest view and, in that view, has the highest sequence. The argument is that of Viewstamped Replication
// (Liskov and Cowling, "Viewstamped Replication Revisited", 2012), section 4.2.
//
// The positions are taken from heartbeats and may be outdated. A voter therefore accepts such a view only while its own register
// is not later than that of the new head, and from then on accepts no forwarded register until a view has been decided
// (Coordinator.dispatch). As a decision and a commit share a voter, nothing is committed that the new head lacks. See
// docs/design/control-plane.md, rule 17.

// ReplicaPosition states how current a register is.
type ReplicaPosition struct {
	SyncedView uint64 `cbor:"1,keyasint"` // Last view in which the register was synced.
	Sequence   uint64 `cbor:"2,keyasint"` // Number of commands applied to it.
}

// Less reports whether the register at p may lack commands that the one at other has.
func (p ReplicaPosition) Less(other ReplicaPosition) bool {
	return cmp.Or(cmp.Compare(p.SyncedView, other.SyncedView), cmp.Compare(p.Sequence, other.Sequence)) < 0
}

// SetPosition sets the position of this node's register, once it is persisted.
func (node *Node) SetPosition(position ReplicaPosition) { node.position = &position }

// HasAcceptedRecovery reports whether this node has accepted a view whose head it compared its own register with. It must not
// accept commands or forwarded registers in the current view then.
func (node *Node) HasAcceptedRecovery() bool {
	accepted := node.state.AcceptedView
	return accepted != nil && accepted.Recovered != nil
}

// recoveredView returns a view whose head is the voter with the latest register, if a quorum of the voters is healthy and their
// positions in the current view are known.
func (plan *successorPlan) recoveredView() (View, bool) {
	node, next := plan.node, &plan.next
	var head fleet.Member
	var latest *ReplicaPosition
	known := 0
	for _, voter := range next.Voters {
		position := node.positionInView(plan.now, voter.ID)
		if position == nil {
			continue
		}
		known++
		if latest == nil || latest.Less(*position) {
			head, latest = voter, position
		}
	}
	if known < next.Quorum() {
		return View{}, false
	}
	next.Chain, next.Unsynced, next.Recovered = []string{head.ID}, nil, latest
	for _, voter := range next.Voters {
		if voter.ID != head.ID && node.positionInView(plan.now, voter.ID) != nil && node.isLinkedToAll(voter.ID, next.Chain) {
			plan.appendUnsynced(voter.ID)
		}
	}
	return *next, !plan.lacksQuorum()
}

// positionInView returns the position of a healthy member's register if the member is in this node's view, or else nil.
func (node *Node) positionInView(now Time, id string) *ReplicaPosition {
	if !node.isHealthy(now, id) {
		return nil
	}
	if id == node.self.ID {
		return node.position
	}
	if p := node.peers[id]; p.viewNumber == node.state.View.Number {
		return p.position
	}
	return nil
}
