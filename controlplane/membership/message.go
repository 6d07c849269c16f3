package membership

import (
	"cmp"

	"zincloft.example/zincloft/fleet"
)

// MessageKind identifies the type of a Message.
type MessageKind uint8

// Message kinds. Heartbeat serves failure detection and contact; the others are the messages of single-decree Paxos.
const (
	Heartbeat MessageKind = iota + 1
	Prepare               // Phase 1a, from the proposer.
	Promise               // Phase 1b, from a voter.
	Reject                // From a voter that has promised a higher ballot.
	Accept                // Phase 2a, from the proposer.
	Accepted              // Phase 2b, from a voter.
	Decided               // Announces a decided view.
)

// Message is a membership message between members.
type Message struct {
	Kind MessageKind  `cbor:"1,keyasint"`
	From fleet.Member `cbor:"2,keyasint"`

	// ViewNumber is the sender's current view in a Heartbeat, and the view to be decided in all other messages.
	ViewNumber uint64 `cbor:"3,keyasint,omitempty"`

	// Ballot identifies the proposal.
	Ballot Ballot `cbor:"4,keyasint,omitempty"`

	// PriorBallot is the highest ballot accepted by the voter in a Promise, and the ballot it has promised in a Reject.
	PriorBallot Ballot `cbor:"5,keyasint,omitempty"`

	// View is the view preceding the one to be decided in a Prepare, the view accepted under PriorBallot, if any, in a
	// Promise, and the proposed or decided view in an Accept or Decided.
	View *View `cbor:"6,keyasint,omitempty"`

	// The remaining fields are set in a Heartbeat only.

	// DiskUnhealthy reports that the sender's disk fails writes or is slow.
	DiskUnhealthy bool `cbor:"7,keyasint,omitempty"`

	// Clock is the sender's clock at the time of sending.
	Clock ClockReading `cbor:"8,keyasint,omitempty"`

	// Echoes holds the latest clock reading of each member whose heartbeats the sender receives, by member ID.
	Echoes map[string]ClockReading `cbor:"9,keyasint,omitempty"`

	// Leaving reports that the sender is shutting down gracefully.
	Leaving bool `cbor:"10,keyasint,omitempty"`

	// ReplyRequested requests an immediate heartbeat because the sender has no contact with a quorum.
	ReplyRequested bool `cbor:"11,keyasint,omitempty"`

	// SyncedView is the last view in which the sender was synced, once its register is persisted.
	SyncedView uint64 `cbor:"12,keyasint,omitempty"`
}

// Outbound is a message to be sent.
type Outbound struct {
	To      fleet.Member // Only the address is set for a seed that has not been contacted yet.
	Message Message

	// AfterSave delays the message until the node's current state is on stable storage.
	AfterSave bool
}

// Ballot is a Paxos ballot number. Ballots are totally ordered and unique to their proposer.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"` // ID of the proposing member.
}

// Less reports whether b is ordered before other.
func (b Ballot) Less(other Ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer)) < 0
}
