package messages

import (
	"zincloft.example/zincloft/fleet"
)

// Hello is the first message on every connection. The process that dials sends it.
type Hello struct {
	// Member is the sending control-plane member. A gateway sets only Addr and Zone.
	Member fleet.Member `cbor:"1,keyasint"`

	// Gateway is the sending gateway's name. It is empty if a control-plane member sends the message.
	Gateway string `cbor:"2,keyasint,omitempty"`

	// Incarnation identifies one run of the sending member's process. It is drawn at random at each start.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`

	// DialedAt is when the connection was dialed, in nanoseconds on the monotonic clock of the sender's incarnation. Of two
	// connections of one incarnation the receiver takes the one that was dialed later.
	DialedAt uint64 `cbor:"4,keyasint,omitempty"`
}
