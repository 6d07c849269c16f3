package controller

import (
	"errors"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// gatewayStream is a stream to a connected gateway, with the state last published on it.
type gatewayStream struct {
	id      uint64
	gateway string
	zone    string

	snapshotSent      bool
	registerSent      bool
	registerSequence  uint64
	configVersion     uint64
	instancesRevision uint64
	membersSent       bool
	gatewayCount      int
	warmupRates       map[string]float32 // by instance
	lastSentAt        time.Duration

	owners         ownership.Table // as last published
	ownersRevision uint64

	status   *messages.GatewayStatus // reported if maintenance windows are in use; nil if not yet reported
	statusAt time.Duration
}

// findStream returns an admitted stream, or nil if there is none with this ID.
func (c *Controller) findStream(id uint64) *gatewayStream {
	for _, stream := range c.streams {
		if stream.id == id {
			return stream
		}
	}
	return nil
}

// handleGatewayJoined queues a gateway until a linearizable read, started after it connected, has confirmed that the register committed here is
// the newest. Otherwise a new gateway could receive state from before this member was isolated or stalled. Gateways that connect during a read
// wait for the next one.
func (c *Controller) handleGatewayJoined(now time.Duration, joined GatewayJoined) {
	if c.shuttingDown {
		c.closeStream(joined.Stream)
		return
	}
	c.pendingJoins = append(c.pendingJoins, joined)
	c.confirmJoins(now)
}

// confirmJoins starts a linearizable read for the queued gateways, unless one is in progress.
func (c *Controller) confirmJoins(now time.Duration) {
	if c.confirmRequest != 0 || len(c.pendingJoins) == 0 {
		return
	}
	c.confirmingJoins = c.pendingJoins
	c.pendingJoins = nil
	request, actions := c.coordinator.Read(now)
	c.confirmRequest = request
	c.applyCoordinatorActions(now, actions)
}

// completeJoins admits the gateways that awaited the read. If it failed, their streams are closed, so that they connect to another member.
func (c *Controller) completeJoins(now time.Duration, readErr error) {
	joins := c.confirmingJoins
	c.confirmingJoins = nil
	c.confirmRequest = 0
	confirmed := readErr == nil || errors.Is(readErr, coordinator.ErrNoConfiguration)
	for _, join := range joins {
		if !confirmed {
			c.closeStream(join.Stream)
			continue
		}
		c.streams = append(c.streams, &gatewayStream{id: join.Stream, gateway: join.Gateway, zone: join.Zone})
		c.weights.AddGateway(now, join.Gateway, join.Zone)
	}
	c.updateContact(now)
	c.publish(now, true)
	c.confirmJoins(now)
}

// handleGatewayLeft removes a closed stream, whether or not its gateway was admitted.
func (c *Controller) handleGatewayLeft(now time.Duration, streamID uint64) {
	isStream := func(join GatewayJoined) bool { return join.Stream == streamID }
	c.pendingJoins = slices.DeleteFunc(c.pendingJoins, isStream)
	c.confirmingJoins = slices.DeleteFunc(c.confirmingJoins, isStream)
	left := c.findStream(streamID)
	if left == nil {
		return
	}
	c.streams = slices.DeleteFunc(c.streams, func(stream *gatewayStream) bool { return stream == left })
	if slices.ContainsFunc(c.streams, func(stream *gatewayStream) bool { return stream.gateway == left.gateway }) {
		return // the gateway has reconnected on another stream
	}
	c.weights.RemoveGateway(now, left.gateway)
	c.logInfo("gateway_left", "gateway", left.gateway)
}

// handleReport processes a gateway's load report. Instances that the gateway learned from another member are merged as if that member had sent
// them.
func (c *Controller) handleReport(now time.Duration, streamID uint64, report *messages.LoadReport) {
	stream := c.findStream(streamID)
	if stream == nil {
		return
	}
	c.weights.RecordReport(now, stream.gateway, report)
	c.owners.keyLoads.add(report.KeyLoads)
	if report.Status != nil {
		stream.status = report.Status
		stream.statusAt = now
	}
	for _, observation := range report.Observations {
		c.observe(now, stream.gateway, observation)
	}
	for _, id := range report.Deregistered {
		c.deregister(now, id, stream.gateway)
	}
	c.mergeInstances(now, report.Instances)
}

// observe records a gateway's observation of a failing replica. If it causes an ejection, the gateways and the other members are notified.
func (c *Controller) observe(now time.Duration, gateway string, observation fleet.Observation) {
	ejection, ok := c.outliers.Observe(now, gateway, observation, c.activeReplicas(now, observation.Replica))
	if !ok {
		return
	}
	c.logInfo("instance_ejected", "instance", ejection.Replica, "ejection_ms", ejection.Milliseconds, "gateway", gateway)
	c.publishEjection(ejection)
	for _, peer := range c.coordinator.Peers(now) {
		c.send(peer.Addr, Message{Ejections: []fleet.Ejection{ejection}})
	}
}

// gatewayCount returns the number of gateways connected to all members.
func (c *Controller) gatewayCount() int {
	total := len(c.streams)
	for _, count := range c.peerGatewayCounts {
		total += count
	}
	return total
}
