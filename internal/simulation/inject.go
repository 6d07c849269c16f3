package simulation

import (
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

// How long faults wait for their moment, and how soon after it they strike at most.
const (
	maxAcknowledgementWait = 2 * time.Second
	maxViewWait            = 2 * time.Second
	maxGrantWait           = 6 * time.Second
	maxFaultWait           = 6 * time.Second // with When set

	maxDelayAfterAnswer   = 4 * time.Millisecond
	maxDelayAfterView     = 6 * time.Millisecond
	maxDelayAtOnce        = 8 * time.Millisecond   // with When set: at once,
	maxDelayWhileSettling = 700 * time.Millisecond // or while the view settles

	maxRestartSpread = 300 // milliseconds, below which members of one fault start one after the other
)

// When gateways reconnect to a member because of Fault.Reconnect.
const (
	maxFirstReconnectDelay = 1500 * time.Millisecond
	reconnectBeforeEnd     = 300 * time.Millisecond
	maxLastReconnectDelay  = 600 * time.Millisecond
)

// injectFault has a fault strike, or wait for its moment.
func (c *cluster) injectFault(fault Fault) {
	if c.awaitMoment(fault) {
		return
	}
	if c.schedule.Tolerance > 0 && c.injectWithTolerance(fault) {
		return
	}
	c.tracef("FAULT: %v", fault)
	c.unsettledUntil = max(c.unsettledUntil, c.now+fault.For+restartTime)
	switch fault.Kind {
	case KillAll, LosePowerAll, LosePowerWipes:
		c.stopAllMembers(fault)
	case LoseZone:
		c.loseZone(fault)
	case KillGateway, FreezeGateway, CutGateway:
		if fault.Target < len(c.gateways) {
			c.injectGatewayFault(c.gateways[fault.Target], fault)
		}
	case CrashReplica:
		if fault.Target < len(c.replicas) {
			c.replicas[fault.Target].alive = false
		}
	default:
		if fault.Target < len(c.members) {
			c.injectMemberFault(c.members[fault.Target], fault)
		}
	}
}

// awaitMoment has a fault wait if it is of a kind that strikes at a certain event.
func (c *cluster) awaitMoment(fault Fault) bool {
	switch fault.Kind {
	case LosePowerOnAcknowledgement, WipeDiskOnAcknowledgement, LosePowerAllOnAcknowledgement:
		c.addWaiting(&c.onAcknowledgement, fault, maxAcknowledgementWait)
	case LosePowerOnGrant, KillAllOnGrant:
		c.addWaiting(&c.onWindowGrant, fault, maxGrantWait)
	case KillAllOnView:
		c.addWaiting(&c.onViewChange, fault, maxViewWait)
	default:
		return false
	}
	return true
}

// addWaiting has a fault wait in a list for a while at most.
func (c *cluster) addWaiting(waiting *[]Fault, fault Fault, longest time.Duration) {
	*waiting = append(*waiting, fault)
	c.after(longest, func() {
		*waiting = slices.DeleteFunc(*waiting, func(other Fault) bool { return other == fault })
	})
}

// injectNextAt has the first fault that waits in a list strike a member, or all of them if it is of that kind.
func (c *cluster) injectNextAt(waiting *[]Fault, m *member) {
	if len(*waiting) == 0 {
		return
	}
	fault := (*waiting)[0]
	*waiting = (*waiting)[1:]
	c.unsettledUntil = c.now + fault.For + restartTime
	fault.Target, fault.Kind = m.index, struckAs[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterAnswer), func() { c.injectFault(fault) })
}

// injectOnView has the first fault that waits for a view strike, and drops the others.
func (c *cluster) injectOnView() {
	if len(c.onViewChange) == 0 {
		return
	}
	fault := c.onViewChange[0]
	c.onViewChange = nil
	c.unsettledUntil = c.now + fault.For + restartTime
	fault.Kind = struckAs[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterView), func() { c.injectFault(fault) })
}

// stopAllMembers stops every member, beginning with the target, and wipes the disks of as many as may be lost if the fault
// says so.
func (c *cluster) stopAllMembers(fault Fault) {
	wiped := 0
	for i := range c.members {
		m, cause := c.members[(i+fault.Target)%len(c.members)], powerLost
		if fault.Kind == KillAll {
			cause = processKilled
		}
		if fault.Kind == LosePowerWipes && c.mayWipe(m, i, wiped) {
			cause = diskWiped
			wiped++
		}
		c.stopMember(m, cause, fault.For+c.randomMilliseconds(maxRestartSpread))
	}
}

