// Package messages defines the typed messages that control-plane members and gateways exchange, beside those that the
// membership and chainreplication packages define for their own protocols.
//
// The files are split by sender: handshake.go (whoever dials), controlplane.go (member to member), stateupdate.go (member to
// gateway) and gateway.go (gateway to member).
//
// Messages are encoded as CBOR maps with integer keys. A key is never given another meaning and a field's type never
// changes, because members of different builds talk to one another; new fields take new keys and are omitted when empty.
package messages
