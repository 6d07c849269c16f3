// Package messages holds what the gateway's governors say to one another, beside what their own packages define.
package messages

import (
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/dataplane/outlier"
)

// Hello begins a connection.
type Hello struct {
	Member  membership.Member `cbor:"1,keyasint"` // a comb's; of a forager only Addr and Zone
	Gateway string            `cbor:"2,keyasint,omitempty"`

	Incarnation uint64 `cbor:"3,keyasint,omitempty"` // of a comb: drawn at each start
	DialedAt    uint64 `cbor:"4,keyasint,omitempty"` // when in that life the connection was dialled, in nanoseconds
}

// ProposeRequest asks the head to take an order; Entered tells what must be committed for it to hold. Echo is the head's own clock
// as the sender last heard it, so that one that was long on its way is known for it.
type ProposeRequest struct {
	RequestID uint64                   `cbor:"1,keyasint"`
	Command   chainreplication.Command `cbor:"2,keyasint"`
	HeadClock membership.ClockReading  `cbor:"3,keyasint,omitempty"`
}

type ProposeResponse struct {
	RequestID  uint64 `cbor:"1,keyasint"`
	ViewNumber uint64 `cbor:"2,keyasint"`
	Sequence   uint64 `cbor:"3,keyasint"`
	Accepted   bool   `cbor:"4,keyasint,omitempty"`

	Conflict bool `cbor:"6,keyasint,omitempty"` // its number is others' already

	HeadClock membership.ClockReading `cbor:"5,keyasint,omitempty"` // the head's
}

// ConfirmView asks whether view N is still the newest; Confirmed answers.
type ConfirmView struct {
	RequestID  uint64 `cbor:"1,keyasint"`
	ViewNumber uint64 `cbor:"2,keyasint"`
	Confirmed  bool   `cbor:"3,keyasint,omitempty"`
}

// EndpointWeight is a replica's weight in a table; 0 takes it out.
type EndpointWeight struct {
	Replica    string  `cbor:"1,keyasint"`
	Weight     float32 `cbor:"2,keyasint,omitempty"`
	WarmupRate float32 `cbor:"3,keyasint,omitempty"` // requests a second that this forager may send it while cold
}

// PairEjection shuts a replica out at one forager alone, where tries between the two fail that neither fails elsewhere; or lets
// it in again.
type PairEjection struct {
	Replica string `cbor:"1,keyasint"`
	Ejected bool   `cbor:"2,keyasint,omitempty"`
}

// MaintenanceWindow tells a forager of its maintenance window: the phase that it is to reach; empty: it has none.
type MaintenanceWindow struct {
	Phase        maintenance.Phase `cbor:"1,keyasint,omitempty"`
	FencingToken uint64            `cbor:"2,keyasint,omitempty"`
}

// GatewayStatus is what a forager tells of itself where windows are used.
type GatewayStatus struct {
	Ready           bool               `cbor:"1,keyasint,omitempty"`
	Phase           maintenance.Phase  `cbor:"2,keyasint,omitempty"`
	FencingToken    uint64             `cbor:"3,keyasint,omitempty"`
	CapacityByGroup map[string]float64 `cbor:"4,keyasint,omitempty"` // requests a second, by group
	LoadByGroup     map[string]float64 `cbor:"5,keyasint,omitempty"`
}

// StateUpdate tells a forager what is in force: whole at first, then what changed.
type StateUpdate struct {
	Full                bool                `cbor:"1,keyasint,omitempty"`
	Sequence            uint64              `cbor:"2,keyasint,omitempty"` // of the register; 0: not told here
	ConfigVersion       uint64              `cbor:"3,keyasint,omitempty"`
	Config              []byte              `cbor:"4,keyasint,omitempty"` // where the version changed
	EvacuatedZones      []string            `cbor:"5,keyasint,omitempty"`
	Instances           []registry.Instance `cbor:"6,keyasint,omitempty"`
	Weights             []EndpointWeight    `cbor:"7,keyasint,omitempty"`
	Members             []membership.Member `cbor:"8,keyasint,omitempty"`
	GatewayCount        int                 `cbor:"9,keyasint,omitempty"` // known over all combs
	WarmupRates         []EndpointWeight    `cbor:"10,keyasint,omitempty"`
	WarmupRatesComplete bool                `cbor:"11,keyasint,omitempty"` // Grants are all that hold
	Ejections           []outlier.Ejection  `cbor:"13,keyasint,omitempty"`
	MaintenanceEnabled  bool                `cbor:"15,keyasint,omitempty"` // with Seq: windows are used, and Window says what holds here
	Maintenance         MaintenanceWindow   `cbor:"16,keyasint,omitempty"`
	PairEjections       []PairEjection      `cbor:"14,keyasint,omitempty"`
	Bootstrapping       bool                `cbor:"12,keyasint,omitempty"` // the comb has just started and may not know all lives
}

// EndpointStats is what a forager met at a replica since its last report.
type EndpointStats struct {
	Replica           string `cbor:"1,keyasint"`
	Attempts          int    `cbor:"2,keyasint,omitempty"`
	Dropped           int    `cbor:"3,keyasint,omitempty"`
	MeanLatencyMicros int64  `cbor:"4,keyasint,omitempty"` // microseconds, mean of the good ones
	Running           int    `cbor:"5,keyasint,omitempty"` // by the replica's newest answer
	Waiting           int    `cbor:"6,keyasint,omitempty"`
	Slots             int    `cbor:"7,keyasint,omitempty"` // 0: it told no load
}

// LoadReport is what a forager tells its comb, once per report period.
type LoadReport struct {
	PeriodMillis int64                 `cbor:"1,keyasint"` // milliseconds
	Endpoints    []EndpointStats       `cbor:"2,keyasint,omitempty"`
	Requests     map[string]int        `cbor:"3,keyasint,omitempty"` // by service
	Failed       map[string]int        `cbor:"4,keyasint,omitempty"`
	Instances    []registry.Instance   `cbor:"5,keyasint,omitempty"` // what it was told, to a comb that may not know
	Sequence     uint64                `cbor:"6,keyasint,omitempty"`
	Observations []outlier.Observation `cbor:"8,keyasint,omitempty"`
	Deregistered []string              `cbor:"7,keyasint,omitempty"` // another replica answered at their addresses
	Status       *GatewayStatus        `cbor:"9,keyasint,omitempty"`
}

// GatewaySummary tells other combs which foragers are with one.
type GatewaySummary struct {
	GatewayCount int                `cbor:"1,keyasint"`
	Nodes        []maintenance.Node `cbor:"2,keyasint,omitempty"` // where windows are used
	Load         []GroupLoad        `cbor:"3,keyasint,omitempty"`
}

// GroupLoad is what came of a group of traffic in a region, in requests a second.
type GroupLoad struct {
	Region            string  `cbor:"1,keyasint"`
	Group             string  `cbor:"2,keyasint"`
	RequestsPerSecond float64 `cbor:"3,keyasint"`
}

// CommitStatus tells, beside a beat, what is known to be committed.
type CommitStatus struct {
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	Known    bool   `cbor:"2,keyasint,omitempty"`
}
