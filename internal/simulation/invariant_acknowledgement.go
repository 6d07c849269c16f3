package simulation

import (
	"net/http"

	"zincloft.example/zincloft/controlplane/controller"
)

// checkCallAnswered: a call that is made when all has been calm for long is answered before its deadline. It is checked
// when a call is not made again.
func (c *cluster) checkCallAnswered(call *operatorCall) {
	if !call.done && !c.finished && call.startedAt > c.faultActiveUntil+calmBeforeCall && call.attempts > 0 {
		c.violationf("call %d, made at %.2f s when all had been calm, was not answered", call.number, call.startedAt.Seconds())
	}
}

// checkUnclearStatus: a call that is well formed is not rejected as if it were not.
func (c *cluster) checkUnclearStatus(call *operatorCall, status int) {
	isRejection := status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
	if isRejection {
		c.violationf("call %d is answered %d", call.number, status)
	}
}

// checkReadBody: a read returns nothing that no operator put. It returns the version.
func (c *cluster) checkReadBody(m *member, answer controller.Response) uint64 {
	if answer.Status != http.StatusOK {
		return 0
	}
	version, put := c.versionByBody[string(answer.Body)]
	if !put {
		c.violationf("%s answers a configuration that nobody put: %q", m.name, answer.Body)
	}
	return version
}

// checkReadIsCurrent: a read returns nothing older than what was acknowledged before it was sent.
func (c *cluster) checkReadIsCurrent(m *member, call *operatorCall, version uint64) {
	if version < call.floor {
		c.violationf("%s answers version %d, %d was acknowledged before it was asked", m.name, version, call.floor)
	}
}

// checkAcknowledgerHasContact: a member that has been cut off for long acknowledges nothing.
func (c *cluster) checkAcknowledgerHasContact(m *member, call *operatorCall) {
	if c.isIsolated(m) {
		c.violationf("%s acknowledges call %d though it has been cut off for long", m.name, call.number)
	}
}

// isIsolated reports whether a member has reached no other for longer than contactTimeout.
func (c *cluster) isIsolated(m *member) bool {
	if c.schedule.Tolerance > 0 {
		return m.isCutOff() && c.now-m.cutAt > contactTimeout
	}
	at, down := c.downSince[m.index]
	if !down || c.now-at <= contactTimeout || m.frozen {
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
	copies := 0
	for _, m := range c.members {
		if m.gone {
			continue
		}
		if state := m.disk.durableState(); state != nil && (call.action.Kind != PutConfig || state.Register.Version >= call.version) {
			copies++
		}
	}
	tolerated := min((c.schedule.Members-1)/2, (c.schedule.InitialMembers-1)/2)
	if c.coreHistory.formed {
		tolerated = c.schedule.Tolerance
	}
	if copies <= tolerated {
		c.violationf("call %d was acknowledged with only %d disks that hold it", call.number, copies)
	}
}
