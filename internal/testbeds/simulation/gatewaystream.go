package simulation

import (
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/messages"
)

// Timing of streams between gateways and members.
const (
	streamTimeout          = time.Second // a gateway disconnects from a member that is silent for this long; same as in internal/daemons/gateway
	dialTimeout            = 300 * time.Millisecond
	refusedDialTime        = time.Millisecond
	minStreamCheckInterval = 50 * time.Millisecond
	streamCheckJitter      = 100             // milliseconds added to minStreamCheckInterval, exclusive bound
	streamReadTimeout      = 4 * time.Second // after which a member notices that a gateway has disconnected
	reportInterval         = time.Second
	reportUtilization      = 0.2
)

// maintainStreamRepeatedly maintains a gateway's stream at intervals.
func (c *cluster) maintainStreamRepeatedly(g *gatewayNode, incarnation int) {
	if !g.up || g.incarnation != incarnation {
		return
	}
	c.runOn(&g.process, incarnation, func() { c.maintainStream(g) })
	c.after(minStreamCheckInterval+c.randomMilliseconds(streamCheckJitter), func() { c.maintainStreamRepeatedly(g, incarnation) })
}

// maintainStream disconnects a gateway from a silent member, and connects it to another when it has no stream.
func (c *cluster) maintainStream(g *gatewayNode) {
	if g.member != nil {
		if c.now-g.lastReceivedAt > streamTimeout {
			c.streamLost(g, g.stream)
		}
		return
	}
	m := c.nextCandidate(g)
	c.lastToken++
	stream := c.lastToken
	g.member, g.stream, g.hasSnapshot, g.lastReceivedAt = m, stream, false, c.now-streamTimeout+dialTimeout
	c.sendReliably(&g.process, &m.process, func() { c.acceptStream(m, g, stream) })
	if !m.up {
		c.after(refusedDialTime, func() { c.streamLost(g, stream) })
	}
}

// nextCandidate returns the member that a gateway connects to next.
func (c *cluster) nextCandidate(g *gatewayNode) *member {
	candidates := g.router.MemberCandidates(g.seedAddresses)
	m := c.memberByAddress[candidates[g.nextCandidate%len(candidates)]]
	g.nextCandidate++
	if g.nextMember != nil {
		m, g.nextMember = g.nextMember, nil
	}
	return m
}

func (c *cluster) acceptStream(m *member, g *gatewayNode, stream uint64) {
	if m.controller == nil {
		return
	}
	m.streams[stream] = g
	register, known := m.controller.Coordinator().Register()
	if known && (c.schedule.UnconfirmedUpdates || c.hasBug(UnconfirmedFirstState)) {
		c.sendUpdate(m, g, stream, &messages.StateUpdate{Full: true, Bootstrapping: true, Sequence: register.Sequence, ConfigVersion: register.Version,
			Config: register.Body, EvacuatedZones: sortedKeys(register.EvacuatedZones)})
	}
	c.step(m, controller.Event{GatewayJoined: &controller.GatewayJoined{Stream: stream, Gateway: g.id, Zone: c.zoneName(g.index)}})
}

// streamLost ends a stream at the gateway.
func (c *cluster) streamLost(g *gatewayNode, stream uint64) {
	if g.member == nil || g.stream != stream {
		return
	}
	m := g.member
	g.member = nil
	g.router.StreamEnded(c.monotonicTime(&g.process))
	c.sendReliably(&g.process, &m.process, func() { c.streamClosed(m, stream) })
	incarnation := m.incarnation
	c.after(streamReadTimeout, func() {
		c.runOn(&m.process, incarnation, func() { c.streamClosed(m, stream) })
	})
}

// streamClosed ends a stream at the member.
func (c *cluster) streamClosed(m *member, stream uint64) {
	if m.streams[stream] != nil {
		delete(m.streams, stream)
		c.step(m, controller.Event{GatewayLeft: stream})
	}
}

