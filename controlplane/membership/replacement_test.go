package membership

import (
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
)

// runAndCountLearnerViews runs the cluster and returns the number of decided views with a learner.
func (c *cluster) runAndCountLearnerViews(t *testing.T, duration time.Duration) int {
	t.Helper()
	c.run(duration)
	views := 0
	for _, v := range c.decided {
		if len(v.Learners) == 0 {
			continue
		}
		views++
		learner := v.Learners[0]
		if len(v.Learners) > 1 || v.HasVoter(learner.ID) || v.Position(learner.ID) < 1 {
			t.Errorf("invalid learners in view %+v", v)
		}
	}
	return views
}

func TestNewMemberStartsAsLearner(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.start(testMember("d"), DurableState{})
	if c.runAndCountLearnerViews(t, 5*time.Second) == 0 {
		t.Error("d was never a learner")
	}
	c.wantView("abcd", "abcd", "abcd")
}

func TestNewMemberReplacesFailedVoter(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("b")
	c.run(time.Second)
	c.start(testMember("d"), DurableState{})
	c.run(replacementTimeout / 2)
	c.wantView("ac", "acd", "abc") // The failed voter may still return.
	c.run(replacementTimeout + time.Second)
	c.wantView("acd", "acd", "adc")
}

// TestMemberWithNewDiskReplacesItself verifies that a machine that lost its disk replaces the voter of its former disk.
func TestMemberWithNewDiskReplacesItself(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("b")
	newDisk := fleet.Member{ID: "b/1", Addr: "b"}
	c.start(newDisk, DurableState{})
	c.run(5 * time.Second)
	v := c.node("a").View()
	if !v.HasVoter(newDisk.ID) || v.HasVoter("b/0") || len(v.Voters) != 3 || v.Position(newDisk.ID) != 2 {
		t.Errorf("view %+v, want b/1 as a voter and at the end of the chain in place of b/0", v)
	}
}

// TestMemberWithNewDiskReplacesNoOtherVoter verifies the same while another voter could be replaced as well.
func TestMemberWithNewDiskReplacesNoOtherVoter(t *testing.T) {
	c := newCluster(t, 5)
	c.run(2 * time.Second)
	c.kill("b")
	c.run(replacementTimeout + time.Second)
	c.kill("d")
	c.start(fleet.Member{ID: "d/1", Addr: "d"}, DurableState{})
	c.run(3 * time.Second)
	v := c.node("a").View()
	if !v.HasVoter("d/1") || v.HasVoter("d/0") || !v.HasVoter("b/0") || len(v.Voters) != 5 {
		t.Errorf("view %+v, want voter d/1 in place of d/0, and b/0 kept", v)
	}
}

func TestLeavingMemberStaysUntilReplaceable(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("c")
	c.run(2 * time.Second)
	c.node("b").Leave()
	c.run(2 * time.Second)
	c.wantView("ab", "ab", "abc")
	c.restart("c")
	c.run(3 * time.Second)
	c.wantView("ac", "ac", "abc")
	before := c.node("a").View().Number
	c.run(5 * time.Second)
	if number := c.node("a").View().Number; number != before {
		t.Errorf("%d further views without any failure", number-before)
	}
}

func TestFailedVoterIsRemovedFromEvenNumber(t *testing.T) {
	c := newCluster(t, 4)
	c.run(2 * time.Second)
	c.kill("d")
	c.run(replacementTimeout + 2*time.Second)
	c.wantView("abc", "abc", "abc")
}

func TestPairOfFailedVotersIsRemoved(t *testing.T) {
	c := newCluster(t, 5)
	c.run(2 * time.Second)
	c.kill("d")
	c.kill("e")
	c.run(pairRemovalTimeout - time.Second)
	c.wantView("abc", "abc", "abcde")
	c.run(3 * time.Second)
	c.wantView("abc", "abc", "abc")
}

func TestVotersAreNotRemovedBelowMinimum(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("c")
	c.run(2 * pairRemovalTimeout)
	c.wantView("ab", "ab", "abc")
}

// TestNoViewChangeWithoutQuorum guards against a view change by a node without quorum contact.
func TestNoViewChangeWithoutQuorum(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("b")
	c.kill("c")
	c.run(2 * pairRemovalTimeout)
	c.wantView("a", "abc", "abc")
}

// TestUnsyncedMemberDoesNotBecomeHead guards against losing acknowledged commands: if only unsynced members are left, the view
// must not change until a synced member returns.
func TestUnsyncedMemberDoesNotBecomeHead(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	node := c.node("b")
	v := node.View()
	v.Number++
	v.Unsynced = []string{"b/0", "c/0"}
	for _, addr := range []string{"b", "c"} {
		c.handle(c.node(addr), c.node(addr).Step(c.now, Message{Kind: Decided, From: testMember("a"), ViewNumber: v.Number, View: &v}))
	}
	c.kill("a")
	c.run(10 * time.Second)
	c.wantView("bc", "abc", "abc")
	c.restart("a")
	c.run(5 * time.Second)
	if got := node.View(); got.Chain[0] != "a/0" || len(got.Chain) != 3 {
		t.Errorf("view %+v, want head a/0 and three members in the chain", got)
	}
}
