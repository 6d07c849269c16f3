package emulate

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// stepDelay is how long a governor batches events before a step.
const stepDelay = 4 * time.Millisecond

// governor is a simulated governor: a decider with its event inbox, its channel to proxies and its pending reports.
type governor struct {
	sim         *Simulation
	index       int
	up          bool
	incarnation int // incremented at each start and crash; callbacks of earlier incarnations do nothing
	decider     Decider

	channelSlowdown float64       // factor set by faults; 1 by default
	reportLoss      float64       // share of reports lost to faults
	reportDelay     time.Duration // delay added to reports by faults

	inbox         []rules.Event
	stepScheduled bool

	tables           []*weightTable
	globalAdmissions map[rules.GroupID]rules.Admit // admission orders for all tables
	ejectedForAll    map[rules.ReplicaID]bool      // ejected for all proxies
	sessions         map[rules.ProxyID]*proxySession
	sessionOrder     []*proxySession // in join order

	channelFreeAt  rules.Time // when the channel will have drained
	channelBatches []channelBatch

	listed            map[rules.ReplicaID]rules.Entry
	unavailableSince  map[rules.ReplicaID]rules.Time // when discovery first reported a replica as draining or deregistered
	watchingDiscovery bool

	intake       *intake.Aggregator // aggregates reports of proxies; nil if proxies send none
	zoneStats    [][]attemptStats   // by zone and replica, for the current period
	reportQueues []reportQueue      // by zone
}

// proxySession is the governor's state of one proxy stream.
type proxySession struct {
	proxy            *proxy
	tables           []int          // by traffic group; unboundTable if unbound
	reboundGroups    rules.GroupSet // bound since the last message
	ejected          map[rules.ReplicaID]bool
	changedEjections int          // since the last message
	recentMessages   []rules.Time // send times within the fleet's message window
	lastArrival      rules.Time   // arrival time of the last message at the proxy
	replicaStats     map[rules.ReplicaID]*attemptStats
	batchSequence    uint32
}

// unboundTable marks a traffic group without a table.
const unboundTable = -1

func newGovernor(sim *Simulation, index int) *governor {
	return &governor{sim: sim, index: index, channelSlowdown: 1}
}

// start starts a new incarnation with empty state.
func (g *governor) start() {
	sim := g.sim
	g.up = true
	g.incarnation++
	g.tables, g.globalAdmissions, g.ejectedForAll = nil, map[rules.GroupID]rules.Admit{}, map[rules.ReplicaID]bool{}
	g.sessions, g.sessionOrder = map[rules.ProxyID]*proxySession{}, nil
	g.channelFreeAt, g.channelBatches = 0, nil
	g.unavailableSince, g.listed = map[rules.ReplicaID]rules.Time{}, map[rules.ReplicaID]rules.Entry{}
	g.inbox, g.stepScheduled, g.watchingDiscovery = nil, false, false
	g.zoneStats, g.reportQueues = make([][]attemptStats, sim.fleet.Zones), make([]reportQueue, sim.fleet.Zones)
	g.decider = &rules.Governor{}
	if sim.config.NewDecider != nil {
		g.decider = sim.config.NewDecider(sim, g.index)
	}
	settings := sim.settings
	settings.Zone = rules.ZoneID(g.index % sim.fleet.Zones)
	g.post(rules.Start{Seed: sim.config.Seed<<8 + uint64(g.index)<<4 + uint64(g.incarnation), Settings: settings})
	g.startReports()
}

// startReports schedules the collection and delivery of reports.
func (g *governor) startReports() {
	g.intake = nil
	if g.sim.fleet.ProxyReports {
		g.intake = newIntake(g.sim)
		g.scheduleIntakeFlush(g.incarnation)
	}
	for zone := range g.sim.fleet.Zones {
		g.scheduleCollection(zone, g.incarnation)
	}
	g.scheduleDelivery(g.incarnation)
}

// crash stops the governor. Its proxies detect this after a delay and connect to another one.
func (g *governor) crash() {
	if !g.up {
		return
	}
	g.up = false
	g.incarnation++
	for _, session := range slices.Clone(g.sessionOrder) {
		p := session.proxy
		p.bootstrapOnly = p.bootstrapOnly && session.reboundGroups == 0 && len(session.recentMessages) == 0
		p.governor = nil
		p.scheduleReconnect()
	}
	g.sessions, g.sessionOrder = map[rules.ProxyID]*proxySession{}, nil
}

// post adds an event to the inbox and schedules a step if none is pending.
func (g *governor) post(e rules.Event) {
	g.inbox = append(g.inbox, e)
	if g.stepScheduled {
		return
	}
	g.stepScheduled = true
	incarnation := g.incarnation
	g.sim.schedule(stepDelay, func() {
		if g.incarnation == incarnation && g.up {
			g.step()
		}
	})
}

// join opens the session of a proxy.
func (g *governor) join(p *proxy) {
	session := &proxySession{
		proxy:   p,
		tables:  slices.Repeat([]int{unboundTable}, len(g.sim.fleet.Groups)),
		ejected: map[rules.ReplicaID]bool{},
	}
	g.sessions[p.id] = session
	g.sessionOrder = append(g.sessionOrder, session)
	if g.intake != nil {
		g.intake.Join(p.id, rules.ZoneID(p.zone))
		session.replicaStats = map[rules.ReplicaID]*attemptStats{}
		g.scheduleProxyReport(session, g.incarnation)
	}
	g.sim.monitor.updateUnserved(p, p.governor != nil)
	g.post(rules.Joined{Proxy: p.id, Zone: rules.ZoneID(p.zone), FlowRate: p.rate, Fresh: p.bootstrapOnly, MayHoldEjections: !p.bootstrapOnly && g.intake != nil})
}

