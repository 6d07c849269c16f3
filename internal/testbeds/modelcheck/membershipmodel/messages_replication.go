package membershipmodel

import "fmt"

// forwardAndCommit lets every member forward its register and the tail acknowledge it, and reports whether that changed the node.
// Doing so immediately excludes no other behavior, as sent messages remain deliverable, and an earlier acknowledgement only
// makes the invariants stricter.
func (model *messageModel) forwardAndCommit(n *node) bool {
	changed := false
	for i := range model.bounds.Members {
		m := &n.state.members[i]
		position := m.view.position(i)
		if position < 0 || !m.hasOwnDisk(i) {
			continue
		}
		register, syncedView := m.disk, m.syncedView
		if model.fault == AckBeforeSync {
			register, syncedView = m.memory, m.memorySyncedView
		}
		if syncedView != m.view.number {
			continue
		}
		if position+1 < m.view.length() {
			before := len(n.sent)
			model.send(n, message{kind: forward, viewNumber: m.view.number, from: int8(i), slots: register})
			changed = changed || len(n.sent) > before
			continue
		}
		changed = n.acknowledge(i, m.view.number, register) || changed
	}
	return changed
}

// acknowledge lets the tail of a view acknowledge its register and reports whether that acknowledges anything new. Each
// acknowledgement must include everything acknowledged before.
func (n *node) acknowledge(tail int, viewNumber uint8, acknowledged slots) bool {
	old := n.state.committed
	known := acknowledged == old && n.state.committedView >= viewNumber
	ofOlderView := acknowledged.length() < old.length() && viewNumber <= n.state.committedView && (acknowledged[0] == 0 || acknowledged[0] == old[0])
	if known || ofOlderView {
		return false
	}
	for i := range old {
		if old[i] != 0 && acknowledged[i] != old[i] && n.violation == "" {
			n.violation = fmt.Sprintf("sequence %d was acknowledged as entry %d; the tail %d of view %d acknowledges entry %d",
				i+1, old[i], tail, viewNumber, acknowledged[i])
		}
	}
	n.state.committed, n.state.committedView = acknowledged, max(n.state.committedView, viewNumber)
	return true
}

// syncOrKill emits the steps in which a member's memory is written to disk, or is lost by a kill.
func (model *messageModel) syncOrKill(n *node, i int) {
	m := &n.state.members[i]
	if m.memory == m.disk && m.memorySyncedView == m.syncedView {
		return
	}
	synced := n.clone()
	synced.state.members[i].disk, synced.state.members[i].syncedView = m.memory, m.memorySyncedView
	model.emit(synced, "%d syncs", i)
	killed := n.clone()
	killed.state.members[i].memory, killed.state.members[i].memorySyncedView = m.disk, m.syncedView
	model.emit(killed, "%d is killed before it syncs", i)
}

// syncImmediately writes a member's memory to disk in the same step. As nothing is sent before the write, a kill between the two is
// equivalent to not having received the message.
func (model *messageModel) syncImmediately(m *member) {
	if model.fault != AckBeforeSync {
		m.disk, m.syncedView = m.memory, m.memorySyncedView
	}
}

func (model *messageModel) loseDisk(n *node, i int) {
	if n.state.diskLosses >= uint8(model.bounds.DiskLosses) || !model.allSynced(n) {
		return
	}
	next := n.clone()
	next.state.diskLosses++
	m := &next.state.members[i]
	if model.fault == WipedMemberVotes {
		all := model.bounds.Members
		*m = member{incarnation: m.incarnation, view: view{number: firstView, chain: inOrder(all), voters: firstMembers(all)}}
	} else {
		*m = member{incarnation: m.incarnation + 1, view: view{chain: inOrder(0)}}
	}
	model.emit(next, "%d loses its disk", i)
}

// allSynced reports whether all members are synced in the chain of one view, with the disks that they had when the view was
// decided. Disks are lost only in this state.
func (model *messageModel) allSynced(n *node) bool {
	for i := range model.bounds.Members {
		m := &n.state.members[i]
		inView := m.view.number == n.state.members[0].view.number && m.view.position(i) >= 0 && m.hasOwnDisk(i)
		if !inView || m.syncedView != m.view.number || m.disk.length() < n.state.committed.length() {
			return false
		}
	}
	return true
}

// appendCommand emits the step in which the head appends a command.
func (model *messageModel) appendCommand(n *node, i int) {
	m := &n.state.members[i]
	isHead := m.view.position(i) == 0 && m.hasOwnDisk(i)
	if !isHead || n.state.commands >= uint8(model.bounds.Commands) || m.memory.length() >= len(m.memory) {
		return
	}
	next := n.clone()
	next.state.commands++
	head := &next.state.members[i]
	head.memory[m.memory.length()] = entry(m.view.number, next.state.commands)
	head.memorySyncedView = m.view.number
	model.syncImmediately(head)
	model.emit(next, "command %d is appended by %d in view %d", next.state.commands, i, m.view.number)
}

// handleForward emits the step in which a member accepts the register of its predecessor in the chain.
func (model *messageModel) handleForward(n *node, i int, m message) {
	receiver := &n.state.members[i]
	position := receiver.view.position(i)
	if position < 1 || !receiver.hasOwnDisk(i) {
		return
	}
	fromPredecessor := m.viewNumber == receiver.view.number && receiver.view.chain[position-1] == m.from
	if !fromPredecessor && model.fault != ViewNumberIgnored {
		return
	}
	if receiver.memorySyncedView == receiver.view.number && m.slots.length() <= receiver.memory.length() {
		return
	}
	next := n.clone()
	changed := &next.state.members[i]
	changed.memory, changed.memorySyncedView = m.slots, receiver.view.number
	model.syncImmediately(changed)
	model.emit(next, "%d accepts the register of view %d from %d", i, m.viewNumber, m.from)
}
