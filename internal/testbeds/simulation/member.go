package simulation

import (
	"maps"
	"slices"
	"strings"
	"time"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/internal/daemons/statestore"
)

// stateKey is the key of the member's state in its store.
const stateKey = "state"

// member is a control-plane machine with its process.
type member struct {
	process
	index   int
	address string

	controller *controller.Controller // nil: stopped or not serving yet
	store      *statestore.Store
	disk       *disk

	wipeCount       int  // makes disk IDs unique
	diskLost        bool // its disk was wiped, and it has not caught up since
	wallClockOffset time.Duration

	isSpare      bool // was added at a new address
	shuttingDown bool // has received SIGTERM
	removed      bool // does not restart, unless the fault has an end
	removedAt    time.Duration
	caughtUp     bool // in this incarnation, has been in the chain with all committed state on disk

	newestSequence uint64 // committed sequence number in this incarnation

	pendingCalls map[uint64]func(controller.Response) // by token
	waitingCalls map[uint64]*operatorCall             // operator calls among pendingCalls, by token
	streams      map[uint64]*gatewayNode              // by stream token

	callsInSocket int // calls among pendingCalls that the process has not read yet, because it was paused

	messagesSent   int           // within messagesSecond
	messagesSecond time.Duration // second of simulated time
}

func newMember(index int, name, address string) *member {
	return &member{process: process{name: name, isMember: true}, index: index, address: address, disk: newDisk()}
}

// isHealthy reports whether a member runs and is unaffected by faults.
func (m *member) isHealthy() bool {
	return m.up && !m.shuttingDown && !m.paused && m.controller != nil && !m.isIsolated() && !m.disk.full && !m.disk.failing && !m.disk.stalled
}

// isReachable reports whether a caller can connect to a serving process.
func (m *member) isReachable() bool { return m.up && !m.paused && m.controller != nil }

// wallClockTime returns the wall clock reading of a member.
func (c *cluster) wallClockTime(m *member) time.Duration {
	const start = 1000 * time.Hour
	return start + c.now + m.wallClockOffset
}

// step has a member handle an event and executes the resulting actions.
func (c *cluster) step(m *member, event controller.Event) {
	if m.controller == nil {
		return
	}
	event = c.applyBugToMessage(m, event)
	viewNumber, sequence := m.controller.Coordinator().View().Number, m.newestSequence
	if c.schedule.Tolerance > 0 {
		event.WallClock = c.wallClockTime(m)
	}
	actions := m.controller.Step(c.monotonicTime(&m.process), event)
	c.history.event(c, m, event)
	c.checkMemberBounds(m, len(actions.Write), len(actions.Send))
	c.sendToMembers(m, actions.Send)
	if actions.Write != nil {
		c.persist(m, actions.Write, func(problem string) {
			c.step(m, controller.Event{WriteResult: &controller.WriteResult{Error: problem}})
		})
	}
	if view := m.controller.Coordinator().View(); view.Number != viewNumber {
		c.viewInstalled(m, view)
	}
	if register, known := m.controller.Coordinator().Register(); known && register.Sequence != sequence {
		c.registerCommitted(m, register)
	}
	c.publish(m, actions.Publish)
	c.respond(m, actions.Responses)
	c.closeStreams(m, actions.CloseStreams)
	c.callReplicas(m, actions.Calls)
	if actions.ShutdownComplete {
		c.tracef("%s has shut down", m.name)
		c.stopMember(m, processKilled, noRestart)
	}
}

func (c *cluster) sendToMembers(m *member, messages []controller.Send) {
	for _, outgoing := range messages {
		to := c.memberByAddress[outgoing.To]
		if to == nil || to == m {
			continue
		}
		from, message := m.controller.Coordinator().Self(), outgoing.Message
		c.send(&m.process, &to.process, c.schedule.LossRate, c.schedule.ReorderRate, func() {
			c.step(to, controller.Event{From: &from, Message: &message})
		})
	}
}

// respond delivers responses to pending calls.
func (c *cluster) respond(m *member, responses []controller.Response) {
	for _, response := range responses {
		c.history.response(c, m, response)
		if receive := m.pendingCalls[response.Token]; receive != nil {
			delete(m.pendingCalls, response.Token)
			delete(m.waitingCalls, response.Token)
			receive(response)
		}
	}
}

// viewInstalled records that a member has installed a new view.
func (c *cluster) viewInstalled(m *member, view membership.View) {
	c.injectViewTriggered(view)
	c.injectOnViewChange()
	c.result.NewestView = max(c.result.NewestView, view.Number)
	c.tracef("%s installed view %d: chain %s", m.name, view.Number, strings.Join(view.Chain, " > "))
	for _, i := range slices.Sorted(maps.Keys(c.unavailableSince)) { // sorted for determinism
		at := c.unavailableSince[i]
		if i != m.index && !c.members[i].hasIDIn(view.Chain) {
			c.result.ViewRepairTimes = append(c.result.ViewRepairTimes, c.now-at)
			delete(c.unavailableSince, i)
		}
	}
}

// hasIDIn reports whether one of the IDs belongs to this member, with any disk.
func (m *member) hasIDIn(ids []string) bool {
	for _, id := range ids {
		if strings.HasPrefix(id, m.address+"/") {
			return true
		}
	}
	return false
}
