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
	// requestTimeout is the time after which an unanswered proposal or read fails.
	requestTimeout = 900 * time.Millisecond

	// proposeForwardWindow is the time after its arrival during which a proposal may be sent to the head.
	proposeForwardWindow = 500 * time.Millisecond

	// proposeRetryInterval is the delay before a proposal without a response is sent to the head again.
	proposeRetryInterval = 150 * time.Millisecond

	// maxProposalAge is the maximum age of the head clock reading in a forwarded proposal. The head rejects older proposals
	// as delayed.
	maxProposalAge = 350 * time.Millisecond

	// never is a time before all others. It marks proposals that were not sent, or must not be sent.
	never = -time.Hour
)

// pendingProposal is a proposal of a caller without a response.
type pendingProposal struct {
	command         chainreplication.Command
	accepted        bool                             // accepted by the head of the view in commitCondition
	commitCondition chainreplication.CommitCondition // condition under which the command is committed
	receivedAt      time.Duration                    // never: the proposal must not be sent any more
	sentAt          time.Duration                    // last sent to another member; never: not sent
	retryAt         time.Duration                    // earliest time of the next attempt
	retriedEarly    bool                             // whether the single retry ahead of retryAt was used
	deadline        time.Duration
}

// Propose starts a proposal and returns its request ID. The Response is returned with these Actions or with later ones. It has
// no error once the command is committed, ErrConflict once another configuration is committed under the same version, and
// ErrNoQuorum or ErrTimeout otherwise.
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

// advanceProposals completes, fails or sends each pending proposal. It returns the work requested by the chain replica for the
// proposals that this member accepted as the head.
func (c *Coordinator) advanceProposals(now time.Duration, snapshot stateSnapshot) []chainreplication.Ready {
	var chainWork []chainreplication.Ready
	for _, id := range slices.Sorted(maps.Keys(c.proposals)) {
		proposal := c.proposals[id]
		if proposal.accepted && snapshot.view.Number != proposal.commitCondition.ViewNumber {
			// The head of a former view cannot commit. Proposing again is safe because a command is applied at most once.
			proposal.accepted = false
		}
		switch {
		case proposal.accepted && snapshot.isCommitted(proposal.commitCondition):
			var err error
			if proposal.commitCondition.Conflicts {
				err = ErrConflict
			}
			c.finishProposal(id, err)
		case proposal.mustFail(now, snapshot.hasQuorum) && now > proposal.sentAt+maxProposalAge:
			// Fail only after the requests that were sent have expired, so that they cannot override later commands.
			err := ErrTimeout
			if !snapshot.hasQuorum {
				err = ErrNoQuorum
			}
			c.finishProposal(id, err)
		case proposal.shouldSend(now, snapshot.hasQuorum) && len(snapshot.view.Chain) > 0:
			proposal.retryAt = now + proposeRetryInterval
			if head := snapshot.view.Chain[0]; head != c.membership.Self().ID {
				c.forwardProposal(now, head, id, proposal)
			} else if !c.persistence.diskUnhealthy {
				condition, chainReady := c.chain.Propose(now, proposal.command)
				proposal.accepted, proposal.commitCondition = true, condition
				chainWork = append(chainWork, chainReady)
			}
		}
	}
	return chainWork
}

func (p *pendingProposal) mustFail(now time.Duration, hasQuorum bool) bool {
	return !hasQuorum || now > p.deadline || !p.accepted && now > p.receivedAt+proposeForwardWindow
}

func (p *pendingProposal) shouldSend(now time.Duration, hasQuorum bool) bool {
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

// handleProposeRequest handles a command forwarded by another member, if this member is the head.
//
// A delayed request must not take effect: its caller may have retried the command elsewhere and reverted it since. The age of
// the request is measured by the echoed reading of this member's own clock. The sender reports a failure to its caller only
// after the requests that it sent are too old to be accepted.
func (c *Coordinator) handleProposeRequest(now time.Duration, from fleet.Member, request *peermessages.ProposeRequest) {
	response := &peermessages.ProposeResponse{RequestID: request.RequestID, HeadClock: c.membership.Clock(now)}
	if !c.membership.IsRecentReading(now, request.HeadClock, maxProposalAge) || !c.canAcceptCommands(now) {
		c.send(from, Message{ProposeResponse: response})
		return
	}
	condition, ready := c.chain.Propose(now, request.Command)
	response.ViewNumber, response.Sequence = condition.ViewNumber, condition.Sequence
	response.Conflict, response.Accepted = condition.Conflicts, true
	c.applyChainReady(ready)
	// Respond only once the command is on this disk. Otherwise a head that restarts within the same view could assign the
	// sequence to another command, whose commit would acknowledge this one.
	c.sendWhenPersisted(from, Message{ProposeResponse: response})
}

// canAcceptCommands reports whether this member may accept commands as the head of the chain.
func (c *Coordinator) canAcceptCommands(now time.Duration) bool {
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
		proposal.commitCondition = chainreplication.CommitCondition{
			ViewNumber: response.ViewNumber,
			Sequence:   response.Sequence,
			Conflicts:  response.Conflict,
		}
	case !proposal.retriedEarly: // possibly rejected for its age; retry with the clock reading in this response
		proposal.retriedEarly, proposal.retryAt = true, now
	}
}

// expireProposalsAfterClockStall stops sending the pending proposals if this machine was suspended together with its clock.
// They may have waited in its sockets while they were retried elsewhere and reverted. Proposals already in the chain are
// unaffected.
func (c *Coordinator) expireProposalsAfterClockStall() {
	if !c.membership.TakeClockStall() {
		return
	}
	c.actions.ClockStallDetected = true
	for _, proposal := range c.proposals {
		proposal.receivedAt = never
	}
}
