package membership

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// Time is a moment on the caller's monotonic clock.
type Time = time.Duration

const (
	// HeartbeatInterval is how often a node sends heartbeats to every peer.
	HeartbeatInterval = 200 * time.Millisecond

	// maxTickGap bounds the time between two ticks of a running node. After a longer gap it was this node that stalled, so
	// the silence meanwhile says nothing about its peers.
	maxTickGap = 400 * time.Millisecond
)

// neverTicked is the time of the last tick before there was one.
const neverTicked Time = -1

// DurableState is what must be on stable storage before a message that rests on it is sent. The ballots and the accepted
// view belong to the agreement on view number View.Number+1.
type DurableState struct {
	View           View   `cbor:"1,keyasint"`
	PromisedBallot Ballot `cbor:"2,keyasint"`
	AcceptedBallot Ballot `cbor:"3,keyasint"`
	AcceptedView   *View  `cbor:"4,keyasint,omitempty"`
}

// Ready is what the caller has to do after a call: save the state, then send the messages. A message that is not marked
// AfterSave may be sent before.
type Ready struct {
	Messages      []Outbound
	MustSave      bool // State has changed.
	ViewInstalled bool // View has changed.
}

// Node is one member's part in the protocol. Create it with New. A Node is not safe for concurrent use.
type Node struct {
	self        fleet.Member
	incarnation uint64 // Of this node's clock; drawn at random at each start.
	random      func() float64
	seeds       []string

	state         DurableState
	peers         map[string]*peer // By identity.
	diskUnhealthy bool
	leaving       bool
	committedView uint64 // Last view in which a commit was seen.
	syncedView    uint64 // Last view in which this node was synced.

	lastTick          Time
	nextHeartbeat     Time
	observingSince    Time // First tick, or the first one after a stall: silence counts from there.
	changeWantedSince Time // 0 while no change of the view is wanted.
	clockStalled      bool

	proposal     proposal
	highestRound uint64 // Highest round used or seen in the agreement on the next view.
	backoffUntil Time   // No proposal is begun before.

	outbound      []Outbound
	stateChanged  bool
	viewInstalled bool

	highestInstalled uint64 // number of any view that was installed by this process; for the invariant only
}

// New creates a node from the state that was saved. Seeds are addresses that are sent heartbeats until a member is heard
// from there. The source of random numbers returns values in [0, 1).
func New(self fleet.Member, state DurableState, seeds []string, random func() float64) *Node {
	const incarnationBits = 53 // The precision of a float64.
	return &Node{
		self:        self,
		incarnation: uint64(random() * (1 << incarnationBits)),
		random:      random,
		seeds:       seeds,
		state:       state,
		peers:       map[string]*peer{},
		lastTick:    neverTicked,
	}
}

// Tick lets time pass: it sends heartbeats, detects failures and begins proposals.
func (node *Node) Tick(now Time) Ready {
	if node.lastTick <= neverTicked || now-node.lastTick > maxTickGap {
		node.restartObservation(now)
	}
	node.lastTick = now
	if now >= node.nextHeartbeat {
		node.nextHeartbeat = now + HeartbeatInterval
		node.broadcastHeartbeat(now)
	}
	node.forgetSilentPeers(now)
	node.abandonStaleProposal(now)
	node.proposeIfNeeded(now)
	return node.ready()
}

// Step takes in a message from another member.
func (node *Node) Step(now Time, m Message) Ready {
	switch m.Kind {
	case Heartbeat:
		node.handleHeartbeat(now, m)
	case Prepare:
		node.handlePrepare(m)
	case Promise:
		node.handlePromise(m)
	case Reject:
		node.handleReject(now, m)
	case Accept:
		node.handleAccept(m)
	case Accepted:
		node.handleAccepted(m)
	case Decided:
		if m.View != nil {
			node.installView(*m.View)
		}
	}
	return node.ready()
}

// Self returns the node's own member.
func (node *Node) Self() fleet.Member { return node.self }

// State returns the state to be saved.
func (node *Node) State() DurableState { return node.state }

// View returns the newest view that is known to be decided.
func (node *Node) View() View { return node.state.View }

// Peers returns the members to keep in contact with: those heard lately, all other members of the view, and the seeds
// from whose address no member is known. A member of the view is included however long it has been silent: two that had
// both forgotten each other would stay silent for ever once the link between them is back.
func (node *Node) Peers(now Time) []fleet.Member {
	var peers []fleet.Member
	for _, p := range node.peers {
		if now-p.lastHeard < forgetTimeout || node.isMember(p.ID) {
			peers = append(peers, p.Member)
		}
	}
	for _, m := range node.state.View.Members() {
		if node.peers[m.ID] == nil && m.ID != node.self.ID {
			peers = append(peers, m)
		}
	}
	for _, addr := range node.seeds {
		if addr != node.self.Addr && indexOfAddr(peers, addr) < 0 {
			peers = append(peers, fleet.Member{Addr: addr})
		}
	}
	slices.SortFunc(peers, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Addr, b.Addr))
	})
	return peers
}

// KnownMember returns the member with an identity as it last described itself, if it is known.
func (node *Node) KnownMember(id string) (fleet.Member, bool) {
	if p := node.peers[id]; p != nil {
		return p.Member, true
	}
	return fleet.Member{}, false
}

// SetSeeds replaces the seeds given to New.
func (node *Node) SetSeeds(addrs []string) { node.seeds = addrs }

// SetDiskUnhealthy sets whether the node's disk fails to take writes. An unhealthy node leaves the chain.
func (node *Node) SetDiskUnhealthy(unhealthy bool) { node.diskUnhealthy = unhealthy }

// SetCommittedView sets the last view in which a commit was seen: by then each member of its chain was synced.
func (node *Node) SetCommittedView(number uint64) { node.committedView = number }

// SetSyncedView sets the last view in which this node was synced by its predecessor, or whose head it was, once the
// register is on its disk.
func (node *Node) SetSyncedView(number uint64) { node.syncedView = number }

// isMember reports whether the identity belongs to a voter or a learner of the view.
func (node *Node) isMember(id string) bool {
	return node.state.View.HasVoter(id) || node.state.View.HasLearner(id)
}

func (node *Node) send(to fleet.Member, m Message, afterSave bool) {
	m.From = node.self
	node.outbound = append(node.outbound, Outbound{To: to, Message: m, AfterSave: afterSave})
}

// sendDecided tells a member the newest view that is known to be decided.
func (node *Node) sendDecided(to fleet.Member) {
	view := node.state.View
	node.send(to, Message{Kind: Decided, ViewNumber: view.Number, View: &view}, true)
}

// ready returns what has come up since it was last called.
func (node *Node) ready() Ready {
	ready := Ready{Messages: node.outbound, MustSave: node.stateChanged, ViewInstalled: node.viewInstalled}
	node.outbound, node.stateChanged, node.viewInstalled = nil, false, false
	return ready
}
