package chainreplication

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/invariant"
)

const (
	// forwardRetryInterval is how long a forwarded register may stay uncommitted before it is forwarded again, because a link
	// that breaks loses what was in flight.
	forwardRetryInterval = 300 * time.Millisecond

	// transferTimePerByte extends the retry interval for large registers, so that they are not forwarded again while they are
	// still on their way: an upper bound on the time to transmit and store one byte.
	transferTimePerByte = 30 * time.Nanosecond

	// catchUpRetryInterval is the minimum time between two CatchUp messages with the same register to the same member.
	catchUpRetryInterval = time.Second
)

// Ready describes the work that the caller has to do after a call: save the latest register, then send the messages.
// Messages without AfterSave may be sent before the register is saved.
type Ready struct {
	Messages         []Outbound
	MustSave         bool // Latest or SyncedView has changed.
	CommittedChanged bool // Committed or CommittedView has changed.
}

// CommitCondition is the condition under which a proposed command is committed: a register with at least this sequence is
// committed in this view.
type CommitCondition struct {
	ViewNumber uint64
	Sequence   uint64

	// Conflicts reports that the command conflicts with another configuration of the same version (Register.ConflictsWith).
	// The rejection is final once the condition is met.
	Conflicts bool
}

// Replica is the chain replication state of one member. Create it with New. A Replica is not safe for concurrent use.
type Replica struct {
	id   string
	view membership.View

	latest     Register
	syncedView uint64     // Last view in which this replica was the head or accepted a forwarded register.
	pending    []Register // Registers forwarded in the current view and not yet committed, oldest first.

	committed     Register
	hasCommitted  bool   // Whether committed is set.
	committedView uint64 // Last view in which a commit was observed.

	forwardedAt time.Duration
	catchUps    map[string]sentCatchUp // Last CatchUp sent, by receiver ID.

	outbound         []Outbound
	latestChanged    bool
	committedChanged bool
}

// sentCatchUp describes the last CatchUp sent to a member.
type sentCatchUp struct {
	sequence uint64
	sentAt   time.Duration
}

// New creates a replica from the saved register and the saved number of the synced view.
//
// The synced view lets a restarted member reject a delayed Forward of the same view that is older than its own register.
func New(id string, latest Register, syncedView uint64) *Replica {
	return &Replica{id: id, latest: latest, syncedView: syncedView, catchUps: map[string]sentCatchUp{}}
}

// InstallView installs a newer decided view. The head forwards its register again.
func (replica *Replica) InstallView(now time.Duration, view membership.View) Ready {
	if view.Number <= replica.view.Number {
		return replica.ready()
	}
	replica.view, replica.pending = view, nil
	if replica.IsHead() {
		replica.syncedView, replica.latestChanged = view.Number, true
		replica.pending = []Register{replica.latest}
		replica.forward(now)
	}
	return replica.ready()
}

// Propose applies a command at the head and forwards the register if the command changed it.
func (replica *Replica) Propose(now time.Duration, c Command) (CommitCondition, Ready) {
	conflicts := replica.latest.ConflictsWith(c)
	if next := replica.latest.Apply(c); next.Sequence != replica.latest.Sequence {
		replica.latest, replica.latestChanged = next, true
		replica.pending = append(replica.pending, next)
		replica.forward(now)
	}
	condition := CommitCondition{ViewNumber: replica.view.Number, Sequence: replica.latest.Sequence, Conflicts: conflicts}
	return condition, replica.ready()
}

// Tick forwards the register again if it has not been committed within the retry interval.
func (replica *Replica) Tick(now time.Duration) Ready {
	if replica.isSynced() && len(replica.pending) > 0 && now-replica.forwardedAt >= replica.forwardTimeout() {
		replica.forward(now)
	}
	return replica.ready()
}

// Step handles a message from another member.
func (replica *Replica) Step(now time.Duration, m Message) Ready {
	switch m.Kind {
	case Forward:
		replica.handleForward(now, m)
	case Commit:
		replica.handleCommit(m)
	case CatchUp:
		replica.handleCatchUp(m)
	}
	return replica.ready()
}

// SendCatchUp sends the committed register to a member that reported an older committed sequence, or none (known is
// false). Repeats of the same register are limited by catchUpRetryInterval.
func (replica *Replica) SendCatchUp(now time.Duration, id string, sequence uint64, known bool) Ready {
	if replica.lacksCommitted(id, sequence, known) && replica.catchUpDue(now, id) {
		replica.catchUps[id] = sentCatchUp{sequence: replica.committed.Sequence, sentAt: now}
		register := replica.committed
		replica.send(id, Message{Kind: CatchUp, ViewNumber: replica.committedView, Register: &register}, false)
	}
	return replica.ready()
}

// Latest returns the latest register, which may not be committed yet.
func (replica *Replica) Latest() Register { return replica.latest }

// SyncedView returns the number of the last view in which this replica was synced. It is saved together with the register.
func (replica *Replica) SyncedView() uint64 { return replica.syncedView }

// Committed returns the latest register known to be committed, and whether there is one.
func (replica *Replica) Committed() (Register, bool) { return replica.committed, replica.hasCommitted }

// CommittedView returns the number of the last view in which this replica observed a commit.
func (replica *Replica) CommittedView() uint64 { return replica.committedView }

// IsHead reports whether this replica is the head of the chain.
func (replica *Replica) IsHead() bool { return replica.view.Position(replica.id) == 0 }

// ChainSynced reports whether this replica is synced and has observed a commit in the current view. All members of the
// chain are synced then, because a committed register is on stable storage at each of them.
func (replica *Replica) ChainSynced() bool {
	return replica.isSynced() && replica.hasCommitted && replica.committedView == replica.view.Number
}

