package simulation

// injectFault injects a fault, or defers it.
func (c *cluster) injectFault(fault Fault) {
	if c.deferUntilTrigger(fault) {
		return
	}
	if c.schedule.Tolerance > 0 && c.injectWithTolerance(fault) {
		return
	}
	c.tracef("FAULT: %v", fault)
	c.faultActiveUntil = max(c.faultActiveUntil, c.now+fault.For+restartTime)
	switch fault.Kind {
	case KillAll, LosePowerAll, LosePowerAllWipeSome:
		c.stopAllMembers(fault)
	case LoseZonePower:
		c.losePowerInZone(fault)
	case KillGateway, PauseGateway, IsolateGateway:
		if fault.Target < len(c.gateways) {
			c.injectGatewayFault(c.gateways[fault.Target], fault)
		}
	case CrashReplica:
		if fault.Target < len(c.replicas) {
			c.endReplica(c.replicas[fault.Target])
		}
	case CrashShardedReplica, PauseShardedReplica, IsolateShardedReplica:
		c.injectShardedReplicaFault(fault)
	default:
		if fault.Target < len(c.members) {
			c.injectMemberFault(c.members[fault.Target], fault)
		}
	}
}

// stopAllMembers stops all members, starting with the target, and wipes as many disks as the schedule may lose if the
// fault says so.
func (c *cluster) stopAllMembers(fault Fault) {
	wiped := 0
	for i := range c.members {
		m, cause := c.members[(i+fault.Target)%len(c.members)], powerLost
		if fault.Kind == KillAll {
			cause = processKilled
		}
		if fault.Kind == LosePowerAllWipeSome && c.mayWipe(m, i, wiped) {
			cause = diskWiped
			wiped++
		}
		c.stopMember(m, cause, fault.For+c.randomMilliseconds(maxRestartSpread))
	}
}

// mayWipe reports whether the i-th member to stop may lose its disk.
func (c *cluster) mayWipe(m *member, i, wiped int) bool {
	if c.schedule.Tolerance > 0 {
		return wiped < c.schedule.Tolerance && m.up
	}
	return i < (c.schedule.Members-1)/2 && i < (c.schedule.InitialMembers-1)/2
}

func (c *cluster) losePowerInZone(fault Fault) {
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

// injectMemberFault injects a fault into one member in a schedule without a Tolerance.
func (c *cluster) injectMemberFault(m *member, fault Fault) {
	switch fault.Kind {
	case PauseProcess:
		if m.up {
			c.unavailableSince[m.index] = c.now
			c.pause(&m.process, fault.For)
		}
	case StepClock:
		m.clockOffset += fault.For / 2
		c.tracef("%s: clock jumps ahead by %.2fs", m.name, (fault.For / 2).Seconds())
	case IsolateMember, IsolateMemberOneWay:
		c.cutLinksOf(m, fault)
	default:
		c.injectStopOrDiskFault(m, fault)
	}
}

// injectStopOrDiskFault injects a process or disk fault that all schedules share. It reports false for other kinds.
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

// endFault calls a function when a fault ends.
func (c *cluster) endFault(fault Fault, do func()) {
	c.after(fault.For, func() {
		do()
		c.extendFaultPeriod()
	})
}

// cutLinksOf cuts a member's links to all other nodes, in both directions or in a random one.
func (c *cluster) cutLinksOf(m *member, fault Fault) {
	if fault.Kind == IsolateMember {
		c.unavailableSince[m.index] = c.now
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
		if fault.Kind == IsolateMember || !inbound {
			links = append(links, link{m.name, other})
		}
		if fault.Kind == IsolateMember || inbound {
			links = append(links, link{other, m.name})
		}
	}
	c.cutFor(links, fault.For)
}
