package chainreplication

// MessageKind identifies the type of a Message.
type MessageKind uint8

// Message kinds.
const (
	// Forward carries the register to the sender's successor in the chain.
	Forward MessageKind = iota + 1

	// Commit is sent by the tail and announces that the register with the given sequence is committed. It includes the
	// register if the receiver is not in the chain.
	Commit

	// CatchUp carries the latest committed register, and the view in which its commit was observed, to a member that lacks it.
	CatchUp
)

// Message is a chain replication message between members.
type Message struct {
	Kind       MessageKind `cbor:"1,keyasint"`
	From       string      `cbor:"2,keyasint"` // ID of the sender.
	ViewNumber uint64      `cbor:"3,keyasint,omitempty"`
	Sequence   uint64      `cbor:"4,keyasint,omitempty"` // Sequence of the register.
	Register   *Register   `cbor:"5,keyasint,omitempty"`
}

// Outbound is a message to be sent.
type Outbound struct {
	To      string // ID of the receiver, which may be the sending replica itself.
	Message Message

	// AfterSave delays the message until the latest register is on stable storage.
	AfterSave bool
}
