package simulation

import (
	"fmt"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/statestore"
)

const (
	startRetryDelay  = 300 * time.Millisecond // after the first write of an incarnation failed
	maxTickDelay     = 5                      // milliseconds, exclusive bound of the delay of ticks
	longTickDelay    = 60 * time.Millisecond  // additional delay of one tick in longTickOneIn
	longTickOneIn    = 200
	terminationGrace = 6 * time.Second // from SIGTERM to SIGKILL
	noRestart        = -1              // downtime of a member that does not restart
	controlLinkMbps  = 1000
)

// Zones and regions in the members' settings.
var (
	memberZones   = []string{"a", "b", "c"}
	regionsByZone = map[string]string{"a": "r0", "b": "r1", "c": "r2"}
)

// stopCause is the way in which a member stops. It determines what happens to its disk and connections.
type stopCause int

const (
	processKilled stopCause = iota
	powerLost
	diskWiped
)

// startMember starts a member as its daemon does: it opens the store, initializes missing state and completes a first
// write before it serves. The first start forms the first view.
func (c *cluster) startMember(m *member, first bool) {
	c.startProcess(&m.process)
	c.extendFaultPeriod()
	m.newestSequence, m.controller, m.caughtUp = 0, nil, first
	m.pendingCalls, m.waitingCalls, m.streams = map[uint64]func(controller.Response){}, map[uint64]*operatorCall{}, map[uint64]*gatewayNode{}
	m.callsInSocket = 0
	state, ok := c.openStore(m)
	if !ok {
		return
	}
	seeds := c.seedAddresses(first)
	if state.DiskID == "" && !first {
		m.wipeCount++
	}
	if c.hasBug(DiscardClaimsOnRestart) {
		state.Register.Claims = nil
	}
	state.Initialize(m.address, seeds, first || c.hasBug(KeepVoteAfterWipe), fmt.Sprintf("w%d", m.wipeCount))
	ctl := c.newController(m, seeds, state)
	c.tracef("%s starts as %s, view %d, register %d (version %d)", m.name, state.DiskID, state.View.View.Number, state.Register.Sequence, state.Register.Version)
	raw, err := ctl.PersistentState()
	if err != nil {
		c.violationf("%s: %v", m.name, err)
		return
	}
	c.history.start(c, m, raw)
	// Apply the operations of opening the store first: persist drops pending ones.
	c.runDiskOperations(m, func() { c.serveAfterWrite(m, ctl, raw) })
}

// openStore opens a member's store and reads its state.
func (c *cluster) openStore(m *member) (state coordinator.PersistentState, ok bool) {
	store, err := statestore.Open(m.disk)
	if err != nil {
		c.violationf("%s: cannot open the store: %v", m.name, err)
		return state, false
	}
	m.store = store
	if raw, found := store.Get(stateKey); found {
		if state, err = coordinator.DecodePersistentState(raw); err != nil {
			c.violationf("%s: cannot decode the stored state: %v", m.name, err)
			return state, false
		}
	}
	return state, true
}

func (c *cluster) newController(m *member, seeds []string, state coordinator.PersistentState) *controller.Controller {
	zone := c.zoneName(m.index)
	options := controller.Options{
		Zone:              zone,
		ControlAddr:       m.address,
		Zones:             memberZones,
		RegionByZone:      regionsByZone,
		Seeds:             seeds,
		LinkMbps:          controlLinkMbps,
		DrainDeadline:     drainDeadline,
		HeartbeatInterval: heartbeatInterval,
		RandomSeed:        c.random.Uint64(),
		FaultTolerance:    membership.FaultTolerance{Machines: c.schedule.toleratedLosses()},
	}
	self := fleet.Member{ID: state.DiskID, Addr: m.address, Zone: zone, APIAddr: m.address}
	return controller.New(c.monotonicTime(&m.process), options, self, state)
}

// serveAfterWrite starts serving once the state has been persisted. It retries failed writes.
func (c *cluster) serveAfterWrite(m *member, ctl *controller.Controller, raw []byte) {
	store := m.store
	c.persist(m, raw, func(problem string) {
		if problem != "" {
			c.after(startRetryDelay, func() {
				if m.up && m.store == store {
					c.serveAfterWrite(m, ctl, raw)
				}
			})
			return
		}
		m.controller = ctl
		c.step(m, controller.Event{Start: true})
		c.tick(m, m.incarnation)
	})
}

