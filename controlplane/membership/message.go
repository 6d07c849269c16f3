package membership

import (
	"cmp"

	"zincloft.example/zincloft/fleet"
)

// MessageKind tells the messages between members apart.
type MessageKind uint8

// The kinds of messages. Heartbeat carries failure detection and contact; the others are those of single-decree Paxos.
const (
	Heartbeat MessageKind = iota + 1
	Prepare               // Phase 1a, from the proposer.
	Promise               // Phase 1b, from a voter.
	Reject                // From a voter that has promised a higher ballot.
	Accept                // Phase 2a, from the proposer.
	Accepted              // Phase 2b, from a voter.
	Decided               // A view that is known to be decided.
)

// Message is what members say to one another about views.
type Message struct {
	Kind MessageKind  `cbor:"1,keyasint"`
	From fleet.Member `cbor:"2,keyasint"`

	// ViewNumber is, in a Heartbeat, the number of the view that the sender holds; in all others that of the view to agree on.
	ViewNumber uint64 `cbor:"3,keyasint,omitempty"`

	// Ballot is the proposal that the message belongs to.
	Ballot Ballot `cbor:"4,keyasint,omitempty"`

	// PriorBallot is, in a Promise, the highest ballot that the voter has accepted; in a Reject, the one that it has promised.
	PriorBallot Ballot `cbor:"5,keyasint,omitempty"`

	// View is, in a Prepare, the view before the one to agree on; in a Promise, the view accepted under PriorBallot, if
	// any; in an Accept or Decided, the view itself.
	View *View `cbor:"6,keyasint,omitempty"`

	// The remaining fields belong to Heartbeat.

	// DiskUnhealthy says that the sender's disk does not take writes.
	DiskUnhealthy bool `cbor:"7,keyasint,omitempty"`

	// Clock is the sender's clock at sending.
	Clock ClockReading `cbor:"8,keyasint,omitempty"`

	// Echoes names the members that the sender hears, each with its clock as the sender last heard it.
	Echoes map[string]ClockReading `cbor:"9,keyasint,omitempty"`

	// Leaving says that the sender is shutting down gracefully.
	Leaving bool `cbor:"10,keyasint,omitempty"`

	// ReplyRequested says that the sender lacks contact with a quorum and wants a heartbeat at once.
	ReplyRequested bool `cbor:"11,keyasint,omitempty"`

	// SyncedView is the last view in which the sender was synced, on its disk.
	SyncedView uint64 `cbor:"12,keyasint,omitempty"`
}

// Outbound is a message to send.
type Outbound struct {
	To      fleet.Member // Known by its address alone where only a seed is known.
	Message Message

	// AfterSave says that the message must not leave before the node's present state is on stable storage.
	AfterSave bool
}

// Ballot is a proposal number. Ballots are totally ordered, and no two proposers use the same one.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"` // Identity of the proposing member.
}

// Less reports whether b is ordered before other.
func (b Ballot) Less(other Ballot) bool {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer)) < 0
}
