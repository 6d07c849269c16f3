package simulation

import (
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

// Delays of the reconnects that Fault.Reconnect causes.
const (
	maxFirstReconnectDelay = 1500 * time.Millisecond
	reconnectBeforeEnd     = 300 * time.Millisecond
	maxLastReconnectDelay  = 600 * time.Millisecond
)

// injectWithTolerance injects a fault in a schedule with a Tolerance. It reports false for kinds that are handled the
// same in all schedules.
func (c *cluster) injectWithTolerance(fault Fault) bool {
	if fault.Trigger != "" {
		c.deferFault(&c.controlPlaneHistory.viewTriggeredFaults, fault, maxFaultWait)
		return true
	}
	switch fault.Kind {
	case KillGateway, PauseGateway, IsolateGateway, CrashReplica, StepClock, CrashShardedReplica, PauseShardedReplica, IsolateShardedReplica:
		return false
	case KillAll, LosePowerAll, LosePowerAllWipeSome:
		c.tracef("FAULT: %v", fault)
		c.stopAllMembers(fault)
	case AddSpareMember:
		c.addSpare()
	default:
		m := c.targetOf(fault)
		c.tracef("FAULT: %s: %v", m.name, fault)
		c.extendFaultPeriod()
		c.injectMemberFaultWithTolerance(m, fault)
		c.scheduleReconnects(m, fault)
	}
	return true
}

func (c *cluster) injectMemberFaultWithTolerance(m *member, fault Fault) {
	switch fault.Kind {
	case RemoveMember, ShutDownMember:
		c.removeMember(m, fault)
	case PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks:
		if m.up && !m.paused {
			c.pauseMember(m, fault)
		}
	case IsolateMember, PartitionMember, DropInbound, DropOutbound:
		c.isolateMember(m, fault)
	case CutCallsToReplicas, CutAnswersOfReplicas, CutMemberFromReplicas:
		c.cutFromReplicas(m, fault)
	case StepWallClock:
		c.stepWallClock(m, fault)
	default:
		if !c.injectStopOrDiskFault(m, fault) {
			c.violationf("unknown fault kind %q", fault.Kind)
		}
	}
}

// removeMember removes a member permanently, or until the fault ends, when it returns with its old disk.
func (c *cluster) removeMember(m *member, fault Fault) {
	if m.up {
		c.unavailableSince[m.index] = c.now
	}
	if fault.Kind == ShutDownMember {
		c.shutDown(m)
	} else {
		c.stopMember(m, powerLost, noRestart)
		m.removed = true
	}
	if fault.For == 0 {
		return
	}
	c.after(fault.For, func() {
		if m.removed && !m.up {
			m.removed, m.shuttingDown = false, false
			c.startMember(m, false)
		}
	})
}

// pauseMember pauses a member and the clocks that the fault affects.
func (c *cluster) pauseMember(m *member, fault Fault) {
	c.unavailableSince[m.index], m.isolatedAt = c.now, c.now
	incarnation, from := m.incarnation, c.now
	c.after(fault.For, func() { // runs before the member resumes
		if m.incarnation == incarnation && fault.Kind != PauseProcess {
			m.clockOffset -= time.Duration(float64(c.now-from) * m.clockRate)
		}
		if m.incarnation == incarnation && fault.Kind == PauseWithAllClocks {
			m.wallClockOffset -= c.now - from
		}
	})
	c.pause(&m.process, fault.For)
	c.endFault(fault, func() { delete(c.unavailableSince, m.index) })
}

// isolateMember isolates or partitions a member for the duration of the fault.
func (c *cluster) isolateMember(m *member, fault Fault) {
	c.unavailableSince[m.index] = c.now
	if !m.isIsolated() {
		m.isolatedAt = c.now
	}
	m.adjustIsolation(fault.Kind, 1)
	c.endFault(fault, func() {
		m.adjustIsolation(fault.Kind, -1)
		m.isolationEndedAt = c.now
		delete(c.unavailableSince, m.index)
	})
}

// adjustIsolation adds n to the counters of the links that a kind of fault cuts.
func (p *process) adjustIsolation(kind FaultKind, n int) {
	switch kind {
	case IsolateMember, IsolateShardedReplica:
		p.isolations += n
	case PartitionMember:
		p.inboundCuts += n
		p.outboundCuts += n
	case DropInbound:
		p.inboundCuts += n
	case DropOutbound:
		p.outboundCuts += n
	}
}

// scheduleReconnects has gateways reconnect to an affected member, soon after the fault starts and around its end.
func (c *cluster) scheduleReconnects(m *member, fault Fault) {
	if !fault.Reconnect || len(c.gateways) == 0 {
		return
	}
	reconnect := func() { c.reconnectGatewayTo(m) }
	c.after(c.randomBelow(maxFirstReconnectDelay), reconnect)
	c.after(max(fault.For-reconnectBeforeEnd, 0)+c.randomBelow(maxLastReconnectDelay), reconnect)
}

// targetOf returns the member that a fault affects: by role in the newest view, or else by index among members that
// have not been removed.
func (c *cluster) targetOf(fault Fault) *member {
	if m, ok := c.memberInRole(fault.Role); ok {
		return m
	}
	if fault.Target < len(c.members) && !c.members[fault.Target].removed {
		return c.members[fault.Target]
	}
	var remaining []*member
	for _, m := range c.members {
		if !m.removed {
			remaining = append(remaining, m)
		}
	}
	return remaining[fault.Target%len(remaining)]
}

func (c *cluster) memberInRole(role FaultRole) (*member, bool) {
	if role == RoleNewestSpare && c.controlPlaneHistory.newestSpare != nil {
		return c.controlPlaneHistory.newestSpare, true
	}
	chain := c.newestView().Chain
	if len(chain) == 0 {
		return nil, false
	}
	var id string
	switch role {
	case RoleHead:
		id = chain[0]
	case RoleTail:
		id = chain[len(chain)-1]
	case RoleMiddle:
		id = chain[len(chain)/2]
	default:
		return nil, false
	}
	address, _, _ := strings.Cut(id, "/")
	return c.memberByAddress[address], true
}

// newestView returns the newest view of any running member.
func (c *cluster) newestView() (newest membership.View) {
	for _, m := range c.members {
		if m.up && m.controller != nil && m.controller.Coordinator().View().Number > newest.Number {
			newest = m.controller.Coordinator().View()
		}
	}
	return newest
}
