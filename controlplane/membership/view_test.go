package membership

import (
	"testing"

	"zincloft.example/zincloft/fleet"
)

func TestQuorumsIntersect(t *testing.T) {
	for voters := 1; voters < 10; voters++ {
		if quorum := QuorumOf(voters); 2*quorum <= voters || quorum > voters || 2*(quorum-1) > voters {
			t.Errorf("quorum of %d voters: got %d, want the smallest majority", voters, quorum)
		}
	}
}

func TestBallotLess(t *testing.T) {
	ascending := []Ballot{{}, {0, "b"}, {1, "a"}, {1, "b"}, {2, "a"}}
	for i, a := range ascending {
		for j, b := range ascending {
			if a.Less(b) != (i < j) {
				t.Errorf("%v.Less(%v): got %v, want %v", a, b, a.Less(b), i < j)
			}
		}
	}
}

func TestViewMembership(t *testing.T) {
	voter, learner := testMember("a"), testMember("b")
	v := View{Number: 1, Voters: []fleet.Member{voter}, Chain: []string{voter.ID, learner.ID}, Learners: []fleet.Member{learner}}
	if !v.HasVoter(voter.ID) || v.HasVoter(learner.ID) || v.HasLearner(voter.ID) || !v.HasLearner(learner.ID) {
		t.Errorf("HasVoter or HasLearner is wrong")
	}
	if v.Position(voter.ID) != 0 || v.Position(learner.ID) != 1 || v.Position("c/0") != -1 {
		t.Errorf("wrong chain positions")
	}
	if members := v.Members(); len(members) != 2 || members[0] != voter || members[1] != learner {
		t.Errorf("members: got %v, want the voter and the learner", members)
	}
	if v.Quorum() != 1 {
		t.Errorf("the learner is counted in the quorum")
	}
}
