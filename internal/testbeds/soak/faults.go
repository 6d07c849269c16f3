package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	memberDelay          = 150 * time.Millisecond // of each chunk between members under DelayMembers
	resetInterval        = 150 * time.Millisecond
	misbehavingRequests  = 60 // of each replica
	rollPause            = 300 * time.Millisecond
	cutBeforeAckLead     = 100 * time.Millisecond // a member still believes to be in contact then
	acknowledgementLimit = 2 * time.Second        // within which somebody is acknowledged something
)

// playFaults carries out the schedule and returns when the last fault is over.
func (c *cluster) playFaults(ctx context.Context) {
	begin := c.now()
	var faults sync.WaitGroup
	for _, fault := range c.options.Schedule.Faults {
		faults.Go(func() {
			if !sleepUntil(ctx, c, begin+fault.At) {
				return
			}
			event := FaultEvent{Fault: fault, BeganAt: c.now()}
			c.progressf("%s %d for %v", fault.Kind, fault.Target, fault.For.Round(time.Millisecond))
			if err := c.carryOut(ctx, fault); err != nil {
				event.Problem = err.Error()
			}
			event.EndedAt = c.now()
			c.record.change(func(r *Record) { r.Faults = append(r.Faults, event) })
		})
	}
	faults.Wait()
}

// sleepUntil tells whether the moment came before ctx ended.
func sleepUntil(ctx context.Context, c *cluster, moment time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(moment - c.now()):
		return true
	}
}

// carryOut begins a fault, lasts for its time and ends it.
func (c *cluster) carryOut(ctx context.Context, fault Fault) error {
	ctx, cancel := context.WithTimeout(ctx, fault.For)
	defer cancel()
	if fault.Kind.isOfMembers() {
		return c.faultMember(ctx, fault)
	}
	return c.faultEdge(ctx, fault)
}

func (k FaultKind) isOfMembers() bool {
	switch k {
	case ReloadMember, DropResponses, ExhaustControlConnections, ExhaustPeerConnections, ExhaustMemberMetricsConnections:
		return true
	case KillEverything:
		return true
	}
	return k.affectsControlPlane()
}

func (c *cluster) faultMember(ctx context.Context, fault Fault) error {
	member := c.members[fault.Target%len(c.members)]
	switch fault.Kind {
	case KillMember:
		keepDown(ctx, member)
	case KillAllMembers:
		keepDown(ctx, c.members...)
	case KillEverything:
		keepDown(ctx, c.daemons()...)
	case PauseMember:
		pause(ctx, member)
	case StopMember:
		member.stop()
	case ReloadMember:
		return reload(member)
	case WipeMember:
		return wipe(ctx, member)
	case PartitionMember, PartitionMemberOneWay:
		c.cutMember(ctx, member, fault.Kind == PartitionMemberOneWay)
	case DelayMembers:
		c.eachMemberLink(func(passes *relay) { passes.setDelay(memberDelay) })
		<-ctx.Done()
		c.eachMemberLink(func(passes *relay) { passes.setDelay(0) })
	case ResetMembers:
		again(ctx, func() { c.eachMemberLink((*relay).reset) })
	case KillAfterAck:
		c.killAcknowledger(ctx)
	case PartitionBeforeAck:
		c.cutAcknowledger(ctx, member, fault.Target)
	case DropResponses:
		passes := c.controlLinks[member.name]
		passes.setLoseAnswers(true)
		<-ctx.Done()
		passes.setLoseAnswers(false)
	case ExhaustControlConnections:
		hoard(ctx, member.controlAddress(), fault.HoldMode)
	case ExhaustPeerConnections:
		hoard(ctx, member.peerAddress(), fault.HoldMode)
	case ExhaustMemberMetricsConnections:
		hoard(ctx, member.metricsAddress(), fault.HoldMode)
	default:
	}
	return nil
}

