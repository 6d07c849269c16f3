package membershipmodel

import "fmt"

// forwardAndCommit has every member forward what it holds, and the tail acknowledge it, and reports whether that changed
// the node. Messages stay for ever, so sending them at once excludes no other course of events, and acknowledging early
// only makes promises that are harder to keep.
func (model *messageModel) forwardAndCommit(n *node) bool {
	changed := false
	for i := range model.bounds.Members {
		m := &n.state.members[i]
		position := m.view.position(i)
		if position < 0 || !m.hasOwnDisk(i) {
			continue
		}
		held, syncedView := m.disk, m.syncedView
		if model.fault == AckBeforeSync {
			held, syncedView = m.memory, m.memorySyncedView
		}
		if syncedView != m.view.number {
			continue
		}
		if position+1 < m.view.length() {
			before := len(n.sent)
			model.send(n, message{kind: forward, viewNumber: m.view.number, from: int8(i), slots: held})
			changed = changed || len(n.sent) > before
			continue
		}
		changed = n.acknowledge(i, m.view.number, held) || changed
	}
	return changed
}

// acknowledge has the tail of a view acknowledge what it holds and reports whether anything is acknowledged for the first time. What was acknowledged must
// be in each later acknowledgement.
func (n *node) acknowledge(tail int, viewNumber uint8, held slots) bool {
	old := n.state.committed
	known := held == old && n.state.committedView >= viewNumber
	ofOlderView := held.length() < old.length() && viewNumber <= n.state.committedView && (held[0] == 0 || held[0] == old[0])
	if known || ofOlderView {
		return false
	}
	for i := range old {
		if old[i] != 0 && held[i] != old[i] && n.violation == "" {
			n.violation = fmt.Sprintf("sequence %d was acknowledged as %d; the tail %d of view %d now acknowledges %d",
				i+1, old[i], tail, viewNumber, held[i])
		}
	}
	n.state.committed, n.state.committedView = held, max(n.state.committedView, viewNumber)
	return true
}

// syncOrKill has what a member holds in memory reach its disk, or get lost.
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

// syncAtOnce brings what a member holds to disk. Where nothing is sent before that, being killed between the two is the
// same as not having received the message.
func (model *messageModel) syncAtOnce(m *member) {
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

// allSynced reports whether all members are in the chain of one view, synced and with the disks that they had when it was
// agreed on. Only then may a disk be lost.
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

// enterCommand has the head take a command.
func (model *messageModel) enterCommand(n *node, i int) {
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
	model.syncAtOnce(head)
	model.emit(next, "command %d enters at %d in view %d", next.state.commands, i, m.view.number)
}

// handleForward has a member take the register from its predecessor in the chain.
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
	model.syncAtOnce(changed)
	model.emit(next, "%d takes the register of view %d from %d", i, m.viewNumber, m.from)
}