// leave closes the session of a proxy. The decider is notified after the detection delay unless the proxy has rejoined.
func (g *governor) leave(p *proxy) {
	session := g.sessions[p.id]
	if session == nil {
		return
	}
	delete(g.sessions, p.id)
	g.sessionOrder = slices.DeleteFunc(g.sessionOrder, func(other *proxySession) bool { return other == session })
	if g.intake != nil {
		g.intake.Leave(p.id)
	}
	incarnation := g.incarnation
	detection := g.sim.fleet.DisconnectDetectionDelay
	g.sim.schedule(g.sim.uniform(detection/2, detection), func() {
		if g.incarnation == incarnation && g.sessions[p.id] == nil {
			g.post(rules.Left{Proxy: p.id})
		}
	})
}

// step passes the inbox to the decider and executes its orders. The orders of a step are sent as one message per proxy.
func (g *governor) step() {
	events := g.inbox
	g.inbox, g.stepScheduled = nil, false
	for _, e := range events {
		if list, ok := e.(rules.List); ok {
			g.recordList(list)
		}
	}
	orders := g.decider.Step(g.sim.now, events)
	g.traceStep(events, orders)
	changesProxies := false
	var ack *rules.AckRequest
	for _, o := range orders {
		switch o := o.(type) {
		case rules.WakeAfter:
			g.scheduleWake(o)
		case rules.WatchList:
			g.watchingDiscovery = o.On
			if o.On {
				g.sim.discovery.watch(g)
			}
		case rules.FetchList:
			g.sim.discovery.refetch(g)
		case rules.Forget:
			g.forget(o.Replica)
		case rules.AckRequest:
			ack = &o
		case rules.Log:
		default:
			changesProxies = true
			g.applyOrder(o)
		}
	}
	if changesProxies || ack != nil {
		g.publish(ack)
	}
}

func (g *governor) scheduleWake(order rules.WakeAfter) {
	incarnation := g.incarnation
	g.sim.schedule(order.After, func() {
		if g.incarnation == incarnation {
			g.post(rules.Wake{TimerID: order.TimerID})
		}
	})
}

// forget deletes the state of a replica that will not return.
func (g *governor) forget(id rules.ReplicaID) {
	delete(g.unavailableSince, id)
	delete(g.listed, id)
	if g.intake != nil {
		g.intake.Forget(id)
	}
}

// recordList records a discovery update. The drain grace of a replica starts when its governor is notified.
func (g *governor) recordList(list rules.List) {
	if list.Scope == rules.Failed {
		return
	}
	named := map[rules.ReplicaID]bool{}
	for _, entry := range list.Entries {
		named[entry.Replica] = true
		g.listed[entry.Replica] = entry
		if entry.State == rules.Ready {
			delete(g.unavailableSince, entry.Replica)
		} else {
			g.markUnavailable(entry.Replica)
		}
	}
	if list.Scope == rules.Changes {
		return
	}
	for id := range g.listed { // a full list: replicas that it omits are deregistered
		if !named[id] {
			g.markUnavailable(id)
		}
	}
}

// markUnavailable records when a replica was first known to be draining or deregistered.
func (g *governor) markUnavailable(id rules.ReplicaID) {
	if _, known := g.unavailableSince[id]; !known {
		g.unavailableSince[id] = g.sim.now
	}
}

// hasUsableReplica reports whether the governor knows a ready replica for a proxy's traffic group that was warm at a given time.
func (g *governor) hasUsableReplica(p *proxy, group int, since rules.Time) bool {
	fleet := g.sim.fleet
	for id, entry := range g.listed {
		warm := entry.StartedAt == 0 || since-entry.StartedAt >= rules.Time(fleet.WarmupDuration)
		_, unavailable := g.unavailableSince[id]
		reachable := !fleet.Groups[group].HomeOnly || int(entry.Zone) == p.zone
		if !unavailable && entry.State == rules.Ready && warm && reachable {
			return true
		}
	}
	return false
}

// stepSummary counts the events and orders of a step.
type stepSummary struct {
	joins, leaves, listed, unavailable int
	lines, removals, binds, clears     int
}

func summarizeStep(events []rules.Event, orders []rules.Order) stepSummary {
	var s stepSummary
	for _, e := range events {
		switch e := e.(type) {
		case rules.Joined:
			s.joins++
		case rules.Left:
			s.leaves++
		case rules.List:
			for _, entry := range e.Entries {
				s.listed++
				if entry.State != rules.Ready {
					s.unavailable++
				}
			}
		}
	}
	for _, o := range orders {
		switch o := o.(type) {
		case rules.EndpointWeight:
			s.lines++
			if o.Weight == 0 {
				s.removals++
			}
		case rules.Bind:
			s.binds++
		case rules.ClearTable:
			s.clears++
		}
	}
	return s
}

// traceStep adds a trace line for a step that concerns proxies, replicas or tables.
func (g *governor) traceStep(events []rules.Event, orders []rules.Order) {
	s := summarizeStep(events, orders)
	if s.joins+s.leaves+s.listed+s.lines+s.binds+s.clears == 0 {
		return
	}
	g.sim.monitor.trace(fmt.Sprintf("governor %d: %d join, %d leave, %d listed of which %d drain or are gone; orders %d lines, %d of them removals, %d clears, binds %d; %.0f lines wait",
		g.index, s.joins, s.leaves, s.listed, s.unavailable, s.lines, s.removals, s.clears, s.binds, g.queuedLines()))
}