// tick fires a member's timer at intervals for the lifetime of the incarnation.
func (c *cluster) tick(m *member, incarnation int) {
	fire := func() { c.step(m, controller.Event{}) }
	if m.paused && c.schedule.Tolerance > 0 {
		m.pendingTick = fire
	} else {
		c.runOn(&m.process, incarnation, fire)
	}
	if m.up && m.incarnation == incarnation {
		late := c.randomMilliseconds(maxTickDelay)
		if c.random.IntN(longTickOneIn) == 0 {
			late += longTickDelay
		}
		c.after(controller.TickInterval+late, func() { c.tick(m, incarnation) })
	}
}

// stopMember stops a member and restarts it after the downtime, unless that is noRestart.
func (c *cluster) stopMember(m *member, cause stopCause, downtime time.Duration) {
	if !m.up {
		return
	}
	if m.isInOwnChain() && downtime >= time.Second {
		c.unavailableSince[m.index] = c.now
	}
	m.up, m.paused = false, false
	switch cause {
	case processKilled:
		m.disk.processKilled(c.random)
	case powerLost:
		m.disk.powerLost(c.random)
	case diskWiped:
		m.disk.wipe()
		m.diskLost = true
	}
	c.history.disk(entryKill, c, m)
	c.closeStore(m)
	c.dropConnections(m, cause)
	c.extendFaultPeriod()
	if downtime < 0 {
		m.removed, m.removedAt = true, c.now
		return
	}
	c.after(downtime, func() {
		delete(c.unavailableSince, m.index)
		if !m.up && !m.removed {
			c.startMember(m, false)
		}
	})
}

// isInOwnChain reports whether a member is in the chain of its current view.
func (m *member) isInOwnChain() bool {
	if m.controller == nil {
		return false
	}
	coordinator := m.controller.Coordinator()
	return coordinator.View().Position(coordinator.Self().ID) >= 0
}

func (c *cluster) closeStore(m *member) {
	if m.store == nil {
		return
	}
	if err := m.store.Close(); err != nil {
		c.tracef("%s: cannot close the store: %v", m.name, err)
	}
}

// dropConnections ends the connections of a stopped process. A killed process closes its streams at once; after a
// power loss, gateways have to time out.
func (c *cluster) dropConnections(m *member, cause stopCause) {
	for _, token := range sortedTokens(m.waitingCalls) {
		call := m.waitingCalls[token]
		c.after(0, func() { c.attempt(call) })
	}
	if cause != processKilled {
		return
	}
	for _, stream := range sortedTokens(m.streams) {
		g := m.streams[stream]
		c.sendReliably(&m.process, &g.process, func() { c.streamLost(g, stream) })
	}
}

// shutDown shuts a member down gracefully: by SIGTERM, and by SIGKILL after terminationGrace.
func (c *cluster) shutDown(m *member) {
	if !m.up {
		m.removed, m.removedAt = true, c.now
		return
	}
	incarnation := m.incarnation
	m.shuttingDown = true
	if c.hasBug(ShutDownWithoutHandover) {
		c.stopMember(m, processKilled, noRestart)
		return
	}
	c.runOn(&m.process, incarnation, func() { c.step(m, controller.Event{Shutdown: true}) })
	c.after(terminationGrace, func() {
		if m.up && m.incarnation == incarnation {
			c.tracef("%s did not shut down within the grace period", m.name)
			c.stopMember(m, processKilled, noRestart)
		}
	})
}

// addSpare starts a new member at a new address.
func (c *cluster) addSpare() {
	c.controlPlaneHistory.spareCount++
	n := c.controlPlaneHistory.spareCount
	m := newMember(len(c.members), "member "+string(rune('A'+n-1)), spareAddress(n))
	m.isSpare = true
	c.tracef("FAULT: %s is added", m.name)
	c.controlPlaneHistory.newestSpare = m
	c.addMember(m)
	c.startMember(m, false)
}

func spareAddress(n int) string { return "10.0.1." + string(rune('0'+n)) + ":7000" }
