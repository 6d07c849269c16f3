package membership

import "time"

// This file implements the contact lease, which is based on echoed clock readings (docs/design/control-plane.md, rule 8). The
// lease starts when an echoed reading was sent, not when the echo was received, because messages may have been delayed in a
// socket while this machine was suspended or partitioned.

const (
	// contactLease is how long an echoed clock reading proves contact, starting when the reading was sent.
	contactLease = time.Second

	// clockStallThreshold is the advance of another member's clock over this node's clock above which this node's clock is
	// considered to have been stopped.
	clockStallThreshold = 500 * time.Millisecond

	// clockDriftDivisor bounds the drift between two clocks to 1/clockDriftDivisor of the elapsed time.
	clockDriftDivisor = 100
)

// ClockReading is a reading of a process's monotonic clock. A member that receives an echo of its own reading knows that the
// sender has received a message that was sent at that time or later.
type ClockReading struct {
	Incarnation uint64 `cbor:"1,keyasint"` // Drawn at random at each start, because monotonic clocks restart at zero.
	Elapsed     Time   `cbor:"2,keyasint"`
}

// clockEstimate is the estimate of another member's clock.
type clockEstimate struct {
	reading ClockReading // Latest reading received.
	lead    Time         // Estimated lead over this node's clock. It is a lower bound, because messages are delayed.
	leadAt  Time         // When lead was estimated.
}

// HasQuorumContact reports whether this node is a voter and a quorum of the voters, including itself, is known to have
// received messages that it sent within the contact lease. A node without quorum contact must reject requests immediately.
//
// The lease is measured on this node's own clock from the time of sending, so messages that were delayed while the machine
// was suspended or partitioned do not extend it. If the clock may have been stopped as well, ResetContact must be called.
func (node *Node) HasQuorumContact(now Time) bool {
	if !node.state.View.HasVoter(node.self.ID) {
		return false
	}
	inContact := 0
	for _, voter := range node.state.View.Voters {
		if voter.ID == node.self.ID || node.HasContact(now, voter.ID) {
			inContact++
		}
	}
	return inContact >= node.state.View.Quorum()
}

// HasContact reports whether another member is known to have received a message sent by this node within the contact lease.
func (node *Node) HasContact(now Time, id string) bool {
	p := node.peers[id]
	return p != nil && p.lastEchoedSend > 0 && now-p.lastEchoedSend < contactLease
}

// ResetContact discards all contact and starts a new clock incarnation, so that echoes of earlier readings do not count. It is
// called when the machine is found to have been suspended.
func (node *Node) ResetContact(now Time) {
	node.incarnation++
	node.restartObservation(now)
	for _, p := range node.peers {
		p.lastEchoedSend = 0
	}
}

// Clock returns a reading of this node's own clock.
func (node *Node) Clock(now Time) ClockReading {
	return ClockReading{Incarnation: node.incarnation, Elapsed: now}
}

// PeerClock returns the latest reading received of a peer's clock, or the zero reading if the peer is unknown.
func (node *Node) PeerClock(id string) ClockReading {
	if p := node.peers[id]; p != nil {
		return p.clock.reading
	}
	return ClockReading{}
}

// ObserveClock records a reading of a peer's clock that was received outside a heartbeat.
func (node *Node) ObserveClock(now Time, id string, reading ClockReading) {
	if p := node.peers[id]; p != nil {
		node.observeClock(now, p, reading)
	}
}

// IsRecentReading reports whether a reading of this node's own clock, echoed by another member, belongs to the current
// incarnation and is no older than maxAge.
func (node *Node) IsRecentReading(now Time, reading ClockReading, maxAge Time) bool {
	return reading.Incarnation == node.incarnation && reading.Elapsed <= now && now-reading.Elapsed <= maxAge
}

// TakeClockStall reports, once, that this machine was found to have been suspended together with its clock. Messages still in
// its sockets may be outdated then.
func (node *Node) TakeClockStall() bool {
	stalled := node.clockStalled
	node.clockStalled = false
	return stalled
}

// observeClock records a reading of a peer's clock. If the peer's clock has advanced over this node's clock by more than the
// threshold, this node's clock was stopped: messages can be delayed but never arrive early.
func (node *Node) observeClock(now Time, p *peer, reading ClockReading) {
	clock := &p.clock
	lead := reading.Elapsed - now
	drift := (now - clock.leadAt) / clockDriftDivisor
	switch {
	case reading.Incarnation != clock.reading.Incarnation:
		clock.lead = lead
	case lead > clock.lead+drift+clockStallThreshold:
		node.ResetContact(now)
		node.clockStalled = true
		clock.lead = lead
	default:
		// The estimate changes by at most the drift. Otherwise delayed messages that are received one after the other, each
		// with a smaller delay, would be mistaken for an advance of the peer's clock.
		clock.lead = min(max(lead, clock.lead-drift), clock.lead+drift)
	}
	clock.leadAt = now
	clock.reading = reading
}

// observeEcho extends the contact with a peer that echoed a recent reading of this node's clock.
func (node *Node) observeEcho(now Time, p *peer, echo ClockReading) {
	if node.IsRecentReading(now, echo, contactLease) {
		p.lastEchoedSend = max(p.lastEchoedSend, echo.Elapsed)
	}
}
