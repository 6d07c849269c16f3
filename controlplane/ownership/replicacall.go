package ownership

import "time"

// CallKind is the kind of a call to a replica.
type CallKind uint8

// Kinds of calls.
const (
	CallGrant CallKind = iota + 1
	CallRelease
)

// Call is a call that grants a range of keys to a replica or takes it back.
type Call struct {
	ID       uint64        `cbor:"1,keyasint"` // identifies the call in its CallResult; never reused within an incarnation
	Kind     CallKind      `cbor:"2,keyasint"`
	Service  string        `cbor:"3,keyasint"`
	Replica  string        `cbor:"4,keyasint"` // ID of the replica
	Address  string        `cbor:"5,keyasint"`
	From     uint16        `cbor:"6,keyasint"`
	To       uint16        `cbor:"7,keyasint"`
	Token    uint64        `cbor:"8,keyasint"`
	Hold     time.Duration `cbor:"9,keyasint,omitempty"`  // duration of the lease; grants only
	Handover string        `cbor:"10,keyasint,omitempty"` // grants only

	// NotAfter is the latest time, on the clock of Controller.Step, at which the call may begin to be sent.
	NotAfter time.Duration `cbor:"11,keyasint"`

	// Timeout limits the time from the sending of the call to its response.
	Timeout time.Duration `cbor:"12,keyasint"`
}

// CallOutcome tells what is known about a call after it has ended.
type CallOutcome uint8

// Outcomes of a call.
const (
	// CallNotSent means that no byte of the call was sent, for instance because the connection was refused.
	CallNotSent CallOutcome = iota + 1

	// CallUnanswered means that the replica may have received the call before it ended. The connection was reset, so that the call is not
	// delivered later.
	CallUnanswered

	// CallAccepted means that the replica responded with status 200.
	CallAccepted

	// CallFenced means that the replica has seen a higher token on some of the keys (status 409).
	CallFenced

	// CallMisdirected means that another replica responds at the address (status 421).
	CallMisdirected

	// CallRejected means that the replica responded with any other status.
	CallRejected

	// CallNotTried means that the calling member made no attempt: the call was late, or the member's own limits did not allow it. It says nothing
	// about the replica.
	CallNotTried
)

// CallResult is the outcome of a Call.
type CallResult struct {
	ID       uint64      `cbor:"1,keyasint"`
	Outcome  CallOutcome `cbor:"2,keyasint"`
	Handover string      `cbor:"3,keyasint,omitempty"` // with an accepted release; may be empty
	Error    string      `cbor:"4,keyasint,omitempty"` // for logs
}
