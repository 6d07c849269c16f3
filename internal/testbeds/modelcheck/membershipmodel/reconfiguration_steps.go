package membershipmodel

import (
	"fmt"

	"zincloft.example/zincloft/controlplane/membership"
)

// reconfigurationModel models membership over many views.
//
// An agreement is abstracted to a single current proposal, which the voters accept one by one; the prepare phase guarantees
// this, as the message model verifies. Members forward the registers on their disks, even after they have exited. Only machines
// with a fault or that are leaving are dropped from the chain, and faults are limited to what the control plane tolerates. From
// each state, the model also checks that the control plane converges without further faults.
type reconfigurationModel struct {
	scope     Scope
	tolerance int // Number of members that may be lost at the same time.
	fault     Fault
	violation string // The invariant violated in a step, or "".

	// emit is called with each successor of the state being expanded.
	emit func(next *clusterState, s step)

	convergent map[uint64]struct{} // Fingerprints of states from which the control plane converges.
	path       []uint64            // Reused by violatedLiveness.
	candidates []configuration     // Reused by candidateViews.
}

func newReconfigurationModel(scope Scope, fault Fault) *reconfigurationModel {
	return &reconfigurationModel{
		scope:      scope,
		tolerance:  scope.Members - membership.QuorumOf(scope.Members),
		fault:      fault,
		convergent: map[uint64]struct{}{},
	}
}

const maxStepArgs = 3

// step describes a transition between two states.
type step struct {
	format string
	args   [maxStepArgs]int
	count  int
}

func newStep(format string, args ...int) step {
	s := step{format: format, count: len(args)}
	copy(s.args[:], args)
	return s
}

func (s step) String() string {
	args := make([]any, s.count)
	for i := range args {
		args[i] = s.args[i]
	}
	return fmt.Sprintf(s.format, args...)
}

// emitNormalized normalizes a state and emits it.
func (model *reconfigurationModel) emitNormalized(next *clusterState, s step) {
	model.normalize(next)
	model.emit(next, s)
}

// emitIfTolerated normalizes a state after a fault and emits it if the control plane has to tolerate the fault.
func (model *reconfigurationModel) emitIfTolerated(next *clusterState, s step) {
	model.normalize(next)
	if model.scope.ExceedsTolerance || model.countLost(next) <= model.tolerance {
		model.emit(next, s)
	}
}

// expand emits all successors of a state.
func (model *reconfigurationModel) expand(cs *clusterState) {
	model.expandEnvironment(cs)
	for i := range int(cs.started) {
		if cs.machines[i].status != running {
			continue
		}
		model.expandViews(cs, i)
		model.expandReplication(cs, i)
		model.expandProposals(cs, i)
		model.expandVotes(cs, i)
		model.expandReads(cs, i)
		if cs.machines[i].leaving {
			model.expandConfirmations(cs, i)
			model.expandExit(cs, i)
		}
	}
}

// expandViews emits the steps in which a machine learns a later view. They are omitted for a machine that is not in the view's
// chain, as learning the view would only disable its steps in an older one. Voters outside the chain learn a view when they vote
// on the next one, but need to know it earlier to confirm reads.
func (model *reconfigurationModel) expandViews(cs *clusterState, i int) {
	m := &cs.machines[i]
	for number := m.view + 1; number <= cs.newestView; number++ {
		v := &cs.views[number]
		leaves := m.leaving && !v.isNone()
		confirms := model.scope.Reads > 0 && v.voters.has(i)
		if !v.hasInChain(i) && !leaves && !confirms {
			continue
		}
		next := *cs
		model.installView(&next, i, number)
		model.emitNormalized(&next, newStep("%d learns view %d", i, int(number)))
	}
}

func (model *reconfigurationModel) installView(cs *clusterState, i int, number uint8) {
	m := &cs.machines[i]
	m.view, m.commitsSeen, m.accepted, m.confirmedBy = number, 0, acceptedNothing, 0
	if cs.views[number].position(i) == 0 {
		m.syncedView = number
	}
	cs.cancelRead(i)
}
