package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Families are the kinds of generated schedules with a Tolerance. Each covers one class of failures.
var Families = []string{"cuts", "replaced", "twins", "storms", "long", "first", "overlaps"}

// familyGenerators draw the faults and actions of a schedule, by family.
var familyGenerators = map[string]func(*generator){
	"cuts":     (*generator).generatePartitions,
	"replaced": (*generator).generateReplacements,
	"twins":    (*generator).generateConflicts,
	"storms":   (*generator).generateCommandStorms,
	"long":     (*generator).generateLongHistory,
	"first":    (*generator).generateFirstStart,
	"overlaps": (*generator).generateOverlaps,
}

// toleranceByMembers is the number of members that may be lost at once, by cluster size.
var toleranceByMembers = map[int]int{3: 1, 5: 2, 7: 2}

// clusterStopFaults are the faults that stop all members.
var clusterStopFaults = []FaultKind{KillAll, LosePowerAll, LosePowerAllWipeSome}

const (
	familyGateways     = 2
	familyReplicas     = 2
	firstPutTime       = 500 * time.Millisecond
	cutDuration        = 20 * time.Second
	maxClusterDowntime = 900 * time.Millisecond
	changeInterval     = 40 * time.Millisecond // in generateLongHistory
	commandsInBurst    = 8
)

// generator draws one schedule of a family.
type generator struct {
	random    *rand.Rand
	schedule  Schedule
	budget    faultBudget
	bodyCount int
}

