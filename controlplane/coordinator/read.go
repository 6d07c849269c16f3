package coordinator

import (
	"maps"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

// pendingRead is a linearizable read of a caller without a response.
type pendingRead struct {
	viewNumber    uint64          // view in which the read was started
	sequence      uint64          // sequence that must be committed before the read is answered
	confirmations map[string]bool // IDs of voters that confirmed the view
	requested     bool            // whether the confirmations were requested
	deadline      time.Duration
}

// Read starts a linearizable read of the committed configuration and returns its request ID. The Response is returned with
// these Actions or with later ones.
//
// The read is answered once a quorum of voters has confirmed that no later view may have been decided, as in Raft's ReadIndex,
// so a partitioned member never returns outdated data. A member outside the chain responds with a RedirectError that names the
// tail.
func (c *Coordinator) Read(now time.Duration) (uint64, Actions) {
	id := c.nextRequestID()
	view := c.membership.View()
	switch {
	case !c.membership.HasQuorumContact(now):
		c.actions.Responses = append(c.actions.Responses, Response{RequestID: id, Err: ErrNoQuorum})
	case view.Position(c.membership.Self().ID) < 0:
		c.actions.Responses = append(c.actions.Responses, Response{RequestID: id, Err: c.redirectToTail(now, view)})
	default:
		c.reads[id] = &pendingRead{
			confirmations: map[string]bool{},
			viewNumber:    view.Number,
			sequence:      c.chain.Latest().Sequence,
			deadline:      now + requestTimeout,
		}
	}
	return id, c.takeActions(now)
}

// redirectToTail returns a redirect to the last chain voter with a known API address, or ErrNotInChain if there is none.
func (c *Coordinator) redirectToTail(now time.Duration, view membership.View) error {
	var tail fleet.Member
	for _, peer := range c.membership.Peers(now) {
		isCandidate := peer.APIAddr != "" && view.HasVoter(peer.ID) && view.Position(peer.ID) >= 0
		if isCandidate && (tail.APIAddr == "" || view.Position(peer.ID) > view.Position(tail.ID)) {
			tail = peer
		}
	}
	if tail.APIAddr == "" {
		return ErrNotInChain
	}
	return &RedirectError{Address: tail.APIAddr}
}

// advanceReads requests confirmations for each pending read, and completes or fails it.
func (c *Coordinator) advanceReads(now time.Duration, snapshot stateSnapshot) {
	for _, id := range slices.Sorted(maps.Keys(c.reads)) {
		read := c.reads[id]
		switch {
		case !snapshot.hasQuorum:
			c.finishRead(Response{RequestID: id, Err: ErrNoQuorum})
		case now > read.deadline:
			c.finishRead(Response{RequestID: id, Err: ErrTimeout})
		case snapshot.view.Number != read.viewNumber:
			c.finishRead(Response{RequestID: id, Err: ErrViewChanged})
		case len(read.confirmations) >= snapshot.view.Quorum() && snapshot.isCommittedInView(read.viewNumber, read.sequence):
			invariant.NotBelow(invariant.ReadCoversAcknowledged, snapshot.committed.Version, c.acknowledgedVersion)
			response := Response{RequestID: id, Body: snapshot.committed.Body}
			if len(response.Body) == 0 {
				response.Err = ErrNoConfiguration
			}
			c.finishRead(response)
		case !read.requested:
			read.requested = true
			for _, voter := range snapshot.view.Voters {
				c.send(voter, Message{ConfirmViewRequest: &peermessages.ViewConfirmation{RequestID: id, ViewNumber: snapshot.view.Number}})
			}
		}
	}
}

func (c *Coordinator) finishRead(response Response) {
	c.actions.Responses = append(c.actions.Responses, response)
	delete(c.reads, response.RequestID)
}

// handleConfirmViewRequest confirms the view if this voter has accepted no later one. The response is sent after the state that
// it depends on is persisted.
func (c *Coordinator) handleConfirmViewRequest(from fleet.Member, request *peermessages.ViewConfirmation) {
	response := &peermessages.ViewConfirmation{
		RequestID:  request.RequestID,
		ViewNumber: request.ViewNumber,
		Confirmed:  c.membership.ConfirmsLatestView(request.ViewNumber),
	}
	c.sendWhenPersisted(from, Message{ConfirmViewResponse: response})
}

func (c *Coordinator) handleConfirmViewResponse(from fleet.Member, response *peermessages.ViewConfirmation) {
	read := c.reads[response.RequestID]
	if read != nil && response.Confirmed && response.ViewNumber == read.viewNumber {
		read.confirmations[from.ID] = true
	}
}
