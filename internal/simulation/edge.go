package simulation

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/router"
	"zincloft.example/zincloft/messages"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	streamTimeout     = time.Second // a comb that says nothing for so long is left
	reportInterval    = time.Second
	requestInterval   = 60 * time.Millisecond
	warmupTime        = 3 * time.Second
	dialTimeout       = 300 * time.Millisecond
	serviceTime       = 150 * time.Millisecond
	forwardingTime    = 2 * time.Millisecond // of a request at a forager
	replicaSlots      = 1                    // so few that cold replicas are needed
)

// gatewayNode is an edge machine with its forager.
type gatewayNode struct {
	process
	index          int
	router         *router.Router
	member         *member // whose stream it holds; nil: none
	stream         uint64
	hasSnapshot    bool
	lastReceivedAt time.Duration
	version        uint64 // newest in force in this life
	sequence       uint64
	nextCandidate  int // of the candidates, the next one to call
	nextMember     *member
	seedAddresses  []string
	idleAt         time.Duration
}

func (c *cluster) startGateway(g *gatewayNode) {
	c.startProcess(&g.process)
	g.router = router.New(router.Settings{Zone: c.zoneName(g.index), Zones: c.zoneCount(), RetryRatio: 0.2, RetrySlack: 60,
		WarmupOverage: warmupBurstFactor, WarmupSlack: warmupSlack, Seed: c.random.Uint64()})
	g.member, g.stream, g.version, g.sequence, g.nextCandidate, g.seedAddresses = nil, 0, 0, 0, 0, c.seedAddresses(false)
	incarnation := g.incarnation
	var follow, send func()
	follow = func() {
		if !g.up || g.incarnation != incarnation {
			return
		}
		c.runOn(&g.process, incarnation, func() { c.followStream(g) })
		c.after(50*time.Millisecond+time.Duration(c.random.IntN(100))*time.Millisecond, follow)
	}
	send = func() {
		if !g.up || g.incarnation != incarnation {
			return
		}
		c.runOn(&g.process, incarnation, func() { c.sendRequest(g) })
		c.after(time.Duration(c.random.Int64N(int64(2*requestInterval))), send)
	}
	c.after(time.Duration(c.random.IntN(100))*time.Millisecond, follow)
	c.after(time.Second, send)
}

func (c *cluster) injectGatewayFault(g *gatewayNode, fault Fault) {
	switch fault.Kind {
	case "bkill":
		if g.up {
			g.up = false
			if g.member != nil {
				m, n := g.member, g.stream
				c.send(&g.process, &m.process, 0, 0, func() { c.endStream(m, n) })
			}
			c.after(fault.For, func() { c.startGateway(g) })
		}
	case "bfreeze":
		c.freeze(&g.process, fault.For)
	case "bcut":
		var links [][2]string
		for _, m := range c.members {
			links = append(links, [2]string{g.name, m.name}, [2]string{m.name, g.name})
		}
		c.cutFor(links, fault.For)
	}
}

// followStream keeps a stream from one comb, as the daemon does.
func (c *cluster) followStream(g *gatewayNode) {
	if g.member != nil {
		if c.now-g.lastReceivedAt > streamTimeout {
			c.streamLost(g, g.stream)
		}
		return
	}
	all := g.router.Candidates(g.seedAddresses)
	m := c.memberByAddress[all[g.nextCandidate%len(all)]]
	g.nextCandidate++
	if g.nextMember != nil {
		m, g.nextMember = g.nextMember, nil
	}
	c.lastToken++
	n := c.lastToken
	g.member, g.stream, g.hasSnapshot, g.lastReceivedAt = m, n, false, c.now-streamTimeout+dialTimeout
	c.send(&g.process, &m.process, 0, 0, func() {
		if m.controller == nil {
			return
		}
		m.streams[n] = g
		if r, known := m.controller.Coordinator().Register(); (c.schedule.UnconfirmedUpdates || c.schedule.PlantedBug == UnconfirmedFirstState) && known {
			c.sendState(m, g, n, &messages.StateUpdate{Full: true, Bootstrapping: true, Sequence: r.Sequence, ConfigVersion: r.Version, Config: r.Body, EvacuatedZones: sortedKeys(r.EvacuatedZones)})
		}
		c.step(m, controller.Event{GatewayJoined: &controller.GatewayJoined{Stream: n, Gateway: g.name, Zone: c.zoneName(g.index)}})
	})
	if !m.up {
		c.after(time.Millisecond, func() { c.streamLost(g, n) })
	}
}

