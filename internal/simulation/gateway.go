package simulation

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/messages"
)

// Gateways and their streams.
const (
	streamTimeout      = time.Second // a gateway leaves a member from which nothing came for so long
	dialTimeout        = 300 * time.Millisecond
	refusedDialTime    = time.Millisecond
	minFollowInterval  = 50 * time.Millisecond
	followJitter       = 100             // milliseconds, below which it is longer
	streamReadTimeout  = 4 * time.Second // at the latest, nothing more is read from a stream that the gateway has left
	reportInterval     = time.Second
	reportUtilization  = 0.2
	gatewayRestartTime = 20 * time.Millisecond
	gatewayRetryRatio  = 0.2
	gatewayRetrySlack  = 60
)

// Requests.
const (
	meanRequestInterval = 60 * time.Millisecond // at a gateway
	drainingRequests    = 4                     // one in so many still comes to a gateway that does not serve
	requestLatency      = time.Second           // the route's target
	requestTimeLeft     = 3 * time.Second
	forwardingTime      = 2 * time.Millisecond // a gateway forwards one request after the other
	serviceTime         = 150 * time.Millisecond
	connectRefusedTime  = time.Millisecond
)

// gatewayNode is a machine at the edge with its gateway.
type gatewayNode struct {
	process
	index         int
	id            string // by which it makes itself known
	router        *router.Router
	seedAddresses []string

	member         *member // whose stream it has; nil: none
	stream         uint64  // its token
	hasSnapshot    bool
	lastReceivedAt time.Duration
	nextCandidate  int     // of the router's candidates, the index of the one to call next
	nextMember     *member // if set, it is called instead

	version  uint64 // of the configuration in force; in this incarnation the newest ever
	sequence uint64 // of the register, the same
	idleAt   time.Duration
}

func newGatewayNode(index int) *gatewayNode {
	return &gatewayNode{process: process{name: fmt.Sprintf("gateway %d", index)}, index: index, id: gatewayName(index)}
}

// gatewayName is the name by which a gateway makes itself known. It must not change: the control plane chooses by a hash of
// it which gateways call a replica, so that histories and kept schedules rest on it.
func gatewayName(index int) string { return fmt.Sprintf("forager %d", index) }

// startGateway begins a new incarnation of a gateway, which looks for a member to follow and sends requests.
func (c *cluster) startGateway(g *gatewayNode) {
	c.startProcess(&g.process)
	g.router = router.New(router.Settings{Zone: c.zoneName(g.index), Zones: c.zoneCount(), RetryRatio: gatewayRetryRatio, RetrySlack: gatewayRetrySlack,
		WarmupOverage: warmupBurstFactor, WarmupSlack: warmupSlack, Seed: c.random.Uint64()})
	g.member, g.stream, g.version, g.sequence, g.nextCandidate = nil, 0, 0, 0, 0
	g.seedAddresses = c.seedAddresses(false)
	incarnation := g.incarnation
	c.after(c.randomMilliseconds(followJitter), func() { c.followRepeatedly(g, incarnation) })
	c.after(time.Second, func() { c.requestRepeatedly(g, incarnation) })
}

// followRepeatedly has a gateway see to its stream now and at intervals.
func (c *cluster) followRepeatedly(g *gatewayNode, incarnation int) {
	if !g.up || g.incarnation != incarnation {
		return
	}
	c.runOn(&g.process, incarnation, func() { c.followStream(g) })
	c.after(minFollowInterval+c.randomMilliseconds(followJitter), func() { c.followRepeatedly(g, incarnation) })
}

// requestRepeatedly has a client send a gateway requests, now and at random intervals.
func (c *cluster) requestRepeatedly(g *gatewayNode, incarnation int) {
	if !g.up || g.incarnation != incarnation {
		return
	}
	c.runOn(&g.process, incarnation, func() { c.forwardRequest(g) })
	c.after(c.randomBelow(2*meanRequestInterval), func() { c.requestRepeatedly(g, incarnation) })
}

// injectGatewayFault strikes one gateway.
func (c *cluster) injectGatewayFault(g *gatewayNode, fault Fault) {
	switch fault.Kind {
	case KillGateway:
		if g.up {
			c.killGateway(g)
			c.after(fault.For, func() { c.startGateway(g) })
		}
	case FreezeGateway:
		c.freeze(&g.process, fault.For)
	case CutGateway:
		var links []link
		for _, m := range c.members {
			links = append(links, link{g.name, m.name}, link{m.name, g.name})
		}
		c.cutFor(links, fault.For)
	}
}

