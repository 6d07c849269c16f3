package membership

import (
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
)

func TestSilentMemberIsSuspected(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.wantView("abc", "abc", "abc")
	c.kill("b")
	c.run(2 * time.Second)
	c.wantView("ac", "ac", "abc")
	if c.node("a").IsReachable(c.now, testMember("b").ID) {
		t.Error("the stopped member b is reachable")
	}
	c.restart("b")
	c.run(3 * time.Second)
	c.wantView("abc", "acb", "abc")
}

// TestOneWayCutRemovesOneMember verifies that a link cut in one direction removes exactly one of the two members from the
// chain.
func TestOneWayCutRemovesOneMember(t *testing.T) {
	for _, link := range [][2]string{{"b", "c"}, {"c", "b"}} {
		c := newCluster(t, 3)
		c.run(2 * time.Second)
		c.cutLink(link[0], link[1])
		c.run(3 * time.Second)
		c.wantView("abc", "ab", "abc")
	}
}

func TestMemberWithUnhealthyDiskLeavesChain(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.node("a").SetDiskUnhealthy(true)
	c.run(2 * time.Second)
	c.wantView("abc", "bc", "abc")
	c.node("a").SetDiskUnhealthy(false)
	c.run(2 * time.Second)
	c.wantView("abc", "bca", "abc")
}

// TestStalledNodeSuspectsNoPeers guards against a node suspecting its peers after a stall of its own.
func TestStalledNodeSuspectsNoPeers(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node := c.node("a")
	resumedAt := c.now + 10*time.Second
	node.Tick(resumedAt)
	if node.canProposeView(resumedAt) || node.unavailableFor(resumedAt, testMember("b").ID) != 0 {
		t.Error("peers are considered silent during the node's own stall")
	}
}

func TestHasNoSuccessor(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node := c.node("a")
	node.Leave()
	if !node.IsLeaving() || node.HasNoSuccessor(c.now) {
		t.Error("b and c can take over, but HasNoSuccessor is true or IsLeaving is false")
	}
	c.node("b").Leave()
	c.node("c").Leave()
	c.run(time.Second)
	if !node.HasNoSuccessor(c.now) {
		t.Error("all other voters are leaving, but HasNoSuccessor is false")
	}
	alone := newCluster(t, 1).node("a")
	if !alone.HasNoSuccessor(0) {
		t.Error("there is no other voter, but HasNoSuccessor is false")
	}
}

// TestMembersReconnectAfterLongPartition guards against two members that are not seeds never contacting each other again after
// a partition longer than forgetTimeout.
func TestMembersReconnectAfterLongPartition(t *testing.T) {
	c := newCluster(t, 3)
	for _, addr := range []string{"d", "e"} {
		c.start(testMember(addr), DurableState{})
	}
	c.run(10 * time.Second)
	c.wantView("abcde", "abcde", "abcde")
	c.cutLink("d", "e")
	c.cutLink("e", "d")
	c.run(forgetTimeout + 5*time.Second)
	c.wantView("abcde", "abcd", "abcde")
	clear(c.cut)
	c.run(3 * time.Second)
	c.wantView("abcde", "abcde", "abcde")
}

func TestPeers(t *testing.T) {
	c := newCluster(t, 3)
	node := c.node("a")
	node.SetSeeds([]string{"a", "b", "x"})
	want := []fleet.Member{{Addr: "x"}, testMember("b"), testMember("c")}
	got := node.Peers(0)
	if len(got) != len(want) {
		t.Fatalf("peers %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("peer %d: got %v, want %v", i, got[i], want[i])
		}
	}
	if _, known := node.KnownMember(testMember("b").ID); known {
		t.Error("b is known before its first heartbeat")
	}
	c.run(time.Second)
	if m, known := node.KnownMember(testMember("b").ID); !known || m != testMember("b") {
		t.Errorf("known member b: got %v (%v)", m, known)
	}
}
