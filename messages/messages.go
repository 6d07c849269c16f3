// Package messages defines the messages exchanged between control-plane members and gateways. Messages between members are
// defined in packages peermessages, membership and chainreplication.
//
// The files are organized by sender: handshake.go (the dialing side), stateupdate.go (control-plane member) and gateway.go
// (gateway).
//
// Messages are encoded as CBOR maps with integer keys. For compatibility between builds, keys are never reused and field
// types never change; new fields get new keys and are omitted when empty.
package messages
