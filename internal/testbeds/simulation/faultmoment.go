package simulation

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

// How long faults wait for their moment, and how soon after it they strike at most.
const (
	maxAcknowledgementWait = 2 * time.Second
	maxViewWait            = 2 * time.Second
	maxGrantWait           = 6 * time.Second
	maxFaultWait           = 6 * time.Second // with When set

	maxDelayAfterAnswer   = 4 * time.Millisecond
	maxDelayAfterView     = 6 * time.Millisecond
	maxDelayAtOnce        = 8 * time.Millisecond   // with When set: at once,
	maxDelayWhileSettling = 700 * time.Millisecond // or while members still follow the view

	maxRestartSpread = 300 // milliseconds, below which members of one fault start one after the other
)

// awaitMoment has a fault wait if it is of a kind that strikes at a certain event.
func (c *cluster) awaitMoment(fault Fault) bool {
	switch fault.Kind {
	case LosePowerOnAcknowledgement, WipeDiskOnAcknowledgement, LosePowerAllOnAcknowledgement:
		c.addWaiting(&c.onAcknowledgement, fault, maxAcknowledgementWait)
	case LosePowerOnGrant, KillAllOnGrant:
		c.addWaiting(&c.onWindowGrant, fault, maxGrantWait)
	case KillAllOnView:
		c.addWaiting(&c.onViewChange, fault, maxViewWait)
	default:
		return false
	}
	return true
}

// addWaiting has a fault wait in a list for a while at most.
func (c *cluster) addWaiting(waiting *[]Fault, fault Fault, longest time.Duration) {
	*waiting = append(*waiting, fault)
	c.after(longest, func() {
		*waiting = slices.DeleteFunc(*waiting, func(other Fault) bool { return other == fault })
	})
}

// injectNextAt has the first fault that waits in a list strike a member, or all of them if it is of that kind.
func (c *cluster) injectNextAt(waiting *[]Fault, m *member) {
	if len(*waiting) == 0 {
		return
	}
	fault := (*waiting)[0]
	*waiting = (*waiting)[1:]
	c.faultActiveUntil = c.now + fault.For + restartTime
	fault.Target, fault.Kind = m.index, struckAs[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterAnswer), func() { c.injectFault(fault) })
}

// injectOnView has the first fault that waits for a view strike, and drops the others.
func (c *cluster) injectOnView() {
	if len(c.onViewChange) == 0 {
		return
	}
	fault := c.onViewChange[0]
	c.onViewChange = nil
	c.faultActiveUntil = c.now + fault.For + restartTime
	fault.Kind = struckAs[fault.Kind]
	c.after(c.randomBelow(maxDelayAfterView), func() { c.injectFault(fault) })
}

// injectPendingFaults has the faults that wait for such a view strike.
func (c *cluster) injectPendingFaults(view membership.View) {
	if len(c.coreHistory.pendingFaults) == 0 {
		return
	}
	waiting := c.coreHistory.pendingFaults
	c.coreHistory.pendingFaults = nil
	for _, fault := range waiting {
		if !c.isMoment(fault.Trigger, view) {
			c.coreHistory.pendingFaults = append(c.coreHistory.pendingFaults, fault)
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

// isMoment reports whether a view is what a fault waits for.
func (c *cluster) isMoment(when FaultTrigger, view membership.View) bool {
	spare := c.coreHistory.newestSpare
	switch when {
	case TriggerSpareJoined:
		return spare != nil && spare.isAmong(view.Chain)
	case TriggerSpareIsVoter:
		var voters []string
		for _, voter := range view.Voters {
			voters = append(voters, voter.ID)
		}
		return spare != nil && spare.isAmong(voters)
	}
	return true
}
