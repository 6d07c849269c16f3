package membershipmodel

import (
	"hash/maphash"
	"math/bits"
	"slices"

	"zincloft.example/zincloft/controlplane/membership"
)

// Bounds limit what happens in a run of the message model.
type Bounds struct {
	Members    int // maxMembers at the most.
	Commands   int // 2 at the most.
	DiskLosses int // Each waits until the one before has been made good.
	Proposals  int
	MaxStates  int // Exploration ends after so many.

	// StartsWithJoiner begins in view 2, whose second member has just joined and is empty, after a command was
	// acknowledged in view 1.
	StartsWithJoiner bool

	// StartsWithReplacement begins in view 2, in which the last member has taken the seat of the one before it, which has
	// not heard of that view.
	StartsWithReplacement bool
}

const (
	maxMembers  = 5
	maxView     = 4
	maxSequence = 2

	// ballotsPerRound separates rounds: a ballot is its round times this, plus 1 + its proposer's index.
	ballotsPerRound = 8

	// entriesPerView separates views: an entry is 1 + its view's number times this, plus the command's number.
	entriesPerView = 8

	nobody = -1 // Stands for a member's index where none is meant.
)

// In the initial states.
const (
	firstView    = 1
	secondView   = 2
	firstHead    = 0
	firstCommand = 1
)

type (
	// slots says which command was entered under each sequence number, and in which view; 0: none.
	slots [maxSequence]uint8

	// chainOrder lists the indices of members, head first; nobody after the last.
	chainOrder [maxMembers]int8

	// memberSet has a bit for each member's index.
	memberSet uint8

	view struct {
		number       uint8
		chain        chainOrder
		incarnations [maxMembers]uint8 // Of the members' disks.
		unsynced     memberSet
		voters       memberSet // Who decide on the next view.
	}

	member struct {
		incarnation      uint8 // Of its disk.
		view             view
		promised         uint8
		acceptedBallot   uint8
		acceptedView     view
		memory, disk     slots
		syncedView       uint8 // On disk.
		memorySyncedView uint8
	}

	state struct {
		members       [maxMembers]member
		committed     slots
		committedView uint8 // The newest view in which something was acknowledged.
		commands      uint8
		diskLosses    uint8
		proposals     uint8
		decided       [maxView + 2]view // By number, as somebody has learnt.
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

// entry is what slots hold of a command.
func entry(viewNumber, command uint8) uint8 { return 1 + viewNumber*entriesPerView + command }

func (s slots) length() int {
	n := 0
	for n < len(s) && s[n] != 0 {
		n++
	}
	return n
}

// inOrder returns the chain of the first members, by index.
func inOrder(length int) chainOrder {
	var chain chainOrder
	for i := range chain {
		chain[i] = nobody
		if i < length {
			chain[i] = int8(i)
		}
	}
	return chain
}

func (s memberSet) has(i int) bool { return s&(1<<i) != 0 }

// firstMembers returns the set of so many members.
func firstMembers(count int) memberSet { return 1<<count - 1 }

func (v view) position(i int) int { return slices.Index(v.chain[:], int8(i)) }

func (v view) length() int {
	n := 0
	for n < maxMembers && v.chain[n] != nobody {
		n++
	}
	return n
}

// quorum returns how many of the voters decide on the next view.
func (v view) quorum() int { return membership.QuorumOf(bits.OnesCount8(uint8(v.voters))) }

// hasOwnDisk reports whether member i still has the disk that it had when its view was agreed on.
func (m *member) hasOwnDisk(i int) bool { return m.incarnation == m.view.incarnations[i] }

// installView makes a decided view the present one of member i. The head has nobody to be synced by.
func (m *member) installView(i int, v view) {
	m.view, m.promised, m.acceptedBallot, m.acceptedView = v, 0, 0, view{}
	if v.position(i) == 0 && m.hasOwnDisk(i) {
		m.syncedView, m.memorySyncedView = v.number, v.number
		m.memory = m.disk
	}
}

// node is a state together with the messages that were ever sent. None is taken away, so each may arrive at any time, more
// than once or never.
type node struct {
	state     state
	sent      []uint16 // Numbers of messages in a messageTable, ascending.
	violation string
}

func (n *node) clone() *node { return &node{state: n.state, sent: slices.Clone(n.sent)} }

// fingerprint stands for a node in the set of those seen.
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

// messageTable gives messages numbers.
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

// initialNode returns the node in which a run begins.
func initialNode(bounds Bounds) *node {
	first := view{number: firstView, chain: inOrder(bounds.Members), voters: firstMembers(bounds.Members)}
	start := &node{}
	for i := range bounds.Members {
		start.state.members[i].view = first
	}
	start.state.members[firstHead].markSynced(firstView)
	if bounds.StartsWithJoiner {
		start.beginWithJoiner(bounds.Members, first)
	}
	if bounds.StartsWithReplacement {
		start.beginWithReplacement(bounds.Members, first)
	}
	return start
}

func (m *member) markSynced(viewNumber uint8) {
	m.syncedView, m.memorySyncedView = viewNumber, viewNumber
}

func (n *node) beginWithJoiner(members int, first view) {
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

func (n *node) beginWithReplacement(members int, first view) {
	joiner, leaver := members-1, members-2
	first.voters &^= 1 << joiner
	first.chain[joiner] = nobody
	second := first
	second.number = secondView
	second.chain[leaver] = int8(joiner)
	second.voters = first.voters&^(1<<leaver) | 1<<joiner
	for i := range members {
		n.state.members[i].view = second
	}
	n.state.members[firstHead].markSynced(secondView)
	n.state.members[leaver].view = first
	n.state.decided[secondView] = second
}