// streamLost ends a stream at the forager.
func (c *cluster) streamLost(g *gatewayNode, n uint64) {
	if g.member == nil || g.stream != n {
		return
	}
	m := g.member
	g.member = nil
	g.router.StreamEnded(c.monotonicTime(&g.process))
	c.send(&g.process, &m.process, 0, 0, func() { c.endStream(m, n) })
	incarnation := m.incarnation
	c.after(4*time.Second, func() { // at the latest, nothing is read there any more
		c.runOn(&m.process, incarnation, func() { c.endStream(m, n) })
	})
}

// endStream has a comb hear that a stream has ended.
func (c *cluster) endStream(m *member, n uint64) {
	if m.streams[n] != nil {
		delete(m.streams, n)
		c.step(m, controller.Event{GatewayLeft: n})
	}
}

// sendState brings a comb's word to a forager. A stream that loses one has ended: the next would not fit on.
func (c *cluster) sendState(m *member, g *gatewayNode, n uint64, state *messages.StateUpdate) {
	c.checkFirstState(m, g, state)
	if c.cutLinks[[2]string{m.name, g.name}] > 0 || isSevered(&m.process, &g.process) {
		delete(m.streams, n)
		incarnation := m.incarnation
		c.after(streamTimeout, func() { c.runOn(&m.process, incarnation, func() { c.step(m, controller.Event{GatewayLeft: n}) }) })
		return
	}
	if c.schedule.PlantedBug == UndividedWarmupQuota && len(state.WarmupRates) > 0 {
		all := *state
		all.WarmupRates = nil
		for _, l := range state.WarmupRates {
			l.WarmupRate *= float32(c.schedule.Members)
			all.WarmupRates = append(all.WarmupRates, l)
		}
		state = &all
	}
	c.send(&m.process, &g.process, 0, 0, func() {
		if g.member != m || g.stream != n {
			return
		}
		g.lastReceivedAt = c.now
		c.applyState(g, state)
		if g.member == m && !g.hasSnapshot && state.Full {
			g.hasSnapshot = true
			g.nextCandidate = 0
			c.sendReport(m, g, n, g.router.InitialReport(c.monotonicTime(&g.process)))
			c.scheduleReports(m, g, n)
		}
	})
}

func (c *cluster) scheduleReports(m *member, g *gatewayNode, n uint64) {
	c.after(reportInterval, func() {
		if g.up && g.member == m && g.stream == n {
			c.runOn(&g.process, g.incarnation, func() {
				c.sendReport(m, g, n, g.router.Report(c.monotonicTime(&g.process), reportInterval, 0.2))
			})
			c.scheduleReports(m, g, n)
		}
	})
}

func (c *cluster) sendReport(m *member, g *gatewayNode, n uint64, report *messages.LoadReport) {
	c.send(&g.process, &m.process, 0, 0, func() {
		if m.streams[n] == g {
			c.step(m, controller.Event{Stream: n, Report: report})
		}
	})
}

// applyState puts a word in force, and watches that the forager does not go back and holds nothing that is not committed.
func (c *cluster) applyState(g *gatewayNode, state *messages.StateUpdate) {
	if c.schedule.PlantedBug == AcceptStaleState && state.Sequence > 0 && state.Sequence < g.sequence {
		g.router = router.New(router.Settings{Zone: c.zoneName(g.index), Zones: c.zoneCount(), Seed: 1})
	}
	t := g.router.Apply(c.monotonicTime(&g.process), state)
	if c.history != nil {
		c.history.add(entryUpdate, c.now, historyGateways+g.index, c.monotonicTime(&g.process), state, t.RemovedEndpoints, t.FullTable, t.Late, g.router.Sequence())
	}
	if t.Late {
		c.streamLost(g, g.stream)
		return
	}
	if seq := g.router.Sequence(); seq < g.sequence {
		c.violationf("%s went back from register %d to %d within a life", g.name, g.sequence, seq)
	} else {
		g.sequence = seq
	}
	config := g.router.Config()
	if config == nil {
		return
	}
	if config.Version < g.version {
		c.violationf("%s went back from version %d to %d within a life", g.name, g.version, config.Version)
	}
	if config.Version == g.version {
		return
	}
	g.version = config.Version
	at, ok := c.committedAt[config.Version]
	if !ok {
		c.violationf("%s has version %d in force, which is not committed", g.name, config.Version)
	}
	if _, sent := c.versionByBody[string(config.Raw)]; !sent {
		c.violationf("%s has something in force that nobody sent: %q", g.name, config.Raw)
	}
	if c.calmFor(contactTimeout) && c.acknowledgedVersion == config.Version {
		c.result.ConfigPropagationTimes = append(c.result.ConfigPropagationTimes, c.now-at)
	}
}

