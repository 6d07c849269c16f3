package membershipmodel

// expandReplication is the chain's part.
func (model *reconfigurationModel) expandReplication(w *world, i int) {
	m := &w.machines[i]
	if m.view == 0 {
		return
	}
	position := w.views[m.view].position(i)
	switch {
	case position == 0:
		model.expandSubmissions(w, i)
	case position > 0:
		model.expandForward(w, i, position)
	}
	if position >= 0 || m.leaving {
		model.expandCommit(w, i)
	}
}

// expandSubmissions has commands reach a head, each up to twice.
func (model *reconfigurationModel) expandSubmissions(w *world, head int) {
	const maxSubmissionsEach = 2
	total := 0
	for _, count := range w.submissions {
		total += int(count)
	}
	if total >= model.scope.Submissions {
		return
	}
	for command := range model.scope.Commands {
		if w.submissions[command] < maxSubmissionsEach {
			model.submit(w, head, command)
		}
	}
}

// submit has a command reach a head. This states the outcome of chainreplication.Register.Apply and ConflictsWith for three
// commands, of which the first two claim one version: taken, known already, or in conflict.
func (model *reconfigurationModel) submit(w *world, head, command int) {
	next := *w
	m := &next.machines[head]
	next.submissions[command]++
	pending := pendingCommand{command: uint8(command), view: m.view}
	length := m.held.length()
	switch {
	case m.held.hasCommand(command) && model.fault != CommandAppliedTwice:
	case hasRival(command) && m.held.hasCommand(rivalOf(command)):
		pending.conflict = model.fault != ConflictAcknowledged
	case length < maxCommands:
		m.held[length] = newEntry(command, m.view)
	default:
		return
	}
	pending.sequence = uint8(m.held.length())
	if pending.conflict && model.fault == ConflictReportedEarly {
		pending.sequence = 0
		model.answerCommand(&next, pending)
	} else if !next.addPending(pending) {
		return
	}
	model.emitNormalized(&next, newStep("command %d enters at %d in view %d", command+1, head, int(m.view)))
}

// addPending adds a command that waits for its answer and reports whether there was room.
func (w *world) addPending(p pendingCommand) bool {
	for i := range w.pending {
		if w.pending[i].view == 0 {
			w.pending[i] = p
			return true
		}
	}
	return false
}

// expandForward has a machine take the register from its predecessor, which may have exited since it was sent.
func (model *reconfigurationModel) expandForward(w *world, i, position int) {
	m := &w.machines[i]
	predecessor := w.views[m.view].at(position - 1)
	if !w.machines[predecessor].canForwardTo(m) {
		return
	}
	next := *w
	next.machines[i].held, next.machines[i].syncedView = w.machines[predecessor].held, m.view
	model.emitNormalized(&next, newStep("%d takes the register of view %d from %d", i, int(m.view), predecessor))
}

// canForwardTo reports whether a machine holds what its successor lacks, in the same view.
func (m *machine) canForwardTo(successor *machine) bool {
	return m.view == successor.view && m.isSynced() &&
		(!successor.isSynced() || m.held.length() > successor.held.length())
}

// expandCommit has a machine hear what the tail of its view has announced.
func (model *reconfigurationModel) expandCommit(w *world, i int) {
	m := &w.machines[i]
	v := &w.views[m.view]
	tail := &w.machines[v.at(v.length()-1)]
	if tail.view != m.view || !tail.isSynced() || int(m.commitsSeen) >= 1+tail.held.length() {
		return
	}
	next := *w
	next.machines[i].commitsSeen = uint8(1 + tail.held.length())
	model.emitNormalized(&next, newStep("%d hears that in view %d the tail has %d commands", i, int(m.view), tail.held.length()))
}

// hasRival reports whether another command is for the same configuration version: the first two are.
func hasRival(command int) bool { return command < 2 }

// rivalOf returns the other of the first two commands.
func rivalOf(command int) int { return 1 - command }
