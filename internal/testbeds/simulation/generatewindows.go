package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"zincloft.example/zincloft/capacity"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

// Parameters of schedules with maintenance windows.
const (
	windowGateways       = 9 // three in each region
	windowReplicas       = 4
	windowActions        = 40
	firstConfigAt        = 1200 * time.Millisecond
	agreementAt          = 2 * time.Second
	firstWindowAt        = 5 * time.Second
	grantFaultAt         = 6 * time.Second
	zoneFaultAt          = 20 * time.Second
	timetableSlots       = 60 // of one second each
	plannedFaults        = 2
	plannedMinDuration   = 30 * time.Second
	plannedMembers       = 3
	firstSlotSecond      = 6 // seconds
	secondsAfterLastSlot = 8 // seconds
	minPlannedWindows    = 3
	minWindowSlots       = 6
	windowSlotsSpread    = 5
)

// GenerateWindows draws a schedule in which several operators request, finish and cancel maintenance windows at
// random. Members fail as they grant a window, and zones fail while windows are open.
func GenerateWindows(seed uint64, members, n int, duration time.Duration) Schedule {
	s := Generate(seed, members, n, duration)
	s.Gateways, s.Replicas = windowGateways, windowReplicas
	random := rand.New(rand.NewPCG(seed, windowStream))
	if random.IntN(2) == 0 {
		s.Faults = drawWindowFaults(random)
	}
	s.Actions = agreementActions()
	for range windowActions {
		s.Actions = append(s.Actions, drawWindowAction(random, duration))
	}
	sortActions(s.Actions)
	return s
}

// drawWindowFaults draws a fault at a grant and a later loss of a zone.
func drawWindowFaults(random *rand.Rand) []Fault {
	return []Fault{
		{At: grantFaultAt, For: time.Duration(300+random.IntN(2500)) * time.Millisecond, Kind: pickOne(random, LosePowerOnGrant, KillAllOnGrant)},
		{At: zoneFaultAt, For: time.Duration(1000+random.IntN(3000)) * time.Millisecond, Kind: LoseZonePower, Target: random.IntN(generatedZones)},
	}
}

// agreementActions submit the first configuration and set the capacity floors for maintenance windows.
func agreementActions() []Action {
	return []Action{{At: firstConfigAt, Kind: PutConfig, Version: 1}, {At: agreementAt, Kind: SetWindowFloors}}
}

func drawWindowAction(random *rand.Rand, duration time.Duration) Action {
	a := Action{At: firstWindowAt + time.Duration(random.Int64N(int64(duration-firstWindowAt-time.Second))), Target: random.IntN(windowGateways)}
	switch k := random.IntN(10); {
	case k < 6:
		a.Kind = RequestWindow
	case k < 9:
		a.Kind = FinishWindow
	default:
		a.Kind = CancelWindows
	}
	return a
}

// PlannedMaintenance is a schedule of planned maintenance windows, with the lengths in slots of its timetable and of
// two alternatives for the same windows.
type PlannedMaintenance struct {
	Schedule     Schedule
	GreedySlots  int // length with the greedy planner
	OptimalSlots int // length of the shortest timetable, which the schedule follows
	SerialSlots  int // length with one node at a time
}

// GeneratePlannedMaintenance draws maintenance windows for three to nine gateways in three regions and follows the
// planner's timetable, in slots of one second, while members fail. It reports whether a timetable exists.
func GeneratePlannedMaintenance(seed uint64) (plan PlannedMaintenance, ok bool) {
	random := rand.New(rand.NewPCG(seed, plannedStream))
	request := drawPlanRequest(random)
	for _, window := range request.Windows {
		plan.SerialSlots += window.DurationSlots
	}
	greedy, _ := maintenanceplanner.Greedy(request) // Plan reports it if no timetable exists
	timetable, proof := maintenanceplanner.Plan(request)
	if proof != nil {
		return PlannedMaintenance{}, false
	}
	plan.GreedySlots, plan.OptimalSlots = greedy.Makespan, timetable.Makespan
	s := Generate(seed, plannedMembers, plannedFaults, plannedMinDuration)
	s.Gateways, s.Replicas = windowGateways, windowReplicas
	s.Actions = agreementActions()
	for _, assignment := range timetable.Assignments {
		target := slices.IndexFunc(request.Nodes, func(node capacity.Node) bool { return node.Name == assignment.Node })
		s.Actions = append(s.Actions,
			Action{At: time.Duration(firstSlotSecond+assignment.Start) * time.Second, Kind: RequestWindow, Target: target},
			Action{At: time.Duration(firstSlotSecond+assignment.End) * time.Second, Kind: FinishWindow, Target: target})
		s.Duration = max(s.Duration, time.Duration(secondsAfterLastSlot+assignment.End)*time.Second)
	}
	sortActions(s.Actions)
	plan.Schedule = s
	return plan, true
}

// drawPlanRequest draws the capacity of each gateway and the windows of some of them.
func drawPlanRequest(random *rand.Rand) *maintenanceplanner.Request {
	request := &maintenanceplanner.Request{SlotCount: timetableSlots, FaultTolerance: capacity.FaultTolerance{Machines: 1}}
	for i := range generatedZones {
		request.Demands = append(request.Demands, maintenanceplanner.Demand{Region: regionName(i), Group: capacity.Lookups, Floor: agreedFloor})
	}
	for i := range windowGateways {
		request.Nodes = append(request.Nodes, capacity.Node{Name: gatewayName(i), Zone: string(rune('a' + i%generatedZones)), Region: regionName(i % generatedZones),
			Capacity: map[string]float64{capacity.Lookups: 70 + 20*random.Float64()}})
	}
	order := random.Perm(windowGateways)[:minPlannedWindows+random.IntN(windowGateways-minPlannedWindows+1)]
	for _, i := range order {
		name := request.Nodes[i].Name
		request.Windows = append(request.Windows, maintenanceplanner.WindowRequest{Name: name, Nodes: []string{name}, Latest: timetableSlots,
			DurationSlots: minWindowSlots + random.IntN(windowSlotsSpread)})
	}
	return request
}
