package simulation

import (
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

const (
	monitorInterval    = 50 * time.Millisecond
	recoveryCheckEvery = 10 // of the intervals, one in so many
	// formationBound is when the first view has grown to all members: seven from three take 3.9 s, one after the other, and
	// up to 4.5 s where links lose messages.
	formationBound   = 5 * time.Second
	durabilityWindow = time.Second // what was committed before it must be on every disk
	maxDiskBytes     = 64 << 10    // on one disk
)

// monitorCore looks at the control plane from outside, again and again, in schedules with a Tolerance.
func (c *cluster) monitorCore() {
	if c.finished {
		return
	}
	c.after(monitorInterval, c.monitorCore)
	view := c.newestView()
	c.measureCatchUp(view)
	h := &c.coreHistory
	h.monitorCount++
	if h.monitorCount%recoveryCheckEvery > 0 {
		return
	}
	h.initialViewComplete = h.initialViewComplete || c.faultFreeFor(catchUpTime) && c.now > catchUpTime+restartTime
	if c.faultFreeFor(catchUpTime) && h.hasCommit && c.now >= formationBound {
		c.checkRecovery(view)
	}
}

// measureCatchUp notes members that have just got into the chain with all that was committed on disk.
func (c *cluster) measureCatchUp(view membership.View) {
	for _, m := range c.members {
		if !m.isHealthy() || m.caughtUp || !slices.Contains(view.Chain, m.id()) || m.durableSequence() < c.coreHistory.newestSequence {
			continue
		}
		m.caughtUp = true
		if took := c.now - m.startedAt; m.isSpare {
			c.result.JoinTimes = append(c.result.JoinTimes, took)
		} else {
			c.result.CatchUpTimes = append(c.result.CatchUpTimes, took)
		}
	}
}

// id is the ID of a member with the disk that it has. It must be serving.
func (m *member) id() string { return m.controller.Coordinator().Self().ID }

// durableSequence is the number of the register that a loss of power would leave on a member's disk.
func (m *member) durableSequence() uint64 {
	if state := m.disk.durableState(); state != nil {
		return state.Register.Sequence
	}
	return 0
}

// checkRecovery: after some calm all members that run are back in the chain, and after more of it they have contact to a
// quorum, and enough of them vote.
func (c *cluster) checkRecovery(view membership.View) {
	healthy, lost, voting := 0, 0, 0
	for _, m := range c.members {
		if !m.isHealthy() {
			if !m.removed {
				lost++
			}
			continue
		}
		healthy++
		if view.HasVoter(m.id()) {
			voting++
		}
		if !c.checkMemberRecovered(m, view) {
			return
		}
	}
	if c.faultFreeFor(faultFreeBeforeCall) {
		c.checkVoterMargin(view, healthy, lost, voting)
	}
}

// checkMemberRecovered: a healthy member has on disk what was committed, is in the chain and, if all has been calm for
// longer, has contact to a quorum; its disk does not fill up. It reports whether that holds.
func (c *cluster) checkMemberRecovered(m *member, view membership.View) bool {
	sequence, bytes := m.durableSequence(), m.disk.size()
	c.result.MaxDiskBytes = max(c.result.MaxDiskBytes, bytes)
	if committed := valueAt(c.coreHistory.sequences, c.now-durabilityWindow); sequence < committed || !slices.Contains(view.Chain, m.id()) {
		c.violationf("%s has been up since %.2f s, and has not caught up: it holds %d of %d on disk, the chain of view %d is %s",
			m.name, m.startedAt.Seconds(), sequence, committed, view.Number, strings.Join(view.Chain, " > "))
		return false
	}
	if bytes > maxDiskBytes {
		c.violationf("%s keeps %d bytes after %d changes", m.name, bytes, c.coreHistory.newestSequence)
	}
	if c.faultFreeFor(faultFreeBeforeCall) && !m.controller.Coordinator().HasQuorumContact(c.monotonicTime(&m.process)) {
		c.violationf("%s has no quorum contact, though all has been calm", m.name)
		return false
	}
	return true
}

// checkVoterMargin: as many more may be lost as the tolerance leaves. With all members there, that takes 2f+1 voters or
// more.
func (c *cluster) checkVoterMargin(view membership.View, healthy, lost, voting int) {
	more := max(c.schedule.Tolerance-max(c.schedule.Members-healthy, lost), 0)
	if voting-more < view.Quorum() {
		c.violationf("%d of %d voters of view %d are there, and %d more may be lost", voting, len(view.Voters), view.Number, more)
	}
}
