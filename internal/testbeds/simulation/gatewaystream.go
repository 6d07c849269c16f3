package simulation

import (
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/messages"
)

// Streams of gateways.
const (
	streamTimeout     = time.Second // a gateway leaves a member that is silent for so long; as in internal/daemons/gateway
	dialTimeout       = 300 * time.Millisecond
	refusedDialTime   = time.Millisecond
	minFollowInterval = 50 * time.Millisecond
	followJitter      = 100             // milliseconds, below which it is longer
	streamReadTimeout = 4 * time.Second // at the latest, nothing more is read from a stream that the gateway has left
	reportInterval    = time.Second
	reportUtilization = 0.2
)

// followRepeatedly has a gateway see to its stream now and at intervals.
func (c *cluster) followRepeatedly(g *gatewayNode, incarnation int) {
	if !g.up || g.incarnation != incarnation {
		return
	}
	c.runOn(&g.process, incarnation, func() { c.followStream(g) })
	c.after(minFollowInterval+c.randomMilliseconds(followJitter), func() { c.followRepeatedly(g, incarnation) })
}

// followStream has a gateway leave a silent member, and connect to another when it has no stream.
func (c *cluster) followStream(g *gatewayNode) {
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

// nextCandidate is the member that a gateway calls next.
func (c *cluster) nextCandidate(g *gatewayNode) *member {
	candidates := g.router.MemberCandidates(g.seedAddresses)
	m := c.memberByAddress[candidates[g.nextCandidate%len(candidates)]]
	g.nextCandidate++
	if g.nextMember != nil {
		m, g.nextMember = g.nextMember, nil
	}
	return m
}

// acceptStream has a member take a gateway's stream.
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

// streamLost has a gateway notice that its stream has ended.
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

// streamClosed has a member notice that a gateway's stream has ended.
func (c *cluster) streamClosed(m *member, stream uint64) {
	if m.streams[stream] != nil {
		delete(m.streams, stream)
		c.step(m, controller.Event{GatewayLeft: stream})
	}
}

// closeStreams has a member end streams.
func (c *cluster) closeStreams(m *member, streams []uint64) {
	for _, stream := range streams {
		if g := m.streams[stream]; g != nil {
			c.streamClosed(m, stream)
			c.sendReliably(&m.process, &g.process, func() { c.streamLost(g, stream) })
		}
	}
}

// publish has a member send updates to the gateways that follow it.
func (c *cluster) publish(m *member, publications []controller.Publication) {
	for i := range publications {
		for _, stream := range publications[i].Streams {
			if g := m.streams[stream]; g != nil {
				c.sendUpdate(m, g, stream, &publications[i].Update)
			}
		}
	}
}

// sendUpdate sends an update down a stream. A stream that loses one has ended, since the next would not fit on.
func (c *cluster) sendUpdate(m *member, g *gatewayNode, stream uint64, update *messages.StateUpdate) {
	c.checkFirstUpdate(m, g, update)
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

// receiveUpdate has a gateway take an update, and begin to report once it has a snapshot.
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

// applyUpdate puts an update in force and checks what the gateway has then. One that does not fit on ends the stream.
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

// scheduleReports has a gateway report at intervals as long as it has the stream.
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
