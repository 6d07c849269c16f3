package simulation

import (
	"fmt"
	"time"
)

// FaultKind says what a Fault does.
type FaultKind string

// Faults of one member, by its index or role.
const (
	KillProcess         FaultKind = "kill"   // which starts again at once
	LosePower           FaultKind = "power"  // with all that was not synced, until the fault ends
	WipeDisk            FaultKind = "wipe"   // the machine comes back with an empty disk
	PauseProcess        FaultKind = "freeze" // its clocks go on
	IsolateMember       FaultKind = "cut"    // from all nodes
	IsolateMemberOneWay FaultKind = "oneway" // from all nodes, in a random direction; not in schedules with a Tolerance
	FillDisk            FaultKind = "full"
	FailDisk            FaultKind = "refuse" // writes and syncs return errors
	StallDisk           FaultKind = "stall"
	StepClock           FaultKind = "step" // the monotonic clock jumps ahead by half of the fault's duration
)

// Faults of one member that only schedules with a Tolerance have.
const (
	PauseWithMonotonicClock FaultKind = "still"   // frozen with its monotonic clock
	PauseWithAllClocks      FaultKind = "stopped" // frozen with its monotonic clock and its time of day
	PartitionMember         FaultKind = "island"  // in both directions, while gateways and operators reach it
	DropInbound             FaultKind = "deaf"    // of what other members send
	DropOutbound            FaultKind = "mute"    // of what it sends to other members
	RemoveMember            FaultKind = "gone"    // without notice and for good, or with For set until it comes back with its disk
	ShutDownMember          FaultKind = "leave"   // by SIGTERM, for good or until it comes back
	AddSpareMember          FaultKind = "spare"   // a new machine at a new address; Target and Role mean nothing
)

// Faults of all members at once.
const (
	KillAll              FaultKind = "all"
	LosePowerAll         FaultKind = "allpower"
	LosePowerAllWipeSome FaultKind = "wipepower" // of which as many lose their disks as may be lost
)

// Faults that wait for a moment, and strike within milliseconds of it.
const (
	LosePowerOnAcknowledgement    FaultKind = "ackpower"    // whichever member acknowledges a command next
	WipeDiskOnAcknowledgement     FaultKind = "ackwipe"     // the same
	LosePowerAllOnAcknowledgement FaultKind = "ackallpower" // all members
	KillAllOnView                 FaultKind = "viewall"     // all members, at the next view
	LosePowerOnGrant              FaultKind = "grantpower"  // whichever member is first to hold the next grant of a window
	KillAllOnGrant                FaultKind = "grantall"    // all members, then
)

// Other faults.
const (
	LoseZonePower  FaultKind = "zone" // power of the members and gateways of a zone
	KillGateway    FaultKind = "bkill"
	PauseGateway   FaultKind = "bfreeze"
	IsolateGateway FaultKind = "bcut" // from all members
	CrashReplica   FaultKind = "rcrash"
)

// triggeredKind is what a fault that waits for a moment becomes at that moment.
var triggeredKind = map[FaultKind]FaultKind{
	LosePowerOnAcknowledgement:    LosePower,
	WipeDiskOnAcknowledgement:     WipeDisk,
	LosePowerAllOnAcknowledgement: LosePowerAll,
	KillAllOnView:                 KillAll,
	LosePowerOnGrant:              LosePower,
	KillAllOnGrant:                KillAll,
}

// FaultRole names a member by its part in the newest view.
type FaultRole string

// The roles. A fault without one strikes the member of its Target.
const (
	RoleHead        FaultRole = "head"
	RoleTail        FaultRole = "tail"
	RoleMiddle      FaultRole = "middle"
	RoleNewestSpare FaultRole = "newest" // the spare that was added last
)

// FaultTrigger is a view that a fault waits for.
type FaultTrigger string

// The moments. A fault without one strikes at its time.
const (
	TriggerSpareJoined  FaultTrigger = "joined" // the first view with the newest spare in the chain
	TriggerSpareIsVoter FaultTrigger = "voter"  // the first view with it among the voters
	TriggerViewChange   FaultTrigger = "viewed" // any view
)

// Fault is one thing that goes wrong, for a while.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	Target  int `json:"On"` // the index of a member, gateway or replica

	// The rest is for schedules with a Tolerance.

	Role FaultRole `json:",omitempty"`
	// Reconnect has a gateway begin a new incarnation and call that member first, soon after it was struck and again when the
	// fault is over.
	Reconnect bool `json:"Meet,omitempty"`
	// Trigger defers the fault until a view change of this kind, for at most maxFaultWait.
	Trigger FaultTrigger `json:"When,omitempty"`
}

// String returns the fault in one line of the trace.
func (f Fault) String() string {
	what := "of member"
	switch f.Kind {
	case KillGateway, PauseGateway, IsolateGateway:
		what = "of gateway"
	case CrashReplica:
		what = "of replica"
	}
	if f.Role != "" {
		what += fmt.Sprintf(" (the %s)", f.Role)
	}
	return fmt.Sprintf("%.2fs %s %s %d for %.2fs", f.At.Seconds(), f.Kind, what, f.Target, f.For.Seconds())
}