// isSynced reports whether this replica is the head of the current view or has accepted a forwarded register in it.
func (replica *Replica) isSynced() bool { return replica.syncedView == replica.view.Number }

func (replica *Replica) forwardTimeout() time.Duration {
	return forwardRetryInterval + time.Duration(len(replica.latest.Body))*transferTimePerByte
}

// forward sends the register to the successor or, at the tail, announces the commit.
func (replica *Replica) forward(now time.Duration) {
	replica.forwardedAt = now
	position := replica.view.Position(replica.id)
	switch {
	case position < 0:
	case position+1 < len(replica.view.Chain):
		successor, register := replica.view.Chain[position+1], replica.latest
		replica.send(successor, replica.message(Forward, &register), true)
	default:
		replica.announceCommit()
	}
}

// announceCommit sends a Commit of the tail's latest register to all members of the view, including this one.
func (replica *Replica) announceCommit() {
	register := replica.latest
	for _, member := range replica.view.Members() {
		message := replica.message(Commit, nil)
		if replica.view.Position(member.ID) < 0 {
			message.Register = &register
		}
		replica.send(member.ID, message, true)
	}
}

// handleForward accepts the register from the predecessor in the current view. Messages of other views are ignored, so a
// replaced head cannot commit through this replica.
func (replica *Replica) handleForward(now time.Duration, m Message) {
	position := replica.view.Position(replica.id)
	if m.ViewNumber != replica.view.Number || m.Register == nil || position < 1 || replica.view.Chain[position-1] != m.From {
		return
	}
	wasSynced := replica.isSynced()
	if wasSynced && m.Register.Sequence < replica.latest.Sequence {
		return // Delayed message with an outdated register.
	}
	if !wasSynced || m.Register.Sequence > replica.latest.Sequence {
		replica.latest, replica.latestChanged, replica.syncedView = *m.Register, true, replica.view.Number
	}
	if !replica.isPending(replica.latest.Sequence) && !replica.isCommittedInView(replica.latest.Sequence) {
		replica.pending = append(replica.pending, replica.latest)
	}
	replica.forward(now)
}

// handleCommit handles the tail's commit announcement. A member of the chain looks up the register among those it has
// forwarded; a member outside the chain takes it from the message.
func (replica *Replica) handleCommit(m Message) {
	if m.ViewNumber != replica.view.Number {
		return
	}
	if m.Register != nil {
		replica.commit(*m.Register, m.ViewNumber)
		return
	}
	i := slices.IndexFunc(replica.pending, func(r Register) bool { return r.Sequence == m.Sequence })
	if i < 0 {
		return
	}
	register := replica.pending[i]
	replica.pending = replica.pending[i+1:]
	replica.commit(register, m.ViewNumber)
}

// handleCatchUp accepts a committed register. It does not count as a commit in this replica's own view, which may be
// outdated: otherwise commands accepted in that view would be reported as committed.
func (replica *Replica) handleCatchUp(m Message) {
	if m.Register != nil {
		replica.commit(*m.Register, max(m.ViewNumber, replica.committedView))
	}
}

// commit records a committed register unless a newer one is known.
func (replica *Replica) commit(register Register, viewNumber uint64) {
	if replica.hasCommitted && register.Sequence < replica.committed.Sequence {
		return
	}
	if !replica.hasCommitted || register.Sequence > replica.committed.Sequence || viewNumber != replica.committedView {
		replica.committedChanged = true
	}
	if replica.hasCommitted {
		invariant.NotBelow(invariant.CommittedSequenceMonotonic, register.Sequence, replica.committed.Sequence)
		invariant.NotBelow(invariant.CommittedVersionMonotonic, register.Version, replica.committed.Version)
	}
	replica.committed, replica.hasCommitted, replica.committedView = register, true, viewNumber
}

func (replica *Replica) isPending(sequence uint64) bool {
	return slices.ContainsFunc(replica.pending, func(r Register) bool { return r.Sequence == sequence })
}

// isCommittedInView reports whether a register with at least the given sequence is known to be committed in the current view.
func (replica *Replica) isCommittedInView(sequence uint64) bool {
	return replica.committedView == replica.view.Number && replica.committed.Sequence >= sequence
}

// lacksCommitted reports whether another member, by its reported commit status, lacks this replica's committed register.
func (replica *Replica) lacksCommitted(id string, sequence uint64, known bool) bool {
	return replica.hasCommitted && id != replica.id && (!known || sequence < replica.committed.Sequence)
}

// catchUpDue reports whether a CatchUp may be sent to a member, given the last one sent to it.
func (replica *Replica) catchUpDue(now time.Duration, id string) bool {
	last, sent := replica.catchUps[id]
	return !sent || last.sequence < replica.committed.Sequence || now-last.sentAt >= catchUpRetryInterval
}

// message returns a message of the current view about the latest register.
func (replica *Replica) message(kind MessageKind, register *Register) Message {
	return Message{Kind: kind, ViewNumber: replica.view.Number, Sequence: replica.latest.Sequence, Register: register}
}

func (replica *Replica) send(to string, m Message, afterSave bool) {
	m.From = replica.id
	replica.outbound = append(replica.outbound, Outbound{To: to, Message: m, AfterSave: afterSave})
}

// ready returns and clears the work accumulated since the previous call.
func (replica *Replica) ready() Ready {
	ready := Ready{Messages: replica.outbound, MustSave: replica.latestChanged, CommittedChanged: replica.committedChanged}
	replica.outbound, replica.latestChanged, replica.committedChanged = nil, false, false
	return ready
}
