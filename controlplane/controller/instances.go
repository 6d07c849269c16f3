package controller

import (
	"net/http"
	"time"

	"zincloft.example/zincloft/fleet"
)

// handleHeartbeat takes a heartbeat that a replica sent to this member.
func (c *Controller) handleHeartbeat(now time.Duration, token uint64, heartbeat fleet.Instance) {
	if !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonNoQuorum})
		return
	}
	if !c.hasRoomFor(heartbeat.ID) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonInstancesFull})
		return
	}
	if change := c.registry.Heartbeat(now, heartbeat); change.Changed {
		if change.Urgent {
			c.logInfo("draining", "instance", heartbeat.ID)
		}
		if !heartbeat.Draining && heartbeat.WarmupMillis > 0 { // the others may know it as warm, or as warming up for a shorter time
			c.broadcastInstances(now, []fleet.Instance{heartbeat})
		} // a drain is sent by acknowledgeEnding
		c.publish(now, change.Urgent)
	}
	address := c.heartbeatTarget(now, heartbeat.Zone)
	if heartbeat.Draining {
		c.acknowledgeEnding(now, endingCall{ending: ending{id: heartbeat.ID}, instance: heartbeat, token: token, address: address})
		return
	}
	c.respond(Response{Token: token, Status: http.StatusOK, Address: address})
}

// hasRoomFor reports whether an instance is remembered, or may be: whoever calls by ever new names would else fill the member's memory.
func (c *Controller) hasRoomFor(id string) bool {
	return c.options.MaxInstances == 0 || c.registry.Len() < c.options.MaxInstances || c.registry.Contains(id)
}

// heartbeatTarget is where a replica is to send its further heartbeats: a member in its own zone, as traffic between zones costs. It is empty
// where no such member can be reached.
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

// handleDeregister ends an instance at its own request.
func (c *Controller) handleDeregister(now time.Duration, token uint64, id string) {
	if !c.coordinator.HasQuorumContact(now) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonNoQuorum})
		return
	}
	if !c.hasRoomFor(id) {
		c.respond(Response{Token: token, Status: http.StatusServiceUnavailable, Reason: reasonInstancesFull})
		return
	}
	c.endInstance(now, id, "itself")
	c.acknowledgeEnding(now, endingCall{
		ending:   ending{id: id, deregistered: true},
		instance: fleet.Instance{ID: id, Deregistered: true},
		token:    token,
	})
}

// deregister ends an instance on a gateway's proof, and notifies all members and gateways at once.
func (c *Controller) deregister(now time.Duration, id, by string) {
	if c.endInstance(now, id, by) {
		c.broadcastInstances(now, []fleet.Instance{{ID: id, Deregistered: true}})
	}
}

// endInstance ends an instance and notifies this member's gateways at once. It reports whether that is new.
func (c *Controller) endInstance(now time.Duration, id, by string) bool {
	if !c.registry.Deregister(now, id) {
		return false
	}
	c.logInfo("instance_deregistered", "instance", id, "by", by)
	c.publish(now, true)
	return true
}

// mergeInstances takes in instances that another member or a gateway has reported.
func (c *Controller) mergeInstances(now time.Duration, instances []fleet.Instance) {
	if len(instances) == 0 {
		return
	}
	if change := c.registry.Merge(now, instances); change.Changed {
		c.publish(now, change.Urgent)
	}
}

// activeReplicas lists the instances in use of the service that one belongs to.
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
