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

// TestDisksLostBesideSilentVoters guards against silent voters being counted as lost: two of five are down for a while, with their
// disks, and two others lose their disks, as many as the deployment tolerates. Three disks are left, which form a quorum.
func TestDisksLostBesideSilentVoters(t *testing.T) {
	for _, down := range []time.Duration{0, 6 * time.Second, pairRemovalTimeout + 3*time.Second, 5 * pairRemovalTimeout} {
		c := newCluster(t, 5)
		c.tolerate(FaultTolerance{Machines: 2})
		c.run(2 * time.Second)
		c.kill("d")
		c.kill("e")
		c.run(down)
		c.kill("a")
		c.kill("b")
		c.run(time.Second)
		c.wipe("a")
		c.wipe("b")
		c.restart("d")
		c.restart("e")
		c.run(6 * time.Second)
		v := c.node("c").View()
		if len(v.Chain) != 5 || len(v.Voters) != 5 || !v.HasVoter("a/1") || !v.HasVoter("b/1") || !c.node("c").HasQuorumContact(c.now) {
			t.Errorf("down for %v: view %+v, want five voters in the chain", down, v)
		}
	}
}

// TestVotersAreNotRemovedBelowTolerance guards against the removal of silent voters whose votes the tolerated losses need, however
// long they are silent.
func TestVotersAreNotRemovedBelowTolerance(t *testing.T) {
	c := newCluster(t, 5)
	c.tolerate(FaultTolerance{Machines: 2})
	c.run(2 * time.Second)
	c.kill("d")
	c.kill("e")
	c.run(2 * pairRemovalTimeout)
	c.wantView("abc", "abc", "abcde")
}

// TestFailedVoterIsKeptInEvenNumber guards against the same for a single voter: three of four could not lose two disks without
// losing what two of them acknowledged.
func TestFailedVoterIsKeptInEvenNumber(t *testing.T) {
	c := newCluster(t, 4)
	c.tolerate(FaultTolerance{Machines: 2})
	c.run(2 * time.Second)
	c.kill("d")
	c.run(replacementTimeout + 2*time.Second)
	c.wantView("abc", "abc", "abcd")
}

// TestFailedVotersAreRemovedDownToTolerance verifies that voters that are gone for good do not count against further losses where
// the remaining ones tolerate the stated losses.
func TestFailedVotersAreRemovedDownToTolerance(t *testing.T) {
	for _, test := range []struct {
		members, machines int
		killed            []string
		chain, voters     string
	}{
		{5, 1, []string{"d", "e"}, "abc", "abc"},
		{7, 2, []string{"f", "g"}, "abcde", "abcde"},
		{7, 3, []string{"f", "g"}, "abcde", "abcdefg"},
		{7, 2, []string{"e", "f", "g"}, "abcd", "abcdefg"},
		{7, 1, []string{"e", "f", "g"}, "abcd", "abcd"},
		{6, 2, []string{"f"}, "abcde", "abcde"},
	} {
		c := newCluster(t, test.members)
		c.tolerate(FaultTolerance{Machines: test.machines})
		c.run(2 * time.Second)
		for _, addr := range test.killed {
			c.kill(addr)
		}
		c.run(pairRemovalTimeout - time.Second)
		if test.members%2 != 0 { // one of an even number is removed sooner
			c.wantView(test.chain, test.chain, "abcdefg"[:test.members])
		}
		c.run(3 * time.Second)
		c.wantView(test.chain, test.chain, test.voters)
	}
}

// TestVotersAreNotRemovedBelowZoneTolerance guards against the removal of silent voters after which the loss of a tolerated zone
// or region would leave no quorum.
func TestVotersAreNotRemovedBelowZoneTolerance(t *testing.T) {
	zones := map[string]string{"a": "x", "b": "x", "c": "y", "d": "z", "e": "z"}
	regions := map[string]string{"x": "south", "y": "middle", "z": "north"}
	for _, tolerance := range []FaultTolerance{{Machines: 1, Zones: 1}, {Machines: 1, Regions: 1, RegionByZone: regions}} {
		c := newCluster(t, 5)
		for addr, zone := range zones { // The members of the initial view have no zone.
			m := testMember(addr)
			m.Zone = zone
			c.start(m, c.saved[m.ID])
		}
		c.tolerate(tolerance)
		c.run(2 * time.Second)
		c.kill("d")
		c.kill("e")
		c.run(2 * pairRemovalTimeout)
		c.wantView("abc", "abc", "abcde")
	}
}

// TestViewOfFewerVotersGrowsAgain starts from a view as former versions stored it: two of five voters were removed while they were
// silent. They return and become voters again, also while a third one is silent.
func TestViewOfFewerVotersGrowsAgain(t *testing.T) {
	for _, silent := range []string{"", "c"} {
		c := newCluster(t, 5)
		c.tolerate(FaultTolerance{Machines: 2})
		c.run(2 * time.Second)
		reduced := c.node("a").View()
		reduced.Number++
		reduced.Voters, reduced.Chain = reduced.Voters[:3], reduced.Chain[:3]
		for _, addr := range []string{"a", "b", "c"} {
			c.start(testMember(addr), DurableState{View: reduced})
		}
		if silent != "" {
			c.kill(silent)
		}
		c.restart("d")
		c.restart("e")
		c.run(8 * time.Second)
		if silent != "" {
			c.restart(silent)
			c.run(4 * time.Second)
		}
		v := c.node("a").View()
		if len(v.Voters) != 5 || len(v.Chain) != 5 {
			t.Errorf("%q silent: view %+v, want five voters in the chain", silent, v)
		}
	}
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
