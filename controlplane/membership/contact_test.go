package membership

import (
	"testing"
	"time"
)

func TestContactLeaseExpires(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node := c.node("a")
	if !node.HasQuorumContact(c.now) {
		t.Fatal("no contact with a quorum although all links are up")
	}
	c.kill("b")
	c.kill("c")
	// The latest echoed heartbeat was sent before the kill, so the lease has expired after contactLease.
	c.run(contactLease)
	if node.HasQuorumContact(c.now) || node.HasContact(c.now, testMember("b").ID) {
		t.Error("contact exceeds its lease")
	}
}

// TestContactNeedsEchoes verifies that a node whose outbound links are cut loses contact although it still receives messages.
func TestContactNeedsEchoes(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.cutLink("a", "b")
	c.cutLink("a", "c")
	c.run(contactLease + 100*time.Millisecond)
	if c.node("a").HasQuorumContact(c.now) {
		t.Error("received messages count as contact without echoes")
	}
	if !c.node("b").HasQuorumContact(c.now) {
		t.Error("b has lost contact with the quorum of b and c")
	}
}

func TestResetContactInvalidatesEchoes(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node, before := c.node("a"), c.node("a").Clock(c.now)
	node.ResetContact(c.now)
	if node.HasQuorumContact(c.now) || node.IsRecentReading(c.now, before, contactLease) {
		t.Error("a reading of an earlier incarnation is accepted")
	}
	c.run(time.Second)
	if !node.HasQuorumContact(c.now) {
		t.Error("no contact with a quorum 1 s after the reset")
	}
}

func TestIsRecentReading(t *testing.T) {
	node := newVoter(t, "a")
	now := 10 * time.Second
	own := node.Clock(now)
	for _, test := range []struct {
		name    string
		reading ClockReading
		recent  bool
	}{
		{"now", own, true},
		{"as old as allowed", ClockReading{own.Incarnation, now - time.Second}, true},
		{"too old", ClockReading{own.Incarnation, now - time.Second - 1}, false},
		{"in the future", ClockReading{own.Incarnation, now + 1}, false},
		{"of another incarnation", ClockReading{own.Incarnation + 1, now}, false},
	} {
		if got := node.IsRecentReading(now, test.reading, time.Second); got != test.recent {
			t.Errorf("%s: got %v, want %v", test.name, got, test.recent)
		}
	}
}

// TestClockStallIsDetectedByPeerClocks simulates a machine that is suspended together with its clock.
func TestClockStallIsDetectedByPeerClocks(t *testing.T) {
	heartbeatAt := func(peer ClockReading) Message {
		return Message{Kind: Heartbeat, From: testMember("b"), ViewNumber: 1, Clock: peer}
	}
	for _, test := range []struct {
		name    string
		advance Time // Of the peer's clock over this node's clock between two heartbeats.
		stalled bool
	}{
		{"same rate", 0, false},
		{"up to the threshold", clockStallThreshold, false},
		{"beyond the threshold and the drift", clockStallThreshold + time.Second/clockDriftDivisor + 1, true},
		{"late messages", -10 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newVoter(t, "a")
			node.Step(0, heartbeatAt(ClockReading{5, 20 * time.Second}))
			incarnation := node.incarnation
			node.Step(time.Second, heartbeatAt(ClockReading{5, 21*time.Second + test.advance}))
			if got := node.TakeClockStall(); got != test.stalled || node.TakeClockStall() {
				t.Errorf("clock stall: got %v, want %v, reported once", got, test.stalled)
			}
			if reset := node.incarnation != incarnation; reset != test.stalled {
				t.Errorf("contact reset: got %v, want %v", reset, test.stalled)
			}
		})
	}
}

func TestObserveClock(t *testing.T) {
	node := newVoter(t, "a")
	id := testMember("b").ID
	node.ObserveClock(0, id, ClockReading{5, time.Second})
	if got := node.PeerClock(id); got != (ClockReading{}) {
		t.Errorf("clock of an unknown member: got %v, want the zero reading", got)
	}
	node.Step(0, Message{Kind: Heartbeat, From: testMember("b"), ViewNumber: 1, Clock: ClockReading{5, time.Second}})
	newer := ClockReading{5, 2 * time.Second}
	node.ObserveClock(time.Second, id, newer)
	if got := node.PeerClock(id); got != newer {
		t.Errorf("clock: got %v, want %v", got, newer)
	}
}
