package membership

import (
	"testing"
	"time"

	"zincloft.example/zincloft/fleet"
)

// runAndCountLearnerViews runs the cluster and returns how many views had a learner that did not vote.
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
			t.Errorf("view %+v", v)
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
	c.wantView("ac", "acd", "abc") // The voter may come back.
	c.run(replacementTimeout + time.Second)
	c.wantView("acd", "acd", "adc")
}

// TestMemberWithNewDiskReplacesItself has a machine lose its disk: its new identity takes the seat of the old one.
func TestMemberWithNewDiskReplacesItself(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("b")
	wiped := fleet.Member{ID: "b/1", Addr: "b"}
	c.start(wiped, DurableState{})
	c.run(5 * time.Second)
	v := c.node("a").View()
	if !v.HasVoter(wiped.ID) || v.HasVoter("b/0") || len(v.Voters) != 3 || v.Position(wiped.ID) != 2 {
		t.Errorf("%+v", v)
	}
}

// TestMemberWithNewDiskReplacesNoOtherVoter has another voter's seat free for longer when a machine loses its disk.
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
		t.Errorf("%+v", v)
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
		t.Errorf("%d more views, though nothing happens", number-before)
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

// TestNoViewChangeWithoutQuorum: a node that has lost contact with a quorum changes nothing.
func TestNoViewChangeWithoutQuorum(t *testing.T) {
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	c.kill("b")
	c.kill("c")
	c.run(2 * pairRemovalTimeout)
	c.wantView("a", "abc", "abc")
}

// TestUnsyncedMemberDoesNotBecomeHead: where only members are left that may not hold what was acknowledged, a member that
// does has to be waited for.
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
		t.Errorf("%+v", got)
	}
}
