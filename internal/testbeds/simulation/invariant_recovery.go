package simulation

import (
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
)

const (
	monitorInterval    = 50 * time.Millisecond
	recoveryCheckEvery = 10 // monitor intervals
	// formationBound is the time by which the first view has grown to all members.
	formationBound   = 5 * time.Second
	durabilityWindow = time.Second // older commits must be on every disk
	maxDiskBytes     = 64 << 10    // per disk
)

// monitorControlPlane observes the control plane at intervals in schedules with a Tolerance.
func (c *cluster) monitorControlPlane() {
	if c.finished {
		return
	}
	c.after(monitorInterval, c.monitorControlPlane)
	view := c.newestView()
	c.measureCatchUp(view)
	h := &c.controlPlaneHistory
	h.monitorCount++
	if h.monitorCount%recoveryCheckEvery > 0 {
		return
	}
	h.initialViewComplete = h.initialViewComplete || c.faultFreeFor(catchUpTime) && c.now > catchUpTime+restartTime
	if c.faultFreeFor(catchUpTime) && h.hasCommit && c.now >= formationBound {
		c.checkRecovery(view)
	}
}

// measureCatchUp records members that have just joined the chain with all committed state on disk.
func (c *cluster) measureCatchUp(view membership.View) {
	for _, m := range c.members {
		if !m.isHealthy() || m.caughtUp || !slices.Contains(view.Chain, m.id()) || m.durableSequence() < c.controlPlaneHistory.newestSequence {
			continue
		}
		m.caughtUp, m.diskLost = true, false
		if took := c.now - m.startedAt; m.isSpare {
			c.result.JoinTimes = append(c.result.JoinTimes, took)
		} else {
			c.result.CatchUpTimes = append(c.result.CatchUpTimes, took)
		}
	}
}

// id returns the ID of a member with its current disk. The member must be serving.
func (m *member) id() string { return m.controller.Coordinator().Self().ID }

// durableSequence returns the sequence number of the register that would survive a power loss.
func (m *member) durableSequence() uint64 {
	if state := m.disk.durableState(); state != nil {
		return state.Register.Sequence
	}
	return 0
}

// checkRecovery checks that, after some time without faults, all running members have recovered and enough of them are
// voters.
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

// checkMemberRecovered checks that a healthy member has committed state on disk, is in the chain, has bounded disk
// usage and, after a longer time without faults, has contact to a quorum. It reports false if the member has not
// caught up or has no quorum.
func (c *cluster) checkMemberRecovered(m *member, view membership.View) bool {
	sequence, bytes := m.durableSequence(), m.disk.size()
	c.result.MaxDiskBytes = max(c.result.MaxDiskBytes, bytes)
	if committed := valueAt(c.controlPlaneHistory.sequences, c.now-durabilityWindow); sequence < committed || !slices.Contains(view.Chain, m.id()) {
		c.violationf("%s has been up since %.2f s but has not caught up: sequence number on disk %d of %d, chain of view %d: %s",
			m.name, m.startedAt.Seconds(), sequence, committed, view.Number, strings.Join(view.Chain, " > "))
		return false
	}
	if bytes > maxDiskBytes {
		c.violationf("%s uses %d bytes of disk after %d changes", m.name, bytes, c.controlPlaneHistory.newestSequence)
	}
	if c.faultFreeFor(faultFreeBeforeCall) && !m.controller.Coordinator().HasQuorumContact(c.monotonicTime(&m.process)) {
		c.violationf("%s has no quorum contact after a long time without faults", m.name)
		return false
	}
	return true
}

// checkVoterMargin checks that a quorum of voters remains after the further losses that the tolerance allows. With all
// members running, this takes at least 2f+1 voters.
func (c *cluster) checkVoterMargin(view membership.View, healthy, lost, voting int) {
	more := max(c.schedule.Tolerance-max(c.schedule.Members-healthy, lost), 0)
	if voting-more < view.Quorum() {
		c.violationf("%d of %d voters of view %d are healthy, which is too few for %d more losses", voting, len(view.Voters), view.Number, more)
	}
}
