// Package coordinator implements the protocol logic of one control-plane member. It combines view agreement (package
// membership), chain replication (package chainreplication) and the persistence of their state, and serves proposals and
// linearizable reads.
//
// The package performs no I/O and starts no goroutines. Each call reports an event and returns the Actions that the caller
// has to perform; the clock and the random source are passed in. The control-plane server and the simulation run the same
// code.
//
// The design and the failures that each rule guards against are described in docs/design/control-plane.md.
package coordinator

import (
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/fleet"
)

// Coordinator is the protocol state of one member. Create it with New. A Coordinator is not safe for concurrent use. All
// times passed to its methods are readings of one monotonic clock.
type Coordinator struct {
	membership  *membership.Node
	chain       *chainreplication.Replica
	persistence persistence

	proposals     map[uint64]*pendingProposal    // by request ID
	reads         map[uint64]*pendingRead        // by request ID
	replications  map[uint64]*pendingReplication // by request ID
	lastRequestID uint64                         // starts at the incarnation, so that IDs are unique across restarts
	incarnation   uint64                         // drawn at random at each start; part of the IDs of its commands

	acknowledgedVersion uint64 // highest configuration version acknowledged by this process; only checked by an invariant

	peerCommitted map[string]uint64 // latest committed sequence reported by each peer, by member ID
	loopback      []Message         // messages from this member to itself, handled before the current call returns
	actions       Actions           // collected during the current call
}

// New creates a Coordinator from the persisted state. seeds are the addresses of members to contact, random returns numbers
// in [0, 1), and hints provides the hints to be persisted along with the durable state.
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
	// Request IDs start at the incarnation, so that delayed responses to requests of an earlier process are not matched
	// with requests of this one.
	c.lastRequestID = c.incarnation
	return c
}

// Start installs the persisted view. It is called once, before any other method that returns Actions.
func (c *Coordinator) Start(now time.Duration) Actions {
	if c.membership.View().Number > 0 {
		c.installView(now)
	}
	return c.takeActions(now)
}

// Tick processes heartbeats, retries and deadlines. It should be called about every 100 ms.
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

// Step handles a message from another member.
func (c *Coordinator) Step(now time.Duration, from fleet.Member, message Message) Actions {
	c.dispatch(now, from, message)
	return c.takeActions(now)
}

// Self returns this member.
func (c *Coordinator) Self() fleet.Member { return c.membership.Self() }

// View returns the latest view known to be decided.
func (c *Coordinator) View() membership.View { return c.membership.View() }

// Register returns the latest register known to be committed, and whether there is one.
func (c *Coordinator) Register() (chainreplication.Register, bool) { return c.chain.Committed() }

// HasQuorumContact reports whether this member is a voter and in contact with a quorum. A member without quorum contact
// must reject requests immediately.
func (c *Coordinator) HasQuorumContact(now time.Duration) bool {
	return c.membership.HasQuorumContact(now)
}

// DiskUnhealthy reports whether this member's disk fails writes or is slow.
func (c *Coordinator) DiskUnhealthy() bool { return c.persistence.diskUnhealthy }

// Peers returns the other members, ordered by ID.
func (c *Coordinator) Peers(now time.Duration) []fleet.Member { return c.membership.Peers(now) }

// IsReachable reports whether heartbeats between this member and the given one arrive in both directions.
func (c *Coordinator) IsReachable(now time.Duration, id string) bool {
	return c.membership.IsReachable(now, id)
}

// SetSeeds replaces the addresses of the members to contact.
func (c *Coordinator) SetSeeds(addresses []string) { c.membership.SetSeeds(addresses) }

// SetFaultTolerance sets what the deployment may lose at the same time.
func (c *Coordinator) SetFaultTolerance(tolerance membership.FaultTolerance) {
	c.membership.SetFaultTolerance(tolerance)
}

// ResetContact discards all contact with other members, which then has to be established again. It must be called when the
// monotonic clock may have stopped because the machine was suspended.
func (c *Coordinator) ResetContact(now time.Duration) { c.membership.ResetContact(now) }
