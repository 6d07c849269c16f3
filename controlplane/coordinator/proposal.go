package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/invariant"
)

const (
	// requestTimeout is after how long a proposal or a read that could not be answered is refused. Callers turn to another
	// member after a second.
	requestTimeout = 900 * time.Millisecond

	// proposeForwardWindow is for how long after its arrival a proposal is sent to the head.
	proposeForwardWindow = 500 * time.Millisecond

	// proposeRetryInterval is after how long a proposal without a response is sent to the head again.
	proposeRetryInterval = 150 * time.Millisecond

	// maxProposalAge bounds how long ago the sender of a forwarded proposal may have heard the head. An older one was delayed
	// on its way and is rejected.
	maxProposalAge = 350 * time.Millisecond

	// never stands for a time before any other.
	never = -time.Hour
)

// pendingProposal is a caller's proposal that has no response yet.
type pendingProposal struct {
	command         chainreplication.Command
	accepted        bool                             // by the head of the view in position
	commitCondition chainreplication.CommitCondition // what must be committed for the command to hold
	receivedAt      time.Duration                    // never: it must not be sent any more
	sentAt          time.Duration                    // to another member; never: nothing of it is under way
	retryAt         time.Duration                    // when it may be sent again
	retriedEarly    bool                             // it was sent again before that, once
	deadline        time.Duration
}

// Propose starts a caller's proposal and returns its request ID. The Response comes with these Actions or with later ones:
// without an error once the command is committed; with ErrConflict once it is certain that another configuration holds its
// version; else with ErrNoQuorum or ErrTimeout.
func (c *Coordinator) Propose(now time.Duration, command chainreplication.Command) (uint64, Actions) {
	id := c.nextRequestID()
	command.ID = xxhash.Sum64String(fmt.Sprint(c.membership.Self().ID, " ", c.incarnation, " ", id))
	c.proposals[id] = &pendingProposal{command: command, receivedAt: now, deadline: now + requestTimeout, sentAt: never, retryAt: now}
	return id, c.takeActions(now)
}

func (c *Coordinator) nextRequestID() uint64 {
	c.lastRequestID++
	return c.lastRequestID
}

// advanceProposals answers, gives up or sends each pending proposal. It returns what the chain wants done for those that this
// member took as the head.
func (c *Coordinator) advanceProposals(now time.Duration, step stepState) []chainreplication.Ready {
	var ready []chainreplication.Ready
	for _, id := range slices.Sorted(maps.Keys(c.proposals)) {
		proposal := c.proposals[id]
		if proposal.accepted && step.view.Number != proposal.commitCondition.ViewNumber {
			// The head of a former view cannot commit. Proposing again is safe, as a command is applied once.
			proposal.accepted = false
		}
		switch {
		case proposal.accepted && step.isCommitted(proposal.commitCondition):
			var err error
			if proposal.commitCondition.Conflicts {
				err = ErrConflict
			}
			c.finishProposal(id, err)
		case proposal.mustGiveUp(now, step.hasQuorum) && now > proposal.sentAt+maxProposalAge:
			// The caller is refused only now: what is under way is too old by now to take effect over something newer.
			err := ErrTimeout
			if !step.hasQuorum {
				err = ErrNoQuorum
			}
			c.finishProposal(id, err)
		case proposal.maySend(now, step.hasQuorum) && len(step.view.Chain) > 0:
			proposal.retryAt = now + proposeRetryInterval
			if head := step.view.Chain[0]; head != c.membership.Self().ID {
				c.forwardProposal(now, head, id, proposal)
			} else if !c.persistence.diskUnhealthy {
				position, output := c.chain.Propose(now, proposal.command)
				proposal.accepted, proposal.commitCondition = true, position
				ready = append(ready, output)
			}
		}
	}
	return ready
}

func (p *pendingProposal) mustGiveUp(now time.Duration, hasQuorum bool) bool {
	return !hasQuorum || now > p.deadline || !p.accepted && now > p.receivedAt+proposeForwardWindow
}

