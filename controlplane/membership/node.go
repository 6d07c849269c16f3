package membership

import (
	"cmp"
	"slices"
	"time"

	"zincloft.example/zincloft/fleet"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

const (
	// HeartbeatInterval is the interval between heartbeats to all peers.
	HeartbeatInterval = 200 * time.Millisecond

	// maxTickGap is the maximum time between two ticks of a running node. A longer gap means that this node was stalled, so
	// missing heartbeats do not indicate failed peers.
	maxTickGap = 400 * time.Millisecond
)

// neverTicked is the initial value of Node.lastTick.
const neverTicked Time = -1

// DurableState must be on stable storage before any message that depends on it is sent. The ballots and the accepted view
// belong to the agreement on view View.Number+1.
type DurableState struct {
	View           View   `cbor:"1,keyasint"`
	PromisedBallot Ballot `cbor:"2,keyasint"`
	AcceptedBallot Ballot `cbor:"3,keyasint"`
	AcceptedView   *View  `cbor:"4,keyasint,omitempty"`
}

// Ready describes the work that the caller has to do after a call: save the state, then send the messages. Messages without
// AfterSave may be sent before the state is saved.
type Ready struct {
	Messages      []Outbound
	MustSave      bool // State has changed.
	ViewInstalled bool // View has changed.
}

// Node is the membership state of one member. Create it with New. A Node is not safe for concurrent use.
type Node struct {
	self        fleet.Member
	incarnation uint64 // Incarnation of this node's clock; drawn at random at each start.
	random      func() float64
	seeds       []string
	tolerance   FaultTolerance

	state         DurableState
	peers         map[string]*peer // By ID.
	diskUnhealthy bool
	leaving       bool
	committedView uint64 // Last view in which a commit was observed.
	syncedView    uint64 // Last view in which this node was synced.

	lastTick          Time
	nextHeartbeat     Time
	observingSince    Time // First tick, or first tick after a stall. Peers are not considered silent before.
	changeNeededSince Time // 0 if no view change is necessary.
	clockStalled      bool

	proposal     proposal
	highestRound uint64 // Highest round used or seen in the agreement on the next view.
	backoffUntil Time   // Earliest time of the next proposal.

	outbound      []Outbound
	stateChanged  bool
	viewInstalled bool

	highestInstalled uint64 // Highest view number installed by this process; only checked by an invariant.
}

// New creates a node from its saved state. Heartbeats are sent to the seed addresses until a member at the address is known.
// random returns values in [0, 1).
func New(self fleet.Member, state DurableState, seeds []string, random func() float64) *Node {
	const incarnationBits = 53 // Precision of a float64.
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

// Tick sends heartbeats, detects failures and starts proposals.
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

// Step handles a message from another member.
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

// View returns the latest view known to be decided.
func (node *Node) View() View { return node.state.View }

// Peers returns the members to send heartbeats to: recently heard peers, all other members of the view, and seeds at whose
// address no member is known. Members of the view are included even if they have been silent for long, so that two members
// contact each other again after a long partition.
func (node *Node) Peers(now Time) []fleet.Member {
	var peers []fleet.Member
	for _, p := range node.peers {
		if now-p.lastHeartbeat < forgetTimeout || node.isMember(p.ID) {
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

// KnownMember returns the member with the given ID as it last described itself, and whether it is known.
func (node *Node) KnownMember(id string) (fleet.Member, bool) {
	if p := node.peers[id]; p != nil {
		return p.Member, true
	}
	return fleet.Member{}, false
}

// SetSeeds replaces the seeds passed to New.
func (node *Node) SetSeeds(addrs []string) { node.seeds = addrs }

// SetDiskUnhealthy sets whether the node's disk fails writes or is slow. An unhealthy node is removed from the chain.
func (node *Node) SetDiskUnhealthy(unhealthy bool) { node.diskUnhealthy = unhealthy }

// SetCommittedView sets the last view in which a commit was observed. All members of its chain are synced.
func (node *Node) SetCommittedView(number uint64) { node.committedView = number }

// SetSyncedView sets the last view in which this node was the head or was synced by its predecessor, once its register is
// persisted.
func (node *Node) SetSyncedView(number uint64) { node.syncedView = number }

// isMember reports whether the ID belongs to a voter or a learner of the view.
func (node *Node) isMember(id string) bool {
	return node.state.View.HasVoter(id) || node.state.View.HasLearner(id)
}

func (node *Node) send(to fleet.Member, m Message, afterSave bool) {
	m.From = node.self
	node.outbound = append(node.outbound, Outbound{To: to, Message: m, AfterSave: afterSave})
}

// sendDecided sends the current view to a member.
func (node *Node) sendDecided(to fleet.Member) {
	view := node.state.View
	node.send(to, Message{Kind: Decided, ViewNumber: view.Number, View: &view}, true)
}

// ready returns and clears the work accumulated since the previous call.
func (node *Node) ready() Ready {
	ready := Ready{Messages: node.outbound, MustSave: node.stateChanged, ViewInstalled: node.viewInstalled}
	node.outbound, node.stateChanged, node.viewInstalled = nil, false, false
	return ready
}
