package messages

import (
	"zincloft.example/zincloft/fleet"
)

// Hello is the first message on every connection, sent by the dialing side.
type Hello struct {
	// Member is the sending control-plane member. A gateway sets only Addr and Zone.
	Member fleet.Member `cbor:"1,keyasint"`

	// Gateway is the name of the sending gateway. It is empty if the sender is a control-plane member.
	Gateway string `cbor:"2,keyasint,omitempty"`

	// Incarnation identifies one run of the sending member's process. It is chosen randomly at each start.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`

	// DialedAt is when the connection was dialed, in nanoseconds on the monotonic clock of the sender's incarnation. If there
	// are two connections from one incarnation, the receiver keeps the one dialed later.
	DialedAt uint64 `cbor:"4,keyasint,omitempty"`
}
