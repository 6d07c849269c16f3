package chainreplication

import (
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/invariant"
)

const (
	// forwardRetryInterval is how long a forwarded register may stay uncommitted before it is forwarded again: links lose
	// what was in flight.
	forwardRetryInterval = 300 * time.Millisecond

	// transferTimePerByte is how long a byte of the register takes on its way and on disk, at the slowest. A large
	// register is not forwarded again sooner.
	transferTimePerByte = 30 * time.Nanosecond

	// catchUpRetryInterval is how long a member that was sent the committed register waits for the same one again.
	catchUpRetryInterval = time.Second
)

// Ready is what the caller has to do after a call: save the latest register, then send the messages. A message that is not
// marked AfterSave may be sent before.
type Ready struct {
	Messages         []Outbound
	MustSave         bool // Held or SyncedView has changed.
	CommittedChanged bool // Committed or CommittedView has changed.
}

// CommitCondition says where a command stands that was proposed at the head. The command holds once a register with at least that
// sequence is committed in that view.
type CommitCondition struct {
	ViewNumber uint64
	Sequence   uint64

	// Conflicts says that the command conflicts with another configuration of its version (Register.ConflictsWith). Its
	// rejection holds once that one is committed, by the same test.
	Conflicts bool
}

// Replica is one member's part in the chain. Create it with New. A Replica is not safe for concurrent use.
type Replica struct {
	id   string
	view membership.View

	latest     Register
	syncedView uint64     // Last view in which a forwarded register was taken, or whose head this was.
	pending    []Register // Forwarded in the present view and not committed yet, oldest first.

	committed     Register
	hasCommitted  bool   // Whether committed holds a register.
	committedView uint64 // Last view in which a commit was seen.

	forwardedAt time.Duration
	catchUps    map[string]sentCatchUp // The last one sent, by the receiver's identity.

	outbound         []Outbound
	latestChanged    bool
	committedChanged bool
}

// sentCatchUp says which register a member was sent last, and when.
type sentCatchUp struct {
	sequence uint64
	sentAt   time.Duration
}

// New creates a replica from the register and the number of the synced view that were saved.
//
// Without the synced view a member that was killed and came back would take a late Forward of the same view for the first
// one, and fall behind what it had already forwarded.
func New(id string, latest Register, syncedView uint64) *Replica {
	return &Replica{id: id, latest: latest, syncedView: syncedView, catchUps: map[string]sentCatchUp{}}
}

// InstallView takes in a view that was decided. At the head the register is forwarded anew.
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

// Propose applies a command at the head and forwards the register if the command has changed it.
func (replica *Replica) Propose(now time.Duration, c Command) (CommitCondition, Ready) {
	conflicts := replica.latest.ConflictsWith(c)
	if next := replica.latest.Apply(c); next.Sequence != replica.latest.Sequence {
		replica.latest, replica.latestChanged = next, true
		replica.pending = append(replica.pending, next)
		replica.forward(now)
	}
	proposed := CommitCondition{ViewNumber: replica.view.Number, Sequence: replica.latest.Sequence, Conflicts: conflicts}
	return proposed, replica.ready()
}

// Tick forwards the register again if it has stayed uncommitted for long.
func (replica *Replica) Tick(now time.Duration) Ready {
	if replica.isSynced() && len(replica.pending) > 0 && now-replica.forwardedAt >= replica.forwardTimeout() {
		replica.forward(now)
	}
	return replica.ready()
}

// Step takes in a message from another member.
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

// SendCatchUp answers a member that has said which register it knows to be committed, if it knows any: if that one is
// older than this replica's, it is sent the committed register, though the same one not too often, as it may be large.
func (replica *Replica) SendCatchUp(now time.Duration, id string, sequence uint64, known bool) Ready {
	if replica.lacksCommitted(id, sequence, known) && replica.catchUpDue(now, id) {
		replica.catchUps[id] = sentCatchUp{sequence: replica.committed.Sequence, sentAt: now}
		register := replica.committed
		replica.send(id, Message{Kind: CatchUp, ViewNumber: replica.committedView, Register: &register}, false)
	}
	return replica.ready()
}

// Latest returns the register to be saved.
func (replica *Replica) Latest() Register { return replica.latest }

