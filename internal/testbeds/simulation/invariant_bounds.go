package simulation

import "time"

const (
	maxStateBytes   = 64 << 10 // of a member: a configuration of some hundred, a dozen replicas, windows with their audit
	maxPendingCalls = 60       // at a member
	// maxMessagesPerSecond is of a member's messages to each other member: heartbeats, gossip and commands come to a few dozen.
	maxMessagesPerSecond = 400
)

// checkMemberBounds: a member's state, the calls that wait at it and the messages that it sends stay within bounds. Here it
// writes so many bytes (0: none) and sends so many messages.
func (c *cluster) checkMemberBounds(m *member, written, sent int) {
	if written > maxStateBytes || len(m.pendingCalls) > maxPendingCalls {
		c.violationf("%s has a state of %d bytes and %d pending calls", m.name, written, len(m.pendingCalls))
	}
	if now := c.now / time.Second; now != m.messagesSecond {
		m.messagesSecond, m.messagesSent = now, 0
	}
	m.messagesSent += sent
	if m.messagesSent > maxMessagesPerSecond*max(len(c.members)-1, 1) {
		c.violationf("%s sends %d messages within a second", m.name, m.messagesSent)
	}
}
