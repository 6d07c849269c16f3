package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind identifies a type of fault.
type FaultKind string

// Faults on control-plane members. Fault.Target selects a member by number.
const (
	KillMember            FaultKind = "kill_member"        // SIGKILL, restarted after the fault
	PauseMember           FaultKind = "pause_member"       // SIGSTOP, then SIGCONT
	StopMember            FaultKind = "stop_member"        // SIGTERM, restarted after it exits
	ReloadMember          FaultKind = "reload_member"      // settings rewritten, SIGHUP
	WipeMember            FaultKind = "wipe_member"        // SIGKILL, data directory deleted, restarted with first_start false
	PartitionMember       FaultKind = "cut_member"         // from the other members, in both directions
	PartitionMemberOneWay FaultKind = "cut_member_one_way" // only the connections that it opens to the others
	DelayMembers          FaultKind = "delay_members"      // everything between members
	ResetMembers          FaultKind = "reset_members"      // connections between members, repeatedly
	KillAllMembers        FaultKind = "kill_all_members"
	KillEverything        FaultKind = "kill_everything" // members and gateways
	KillAfterAck          FaultKind = "kill_after_ack"  // the next member that acknowledges a call, immediately
	PartitionBeforeAck    FaultKind = "cut_before_ack"  // a member from the others while a replica deregisters at it
	DropResponses         FaultKind = "lose_answers"    // to control calls

	// Callers hold more connections to one port of a member than it has descriptors.
	ExhaustControlConnections       FaultKind = "hoard_connection"
	ExhaustPeerConnections          FaultKind = "hoard_peers"
	ExhaustMemberMetricsConnections FaultKind = "hoard_member_figures"
)

// Faults on gateways, replicas and clients. Fault.Target selects a gateway or a replica by number.
const (
	KillGateway               FaultKind = "kill_gateway"
	PauseGateway              FaultKind = "pause_gateway"
	StopGateway               FaultKind = "stop_gateway"
	RollGateways              FaultKind = "roll_gateways" // restarts all, one after the other
	ReloadGateway             FaultKind = "reload_gateway"
	PartitionGateway          FaultKind = "cut_gateway"     // from all members
	RestartPartitionedGateway FaultKind = "restart_cut_off" // killed, and restarted while it cannot reach any member
	ResetClients              FaultKind = "reset_clients"   // connections of clients to a gateway, repeatedly
	CrashReplica              FaultKind = "crash_replica"
	PartitionReplica          FaultKind = "cut_replica"
	MisbehavingReplicas       FaultKind = "misbehaving_replicas"
	HostileClients            FaultKind = "hostile_clients"
	DeregisterReplica         FaultKind = "deregister_replica" // planned, without draining first
	DrainReplica              FaultKind = "drain_replica"      // planned

	// Callers hold more connections to one port of a gateway than it has descriptors.
	ExhaustFrontConnections     FaultKind = "hoard_front"
	ExhaustReadinessConnections FaultKind = "hoard_readiness"
	ExhaustMetricsConnections   FaultKind = "hoard_figures"
)

// generatedKinds are the kinds that Generate picks from. A kind that is listed twice is picked twice as often.
var generatedKinds = []FaultKind{
	KillMember, PauseMember, StopMember, ReloadMember, WipeMember, PartitionMember, PartitionMember, PartitionMemberOneWay, DelayMembers, ResetMembers,
	KillAllMembers, KillEverything, KillAfterAck, PartitionBeforeAck, DropResponses, ExhaustControlConnections, ExhaustPeerConnections, ExhaustMemberMetricsConnections,
	ExhaustFrontConnections, ExhaustFrontConnections, ExhaustReadinessConnections, ExhaustMetricsConnections,
	KillGateway, PauseGateway, StopGateway, RollGateways, ReloadGateway, PartitionGateway, RestartPartitionedGateway, ResetClients,
	CrashReplica, PartitionReplica, MisbehavingReplicas, HostileClients, DeregisterReplica, DeregisterReplica, DrainReplica,
}

// Fault is one fault of a schedule. At is relative to the start of the schedule.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	At       time.Duration `json:"at"`
	For      time.Duration `json:"for"`
	Target   int           `json:"target"`
	HoldMode int           `json:"manner,omitempty"` // index into holdModes, for connection exhaustion
}

