package controller

import (
	"net/http"
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/fleet"
)

// handleHeartbeat processes a heartbeat that a replica sent to this member.
func (c *Controller) handleHeartbeat(now time.Duration, token uint64, heartbeat fleet.Instance) {
	if !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonNoQuorum})
		return
	}
	if !c.canTrack(heartbeat.ID) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonInstanceLimit})
		return
	}
	if change := c.registry.Heartbeat(now, heartbeat); change.Changed {
		if change.Urgent {
			c.logInfo("draining", "instance", heartbeat.ID)
		}
		// Other members may consider the instance warm, or assume a shorter warm-up. A drain is sent to them by replicateRemoval.
		if !heartbeat.Draining && heartbeat.WarmupMillis > 0 {
			c.broadcastInstances(now, []fleet.Instance{heartbeat})
		}
		c.publish(now, change.Urgent)
	}
	address := c.heartbeatTarget(now, heartbeat.Zone)
	if heartbeat.Draining {
		c.replicateRemoval(now, removalCall{removal: removal{id: heartbeat.ID}, instance: heartbeat, token: token, address: address})
		return
	}
	c.respond(Response{Token: token, Status: http.StatusOK, Address: address})
}

// canTrack reports whether an instance is tracked or may be added without exceeding MaxInstances. The limit bounds the memory that callers with
// ever new instance IDs can use.
func (c *Controller) canTrack(id string) bool {
	return c.options.MaxInstances == 0 || c.registry.Len() < c.options.MaxInstances || c.registry.Contains(id)
}

// heartbeatTarget returns the API address to which a replica should send further heartbeats: that of a member in the replica's zone, which
// avoids cross-zone traffic. It is empty if no such member is reachable.
func (c *Controller) heartbeatTarget(now time.Duration, zone string) string {
	if zone == c.options.Zone {
		return c.options.ControlAddr
	}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.Zone == zone && peer.APIAddr != "" && c.coordinator.IsReachable(now, peer.ID) {
			return peer.APIAddr
		}
	}
	return ""
}

// handleDeregister deregisters an instance at its own request.
func (c *Controller) handleDeregister(now time.Duration, token uint64, id string) {
	if !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonNoQuorum})
		return
	}
	if !c.canTrack(id) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonInstanceLimit})
		return
	}
	c.deregisterLocally(now, id, registry.EvidenceOwnCall, "")
	c.replicateRemoval(now, removalCall{
		removal:  removal{id: id, deregistered: true},
		instance: fleet.Instance{ID: id, Deregistered: true},
		token:    token,
	})
}

// deregister deregisters an instance that a gateway has proven gone, and notifies all members and gateways immediately.
func (c *Controller) deregister(now time.Duration, id, gateway string) {
	if c.deregisterLocally(now, id, registry.EvidenceMisdirected, gateway) {
		c.broadcastInstances(now, []fleet.Instance{{ID: id, Deregistered: true}})
	}
}

// deregisterLocally deregisters an instance and notifies this member's gateways immediately. It reports whether the instance was registered.
func (c *Controller) deregisterLocally(now time.Duration, id string, evidence registry.Evidence, by string) bool {
	if !c.registry.Deregister(now, id, evidence, by) {
		return false
	}
	c.publish(now, true)
	return true
}

// mergeInstances merges instances reported by another member or a gateway.
func (c *Controller) mergeInstances(now time.Duration, instances []fleet.Instance) {
	if len(instances) == 0 {
		return
	}
	if change := c.registry.Merge(now, instances); change.Changed {
		c.publish(now, change.Urgent)
	}
}

// activeReplicas returns the IDs of all active instances of the service that the given instance belongs to.
func (c *Controller) activeReplicas(now time.Duration, id string) (active []string) {
	instance, ok := c.registry.Get(now, id)
	if !ok {
		return nil
	}
	c.registry.Each(now, func(other fleet.Instance) {
		if other.Service == instance.Service && !other.Draining && !other.HeartbeatTimedOut {
			active = append(active, other.ID)
		}
	})
	return active
}
