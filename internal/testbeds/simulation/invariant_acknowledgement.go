package simulation

import (
	"net/http"
	"slices"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// checkCallAnswered checks that a call that starts after a long time without faults is answered before its deadline.
// It runs when a call is abandoned.
func (c *cluster) checkCallAnswered(call *operatorCall) {
	if !call.done && !c.finished && call.startedAt > c.faultActiveUntil+faultFreeBeforeCall && call.attempts > 0 {
		c.violationf("call %d, started at %.2f s after a long time without faults, was not answered", call.number, call.startedAt.Seconds())
	}
}

// checkNotClientError checks that a well-formed call is not rejected as a client error.
func (c *cluster) checkNotClientError(call *operatorCall, status int) {
	isRejection := status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
	if isRejection {
		c.violationf("call %d is well formed, but was rejected with status %d", call.number, status)
	}
}

// checkReadBody checks that a read returns only what an operator submitted. It returns the version.
func (c *cluster) checkReadBody(m *member, response controller.Response) uint64 {
	if response.Status != http.StatusOK {
		return 0
	}
	version, put := c.versionByBody[string(response.Body)]
	if !put {
		c.violationf("%s returned a configuration that no operator submitted: %q", m.name, response.Body)
	}
	return version
}

// checkReadIsCurrent checks that a read returns nothing older than what was acknowledged before it started.
func (c *cluster) checkReadIsCurrent(m *member, call *operatorCall, version uint64) {
	if version < call.minVersion {
		c.violationf("%s returned version %d, but %d was acknowledged before the read started", m.name, version, call.minVersion)
	}
}

// checkAcknowledgerHasContact checks that an isolated member acknowledges nothing after contactTimeout.
func (c *cluster) checkAcknowledgerHasContact(m *member, call *operatorCall) {
	if c.isIsolatedBeyondTimeout(m) {
		c.violationf("%s acknowledged call %d after being isolated for more than %v", m.name, call.number, contactTimeout)
	}
}

// isIsolatedBeyondTimeout reports whether a member has reached no other member for longer than contactTimeout.
func (c *cluster) isIsolatedBeyondTimeout(m *member) bool {
	if c.schedule.Tolerance > 0 {
		return m.isIsolated() && c.now-m.isolatedAt > contactTimeout
	}
	at, down := c.unavailableSince[m.index]
	if !down || c.now-at <= contactTimeout || m.paused {
		return false
	}
	for _, other := range c.members {
		if other != m && c.cutLinks[link{m.name, other.name}] == 0 {
			return false
		}
	}
	return true
}

// checkDurability checks that an acknowledged command is durable on more disks than may be lost at once.
func (c *cluster) checkDurability(call *operatorCall) {
	copies := c.countDisks(func(state *coordinator.PersistentState) bool {
		return call.action.Kind != PutConfig || state.Register.Version >= call.version
	})
	if copies <= c.toleratedDiskLosses() {
		c.violationf("call %d was acknowledged but is durable on only %d disks", call.number, copies)
	}
}

// checkDrainDurability checks the same for the acknowledged drain of a replica.
func (c *cluster) checkDrainDurability(m *member, r *replica) {
	copies := c.countDisks(func(state *coordinator.PersistentState) bool {
		return slices.ContainsFunc(state.Instances, func(instance fleet.Instance) bool {
			return instance.ID == r.id && (instance.Draining || instance.Deregistered)
		})
	})
	if copies <= c.toleratedDiskLosses() {
		c.violationf("%s acknowledged the drain of %s, which is durable on only %d disks", m.name, r.id, copies)
	}
}

// countDisks counts the disks whose durable state satisfies a predicate.
func (c *cluster) countDisks(holds func(*coordinator.PersistentState) bool) (count int) {
	for _, m := range c.members {
		if m.removed {
			continue
		}
		if state := m.disk.durableState(); state != nil && holds(state) {
			count++
		}
	}
	return count
}

// toleratedDiskLosses returns how many disks may be lost at once. In a schedule that exceeds the tolerance, a disk that was lost
// since the commit counts as one of them.
func (c *cluster) toleratedDiskLosses() int {
	if c.schedule.ExceedsTolerance {
		return c.schedule.Tolerance - c.countLostDisks()
	}
	if c.controlPlaneHistory.initialViewComplete {
		return c.schedule.Tolerance
	}
	return min((c.schedule.Members-1)/2, (c.schedule.InitialMembers-1)/2)
}

// countLostDisks counts the members whose disk was lost and that have not caught up since.
func (c *cluster) countLostDisks() (count int) {
	for _, m := range c.members {
		if m.diskLost {
			count++
		}
	}
	return count
}
