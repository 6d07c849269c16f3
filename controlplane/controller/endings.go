package controller

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// endingResendInterval is after how long the end of an instance that a caller waits for is sent to the other members again, as links
// lose messages.
const endingResendInterval = 200 * time.Millisecond

// ending is that an instance drains, or that it was deregistered. Neither is ever taken back.
type ending struct {
	id           string
	deregistered bool
}

// endingCall is the call by which a replica says that it ends. It is acknowledged once a quorum has that on disk: whoever is
// promised that no more requests come must be able to rely on it, whatever becomes of the member that it called. A replica that
// was deregistered sends no further heartbeat, so nobody would repeat it.
type endingCall struct {
	ending
	instance fleet.Instance // as the other members are told
	token    uint64
	address  string // for the replica's further heartbeats
	sentAt   time.Duration
}

// acknowledgeEnding answers a replica's call by which it ends, at once where that is on a quorum's disks already.
func (c *Controller) acknowledgeEnding(now time.Duration, call endingCall) {
	if c.replicatedEndings[call.ending] {
		c.respond(Response{Token: call.token, Status: http.StatusOK, Address: call.address})
		return
	}
	request, actions := c.coordinator.ReplicateHints(now)
	c.endingCalls[request] = &call
	c.sendEnding(now, request, &call)
	c.applyCoordinatorActions(now, actions)
}

// sendEnding sends the other members the end of an instance, which they are to have on disk.
func (c *Controller) sendEnding(now time.Duration, request uint64, call *endingCall) {
	call.sentAt = now
	for _, peer := range c.coordinator.Peers(now) {
		c.send(peer.Addr, Message{Instances: []fleet.Instance{call.instance}, PersistRequest: request})
	}
}

// resendEndings sends again what may have been lost.
func (c *Controller) resendEndings(now time.Duration) {
	for _, request := range slices.Sorted(maps.Keys(c.endingCalls)) {
		if call := c.endingCalls[request]; now-call.sentAt >= endingResendInterval {
			c.sendEnding(now, request, call)
		}
	}
}

// finishEnding answers a call once the end is on a quorum's disks, or refuses it: then the replica calls another member.
func (c *Controller) finishEnding(call *endingCall, response coordinator.Response) {
	if response.Err == nil {
		c.replicatedEndings[call.ending] = true
	}
	c.respond(Response{Token: call.token, Status: response.Status(), Address: call.address, Reason: response.Reason()})
}

// forgetEndings drops what is known of instances that the registry has forgotten.
func (c *Controller) forgetEndings() {
	maps.DeleteFunc(c.replicatedEndings, func(ended ending, _ bool) bool { return !c.registry.Contains(ended.id) })
}
