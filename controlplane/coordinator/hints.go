package coordinator

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
)

// pendingReplication is a replication of the hints to the disks of a quorum.
type pendingReplication struct {
	confirmations map[string]bool // IDs of voters that have persisted the hints
	deadline      time.Duration
}

// ReplicateHints starts the replication of a hints change to the disks of a quorum and returns its request ID. The caller has
// already applied the change locally; it sends the change to the other members along with the request ID, repeating messages
// that may have been lost. Each receiver calls PersistHints after applying the change. The Response is returned with these
// Actions or with later ones. It has no error if a quorum of the voters persisted the change, and ErrNoQuorum or ErrTimeout
// otherwise; in that case any of the members may have persisted it.
//
// Without ReplicateHints, hints are only written periodically and may be lost.
func (c *Coordinator) ReplicateHints(now time.Duration) (uint64, Actions) {
	id := c.nextRequestID()
	c.replications[id] = &pendingReplication{confirmations: map[string]bool{}, deadline: now + requestTimeout}
	c.confirmHintsWhenPersisted(c.membership.Self(), id)
	return id, c.takeActions(now)
}

// PersistHints persists hints that were changed by a request of another member, and then confirms the request to that
// member.
func (c *Coordinator) PersistHints(now time.Duration, requester fleet.Member, requestID uint64) Actions {
	c.confirmHintsWhenPersisted(requester, requestID)
	return c.takeActions(now)
}

func (c *Coordinator) confirmHintsWhenPersisted(requester fleet.Member, requestID uint64) {
	c.persistence.markChanged()
	c.sendWhenPersisted(requester, Message{HintsPersisted: &peermessages.HintsConfirmation{RequestID: requestID}})
}

func (c *Coordinator) handleHintsPersisted(from fleet.Member, confirmation *peermessages.HintsConfirmation) {
	if replication := c.replications[confirmation.RequestID]; replication != nil {
		replication.confirmations[from.ID] = true
	}
}

// advanceReplications completes each pending replication that is confirmed by a quorum, has lost its quorum or has timed out.
func (c *Coordinator) advanceReplications(now time.Duration, snapshot stateSnapshot) {
	for _, id := range slices.Sorted(maps.Keys(c.replications)) {
		confirmed := 0
		for _, voter := range snapshot.view.Voters {
			if c.replications[id].confirmations[voter.ID] {
				confirmed++
			}
		}
		switch {
		case len(snapshot.view.Voters) > 0 && confirmed >= snapshot.view.Quorum():
			c.finishReplication(id, nil)
		case !snapshot.hasQuorum:
			c.finishReplication(id, ErrNoQuorum)
		case now > c.replications[id].deadline:
			c.finishReplication(id, ErrTimeout)
		}
	}
}

func (c *Coordinator) finishReplication(id uint64, err error) {
	c.actions.Responses = append(c.actions.Responses, Response{RequestID: id, Err: err})
	delete(c.replications, id)
}
