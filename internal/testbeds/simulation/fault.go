package simulation

import (
	"fmt"
	"time"
)

// FaultKind identifies what a Fault does.
type FaultKind string

// Faults of one member, which is given by index or role.
const (
	KillProcess         FaultKind = "kill"   // the process restarts after restartTime
	LosePower           FaultKind = "power"  // unsynced data is lost; the member restarts at the end of the fault
	WipeDisk            FaultKind = "wipe"   // the member restarts with an empty disk
	PauseProcess        FaultKind = "freeze" // its clocks keep running
	IsolateMember       FaultKind = "cut"    // from all nodes
	IsolateMemberOneWay FaultKind = "oneway" // from all nodes, in a random direction; only without a Tolerance
	FillDisk            FaultKind = "full"
	FailDisk            FaultKind = "refuse" // writes and syncs return errors
	StallDisk           FaultKind = "stall"
	StepClock           FaultKind = "step" // the monotonic clock jumps ahead by half of the fault's duration
)

// Faults of one member, in schedules with a Tolerance only.
const (
	PauseWithMonotonicClock FaultKind = "still"   // pause the process and its monotonic clock
	PauseWithAllClocks      FaultKind = "stopped" // pause the process, its monotonic clock and its wall clock
	PartitionMember         FaultKind = "island"  // from other members in both directions; gateways and operators still reach it
	DropInbound             FaultKind = "deaf"    // drop messages from other members
	DropOutbound            FaultKind = "mute"    // drop messages to other members
	RemoveMember            FaultKind = "gone"    // without shutdown; permanently, or with For set until it returns with its disk
	ShutDownMember          FaultKind = "leave"   // by SIGTERM; permanently, or with For set until it returns with its disk
	AddSpareMember          FaultKind = "spare"   // start a new machine at a new address; Target and Role are ignored
)

// Faults of all members at once.
const (
	KillAll              FaultKind = "all"
	LosePowerAll         FaultKind = "allpower"
	LosePowerAllWipeSome FaultKind = "wipepower" // and wipe as many disks as may be lost
)

// Faults that are deferred until an event and injected within milliseconds of it.
const (
	LosePowerOnAcknowledgement    FaultKind = "ackpower"    // of the member that acknowledges the next command
	WipeDiskOnAcknowledgement     FaultKind = "ackwipe"     // of the member that acknowledges the next command
	LosePowerAllOnAcknowledgement FaultKind = "ackallpower" // of all members, at the next acknowledgement
	KillAllOnView                 FaultKind = "viewall"     // all members, at the next view change
	LosePowerOnGrant              FaultKind = "grantpower"  // of the first member to learn of the next committed grant of a maintenance window
	KillAllOnGrant                FaultKind = "grantall"    // all members, at the next grant
)

// Other faults.
const (
	LoseZonePower  FaultKind = "zone" // of members and gateways in a zone
	KillGateway    FaultKind = "bkill"
	PauseGateway   FaultKind = "bfreeze"
	IsolateGateway FaultKind = "bcut" // from all members
	CrashReplica   FaultKind = "rcrash"
)

// triggeredKind is the fault that a deferred fault becomes when its event occurs.
var triggeredKind = map[FaultKind]FaultKind{
	LosePowerOnAcknowledgement:    LosePower,
	WipeDiskOnAcknowledgement:     WipeDisk,
	LosePowerAllOnAcknowledgement: LosePowerAll,
	KillAllOnView:                 KillAll,
	LosePowerOnGrant:              LosePower,
	KillAllOnGrant:                KillAll,
}

// FaultRole identifies a member by its position in the newest view.
type FaultRole string

// The roles. A fault without a role applies to the member given by Target.
const (
	RoleHead        FaultRole = "head"
	RoleTail        FaultRole = "tail"
	RoleMiddle      FaultRole = "middle"
	RoleNewestSpare FaultRole = "newest" // the spare that was added last
)

// FaultTrigger is the kind of view change that a fault waits for.
type FaultTrigger string

// The triggers. A fault without a trigger is injected at its time.
const (
	TriggerSpareJoined  FaultTrigger = "joined" // the first view with the newest spare in the chain
	TriggerSpareIsVoter FaultTrigger = "voter"  // the first view with the newest spare among the voters
	TriggerViewChange   FaultTrigger = "viewed" // any view
)

// Faults of a replica of the sharded service or of the links to all of them, in schedules with a Tolerance only. The target of the first
// three is an index among the sharded replicas that run.
const (
	CrashShardedReplica   FaultKind = "shard-crash" // another one starts at the end of the fault
	PauseShardedReplica   FaultKind = "shard-freeze"
	IsolateShardedReplica FaultKind = "shard-cut"       // from all nodes
	CutCallsToReplicas    FaultKind = "shard-calls"     // from a member to all sharded replicas
	CutAnswersOfReplicas  FaultKind = "shard-answers"   // from all sharded replicas to a member
	CutMemberFromReplicas FaultKind = "shard-unreached" // both directions
	StepWallClock         FaultKind = "wall"            // the member's time of day jumps ahead or back, and back again at the end of the fault
)

// Fault is a fault with its start time and duration.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	Target  int `json:"On"` // index of a member, gateway or replica

	// The remaining fields are for schedules with a Tolerance.

	Role FaultRole `json:",omitempty"`
	// Reconnect restarts a random gateway and connects it to the affected member, soon after the fault starts and
	// again around its end.
	Reconnect bool `json:"Meet,omitempty"`
	// Trigger defers the fault until a view change of this kind, for at most maxFaultWait.
	Trigger FaultTrigger `json:"When,omitempty"`
}

// String describes the fault for the trace.
func (f Fault) String() string {
	target := "of member"
	switch f.Kind {
	case KillGateway, PauseGateway, IsolateGateway:
		target = "of gateway"
	case CrashReplica:
		target = "of replica"
	case CrashShardedReplica, PauseShardedReplica, IsolateShardedReplica:
		target = "of sharded replica"
	}
	if f.Role != "" {
		target += fmt.Sprintf(" (the %s)", f.Role)
	}
	return fmt.Sprintf("%.2fs %s %s %d for %.2fs", f.At.Seconds(), f.Kind, target, f.Target, f.For.Seconds())
}