// SyncedView returns the number, to be saved beside the register, of the last view in which this replica was synced.
func (replica *Replica) SyncedView() uint64 { return replica.syncedView }

// Committed returns the newest register known to be committed, and whether any is.
func (replica *Replica) Committed() (Register, bool) { return replica.committed, replica.hasCommitted }

// CommittedView returns the number of the last view in which this replica saw a commit.
func (replica *Replica) CommittedView() uint64 { return replica.committedView }

// IsHead reports whether commands enter here.
func (replica *Replica) IsHead() bool { return replica.view.Position(replica.id) == 0 }

// ChainSynced reports whether this replica is synced in the present view and has seen a commit in it. Then each member of
// the chain is synced, as a committed register is on stable storage at all of them.
func (replica *Replica) ChainSynced() bool {
	return replica.isSynced() && replica.hasCommitted && replica.committedView == replica.view.Number
}

// isSynced reports whether this replica has taken a forwarded register in the present view, or is its head.
func (replica *Replica) isSynced() bool { return replica.syncedView == replica.view.Number }

func (replica *Replica) forwardTimeout() time.Duration {
	return forwardRetryInterval + time.Duration(len(replica.latest.Body))*transferTimePerByte
}

// forward sends the register to the successor or, at the tail, announces that it is committed.
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

// announceCommit tells all members of the view, this one included, that the tail's latest register is committed.
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

// handleForward takes the register from the predecessor in the present view. The sender of a message of another view must
// not commit through this replica.
func (replica *Replica) handleForward(now time.Duration, m Message) {
	position := replica.view.Position(replica.id)
	if m.ViewNumber != replica.view.Number || m.Register == nil || position < 1 || replica.view.Chain[position-1] != m.From {
		return
	}
	wasSynced := replica.isSynced()
	if wasSynced && m.Register.Sequence < replica.latest.Sequence {
		return // Late.
	}
	if !wasSynced || m.Register.Sequence > replica.latest.Sequence {
		replica.latest, replica.latestChanged, replica.syncedView = *m.Register, true, replica.view.Number
	}
	if !replica.isPending(replica.latest.Sequence) && !replica.isCommittedInView(replica.latest.Sequence) {
		replica.pending = append(replica.pending, replica.latest)
	}
	replica.forward(now)
}

// handleCommit takes the tail's announcement: of a register that this replica has forwarded or, out of the chain, of the
// one that the message carries.
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

// handleCatchUp takes a committed register. It never counts as a commit of this replica's own view, which may be an older
// one: else commands that entered here would pass for committed.
func (replica *Replica) handleCatchUp(m Message) {
	if m.Register != nil {
		replica.commit(*m.Register, max(m.ViewNumber, replica.committedView))
	}
}

// commit takes a committed register that is not older than the one known.
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

// isCommittedInView reports whether a register with at least that sequence is known to be committed in the present view.
func (replica *Replica) isCommittedInView(sequence uint64) bool {
	return replica.committedView == replica.view.Number && replica.committed.Sequence >= sequence
}

// lacksCommitted reports whether another member, by what it says it knows to be committed, lacks this replica's register.
func (replica *Replica) lacksCommitted(id string, sequence uint64, known bool) bool {
	return replica.hasCommitted && id != replica.id && (!known || sequence < replica.committed.Sequence)
}

// catchUpDue reports whether a member was not sent the committed register lately.
func (replica *Replica) catchUpDue(now time.Duration, id string) bool {
	last, sent := replica.catchUps[id]
	return !sent || last.sequence < replica.committed.Sequence || now-last.sentAt >= catchUpRetryInterval
}

// message returns a message of the present view about the latest register.
func (replica *Replica) message(kind MessageKind, register *Register) Message {
	return Message{Kind: kind, ViewNumber: replica.view.Number, Sequence: replica.latest.Sequence, Register: register}
}

func (replica *Replica) send(to string, m Message, afterSave bool) {
	m.From = replica.id
	replica.outbound = append(replica.outbound, Outbound{To: to, Message: m, AfterSave: afterSave})
}

// ready returns what has come up since it was last called.
func (replica *Replica) ready() Ready {
	ready := Ready{Messages: replica.outbound, MustSave: replica.latestChanged, CommittedChanged: replica.committedChanged}
	replica.outbound, replica.latestChanged, replica.committedChanged = nil, false, false
	return ready
}