// affectsControlPlane reports whether a fault suspends the guarantees that require a stable control plane. Faults of callers and
// replicas do not.
func (k FaultKind) affectsControlPlane() bool {
	if kind, ok := k.memberKind(); ok {
		return kind.affectsControlPlane()
	}
	switch k {
	case SplitHead:
		return true
	case KillMember, PauseMember, StopMember, WipeMember, PartitionMember, PartitionMemberOneWay, DelayMembers, ResetMembers, KillAllMembers,
		KillEverything, KillAfterAck, PartitionBeforeAck:
		return true
	}
	return false
}

// affectsGateways reports whether a fault acts on a gateway's process or links.
func (k FaultKind) affectsGateways() bool {
	switch k {
	case KillGateway, PauseGateway, StopGateway, RollGateways, ReloadGateway, PartitionGateway, RestartPartitionedGateway, ResetClients, KillEverything, SplitHead:
		return true
	}
	return false
}

func (k FaultKind) losesDisk() bool { return k == WipeMember || k == WipeHead }

// Schedule is a list of faults to inject into a cluster.
type Schedule struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"` // sorted by At
}

// In each episode of a generated schedule two or three faults start close together. A fault-free period longer than the contact
// bound follows, so that guarantees that hold only in a stable cluster are checked too.
const (
	episodeInterval = 11 * time.Second
	episodeSpread   = 1200 * time.Millisecond
	minFaultTime    = 500 * time.Millisecond
	maxFaultTime    = 2800 * time.Millisecond
	maxTarget       = 12 // a multiple of the numbers of members and gateways

	// Faults that bear on ownership may outlast a lease, and may follow one another.
	longFaultTime     = 4500 * time.Millisecond // longer than a lease
	longFaultSpread   = time.Second
	ownershipShare    = 0.5
	seriesShare       = 0.3
	minSeriesInterval = 300 * time.Millisecond
	maxSeriesInterval = 1500 * time.Millisecond
	seriesLength      = 3
)

// Generate returns a random schedule that depends only on the seed and the number of episodes.
func Generate(seed uint64, episodes int) Schedule {
	random := rand.New(rand.NewPCG(seed, 1))
	schedule := Schedule{Seed: seed}
	for episode := range episodes {
		start := time.Duration(episode) * episodeInterval
		disks := 0
		for _, fault := range randomEpisode(random, start) {
			if fault.Kind.losesDisk() {
				if disks++; disks > 1 {
					continue // the cluster tolerates the loss of one disk at a time
				}
			}
			schedule.Faults = append(schedule.Faults, fault)
		}
	}
	slices.SortStableFunc(schedule.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// randomEpisode returns faults that start close together, or a series of faults on one head of the chain after the other.
func randomEpisode(random *rand.Rand, start time.Duration) (faults []Fault) {
	if random.Float64() >= seriesShare {
		for range 2 + random.IntN(2) {
			kinds := generatedKinds
			if random.Float64() < ownershipShare {
				kinds = ownershipKinds
			}
			faults = append(faults, randomFault(random, start, kinds))
		}
		return faults
	}
	at := start
	for range seriesLength {
		fault := randomFault(random, start, headKinds)
		fault.At = at
		faults = append(faults, fault)
		at += minSeriesInterval + time.Duration(random.Int64N(int64(maxSeriesInterval-minSeriesInterval)))
	}
	return append(faults, randomFault(random, start, ownershipKinds))
}

func randomFault(random *rand.Rand, start time.Duration, kinds []FaultKind) Fault {
	fault := Fault{
		Kind:   kinds[random.IntN(len(kinds))],
		At:     start + time.Duration(random.Int64N(int64(episodeSpread))),
		For:    minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))),
		Target: random.IntN(maxTarget),
	}
	switch fault.Kind {
	case ExhaustControlConnections, ExhaustPeerConnections, ExhaustMemberMetricsConnections, ExhaustFrontConnections, ExhaustReadinessConnections, ExhaustMetricsConnections:
		fault.HoldMode = random.IntN(len(holdModes))
	default:
	}
	if fault.Kind.outlastsLease() && random.IntN(2) == 0 {
		fault.For = longFaultTime + time.Duration(random.Int64N(int64(longFaultSpread)))
	}
	if fault.Kind == RestartPartitionedGateway {
		fault.For += requestDeadline // so that requests reach their deadline during the fault
	}
	return fault
}

// End returns when the last fault ends.
func (s Schedule) End() time.Duration {
	var end time.Duration
	for _, fault := range s.Faults {
		end = max(end, fault.At+fault.For)
	}
	return end
}

// Coverage counts for each pair of kinds how often two such faults overlapped.
type Coverage map[[2]FaultKind]int

// Add counts the overlapping faults of one run.
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
