package chainreplication

// MessageKind tells the messages between members apart.
type MessageKind uint8

// The kinds of messages.
const (
	// Forward carries the register to the successor in the chain.
	Forward MessageKind = iota + 1

	// Commit says, from the tail, that the register with the given sequence is committed. It carries the register where
	// the receiver is not part of the chain.
	Commit

	// CatchUp carries the committed register to a member that lacks it, and the view in which its commit was seen.
	CatchUp
)

// Message is what members say to one another about the register.
type Message struct {
	Kind       MessageKind `cbor:"1,keyasint"`
	From       string      `cbor:"2,keyasint"` // Identity of the sender.
	ViewNumber uint64      `cbor:"3,keyasint,omitempty"`
	Sequence   uint64      `cbor:"4,keyasint,omitempty"` // Of the register.
	Register   *Register   `cbor:"5,keyasint,omitempty"`
}

// Outbound is a message to send.
type Outbound struct {
	To      string // Identity of the receiver, which may be the replica itself.
	Message Message

	// AfterSave says that the message must not leave before the latest register is on stable storage.
	AfterSave bool
}