// sendRequest has a forager send a request to a replica, and watches where it goes.
func (c *cluster) sendRequest(g *gatewayNode) {
	if g.router.Config() == nil {
		return
	}
	now := c.monotonicTime(&g.process)
	c.checkGatewaySettled(g)
	c.checkWarmupQuotas()
	if !g.router.IsServing() && c.random.IntN(4) > 0 || g.router.RejectsRequests(now) { // few come still
		return
	}
	g.router.StartRequest(serviceName)
	pick := g.router.Pick(now, router.PickRequest{Service: serviceName, Admission: admission.Request{Route: "r", LatencyTarget: time.Second, TimeLeft: 3 * time.Second}})
	if c.history != nil {
		c.history.add(entryPick, c.now, historyGateways+g.index, now, pick)
	}
	c.checkConfigCurrent(g)
	if pick.EndpointID == "" {
		g.router.EndRequest(now, true, false)
		return
	}
	c.result.Requests++
	starts := max(c.now, g.idleAt) // a forager takes one request after the other
	g.idleAt = starts + forwardingTime
	c.result.RequestLatencies[c.openWindowIndex()] = append(c.result.RequestLatencies[c.openWindowIndex()], starts-c.now+forwardingTime+serviceTime)
	i := slices.IndexFunc(c.replicas, func(target *replica) bool { return target.id == pick.EndpointID })
	if i < 0 {
		c.violationf("%s sends to %s, which never was", g.name, pick.EndpointID)
		return
	}
	target, incarnation := c.replicas[i], g.incarnation
	c.checkReplicaRequest(g, target)
	end := router.AttemptResult{AttemptID: pick.AttemptID, Result: loadbalancer.Success, Latency: serviceTime, Load: [3]int{replicaSlots, 1, replicaSlots}}
	took := serviceTime
	if !target.alive {
		end, took = router.AttemptResult{AttemptID: pick.AttemptID, Result: loadbalancer.ConnectFailed, ConnectionRefused: true}, time.Millisecond
	}
	c.after(took, func() {
		c.runOn(&g.process, incarnation, func() {
			g.router.EndRequest(c.monotonicTime(&g.process), true, false)
			out := g.router.EndAttempt(c.monotonicTime(&g.process), end)
			if c.history != nil {
				c.history.add(entryAttempt, c.now, historyGateways+g.index, end, out)
			}
			if out.Observation != nil && g.member != nil {
				c.sendReport(g.member, g, g.stream, &messages.LoadReport{Observations: []outlier.Observation{*out.Observation}})
			}
		})
	})
}

// checkConfigCurrent watches that a forager has in force what was acknowledged a while ago, where all has been calm since.
func (c *cluster) checkConfigCurrent(g *gatewayNode) {
	if c.calmFor(contactTimeout) && c.acknowledgedVersion > 0 && c.now > max(c.acknowledgedAt, c.unsettledUntil+contactTimeout)+configPropagationBound && g.version < c.acknowledgedVersion {
		c.violationf("%s still has version %d in force, %d was acknowledged at %.2f s", g.name, g.version, c.acknowledgedVersion, c.acknowledgedAt.Seconds())
	}
}

// replica is one life of a replica.
type replica struct {
	id, zone            string
	heartbeatSequence   uint64
	alive               bool
	draining            bool
	warmupUntil         time.Duration
	drainAcknowledgedAt time.Duration // its leaving was acknowledged; 0: not
	redirect            string
	warmupArrivals      []time.Duration // while cold, of the last second
}

