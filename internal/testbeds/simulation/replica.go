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
	heartbeatJitter     = 60  // milliseconds added to heartbeatInterval, exclusive bound
	firstHeartbeatDelay = 300 // milliseconds, exclusive bound
	heartbeatTimeout    = time.Second
	heartbeatRetryDelay = 100 * time.Millisecond
	maxHeartbeatRetries = 4
	warmupTime          = 3 * time.Second
	terminationTime     = 8 * time.Second // from the start of a drain, acknowledged or not
	replicaSlots        = 1               // low, so that traffic reaches warming replicas
)

// replica is a service instance.
type replica struct {
	id, zone    string
	service     string
	shards      *shardHolder // nil unless the service is sharded
	alive       bool
	warmupUntil time.Duration

	draining            bool
	drainAcknowledgedAt time.Duration // 0: not yet

	heartbeatSequence uint64
	redirect          string // address that the last response redirects to

	warmupArrivals []time.Duration // requests within the last second of warm-up
}

// isWarming reports whether a replica runs and is warming up.
func (c *cluster) isWarming(r *replica) bool { return r.alive && c.now < r.warmupUntil }

// startReplica starts a replica in a zone. Initial replicas don't warm up.
func (c *cluster) startReplica(zone int, warming bool) {
	r := &replica{id: fmt.Sprintf("i%d", len(c.replicas)), zone: c.zoneName(zone), service: serviceName, alive: true}
	if warming {
		r.warmupUntil = c.now + warmupTime
	}
	c.replicas = append(c.replicas, r)
	c.after(c.randomMilliseconds(firstHeartbeatDelay), func() { c.heartbeatRepeatedly(r) })
}

// heartbeatRepeatedly sends a replica's heartbeats at intervals.
func (c *cluster) heartbeatRepeatedly(r *replica) {
	if !r.alive || c.finished {
		return
	}
	c.sendHeartbeat(r, 0)
	c.after(heartbeatInterval+c.randomMilliseconds(heartbeatJitter), func() { c.heartbeatRepeatedly(r) })
}

// sendHeartbeat sends a heartbeat to a member, and to others until one acknowledges it.
func (c *cluster) sendHeartbeat(r *replica, retries int) {
	if !r.alive || retries > maxHeartbeatRetries || r.isSilent() {
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
	c.deliverHeartbeat(m, instance, func(response controller.Response) {
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

// deliverHeartbeat has a member handle a heartbeat, after the time for which the network holds it up.
func (c *cluster) deliverHeartbeat(m *member, heartbeat fleet.Instance, answered func(controller.Response)) {
	deliver := func() { c.callFromReplica(m, controller.Event{Heartbeat: &heartbeat}, answered) }
	if c.schedule.MaxHeartbeatDelay == 0 {
		deliver()
		return
	}
	c.after(c.randomBelow(c.schedule.MaxHeartbeatDelay), func() {
		if m.isReachable() {
			deliver()
		}
	})
}

// instance returns the instance that a heartbeat reports.
func (c *cluster) instance(r *replica) fleet.Instance {
	return fleet.Instance{
		ID:           r.id,
		Service:      r.service,
		Addr:         "10.9.0." + r.id[1:] + ":80",
		Zone:         r.zone,
		Slots:        replicaSlots,
		Draining:     r.draining,
		WarmupMillis: max((r.warmupUntil - c.now).Milliseconds(), 0),
		Sequence:     r.heartbeatSequence,
	}
}

// callFromReplica has a member handle a call of a replica.
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

// drainReplica starts to drain a replica. It terminates after the acknowledgement and the drain deadline, or after
// terminationTime at the latest.
func (c *cluster) drainReplica(r *replica) {
	if !r.alive || r.draining {
		return
	}
	r.draining = true
	c.sendHeartbeat(r, 0)
	c.after(terminationTime, func() { c.endReplica(r) })
}

func (c *cluster) drainAcknowledged(m *member, r *replica) {
	if r.drainAcknowledgedAt > 0 {
		return
	}
	c.checkDrainDurability(m, r)
	r.drainAcknowledgedAt = c.now
	c.tracef("%s: acknowledged the drain of %s", m.name, r.id)
	c.after(drainDeadline+time.Second, func() { c.terminateReplica(r) })
}

// terminateReplica deregisters a replica and ends its process.
func (c *cluster) terminateReplica(r *replica) {
	m := c.pickMember()
	if r.alive && m.isReachable() {
		c.callFromReplica(m, controller.Event{Deregister: r.id}, func(controller.Response) {})
	}
	c.endReplica(r)
}

// endReplica ends a replica's process.
func (c *cluster) endReplica(r *replica) {
	r.alive = false
	if r.shards != nil {
		r.shards.up = false
	}
}
