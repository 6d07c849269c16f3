package membership

import (
	"time"

	"zincloft.example/zincloft/fleet"
)

// This file judges by arrivals which other members have failed. A mistake here costs a view change and nothing else.

const (
	// suspectTimeout is how long a peer may be silent before it is suspected to have failed.
	suspectTimeout = 800 * time.Millisecond

	// forgetTimeout is how long a peer that is not a member of the view may be silent before it is forgotten.
	forgetTimeout = 20 * time.Second
)

// peer is what this node knows of another member, or of a machine that may become one.
type peer struct {
	fleet.Member
	lastHeard      Time
	connectedSince Time // Reachable without a gap since.
	hearsUs        bool
	echoes         map[string]ClockReading // Whom it hears.
	syncedView     uint64
	leaving        bool

	diskUnhealthy      bool
	diskUnhealthySince Time

	clock          clockEstimate
	lastEchoedSend Time // When the newest reading of our clock that it has echoed was sent; 0: none was.
}

// IsReachable reports whether a member was heard lately and hears this node.
func (node *Node) IsReachable(now Time, id string) bool {
	p := node.peers[id]
	return p != nil && !p.isSilent(now) && p.hearsUs
}

// IsSynced reports whether a member has said that it was synced in the numbered view, on its disk: then it holds
// everything that was acknowledged.
func (node *Node) IsSynced(id string, number uint64) bool { return node.syncedViewOf(id) == number }

// Leave begins a graceful shutdown: the other members are asked to do without this node.
func (node *Node) Leave() { node.leaving = true }

// IsLeaving reports whether Leave was called.
func (node *Node) IsLeaving() bool { return node.leaving }

// HasNoSuccessor reports whether there is nobody to hand over to: every other voter that is reachable is leaving too, or
// there is no other voter.
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

func (p *peer) isSilent(now Time) bool { return now-p.lastHeard >= suspectTimeout }

// isHealthy reports whether a member, or this node, is reachable and its disk takes writes.
func (node *Node) isHealthy(now Time, id string) bool {
	if id == node.self.ID {
		return !node.diskUnhealthy
	}
	return node.IsReachable(now, id) && !node.peers[id].diskUnhealthy
}

// isLinkedToAll reports whether a healthy member and each one of a chain hear each other, as far as they have said. Where
// the link between two is cut, even in one direction, one of them must stay out though the others hear both: registers
// are forwarded from neighbour to neighbour, commands go to the head, and the tail's commits to all.
func (node *Node) isLinkedToAll(id string, chain []string) bool {
	for _, other := range chain {
		if !node.reportedHearing(other, id) || !node.reportedHearing(id, other) {
			return false
		}
	}
	return true
}

// reportedHearing reports whether one healthy member has said that it hears another. This node's own hearing is part of
// the other's health.
func (node *Node) reportedHearing(listener, speaker string) bool {
	if listener == node.self.ID {
		return true
	}
	_, hears := node.peers[listener].echoes[speaker]
	return hears
}

// absentFor returns how long a member has been silent, or heard with an unhealthy disk, as far as this node can tell.
func (node *Node) absentFor(now Time, id string) Time {
	p := node.peers[id]
	switch {
	case p == nil:
		return now - node.observingSince
	case p.diskUnhealthy && node.IsReachable(now, id):
		return now - max(p.diskUnhealthySince, node.observingSince)
	}
	return now - max(p.lastHeard, node.observingSince)
}

// isPeerLeaving reports whether a member, or this node, is shutting down gracefully.
func (node *Node) isPeerLeaving(id string) bool {
	if id == node.self.ID {
		return node.leaving
	}
	p := node.peers[id]
	return p != nil && p.leaving
}

// syncedViewOf returns the last view in which a member, or this node, was synced, as far as is known.
func (node *Node) syncedViewOf(id string) uint64 {
	if p := node.peers[id]; p != nil {
		return p.syncedView
	}
	if id == node.self.ID {
		return node.syncedView
	}
	return 0
}

// restartObservation disregards the silence so far: before now, this node could not have heard anybody.
func (node *Node) restartObservation(now Time) {
	node.observingSince, node.changeWantedSince = now, 0
}

// forgetSilentPeers drops peers that are not members of the view and have been silent for long.
func (node *Node) forgetSilentPeers(now Time) {
	for id, p := range node.peers {
		if now-p.lastHeard > forgetTimeout && !node.isMember(id) {
			delete(node.peers, id)
		}
	}
}
