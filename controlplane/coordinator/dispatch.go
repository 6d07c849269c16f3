package coordinator

import (
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
)

// dispatch hands a message to the part of the coordinator that it is for.
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

// applyMembershipReady does what a step of the membership node asks for.
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

// installView makes the chain follow the view that is installed.
func (c *Coordinator) installView(now time.Duration) {
	c.actions.ViewInstalled = true
	c.applyChainReady(c.chain.InstallView(now, c.membership.View()))
}

// applyChainReady does what a step of the chain's replica asks for.
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

// lookupMember finds a member of the view, or one that was heard of, by its ID.
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

// send sends a message at once. One for this member itself is handled before the current call returns.
func (c *Coordinator) send(to fleet.Member, message Message) {
	if to.ID == c.membership.Self().ID {
		c.loopback = append(c.loopback, message)
		return
	}
	c.actions.Messages = append(c.actions.Messages, Outbound{to.Addr, message})
}

// sendWhenPersisted sends a message once the present state is on stable storage: nothing may be promised that a loss
// of power would undo.
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

// takeActions advances everything as far as it goes, starts a write of the state if one is due, and returns what is to be done.
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

// stepState is what pending proposals and reads are judged by: one consistent reading for all of them.
type stepState struct {
	view          membership.View
	hasQuorum     bool
	committed     chainreplication.Register
	hasCommitted  bool   // committed holds something
	committedView uint64 // number of the view in which a commit was last seen
}

// isCommitted reports whether a proposed command, or its refusal, holds.
func (s stepState) isCommitted(position chainreplication.CommitCondition) bool {
	return s.isCommittedInView(position.ViewNumber, position.Sequence)
}

// isCommittedInView reports whether a sequence is committed in a view. A register that was committed in another one says nothing:
// it may lack what this view's head has taken.
func (s stepState) isCommittedInView(viewNumber, sequence uint64) bool {
	return s.hasCommitted && s.committedView == viewNumber && s.committed.Sequence >= sequence
}

// advance moves pending proposals and reads as far as they go. What the chain wants done for proposals is applied last, so that
// all of them are judged by the same state.
func (c *Coordinator) advance(now time.Duration) {
	step := stepState{view: c.membership.View(), hasQuorum: c.membership.HasQuorumContact(now), committedView: c.chain.CommittedView()}
	step.committed, step.hasCommitted = c.chain.Committed()
	proposed := c.advanceProposals(now, step)
	c.advanceReads(now, step)
	c.advanceReplications(now, step)
	for _, ready := range proposed {
		c.applyChainReady(ready)
	}
}
