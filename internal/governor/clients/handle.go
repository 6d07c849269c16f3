package clients

import (
	"slices"
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/rules"
)

// handle carries out a message and returns it. One that has no place on this connection is returned as an invalidMessage.
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

// postReport posts what may wait. A collector waits until there is room; a stream can't, as a proxy's acknowledgements come
// behind its reports, so what has no room is counted and dropped.
func (c *conn) postReport(e eventqueue.Input, m any) any {
	e.Connection, e.ReceivedAt = c, time.Now()
	if c.role == roleCollector {
		c.server.inbox.Post(e)
	} else if !c.server.inbox.TryPost(e) {
		return queueFull
	}
	return m
}

// awaits reports whether the acknowledgement of a version is due.
func (c *conn) awaits(version uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.unacknowledged, version)
}

// updateDeadline sets the time until which a peer that has joined must send something: for a stream, while it owes an
// acknowledgement. This ends connections whose peers have vanished, have stopped inside a message, or send byte by byte. A
// proxy that owes nothing may be quiet for long. An invalid acknowledgement counts as that of the oldest version: otherwise
// a live proxy would time out. Collectors never owe anything; idle ones are evicted.
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
