package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

const (
	memberDelay         = 150 * time.Millisecond // per read between members, under DelayMembers
	resetInterval       = 150 * time.Millisecond
	misbehavingRequests = 60 // per replica
	rollPause           = 300 * time.Millisecond
	partitionLeadTime   = 100 * time.Millisecond // less than a member needs to detect a partition
	nextAckTimeout      = 2 * time.Second
)

// injectFaults injects the faults of the schedule and returns when the last one has ended.
func (c *cluster) injectFaults(ctx context.Context) {
	start := c.now()
	var faults sync.WaitGroup
	for _, fault := range c.options.Schedule.Faults {
		faults.Go(func() {
			if !sleepUntil(ctx, c, start+fault.At) {
				return
			}
			if fault.Kind.targetsHead() {
				fault.Target = c.headIndex(ctx, fault.Target)
			}
			event := FaultEvent{Fault: fault, BeganAt: c.now()}
			c.progressf("%s %d for %v", fault.Kind, fault.Target, fault.For.Round(time.Millisecond))
			if err := c.injectFault(ctx, fault); err != nil {
				event.Problem = err.Error()
			}
			event.EndedAt = c.now()
			c.record.update(func(r *Record) { r.Faults = append(r.Faults, event) })
		})
	}
	faults.Wait()
}

// sleepUntil sleeps until a time of the run. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, c *cluster, at time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(at - c.now()):
		return true
	}
}

// injectFault starts a fault, waits for its duration and ends it.
func (c *cluster) injectFault(ctx context.Context, fault Fault) error {
	ctx, cancel := context.WithTimeout(ctx, fault.For)
	defer cancel()
	if fault.Kind.concernsOwnership() {
		return c.injectOwnershipFault(ctx, fault)
	}
	if fault.Kind.targetsMember() {
		return c.injectMemberFault(ctx, fault)
	}
	return c.injectEdgeFault(ctx, fault)
}

func (k FaultKind) targetsMember() bool {
	switch k {
	case ReloadMember, DropResponses, ExhaustControlConnections, ExhaustPeerConnections, ExhaustMemberMetricsConnections:
		return true
	case KillEverything:
		return true
	}
	return k.affectsControlPlane()
}

func (c *cluster) injectMemberFault(ctx context.Context, fault Fault) error {
	member := c.members[fault.Target%len(c.members)]
	switch fault.Kind {
	case KillMember:
		keepDown(ctx, member)
	case KillAllMembers:
		keepDown(ctx, c.members...)
	case KillEverything:
		keepDown(ctx, c.daemons()...)
	case PauseMember:
		c.pauseMember(ctx, member)
	case StopMember:
		member.stop()
	case ReloadMember:
		return reload(member)
	case WipeMember:
		return wipe(ctx, member)
	case PartitionMember, PartitionMemberOneWay:
		c.partitionMember(ctx, member, fault.Kind == PartitionMemberOneWay)
	case DelayMembers:
		c.eachMemberLink(func(linkRelay *relay) { linkRelay.setDelay(memberDelay) })
		<-ctx.Done()
		c.eachMemberLink(func(linkRelay *relay) { linkRelay.setDelay(0) })
	case ResetMembers:
		repeatUntilDone(ctx, func() { c.eachMemberLink((*relay).reset) })
	case KillAfterAck:
		c.killAfterAck(ctx)
	case PartitionBeforeAck:
		return c.partitionBeforeAck(ctx, member, fault.Target)
	case DropResponses:
		linkRelay := c.controlLinks[member.name]
		linkRelay.setDropResponses(true)
		<-ctx.Done()
		linkRelay.setDropResponses(false)
	case ExhaustControlConnections:
		c.exhaustConnections(ctx, member.controlAddress(), fault.HoldMode)
	case ExhaustPeerConnections:
		c.exhaustConnections(ctx, member.peerAddress(), fault.HoldMode)
	case ExhaustMemberMetricsConnections:
		c.exhaustConnections(ctx, member.metricsAddress(), fault.HoldMode)
	default:
	}
	return nil
}

