package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	shardedStream        = 7 // PCG stream of GenerateSharded
	shardedReplicas      = 6
	firstShardedFault    = 8 * time.Second
	minShardedFaults     = 2
	shardedFaultsSpread  = 5
	maxShardedFaultGap   = 4 * time.Second
	shortShardedFaultGap = 300 * time.Millisecond
	maxShardedFault      = 6 * time.Second
	shardedCalmTime      = shardedRecoveryTime + 3*time.Second // judged at the end, in addition to finalReadDelay
	maxShardedActions    = 6
	earliestShardedStart = 6 * time.Second
)

// Fault kinds that GenerateSharded draws from.
var (
	granterFaults = []FaultKind{KillProcess, LosePower, WipeDisk, PauseProcess, PauseProcess, IsolateMember, PartitionMember, PartitionMember, DropInbound, DropOutbound}
	callFaults    = []FaultKind{CutCallsToReplicas, CutAnswersOfReplicas, CutMemberFromReplicas, StepWallClock}
	ownerFaults   = []FaultKind{CrashShardedReplica, PauseShardedReplica, IsolateShardedReplica}
)

// GenerateSharded draws a schedule with a sharded service whose replicas, and the members that grant keys to them, fail, followed by a calm time. At
// no time does it lose more members than the tolerance allows.
func GenerateSharded(seed uint64, members int) Schedule {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, shardedStream)),
		schedule: Schedule{Seed: seed, Members: members, InitialMembers: min(members, maxInitialMembers), Tolerance: toleranceByMembers[members],
			Gateways: familyGateways, Replicas: familyReplicas, ShardedReplicas: shardedReplicas, Zones: generatedZones},
	}
	g.budget = make(faultBudget, g.schedule.Tolerance)
	drawLinks(g.random, &g.schedule)
	g.schedule.LateCallRate = pickOne(g.random, 0, 0.02, 0.3)
	g.addAction(Action{At: firstPutTime, Kind: PutConfig, Version: 1})
	at := firstShardedFault
	for range minShardedFaults + g.random.IntN(shardedFaultsSpread) {
		gap := maxShardedFaultGap
		if g.chance(2) { // so that a replica and the head that could tell are lost together
			gap = shortShardedFaultGap
		}
		at += g.durationBetween(0, gap)
		g.addShardedFault(at)
	}
	g.addShardedActions(at)
	g.schedule.Duration = at + maxShardedFault + shardedCalmTime
	slices.SortStableFunc(g.schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	sortActions(g.schedule.Actions)
	return g.schedule
}

// addShardedFault adds a fault of the head or of another member, of its calls, of a sharded replica, or of all members.
func (g *generator) addShardedFault(at time.Duration) {
	fault := Fault{At: at, For: g.durationBetween(200*time.Millisecond, maxShardedFault), Role: RoleHead}
	if g.chance(4) {
		fault = g.withTarget(fault)
	}
	switch k := g.random.IntN(10); {
	case k < 5:
		fault.Kind = g.pickKind(granterFaults...)
		g.addFault(fault)
	case k < 6:
		fault.Kind = g.pickKind(callFaults...)
		g.appendFault(fault)
	case k < 9:
		fault.Kind, fault.Role, fault.Target = g.pickKind(ownerFaults...), "", g.random.IntN(shardedReplicas)
		g.appendFault(fault)
		if g.chance(2) { // its keys are already being moved
			g.addAction(Action{At: at - g.durationBetween(0, shortShardedFaultGap), Kind: DrainShardedReplica, Target: fault.Target})
		}
	default:
		g.addClusterFault(at, clusterStopFaults...)
	}
}

// addShardedActions adds actions that move keys: sharded replicas start and drain, zones are evacuated and restored.
func (g *generator) addShardedActions(until time.Duration) {
	for range g.random.IntN(maxShardedActions + 1) {
		a := Action{At: g.durationBetween(earliestShardedStart, until+time.Second), Target: g.random.IntN(generatedZones)}
		switch g.random.IntN(5) {
		case 0, 1:
			a.Kind = StartShardedReplica
		case 2, 3:
			a.Kind, a.Target = DrainShardedReplica, g.random.IntN(shardedReplicas)
		default:
			a.Kind = EvacuateZone
			g.addAction(Action{At: a.At + g.durationBetween(time.Second, 8*time.Second), Kind: RestoreZone, Target: a.Target})
		}
		g.addAction(a)
	}
}
