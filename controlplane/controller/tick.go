package controller

import "time"

// TickInterval is the interval at which the caller must step an empty event.
const TickInterval = 100 * time.Millisecond

const (
	// stallThreshold is the gap between two ticks above which heartbeats may have been missed, so that timeouts are extended.
	stallThreshold = time.Second

	// lateTickThreshold is the gap between two ticks above which events that follow may have been delayed in socket buffers.
	lateTickThreshold = 500 * time.Millisecond

	// callRejectionPeriod is how long heartbeats and commands are rejected after a stall, see rejectsCalls.
	callRejectionPeriod = 300 * time.Millisecond

	outlierSweepInterval = 2 * time.Second
)

// detectStall detects that this member has stalled: by a late tick or, if its monotonic clock stopped as well, by a jump of the time of day. A
// jump caused by setting the clock resets the contact with the other members needlessly, which costs one heartbeat interval.
func (c *Controller) detectStall(now, wallClock time.Duration) {
	if now-c.lastTickAt > lateTickThreshold {
		c.resumedAt = now
	}
	if wallClock == 0 {
		return
	}
	jump := (wallClock - c.wallClock) - (now - c.wallClockAt)
	if c.wallClock != 0 && jump > lateTickThreshold {
		c.logWarning("clock_stopped", "stall_duration", jump)
		c.resumedAt = now
		c.coordinator.ResetContact(now)
	}
	c.wallClock = wallClock
	c.wallClockAt = now
}

// rejectsCalls reports whether a call may have been sent before a stall. Its caller may have retried at another member since, and the requested
// change may have been reverted. Deregistrations are accepted nevertheless, as they are final.
func (c *Controller) rejectsCalls(now time.Duration) bool {
	return c.resumedAt+callRejectionPeriod > now
}

// tick performs periodic work.
func (c *Controller) tick(now time.Duration) {
	if stalled := now - c.lastTickAt; stalled > stallThreshold { // suspended or starved of CPU: no heartbeats were received
		c.logWarning("stalled", "stall_duration", stalled)
		c.registry.ExtendHeartbeats(now)
	}
	c.lastTickAt = now
	if now-c.lastOutlierSweepAt > outlierSweepInterval {
		c.lastOutlierSweepAt = now
		c.outliers.Expire(now)
		c.pruneRemovals()
	}
	c.applyCoordinatorActions(now, c.coordinator.Tick(now))
	c.updateContact(now)
	switch {
	case !c.isolated:
		for _, id := range c.registry.Expire(now) {
			c.logInfo("heartbeat_timed_out", "instance", id)
		}
	case now-c.resumedAt > callRejectionPeriod: // make the gateways connect to another member
		for _, stream := range c.streams {
			c.closeStream(stream.id)
		}
	}
	c.gossip(now)
	c.resendRemovals(now)
	c.advanceMaintenance(now)
	c.forwardKeyLoads(now)
	c.advanceOwnership(now)
	c.weights.Tick(now)
	c.publish(now, false)
	c.actions.ShutdownComplete = c.shuttingDown && c.coordinator.LeaveComplete(now)
}

// updateContact tracks whether this member is in contact with a quorum. When contact is regained, heartbeats are extended, as some may have been
// missed.
func (c *Controller) updateContact(now time.Duration) {
	isolated := !c.coordinator.HasQuorumContact(now)
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	c.logInfo("quorum_contact", "connected", !isolated, "view", c.coordinator.View().Number)
	if !isolated {
		c.registry.ExtendHeartbeats(now)
		c.reconnectedAt = now
	}
}