// mayWipe reports whether a member, the i-th that stops, may lose its disk too.
func (c *cluster) mayWipe(m *member, i, wiped int) bool {
	if c.schedule.Tolerance > 0 {
		return wiped < c.schedule.Tolerance && m.up
	}
	return i < (c.schedule.Members-1)/2 && i < (c.schedule.InitialMembers-1)/2
}

func (c *cluster) loseZone(fault Fault) {
	zone := c.zoneName(fault.Target)
	for _, m := range c.members {
		if c.zoneName(m.index) == zone {
			c.stopMember(m, powerLost, fault.For)
		}
	}
	for _, g := range c.gateways {
		if c.zoneName(g.index) == zone {
			c.injectGatewayFault(g, Fault{For: fault.For, Kind: KillGateway})
		}
	}
}

// injectMemberFault strikes one member in a schedule without a Tolerance.
func (c *cluster) injectMemberFault(m *member, fault Fault) {
	switch fault.Kind {
	case FreezeProcess:
		if m.up {
			c.downSince[m.index] = c.now
			c.freeze(&m.process, fault.For)
		}
	case StepClock:
		m.clockOffset += fault.For / 2
		c.tracef("%s: its clock jumps by %.2fs", m.name, (fault.For / 2).Seconds())
	case CutOff, CutOneWay:
		c.cutLinksOf(m, fault)
	default:
		c.injectStopOrDiskFault(m, fault)
	}
}

// injectStopOrDiskFault strikes one member with what all schedules have, and reports whether it was that.
func (c *cluster) injectStopOrDiskFault(m *member, fault Fault) bool {
	switch fault.Kind {
	case KillProcess:
		c.stopMember(m, processKilled, restartTime)
	case LosePower:
		c.stopMember(m, powerLost, fault.For)
	case WipeDisk:
		c.stopMember(m, diskWiped, fault.For)
	case FillDisk:
		m.disk.full = true
		c.endFault(fault, func() { m.disk.full = false })
	case FailDisk:
		m.disk.failing = true
		c.endFault(fault, func() { m.disk.failing = false })
	case StallDisk:
		m.disk.stalled = true
		c.endFault(fault, func() { m.disk.stalled = false })
	default:
		return false
	}
	return true
}

// endFault does something when a fault is over.
func (c *cluster) endFault(fault Fault, do func()) {
	c.after(fault.For, func() {
		do()
		c.unsettle()
	})
}

// cutLinksOf cuts a member's links to all other nodes, both ways or in a random direction.
func (c *cluster) cutLinksOf(m *member, fault Fault) {
	if fault.Kind == CutOff {
		c.downSince[m.index] = c.now
	}
	inbound := c.random.IntN(2) == 0
	others := make([]string, 0, len(c.members)+len(c.gateways))
	for _, other := range c.members {
		if other != m {
			others = append(others, other.name)
		}
	}
	for _, g := range c.gateways {
		others = append(others, g.name)
	}
	var links []link
	for _, other := range others {
		if fault.Kind == CutOff || !inbound {
			links = append(links, link{m.name, other})
		}
		if fault.Kind == CutOff || inbound {
			links = append(links, link{other, m.name})
		}
	}
	c.cutFor(links, fault.For)
}

// injectWithTolerance strikes in a schedule with a Tolerance, and reports whether the fault is of a kind that differs there.
func (c *cluster) injectWithTolerance(fault Fault) bool {
	if fault.When != "" {
		c.addWaiting(&c.coreHistory.pendingFaults, fault, maxFaultWait)
		return true
	}
	switch fault.Kind {
	case KillGateway, FreezeGateway, CutGateway, CrashReplica, StepClock:
		return false
	case KillAll, LosePowerAll, LosePowerWipes:
		c.tracef("FAULT: %v", fault)
		c.stopAllMembers(fault)
	case AddSpareMember:
		c.addSpare()
	default:
		m := c.targetOf(fault)
		c.tracef("FAULT: %s: %v", m.name, fault)
		c.unsettle()
		c.injectMemberFaultWithTolerance(m, fault)
		c.scheduleReconnects(m, fault)
	}
	return true
}

func (c *cluster) injectMemberFaultWithTolerance(m *member, fault Fault) {
	switch fault.Kind {
	case RemoveMember, ShutDownMember:
		c.removeMember(m, fault)
	case FreezeProcess, PauseClock, PauseAllClocks:
		if m.up && !m.frozen {
			c.pauseMember(m, fault)
		}
	case CutOff, CutFromMembers, CutFromInbound, CutFromOutbound:
		c.isolateMember(m, fault)
	default:
		if !c.injectStopOrDiskFault(m, fault) {
			c.violationf("no such fault: %s", fault.Kind)
		}
	}
}

