package membership

import "time"

// This file is the contact lease, which rests on echoes of clock readings (docs/design/control-plane.md, rule 8). Contact counts
// from the sending of a reading that was echoed, never from the arrival of a message: that may have lain in a socket while
// this machine was frozen or cut off.

const (
	// contactLease is how long an echoed clock reading shows contact, from its sending.
	contactLease = time.Second

	// clockStallThreshold is how far another member's clock must have gained on this node's for this node's to have
	// stood still.
	clockStallThreshold = 500 * time.Millisecond

	// clockDriftDivisor bounds the drift between clocks: they differ by less than one part in so many.
	clockDriftDivisor = 100
)

// ClockReading is a reading of one process's monotonic clock. A member that receives its own reading back knows that the
// sender has received a message that left at that time or later.
type ClockReading struct {
	Incarnation uint64 `cbor:"1,keyasint"` // Drawn at random at each start, as monotonic clocks start at zero.
	Elapsed     Time   `cbor:"2,keyasint"`
}

// clockEstimate is what is known of another member's clock.
type clockEstimate struct {
	reading ClockReading // As last heard.
	lead    Time         // How far it is ahead of our clock, as far as is believed. Messages are late, never early.
	leadAt  Time         // When lead was estimated.
}

// HasQuorumContact reports whether this node is a voter and a quorum of the voters, itself included, is known to have
// heard messages that it sent within the contact lease. A node without quorum contact must refuse calls at once.
//
// The lease is measured on this node's own clock, from the sending: whatever lay in a socket while the machine stood still
// or was cut off cannot prolong it. Should the clock have stood still with the machine, ResetContact must be called.
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

// HasContact reports whether another member is known to have heard a message that this node sent within the contact lease.
func (node *Node) HasContact(now Time, id string) bool {
	p := node.peers[id]
	return p != nil && p.lastEchoedSend > 0 && now-p.lastEchoedSend < contactLease
}

// ResetContact ends all contact and starts a new incarnation of the clock, so that echoes of earlier readings no longer
// count. It is called when the machine is found to have stood still.
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

// PeerClock returns a peer's clock as it was last heard, or the zero reading if the peer is not known.
func (node *Node) PeerClock(id string) ClockReading {
	if p := node.peers[id]; p != nil {
		return p.clock.reading
	}
	return ClockReading{}
}

// ObserveClock takes in a newer reading of a peer's clock that came otherwise than with a heartbeat.
func (node *Node) ObserveClock(now Time, id string, reading ClockReading) {
	if p := node.peers[id]; p != nil {
		node.observeClock(now, p, reading)
	}
}

// IsRecentReading reports whether a reading of this node's own clock, echoed by another member, belongs to the present
// incarnation and is no older than maxAge.
func (node *Node) IsRecentReading(now Time, reading ClockReading, maxAge Time) bool {
	return reading.Incarnation == node.incarnation && reading.Elapsed <= now && now-reading.Elapsed <= maxAge
}

// TakeClockStall reports, once, that this machine was found to have was suspended together with its clock. Whatever comes
// from its sockets may be old.
func (node *Node) TakeClockStall() bool {
	stalled := node.clockStalled
	node.clockStalled = false
	return stalled
}

// observeClock takes in a reading of a peer's clock. If that clock has gained on ours, ours stood still together with the
// machine: how late messages are varies, but none is early.
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
		// The estimate moves by no more than the drift: each of the messages that lay in a socket seems to be further
		// ahead than the one before it, and must not pass for the clock's own gain.
		clock.lead = min(max(lead, clock.lead-drift), clock.lead+drift)
	}
	clock.leadAt = now
	clock.reading = reading
}

// observeEcho extends the contact with a peer that has echoed a recent reading of this node's clock.
func (node *Node) observeEcho(now Time, p *peer, echo ClockReading) {
	if node.IsRecentReading(now, echo, contactLease) {
		p.lastEchoedSend = max(p.lastEchoedSend, echo.Elapsed)
	}
}
