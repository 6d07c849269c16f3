package simulation

import "time"

const (
	maxStateBytes   = 64 << 10 // per member
	maxPendingCalls = 60       // per member
	// maxMessagesPerSecond is the limit for messages from one member to each other member.
	maxMessagesPerSecond = 400
)

// checkMemberBounds checks the size of a written state (0: nothing written), the number of pending calls and the rate
// of messages of a member. Calls that a paused member has not read yet are not its state and not limited by it.
func (c *cluster) checkMemberBounds(m *member, written, sent int) {
	pending := len(m.pendingCalls) - m.callsInSocket
	if written > maxStateBytes || pending > maxPendingCalls {
		c.violationf("%s has a state of %d bytes and %d pending calls", m.name, written, pending)
	}
	if now := c.now / time.Second; now != m.messagesSecond {
		m.messagesSecond, m.messagesSent = now, 0
	}
	m.messagesSent += sent
	if m.messagesSent > maxMessagesPerSecond*max(len(c.members)-1, 1) {
		c.violationf("%s sends %d messages within a second", m.name, m.messagesSent)
	}
}
