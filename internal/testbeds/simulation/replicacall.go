package simulation

import (
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/ownership"
)

// Delays of calls from members to replicas.
const (
	maxCallPreparation   = 3                      // milliseconds before a call is sent, exclusive bound
	longCallPreparation  = 400 * time.Millisecond // exclusive bound for one call in longPreparationOneIn, for instance while a connection is opened
	longPreparationOneIn = 50
	maxLateCall          = 3 * time.Second // a call that the network holds up, with Schedule.LateCallRate
	retransmission       = 50 * time.Millisecond
)

// replicaCall is a call of a member to a replica. Until it has ended, bytes that a cut holds up are delivered when the link heals. The end resets
// the connection, which discards them, as do a kill of the sender and a loss of its power.
type replicaCall struct {
	ownership.Call
	from        *member
	incarnation int // of the sender
	to          *replica
	delayed     bool // its bytes are held up, so that a reset overtakes them
	ended       bool
}

// callReplicas makes the calls that a member's controller has decided on.
func (c *cluster) callReplicas(m *member, calls []ownership.Call) {
	for _, planned := range calls {
		call := &replicaCall{Call: planned, from: m, incarnation: m.incarnation}
		delay := c.randomMilliseconds(maxCallPreparation)
		if c.random.IntN(longPreparationOneIn) == 0 {
			delay = c.randomBelow(longCallPreparation)
		}
		c.after(delay, func() { c.onSender(call, func() { c.sendCall(call) }) })
	}
}

// onSender runs a function on the process that made the call.
func (c *cluster) onSender(call *replicaCall, do func()) {
	c.runOn(&call.from.process, call.incarnation, do)
}

// sendCall sends a call, unless it is too late.
func (c *cluster) sendCall(call *replicaCall) {
	if c.monotonicTime(&call.from.process) > call.NotAfter {
		c.endCall(call, ownership.CallResult{Outcome: ownership.CallNotSent, Error: "too late"})
		return
	}
	c.after(call.Timeout, func() {
		c.onSender(call, func() { c.endCall(call, ownership.CallResult{Outcome: ownership.CallUnanswered, Error: "timeout"}) })
	})
	for _, r := range c.replicas {
		if r.id == call.Replica {
			call.to = r
		}
	}
	if call.to == nil || call.to.shards == nil {
		c.violationf("%s calls %s, which is no sharded replica", call.from.name, call.Replica)
		return
	}
	delay := minMessageDelay + time.Duration(c.random.ExpFloat64()*float64(meanExtraMessageDelay))
	if c.random.Float64() < c.schedule.LateCallRate && c.now < c.schedule.Duration-shardedCalmTime {
		call.delayed = true
		late := c.random.Float64()
		delay += time.Duration(late * late * late * float64(maxLateCall)) // most within the time-out of a grant
	}
	c.after(delay, func() { c.deliverToReplica(call) })
}

// isReset reports whether the connection was reset before the bytes of a delayed call arrived.
func (call *replicaCall) isReset() bool {
	return call.delayed && (call.ended || !call.from.up || call.from.incarnation != call.incarnation)
}

// deliverToReplica delivers a call to its replica, once no cut holds it up. The lease counts from the arrival, also at a paused replica.
func (c *cluster) deliverToReplica(call *replicaCall) {
	to := call.to.shards
	switch {
	case call.isReset():
	case !call.to.alive:
		if c.random.IntN(2) == 0 { // refused, or no answer at all
			c.after(connectRefusedTime, func() {
				c.onSender(call, func() { c.endCall(call, ownership.CallResult{Outcome: ownership.CallNotSent, Error: "refused"}) })
			})
		}
	case c.isCut(&call.from.process, &to.process):
		call.delayed = true
		c.after(retransmission, func() { c.deliverToReplica(call) })
	default:
		arrivedAt, counted := c.now, !c.isWithinThawSlack(call)
		c.runOn(&to.process, to.incarnation, func() { c.handleCall(call, arrivedAt, counted) })
	}
}

// isWithinThawSlack reports whether the sender has just resumed or the link to the replica has just healed.
func (c *cluster) isWithinThawSlack(call *replicaCall) bool {
	from, to := &call.from.process, &call.to.shards.process
	healedAt := max(from.resumedAt, from.isolationEndedAt, to.isolationEndedAt, c.healedAt[link{from.name, to.name}])
	return healedAt > 0 && c.now-healedAt < thawSlack
}

// handleCall has a replica handle a call and answer it.
func (c *cluster) handleCall(call *replicaCall, arrivedAt time.Duration, counted bool) {
	if call.Kind == ownership.CallGrant {
		c.answerCall(call, ownership.CallResult{Outcome: c.grant(call.to, call.Call, arrivedAt, counted)})
		return
	}
	c.release(call.to, call.Call, func(handover string) {
		c.answerCall(call, ownership.CallResult{Outcome: ownership.CallAccepted, Handover: handover})
	})
}

// answerCall sends the answer back, once no cut holds it up.
func (c *cluster) answerCall(call *replicaCall, result ownership.CallResult) {
	delay := minMessageDelay + time.Duration(c.random.ExpFloat64()*float64(meanExtraMessageDelay))
	var deliver func()
	deliver = func() {
		switch {
		case call.ended || !call.to.alive:
		case c.isCut(&call.to.shards.process, &call.from.process):
			c.after(retransmission, deliver)
		default:
			c.onSender(call, func() { c.endCall(call, result) })
		}
	}
	c.after(delay, deliver)
}

// endCall ends a call and passes the outcome to the controller.
func (c *cluster) endCall(call *replicaCall, result ownership.CallResult) {
	if call.ended {
		return
	}
	call.ended = true
	result.ID = call.ID
	c.step(call.from, controller.Event{CallResult: &result})
}
