package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// PCG streams of the schedule generators. Runs use randomStream.
const (
	faultStream   = 1
	actionStream  = 3
	windowStream  = 4
	plannedStream = 5
	familyStream  = 6
)

// Parameters common to all generated schedules.
const (
	generatedZones      = 3
	generatedGateways   = 3
	generatedReplicas   = 5
	generatedActions    = 40
	maxInitialMembers   = 3
	lossStep            = 0.002 // loss and reorder rates are multiples of it
	lossSteps           = 3
	shortReorderDelay   = 80 * time.Millisecond
	longReorderDelay    = 3 * time.Second // of one schedule in longReorderOneIn
	longReorderOneIn    = 4
	firstFaultAt        = 2500 * time.Millisecond
	maxFaultInterval    = 3 * time.Second
	clusterRecoveryTime = catchUpTime + 4*time.Second // after all members stopped at once
)

// Fault kinds that Generate draws from: of one member, of all members, and of gateways and replicas.
var (
	memberFaults = []FaultKind{KillProcess, LosePower, WipeDisk, PauseProcess, IsolateMember, IsolateMemberOneWay, FillDisk, FailDisk, StallDisk, StepClock,
		LosePowerOnAcknowledgement, WipeDiskOnAcknowledgement}
	clusterFaults   = []FaultKind{KillAll, LosePowerAll, LosePowerAllWipeSome, LosePowerAllOnAcknowledgement, KillAllOnView}
	dataPlaneFaults = []FaultKind{KillGateway, PauseGateway, IsolateGateway, CrashReplica}
)

// Generate draws a schedule with up to n faults. At no time does it lose more members than a control plane of this
// size must tolerate.
func Generate(seed uint64, members, n int, duration time.Duration) Schedule {
	random := rand.New(rand.NewPCG(seed, faultStream))
	s := Schedule{Seed: seed, Members: members, InitialMembers: min(members, maxInitialMembers), Duration: duration,
		Gateways: generatedGateways, Replicas: generatedReplicas, Zones: generatedZones}
	drawLinks(random, &s)
	budget := make(faultBudget, (members-1)/2)
	at := firstFaultAt
	for range n {
		at += time.Duration(random.Int64N(int64(maxFaultInterval)))
		if fault, ok := drawFault(random, s, at, budget); ok {
			s.Faults = append(s.Faults, fault)
		}
	}
	s.Actions = GenerateActions(seed, generatedActions, s.Replicas, duration)
	return s
}

// drawLinks draws the loss and reorder rates of links.
func drawLinks(random *rand.Rand, s *Schedule) {
	s.LossRate = lossStep * float64(random.IntN(lossSteps))
	s.ReorderRate = lossStep * float64(random.IntN(lossSteps))
	s.MaxReorderDelay = shortReorderDelay
	if random.IntN(longReorderOneIn) == 0 {
		s.MaxReorderDelay = longReorderDelay
	}
}

// drawFault draws one fault: of gateways and replicas (20 %), of all members (15 %), or of one member. It reports
// whether the budget allows it.
func drawFault(random *rand.Rand, s Schedule, at time.Duration, budget faultBudget) (fault Fault, ok bool) {
	fault = Fault{At: at, For: time.Duration(200+random.IntN(4000)) * time.Millisecond, Target: random.IntN(s.Members)}
	switch k := random.IntN(20); {
	case k < 4:
		fault.Kind, fault.Target = pickOne(random, dataPlaneFaults...), random.IntN(s.Gateways)
		return fault, true
	case k < 7:
		fault.Kind, fault.For = pickOne(random, clusterFaults...), time.Duration(random.IntN(900))*time.Millisecond
		return fault, budget.reserveAll(at, at+fault.For+clusterRecoveryTime)
	}
	fault.Kind = pickOne(random, memberFaults...)
	until := at + fault.For + restartTime + catchUpTime
	if fault.Kind == LosePowerOnAcknowledgement || fault.Kind == WipeDiskOnAcknowledgement {
		until += maxAcknowledgementWait
	}
	return fault, budget.reserve(at, until)
}

// pickOne returns a random element.
func pickOne[T any](random *rand.Rand, from ...T) T { return from[random.IntN(len(from))] }

// GenerateActions draws n actions of operators and replicas.
func GenerateActions(seed uint64, n, replicas int, duration time.Duration) (actions []Action) {
	random := rand.New(rand.NewPCG(seed, actionStream))
	for range n {
		a := Action{At: time.Second + time.Duration(random.Int64N(int64(duration-2*time.Second)))}
		switch k := random.IntN(12); {
		case k < 5:
			a.Kind, a.Version = PutConfig, uint64(10*int(a.At/(500*time.Millisecond))+random.IntN(3))
		case k < 7:
			a.Kind, a.Target = pickOne(random, EvacuateZone, RestoreZone), random.IntN(generatedZones)
		case k < 10:
			a.Kind = ReadConfig
		case k < 11:
			a.Kind, a.Target = DrainReplica, random.IntN(replicas)
		default:
			a.Kind, a.Target = StartReplica, random.IntN(generatedZones)
		}
		actions = append(actions, a)
	}
	sortActions(actions)
	return actions
}

func sortActions(actions []Action) {
	slices.SortStableFunc(actions, func(a, b Action) int { return int(a.At - b.At) })
}
