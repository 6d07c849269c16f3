package membershipmodel

// expandReplication emits the steps of chain replication.
func (model *reconfigurationModel) expandReplication(cs *clusterState, i int) {
	m := &cs.machines[i]
	if m.view == 0 {
		return
	}
	position := cs.views[m.view].position(i)
	switch {
	case position == 0:
		model.expandSubmissions(cs, i)
	case position > 0:
		model.expandForward(cs, i, position)
	}
	if position >= 0 || m.leaving {
		model.expandCommit(cs, i)
	}
}

// expandSubmissions emits the arrival of commands at a head, each at most twice.
func (model *reconfigurationModel) expandSubmissions(cs *clusterState, head int) {
	const maxSubmissionsEach = 2
	total := 0
	for _, count := range cs.submissions {
		total += int(count)
	}
	if total >= model.scope.Submissions {
		return
	}
	for command := range model.scope.Commands {
		if cs.submissions[command] < maxSubmissionsEach {
			model.submit(cs, head, command)
		}
	}
}

// submit emits the arrival of a command at a head. It models chainreplication.Register.Apply and ConflictsWith for three commands,
// of which the first two are for the same version: a command is applied, already known, or in conflict.
func (model *reconfigurationModel) submit(cs *clusterState, head, command int) {
	next := *cs
	m := &next.machines[head]
	next.submissions[command]++
	pending := pendingCommand{command: uint8(command), view: m.view}
	length := m.register.length()
	switch {
	case m.register.hasCommand(command) && model.fault != CommandAppliedTwice:
	case mayConflict(command) && m.register.hasCommand(conflictingCommand(command)):
		pending.conflict = model.fault != ConflictAcknowledged
	case length < maxCommands:
		m.register[length] = newEntry(command, m.view)
	default:
		return
	}
	pending.sequence = uint8(m.register.length())
	if pending.conflict && model.fault == ConflictReportedEarly {
		pending.sequence = 0
		model.answerCommand(&next, pending)
	} else if !next.addPending(pending) {
		return
	}
	model.emitNormalized(&next, newStep("command %d arrives at %d in view %d", command+1, head, int(m.view)))
}

// addPending adds a pending command and reports whether there was room.
func (cs *clusterState) addPending(p pendingCommand) bool {
	for i := range cs.pending {
		if cs.pending[i].view == 0 {
			cs.pending[i] = p
			return true
		}
	}
	return false
}

// expandForward emits the step in which a machine accepts the register of its predecessor, which may have exited since.
func (model *reconfigurationModel) expandForward(cs *clusterState, i, position int) {
	m := &cs.machines[i]
	predecessor := cs.views[m.view].at(position - 1)
	if !cs.machines[predecessor].canForwardTo(m) {
		return
	}
	next := *cs
	next.machines[i].register, next.machines[i].syncedView = cs.machines[predecessor].register, m.view
	model.emitNormalized(&next, newStep("%d accepts the register of view %d from %d", i, int(m.view), predecessor))
}

// canForwardTo reports whether a machine is synced and holds more than its successor in the same view.
func (m *machine) canForwardTo(successor *machine) bool {
	return m.view == successor.view && m.isSynced() &&
		(!successor.isSynced() || m.register.length() > successor.register.length())
}

// expandCommit emits the step in which a machine learns what the tail of its view has committed.
func (model *reconfigurationModel) expandCommit(cs *clusterState, i int) {
	m := &cs.machines[i]
	v := &cs.views[m.view]
	tail := &cs.machines[v.at(v.length()-1)]
	if tail.view != m.view || !tail.isSynced() || int(m.commitsSeen) >= 1+tail.register.length() {
		return
	}
	next := *cs
	next.machines[i].commitsSeen = uint8(1 + tail.register.length())
	model.emitNormalized(&next, newStep("%d learns that in view %d the tail has committed %d commands", i, int(m.view), tail.register.length()))
}

// mayConflict reports whether another command is for the same configuration version.
func mayConflict(command int) bool { return command < 2 }

// conflictingCommand returns the other command for the same configuration version.
func conflictingCommand(command int) int { return 1 - command }
