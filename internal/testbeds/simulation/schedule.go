package simulation

import (
	"encoding/json"
	"time"
)

// Schedule defines a run. Its JSON keys predate the field names.
type Schedule struct {
	Seed           uint64        // of all random choices in the run
	Members        int           `json:"Machines"`
	InitialMembers int           `json:"Seeds"` // members that form the first view
	Gateways       int           `json:"Foragers"`
	Replicas       int           // initial replicas
	Zones          int           // 0: defaultZones
	Duration       time.Duration `json:"Lasts"` // of faults and actions; the run ends some seconds later

	Faults  []Fault  `json:"Troubles"`
	Actions []Action `json:"Acts"`

	LossRate        float64       `json:"Loss"`    // share of messages between members that are lost
	ReorderRate     float64       `json:"Reorder"` // share of messages that are delayed past later ones
	MaxReorderDelay time.Duration `json:"Late"`

	ShardedReplicas int     `json:",omitempty"` // initial replicas of the sharded service; 0: there is none
	LateCallRate    float64 `json:",omitempty"` // share of calls to replicas that the network holds up for up to maxLateCall, until the calm time at the end

	// MaxHeartbeatDelay is the maximum time for which the network holds up a heartbeat of a replica. Heartbeats overtake each other.
	MaxHeartbeatDelay time.Duration `json:",omitempty"`

	PlantedBug PlantedBug `json:"Fault,omitempty"`

	// Tolerance, if set, is the number of members that may be lost at once. Such a schedule may contain more kinds of
	// faults, and its run is also checked for linearizability by key and for the recovery of members.
	Tolerance     int           `json:",omitempty"`
	MaxStartDelay time.Duration `json:"Spread,omitempty"` // initial members start at random times within it

	// ExceedsTolerance is set if more members are unavailable at once than the tolerance allows, with their disks kept. Service may
	// rest then: availability and recovery are checked once recoveryTime has passed since all members are back.
	ExceedsTolerance bool `json:",omitempty"`

	// UnconfirmedUpdates makes members send their state to each gateway that connects before a quorum has confirmed
	// it. It tests the gateway's own protection against stale state.
	UnconfirmedUpdates bool `json:"Unasked,omitempty"`
}

// ActionKind identifies what an Action does.
type ActionKind string

// Actions of operators on the configuration and on zones.
const (
	PutConfig    ActionKind = "put"
	EvacuateZone ActionKind = "evacuate"
	RestoreZone  ActionKind = "restore"
	ReadConfig   ActionKind = "read"
)

// Actions of replicas.
const (
	DrainReplica ActionKind = "drain"
	StartReplica ActionKind = "begin" // start a replica that warms up

	DrainShardedReplica ActionKind = "shard-drain"
	StartShardedReplica ActionKind = "shard-begin" // it warms up
)

// Actions of operators on maintenance windows. The values are the verbs of the call.
const (
	SetWindowFloors ActionKind = "agree"
	RequestWindow   ActionKind = "ask"
	FinishWindow    ActionKind = "finish"
	CancelWindows   ActionKind = "cancel"
)

// Action is something that an operator or replica does.
type Action struct {
	At           time.Duration
	Kind         ActionKind
	Version      uint64 // PutConfig
	To           int    `json:",omitempty"`     // 1 + the index of the member that is called first; 0: any
	RetrySame    bool   `json:"Back,omitempty"` // retries call that member again
	LoseResponse bool   `json:"Lost,omitempty"` // the first response is lost in transit
	Body         int    `json:",omitempty"`     // for PutConfig, identifies the configuration; 0: the index of the action does
	Target       int    `json:"On"`             // index of the zone, replica or gateway
}

// endOfFaultsAndActions returns the time at which the last fault and the last action have ended.
func (s Schedule) endOfFaultsAndActions() time.Duration {
	end := s.Duration
	for _, fault := range s.Faults {
		end = max(end, fault.At+fault.For+restartTime)
	}
	return end
}

// toleratedLosses returns the number of members that may be lost at once, as the members' settings state it. Members that are told of
// no losses remove silent voters as RemoveSilentVoters describes.
func (s Schedule) toleratedLosses() int {
	switch {
	case s.PlantedBug == RemoveSilentVoters:
		return 0
	case s.Tolerance > 0:
		return s.Tolerance
	}
	return (s.Members - 1) / 2
}

// JSON returns the schedule in the indented form used under testdata.
func (s Schedule) JSON() string {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}
