package soak

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Faults on the head of the chain, which makes the calls to replicas. They act on the member that is the head when they begin.
const (
	KillHead                   FaultKind = "kill_head"
	PauseHead                  FaultKind = "pause_head" // shorter or longer than a lease
	StopHead                   FaultKind = "stop_head"
	WipeHead                   FaultKind = "wipe_head"
	PartitionHead              FaultKind = "cut_head"                       // from the other members, in both directions
	PartitionHeadOneWay        FaultKind = "cut_head_one_way"               // only the connections that it opens to the others
	SplitHead                  FaultKind = "split_head"                     // with some replicas and gateways, from all others
	CutHeadFromReplicas        FaultKind = "cut_head_from_replicas"         // in both directions
	LoseReplicaAnswersToHead   FaultKind = "cut_head_from_replicas_one_way" // its calls arrive, the answers do not
	DelayReplicaCalls          FaultKind = "delay_replica_calls"            // between members and sharded replicas
	ResetReplicaCalls          FaultKind = "reset_replica_calls"            // connections from members to sharded replicas, repeatedly
	CutShardReplica            FaultKind = "cut_shard_replica"              // from the members only
	CutShardReplicaAnswers     FaultKind = "cut_shard_replica_one_way"      // members' calls arrive, the answers do not
	RefuseShardCalls           FaultKind = "refuse_shard_calls"             // a sharded replica is cut from the members, its connections are reset
	CutShardReplicaFromClients FaultKind = "cut_shard_replica_from_gateways"
	PauseShardReplica          FaultKind = "pause_shard_replica"
	CrashShardReplica          FaultKind = "crash_shard_replica"
	DrainShardReplica          FaultKind = "drain_shard_replica"
	DeregisterShardReplica     FaultKind = "deregister_shard_replica"
	AddShardReplicas           FaultKind = "add_shard_replicas" // they drain at the end
)

const (
	addedShardReplicas = 2
	replicaCallDelay   = 60 * time.Millisecond // per read between members and sharded replicas, under DelayReplicaCalls
)

// ownershipKinds are the kinds that bear on ownership. A kind that is listed twice is picked twice as often.
var ownershipKinds = []FaultKind{
	KillHead, KillHead, PauseHead, PauseHead, StopHead, WipeHead, PartitionHead, PartitionHeadOneWay, SplitHead, SplitHead, CutHeadFromReplicas,
	LoseReplicaAnswersToHead, DelayReplicaCalls, ResetReplicaCalls, CutShardReplica, CutShardReplica, CutShardReplicaAnswers, RefuseShardCalls,
	CutShardReplicaFromClients, PauseShardReplica, CrashShardReplica, DrainShardReplica, DeregisterShardReplica, AddShardReplicas,
}

// headKinds are the kinds of a series of faults on heads.
var headKinds = []FaultKind{KillHead, PauseHead, StopHead, PartitionHead, PartitionHeadOneWay, SplitHead, CutHeadFromReplicas, KillAllMembers}

// outlastsLease reports whether a drawn fault of a kind may last longer than a lease.
func (k FaultKind) outlastsLease() bool {
	return slices.Contains([]FaultKind{PauseHead, PartitionHead, SplitHead, CutHeadFromReplicas, CutShardReplica, RefuseShardCalls, PauseShardReplica}, k)
}

func (k FaultKind) concernsOwnership() bool { return slices.Contains(ownershipKinds, k) }

func (k FaultKind) targetsHead() bool {
	return slices.Contains([]FaultKind{KillHead, PauseHead, StopHead, WipeHead, PartitionHead, PartitionHeadOneWay, SplitHead, CutHeadFromReplicas,
		LoseReplicaAnswersToHead}, k)
}

// memberKind returns the kind that does to any member what a kind does to the head.
func (k FaultKind) memberKind() (kind FaultKind, ok bool) {
	kind, ok = map[FaultKind]FaultKind{
		KillHead: KillMember, PauseHead: PauseMember, StopHead: StopMember, WipeHead: WipeMember, PartitionHead: PartitionMember,
		PartitionHeadOneWay: PartitionMemberOneWay,
	}[k]
	return kind, ok
}

// headIndex returns the number of the member that is the head of the chain, or fallback if none says so.
func (c *cluster) headIndex(ctx context.Context, fallback int) int {
	for i, member := range c.members {
		text, err := member.metrics(ctx)
		if err == nil && strings.Contains(text, "zincloft_controlplane_chain_position 0\n") && strings.Contains(text, "zincloft_controlplane_quorum_contact 1\n") {
			return i
		}
	}
	return fallback
}

