package controller

import (
	"encoding/json"
	"fmt"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/granter"
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
)

const (
	// ownershipRecord is the key of the register record that stores the ownership table.
	ownershipRecord = "owners"

	// authorityInterval is how often the head of the chain confirms its authority to make calls to replicas.
	authorityInterval = 250 * time.Millisecond
)

// ownershipTracker holds the member's part in the ownership of sharded services.
type ownershipTracker struct {
	granter  *granter.Granter
	table    ownership.Table // decoded from the register's record
	revision uint64          // revision of that record

	unreadableRevision uint64 // latest revision that could not be decoded

	services []string // sharded services of the committed configuration, sorted

	// Confirmation of the authority to make calls, by linearizable reads.
	authorityRequest   uint64 // 0 if no read is in progress
	authorityRequestAt time.Duration
	authorityView      uint64
	authorizedUntil    time.Duration

	proposalRequest uint64 // 0 if no proposal is pending
	proposalCount   uint64

	keyLoads keyLoads
}

func newOwnershipTracker(options Options) ownershipTracker {
	return ownershipTracker{
		granter:  granter.New(granter.Options{MaxLease: options.MaxLease}),
		keyLoads: keyLoads{},
	}
}

// ownershipTable returns the committed table and the revision of its record. If the record cannot be read, they are those of the last one that
// could, see isOwnershipReadable.
func (c *Controller) ownershipTable() (ownership.Table, uint64) {
	register, known := c.coordinator.Register()
	record, ok := register.Records[ownershipRecord]
	if !known || !ok {
		return ownership.Table{}, 0
	}
	if record.Revision != c.owners.revision && record.Revision != c.owners.unreadableRevision {
		table, err := ownership.Decode(record.Value)
		if err != nil {
			c.owners.unreadableRevision = record.Revision
			c.logWarning("ownership_table_unreadable", "revision", record.Revision, "error", err.Error())
			return c.owners.table, c.owners.revision
		}
		c.owners.table = table
		c.owners.revision = record.Revision
	}
	return c.owners.table, c.owners.revision
}

// isOwnershipReadable reports whether the committed table is the one that ownershipTable returns. If another member committed one that this build
// cannot read, ranges may have changed their owners.
func (c *Controller) isOwnershipReadable() bool {
	return c.owners.unreadableRevision <= c.owners.revision
}

// advanceOwnership confirms this member's authority and makes the calls and proposals that are due.
func (c *Controller) advanceOwnership(now time.Duration) {
	if len(c.owners.services) == 0 && c.owners.revision == 0 {
		return
	}
	view := c.coordinator.View()
	isHead := view.Position(c.coordinator.Self().ID) == 0 && c.coordinator.HasQuorumContact(now)
	if isHead {
		c.confirmAuthority(now, view.Number)
	}
	table, revision := c.ownershipTable()
	authorizedUntil := time.Duration(0)
	if c.owners.authorityView == view.Number && !c.rejectsCalls(now) && c.isOwnershipReadable() {
		authorizedUntil = c.owners.authorizedUntil
	}
	output := c.owners.granter.Step(now, granter.Input{
		View:            view.Number,
		Head:            view.Position(c.coordinator.Self().ID) == 0,
		AuthorizedUntil: authorizedUntil,
		Table:           table,
		Services:        c.owners.services,
		Instances:       c.shardedInstances(now),
		EvacuatedZones:  c.evacuatedZones,
		Bootstrapping:   c.bootstrapping(now),
		ProposalPending: c.owners.proposalRequest != 0,
	})
	c.actions.Calls = append(c.actions.Calls, output.Calls...)
	if output.Proposal != nil {
		c.proposeOwnership(now, *output.Proposal, revision, output.Reason)
	}
}

// confirmAuthority starts a linearizable read unless one is in progress or was started recently.
func (c *Controller) confirmAuthority(now time.Duration, view uint64) {
	if c.owners.authorityRequest != 0 || now-c.owners.authorityRequestAt < authorityInterval {
		return
	}
	request, actions := c.coordinator.Read(now)
	c.owners.authorityRequest = request
	c.owners.authorityRequestAt = now
	if c.owners.authorityView != view {
		c.owners.authorityView = view
		c.owners.authorizedUntil = 0
	}
	c.applyCoordinatorActions(now, actions)
}

// completeAuthority records the result of a read. A quorum has confirmed, after the read was started, that it had accepted no later view. No later
// view was decided before the start, so the head of a later one can rely on this authority to end within AuthorityDuration of its own first view.
func (c *Controller) completeAuthority(now time.Duration, response coordinator.Response) {
	c.owners.authorityRequest = 0
	if response.Err != nil {
		return
	}
	if c.coordinator.View().Number == c.owners.authorityView {
		c.owners.authorizedUntil = c.owners.authorityRequestAt + granter.AuthorityDuration
	}
	c.advanceOwnership(now)
}

// proposeOwnership proposes a table on condition that the record is unchanged.
func (c *Controller) proposeOwnership(now time.Duration, table ownership.Table, revision uint64, reason string) {
	value, err := ownership.Encode(table)
	if err != nil {
		c.logWarning("ownership_table_unwritable", "reason", reason, "token", table.LastToken, "revision", revision, "error", err.Error())
		return
	}
	c.owners.proposalCount++
	changeID := fmt.Sprintf("%s %d %d", c.coordinator.Self().ID, c.options.RandomSeed, c.owners.proposalCount)
	request, actions := c.coordinator.Propose(now, chainreplication.Command{
		Record:           ownershipRecord,
		ExpectedRevision: revision,
		ChangeID:         changeID,
		Value:            value,
	})
	c.owners.proposalRequest = request
	c.logInfo("ownership_proposed", "reason", reason, "token", table.LastToken, "revision", revision, "bytes", len(value))
	c.applyCoordinatorActions(now, actions)
}

// handleCallResult processes the result of a call to a replica.
func (c *Controller) handleCallResult(now time.Duration, result ownership.CallResult) {
	if c.owners.granter.HandleResult(now, result) {
		c.advanceOwnership(now)
	}
}

// shardedInstances returns the instances of sharded services, ordered by ID. They include those that have deregistered recently: such a replica
// may still run and release its keys.
func (c *Controller) shardedInstances(now time.Duration) []fleet.Instance {
	sharded := map[string]bool{}
	for _, service := range c.owners.services {
		sharded[service] = true
	}
	var instances []fleet.Instance
	c.registry.EachTracked(now, func(instance fleet.Instance) {
		if sharded[instance.Service] {
			instances = append(instances, instance)
		}
	})
	return instances
}

// DescribeOwners returns the committed owners of all ranges, encoded as JSON.
func (c *Controller) DescribeOwners(time.Duration) ([]byte, error) {
	table, _ := c.ownershipTable()
	return json.Marshal(table.Status())
}

// ownershipMetrics summarizes the committed table and this member's calls.
func (c *Controller) ownershipMetrics(now time.Duration) OwnershipMetrics {
	table, _ := c.ownershipTable()
	leading, _ := c.owners.granter.Leading()
	metrics := OwnershipMetrics{
		Granting:      leading && now < c.owners.authorizedUntil,
		LastToken:     table.LastToken,
		CallsInFlight: c.owners.granter.CallsInFlight(),
	}
	for _, ranges := range table.Services {
		metrics.Ranges += len(ranges)
		for _, r := range ranges {
			if r.Phase == ownership.PhaseReleasing {
				metrics.ReleasingKeys += r.Size()
			}
		}
	}
	return metrics
}