// GenerateFamily draws a schedule of a family, which must be one of Families. At no time does it lose more members
// than the tolerance allows, except for members that keep their disks in the family "overlaps".
func GenerateFamily(family string, seed uint64, members int) Schedule {
	g := &generator{
		random: rand.New(rand.NewPCG(seed, familyStream)),
		schedule: Schedule{Seed: seed, Members: members, InitialMembers: min(members, maxInitialMembers), Tolerance: toleranceByMembers[members],
			Gateways: familyGateways, Replicas: familyReplicas, Zones: generatedZones},
	}
	g.budget = make(faultBudget, g.schedule.Tolerance)
	drawLinks(g.random, &g.schedule)
	g.addAction(Action{At: firstPutTime, Kind: PutConfig, Version: 1})
	if generate := familyGenerators[family]; generate != nil {
		generate(g)
	}
	slices.SortStableFunc(g.schedule.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	sortActions(g.schedule.Actions)
	return g.schedule
}

// durationBetween returns a random duration in [a, b).
func (g *generator) durationBetween(a, b time.Duration) time.Duration {
	return a + time.Duration(g.random.Int64N(int64(b-a)))
}

// chance returns true with probability 1/n.
func (g *generator) chance(n int) bool { return g.random.IntN(n) == 0 }

func (g *generator) pickKind(kinds ...FaultKind) FaultKind { return pickOne(g.random, kinds...) }

// evacuateOrRestore returns EvacuateZone or RestoreZone at random.
func (g *generator) evacuateOrRestore() ActionKind {
	return pickOne(g.random, EvacuateZone, RestoreZone)
}

// randomMember returns the Action.To of a random member.
func (g *generator) randomMember() int { return 1 + g.random.IntN(g.schedule.Members) }

// withTarget assigns a random target to a fault: a role, a member of the first view, or any member.
func (g *generator) withTarget(fault Fault) Fault {
	const initialMember FaultRole = "seed"
	role := pickOne(g.random, RoleHead, RoleTail, RoleMiddle, initialMember, "")
	switch role {
	case initialMember:
		fault.Target = g.random.IntN(g.schedule.InitialMembers)
	case "":
		fault.Target = g.random.IntN(g.schedule.Members)
	default:
		fault.Role = role
	}
	return fault
}

// addFault adds a fault that makes a member unavailable, if the budget allows it.
func (g *generator) addFault(fault Fault) {
	until := fault.At + fault.For + restartTime + catchUpTime
	if fault.Trigger != "" {
		until += maxFaultWait
	}
	if g.budget.reserve(fault.At, until) {
		g.appendFault(fault)
	}
}

// appendFault adds a fault without consulting the budget.
func (g *generator) appendFault(fault Fault) { g.schedule.Faults = append(g.schedule.Faults, fault) }

// addClusterFault adds a fault of all members, if no other member is unavailable at that time.
func (g *generator) addClusterFault(at time.Duration, kinds ...FaultKind) {
	if slices.Max(g.budget) > at {
		return
	}
	fault := Fault{At: at, For: g.durationBetween(0, maxClusterDowntime), Kind: g.pickKind(kinds...)}
	g.budget.reserveAll(at, at+fault.For+maxRestartSpread*time.Millisecond+restartTime+catchUpTime)
	g.appendFault(fault)
}

// addAction adds an action. Each configuration has a distinct body unless the action names one.
func (g *generator) addAction(a Action) {
	if a.Kind == PutConfig && a.Body == 0 {
		g.bodyCount++
		a.Body = g.bodyCount
	}
	g.schedule.Actions = append(g.schedule.Actions, a)
}

// generatePartitions isolates, partitions or pauses members for 20 s, with calls during the fault and around its end.
func (g *generator) generatePartitions() {
	g.schedule.Duration = 36 * time.Second
	at := g.durationBetween(7*time.Second, 9*time.Second)
	for range 1 + g.random.IntN(g.schedule.Tolerance) {
		g.addFault(g.withTarget(Fault{At: at, For: cutDuration,
			Kind: g.pickKind(IsolateMember, PartitionMember, DropInbound, DropOutbound, PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks), Reconnect: g.chance(2)}))
		at += g.durationBetween(0, 4*time.Second)
	}
	for at := 10 * time.Second; at < 34*time.Second; at += g.durationBetween(2*time.Second, 9*time.Second) {
		g.addFault(g.withTarget(Fault{At: at, For: g.durationBetween(200*time.Millisecond, 2*time.Second),
			Kind: g.pickKind(KillProcess, LosePower, WipeDisk, PauseProcess, PartitionMember)}))
	}
	g.addActions(7*time.Second, 36*time.Second, 36)
}

// generateConflicts has operators submit conflicting commands with the same version at the same time and resend
// earlier ones, while the members that handle them fail.
func (g *generator) generateConflicts() {
	g.schedule.Duration = 26 * time.Second
	for at := g.durationBetween(7*time.Second, 8*time.Second); at < 24*time.Second; at += g.durationBetween(2*time.Second, 4*time.Second) {
		g.addBurst(at)
		switch g.random.IntN(4) {
		case 0:
			g.addClusterFault(at+g.durationBetween(0, 600*time.Millisecond), clusterStopFaults...)
		case 1, 2:
			g.addFault(g.withTarget(Fault{At: at + g.durationBetween(0, 30*time.Millisecond), For: g.durationBetween(300*time.Millisecond, 4*time.Second),
				Kind:      g.pickKind(KillProcess, LosePower, WipeDisk, PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks, IsolateMember, PartitionMember, DropInbound, DropOutbound, StallDisk),
				Reconnect: g.chance(3)}))
		}
	}
	g.addActions(7*time.Second, 26*time.Second, 12)
}

// addBurst adds a burst of concurrent commands, two for each version.
func (g *generator) addBurst(at time.Duration) {
	for i := range commandsInBurst {
		a := Action{At: at + time.Duration(g.random.IntN(4))*time.Millisecond*time.Duration(g.random.IntN(8)), Kind: PutConfig, To: g.randomMember(),
			Version: versionAt(at) + uint64(i/2), LoseResponse: g.chance(4), RetrySame: g.chance(3)}
		if g.chance(4) {
			a.Kind, a.Target = g.evacuateOrRestore(), g.random.IntN(generatedZones)
		}
		g.addAction(a)
	}
}

// generateCommandStorms combines faults with bursts of commands and reads around their start and end.
func (g *generator) generateCommandStorms() {
	s := &g.schedule
	s.Duration, s.Gateways, s.Replicas = 24*time.Second, 0, 0
	s.LossRate, s.ReorderRate = 0.01*float64(g.random.IntN(3)), 0.02*float64(g.random.IntN(3))
	s.MaxReorderDelay = shortReorderDelay
	for at := g.durationBetween(7*time.Second, 8*time.Second); at < 21*time.Second; at += g.durationBetween(2*time.Second, 5*time.Second) {
		fault := g.withTarget(Fault{At: at, For: g.stormFaultDuration(), Kind: g.pickKind(KillProcess, KillProcess, LosePower, WipeDisk, PauseProcess, PauseWithMonotonicClock, PauseWithAllClocks,
			IsolateMember, PartitionMember, DropInbound, DropOutbound, StallDisk, FillDisk, FailDisk)})
		if g.chance(5) {
			g.addClusterFault(at, clusterStopFaults...)
		} else {
			g.addFault(fault)
			if g.chance(3) { // a second fault as the view changes
				fault = g.withTarget(Fault{At: at + time.Millisecond, For: g.stormFaultDuration(),
					Kind: g.pickKind(KillProcess, LosePower, WipeDisk, PauseProcess, IsolateMember, DropOutbound), Trigger: TriggerViewChange})
				g.addFault(fault)
			}
		}
		g.addCommandStorm(at)
		g.addCommandStorm(at + fault.For)
	}
}

func (g *generator) stormFaultDuration() time.Duration {
	return g.durationBetween(20*time.Millisecond, 2500*time.Millisecond)
}

// addCommandStorm adds a burst of commands and reads around a time.
func (g *generator) addCommandStorm(around time.Duration) {
	for range 14 {
		at := g.durationBetween(around-100*time.Millisecond, around+1200*time.Millisecond)
		a := Action{At: at, Kind: PutConfig, Version: versionAt(at) + uint64(g.random.IntN(4)), To: g.randomMember(), LoseResponse: g.chance(6), RetrySame: g.chance(2)}
		switch g.random.IntN(4) {
		case 0:
			a.Kind, a.Target = g.evacuateOrRestore(), g.random.IntN(2)
		case 1:
			a.Kind = ReadConfig
		}
		g.addAction(a)
	}
}

// versionAt returns a version that increases with time.
func versionAt(at time.Duration) uint64 { return 10 * uint64(at/(100*time.Millisecond)) }

// generateLongHistory has hundreds of configuration changes, with restarts, wiped and full disks in between.
func (g *generator) generateLongHistory() {
	n := 300 + g.random.IntN(701)
	g.schedule.Duration = 10*time.Second + time.Duration(n)*changeInterval
	for at := g.durationBetween(7*time.Second, 9*time.Second); at < g.schedule.Duration-2*time.Second; at += g.durationBetween(time.Second, 4*time.Second) {
		if g.chance(6) {
			g.addClusterFault(at, clusterStopFaults...)
			continue
		}
		g.addFault(g.withTarget(Fault{At: at, For: g.durationBetween(200*time.Millisecond, 5*time.Second),
			Kind: g.pickKind(KillProcess, LosePower, WipeDisk, FillDisk, FailDisk, StallDisk, PauseProcess, IsolateMember)}))
	}
	for i := range n {
		at := 7*time.Second + time.Duration(i)*changeInterval + g.durationBetween(0, changeInterval)
		a := Action{At: at, Kind: PutConfig, Version: uint64(1000 + 2*i)}
		if i%8 == 0 {
			a.Kind, a.Target = g.evacuateOrRestore(), g.random.IntN(generatedZones)
		}
		g.addAction(a)
	}
	g.addActions(7*time.Second, g.schedule.Duration, 10)
}

// generateFirstStart injects faults within the first second of the initial start.
func (g *generator) generateFirstStart() {
	g.schedule.Duration, g.schedule.MaxStartDelay = 14*time.Second, 300*time.Millisecond
	at := g.durationBetween(time.Millisecond, 700*time.Millisecond)
	if g.chance(2) {
		for range 1 + g.random.IntN(g.schedule.Tolerance) {
			g.addFault(Fault{At: at, For: g.durationBetween(50*time.Millisecond, 2*time.Second),
				Kind: g.pickKind(KillProcess, LosePower, WipeDisk, PauseProcess, IsolateMember), Target: g.random.IntN(g.schedule.Members)})
			at += g.durationBetween(0, 400*time.Millisecond)
		}
	} else {
		g.addClusterFault(at, KillAll, LosePowerAll)
	}
	for i := range 4 {
		g.addAction(Action{At: g.durationBetween(0, time.Second), Kind: PutConfig, Version: uint64(2 + i)})
	}
	g.addActions(time.Second, 13*time.Second, 12)
}
