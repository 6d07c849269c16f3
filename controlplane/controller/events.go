package controller

import (
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/peermessages"
	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/messages"
)

// Event is something that happened. One of its fields is set, beside those that say with which others they go; an event with none lets time
// pass.
type Event struct {
	Start             bool                      `cbor:"1,keyasint,omitempty"`
	Heartbeat         *fleet.Instance           `cbor:"2,keyasint,omitempty"` // from the replica itself
	Deregister        string                    `cbor:"3,keyasint,omitempty"` // the ID of an instance that asks for it
	Command           *chainreplication.Command `cbor:"4,keyasint,omitempty"` // an operator's, for the replicated register
	ReadConfiguration bool                      `cbor:"5,keyasint,omitempty"`
	GatewayJoined     *GatewayJoined            `cbor:"6,keyasint,omitempty"`
	GatewayLeft       uint64                    `cbor:"7,keyasint,omitempty"` // the stream that has ended
	Report            *messages.LoadReport      `cbor:"8,keyasint,omitempty"`
	Message           *Message                  `cbor:"9,keyasint,omitempty"`
	WriteResult       *WriteResult              `cbor:"10,keyasint,omitempty"`
	DiscoveredAddrs   []string                  `cbor:"11,keyasint,omitempty"` // where other members may be
	Token             uint64                    `cbor:"12,keyasint,omitempty"` // with a call: the Response carries it
	Stream            uint64                    `cbor:"13,keyasint,omitempty"` // with Report
	From              *fleet.Member             `cbor:"14,keyasint,omitempty"` // with Message

	MaintenanceCommand *maintenance.Command `cbor:"15,keyasint,omitempty"` // an operator's

	Shutdown  bool          `cbor:"16,keyasint,omitempty"` // the process was asked to end
	WallClock time.Duration `cbor:"17,keyasint,omitempty"` // the time of day, with any event; 0: not known
}

// GatewayJoined is a gateway's new stream.
type GatewayJoined struct {
	Stream  uint64 `cbor:"1,keyasint"` // never used before
	Gateway string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
}

// WriteResult is the outcome of the latest Actions.Write.
type WriteResult struct {
	Error string `cbor:"1,keyasint,omitempty"` // empty: it is on stable storage
}

// Message is what members of the control plane send one another.
type Message struct {
	Coordinator *coordinator.Message         `cbor:"1,keyasint,omitempty"`
	Instances   []fleet.Instance             `cbor:"2,keyasint,omitempty"`
	Fleet       *peermessages.GatewaySummary `cbor:"3,keyasint,omitempty"`
	Ejections   []fleet.Ejection             `cbor:"4,keyasint,omitempty"`

	// PersistRequest, if not 0, is the sender's request to have Instances on disk; it is confirmed by coordinator.Message.HintsPersisted.
	PersistRequest uint64 `cbor:"5,keyasint,omitempty"`
}
