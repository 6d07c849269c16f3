package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind says what a fault does.
type FaultKind string

// Faults of control-plane members. Target numbers a member.
const (
	KillMember            FaultKind = "kill_member"        // SIGKILL, restarted after the fault
	PauseMember           FaultKind = "pause_member"       // SIGSTOP, SIGCONT
	StopMember            FaultKind = "stop_member"        // SIGTERM, restarted after its end
	ReloadMember          FaultKind = "reload_member"      // settings written anew, SIGHUP
	WipeMember            FaultKind = "wipe_member"        // SIGKILL, its folder emptied, restarted with first_start false
	PartitionMember       FaultKind = "cut_member"         // from the other members, in both directions
	PartitionMemberOneWay FaultKind = "cut_member_one_way" // what it sends to the others
	DelayMembers          FaultKind = "delay_members"      // everything between members
	ResetMembers          FaultKind = "reset_members"      // connections between members, again and again
	KillAllMembers        FaultKind = "kill_all_members"
	KillEverything        FaultKind = "kill_everything" // members and gateways
	KillAfterAck          FaultKind = "kill_after_ack"  // the member that acknowledges next, at once
	PartitionBeforeAck    FaultKind = "cut_before_ack"  // a member from the others while a replica deregisters there
	DropResponses         FaultKind = "lose_answers"    // of the control calls

	// Callers hold connections to a port of a member. Target says which member.
	ExhaustControlConnections       FaultKind = "hoard_connection" // control
	ExhaustPeerConnections          FaultKind = "hoard_peers"
	ExhaustMemberMetricsConnections FaultKind = "hoard_member_figures"
)

// Faults of gateways, replicas and clients. Target numbers a gateway or a replica.
const (
	KillGateway               FaultKind = "kill_gateway"
	PauseGateway              FaultKind = "pause_gateway"
	StopGateway               FaultKind = "stop_gateway"
	RollGateways              FaultKind = "roll_gateways" // all are stopped and started in turn
	ReloadGateway             FaultKind = "reload_gateway"
	PartitionGateway          FaultKind = "cut_gateway"     // from all members
	RestartPartitionedGateway FaultKind = "restart_cut_off" // killed and restarted while it reaches no member
	ResetClients              FaultKind = "reset_clients"   // connections of clients to a gateway, again and again
	CrashReplica              FaultKind = "crash_replica"
	PartitionReplica          FaultKind = "cut_replica"
	MisbehavingReplicas       FaultKind = "misbehaving_replicas"
	HostileClients            FaultKind = "hostile_clients"
	DeregisterReplica         FaultKind = "deregister_replica" // planned: without draining before
	DrainReplica              FaultKind = "drain_replica"      // planned

	// Callers hold connections to a port of a gateway. Target says which gateway.
	ExhaustFrontConnections     FaultKind = "hoard_front"
	ExhaustReadinessConnections FaultKind = "hoard_readiness"
	ExhaustMetricsConnections   FaultKind = "hoard_figures"
)

// generatedKinds are the kinds that Generate draws from, each as often as it is listed.
var generatedKinds = []FaultKind{
	KillMember, PauseMember, StopMember, ReloadMember, WipeMember, PartitionMember, PartitionMember, PartitionMemberOneWay, DelayMembers, ResetMembers,
	KillAllMembers, KillEverything, KillAfterAck, PartitionBeforeAck, DropResponses, ExhaustControlConnections, ExhaustPeerConnections, ExhaustMemberMetricsConnections,
	ExhaustFrontConnections, ExhaustFrontConnections, ExhaustReadinessConnections, ExhaustMetricsConnections,
	KillGateway, PauseGateway, StopGateway, RollGateways, ReloadGateway, PartitionGateway, RestartPartitionedGateway, ResetClients,
	CrashReplica, PartitionReplica, MisbehavingReplicas, HostileClients, DeregisterReplica, DeregisterReplica, DrainReplica,
}

// Fault is one fault of a schedule. Times count from the schedule's begin.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	At       time.Duration `json:"at"`
	For      time.Duration `json:"for"`
	Target   int           `json:"target"`
	HoldMode int           `json:"manner,omitempty"` // how connections are held, see manners
}

// affectsControlPlane tells whether a fault leaves the control plane unsettled, by the users' words: what callers and replicas do is
// no excuse.
func (k FaultKind) affectsControlPlane() bool {
	switch k {
	case KillMember, PauseMember, StopMember, WipeMember, PartitionMember, PartitionMemberOneWay, DelayMembers, ResetMembers, KillAllMembers,
		KillEverything, KillAfterAck, PartitionBeforeAck:
		return true
	}
	return false
}

// affectsGateways tells whether a fault acts on a gateway's process or links.
func (k FaultKind) affectsGateways() bool {
	switch k {
	case KillGateway, PauseGateway, StopGateway, RollGateways, ReloadGateway, PartitionGateway, RestartPartitionedGateway, ResetClients, KillEverything:
		return true
	}
	return false
}

// losesDisk tells whether a fault takes away a disk.
func (k FaultKind) losesDisk() bool { return k == WipeMember }

// Schedule is what is done to a cluster.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"` // by At
}

// Shape of generated schedules: in each episode two or three faults begin close together, then all is calm for longer than contact
// takes, so that what binds in calm times only is seen too.
const (
	episodeInterval = 9 * time.Second
	episodeSpread   = 1200 * time.Millisecond
	minFaultTime    = 500 * time.Millisecond
	maxFaultTime    = 2800 * time.Millisecond
	maxTarget       = 12 // a multiple of the numbers of members and gateways
)

// Generate draws a schedule of a number of episodes from a seed.
func Generate(seed uint64, episodes int) Schedule {
	random := rand.New(rand.NewPCG(seed, 1))
	schedule := Schedule{Seed: seed}
	for episode := range episodes {
		begin := time.Duration(episode) * episodeInterval
		disks := 0
		for range 2 + random.IntN(2) {
			fault := drawFault(random, begin)
			if fault.Kind.losesDisk() {
				if disks++; disks > 1 {
					continue // more than may be lost at once
				}
			}
			schedule.Faults = append(schedule.Faults, fault)
		}
	}
	slices.SortStableFunc(schedule.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

func drawFault(random *rand.Rand, begin time.Duration) Fault {
	fault := Fault{
		Kind:   generatedKinds[random.IntN(len(generatedKinds))],
		At:     begin + time.Duration(random.Int64N(int64(episodeSpread))),
		For:    minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
		Target: random.IntN(maxTarget),
	}
	switch fault.Kind {
	case ExhaustControlConnections, ExhaustPeerConnections, ExhaustMemberMetricsConnections, ExhaustFrontConnections, ExhaustReadinessConnections, ExhaustMetricsConnections:
		fault.HoldMode = random.IntN(len(manners))
	default:
	}
	if fault.Kind == RestartPartitionedGateway {
		fault.For += requestDeadline // shorter, no client would notice
	}
	return fault
}

// End is when the last fault is over.
func (s Schedule) End() time.Duration {
	var end time.Duration
	for _, fault := range s.Faults {
		end = max(end, fault.At+fault.For)
	}
	return end
}

// Coverage counts, for each pair of kinds, how often two such faults were under way at the same time.
type Coverage map[[2]FaultKind]int

// Add counts the pairs of a run's faults.
func (c Coverage) Add(faults []FaultEvent) {
	for i, a := range faults {
		for _, b := range faults[:i] {
			if a.BeganAt < b.EndedAt && b.BeganAt < a.EndedAt {
				pair := [2]FaultKind{a.Kind, b.Kind}
				slices.Sort(pair[:])
				c[pair]++
			}
		}
	}
}