func (c *cluster) closeStreams(m *member, streams []uint64) {
	for _, stream := range streams {
		if g := m.streams[stream]; g != nil {
			c.streamClosed(m, stream)
			c.sendReliably(&m.process, &g.process, func() { c.streamLost(g, stream) })
		}
	}
}

// publish sends a member's updates to the gateways connected to it.
func (c *cluster) publish(m *member, publications []controller.Publication) {
	for i := range publications {
		for _, stream := range publications[i].Streams {
			if g := m.streams[stream]; g != nil {
				c.sendUpdate(m, g, stream, &publications[i].Update)
			}
		}
	}
}

// sendUpdate sends an update on a stream. If it is lost, the member ends the stream, since later updates would leave a
// gap.
func (c *cluster) sendUpdate(m *member, g *gatewayNode, stream uint64, update *messages.StateUpdate) {
	c.checkFullUpdate(m, g, update)
	if c.isCut(&m.process, &g.process) {
		delete(m.streams, stream)
		incarnation := m.incarnation
		c.after(streamTimeout, func() {
			c.runOn(&m.process, incarnation, func() { c.step(m, controller.Event{GatewayLeft: stream}) })
		})
		return
	}
	if c.hasBug(UndividedWarmupQuota) && len(update.WarmupRates) > 0 {
		update = c.withUndividedQuota(update)
	}
	c.sendReliably(&m.process, &g.process, func() { c.receiveUpdate(m, g, stream, update) })
}

// receiveUpdate delivers an update to a gateway, which starts to report once it has a snapshot.
func (c *cluster) receiveUpdate(m *member, g *gatewayNode, stream uint64, update *messages.StateUpdate) {
	if g.member != m || g.stream != stream {
		return
	}
	g.lastReceivedAt = c.now
	c.applyUpdate(g, update)
	if g.member == m && !g.hasSnapshot && update.Full {
		g.hasSnapshot = true
		g.nextCandidate = 0
		c.sendReport(m, g, stream, g.router.InitialReport(c.monotonicTime(&g.process)))
		c.scheduleReports(m, g, stream)
	}
}

// applyUpdate applies an update and checks the resulting state. A stale update ends the stream.
func (c *cluster) applyUpdate(g *gatewayNode, update *messages.StateUpdate) {
	if c.hasBug(AcceptStaleState) && update.Sequence > 0 && update.Sequence < g.sequence {
		c.resetRouter(g)
	}
	applied := g.router.Apply(c.monotonicTime(&g.process), update)
	if c.history != nil {
		c.history.add(entryUpdate, c.now, historyGateways+g.index, c.monotonicTime(&g.process), update, applied.RemovedEndpoints, applied.FullTable, applied.Stale, g.router.Sequence())
	}
	if applied.Stale {
		c.streamLost(g, g.stream)
		return
	}
	c.checkGatewaySequenceMonotonic(g)
	c.exhaustRetryBudget(g)
	if config := g.router.Config(); config != nil {
		c.configApplied(g, config.Version, string(config.Raw))
	}
}

// scheduleReports sends a gateway's load reports at intervals for the lifetime of the stream.
func (c *cluster) scheduleReports(m *member, g *gatewayNode, stream uint64) {
	c.after(reportInterval, func() {
		if !g.up || g.member != m || g.stream != stream {
			return
		}
		c.runOn(&g.process, g.incarnation, func() {
			c.sendReport(m, g, stream, g.router.Report(c.monotonicTime(&g.process), reportInterval, reportUtilization))
		})
		c.scheduleReports(m, g, stream)
	})
}

func (c *cluster) sendReport(m *member, g *gatewayNode, stream uint64, report *messages.LoadReport) {
	c.sendReliably(&g.process, &m.process, func() {
		if m.streams[stream] == g {
			c.step(m, controller.Event{Stream: stream, Report: report})
		}
	})
}