func (c *cluster) injectEdgeFault(ctx context.Context, fault Fault) error {
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
		c.partitionGateway(ctx, gateway)
	case RestartPartitionedGateway:
		gateway.kill()
		c.partitionGateway(ctx, gateway)
	case ResetClients:
		repeatUntilDone(ctx, c.clientLinks[gateway.name].reset)
	case CrashReplica:
		return c.fleet.crash(c.running, fault.Target)
	case PartitionReplica:
		unblock := c.fleet.linkAt(fault.Target).block()
		<-ctx.Done()
		unblock()
	case MisbehavingReplicas:
		c.fleet.setMisbehaviours(misbehavingRequests)
		<-ctx.Done()
		c.fleet.clearMisbehaviours()
	case HostileClients:
		sendMalformedRequests(ctx, gateway.frontAddress())
	case ExhaustFrontConnections:
		c.exhaustConnections(ctx, gateway.frontAddress(), fault.HoldMode)
	case ExhaustReadinessConnections:
		c.exhaustConnections(ctx, gateway.readinessAddress(), fault.HoldMode)
	case ExhaustMetricsConnections:
		c.exhaustConnections(ctx, gateway.metricsAddress(), fault.HoldMode)
	case DeregisterReplica:
		return c.fleet.leave(c.running, fault.Target, departureDeregistration, "")
	case DrainReplica:
		return c.fleet.leave(c.running, fault.Target, departureDrain, "")
	default:
	}
	return nil
}

// keepDown kills daemons simultaneously and prevents their restart until ctx ends.
func keepDown(ctx context.Context, daemons ...*daemon) {
	var killed sync.WaitGroup
	for _, d := range daemons {
		release := d.blockRestart()
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

// reload makes a daemon reload its settings.
func reload(d *daemon) error {
	if err := d.writeSettings(); err != nil {
		return err
	}
	d.signal(syscall.SIGHUP)
	return nil
}

// wipe kills a member, deletes its data directory and keeps it down until ctx ends.
func wipe(ctx context.Context, member *daemon) error {
	release := member.blockRestart()
	defer release()
	member.kill()
	err := member.wipe()
	<-ctx.Done()
	return err
}

// partitionMember partitions a member from the other members until ctx ends. With oneWay, only the connections that it opens are
// blocked.
func (c *cluster) partitionMember(ctx context.Context, member *daemon, oneWay bool) {
	for pair, linkRelay := range c.links {
		outbound := pair.from == member.name
		inbound := pair.to == member.name && c.isMember(pair.from)
		if outbound || inbound && !oneWay {
			defer linkRelay.block()()
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
	for pair, linkRelay := range c.links {
		if c.isMember(pair.from) {
			do(linkRelay)
		}
	}
}

// partitionGateway partitions a gateway from all members until ctx ends.
func (c *cluster) partitionGateway(ctx context.Context, gateway *daemon) {
	for pair, linkRelay := range c.links {
		if pair.from == gateway.name {
			defer linkRelay.block()()
		}
	}
	<-ctx.Done()
}

// killAfterAck kills the next member that acknowledges a call, and keeps it down until ctx ends.
func (c *cluster) killAfterAck(ctx context.Context) {
	acknowledged := make(chan *daemon, 1)
	c.operators.onNextAcknowledgement(func(name string) {
		for _, member := range c.members {
			if member.name == name {
				member.signal(syscall.SIGSTOP) // it must not replicate anything further
				acknowledged <- member
			}
		}
	})
	select {
	case member := <-acknowledged:
		keepDown(ctx, member)
	case <-time.After(nextAckTimeout):
	}
}

// partitionBeforeAck partitions a member from the others and deregisters a replica at it before it detects the partition.
func (c *cluster) partitionBeforeAck(ctx context.Context, member *daemon, position int) error {
	done := make(chan struct{})
	go func() {
		c.partitionMember(ctx, member, false)
		close(done)
	}()
	time.Sleep(partitionLeadTime)
	err := c.fleet.leave(c.running, position, departureDeregistration, member.name)
	<-done
	return err
}

// rollGateways restarts all gateways, one after the other.
func (c *cluster) rollGateways() {
	for _, gateway := range c.gateways {
		gateway.stop()
		time.Sleep(rollPause)
	}
}

// repeatUntilDone calls do every resetInterval until ctx ends.
func repeatUntilDone(ctx context.Context, do func()) {
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
