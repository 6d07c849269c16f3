package membershipmodel

import (
	"fmt"

	"zincloft.example/zincloft/controlplane/membership"
)

// reconfigurationModel is the rules of membership over many views.
//
// An agreement is reduced to the one value in force at a time, which is what Prepare at a quorum allows (the message model
// covers its messages), accepted by each voter by itself. Registers go from member to member as they lie on disk, also when
// their sender has exited since. Who is dropped from the chain must have had a fault or be leaving; who may have a fault,
// and when, is bounded by what the control plane promises to tolerate. From each state it is checked too that the control
// plane comes to rest, left alone.
type reconfigurationModel struct {
	scope     Scope
	tolerance int // How many members may be lost at once.
	fault     Fault
	violation string // Of an invariant, found in a step.

	// emit takes a state that may follow the one at hand.
	emit func(next *world, s step)

	comesToRest map[uint64]struct{} // Fingerprints of states from which the control plane comes to rest.
	path        []uint64            // Reused by violatedLiveness.
	candidates  []configuration     // Reused by candidateViews.
}

func newReconfigurationModel(scope Scope, fault Fault) *reconfigurationModel {
	return &reconfigurationModel{
		scope:       scope,
		tolerance:   scope.Members - membership.QuorumOf(scope.Members),
		fault:       fault,
		comesToRest: map[uint64]struct{}{},
	}
}

const maxStepArgs = 3

// step says what happens between two states.
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

// emitNormalized emits a state after what happens in it at once.
func (model *reconfigurationModel) emitNormalized(next *world, s step) {
	model.normalize(next)
	model.emit(next, s)
}

// emitIfTolerated emits a state after a fault, if the control plane promises to tolerate that.
func (model *reconfigurationModel) emitIfTolerated(next *world, s step) {
	model.normalize(next)
	if model.scope.ExceedsTolerance || model.countLost(next) <= model.tolerance {
		model.emit(next, s)
	}
}

// expand emits every state that may follow.
func (model *reconfigurationModel) expand(w *world) {
	model.expandEnvironment(w)
	for i := range int(w.started) {
		if w.machines[i].status != running {
			continue
		}
		model.expandViews(w, i)
		model.expandReplication(w, i)
		model.expandProposals(w, i)
		model.expandVotes(w, i)
		model.expandReads(w, i)
		if w.machines[i].leaving {
			model.expandConfirmations(w, i)
			model.expandExit(w, i)
		}
	}
}

// expandViews has a machine learn a later view. Who has no place in a view loses by learning it only what it may still do
// in an older one, so it need not. A voter learns it by voting, but must know it to confirm it to a reader.
func (model *reconfigurationModel) expandViews(w *world, i int) {
	m := &w.machines[i]
	for number := m.view + 1; number <= w.newestView; number++ {
		v := &w.views[number]
		leaves := m.leaving && !v.isNone()
		confirms := model.scope.Reads > 0 && v.voters.has(i)
		if !v.hasInChain(i) && !leaves && !confirms {
			continue
		}
		next := *w
		model.installView(&next, i, number)
		model.emitNormalized(&next, newStep("%d learns view %d", i, int(number)))
	}
}

func (model *reconfigurationModel) installView(w *world, i int, number uint8) {
	m := &w.machines[i]
	m.view, m.commitsSeen, m.accepted, m.confirmedBy = number, 0, acceptedNothing, 0
	if w.views[number].position(i) == 0 {
		m.syncedView = number
	}
	w.cancelRead(i)
}
