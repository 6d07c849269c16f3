package simulation

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

// How long faults wait for their moment, and how soon after it they strike at most.
const (
	maxAcknowledgementWait = 2 * time.Second
	maxViewChangeWait      = 2 * time.Second
	maxGrantWait           = 6 * time.Second
	maxFaultWait           = 6 * time.Second // with When set

	maxDelayAfterAnswer   = 4 * time.Millisecond
	maxDelayAfterView     = 6 * time.Millisecond
	maxDelayAtOnce        = 8 * time.Millisecond   // with When set: at once,
	maxDelayWhileSettling = 700 * time.Millisecond // or while members still follow the view

	maxRestartSpread = 300 // milliseconds, below which members of one fault start one after the other
)

// deferUntilTrigger has a fault wait if it is of a kind that strikes at a certain event.
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

// deferFault has a fault wait in a list for a while at most.
func (c *cluster) deferFault(waiting *[]Fault, fault Fault, longest time.Duration) {
	*waiting = append(*waiting, fault)
	c.after(longest, func() {
		*waiting = slices.DeleteFunc(*waiting, func(other Fault) bool { return other == fault })
	})
}

// injectNextDeferred has the first fault that waits in a list strike a member, or all of them if it is of that kind.
func (c *cluster) injectNextDeferred(waiting *[]Fault, m *member) {
	if len(*waiting) == 0 {
		return
	}
	fault := (*waiting)[0]
	*waiting = (*waiting)[1:]
	c.faultActiveUntil = c.now + fault.For + restartTime
	fault.Target, fault.Kind = m.index, triggeredKind[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterAnswer), func() { c.injectFault(fault) })
}

// injectOnViewChange has the first fault that waits for a view strike, and drops the others.
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

// injectViewTriggered has the faults that wait for such a view strike.
func (c *cluster) injectViewTriggered(view membership.View) {
	if len(c.coreHistory.viewTriggeredFaults) == 0 {
		return
	}
	waiting := c.coreHistory.viewTriggeredFaults
	c.coreHistory.viewTriggeredFaults = nil
	for _, fault := range waiting {
		if !c.matchesTrigger(fault.Trigger, view) {
			c.coreHistory.viewTriggeredFaults = append(c.coreHistory.viewTriggeredFaults, fault)
			continue
		}
		fault.Trigger = ""
		longest := maxDelayAtOnce
		if c.random.IntN(2) == 0 {
			longest = maxDelayWhileSettling
		}
		c.after(c.randomBelow(longest), func() { c.injectFault(fault) })
	}
}

// matchesTrigger reports whether a view is what a fault waits for.
func (c *cluster) matchesTrigger(when FaultTrigger, view membership.View) bool {
	spare := c.coreHistory.newestSpare
	switch when {
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