// killGateway ends a gateway's process, and with it the stream that it has.
func (c *cluster) killGateway(g *gatewayNode) {
	g.up = false
	if g.member != nil {
		m, stream := g.member, g.stream
		c.sendReliably(&g.process, &m.process, func() { c.streamClosed(m, stream) })
	}
}

// reconnectGatewayTo has a random gateway begin a new incarnation and call a certain member first.
func (c *cluster) reconnectGatewayTo(m *member) {
	g := c.gateways[c.random.IntN(len(c.gateways))]
	if !g.up || c.finished {
		return
	}
	c.killGateway(g)
	c.after(gatewayRestartTime, func() {
		if !g.up {
			c.startGateway(g)
			g.nextMember = m
		}
	})
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
	candidates := g.router.Candidates(g.seedAddresses)
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
		c.forgetNewerState(g)
	}
	applied := g.router.Apply(c.monotonicTime(&g.process), update)
	if c.history != nil {
		c.history.add(entryUpdate, c.now, historyGateways+g.index, c.monotonicTime(&g.process), update, applied.RemovedEndpoints, applied.FullTable, applied.Late, g.router.Sequence())
	}
	if applied.Late {
		c.streamLost(g, g.stream)
		return
	}
	c.checkGatewaySequenceRises(g)
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

// forwardRequest has a gateway forward one request to a replica, or reject it.
func (c *cluster) forwardRequest(g *gatewayNode) {
	if g.router.Config() == nil {
		return
	}
	now := c.monotonicTime(&g.process)
	c.checkWindowSettles(g)
	c.checkWarmupQuotas()
	if !g.router.IsServing() && c.random.IntN(drainingRequests) > 0 || g.router.RejectsRequests(now) {
		return
	}
	g.router.StartRequest(serviceName)
	pick := g.router.Pick(now, router.PickRequest{Service: serviceName, Admission: admission.Request{Route: "r", LatencyTarget: requestLatency, TimeLeft: requestTimeLeft}})
	if c.history != nil {
		c.history.add(entryPick, c.now, historyGateways+g.index, now, pick)
	}
	c.checkConfigIsCurrent(g)
	if pick.EndpointID == "" {
		g.router.EndRequest(now, true, false)
		return
	}
	c.measureRequest(g)
	i := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.id == pick.EndpointID })
	if i < 0 {
		c.violationf("%s sends to %s, which never was", g.name, pick.EndpointID)
		return
	}
	c.checkRequest(g, c.replicas[i])
	c.endAttemptLater(g, c.replicas[i], pick.AttemptID)
}

// measureRequest notes what a request takes that is forwarded now.
func (c *cluster) measureRequest(g *gatewayNode) {
	c.result.Requests++
	start := max(c.now, g.idleAt)
	g.idleAt = start + forwardingTime
	latencies := &c.result.RequestLatencies[c.openWindowIndex()]
	*latencies = append(*latencies, start-c.now+forwardingTime+serviceTime)
}

// endAttemptLater has a replica answer a request in its time, or refuse the connection at once if it is gone.
func (c *cluster) endAttemptLater(g *gatewayNode, r *replica, attemptID uint64) {
	result, took := router.AttemptResult{AttemptID: attemptID, Result: loadbalancer.Success, Latency: serviceTime, Load: loadbalancer.Load{Running: replicaSlots, Waiting: 1, Slots: replicaSlots}}, serviceTime
	if !r.alive {
		result, took = router.AttemptResult{AttemptID: attemptID, Result: loadbalancer.ConnectFailed, ConnectionRefused: true}, connectRefusedTime
	}
	incarnation := g.incarnation
	c.after(took, func() {
		c.runOn(&g.process, incarnation, func() { c.endAttempt(g, result) })
	})
}

// endAttempt has a gateway learn what came of a request, and report an outlier if it is one.
func (c *cluster) endAttempt(g *gatewayNode, result router.AttemptResult) {
	g.router.EndRequest(c.monotonicTime(&g.process), true, false)
	ended := g.router.EndAttempt(c.monotonicTime(&g.process), result)
	if c.history != nil {
		c.history.add(entryAttempt, c.now, historyGateways+g.index, result, ended)
	}
	if ended.Observation != nil && g.member != nil {
		c.sendReport(g.member, g, g.stream, &messages.LoadReport{Observations: []outlier.Observation{*ended.Observation}})
	}
}
