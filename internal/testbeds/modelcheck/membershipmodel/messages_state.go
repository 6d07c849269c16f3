package membershipmodel

import (
	"hash/maphash"
	"math/bits"
	"slices"

	"zincloft.example/zincloft/controlplane/membership"
)

// Bounds limit a run of the message model.
type Bounds struct {
	Members    int // At most maxMembers.
	Commands   int // At most maxSequence.
	DiskLosses int // Only while all members are synced.
	Proposals  int
	MaxStates  int // Exploration ends at this number.

	// StartsWithJoiner starts in view 2, whose second member has just joined with an empty register, after a command was
	// acknowledged in view 1.
	StartsWithJoiner bool

	// StartsWithReplacement starts in view 2, in which the last member has replaced the one before it, which has not learned
	// of that view.
	StartsWithReplacement bool
}

const (
	maxMembers  = 5
	maxView     = 4
	maxSequence = 2

	// A ballot is round*ballotsPerRound + 1 + the proposer's index.
	ballotsPerRound = 8

	// An entry is 1 + view number*entriesPerView + command number.
	entriesPerView = 8

	noMember = -1 // Index for no member.
)

// Values of the initial states.
const (
	firstView    = 1
	secondView   = 2
	firstHead    = 0
	firstCommand = 1
)

type (
	// slots holds the entry of each sequence number, or 0 for none.
	slots [maxSequence]uint8

	// chainOrder lists the indices of the chain's members, head first, padded with noMember.
	chainOrder [maxMembers]int8

	// memberSet is a bit set of member indices.
	memberSet uint8

	view struct {
		number       uint8
		chain        chainOrder
		incarnations [maxMembers]uint8 // Disk incarnations of the members.
		unsynced     memberSet
		voters       memberSet // Decide the next view.
	}

	member struct {
		incarnation      uint8 // Incremented when the disk is lost.
		view             view
		promised         uint8
		acceptedBallot   uint8
		acceptedView     view
		memory, disk     slots
		syncedView       uint8 // The last view in which the member was synced, on disk.
		memorySyncedView uint8 // As syncedView, in memory.
	}

	state struct {
		members       [maxMembers]member
		committed     slots
		committedView uint8 // The newest view with an acknowledgement.
		commands      uint8
		diskLosses    uint8
		proposals     uint8
		decided       [maxView + 2]view // Learned views, by number.
	}

	messageKind uint8

	message struct {
		kind           messageKind
		viewNumber     uint8
		ballot         uint8
		from           int8
		incarnation    uint8
		acceptedBallot uint8
		view           view
		slots          slots
	}
)

const (
	prepare messageKind = iota + 1
	promise
	accept
	accepted
	forward
)

// entry returns the entry of a command in slots.
func entry(viewNumber, command uint8) uint8 { return 1 + viewNumber*entriesPerView + command }

func (s slots) length() int {
	n := 0
	for n < len(s) && s[n] != 0 {
		n++
	}
	return n
}

// inOrder returns the chain of the members 0 to length-1.
func inOrder(length int) chainOrder {
	var chain chainOrder
	for i := range chain {
		chain[i] = noMember
		if i < length {
			chain[i] = int8(i)
		}
	}
	return chain
}

func (s memberSet) has(i int) bool { return s&(1<<i) != 0 }

// firstMembers returns the set of the members 0 to count-1.
func firstMembers(count int) memberSet { return 1<<count - 1 }

func (v view) position(i int) int { return slices.Index(v.chain[:], int8(i)) }

func (v view) length() int {
	n := 0
	for n < maxMembers && v.chain[n] != noMember {
		n++
	}
	return n
}

// quorum returns the number of voters that decide the next view.
func (v view) quorum() int { return membership.QuorumOf(bits.OnesCount8(uint8(v.voters))) }

// hasOwnDisk reports whether member i still has the disk that it had when its view was decided.
func (m *member) hasOwnDisk(i int) bool { return m.incarnation == m.view.incarnations[i] }

// installView makes a decided view the current view of member i. The head is synced by definition.
func (m *member) installView(i int, v view) {
	m.view, m.promised, m.acceptedBallot, m.acceptedView = v, 0, 0, view{}
	if v.position(i) == 0 && m.hasOwnDisk(i) {
		m.syncedView, m.memorySyncedView = v.number, v.number
		m.memory = m.disk
	}
}

// node is a state with all messages sent so far. Messages are never removed, so that each may arrive at any time, repeatedly or
// never.
type node struct {
	state     state
	sent      []uint16 // Message numbers of a messageTable, ascending.
	violation string
}

func (n *node) clone() *node { return &node{state: n.state, sent: slices.Clone(n.sent)} }

// fingerprint identifies a node in the set of explored nodes.
type fingerprint [2]uint64

var fingerprintSeeds = [len(fingerprint{})]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

func (n *node) fingerprint() fingerprint {
	const multiplier, shift = 0x9e3779b97f4a7c15, 29
	var digest fingerprint
	for i := range digest {
		hash := maphash.Comparable(fingerprintSeeds[i], n.state)
		for _, number := range n.sent {
			hash = (hash ^ uint64(number)) * multiplier
			hash ^= hash >> shift
		}
		digest[i] = hash
	}
	return digest
}

// messageTable assigns numbers to messages.
type messageTable struct {
	numbers  map[message]uint16
	messages []message
}

func newMessageTable() *messageTable { return &messageTable{numbers: map[message]uint16{}} }

func (t *messageTable) numberOf(m message) uint16 {
	number, known := t.numbers[m]
	if !known {
		number = uint16(len(t.messages))
		t.numbers[m] = number
		t.messages = append(t.messages, m)
	}
	return number
}

// initialNode returns the initial node of a run.
func initialNode(bounds Bounds) *node {
	first := view{number: firstView, chain: inOrder(bounds.Members), voters: firstMembers(bounds.Members)}
	start := &node{}
	for i := range bounds.Members {
		start.state.members[i].view = first
	}
	start.state.members[firstHead].markSynced(firstView)
	if bounds.StartsWithJoiner {
		start.startWithJoiner(bounds.Members, first)
	}
	if bounds.StartsWithReplacement {
		start.startWithReplacement(bounds.Members, first)
	}
	return start
}

func (m *member) markSynced(viewNumber uint8) {
	m.syncedView, m.memorySyncedView = viewNumber, viewNumber
}

func (n *node) startWithJoiner(members int, first view) {
	joiner := members - 1
	acknowledged := slots{entry(firstView, firstCommand)}
	second := view{number: secondView, chain: inOrder(1), unsynced: 1 << joiner, voters: first.voters}
	second.chain[1] = int8(joiner)
	for i := range members {
		n.state.members[i] = member{view: second, memory: acknowledged, disk: acknowledged}
		n.state.members[i].markSynced(firstView)
	}
	n.state.members[firstHead].markSynced(secondView)
	n.state.members[joiner] = member{view: second}
	n.state.committed, n.state.committedView, n.state.commands = acknowledged, firstView, 1
}

func (n *node) startWithReplacement(members int, first view) {
	joiner, replaced := members-1, members-2
	first.voters &^= 1 << joiner
	first.chain[joiner] = noMember
	second := first
	second.number = secondView
	second.chain[replaced] = int8(joiner)
	second.voters = first.voters&^(1<<replaced) | 1<<joiner
	for i := range members {
		n.state.members[i].view = second
	}
	n.state.members[firstHead].markSynced(secondView)
	n.state.members[replaced].view = first
	n.state.decided[secondView] = second
}
