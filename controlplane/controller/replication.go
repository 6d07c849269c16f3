package controller

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/gatewayconfig"
)

// instanceHints provides the instances that the coordinator persists alongside the replicated state.
type instanceHints struct{ controller *Controller }

// Revision returns the revision of the registry.
func (h instanceHints) Revision() uint64 { return h.controller.registry.Revision() }

// Instances returns all instances. Those in an evacuated zone are marked as stale, because the write that includes them may also commit the end
// of the evacuation, after which they may have to warm up. So are those that may be cold although
// their heartbeats do not say so: the mark replaces an unknown warm-up state.
func (h instanceHints) Instances() []fleet.Instance {
	now, tracked := h.controller.lastTickAt, h.controller.registry
	instances := tracked.ChangesSince(now, registry.AllRevisions)
	for i, instance := range instances {
		mayBeCold := instance.WarmupStateUnknown || tracked.MayBeCold(now, instance.ID)
		if mayBeCold || slices.Contains(h.controller.evacuatedZones, instance.Zone) {
			instances[i].WarmupStateUnknown = false
			instances[i].Stale = true
		}
	}
	return instances
}

// applyCoordinatorActions performs the actions returned by the coordinator.
func (c *Controller) applyCoordinatorActions(now time.Duration, actions coordinator.Actions) {
	if actions.ClockStallDetected {
		c.logWarning("clock_stopped")
		c.resumedAt = now
	}
	if actions.DiskHealth != "" {
		c.logWarning("disk_health", "state", actions.DiskHealth)
	}
	for _, outbound := range actions.Messages {
		c.send(outbound.To, Message{Coordinator: &outbound.Message})
	}
	if actions.StateToPersist != nil {
		c.actions.Write = actions.StateToPersist
	}
	if actions.ViewInstalled {
		c.handleViewInstalled()
	}
	if actions.RegisterCommitted {
		c.applyCommitted(now)
	}
	for _, response := range actions.Responses {
		c.dispatchResponse(now, response)
	}
}

// handleViewInstalled schedules the publication of the members of a new view.
func (c *Controller) handleViewInstalled() {
	view := c.coordinator.View()
	c.logInfo("view_installed", "view", view.Number, "chain", view.Chain, "voters", len(view.Voters))
	for _, stream := range c.streams {
		stream.membersSent = false
	}
}

// dispatchResponse routes a response of the coordinator to the originator of the request: joining gateways, a replica's removal, another
// call, or a maintenance proposal.
func (c *Controller) dispatchResponse(now time.Duration, response coordinator.Response) {
	if response.RequestID == c.confirmRequest {
		c.completeJoins(now, response.Err)
		return
	}
	if response.RequestID == c.owners.authorityRequest {
		c.completeAuthority(now, response)
		return
	}
	if response.RequestID == c.owners.proposalRequest {
		c.owners.proposalRequest = 0
		if response.Err == nil { // a failed proposal is made again with the next tick: it would fail at once for the same reason
			c.advanceOwnership(now)
		}
		return
	}
	if call, ok := c.removalCalls[response.RequestID]; ok {
		delete(c.removalCalls, response.RequestID)
		c.completeRemoval(call, response)
		return
	}
	if token, ok := c.callTokens[response.RequestID]; ok {
		delete(c.callTokens, response.RequestID)
		c.respond(Response{Token: token, Status: response.Status(), Body: response.Body, Address: response.RedirectTo(), Reason: response.Reason()})
		return
	}
	if proposal, ok := c.maintenance.proposals[response.RequestID]; ok {
		delete(c.maintenance.proposals, response.RequestID)
		c.handleProposalResult(now, proposal, response)
	}
}

// applyCommitted applies the committed register.
func (c *Controller) applyCommitted(now time.Duration) {
	register, _ := c.coordinator.Register()
	if (c.config == nil || c.config.Version != register.Version) && len(register.Body) > 0 {
		c.applyConfiguration(now, register)
	}
	c.updateEvacuations(now, register)
	c.publish(now, true)
	c.advanceOwnership(now)
}

// applyConfiguration applies a committed configuration. If it cannot be parsed, the previous one stays in effect.
func (c *Controller) applyConfiguration(now time.Duration, register chainreplication.Register) {
	config, err := gatewayconfig.Parse(register.Body)
	if err != nil {
		c.logWarning("config_unreadable", "version", register.Version, "error", err.Error())
		return
	}
	c.config = config
	c.owners.services = config.ShardedServices()
	c.registry.SetWarmupDurations(config.WarmupDurations())
	c.weights.Configure(now, config, c.gatewayCount())
	c.weightsRevision = registry.AllRevisions
	c.logInfo("config_committed", "version", register.Version, "sequence", register.Sequence, "routes", config.RouteCount)
}

// updateEvacuations updates the set of evacuated zones. When the evacuation of a zone ends, the zone's instances are treated as warming up for as
// long as they may be cold.
func (c *Controller) updateEvacuations(now time.Duration, register chainreplication.Register) {
	for _, zone := range c.evacuatedZones {
		if !register.EvacuatedZones[zone] {
			c.registry.MarkWarmupStateUnknown(now, zone)
		}
	}
	if evacuated := sortedKeys(register.EvacuatedZones); !slices.Equal(evacuated, c.evacuatedZones) {
		c.logInfo("evacuations_changed", "zones", evacuated, "sequence", register.Sequence)
		c.evacuatedZones = evacuated
	}
}
