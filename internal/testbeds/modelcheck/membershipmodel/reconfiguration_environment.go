package membershipmodel

import "slices"

// expandEnvironment emits the steps that are not caused by the control plane: starts, restarts, faults, and requests to leave.
func (model *reconfigurationModel) expandEnvironment(cs *clusterState) {
	model.startNewMachine(cs)
	for i := range int(cs.started) {
		switch cs.machines[i].status {
		case stopped:
			model.restart(cs, i)
		case running:
			model.losePermanently(cs, i)
			model.loseDisk(cs, i)
			model.kill(cs, i)
			model.suspect(cs, i)
			model.requestLeave(cs, i)
		}
	}
}

func (model *reconfigurationModel) startNewMachine(cs *clusterState) {
	if int(cs.newMachines) >= model.scope.NewMachines || cs.started >= maxIdentities {
		return
	}
	next := *cs
	next.machines[next.started] = machine{
		status:        running,
		address:       uint8(model.scope.Members) + next.newMachines,
		isReplacement: slices.ContainsFunc(cs.machines[:model.scope.Members], func(m machine) bool { return m.departed }),
	}
	next.started++
	next.newMachines++
	model.emitNormalized(&next, newStep("%d starts at a new address", int(cs.started)))
}

// restart emits the restart of a stopped machine with its disk. A machine that had left has not caught up; until it is a member
// again, its replacement, if there is one, counts in its place.
func (model *reconfigurationModel) restart(cs *clusterState, i int) {
	next := *cs
	m := &next.machines[i]
	if m.leaving {
		if int(next.rejoins) >= model.scope.Rejoins {
			return
		}
		next.rejoins++
		m.leaving, m.caughtUp = false, false
	}
	m.status = running
	model.emitNormalized(&next, newStep("%d restarts with its disk", i))
}

func (model *reconfigurationModel) losePermanently(cs *clusterState, i int) {
	if int(cs.losses) >= model.scope.Losses {
		return
	}
	next := *cs
	next.losses++
	next.fail(i, lost).departed = true
	model.emitIfTolerated(&next, newStep("%d is permanently lost", i))
}

func (model *reconfigurationModel) loseDisk(cs *clusterState, i int) {
	m := &cs.machines[i]
	if int(cs.diskLosses) >= model.scope.DiskLosses || cs.started >= maxIdentities || m.leaving {
		return
	}
	next := *cs
	next.diskLosses++
	next.fail(i, lost)
	next.machines[next.started] = machine{status: running, address: m.address, hadFault: true, isReplacement: m.isReplacement}
	next.started++
	model.emitIfTolerated(&next, newStep("%d loses its disk and restarts as %d", i, int(cs.started)))
}

func (model *reconfigurationModel) kill(cs *clusterState, i int) {
	if int(cs.kills) >= model.scope.Kills || cs.machines[i].leaving {
		return
	}
	next := *cs
	next.kills++
	next.fail(i, stopped)
	model.emitIfTolerated(&next, newStep("%d is killed", i))
}

// suspect emits the step in which a running machine is suspected to have failed, or is no longer suspected.
func (model *reconfigurationModel) suspect(cs *clusterState, i int) {
	next := *cs
	m := &next.machines[i]
	if m.suspected {
		m.suspected = false
		model.emitNormalized(&next, newStep("%d is no longer suspected", i))
		return
	}
	if int(cs.suspicions) >= model.scope.Suspicions {
		return
	}
	next.suspicions++
	m.suspected, m.caughtUp, m.hadFault = true, false, true
	model.emitIfTolerated(&next, newStep("%d is suspected", i))
}

func (model *reconfigurationModel) requestLeave(cs *clusterState, i int) {
	if int(cs.leaves) >= model.scope.Leaves || cs.machines[i].leaving || !model.isSeed(&cs.machines[i]) {
		return
	}
	next := *cs
	next.leaves++
	next.machines[i].leaving = true
	model.emitNormalized(&next, newStep("%d is asked to leave", i))
}

// fail stops a machine due to a fault and returns it.
func (cs *clusterState) fail(i int, status machineStatus) *machine {
	m := cs.stop(i, status)
	m.caughtUp, m.hadFault = false, true
	return m
}

// isSeed reports whether a machine has the address of an initial member.
func (model *reconfigurationModel) isSeed(m *machine) bool {
	return int(m.address) < model.scope.Members
}

// stop stops a machine and returns it.
func (cs *clusterState) stop(i int, status machineStatus) *machine {
	m := &cs.machines[i]
	m.status, m.commitsSeen, m.confirmedBy, m.suspected = status, 0, 0, false
	cs.cancelRead(i)
	return m
}
