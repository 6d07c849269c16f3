// Package peermessages defines the messages between control-plane members, besides those of membership and chainreplication.
package peermessages

import (
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
)

// ProposeRequest asks the head of the chain to accept a command. Any member may send it on behalf of a caller.
type ProposeRequest struct {
	// RequestID matches the response to the request. It is unique across restarts of the sender.
	RequestID uint64                   `cbor:"1,keyasint"`
	Command   chainreplication.Command `cbor:"2,keyasint"`

	// HeadClock is the latest reading of the head's clock known to the sender. The head rejects a request with an outdated
	// reading: the request was delayed, and its caller may already have been told that it failed.
	HeadClock membership.ClockReading `cbor:"3,keyasint,omitempty"`
}

// ProposeResponse is the head's response to a ProposeRequest. An acceptance is sent once the command is on the head's disk.
type ProposeResponse struct {
	RequestID uint64 `cbor:"1,keyasint"`

	// ViewNumber and Sequence are the commit condition of the command: it is committed once a register with at least this
	// sequence is committed in this view.
	ViewNumber uint64 `cbor:"2,keyasint"`
	Sequence   uint64 `cbor:"3,keyasint"`

	// Accepted reports whether the head accepted the command. If not, the sender may propose it again.
	Accepted bool `cbor:"4,keyasint,omitempty"`

	// Conflict reports that another configuration already has the command's version. The rejection is final once the commit
	// condition is met.
	Conflict bool `cbor:"6,keyasint,omitempty"`

	// HeadClock is the head's clock at the time of the response.
	HeadClock membership.ClockReading `cbor:"5,keyasint,omitempty"`
}

// ViewConfirmation asks a voter whether a view is the latest one known to it, and carries the voter's response. A member sends
// it to all voters before answering a linearizable read; each voter returns it with Confirmed set accordingly.
type ViewConfirmation struct {
	RequestID  uint64 `cbor:"1,keyasint"`
	ViewNumber uint64 `cbor:"2,keyasint"`

	// Confirmed reports, in a response, that the voter has accepted no later view. It is unset in a request.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

// HintsConfirmation confirms that the sender has persisted the hints change of a request.
type HintsConfirmation struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// CommitStatus is the latest commit known to a member. It accompanies each heartbeat between members.
type CommitStatus struct {
	// Sequence is the sequence of the latest register known to be committed.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`

	// Known reports whether the member has learned of a commit since its start.
	Known bool `cbor:"2,keyasint,omitempty"`
}

// GatewaySummary describes the gateways connected to the sender.
type GatewaySummary struct {
	// GatewayCount is the number of connected gateways.
	GatewayCount int `cbor:"1,keyasint"`

	// Nodes describes the connected gateways; it is set where maintenance windows are in use.
	Nodes []maintenance.Node `cbor:"2,keyasint,omitempty"`

	// Load is the traffic received by the connected gateways; it is set where maintenance windows are in use.
	Load []GroupLoad `cbor:"3,keyasint,omitempty"`
}

// GroupLoad is the traffic of a traffic group in a region.
type GroupLoad struct {
	Region            string  `cbor:"1,keyasint"`
	Group             string  `cbor:"2,keyasint"`
	RequestsPerSecond float64 `cbor:"3,keyasint"`
}
