package controller

import (
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/ownership"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// Event is an input to the state machine. Exactly one field is set, apart from those documented as accompanying others. An event with no field
// set is a tick.
type Event struct {
	Start             bool                      `cbor:"1,keyasint,omitempty"`
	Heartbeat         *fleet.Instance           `cbor:"2,keyasint,omitempty"` // sent by the replica to this member
	Deregister        string                    `cbor:"3,keyasint,omitempty"` // ID of an instance that deregisters itself
	Command           *chainreplication.Command `cbor:"4,keyasint,omitempty"` // from an operator, for the replicated register
	ReadConfiguration bool                      `cbor:"5,keyasint,omitempty"`
	GatewayJoined     *GatewayJoined            `cbor:"6,keyasint,omitempty"`
	GatewayLeft       uint64                    `cbor:"7,keyasint,omitempty"` // ID of the stream that was closed
	Report            *messages.LoadReport      `cbor:"8,keyasint,omitempty"`
	Message           *Message                  `cbor:"9,keyasint,omitempty"`
	WriteResult       *WriteResult              `cbor:"10,keyasint,omitempty"`
	DiscoveredAddrs   []string                  `cbor:"11,keyasint,omitempty"` // candidate addresses of other members
	Token             uint64                    `cbor:"12,keyasint,omitempty"` // with a call; copied to its Response
	Stream            uint64                    `cbor:"13,keyasint,omitempty"` // with Report
	From              *fleet.Member             `cbor:"14,keyasint,omitempty"` // with Message

	MaintenanceCommand *maintenance.Command `cbor:"15,keyasint,omitempty"` // command received from an operator

	CallResult *ownership.CallResult `cbor:"18,keyasint,omitempty"` // outcome of one of Actions.Calls

	Shutdown  bool          `cbor:"16,keyasint,omitempty"` // graceful shutdown was requested
	WallClock time.Duration `cbor:"17,keyasint,omitempty"` // with any event: time of day; 0 if unknown
}

// GatewayJoined reports a new stream from a gateway.
type GatewayJoined struct {
	Stream  uint64 `cbor:"1,keyasint"` // stream ID; never reused
	Gateway string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
}

// WriteResult is the outcome of the latest Actions.Write.
type WriteResult struct {
	Error string `cbor:"1,keyasint,omitempty"` // empty if the write succeeded
}

// Message is a message between control-plane members.
type Message struct {
	Coordinator *coordinator.Message         `cbor:"1,keyasint,omitempty"`
	Instances   []fleet.Instance             `cbor:"2,keyasint,omitempty"`
	Fleet       *peermessages.GatewaySummary `cbor:"3,keyasint,omitempty"`
	Ejections   []fleet.Ejection             `cbor:"4,keyasint,omitempty"`

	KeyLoads []messages.ServiceKeyLoad `cbor:"6,keyasint,omitempty"` // reported by the sender's gateways, for the head of the chain

	// PersistRequest, if not 0, asks the receiver to persist Instances and to confirm this request ID in coordinator.Message.HintsPersisted.
	PersistRequest uint64 `cbor:"5,keyasint,omitempty"`
}
