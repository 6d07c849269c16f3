package membership

import (
	"slices"

	"zincloft.example/zincloft/fleet"
)

// View is one agreed configuration of the control plane. It is immutable. Its JSON keys are those of `zincloftctl store
// export`.
type View struct {
	Number uint64         `cbor:"1,keyasint" json:"N"`
	Voters []fleet.Member `cbor:"2,keyasint" json:"Roster"`
	Chain  []string       `cbor:"3,keyasint"` // Member IDs, head first.

	// Unsynced lists the chain members that may lack data that their predecessors have. None of them may become the head
	// before a commit in this view shows that they were synced (docs/design/control-plane.md, rule 6).
	Unsynced []string `cbor:"4,keyasint,omitempty" json:"Fresh"`

	// Learners are members of the chain that are being synced and do not vote. There is at most one.
	Learners []fleet.Member `cbor:"5,keyasint,omitempty"`
}

// HasVoter reports whether the ID belongs to a voter of the view.
func (v View) HasVoter(id string) bool { return indexOfID(v.Voters, id) >= 0 }

// HasLearner reports whether the ID belongs to a learner of the view.
func (v View) HasLearner(id string) bool { return indexOfID(v.Learners, id) >= 0 }

// Members returns the voters and the learners.
func (v View) Members() []fleet.Member { return append(slices.Clone(v.Voters), v.Learners...) }

// Position returns the index of the ID in the chain, 0 for the head, or -1 if it is not in the chain.
func (v View) Position(id string) int { return slices.Index(v.Chain, id) }

// Quorum returns the number of voters that form a quorum.
func (v View) Quorum() int { return QuorumOf(len(v.Voters)) }

// QuorumOf returns the size of a majority of the given number of voters.
func QuorumOf(voters int) int { return voters/2 + 1 }

// countVoters returns the number of IDs that belong to voters of the view.
func (v View) countVoters(ids []string) int {
	count := 0
	for _, id := range ids {
		if v.HasVoter(id) {
			count++
		}
	}
	return count
}

// hasSameMembership reports whether two views have the same chain, voters and learners.
func (v View) hasSameMembership(other View) bool {
	return slices.Equal(v.Chain, other.Chain) && sameIdentities(v.Voters, other.Voters) && sameIdentities(v.Learners, other.Learners)
}

// sameIdentities reports whether two lists contain the same member IDs in the same order.
func sameIdentities(a, b []fleet.Member) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Member) bool { return x.ID == y.ID })
}

func indexOfID(members []fleet.Member, id string) int {
	return slices.IndexFunc(members, func(m fleet.Member) bool { return m.ID == id })
}

func indexOfAddr(members []fleet.Member, addr string) int {
	return slices.IndexFunc(members, func(m fleet.Member) bool { return m.Addr == addr })
}
