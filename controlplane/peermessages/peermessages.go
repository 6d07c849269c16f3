// Package peermessages has the messages that control-plane members exchange with one another, beside those of membership and chainreplication.
package peermessages

import (
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
)

// ProposeRequest asks the head of the chain to take a command. Any member sends it on behalf of its caller.
type ProposeRequest struct {
	// RequestID pairs the response with the request. It is unique over all incarnations of the sender.
	RequestID uint64                   `cbor:"1,keyasint"`
	Command   chainreplication.Command `cbor:"2,keyasint"`

	// HeadClock is the head's clock as the sender last heard it. The head rejects a request whose reading is too old: such a
	// request was delayed on its way, and its caller may have been refused since.
	HeadClock membership.ClockReading `cbor:"3,keyasint,omitempty"`
}

// ProposeResponse is the head's answer to a ProposeRequest. It is sent once the command is on the head's disk.
type ProposeResponse struct {
	RequestID uint64 `cbor:"1,keyasint"`

	// ViewNumber and Sequence say what to wait for: the command holds once the register of at least this sequence is
	// committed in the view of this number.
	ViewNumber uint64 `cbor:"2,keyasint"`
	Sequence   uint64 `cbor:"3,keyasint"`

	// Accepted reports whether the head took the command. Otherwise the sender may propose it again.
	Accepted bool `cbor:"4,keyasint,omitempty"`

	// Conflict reports that another configuration holds the command's version already. The refusal holds under the same
	// condition as an acceptance.
	Conflict bool `cbor:"6,keyasint,omitempty"`

	// HeadClock is the head's clock at the time of the response.
	HeadClock membership.ClockReading `cbor:"5,keyasint,omitempty"`
}

// ViewConfirmation asks a voter whether the view of a number is still the newest that it knows of, and carries the voter's answer.
// A member sends it to every voter before it answers a linearizable read; the voter sends it back with Confirmed set or not.
type ViewConfirmation struct {
	RequestID  uint64 `cbor:"1,keyasint"`
	ViewNumber uint64 `cbor:"2,keyasint"`

	// Confirmed reports, in an answer, that the voter has accepted no later view. It is not set in a request.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}

// HintsConfirmation tells a member that the change which it sent with a request is on the sender's disk.
type HintsConfirmation struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// CommitStatus is what a member knows to be committed. It accompanies each heartbeat between members.
type CommitStatus struct {
	// Sequence is that of the newest register known to be committed.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`

	// Known reports whether the member knows of any commit since it started.
	Known bool `cbor:"2,keyasint,omitempty"`
}

// GatewaySummary tells the other control-plane members about the gateways that are connected to the sender.
type GatewaySummary struct {
	// GatewayCount is the number of gateways connected to the sender.
	GatewayCount int `cbor:"1,keyasint"`

	// Nodes describes those gateways where maintenance windows are in use.
	Nodes []maintenance.Node `cbor:"2,keyasint,omitempty"`

	// Load is the traffic that those gateways received where maintenance windows are in use.
	Load []GroupLoad `cbor:"3,keyasint,omitempty"`
}

// GroupLoad is the traffic of one traffic group in one region.
type GroupLoad struct {
	Region            string  `cbor:"1,keyasint"`
	Group             string  `cbor:"2,keyasint"`
	RequestsPerSecond float64 `cbor:"3,keyasint"`
}
