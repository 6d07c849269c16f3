package simulation

import (
	"encoding/json"
	"time"
)

// Schedule gives everything that one run does. It is kept as JSON; the keys are older than the names of the fields.
type Schedule struct {
	Seed           uint64        // of every random choice in the run
	Members        int           `json:"Machines"`
	InitialMembers int           `json:"Seeds"` // of the members, those that form the first view
	Gateways       int           `json:"Foragers"`
	Replicas       int           // that there are from the beginning
	Zones          int           // 0: 2
	Duration       time.Duration `json:"Lasts"` // of faults and actions; the run ends some seconds later

	Faults  []Fault  `json:"Troubles"`
	Actions []Action `json:"Acts"`

	LossRate        float64       `json:"Loss"`    // share of the messages between members that is lost
	ReorderRate     float64       `json:"Reorder"` // share that comes late, behind later messages
	MaxReorderDelay time.Duration `json:"Late"`

	PlantedBug PlantedBug `json:"Fault,omitempty"`

	// Tolerance, where set, is how many members may be lost at once. Such a schedule may have the faults that say so, and
	// more is checked: linearizability by key, and that members come back and take part again.
	Tolerance     int           `json:",omitempty"`
	MaxStartDelay time.Duration `json:"Spread,omitempty"` // members start within this

	// UnconfirmedUpdates has a member tell each gateway that connects what it holds to be committed, before it has asked the
	// other members. It takes that to see what a gateway itself guards when a member is wrong.
	UnconfirmedUpdates bool `json:"Unasked,omitempty"`
}

// ActionKind says what an Action does.
type ActionKind string

// The actions of operators on the configuration and on zones.
const (
	PutConfig    ActionKind = "put"
	EvacuateZone ActionKind = "evacuate"
	RestoreZone  ActionKind = "restore"
	ReadConfig   ActionKind = "read"
)

// The actions of replicas.
const (
	DrainReplica ActionKind = "drain"
	StartReplica ActionKind = "begin" // which warms up
)

// The actions of operators on maintenance windows. The values are the verbs of the call.
const (
	SetWindowFloors ActionKind = "agree"
	RequestWindow   ActionKind = "ask"
	FinishWindow    ActionKind = "finish"
	CancelWindows   ActionKind = "cancel"
)

// Action is something that operators or replicas do.
type Action struct {
	At           time.Duration
	Kind         ActionKind
	Version      uint64 // PutConfig
	To           int    `json:",omitempty"`     // 1 + the index of the member that is called first; 0: any
	RetrySame    bool   `json:"Back,omitempty"` // that member is called again, and not another
	LoseResponse bool   `json:"Lost,omitempty"` // the first answer is lost on its way
	Body         int    `json:",omitempty"`     // PutConfig: names what is put; 0: the index of the action does
	Target       int    `json:"On"`             // the zone, the replica or the gateway that is meant, by index
}

// endOfFaultsAndActions is when the last fault has ended and the schedule has run out.
func (s Schedule) endOfFaultsAndActions() time.Duration {
	end := s.Duration
	for _, fault := range s.Faults {
		end = max(end, fault.At+fault.For+restartTime)
	}
	return end
}

// JSON returns the schedule in the indented form used under testdata.
func (s Schedule) JSON() string {
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err.Error()
	}
	return string(text)
}
