package coordinator

import (
	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
)

// This file keeps the two rules that make a recovered view safe (membership/recovery.go).

// position returns the position of this member's register, which may not be persisted yet.
func (c *Coordinator) position() membership.ReplicaPosition {
	return membership.ReplicaPosition{SyncedView: c.chain.SyncedView(), Sequence: c.chain.Latest().Sequence}
}

// mustRefuseRecovery reports whether a message asks to accept a view whose head may lack commands that this member has.
func (c *Coordinator) mustRefuseRecovery(message *membership.Message) bool {
	if message.Kind != membership.AcceptRecovered {
		return false
	}
	return message.View == nil || message.View.Recovered == nil || message.View.Recovered.Less(c.position())
}

// mustRefuseForward reports whether a message would make this member's register later than the one it compared with the head of
// a view that it has accepted.
func (c *Coordinator) mustRefuseForward(message *chainreplication.Message) bool {
	return message.Kind == chainreplication.Forward && c.membership.HasAcceptedRecovery()
}
