// Package coordinator decides what one control-plane member does about the replicated register. It joins the agreement on
// views (package membership), chain replication (package chainreplication), the member's disk and its callers: their
// proposals and their linearizable reads.
//
// The package is free of I/O and of goroutines. Each call says what has happened and returns Actions that say what to do; the
// clock and the random source are passed in. The control-plane server and the simulation drive the same code.
//
// The design, and what each rule protects against, is described in docs/design/control-plane.md.
package coordinator

import (
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// Coordinator is one member's part. Make it with New. Its methods must not be called concurrently; their times are readings of
// one monotonic clock that does not go back.
type Coordinator struct {
	membership  *membership.Node
	chain       *chainreplication.Replica
	persistence persistence

	proposals     map[uint64]*pendingProposal    // by request ID
	reads         map[uint64]*pendingRead        // by request ID
	replications  map[uint64]*pendingReplication // by request ID
	lastRequestID uint64                         // begins with the incarnation, so that no two processes use the same number
	incarnation   uint64                         // of this process; drawn at random at each start, part of its commands' IDs

	acknowledgedVersion uint64 // highest configuration version that this process has acknowledged; for the invariant only

	peerCommitted map[string]uint64 // newest committed sequence that each peer reported, by member ID
	loopback      []Message         // from this member to itself, handled before the current call returns
	actions       Actions           // gathered for the current call
}

// New makes a Coordinator from the state that was on disk. Seeds are addresses of members to contact; random returns numbers
// in [0, 1); hints provides what is kept on disk beside the durable state.
func New(self fleet.Member, state PersistentState, seeds []string, random func() float64, hints Hints) *Coordinator {
	c := &Coordinator{
		membership:    membership.New(self, state.View, seeds, random),
		chain:         chainreplication.New(state.DiskID, state.Register, state.SyncedView),
		persistence:   persistence{hints: hints, hintsRevision: hints.Revision()},
		proposals:     map[uint64]*pendingProposal{},
		reads:         map[uint64]*pendingRead{},
		replications:  map[uint64]*pendingReplication{},
		peerCommitted: map[string]uint64{},
	}
	c.incarnation = uint64(random() * (1 << 53))
	// Requests are numbered from the incarnation on: an answer to a request of a former process, which waited for a disk or in a
	// frozen machine, is then no answer to any of this one's.
	c.lastRequestID = c.incarnation
	return c
}

// Start installs the view that was on disk. It is called once, before any other method that returns Actions.
func (c *Coordinator) Start(now time.Duration) Actions {
	if c.membership.View().Number > 0 {
		c.installView(now)
	}
	return c.takeActions(now)
}

// Tick lets time pass: heartbeats, retries and deadlines. It is called every hundred milliseconds or so.
func (c *Coordinator) Tick(now time.Duration) Actions {
	if c.persistence.isWriteSlow(now) {
		c.setDiskUnhealthy(true, diskSlow)
	}
	if c.chain.ChainSynced() {
		c.membership.SetCommittedView(c.chain.CommittedView())
	}
	if c.persistence.isPersisted() {
		c.membership.SetSyncedView(c.chain.SyncedView())
	}
	c.applyMembershipReady(now, c.membership.Tick(now))
	c.applyChainReady(c.chain.Tick(now))
	return c.takeActions(now)
}

// Step takes in a message from another member.
func (c *Coordinator) Step(now time.Duration, from fleet.Member, message Message) Actions {
	c.dispatch(now, from, message)
	return c.takeActions(now)
}

// Self returns this member.
func (c *Coordinator) Self() fleet.Member { return c.membership.Self() }

// View returns the newest view known to be decided.
func (c *Coordinator) View() membership.View { return c.membership.View() }

// Register returns the newest register known to be committed, and whether there is one.
func (c *Coordinator) Register() (chainreplication.Register, bool) { return c.chain.Committed() }

// HasQuorumContact reports whether this member is a voter and in contact with a quorum. A member without must refuse its
// callers at once.
func (c *Coordinator) HasQuorumContact(now time.Duration) bool {
	return c.membership.HasQuorumContact(now)
}

// DiskUnhealthy reports whether this member's disk fails to take writes.
func (c *Coordinator) DiskUnhealthy() bool { return c.persistence.diskUnhealthy }

// Peers lists the other members, by ID.
func (c *Coordinator) Peers(now time.Duration) []fleet.Member { return c.membership.Peers(now) }

// IsReachable reports whether heartbeats arrive in both directions between this member and the one of an ID.
func (c *Coordinator) IsReachable(now time.Duration, id string) bool {
	return c.membership.IsReachable(now, id)
}

// SetSeeds replaces the addresses at which other members may be found.
func (c *Coordinator) SetSeeds(addresses []string) { c.membership.SetSeeds(addresses) }

// ResetContact makes all contact with other members be established anew. The caller calls it where this machine's monotonic
// clock may have stopped while the machine was suspended.
func (c *Coordinator) ResetContact(now time.Duration) { c.membership.ResetContact(now) }
