package membershipmodel

import (
	"fmt"
	"math/bits"
	"slices"

	"zincloft.example/zincloft/controlplane/membership"
)

const (
	maxIdentities      = 8
	maxViews           = 8
	maxCommands        = 3
	maxPendingCommands = 4
)

// acceptance is what a machine has accepted in the agreement on the view after its own.
type acceptance uint8

const (
	acceptedNothing    acceptance = iota
	acceptedSuperseded            // A proposal that was replaced by another.
	acceptedCurrent               // The current proposal.
)

type machineStatus uint8

const (
	notStarted machineStatus = iota
	running
	stopped // Its disk is kept.
	lost    // Its disk is lost.
)

type (
	// register holds the applied commands, each as an entry, or 0 for none.
	register [maxCommands]uint8

	// idSet is a bit set of identities.
	idSet uint8

	// configuration is a view. Its number is its index in clusterState.views.
	configuration struct {
		voters   idSet
		unsynced idSet
		chain    [maxIdentities]uint8 // 1 + identity, head first, padded with 0.
	}

	// machine is one identity of a machine. A machine whose disk is lost gets another identity.
	machine struct {
		status      machineStatus
		address     uint8
		leaving     bool
		suspected   bool
		view        uint8
		syncedView  uint8
		register    register
		commitsSeen uint8 // 1 + the number of commands known to be committed in its view, or 0 if it has seen no commit.
		accepted    acceptance
		confirmedBy idSet // Which members notified this one, which is leaving, that they saw a commit in its view.

		// For counting losses (countLost).
		caughtUp       bool // It has caught up since its last fault.
		hadFault       bool // It had a fault and has not caught up since.
		isReplacement  bool // It started while another had departed.
		departed       bool // It has left or is lost, and counts as lost until its replacement has caught up.
		removedAsVoter bool // It is lost and not a voter in a committed view.
	}

	// pendingCommand is a command that has not been answered.
	pendingCommand struct {
		command  uint8
		view     uint8
		sequence uint8 // Answered once this number of commands is committed in the view.
		conflict bool  // Whether the command will be rejected because of a conflict.
	}

	// readRequest is a linearizable read in progress.
	readRequest struct {
		active             bool
		member             uint8
		view               uint8
		registerLength     uint8 // Number of commands in the member's register when the read started.
		acknowledgedLength uint8 // Number of commands acknowledged when the read started.
		confirmedBy        idSet // Voters that know of no later view.
	}

	// clusterState is a state of the model. It must be comparable, as it is hashed.
	clusterState struct {
		machines      [maxIdentities]machine
		started       uint8                       // Number of identities that have started.
		views         [maxViews + 1]configuration // By number. Views older than oldestView are cleared.
		newestView    uint8
		proposal      configuration // The only view that can be decided next, if any.
		superseded    uint8         // Number of proposals that it has replaced.
		committed     register
		committedView uint8
		pending       [maxPendingCommands]pendingCommand
		acknowledged  uint8 // Bit set of commands.
		rejected      uint8 // Bit set of commands.
		submissions   [maxCommands]uint8
		read          readRequest

		// Numbers of events so far, which Scope limits.
		newMachines, losses, diskLosses, kills, suspicions, leaves, rejoins, reads uint8
	}
)

func (s idSet) has(i int) bool { return s&(1<<i) != 0 }
func (s idSet) count() int     { return bits.OnesCount8(uint8(s)) }

// A register entry is 1 + command + viewFactor*view number.
const viewFactor = 4

func newEntry(command int, viewNumber uint8) uint8 {
	return uint8(1 + command + viewFactor*int(viewNumber))
}

func commandOf(entry uint8) int { return int(entry-1) % viewFactor }

func (r register) length() int {
	n := 0
	for n < maxCommands && r[n] != 0 {
		n++
	}
	return n
}

// startsWith reports whether another register is a prefix of this one.
func (r register) startsWith(other register) bool {
	for i, entry := range other {
		if entry != 0 && r[i] != entry {
			return false
		}
	}
	return true
}

func (r register) hasCommand(command int) bool {
	return slices.ContainsFunc(r[:r.length()], func(entry uint8) bool { return commandOf(entry) == command })
}

func (c *configuration) length() int {
	n := 0
	for n < maxIdentities && c.chain[n] != 0 {
		n++
	}
	return n
}

// at returns the identity at a position of the chain.
func (c *configuration) at(position int) int { return int(c.chain[position]) - 1 }

func (c *configuration) position(i int) int { return slices.Index(c.chain[:], uint8(i+1)) }

func (c *configuration) hasInChain(i int) bool { return c.position(i) >= 0 }

func (c *configuration) members() idSet {
	var members idSet
	for _, link := range c.chain {
		if link != 0 {
			members |= 1 << (link - 1)
		}
	}
	return members
}

func (c *configuration) quorum() int { return membership.QuorumOf(c.voters.count()) }

// isNone reports whether the configuration is the zero value, which means no view.
func (c *configuration) isNone() bool { return c.voters == 0 }

func (c configuration) String() string {
	text := "chain"
	for position := range c.length() {
		i := c.at(position)
		text += fmt.Sprintf(" %d", i)
		if c.unsynced.has(i) {
			text += "(unsynced)"
		}
	}
	text += ", voters"
	for i := range maxIdentities {
		if c.voters.has(i) {
			text += fmt.Sprintf(" %d", i)
		}
	}
	return text
}

// isSynced reports whether a machine is synced in its current view.
func (m *machine) isSynced() bool { return m.syncedView == m.view }

// newest returns the newest view.
func (cs *clusterState) newest() *configuration { return &cs.views[cs.newestView] }

// cancelRead cancels the read in progress at a member.
func (cs *clusterState) cancelRead(i int) {
	if cs.read.active && int(cs.read.member) == i {
		cs.read = readRequest{}
	}
}

// initialState returns the initial state of a run, in which one command is acknowledged.
func (model *reconfigurationModel) initialState() *clusterState {
	const firstView, command = 1, 3
	acknowledged := register{newEntry(command, firstView)}
	cs := &clusterState{started: uint8(model.scope.Members), newestView: firstView, committed: acknowledged, committedView: firstView}
	first := cs.newest()
	for i := range model.scope.Members {
		first.voters |= 1 << i
		first.chain[i] = uint8(i + 1)
		cs.machines[i] = machine{
			status:     running,
			address:    uint8(i),
			caughtUp:   true,
			view:       firstView,
			syncedView: firstView,
			register:   acknowledged,
		}
		if model.scope.StartsUnsynced && i > 0 {
			first.unsynced |= 1 << i
		}
	}
	return cs
}
