package coordinator

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
)

// pendingReplication is a change of the hints whose caller waits until it is on the disks of a quorum.
type pendingReplication struct {
	confirmations map[string]bool // IDs of voters that have it on their disks
	deadline      time.Duration
}

// ReplicateHints starts to bring a change of the hints to the disks of a quorum and returns its request ID. The caller has made the
// change here and sends it to the other members with the ID, again where it may have been lost; each of them calls PersistHints once
// it has taken the change. The Response comes with these Actions or with later ones: without an error once a quorum of the voters has
// the change on disk, else with ErrNoQuorum or ErrTimeout, and then any of them may have it.
//
// Hints are written once a second otherwise, and may be lost. What a caller is promised for good must not rest on them alone.
func (c *Coordinator) ReplicateHints(now time.Duration) (uint64, Actions) {
	id := c.nextRequestID()
	c.replications[id] = &pendingReplication{confirmations: map[string]bool{}, deadline: now + requestTimeout}
	c.confirmHintsWhenPersisted(c.membership.Self(), id)
	return id, c.takeActions(now)
}

// PersistHints writes the hints, which were changed on behalf of another member's request, and confirms to that member once they are
// on disk.
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

// advanceReplications answers or gives up each pending replication.
func (c *Coordinator) advanceReplications(now time.Duration, step stepState) {
	for _, id := range slices.Sorted(maps.Keys(c.replications)) {
		confirmed := 0
		for _, voter := range step.view.Voters {
			if c.replications[id].confirmations[voter.ID] {
				confirmed++
			}
		}
		switch {
		case len(step.view.Voters) > 0 && confirmed >= step.view.Quorum():
			c.finishReplication(id, nil)
		case !step.hasQuorum:
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