// removeMember takes a member out for good, or until it comes back with its disk when nobody counts on it any more.
func (c *cluster) removeMember(m *member, fault Fault) {
	if m.up {
		c.downSince[m.index] = c.now
	}
	if fault.Kind == ShutDownMember {
		c.shutDown(m)
	} else {
		c.stopMember(m, powerLost, leftForGood)
		m.gone = true
	}
	if fault.For == 0 {
		return
	}
	c.after(fault.For, func() {
		if m.gone && !m.up {
			m.gone, m.leaving = false, false
			c.startMember(m, false)
		}
	})
}

// pauseMember freezes a member, with its clocks if the fault says so.
func (c *cluster) pauseMember(m *member, fault Fault) {
	c.downSince[m.index], m.cutAt = c.now, c.now
	incarnation, from := m.incarnation, c.now
	c.after(fault.For, func() { // before it thaws
		if m.incarnation == incarnation && fault.Kind != FreezeProcess {
			m.clockOffset -= time.Duration(float64(c.now-from) * m.clockRate)
		}
		if m.incarnation == incarnation && fault.Kind == PauseAllClocks {
			m.wallClockOffset -= c.now - from
		}
	})
	c.freeze(&m.process, fault.For)
	c.endFault(fault, func() { delete(c.downSince, m.index) })
}

// isolateMember cuts a member off as long as the fault lasts.
func (c *cluster) isolateMember(m *member, fault Fault) {
	c.downSince[m.index] = c.now
	if !m.isCutOff() {
		m.cutAt = c.now
	}
	m.addCuts(fault.Kind, 1)
	c.endFault(fault, func() {
		m.addCuts(fault.Kind, -1)
		delete(c.downSince, m.index)
	})
}

// addCuts adds to the counts of cuts that a kind of fault is about.
func (p *process) addCuts(kind FaultKind, n int) {
	switch kind {
	case CutOff:
		p.isolationCuts += n
	case CutFromMembers:
		p.inboundCuts += n
		p.outboundCuts += n
	case CutFromInbound:
		p.inboundCuts += n
	case CutFromOutbound:
		p.outboundCuts += n
	}
}

// scheduleReconnects has gateways call a member that was struck, soon after that and about when the fault is over.
func (c *cluster) scheduleReconnects(m *member, fault Fault) {
	if !fault.Reconnect || len(c.gateways) == 0 {
		return
	}
	reconnect := func() { c.reconnectGatewayTo(m) }
	c.after(c.randomBelow(maxFirstReconnectDelay), reconnect)
	c.after(max(fault.For-reconnectBeforeEnd, 0)+c.randomBelow(maxLastReconnectDelay), reconnect)
}

// targetOf is the member that a fault strikes: by its role in the newest view, or by index among those that are not gone.
func (c *cluster) targetOf(fault Fault) *member {
	if m, ok := c.memberInRole(fault.Role); ok {
		return m
	}
	if fault.Target < len(c.members) && !c.members[fault.Target].gone {
		return c.members[fault.Target]
	}
	var remaining []*member
	for _, m := range c.members {
		if !m.gone {
			remaining = append(remaining, m)
		}
	}
	return remaining[fault.Target%len(remaining)]
}

func (c *cluster) memberInRole(role FaultRole) (*member, bool) {
	if role == RoleNewest && c.coreHistory.newestSpare != nil {
		return c.coreHistory.newestSpare, true
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

// newestView is the newest view that a running process has.
func (c *cluster) newestView() (newest membership.View) {
	for _, m := range c.members {
		if m.up && m.controller != nil && m.controller.Coordinator().View().Number > newest.Number {
			newest = m.controller.Coordinator().View()
		}
	}
	return newest
}

// injectPendingFaults has the faults that wait for such a view strike.
func (c *cluster) injectPendingFaults(view membership.View) {
	if len(c.coreHistory.pendingFaults) == 0 {
		return
	}
	waiting := c.coreHistory.pendingFaults
	c.coreHistory.pendingFaults = nil
	for _, fault := range waiting {
		if !c.isMoment(fault.When, view) {
			c.coreHistory.pendingFaults = append(c.coreHistory.pendingFaults, fault)
			continue
		}
		fault.When = ""
		longest := maxDelayAtOnce
		if c.random.IntN(2) == 0 {
			longest = maxDelayWhileSettling
		}
		c.after(c.randomBelow(longest), func() { c.injectFault(fault) })
	}
}

// isMoment reports whether a view is what a fault waits for.
func (c *cluster) isMoment(when FaultMoment, view membership.View) bool {
	spare := c.coreHistory.newestSpare
	switch when {
	case WhenJoined:
		return spare != nil && spare.isAmong(view.Chain)
	case WhenVoter:
		var voters []string
		for _, voter := range view.Voters {
			voters = append(voters, voter.ID)
		}
		return spare != nil && spare.isAmong(voters)
	}
	return true
}
