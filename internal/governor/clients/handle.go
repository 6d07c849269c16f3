package clients

import (
	"slices"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// handle processes a message and returns it, or an invalidMessage if the message is not allowed on this connection.
func (c *conn) handle(m any) any {
	switch m := m.(type) {
	case heartbeat:
		c.send(heartbeatAnswer)
		return m
	case invalidMessage:
		return m
	case collectorJoin:
		if c.role != roleUnidentified {
			return unexpectedMessage
		}
		c.zone = m.zone
		c.setRole(roleCollector)
		c.server.addCollector(c)
		return m
	case rules.Joined:
		if c.role != roleUnidentified {
			return unexpectedMessage
		}
		c.proxy = m.Proxy
		c.setRole(roleStream)
	case rules.Applied:
		if c.role != roleStream || m.Proxy != c.proxy || !c.awaits(m.Version) {
			return invalidMessage{cause: unexpectedMessage.cause, isAcknowledgement: true}
		}
	case rules.GroupTraffic:
		if c.role == roleUnidentified || c.role == roleStream && m.Proxy != c.proxy {
			return unexpectedMessage
		}
		return c.postReport(eventqueue.Input{Event: m}, m)
	case rules.EndpointStats:
		if c.role != roleCollector {
			return unexpectedMessage
		}
		return c.postReport(eventqueue.Input{Event: m}, m)
	case *intake.Batch:
		if c.role != roleStream || m.Proxy != c.proxy {
			m.Free()
			return unexpectedMessage
		}
		return c.postReport(eventqueue.Input{Batch: m}, m)
	}
	c.server.inbox.Post(eventqueue.Input{Connection: c, Event: m.(rules.Event)})
	return m
}

// postReport posts a report. If the queue is full, a collector's connection blocks. A proxy's stream must not, because its
// acknowledgements follow its reports, so its report is dropped and counted.
func (c *conn) postReport(e eventqueue.Input, m any) any {
	e.Connection, e.ReceivedAt = c, time.Now()
	if c.role == roleCollector {
		c.server.inbox.Post(e)
	} else if !c.server.inbox.TryPost(e) {
		return queueFull
	}
	return m
}

// awaits reports whether an acknowledgement of the version is outstanding.
func (c *conn) awaits(version uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.unacknowledged, version)
}

// updateDeadline sets the read deadline after a message of a peer that has joined. There is one only while the peer owes an
// acknowledgement, so a proxy that owes none may stay idle, and collectors have no deadline: idle ones are evicted. The
// deadline ends connections whose peers have vanished, stop inside a message, or send byte by byte. An invalid acknowledgement
// counts as that of the oldest version, as otherwise a live proxy would time out.
func (c *conn) updateDeadline(m any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := m.(type) {
	case rules.Applied:
		c.unacknowledged = c.unacknowledged[slices.Index(c.unacknowledged, m.Version)+1:]
	case invalidMessage:
		if m.isAcknowledgement {
			c.unacknowledged = c.unacknowledged[min(1, len(c.unacknowledged)):]
		}
	case rules.EndpointStats, rules.GroupTraffic, *intake.Batch:
		c.lastUsefulAt = time.Now()
	}
	if len(c.unacknowledged) > 0 {
		return c.SetReadDeadline(time.Now().Add(c.server.bounds.AcknowledgeTimeout))
	}
	return c.SetReadDeadline(time.Time{})
}
