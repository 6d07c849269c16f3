package controller

import "time"

// TickInterval is how often an empty event is due.
const TickInterval = 100 * time.Millisecond

const (
	// stallThreshold: after so long between two ticks a missing heartbeat of a replica proves nothing.
	stallThreshold = time.Second

	// lateTickThreshold: after so long between two ticks, what comes next may have lain in a socket meanwhile.
	lateTickThreshold = 500 * time.Millisecond

	// callRejectionPeriod: heartbeats and commands are rejected for so long after a stall, see rejectsCalls.
	callRejectionPeriod = 300 * time.Millisecond

	outlierSweepInterval = 2 * time.Second
)

// detectStall detects that this member has stalled: by a late tick or, where its monotonic clock stopped as well, by the time of day. If it
// was only the time of day that was set, contact with the others is established anew without need, which takes one heartbeat.
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

// rejectsCalls reports whether a call may have been sent before a stall: its caller may have gone on to another member since, and what it asks
// for may have been undone. A deregistration is taken all the same, as it is final whenever it was sent.
func (c *Controller) rejectsCalls(now time.Duration) bool {
	return c.resumedAt+callRejectionPeriod > now
}

// tick does what is due as time passes.
func (c *Controller) tick(now time.Duration) {
	if stalled := now - c.lastTickAt; stalled > stallThreshold { // frozen, or starved of CPU: it received nothing meanwhile
		c.logWarning("stalled", "stall_duration", stalled)
		c.registry.ExtendHeartbeats(now)
	}
	c.lastTickAt = now
	if now-c.lastOutlierSweepAt > outlierSweepInterval {
		c.lastOutlierSweepAt = now
		c.outliers.Expire(now)
		c.forgetEndings()
	}
	c.applyCoordinatorActions(now, c.coordinator.Tick(now))
	c.updateContact(now)
	switch {
	case !c.isolated:
		for _, id := range c.registry.Expire(now) {
			c.logInfo("heartbeat_timed_out", "instance", id)
		}
	case now-c.resumedAt > callRejectionPeriod: // the gateways should connect to another member
		for _, stream := range c.streams {
			c.closeStream(stream.id)
		}
	}
	c.gossip(now)
	c.resendEndings(now)
	c.advanceMaintenance(now)
	c.weights.Tick(now)
	c.publish(now, false)
	c.actions.ShutdownComplete = c.shuttingDown && c.coordinator.LeaveComplete(now)
}

// updateContact notes that this member has lost contact with a quorum, or has regained it. While it had none it may have missed heartbeats.
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