func (c *cluster) faultEdge(ctx context.Context, fault Fault) error {
	gateway := c.gateways[fault.Target%len(c.gateways)]
	switch fault.Kind {
	case KillGateway:
		keepDown(ctx, gateway)
	case PauseGateway:
		pause(ctx, gateway)
	case StopGateway:
		gateway.stop()
	case RollGateways:
		c.rollGateways()
	case ReloadGateway:
		return reload(gateway)
	case PartitionGateway:
		c.cutGateway(ctx, gateway)
	case RestartPartitionedGateway:
		gateway.kill()
		c.cutGateway(ctx, gateway)
	case ResetClients:
		again(ctx, c.clientLinks[gateway.name].reset)
	case CrashReplica:
		c.fleet.crash(c.running, fault.Target)
	case PartitionReplica:
		heal := c.fleet.linkOf(fault.Target).cut()
		<-ctx.Done()
		heal()
	case MisbehavingReplicas:
		c.fleet.misbehave(misbehavingRequests)
		<-ctx.Done()
		c.fleet.behave()
	case HostileClients:
		sendHostile(ctx, gateway.frontAddress())
	case ExhaustFrontConnections:
		hoard(ctx, gateway.frontAddress(), fault.HoldMode)
	case ExhaustReadinessConnections:
		hoard(ctx, gateway.readinessAddress(), fault.HoldMode)
	case ExhaustMetricsConnections:
		hoard(ctx, gateway.metricsAddress(), fault.HoldMode)
	case DeregisterReplica:
		c.fleet.leave(c.running, fault.Target, leavesByDeregistering, "")
	case DrainReplica:
		c.fleet.leave(c.running, fault.Target, leavesByDraining, "")
	default:
	}
	return nil
}

// keepDown kills daemons at the same moment and keeps them down until ctx ends.
func keepDown(ctx context.Context, daemons ...*daemon) {
	var killed sync.WaitGroup
	for _, d := range daemons {
		release := d.holdDown()
		defer release()
		killed.Go(d.kill)
	}
	killed.Wait()
	<-ctx.Done()
}

func pause(ctx context.Context, d *daemon) {
	d.signal(syscall.SIGSTOP)
	<-ctx.Done()
	d.signal(syscall.SIGCONT)
}

// reload has a daemon read its settings anew.
func reload(d *daemon) error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	d.signal(syscall.SIGHUP)
	return nil
}

// wipe takes a member's disk away while it is down.
func wipe(ctx context.Context, member *daemon) error {
	release := member.holdDown()
	defer release()
	member.kill()
	err := member.wipe()
	<-ctx.Done()
	return err
}

// cutMember cuts a member from the other members, or only what it sends to them.
func (c *cluster) cutMember(ctx context.Context, member *daemon, oneWay bool) {
	for pair, passes := range c.links {
		outbound := pair.from == member.name
		inbound := pair.to == member.name && c.isMember(pair.from)
		if outbound || inbound && !oneWay {
			defer passes.cut()()
		}
	}
	<-ctx.Done()
}

func (c *cluster) isMember(name string) bool {
	for _, member := range c.members {
		if member.name == name {
			return true
		}
	}
	return false
}

func (c *cluster) eachMemberLink(do func(*relay)) {
	for pair, passes := range c.links {
		if c.isMember(pair.from) {
			do(passes)
		}
	}
}

// cutGateway cuts a gateway from all members.
func (c *cluster) cutGateway(ctx context.Context, gateway *daemon) {
	for pair, passes := range c.links {
		if pair.from == gateway.name {
			defer passes.cut()()
		}
	}
	<-ctx.Done()
}

// killAcknowledger kills the member that acknowledges anything next, and keeps it down.
func (c *cluster) killAcknowledger(ctx context.Context) {
	acknowledged := make(chan *daemon, 1)
	c.operators.onNextAcknowledgement(func(name string) {
		for _, member := range c.members {
			if member.name == name {
				member.signal(syscall.SIGSTOP) // nothing more leaves it
				acknowledged <- member
			}
		}
	})
	select {
	case member := <-acknowledged:
		keepDown(ctx, member)
	case <-time.After(acknowledgementLimit):
	}
}

// cutAcknowledger cuts a member from the others and at once has a replica deregister there: the member still believes to be in
// contact.
func (c *cluster) cutAcknowledger(ctx context.Context, member *daemon, place int) {
	done := make(chan struct{})
	go func() {
		c.cutMember(ctx, member, false)
		close(done)
	}()
	time.Sleep(cutBeforeAckLead)
	c.fleet.leave(c.running, place, leavesByDeregistering, member.name)
	<-done
}

// rollGateways stops all gateways in turn, each once the one before serves again.
func (c *cluster) rollGateways() {
	for _, gateway := range c.gateways {
		gateway.stop()
		time.Sleep(rollPause)
	}
}

// again does something every resetInterval until ctx ends.
func again(ctx context.Context, do func()) {
	ticker := time.NewTicker(resetInterval)
	defer ticker.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