func (p *pendingProposal) maySend(now time.Duration, hasQuorum bool) bool {
	return hasQuorum && !p.accepted && now >= p.retryAt && now <= p.receivedAt+proposeForwardWindow
}

func (c *Coordinator) finishProposal(id uint64, err error) {
	if command := c.proposals[id].command; err == nil && command.Version > 0 {
		committed, _ := c.chain.Committed()
		invariant.NotBelow(invariant.AcknowledgedIsCommitted, committed.Version, command.Version)
		c.acknowledgedVersion = max(c.acknowledgedVersion, command.Version)
	}
	c.actions.Responses = append(c.actions.Responses, Response{RequestID: id, Err: err})
	delete(c.proposals, id)
}

func (c *Coordinator) forwardProposal(now time.Duration, head string, id uint64, proposal *pendingProposal) {
	member, ok := c.lookupMember(head)
	if !ok {
		return
	}
	proposal.sentAt = now
	request := &peermessages.ProposeRequest{RequestID: id, Command: proposal.command, HeadClock: c.membership.PeerClock(member.ID)}
	c.send(member, Message{ProposeRequest: request})
}

// handleProposeRequest takes a command that another member forwards, if this member is the head.
//
// A request that was delayed may have been proposed again by another way, acknowledged, and undone by a later command since:
// commands of operators carry no sequence of their own, so it must not take effect any more. Its age is judged by this member's
// own clock, as the sender last heard it; the sender refuses its caller only once what it sent is too old to be taken.
func (c *Coordinator) handleProposeRequest(now time.Duration, from fleet.Member, request *peermessages.ProposeRequest) {
	response := &peermessages.ProposeResponse{RequestID: request.RequestID, HeadClock: c.membership.Clock(now)}
	if !c.membership.IsRecentReading(now, request.HeadClock, maxProposalAge) || !c.mayTakeCommands(now) {
		c.send(from, Message{ProposeResponse: response})
		return
	}
	position, ready := c.chain.Propose(now, request.Command)
	response.ViewNumber, response.Sequence = position.ViewNumber, position.Sequence
	response.Conflict, response.Accepted = position.Conflicts, true
	c.applyChainReady(ready)
	// Not before the command is on this disk: a head that is killed and restarts within the same view would give the position
	// to another command, by which this one would be acknowledged.
	c.sendWhenPersisted(from, Message{ProposeResponse: response})
}

// mayTakeCommands reports whether this member may take commands as the head of the chain.
func (c *Coordinator) mayTakeCommands(now time.Duration) bool {
	return c.chain.IsHead() && c.membership.HasQuorumContact(now) && !c.persistence.diskUnhealthy
}

func (c *Coordinator) handleProposeResponse(now time.Duration, from fleet.Member, response *peermessages.ProposeResponse) {
	c.membership.ObserveClock(now, from.ID, response.HeadClock)
	c.expireProposalsAfterClockStall()
	proposal := c.proposals[response.RequestID]
	switch {
	case proposal == nil:
	case response.Accepted:
		proposal.accepted = true
		proposal.commitCondition = chainreplication.CommitCondition{ViewNumber: response.ViewNumber, Sequence: response.Sequence, Conflicts: response.Conflict}
	case !proposal.retriedEarly: // rejected for its age, perhaps: now that the head's clock is known, try again at once
		proposal.retriedEarly, proposal.retryAt = true, now
	}
}

// expireProposalsAfterClockStall gives up the pending proposals if this machine was suspended together with its clock: they may
// have waited in its sockets, been proposed again elsewhere and undone since. What is in the chain goes its way.
func (c *Coordinator) expireProposalsAfterClockStall() {
	if !c.membership.TakeClockStall() {
		return
	}
	c.actions.ClockStallDetected = true
	for _, proposal := range c.proposals {
		proposal.receivedAt = never
	}
}
