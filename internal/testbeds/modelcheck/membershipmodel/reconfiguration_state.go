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

// acceptance says what a machine has accepted in the agreement on the view after its own.
type acceptance uint8

const (
	acceptedNothing    acceptance = iota
	acceptedSuperseded            // A value that was replaced by another.
	acceptedLive                  // The value in force.
)

// machineStatus says whether a machine runs.
type machineStatus uint8

const (
	notStarted machineStatus = iota
	running
	stopped // Its disk is kept.
	lost    // Its disk is lost.
)

type (
	// register lists the commands taken, each as 1 + its index + viewFactor times the view that it entered in; 0: none.
	register [maxCommands]uint8

	// idSet has a bit for each identity.
	idSet uint8

	// configuration is a view. Its number is its index in world.views.
	configuration struct {
		voters   idSet
		unsynced idSet
		chain    [maxIdentities]uint8 // 1 + identity, head first; 0: none.
	}

	// machine is one identity: a machine with the disk that it started with.
	machine struct {
		status      machineStatus
		address     uint8
		leaving     bool
		suspected   bool
		view        uint8
		syncedView  uint8
		held        register
		commitsSeen uint8 // 1 + how many commands it knows to be committed in its view; 0: it has seen no commit.
		accepted    acceptance
		confirmedBy idSet // Which members notified this one, which is leaving, that they saw a commit in its view.

		// For counting losses (countLost).
		caughtUp      bool // It has caught up since its last fault.
		hadFault      bool // It has had a fault, and has not caught up since.
		isReplacement bool // It started while another had departed.
		departed      bool // It has left or is lost, and counts as lost until a successor has caught up.
		votedOut      bool // It is lost, and no voter in a committed view.
	}

	// pendingCommand is a command that waits for its answer at whoever has forwarded it.
	pendingCommand struct {
		command  uint8
		view     uint8
		sequence uint8 // The answer is given once so many commands are committed in that view.
		conflict bool  // The answer is that the command conflicts.
	}

	// readRequest is a linearizable read under way.
	readRequest struct {
		active             bool
		member             uint8
		view               uint8
		heldLength         uint8 // Commands held by the member when it was asked.
		acknowledgedLength uint8 // Commands acknowledged by then.
		confirmedBy        idSet // Who knew of no later view.
	}

	// world is a state of the model.
	world struct {
		machines      [maxIdentities]machine
		started       uint8                       // How many machines have started.
		views         [maxViews + 1]configuration // By number; those that nobody holds any more are cleared.
		newestView    uint8
		proposal      configuration // The only value that may be decided next, if any.
		superseded    uint8         // How many values it has replaced.
		committed     register
		committedView uint8
		pending       [maxPendingCommands]pendingCommand
		acknowledged  uint8 // A bit for each command.
		rejected      uint8 // A bit for each command.
		submissions   [maxCommands]uint8
		read          readRequest

		// How often it has happened so far.
		newcomers, losses, wipes, kills, suspicions, leaves, returns, reads uint8
	}
)

func (s idSet) has(i int) bool { return s&(1<<i) != 0 }
func (s idSet) count() int     { return bits.OnesCount8(uint8(s)) }

const viewFactor = 4 // Of a view's number in an entry of a register.

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

// startsWith reports whether the register's first entries are those of another.
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

// isNone reports whether this stands for no view.
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

// isSynced reports whether a machine is synced in its view.
func (m *machine) isSynced() bool { return m.syncedView == m.view }

// newest returns the newest view.
func (w *world) newest() *configuration { return &w.views[w.newestView] }

// cancelRead ends a read that its member cannot answer any more.
func (w *world) cancelRead(i int) {
	if w.read.active && int(w.read.member) == i {
		w.read = readRequest{}
	}
}

// initialWorld returns the state in which a run begins: one command is acknowledged.
func (model *reconfigurationModel) initialWorld() *world {
	const firstView, command = 1, 3
	acknowledged := register{newEntry(command, firstView)}
	w := &world{started: uint8(model.scope.Members), newestView: firstView, committed: acknowledged, committedView: firstView}
	first := w.newest()
	for i := range model.scope.Members {
		first.voters |= 1 << i
		first.chain[i] = uint8(i + 1)
		w.machines[i] = machine{
			status:     running,
			address:    uint8(i),
			caughtUp:   true,
			view:       firstView,
			syncedView: firstView,
			held:       acknowledged,
		}
		if model.scope.StartsUnsynced && i > 0 {
			first.unsynced |= 1 << i
		}
	}
	return w
}
