package controller

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/fleet"
)

const (
	gossipInterval = time.Second

	// gossipRepeatPeriod is how long a change is repeated in gossip rounds, as messages may be lost.
	gossipRepeatPeriod = 3 * time.Second
)

// revisionSample is the registry's revision at a point in time.
type revisionSample struct {
	at       time.Duration
	revision uint64
}

// handlePeerMessage processes a message from another member.
func (c *Controller) handlePeerMessage(now time.Duration, from fleet.Member, message *Message) {
	if message.Coordinator != nil {
		c.applyCoordinatorActions(now, c.coordinator.Step(now, from, *message.Coordinator))
	}
	if message.Fleet != nil {
		c.peerGatewayCounts[from.ID] = message.Fleet.GatewayCount
		if len(message.Fleet.Nodes) > 0 || c.maintenanceState().Enabled() {
			c.maintenance.peerSummaries[from.ID] = peerSummary{now, *message.Fleet}
		}
	}
	c.recordKeyLoads(message.KeyLoads)
	for _, ejection := range message.Ejections {
		c.outliers.RecordRemote(now, ejection)
		c.publishEjection(ejection)
	}
	c.mergeInstances(now, message.Instances)
	if message.PersistRequest != 0 {
		c.applyCoordinatorActions(now, c.coordinator.PersistHints(now, from, message.PersistRequest))
	}
}

// broadcastInstances sends instances to the other members without waiting for the next gossip round.
func (c *Controller) broadcastInstances(now time.Duration, instances []fleet.Instance) {
	for _, peer := range c.coordinator.Peers(now) {
		c.send(peer.Addr, Message{Instances: instances})
	}
}

// gossip periodically sends the heartbeats received directly and the recently changed instances to every other member. A member that has
// become reachable again is sent all instances.
func (c *Controller) gossip(now time.Duration) {
	if now < c.nextGossipAt {
		return
	}
	heartbeats := c.registry.DirectHeartbeats(now, c.nextGossipAt-gossipInterval)
	c.nextGossipAt = now + gossipInterval
	changes := c.recentChanges(now)
	summary := peermessages.GatewaySummary{GatewayCount: len(c.streams)}
	if c.maintenanceState().Enabled() {
		summary = c.localSummary(now)
	}
	for _, peer := range c.coordinator.Peers(now) {
		if peer.ID == "" {
			continue
		}
		instances := changes
		reachable := c.coordinator.IsReachable(now, peer.ID)
		if reachable && !c.connectedPeers[peer.ID] {
			instances = c.registry.ChangesSince(now, registry.AllRevisions)
		}
		c.connectedPeers[peer.ID] = reachable
		c.send(peer.Addr, Message{Instances: appendHeartbeats(instances, heartbeats), Fleet: &summary})
	}
	c.pruneGatewaySummaries(now)
}

// recentChanges returns the instances that changed within the last gossipRepeatPeriod.
func (c *Controller) recentChanges(now time.Duration) []fleet.Instance {
	c.gossipRevisions = append(c.gossipRevisions, revisionSample{now, c.registry.Revision()})
	for len(c.gossipRevisions) > 1 && now-c.gossipRevisions[0].at > gossipRepeatPeriod {
		c.gossipRevisions = c.gossipRevisions[1:]
	}
	return c.registry.ChangesSince(now, c.gossipRevisions[0].revision)
}

// pruneGatewaySummaries drops the gateway counts and summaries of unreachable members, as their gateways reconnect to other members.
func (c *Controller) pruneGatewaySummaries(now time.Duration) {
	for _, id := range sortedKeys(c.peerGatewayCounts) {
		if !c.coordinator.IsReachable(now, id) {
			delete(c.peerGatewayCounts, id)
			delete(c.maintenance.peerSummaries, id)
		}
	}
}

// appendHeartbeats adds the heartbeats of instances that are not already listed.
func appendHeartbeats(instances, heartbeats []fleet.Instance) []fleet.Instance {
	listed := map[string]bool{}
	for _, instance := range instances {
		listed[instance.ID] = true
	}
	merged := slices.Clone(instances)
	for _, heartbeat := range heartbeats {
		if !listed[heartbeat.ID] {
			merged = append(merged, heartbeat)
		}
	}
	slices.SortStableFunc(merged, func(a, b fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}
