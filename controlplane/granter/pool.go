package granter

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/fleet"
)

// unreachableAfter is how long calls to a replica must have failed before its ranges are given to others.
const unreachableAfter = 1200 * time.Millisecond

// longWarmup is the remaining warm-up from which a replica loses its ranges: it bears few requests until then, and a move takes less time.
const longWarmup = time.Second

// replicaPool is what a step knows about the replicas of one service.
type replicaPool struct {
	eligible  []ownership.Replica // may receive ranges, ordered by ID
	keeps     map[string]bool     // may keep the ranges that they own, by ID
	addresses map[string]string   // of all known replicas, by ID
}

// newReplicaPool classifies the replicas of a service. One that is draining, deregistered, in an evacuated zone, unreachable or known to warm up for
// long loses its ranges; one that may be warming up keeps them and receives none.
func newReplicaPool(g *Granter, now time.Duration, input Input, service string) *replicaPool {
	pool := &replicaPool{keeps: map[string]bool{}, addresses: map[string]string{}}
	for _, instance := range input.Instances {
		if instance.Service != service {
			continue
		}
		pool.addresses[instance.ID] = instance.Addr
		leaving := instance.Deregistered || instance.Draining || slices.Contains(input.EvacuatedZones, instance.Zone)
		if leaving || g.isUnreachable(now, instance.ID) || warmsUpForLong(instance) {
			continue
		}
		pool.keeps[instance.ID] = true
		if g.isSuitable(instance) {
			replica := ownership.Replica{ID: instance.ID, Zone: instance.Zone, Slots: max(instance.Slots, 1)}
			pool.eligible = append(pool.eligible, replica)
		}
	}
	return pool
}

// isUnreachable reports whether calls to a replica have failed for too long.
func (g *Granter) isUnreachable(now time.Duration, id string) bool {
	replica := g.replicas[id]
	if replica == nil {
		return false
	}
	return replica.misdirected || replica.failures > 1 && now-replica.failingSince >= unreachableAfter
}

// warmsUpForLong reports whether a replica is known to be warming up for longWarmup or more.
func warmsUpForLong(instance fleet.Instance) bool {
	isKnown := !instance.WarmupStateUnknown && !instance.Stale
	return isKnown && instance.WarmupMillis >= longWarmup.Milliseconds()
}

// isSuitable reports whether a replica that stays may receive ranges.
func (g *Granter) isSuitable(instance fleet.Instance) bool {
	warmingUp := instance.WarmupMillis > 0 || instance.WarmupStateUnknown
	failing := g.replicas[instance.ID] != nil && g.replicas[instance.ID].failures > 0
	return !warmingUp && !instance.HeartbeatTimedOut && !failing
}

func (p *replicaPool) isEligible(id string) bool {
	return id != "" && slices.ContainsFunc(p.eligible, func(replica ownership.Replica) bool { return replica.ID == id })
}

// chooseTargets replaces the targets of free ranges that are not eligible. A target is empty if no replica is eligible.
func (p *replicaPool) chooseTargets(ranges, free []ownership.Range, load ownership.Load) {
	var unplaced []ownership.Range
	var positions []int
	for i, r := range free {
		if !p.isEligible(r.Target) {
			unplaced = append(unplaced, r)
			positions = append(positions, i)
		}
	}
	if len(unplaced) == 0 {
		return
	}
	targets := ownership.ChooseTargets(ownership.PlanInput{Ranges: ranges, Replicas: p.eligible, Load: load}, unplaced)
	for i, target := range targets {
		free[positions[i]].Target = target
	}
}