// injectOwnershipFault starts a fault, waits until ctx ends and ends it. For faults on the head, fault.Target is its number.
func (c *cluster) injectOwnershipFault(ctx context.Context, fault Fault) error {
	if kind, ok := fault.Kind.memberKind(); ok {
		fault.Kind = kind
		return c.injectMemberFault(ctx, fault)
	}
	head := c.members[fault.Target%len(c.members)].name
	switch fault.Kind {
	case SplitHead:
		c.splitHead(ctx, head)
	case CutHeadFromReplicas:
		c.hold(ctx, c.shardLinks(head, ""), (*relay).block)
		c.recordResumption(head, "")
	case LoseReplicaAnswersToHead:
		c.hold(ctx, c.shardLinks(head, ""), blockResponses)
	case DelayReplicaCalls:
		c.hold(ctx, c.shardLinks("", ""), delayCalls)
	case ResetReplicaCalls:
		repeatUntilDone(ctx, func() { resetAll(c.shardLinks("", "")) })
	default:
		return c.injectShardReplicaFault(ctx, fault)
	}
	return nil
}

// injectShardReplicaFault injects a fault on a sharded replica.
func (c *cluster) injectShardReplicaFault(ctx context.Context, fault Fault) error {
	position := c.fleet.shardPosition(fault.Target)
	r := c.fleet.at(position)
	links := c.shardLinks("", r.instance.ID)
	switch fault.Kind {
	case CutShardReplica:
		c.hold(ctx, links, (*relay).block)
		c.recordResumption("", r.instance.ID)
	case CutShardReplicaAnswers:
		c.hold(ctx, links, blockResponses)
	case RefuseShardCalls:
		refused, cancel := context.WithCancel(ctx)
		defer cancel()
		go repeatUntilDone(refused, func() { resetAll(links) })
		c.hold(ctx, links, (*relay).block)
		c.recordResumption("", r.instance.ID)
	case CutShardReplicaFromClients:
		c.hold(ctx, []*relay{r.link}, (*relay).block)
	case PauseShardReplica:
		defer r.shard.Pause()()
		<-ctx.Done()
	case CrashShardReplica:
		return c.fleet.crash(c.running, position)
	case DrainShardReplica:
		return c.fleet.leave(c.running, position, departureDrain, "")
	case DeregisterShardReplica:
		return c.fleet.leave(c.running, position, departureDeregistration, "")
	case AddShardReplicas:
		return c.fleet.addShardReplicas(ctx, c.running)
	default:
	}
	return nil
}

// splitHead separates the head with every second gateway and sharded replica from the rest until ctx ends. Gateways still reach all replicas.
func (c *cluster) splitHead(ctx context.Context, head string) {
	isOnHeadSide := map[string]bool{head: true}
	for i, gateway := range c.gateways {
		isOnHeadSide[gateway.name] = i%2 == 0
	}
	var links []*relay
	for pair, linkRelay := range c.links {
		if isOnHeadSide[pair.from] != isOnHeadSide[pair.to] {
			links = append(links, linkRelay)
		}
	}
	for i, r := range c.fleet.sharded() {
		for member, linkRelay := range r.address.members {
			if (member == head) != (i%2 == 0) {
				links = append(links, linkRelay)
			}
		}
	}
	c.hold(ctx, links, (*relay).block)
	c.recordResumption("", "")
}

// hold applies a fault to links until ctx ends.
func (c *cluster) hold(ctx context.Context, links []*relay, apply func(*relay) (end func())) {
	for _, linkRelay := range links {
		defer apply(linkRelay)()
	}
	<-ctx.Done()
}

func blockResponses(linkRelay *relay) (unblock func()) { return linkRelay.blockDirection(responses) }

func delayCalls(linkRelay *relay) (end func()) {
	linkRelay.setDelay(replicaCallDelay)
	return func() { linkRelay.setDelay(0) }
}

func resetAll(links []*relay) {
	for _, linkRelay := range links {
		linkRelay.reset()
	}
}

// shardLinks returns the links from a member to a sharded replica. An empty name means all of them.
func (c *cluster) shardLinks(member, instance string) (links []*relay) {
	for _, r := range c.fleet.sharded() {
		if instance != "" && r.instance.ID != instance {
			continue
		}
		for name, linkRelay := range r.address.members {
			if member == "" || name == member {
				links = append(links, linkRelay)
			}
		}
	}
	return links
}

func (c *cluster) recordResumption(member, instance string) {
	at := c.now()
	c.record.update(func(r *Record) { r.Resumptions = append(r.Resumptions, Resumption{member, instance, at}) })
}

// pauseMember pauses a member until ctx ends.
func (c *cluster) pauseMember(ctx context.Context, member *daemon) {
	pause(ctx, member)
	c.recordResumption(member.name, "")
}
