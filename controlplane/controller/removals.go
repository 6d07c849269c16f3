package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// removalResendInterval is how often a pending removal is resent to the other members.
const removalResendInterval = 200 * time.Millisecond

// removal is the draining or the deregistration of an instance. Both are irreversible.
type removal struct {
	id           string
	deregistered bool
}

// removalCall is a replica's call to drain or deregister. It is acknowledged only after a quorum has persisted the removal, so that
// the replica receives no further requests even if the member that it called fails. The replica would not report a lost
// deregistration again, as it sends no further heartbeats.
type removalCall struct {
	removal
	instance fleet.Instance // state that was sent to the other members
	token    uint64
	address  string // where the replica should send further heartbeats
	sentAt   time.Duration
}

// replicateRemoval starts the replication of a removal, or acknowledges the call at once if a quorum has already persisted it.
func (c *Controller) replicateRemoval(now time.Duration, call removalCall) {
	if c.replicatedRemovals[call.removal] {
		c.respond(Response{Token: call.token, Status: http.StatusOK, Address: call.address})
		return
	}
	request, actions := c.coordinator.ReplicateHints(now)
	c.removalCalls[request] = &call
	c.sendRemoval(now, request, &call)
	c.applyCoordinatorActions(now, actions)
}

// sendRemoval asks the other members to persist a removal.
func (c *Controller) sendRemoval(now time.Duration, request uint64, call *removalCall) {
	call.sentAt = now
	for _, peer := range c.coordinator.Peers(now) {
		c.send(peer.Addr, Message{Instances: []fleet.Instance{call.instance}, PersistRequest: request})
	}
}

// resendRemovals resends pending removals, as messages may be lost.
func (c *Controller) resendRemovals(now time.Duration) {
	for _, request := range slices.Sorted(maps.Keys(c.removalCalls)) {
		if call := c.removalCalls[request]; now-call.sentAt >= removalResendInterval {
			c.sendRemoval(now, request, call)
		}
	}
}

// completeRemoval acknowledges a call after a quorum has persisted the removal. If replication failed it rejects the call, and the replica
// retries at another member.
func (c *Controller) completeRemoval(call *removalCall, response coordinator.Response) {
	if response.Err == nil {
		c.replicatedRemovals[call.removal] = true
	}
	c.respond(Response{Token: call.token, Status: response.Status(), Address: call.address, Reason: response.Reason()})
}

// pruneRemovals drops the removals of instances that the registry no longer tracks.
func (c *Controller) pruneRemovals() {
	maps.DeleteFunc(c.replicatedRemovals, func(r removal, _ bool) bool { return !c.registry.Contains(r.id) })
}
