package coordinator

import (
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
)

// dispatch passes a message to its handler.
func (c *Coordinator) dispatch(now time.Duration, from fleet.Member, message Message) {
	switch {
	case message.View != nil:
		c.applyMembershipReady(now, c.membership.Step(now, *message.View))
		c.expireProposalsAfterClockStall()
		if status := message.CommitStatus; status != nil {
			c.peerCommitted[from.ID] = status.Sequence
			c.applyChainReady(c.chain.SendCatchUp(now, from.ID, status.Sequence, status.Known))
		}
	case message.Chain != nil:
		c.applyChainReady(c.chain.Step(now, *message.Chain))
	case message.ProposeRequest != nil:
		c.handleProposeRequest(now, from, message.ProposeRequest)
	case message.ProposeResponse != nil:
		c.handleProposeResponse(now, from, message.ProposeResponse)
	case message.ConfirmViewRequest != nil:
		c.handleConfirmViewRequest(from, message.ConfirmViewRequest)
	case message.ConfirmViewResponse != nil:
		c.handleConfirmViewResponse(from, message.ConfirmViewResponse)
	case message.HintsPersisted != nil:
		c.handleHintsPersisted(from, message.HintsPersisted)
	}
}

// applyMembershipReady performs the work requested by the membership node.
func (c *Coordinator) applyMembershipReady(now time.Duration, ready membership.Ready) {
	if ready.MustSave {
		c.persistence.markChanged()
	}
	for _, outbound := range ready.Messages {
		message := Message{View: &outbound.Message}
		if outbound.Message.Kind == membership.Heartbeat {
			register, known := c.chain.Committed()
			message.CommitStatus = &peermessages.CommitStatus{Sequence: register.Sequence, Known: known}
		}
		c.sendAfterSave(outbound.To, message, outbound.AfterSave)
	}
	if ready.ViewInstalled {
		c.installView(now)
	}
}

// installView installs the current view in the chain replica.
func (c *Coordinator) installView(now time.Duration) {
	c.actions.ViewInstalled = true
	c.applyChainReady(c.chain.InstallView(now, c.membership.View()))
}

// applyChainReady performs the work requested by the chain replica.
func (c *Coordinator) applyChainReady(ready chainreplication.Ready) {
	if ready.MustSave {
		c.persistence.markChanged()
	}
	for _, outbound := range ready.Messages {
		if to, ok := c.lookupMember(outbound.To); ok {
			c.sendAfterSave(to, Message{Chain: &outbound.Message}, outbound.AfterSave)
		}
	}
	c.actions.RegisterCommitted = c.actions.RegisterCommitted || ready.CommittedChanged
}

// lookupMember returns a member of the view, or a known peer, by ID.
func (c *Coordinator) lookupMember(id string) (fleet.Member, bool) {
	if id == c.membership.Self().ID {
		return c.membership.Self(), true
	}
	for _, member := range c.membership.View().Members() {
		if member.ID == id {
			return member, true
		}
	}
	return c.membership.KnownMember(id)
}

// send sends a message. Messages to this member itself are queued and handled before the current call returns.
func (c *Coordinator) send(to fleet.Member, message Message) {
	if to.ID == c.membership.Self().ID {
		c.loopback = append(c.loopback, message)
		return
	}
	c.actions.Messages = append(c.actions.Messages, Outbound{to.Addr, message})
}

// sendWhenPersisted sends a message once the current state is on stable storage, so that the promises in the message
// survive a loss of power.
func (c *Coordinator) sendWhenPersisted(to fleet.Member, message Message) {
	if c.persistence.isPersisted() {
		c.send(to, message)
		return
	}
	c.persistence.deferMessage(to, message)
}

func (c *Coordinator) sendAfterSave(to fleet.Member, message Message, afterSave bool) {
	if afterSave {
		c.sendWhenPersisted(to, message)
	} else {
		c.send(to, message)
	}
}

// takeActions advances all pending requests, starts a write of the state if one is due, and returns the collected actions.
func (c *Coordinator) takeActions(now time.Duration) Actions {
	for {
		c.advance(now)
		if len(c.loopback) == 0 {
			break
		}
		message := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.dispatch(now, c.membership.Self(), message)
	}
	c.startWriteIfDue(now)
	actions := c.actions
	c.actions = Actions{}
	return actions
}

// stateSnapshot is a consistent snapshot of the state against which pending requests are evaluated.
type stateSnapshot struct {
	view          membership.View
	hasQuorum     bool
	committed     chainreplication.Register
	hasCommitted  bool   // whether committed is set
	committedView uint64 // number of the view in which a commit was last observed
}

// isCommitted reports whether a commit condition is met.
func (s stateSnapshot) isCommitted(condition chainreplication.CommitCondition) bool {
	return s.isCommittedInView(condition.ViewNumber, condition.Sequence)
}

// isCommittedInView reports whether a sequence is committed in a view. Commits in other views do not count: their registers
// may lack commands accepted by this view's head.
func (s stateSnapshot) isCommittedInView(viewNumber, sequence uint64) bool {
	return s.hasCommitted && s.committedView == viewNumber && s.committed.Sequence >= sequence
}

// advance advances all pending requests. Work requested by the chain replica is applied last, so that all requests are
// evaluated against the same state.
func (c *Coordinator) advance(now time.Duration) {
	snapshot := stateSnapshot{
		view:          c.membership.View(),
		hasQuorum:     c.membership.HasQuorumContact(now),
		committedView: c.chain.CommittedView(),
	}
	snapshot.committed, snapshot.hasCommitted = c.chain.Committed()
	chainWork := c.advanceProposals(now, snapshot)
	c.advanceReads(now, snapshot)
	c.advanceReplications(now, snapshot)
	for _, ready := range chainWork {
		c.applyChainReady(ready)
	}
}
