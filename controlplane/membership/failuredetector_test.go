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
		t.Error("b is reachable")
	}
	c.restart("b")
	c.run(3 * time.Second)
	c.wantView("abc", "acb", "abc")
}

// TestOneWayCutRemovesOneMember: who does not hear another, or is not heard by it, leaves the chain, and only one of the two does.
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

// TestStalledNodeSuspectsNoPeers: after a gap between ticks the silence meanwhile says nothing of the others.
func TestStalledNodeSuspectsNoPeers(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node := c.node("a")
	resumedAt := c.now + 10*time.Second
	node.Tick(resumedAt)
	if node.canProposeView(resumedAt) || node.unavailableFor(resumedAt, testMember("b").ID) != 0 {
		t.Error("the silence of others counts although this node was held up")
	}
}

func TestHasNoSuccessor(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node := c.node("a")
	node.Leave()
	if !node.IsLeaving() || node.HasNoSuccessor(c.now) {
		t.Error("b and c stay")
	}
	c.node("b").Leave()
	c.node("c").Leave()
	c.run(time.Second)
	if !node.HasNoSuccessor(c.now) {
		t.Error("all others leave")
	}
	alone := newCluster(t, 1).node("a")
	if !alone.HasNoSuccessor(0) {
		t.Error("there is no other voter")
	}
}

// TestMembersReconnectAfterLongPartition: members that were cut off from each other for longer than others are remembered find each
// other again, also where neither is a seed.
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
		t.Fatalf("%v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("%v, want %v", got[i], want[i])
		}
	}
	if _, known := node.KnownMember(testMember("b").ID); known {
		t.Error("b has not been heard")
	}
	c.run(time.Second)
	if m, known := node.KnownMember(testMember("b").ID); !known || m != testMember("b") {
		t.Errorf("b is known as %v", m)
	}
}
