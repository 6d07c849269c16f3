package simulation

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

// Limits on how long deferred faults wait, and on the delay between the trigger and the fault.
const (
	maxAcknowledgementWait = 2 * time.Second
	maxViewChangeWait      = 2 * time.Second
	maxGrantWait           = 6 * time.Second
	maxFaultWait           = 6 * time.Second // with Fault.Trigger

	maxDelayAfterAnswer   = 4 * time.Millisecond
	maxDelayAfterView     = 6 * time.Millisecond
	maxDelayAtOnce        = 8 * time.Millisecond   // with Fault.Trigger, immediately after the view change
	maxDelayWhileSettling = 700 * time.Millisecond // with Fault.Trigger, while members still catch up with the view

	maxRestartSpread = 300 // milliseconds between the first and the last restart after a fault of all members
)

// deferUntilTrigger defers a fault whose kind waits for an event, and reports whether it did.
func (c *cluster) deferUntilTrigger(fault Fault) bool {
	switch fault.Kind {
	case LosePowerOnAcknowledgement, WipeDiskOnAcknowledgement, LosePowerAllOnAcknowledgement:
		c.deferFault(&c.onAcknowledgement, fault, maxAcknowledgementWait)
	case LosePowerOnGrant, KillAllOnGrant:
		c.deferFault(&c.onWindowGrant, fault, maxGrantWait)
	case KillAllOnView:
		c.deferFault(&c.onViewChange, fault, maxViewChangeWait)
	default:
		return false
	}
	return true
}

// deferFault adds a fault to a list and removes it when it has waited for too long.
func (c *cluster) deferFault(deferred *[]Fault, fault Fault, maxWait time.Duration) {
	*deferred = append(*deferred, fault)
	c.after(maxWait, func() {
		*deferred = slices.DeleteFunc(*deferred, func(other Fault) bool { return other == fault })
	})
}

// injectNextDeferred injects the first deferred fault of a list into a member, or into all if it is of such a kind.
func (c *cluster) injectNextDeferred(deferred *[]Fault, m *member) {
	if len(*deferred) == 0 {
		return
	}
	fault := (*deferred)[0]
	*deferred = (*deferred)[1:]
	c.faultActiveUntil = c.now + fault.For + restartTime
	fault.Target, fault.Kind = m.index, triggeredKind[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterAnswer), func() { c.injectFault(fault) })
}

// injectOnViewChange injects the first fault that is deferred until a view change, and drops the others.
func (c *cluster) injectOnViewChange() {
	if len(c.onViewChange) == 0 {
		return
	}
	fault := c.onViewChange[0]
	c.onViewChange = nil
	c.faultActiveUntil = c.now + fault.For + restartTime
	fault.Kind = triggeredKind[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterView), func() { c.injectFault(fault) })
}

// injectViewTriggered injects the faults whose Trigger matches the view.
func (c *cluster) injectViewTriggered(view membership.View) {
	if len(c.controlPlaneHistory.viewTriggeredFaults) == 0 {
		return
	}
	deferred := c.controlPlaneHistory.viewTriggeredFaults
	c.controlPlaneHistory.viewTriggeredFaults = nil
	for _, fault := range deferred {
		if !c.matchesTrigger(fault.Trigger, view) {
			c.controlPlaneHistory.viewTriggeredFaults = append(c.controlPlaneHistory.viewTriggeredFaults, fault)
			continue
		}
		fault.Trigger = ""
		maxDelay := maxDelayAtOnce
		if c.random.IntN(2) == 0 {
			maxDelay = maxDelayWhileSettling
		}
		c.after(c.randomBelow(maxDelay), func() { c.injectFault(fault) })
	}
}

// matchesTrigger reports whether a new view satisfies a fault's trigger.
func (c *cluster) matchesTrigger(trigger FaultTrigger, view membership.View) bool {
	spare := c.controlPlaneHistory.newestSpare
	switch trigger {
	case TriggerSpareJoined:
		return spare != nil && spare.hasIDIn(view.Chain)
	case TriggerSpareIsVoter:
		var voters []string
		for _, voter := range view.Voters {
			voters = append(voters, voter.ID)
		}
		return spare != nil && spare.hasIDIn(voters)
	}
	return true
}
