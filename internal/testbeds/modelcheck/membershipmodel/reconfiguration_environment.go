package membershipmodel

import "slices"

// expandEnvironment emits the states that follow from what befalls machines: starts, restarts, faults, and requests to
// leave.
func (model *reconfigurationModel) expandEnvironment(w *world) {
	model.startNewcomer(w)
	for i := range int(w.started) {
		switch w.machines[i].status {
		case stopped:
			model.restart(w, i)
		case running:
			model.losePermanently(w, i)
			model.wipe(w, i)
			model.kill(w, i)
			model.suspect(w, i)
			model.requestLeave(w, i)
		}
	}
}

func (model *reconfigurationModel) startNewcomer(w *world) {
	if int(w.newcomers) >= model.scope.NewMachines || w.started >= maxIdentities {
		return
	}
	next := *w
	next.machines[next.started] = machine{
		status:        running,
		address:       uint8(model.scope.Members) + next.newcomers,
		isReplacement: slices.ContainsFunc(w.machines[:model.scope.Members], func(m machine) bool { return m.departed }),
	}
	next.started++
	next.newcomers++
	model.emitNormalized(&next, newStep("%d starts at a new address", int(w.started)))
}

// restart starts a machine again with its disk. A machine that had left has not caught up then; its successor, if there is
// one, stands for it until it is a member again.
func (model *reconfigurationModel) restart(w *world, i int) {
	next := *w
	m := &next.machines[i]
	if m.leaving {
		if int(next.returns) >= model.scope.Rejoins {
			return
		}
		next.returns++
		m.leaving, m.caughtUp = false, false
	}
	m.status = running
	model.emitNormalized(&next, newStep("%d starts again with its disk", i))
}

func (model *reconfigurationModel) losePermanently(w *world, i int) {
	if int(w.losses) >= model.scope.Losses {
		return
	}
	next := *w
	next.losses++
	next.fail(i, lost).departed = true
	model.emitIfTolerated(&next, newStep("%d is lost for good", i))
}

func (model *reconfigurationModel) wipe(w *world, i int) {
	m := &w.machines[i]
	if int(w.wipes) >= model.scope.DiskLosses || w.started >= maxIdentities || m.leaving {
		return
	}
	next := *w
	next.wipes++
	next.fail(i, lost)
	next.machines[next.started] = machine{status: running, address: m.address, hadFault: true, isReplacement: m.isReplacement}
	next.started++
	model.emitIfTolerated(&next, newStep("%d loses its disk and returns as %d", i, int(w.started)))
}

func (model *reconfigurationModel) kill(w *world, i int) {
	if int(w.kills) >= model.scope.Kills || w.machines[i].leaving {
		return
	}
	next := *w
	next.kills++
	next.fail(i, stopped)
	model.emitIfTolerated(&next, newStep("%d is killed", i))
}

// suspect has a machine that runs seem to have failed, or be heard again.
func (model *reconfigurationModel) suspect(w *world, i int) {
	next := *w
	m := &next.machines[i]
	if m.suspected {
		m.suspected = false
		model.emitNormalized(&next, newStep("%d is heard again", i))
		return
	}
	if int(w.suspicions) >= model.scope.Suspicions {
		return
	}
	next.suspicions++
	m.suspected, m.caughtUp, m.hadFault = true, false, true
	model.emitIfTolerated(&next, newStep("%d is not heard", i))
}

func (model *reconfigurationModel) requestLeave(w *world, i int) {
	if int(w.leaves) >= model.scope.Leaves || w.machines[i].leaving || !model.isSeed(&w.machines[i]) {
		return
	}
	next := *w
	next.leaves++
	next.machines[i].leaving = true
	model.emitNormalized(&next, newStep("%d is asked to leave", i))
}

// fail stops a machine by a fault and returns the machine.
func (w *world) fail(i int, status machineStatus) *machine {
	m := w.stop(i, status)
	m.caughtUp, m.hadFault = false, true
	return m
}

// isSeed reports whether a machine has the address of one of the first members.
func (model *reconfigurationModel) isSeed(m *machine) bool {
	return int(m.address) < model.scope.Members
}

// stop ends a machine's process and returns the machine.
func (w *world) stop(i int, status machineStatus) *machine {
	m := &w.machines[i]
	m.status, m.commitsSeen, m.confirmedBy, m.suspected = status, 0, 0, false
	w.cancelRead(i)
	return m
}
