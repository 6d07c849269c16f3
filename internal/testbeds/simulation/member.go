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

// stateKey is the key under which a member's store keeps its state.
const stateKey = "state"

// member is a machine of the control plane with its process.
type member struct {
	process
	index   int
	address string

	controller *controller.Controller // nil: down, or not serving yet
	store      *statestore.Store
	disk       *disk

	wipeCount       int           // makes the IDs of the disks distinct
	wallClockOffset time.Duration // of its time of day

	isSpare      bool // came at a new address
	shuttingDown bool // was sent SIGTERM
	removed      bool // and does not come back unless its fault says so
	removedAt    time.Duration
	caughtUp     bool // in this incarnation: is in the chain and has on disk what was committed

	newestSequence uint64 // newest committed number in this incarnation

	pendingCalls map[uint64]func(controller.Response) // by token
	waitingCalls map[uint64]*operatorCall             // those of operators among them
	streams      map[uint64]*gatewayNode              // by the stream's token

	messagesSent   int           // in the second at hand
	messagesSecond time.Duration // that second
}

func newMember(index int, name, address string) *member {
	return &member{process: process{name: name, isMember: true}, index: index, address: address, disk: newDisk()}
}

// isHealthy reports whether a member runs and nothing acts on it.
func (m *member) isHealthy() bool {
	return m.up && !m.shuttingDown && !m.paused && m.controller != nil && !m.isIsolated() && !m.disk.full && !m.disk.failing && !m.disk.stalled
}

// isReachable reports whether a caller that connects reaches a process that serves.
func (m *member) isReachable() bool { return m.up && !m.paused && m.controller != nil }

// wallClockTime is the time of day at a member.
func (c *cluster) wallClockTime(m *member) time.Duration {
	const start = 1000 * time.Hour
	return start + c.now + m.wallClockOffset
}

// step has a member decide on an event and carries out its actions.
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
	if actions.ShutdownComplete {
		c.tracef("%s has left", m.name)
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

// respond answers calls that wait at a member.
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

// viewInstalled notes that a member has a new view.
func (c *cluster) viewInstalled(m *member, view membership.View) {
	c.injectViewTriggered(view)
	c.injectOnViewChange()
	c.result.NewestView = max(c.result.NewestView, view.Number)
	c.tracef("%s is in view %d: chain %s", m.name, view.Number, strings.Join(view.Chain, " > "))
	for _, i := range slices.Sorted(maps.Keys(c.unavailableSince)) { // in order, so that the same schedule always has the same result
		at := c.unavailableSince[i]
		if i != m.index && !c.members[i].hasIDIn(view.Chain) {
			c.result.ViewRepairTimes = append(c.result.ViewRepairTimes, c.now-at)
			delete(c.unavailableSince, i)
		}
	}
}

// isAmong reports whether one of some IDs is of this member, with whichever disk.
func (m *member) hasIDIn(ids []string) bool {
	for _, id := range ids {
		if strings.HasPrefix(id, m.address+"/") {
			return true
		}
	}
	return false
}
