package simulation

import (
	"fmt"
	"net/http"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/fleet"
)

const (
	heartbeatInterval   = 1500 * time.Millisecond
	heartbeatJitter     = 60  // milliseconds, below which it is longer
	firstHeartbeatDelay = 300 // milliseconds, the same
	heartbeatTimeout    = time.Second
	heartbeatRetryDelay = 100 * time.Millisecond
	maxHeartbeatRetries = 4
	warmupTime          = 3 * time.Second
	terminationTime     = 8 * time.Second // from the begin of a drain, with or without an acknowledgement
	replicaSlots        = 1               // so few that warming replicas are needed
)

// replica is one instance of a replica.
type replica struct {
	id, zone    string
	alive       bool
	warmupUntil time.Duration

	draining            bool
	drainAcknowledgedAt time.Duration // 0: not yet

	heartbeatSequence uint64
	redirect          string // the address that the last answer sends it to

	warmupArrivals []time.Duration // of requests within the last second, while it warms up
}

// isWarming reports whether a replica runs and warms up.
func (c *cluster) isWarming(r *replica) bool { return r.alive && c.now < r.warmupUntil }

// startReplica starts a replica in a zone. What is there from the beginning is warm.
func (c *cluster) startReplica(zone int, warming bool) {
	r := &replica{id: fmt.Sprintf("i%d", len(c.replicas)), zone: c.zoneName(zone), alive: true}
	if warming {
		r.warmupUntil = c.now + warmupTime
	}
	c.replicas = append(c.replicas, r)
	c.after(c.randomMilliseconds(firstHeartbeatDelay), func() { c.heartbeatRepeatedly(r) })
}

// heartbeatRepeatedly has a replica send a heartbeat now and at intervals.
func (c *cluster) heartbeatRepeatedly(r *replica) {
	if !r.alive || c.finished {
		return
	}
	c.sendHeartbeat(r, 0)
	c.after(heartbeatInterval+c.randomMilliseconds(heartbeatJitter), func() { c.heartbeatRepeatedly(r) })
}

// sendHeartbeat has a replica call a member, and others until one acknowledges.
func (c *cluster) sendHeartbeat(r *replica, retries int) {
	if !r.alive || retries > maxHeartbeatRetries {
		return
	}
	m := c.pickMember()
	if redirect := c.memberByAddress[r.redirect]; redirect != nil {
		m = redirect
	}
	r.redirect = ""
	r.heartbeatSequence++
	answered := false
	retry := func() {
		if !answered {
			answered = true
			c.sendHeartbeat(r, retries+1)
		}
	}
	if !m.isReachable() {
		c.after(heartbeatRetryDelay, retry)
		return
	}
	instance := c.instance(r)
	c.after(heartbeatTimeout, retry)
	c.callFromReplica(m, controller.Event{Heartbeat: &instance}, func(response controller.Response) {
		if answered {
			return
		}
		answered = true
		if response.Status != http.StatusOK {
			c.after(heartbeatRetryDelay, func() { c.sendHeartbeat(r, retries+1) })
			return
		}
		r.redirect = response.Address
		if instance.Draining {
			c.drainAcknowledged(m, r)
		}
	})
}

// instance is a replica as its heartbeat tells of it.
func (c *cluster) instance(r *replica) fleet.Instance {
	return fleet.Instance{
		ID:           r.id,
		Service:      serviceName,
		Addr:         "10.9.0." + r.id[1:] + ":80",
		Zone:         r.zone,
		Slots:        replicaSlots,
		Draining:     r.draining,
		WarmupMillis: max((r.warmupUntil - c.now).Milliseconds(), 0),
		Sequence:     r.heartbeatSequence,
	}
}

// callFromReplica has a member decide on a replica's call.
func (c *cluster) callFromReplica(m *member, event controller.Event, answered func(controller.Response)) {
	c.lastToken++
	event.Token = c.lastToken
	m.pendingCalls[event.Token] = func(response controller.Response) {
		if response.Status == http.StatusOK && m.isIsolated() {
			c.result.HeartbeatsWhileIsolated = append(c.result.HeartbeatsWhileIsolated, c.now-m.isolatedAt)
		}
		answered(response)
	}
	c.step(m, event)
}

// drainReplica has a replica begin to drain. It ends when the drain was acknowledged and its deadline is over, or soon
// after that in any case.
func (c *cluster) drainReplica(r *replica) {
	if !r.alive || r.draining {
		return
	}
	r.draining = true
	c.sendHeartbeat(r, 0)
	c.after(terminationTime, func() { r.alive = false })
}

func (c *cluster) drainAcknowledged(m *member, r *replica) {
	if r.drainAcknowledgedAt > 0 {
		return
	}
	c.checkDrainDurability(m, r)
	r.drainAcknowledgedAt = c.now
	c.tracef("%s: the drain of %s is acknowledged", m.name, r.id)
	c.after(drainDeadline+time.Second, func() { c.terminateReplica(r) })
}

// terminateReplica ends a replica's process, which deregisters.
func (c *cluster) terminateReplica(r *replica) {
	m := c.pickMember()
	if r.alive && m.isReachable() {
		c.callFromReplica(m, controller.Event{Deregister: r.id}, func(controller.Response) {})
	}
	r.alive = false
}