// startReplica starts a replica.
func (c *cluster) startReplica(z int, cold bool) {
	replica := &replica{id: fmt.Sprintf("i%d", len(c.replicas)), zone: c.zoneName(z), alive: true}
	if cold {
		replica.warmupUntil = c.now + warmupTime
	}
	c.replicas = append(c.replicas, replica)
	var beat func()
	beat = func() {
		if replica.alive && !c.finished {
			c.sendHeartbeat(replica, 0)
			c.after(heartbeatInterval+time.Duration(c.random.IntN(60))*time.Millisecond, beat)
		}
	}
	c.after(time.Duration(c.random.IntN(300))*time.Millisecond, beat)
}

// sendHeartbeat calls a comb, and others until one acknowledges.
func (c *cluster) sendHeartbeat(r *replica, tries int) {
	if !r.alive || tries > 4 {
		return
	}
	m := c.pickMember()
	if redirect := c.memberByAddress[r.redirect]; redirect != nil {
		m = redirect
	}
	r.redirect = ""
	r.heartbeatSequence++
	answered := false
	retry := func() {
		if !answered {
			answered = true
			c.sendHeartbeat(r, tries+1)
		}
	}
	if !m.up || m.frozen || m.controller == nil {
		c.after(100*time.Millisecond, retry)
		return
	}
	instance := registry.Instance{ID: r.id, Service: serviceName, Addr: "10.9.0." + r.id[1:] + ":80", Zone: r.zone, Slots: replicaSlots, Draining: r.draining,
		WarmupMillis: max((r.warmupUntil - c.now).Milliseconds(), 0), Sequence: r.heartbeatSequence}
	c.after(time.Second, retry)
	c.deliverHeartbeat(m, instance, false, func(ok bool, next string) {
		if answered {
			return
		}
		if answered = true; !ok {
			c.after(100*time.Millisecond, func() { c.sendHeartbeat(r, tries+1) })
			return
		}
		r.redirect = next
		if instance.Draining && r.drainAcknowledgedAt == 0 {
			r.drainAcknowledgedAt = c.now
			c.tracef("%s: the leaving of %s is acknowledged", m.name, r.id)
			c.after(drainDeadline+time.Second, func() { c.deregisterReplica(r) })
		}
	})
}

func (c *cluster) drainReplica(r *replica) {
	if r.alive && !r.draining {
		r.draining = true
		c.sendHeartbeat(r, 0)
		c.after(8*time.Second, func() { r.alive = false })
	}
}

func (c *cluster) deregisterReplica(r *replica) {
	m := c.pickMember()
	if r.alive && m.up && !m.frozen && m.controller != nil {
		c.deliverHeartbeat(m, registry.Instance{ID: r.id}, true, func(bool, string) {})
	}
	r.alive = false
}

// checkReplicaRequest watches a request that reaches a replica.
func (c *cluster) checkReplicaRequest(g *gatewayNode, r *replica) {
	if r.drainAcknowledgedAt > 0 && c.now > max(r.drainAcknowledgedAt, c.unsettledUntil+contactTimeout)+drainDeadline && c.calmFor(contactTimeout) {
		c.violationf("%s sends to %s, whose leaving was acknowledged at %.2f s", g.name, r.id, r.drainAcknowledgedAt.Seconds())
	}
	if at, out := c.evacuatedAt[r.zone]; out && c.now > max(at, c.unsettledUntil+contactTimeout)+evacuationBound && c.calmFor(contactTimeout) {
		c.violationf("%s sends to %s in zone %s, whose evacuation was acknowledged at %.2f s", g.name, r.id, r.zone, at.Seconds())
	}
	if c.now >= r.warmupUntil || !r.alive {
		r.warmupArrivals = nil
		return
	}
	c.result.WarmupRequests++
	r.warmupArrivals = append(slices.DeleteFunc(r.warmupArrivals, func(t time.Duration) bool { return c.now-t >= time.Second }), c.now)
	if n := float64(len(r.warmupArrivals)); n > warmupRate*warmupBurstFactor+warmupSlack {
		c.violationf("%s is cold and gets its %.0fth request within a second", r.id, n)
	}
}
