package controller

import (
	"errors"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// gatewayStream is the stream to a gateway that is connected to this member, with what has been published on it.
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

	status   *messages.GatewayStatus // where maintenance windows are used; nil: none reported
	statusAt time.Duration
}

// findStream returns a stream, or nil if it has ended or was never let in.
func (c *Controller) findStream(id uint64) *gatewayStream {
	for _, stream := range c.streams {
		if stream.id == id {
			return stream
		}
	}
	return nil
}

// handleGatewayJoined has a gateway wait until a quorum has confirmed, after it connected, that the register committed here is the newest:
// else a gateway that has just started could be sent what this member knew before it was cut off or stalled. Gateways that connect while a
// read is under way wait for the next one.
func (c *Controller) handleGatewayJoined(now time.Duration, joined GatewayJoined) {
	if c.shuttingDown {
		c.closeStream(joined.Stream)
		return
	}
	c.pendingJoins = append(c.pendingJoins, joined)
	c.confirmJoins(now)
}

// confirmJoins begins a linearizable read for the gateways that wait, unless one is under way.
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

// completeJoins lets in the gateways for which a read was made, or closes their streams if it failed, so that they connect to another member.
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

// handleGatewayLeft drops a stream that has ended, whether or not its gateway was let in yet.
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
		return // the gateway has come again meanwhile
	}
	c.weights.RemoveGateway(now, left.gateway)
	c.logInfo("gateway_left", "gateway", left.gateway)
}

// handleReport takes a gateway's load report. Instances that the gateway knows from another member are merged as if that member had sent them.
func (c *Controller) handleReport(now time.Duration, streamID uint64, report *messages.LoadReport) {
	stream := c.findStream(streamID)
	if stream == nil {
		return
	}
	c.weights.RecordReport(now, stream.gateway, report)
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

// observe takes a gateway's observation of a failing replica, and publishes the ejection that may come of it to the gateways and to the other
// members.
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

// gatewayCount is the number of gateways over all members.
func (c *Controller) gatewayCount() int {
	total := len(c.streams)
	for _, count := range c.peerGatewayCounts {
		total += count
	}
	return total
}
