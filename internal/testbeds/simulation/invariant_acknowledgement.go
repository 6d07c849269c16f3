package simulation

import (
	"net/http"
	"slices"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/fleet"
)

// checkCallAnswered: a call that is made when all has been calm for long is answered before its deadline. It is checked
// when a call is not made again.
func (c *cluster) checkCallAnswered(call *operatorCall) {
	if !call.done && !c.finished && call.startedAt > c.faultActiveUntil+faultFreeBeforeCall && call.attempts > 0 {
		c.violationf("call %d, made at %.2f s when all had been calm, was not answered", call.number, call.startedAt.Seconds())
	}
}

// checkNotClientError: a call that is well formed is not rejected as if it were not.
func (c *cluster) checkNotClientError(call *operatorCall, status int) {
	isRejection := status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
	if isRejection {
		c.violationf("call %d is answered %d", call.number, status)
	}
}

// checkReadBody: a read returns nothing that no operator put. It returns the version.
func (c *cluster) checkReadBody(m *member, response controller.Response) uint64 {
	if response.Status != http.StatusOK {
		return 0
	}
	version, put := c.versionByBody[string(response.Body)]
	if !put {
		c.violationf("%s answers a configuration that nobody put: %q", m.name, response.Body)
	}
	return version
}

// checkReadIsCurrent: a read returns nothing older than what was acknowledged before it was sent.
func (c *cluster) checkReadIsCurrent(m *member, call *operatorCall, version uint64) {
	if version < call.minVersion {
		c.violationf("%s answers version %d, %d was acknowledged before it was asked", m.name, version, call.minVersion)
	}
}

// checkAcknowledgerHasContact: a member that has been cut off for long acknowledges nothing.
func (c *cluster) checkAcknowledgerHasContact(m *member, call *operatorCall) {
	if c.isIsolatedBeyondTimeout(m) {
		c.violationf("%s acknowledges call %d though it has been cut off for long", m.name, call.number)
	}
}

// isIsolatedBeyondTimeout reports whether a member has reached no other for longer than contactTimeout.
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

// checkDurability: what is acknowledged is on more disks than may be lost at once, whatever a loss of power takes away.
func (c *cluster) checkDurability(call *operatorCall) {
	copies := c.countDisks(func(state *coordinator.PersistentState) bool {
		return call.action.Kind != PutConfig || state.Register.Version >= call.version
	})
	if copies <= c.toleratedDiskLosses() {
		c.violationf("call %d was acknowledged with only %d disks that hold it", call.number, copies)
	}
}

// checkDrainDurability: so is the acknowledged drain of a replica. It binds whatever becomes of the member that acknowledged it.
func (c *cluster) checkDrainDurability(m *member, r *replica) {
	copies := c.countDisks(func(state *coordinator.PersistentState) bool {
		return slices.ContainsFunc(state.Instances, func(instance fleet.Instance) bool {
			return instance.ID == r.id && (instance.Draining || instance.Deregistered)
		})
	})
	if copies <= c.toleratedDiskLosses() {
		c.violationf("%s acknowledged the drain of %s with only %d disks that hold it", m.name, r.id, copies)
	}
}

// countDisks counts the disks whose state, after a loss of power, holds something.
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

// toleratedDiskLosses is how many disks may be lost at once.
func (c *cluster) toleratedDiskLosses() int {
	if c.coreHistory.initialViewComplete {
		return c.schedule.Tolerance
	}
	return min((c.schedule.Members-1)/2, (c.schedule.InitialMembers-1)/2)
}
