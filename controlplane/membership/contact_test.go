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
		t.Fatal("no contact though all links are up")
	}
	c.kill("b")
	c.kill("c")
	// The newest echo belongs to a heartbeat that was sent before the kill, so that the lease is over a second later.
	c.run(contactLease)
	if node.HasQuorumContact(c.now) || node.HasContact(c.now, testMember("b").ID) {
		t.Error("contact outlives its lease")
	}
}

// TestContactNeedsEchoes cuts the links from a node in one direction: it hears the others but none of them hears it.
func TestContactNeedsEchoes(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.cutLink("a", "b")
	c.cutLink("a", "c")
	c.run(contactLease + 100*time.Millisecond)
	if c.node("a").HasQuorumContact(c.now) {
		t.Error("contact by messages that only arrive")
	}
	if !c.node("b").HasQuorumContact(c.now) {
		t.Error("b and c have lost contact with each other")
	}
}

func TestResetContactInvalidatesEchoes(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node, before := c.node("a"), c.node("a").Clock(c.now)
	node.ResetContact(c.now)
	if node.HasQuorumContact(c.now) || node.IsRecentReading(c.now, before, contactLease) {
		t.Error("an echo of an earlier incarnation counts")
	}
	c.run(time.Second)
	if !node.HasQuorumContact(c.now) {
		t.Error("no contact since")
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
		{"of the future", ClockReading{own.Incarnation, now + 1}, false},
		{"of another incarnation", ClockReading{own.Incarnation + 1, now}, false},
	} {
		if got := node.IsRecentReading(now, test.reading, time.Second); got != test.recent {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}

// TestClockStallIsDetectedByPeerClocks freezes a machine together with its clock.
func TestClockStallIsDetectedByPeerClocks(t *testing.T) {
	heartbeatAt := func(peer ClockReading) Message {
		return Message{Kind: Heartbeat, From: testMember("b"), ViewNumber: 1, Clock: peer}
	}
	for _, test := range []struct {
		name    string
		advance Time // By the peer's clock on ours, between two heartbeats.
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
				t.Errorf("clock stall: %v", got)
			}
			if reset := node.incarnation != incarnation; reset != test.stalled {
				t.Errorf("contact reset: %v", reset)
			}
		})
	}
}

func TestObserveClock(t *testing.T) {
	node := newVoter(t, "a")
	id := testMember("b").ID
	node.ObserveClock(0, id, ClockReading{5, time.Second})
	if got := node.PeerClock(id); got != (ClockReading{}) {
		t.Errorf("the clock of a member that is not known: %v", got)
	}
	node.Step(0, Message{Kind: Heartbeat, From: testMember("b"), ViewNumber: 1, Clock: ClockReading{5, time.Second}})
	newer := ClockReading{5, 2 * time.Second}
	node.ObserveClock(time.Second, id, newer)
	if got := node.PeerClock(id); got != newer {
		t.Errorf("clock %v", got)
	}
}
