package membership

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// This file implements failure detection. A false suspicion causes an unnecessary view change but is otherwise harmless.

const (
	// suspectTimeout is the time without heartbeats after which a peer is suspected to have failed.
	suspectTimeout = 800 * time.Millisecond

	// forgetTimeout is the time without heartbeats after which a peer that is not a member of the view is removed.
	forgetTimeout = 20 * time.Second
)

// peer is the state of another member, or of a machine that may become one.
type peer struct {
	fleet.Member
	lastHeartbeat  Time
	connectedSince Time // Start of the current period of uninterrupted reachability.
	receivesFromUs bool
	echoes         map[string]ClockReading // Members whose heartbeats the peer receives, by ID.
	syncedView     uint64
	leaving        bool

	diskUnhealthy      bool
	diskUnhealthySince Time

	clock          clockEstimate
	lastEchoedSend Time // When the latest echoed reading of this node's clock was sent; 0 if there is none.
}

// IsReachable reports whether heartbeats between this node and a member arrive in both directions.
func (node *Node) IsReachable(now Time, id string) bool {
	p := node.peers[id]
	return p != nil && !p.isSilent(now) && p.receivesFromUs
}

// IsSynced reports whether a member has reported that it was synced, and has persisted its register, in the view with the
// given number. Such a member has all acknowledged commands.
func (node *Node) IsSynced(id string, number uint64) bool { return node.syncedViewOf(id) == number }

// Leave starts a graceful shutdown: the other members are asked to replace this node.
func (node *Node) Leave() { node.leaving = true }

// IsLeaving reports whether Leave was called.
func (node *Node) IsLeaving() bool { return node.leaving }

// HasNoSuccessor reports whether no voter can take over from this node: there is no other voter, or at least one is reachable
// and all reachable ones are leaving too.
func (node *Node) HasNoSuccessor(now Time) bool {
	reachable := 0
	for _, voter := range node.state.View.Voters {
		if !node.IsReachable(now, voter.ID) {
			continue
		}
		reachable++
		if !node.peers[voter.ID].leaving {
			return false
		}
	}
	return reachable > 0 || len(node.state.View.Voters) <= 1
}

func (p *peer) isSilent(now Time) bool { return now-p.lastHeartbeat >= suspectTimeout }

// isHealthy reports whether a member, or this node, is reachable and its disk is healthy.
func (node *Node) isHealthy(now Time, id string) bool {
	if id == node.self.ID {
		return !node.diskUnhealthy
	}
	return node.IsReachable(now, id) && !node.peers[id].diskUnhealthy
}

// isLinkedToAll reports whether a healthy member and each member of a chain receive each other's heartbeats, according to
// their reports. The chain requires links between all of its members: registers are forwarded between neighbors, commands
// are sent to the head, and the tail sends commits to all members.
func (node *Node) isLinkedToAll(id string, chain []string) bool {
	for _, other := range chain {
		if !node.reportsReceiving(other, id) || !node.reportsReceiving(id, other) {
			return false
		}
	}
	return true
}

// reportsReceiving reports whether a healthy member has reported that it receives the heartbeats of another. It is always true
// for this node as the listener, because a member whose heartbeats do not arrive is not healthy.
func (node *Node) reportsReceiving(receiver, sender string) bool {
	if receiver == node.self.ID {
		return true
	}
	_, receives := node.peers[receiver].echoes[sender]
	return receives
}

// unavailableFor returns how long a member has been known to be silent or to have an unhealthy disk.
func (node *Node) unavailableFor(now Time, id string) Time {
	p := node.peers[id]
	switch {
	case p == nil:
		return now - node.observingSince
	case p.diskUnhealthy && node.IsReachable(now, id):
		return now - max(p.diskUnhealthySince, node.observingSince)
	}
	return now - max(p.lastHeartbeat, node.observingSince)
}

// isPeerLeaving reports whether a member, or this node, is leaving.
func (node *Node) isPeerLeaving(id string) bool {
	if id == node.self.ID {
		return node.leaving
	}
	p := node.peers[id]
	return p != nil && p.leaving
}

// syncedViewOf returns the last view in which a member, or this node, is known to have been synced.
func (node *Node) syncedViewOf(id string) uint64 {
	if p := node.peers[id]; p != nil {
		return p.syncedView
	}
	if id == node.self.ID {
		return node.syncedView
	}
	return 0
}

// restartObservation restarts the observation of other members, because this node could not receive messages until now.
func (node *Node) restartObservation(now Time) {
	node.observingSince, node.changeNeededSince = now, 0
}

// forgetSilentPeers removes peers that are not members of the view and have been silent for forgetTimeout.
func (node *Node) forgetSilentPeers(now Time) {
	for id, p := range node.peers {
		if now-p.lastHeartbeat > forgetTimeout && !node.isMember(id) {
			delete(node.peers, id)
		}
	}
}
