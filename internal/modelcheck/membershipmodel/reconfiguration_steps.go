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

// The first two commands are for one configuration version.
func hasRival(command int) bool { return command < 2 }
func rivalOf(command int) int   { return 1 - command }

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

// expandReads has a read begin at a machine, be confirmed by one, or be answered. A read is answered with what is committed
// once a quorum has confirmed, after it was asked, that it knows of no later view.
func (model *reconfigurationModel) expandReads(w *world, i int) {
	m := &w.machines[i]
	if m.view == 0 {
		return
	}
	v, read := &w.views[m.view], &w.read
	if !read.active {
		if int(w.reads) < model.scope.Reads && v.hasInChain(i) {
			next := *w
			next.reads++
			next.read = readRequest{
				active:             true,
				member:             uint8(i),
				view:               m.view,
				heldLength:         uint8(m.held.length()),
				acknowledgedLength: uint8(w.committed.length()),
			}
			model.emitNormalized(&next, newStep("%d is asked in view %d", i, int(m.view)))
		}
		return
	}
	if m.view != read.view {
		return
	}
	if v.voters.has(i) && !read.confirmedBy.has(i) && m.accepted == acceptedNothing {
		next := *w
		next.read.confirmedBy |= 1 << i
		model.emitNormalized(&next, newStep("%d knows of no later view than %d", i, int(read.view)))
	}
	confirmed := read.confirmedBy.count() >= v.quorum() || model.fault == LeaseRead
	if int(read.member) == i && m.commitsSeen > read.heldLength && confirmed {
		next := *w
		next.read = readRequest{}
		if m.commitsSeen-1 < read.acknowledgedLength {
			model.violation = fmt.Sprintf("%d answers with %d commands, %d were acknowledged before it was asked",
				i, m.commitsSeen-1, read.acknowledgedLength)
		}
		model.emitNormalized(&next, newStep("%d answers", i))
	}
}

// expandConfirmations has others tell a leaving machine that they saw a commit in its view and know of no later one.
func (model *reconfigurationModel) expandConfirmations(w *world, leaver int) {
	m := &w.machines[leaver]
	if m.view == 0 {
		return
	}
	v := &w.views[m.view]
	for i := range int(w.started) {
		other := &w.machines[i]
		sawCommit := other.status == running && other.view == m.view && other.commitsSeen > 0
		if i == leaver || !sawCommit || m.confirmedBy.has(i) || !v.hasInChain(i) || !v.voters.has(i) {
			continue
		}
		if other.accepted != acceptedNothing && model.fault != LeaverIgnoresNewerView {
			continue
		}
		next := *w
		next.machines[leaver].confirmedBy |= 1 << i
		model.emitNormalized(&next, newStep("%d tells %d that view %d has a commit, and that it knows of no later view", i, leaver, int(m.view)))
	}
}

// expandExit has a leaving machine exit.
func (model *reconfigurationModel) expandExit(w *world, i int) {
	m := &w.machines[i]
	confirmedBy := m.confirmedBy
	if model.fault == LeaverTrustsTail && m.commitsSeen > 0 {
		confirmedBy = w.views[m.view].members()
	}
	knowsNoLaterView := m.accepted == acceptedNothing || model.fault == LeaverIgnoresNewerView
	mayExit := m.view > 0 && knowsNoLaterView && model.mayLeave(w, m.view, i, confirmedBy)
	if !mayExit && model.fault != LeaverExitsAtOnce {
		return
	}
	next := *w
	next.stop(i, stopped)
	model.emitNormalized(&next, newStep("%d has left", i))
}

// stop ends a machine's process and returns the machine.
func (w *world) stop(i int, status uint8) *machine {
	m := &w.machines[i]
	m.status, m.commitsSeen, m.confirmedBy, m.suspected = status, 0, 0, false
	w.cancelRead(i)
	return m
}
