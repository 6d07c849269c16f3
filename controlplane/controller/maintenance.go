package controller

import (
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/fleet"
)

const (
	// maintenanceRecord is the key of the register record that stores the maintenance state.
	maintenanceRecord = "windows"

	// maintenanceInterval is how often the head of the chain reconciles the maintenance windows.
	maintenanceInterval = time.Second

	// maxProposalRetries limits how often an operator's command is retried after a conflicting change.
	maxProposalRetries = 4
)

// maintenanceTracker holds the member's decoded maintenance state, its pending proposals and the gateway summaries of other members.
type maintenanceTracker struct {
	state         maintenance.State // decoded from the register's record
	revision      uint64            // revision of that record
	nextAdvanceAt time.Duration
	drainedSince  map[string]time.Duration // by node: when this member first saw it drained, by its own clock

	proposals     map[uint64]proposal // by coordinator request ID
	proposalCount uint64

	peerSummaries map[string]peerSummary // by member ID
}

func newMaintenanceTracker() maintenanceTracker {
	return maintenanceTracker{
		drainedSince:  map[string]time.Duration{},
		proposals:     map[uint64]proposal{},
		peerSummaries: map[string]peerSummary{},
	}
}

// proposal is a change of the maintenance state that awaits its commit.
type proposal struct {
	changeID string
	command  *maintenance.Command // the operator's command to respond to; nil for a change by this member
	token    uint64               // token of the operator's call
	retries  int
}

// maintenanceState returns the committed maintenance state.
func (c *Controller) maintenanceState() maintenance.State {
	register, known := c.coordinator.Register()
	record, ok := register.Records[maintenanceRecord]
	if !known || !ok {
		return maintenance.State{}
	}
	if record.Revision != c.maintenance.revision {
		var state maintenance.State
		if err := cbor.Unmarshal(record.Value, &state); err != nil {
			c.logWarning("maintenance_state_unreadable", "error", err.Error())
		}
		c.maintenance.revision = record.Revision
		c.maintenance.state = state
	}
	return c.maintenance.state
}

// handleMaintenanceCommand applies an operator's command to the committed state and proposes the result.
func (c *Controller) handleMaintenanceCommand(now time.Duration, proposal proposal) {
	if _, known := c.coordinator.Register(); !known || !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: proposal.token, Status: http.StatusServiceUnavailable})
		return
	}
	next, err := c.maintenanceState().Apply(*proposal.command)
	if err != nil {
		c.respond(Response{Token: proposal.token, Status: http.StatusConflict, Body: []byte(err.Error())})
		return
	}
	c.proposeMaintenance(now, next, proposal)
}

// proposeMaintenance proposes a new maintenance state with optimistic concurrency: it is committed only if the record is unchanged.
func (c *Controller) proposeMaintenance(now time.Duration, state maintenance.State, proposal proposal) {
	value, err := cbor.Marshal(state)
	if err != nil {
		c.logWarning("maintenance_state_unwritable", "error", err.Error())
		return
	}
	register, _ := c.coordinator.Register()
	c.maintenance.proposalCount++
	proposal.changeID = fmt.Sprintf("%s %d %d", c.coordinator.Self().ID, c.options.RandomSeed, c.maintenance.proposalCount)
	request, actions := c.coordinator.Propose(now, chainreplication.Command{
		Record:           maintenanceRecord,
		ExpectedRevision: register.Records[maintenanceRecord].Revision,
		ChangeID:         proposal.changeID,
		Value:            value,
	})
	c.maintenance.proposals[request] = proposal
	c.applyCoordinatorActions(now, actions)
}

// handleProposalResult processes the coordinator's response to a proposal. An operator's command that conflicted with another change is
// retried on the newer state.
func (c *Controller) handleProposalResult(now time.Duration, proposal proposal, response coordinator.Response) {
	if proposal.command == nil {
		return
	}
	register, _ := c.coordinator.Register()
	switch {
	case response.Err != nil:
		c.respond(Response{Token: proposal.token, Status: response.Status()})
	case register.Records[maintenanceRecord].HasChange(proposal.changeID):
		c.respond(Response{Token: proposal.token, Status: http.StatusOK})
	case proposal.retries < maxProposalRetries:
		proposal.retries++
		c.handleMaintenanceCommand(now, proposal)
	default:
		c.respond(Response{Token: proposal.token, Status: http.StatusServiceUnavailable})
	}
}

// advanceMaintenance runs on the head of the chain. It grants and revokes windows, records the phases reported by nodes, and ends windows whose
// duration is over. At most one proposal is pending at a time.
func (c *Controller) advanceMaintenance(now time.Duration) {
	if now < c.maintenance.nextAdvanceAt || len(c.maintenance.proposals) > 0 {
		return
	}
	c.maintenance.nextAdvanceAt = now + maintenanceInterval
	state := c.maintenanceState()
	isHead := c.coordinator.View().Position(c.coordinator.Self().ID) == 0
	if !state.Enabled() || !isHead || !c.coordinator.HasQuorumContact(now) {
		clear(c.maintenance.drainedSince)
		return
	}
	next, changed := state.Reconcile(c.mergedFleet(now))
	if !changed {
		next, changed = c.expireWindow(now, state)
	}
	if !changed {
		return
	}
	if change, ok := newAuditEntry(state, next); ok {
		c.logInfo("maintenance_window_changed", "change", change)
	}
	c.proposeMaintenance(now, next, proposal{})
}

// expireWindow ends the first window whose node has been drained for the window's duration.
func (c *Controller) expireWindow(now time.Duration, state maintenance.State) (next maintenance.State, changed bool) {
	drainedSince := c.maintenance.drainedSince
	for _, window := range state.Windows {
		if window.Phase != fleet.PhaseDrained || window.DurationSeconds <= 0 {
			continue
		}
		if _, ok := drainedSince[window.Node]; !ok {
			drainedSince[window.Node] = now
		}
		if now-drainedSince[window.Node] >= time.Duration(window.DurationSeconds)*time.Second {
			delete(drainedSince, window.Node)
			if next, changed = state.Expire(window.Node); changed {
				return next, true
			}
		}
	}
	return next, false
}

// newAuditEntry returns the newest audit log entry of after, unless before ends with the same entry.
func newAuditEntry(before, after maintenance.State) (entry string, ok bool) {
	if len(after.AuditLog) == 0 {
		return "", false
	}
	newest := after.AuditLog[len(after.AuditLog)-1]
	if len(before.AuditLog) > 0 && before.AuditLog[len(before.AuditLog)-1] == newest {
		return "", false
	}
	return newest, true
}
