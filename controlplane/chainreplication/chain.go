// Package chainreplication keeps the core's lasting state: a register that only grows (the newest configuration and the
// evacuations), passed from head to tail and on stable storage at every member before it counts as committed. It is
// free of I/O: events in, actions out.
//
// An order enters at the head, each member passes on the register as it stands after it, and the tail tells
// everybody that it is committed. A pass carries its view's number and is taken only from the predecessor in that
// very view: an old head, or one cut off, commits nothing. At a new view the head passes its register down once
// more. Its own is at least as new as any other's in the chain, so what it passes replaces what a member held,
// also what an earlier head had entered and nobody was promised.
package chainreplication

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/controlplane/membership"
)

// forwardRetryInterval is how long a pass may stay without its commit before it is repeated: links lose what was under way.
const forwardRetryInterval = 300 * time.Millisecond

const (
	catchUpRetryInterval = time.Second          // a register that was told to one that lacks it
	transferTimePerByte  = 30 * time.Nanosecond // of a register on its way and on disk, at the slowest: a large one is not passed again sooner
)

// Register is the lasting state. It is not changed once made.
type Register struct {
	Sequence       uint64          `cbor:"1,keyasint"` // orders so far
	Version        uint64          `cbor:"2,keyasint"`
	Body           []byte          `cbor:"3,keyasint,omitempty"` // of the configuration, as it was sent
	EvacuatedZones map[string]bool `cbor:"4,keyasint,omitempty"` // zones being emptied

	// Notes are small states that the gateway keeps for itself (grants of maintenance windows, roll-outs), by name.
	Records map[string]Record `cbor:"5,keyasint,omitempty"`

	// Taken names the orders lately taken, newest last: one that is entered again, after a view change or late, changes
	// nothing. Claims are the highest numbers that operators were confirmed under, with what they sent. Both
	// are bounded, and part of what is passed and kept.
	AppliedCommands []uint64 `cbor:"6,keyasint,omitempty"`
	Claims          []Claim  `cbor:"7,keyasint,omitempty"`
}

// Claim is a configuration's number and the checksum of its bytes.
type Claim struct {
	Version  uint64 `cbor:"1,keyasint"`
	Checksum uint64 `cbor:"2,keyasint"`
}

func byVersion(a, b Claim) int { return cmp.Compare(a.Version, b.Version) }

const (
	maxAppliedCommands = 64 // orders are entered again for half a second; eight at once may be under way
	maxClaims          = 64 // the highest numbers; a lower one that comes again cannot be told from a new one
)

// Record is one of them. Whoever changes it names the revision that it saw: of two at once one is taken.
type Record struct {
	Revision      uint64   `cbor:"1,keyasint"`
	Value         []byte   `cbor:"2,keyasint,omitempty"`
	RecentChanges []string `cbor:"3,keyasint,omitempty"` // the latest changes, newest last, so that a proposer finds its own
}

// maxRecentChanges is how many changes of a note are remembered by name.
const maxRecentChanges = 8

// HasChange tells whether a change was taken.
func (n Record) HasChange(by string) bool { return slices.Contains(n.RecentChanges, by) }

// Command is one change. Each may be given again without harm.
type Command struct {
	ID uint64 `cbor:"9,keyasint,omitempty"` // given where it came in: entered twice, it is taken once; 0: not known again

	Body      []byte `cbor:"1,keyasint,omitempty"`
	Version   uint64 `cbor:"2,keyasint,omitempty"`
	Zone      string `cbor:"3,keyasint,omitempty"` // with Out: an evacuation begins or ends
	Evacuated bool   `cbor:"4,keyasint,omitempty"`

	Record           string `cbor:"5,keyasint,omitempty"` // with the next three: a note is changed
	ExpectedRevision uint64 `cbor:"6,keyasint,omitempty"` // the revision that it must have
	ChangeID         string `cbor:"7,keyasint,omitempty"`
	Value            []byte `cbor:"8,keyasint,omitempty"`
}

// ConflictsWith tells whether an order claims a number that others were confirmed under with other content: the two cannot
// both be confirmed.
func (r Register) ConflictsWith(o Command) bool {
	c, ok := r.claimFor(o)
	return ok && c.Checksum != xxhash.Sum64(o.Body)
}

func (r Register) claimFor(o Command) (Claim, bool) {
	if o.Version == 0 || o.Record != "" || o.Zone != "" {
		return Claim{}, false
	}
	if i := slices.IndexFunc(r.Claims, func(c Claim) bool { return c.Version == o.Version }); i >= 0 {
		return r.Claims[i], true
	}
	return Claim{r.Version, xxhash.Sum64(r.Body)}, o.Version == r.Version // kept by a build that knew no claims
}

// Apply returns the register after an order; an order that changes nothing leaves Seq as it is.
func (r Register) Apply(o Command) Register {
	if o.ID != 0 && slices.Contains(r.AppliedCommands, o.ID) {
		return r
	}
	switch {
	case o.Record != "":
		n := r.Records[o.Record]
		if n.Revision != o.ExpectedRevision || n.HasChange(o.ChangeID) {
			return r
		}
		by := append(slices.Clone(n.RecentChanges), o.ChangeID)
		notes := maps.Clone(r.Records)
		if notes == nil {
			notes = map[string]Record{}
		}
		notes[o.Record] = Record{n.Revision + 1, o.Value, by[max(len(by)-maxRecentChanges, 0):]}
		r.Records = notes
	case o.Zone != "":
		if r.EvacuatedZones[o.Zone] == o.Evacuated {
			return r
		}
		out := maps.Clone(r.EvacuatedZones)
		if out == nil {
			out = map[string]bool{}
		}
		if o.Evacuated {
			out[o.Zone] = true
		} else {
			delete(out, o.Zone)
		}
		r.EvacuatedZones = out
	default:
		if _, ok := r.claimFor(o); ok || o.Version == 0 {
			return r
		}
		if o.Version > r.Version {
			r.Version, r.Body = o.Version, o.Body
		} // else it was overtaken: its number is claimed all the same, so that nobody else is confirmed under it
		r.Claims = append(slices.Clone(r.Claims), Claim{o.Version, xxhash.Sum64(o.Body)})
		if len(r.Claims) > maxClaims { // the lowest goes: of many numbers that were overtaken, none pushes out the newest
			lowest := slices.MinFunc(r.Claims, byVersion).Version
			r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return c.Version == lowest })
		}
	}
	if o.ID != 0 {
		r.AppliedCommands = append(slices.Clone(r.AppliedCommands[max(len(r.AppliedCommands)-maxAppliedCommands+1, 0):]), o.ID)
	}
	r.Sequence++
	return r
}

// MessageKind tells messages apart.
type MessageKind uint8

const (
	Forward MessageKind = iota + 1
	Commit              // from the tail: committed
	CatchUp             // the committed register whole, to one that lacks it, and the view in which its commit was seen
)

// Message is what members say to one another.
type Message struct {
	Kind       MessageKind `cbor:"1,keyasint"`
	From       string      `cbor:"2,keyasint"`
	ViewNumber uint64      `cbor:"3,keyasint,omitempty"` // the view
	Sequence   uint64      `cbor:"4,keyasint,omitempty"`
	Register   *Register   `cbor:"5,keyasint,omitempty"`
}

// Outbound is an action. With Durable set it must wait until what is held now is on stable storage. To may be this
// machine itself.
type Outbound struct {
	To        string // identity
	Message   Message
	AfterSave bool
}

// Replica is one machine's part.
type Replica struct {
	id               string
	view             membership.View
	held             Register
	committed        Register
	hasCommitted     bool // committed holds something
	committedView    uint64
	syncedView       uint64 // the last view of which a pass was taken, or whose head this was
	forwardedAt      time.Duration
	outbound         []Outbound
	heldChanged      bool
	committedChanged bool
	catchUps         map[string]catchUp
	pending          []Register // passed in this view, not committed yet, oldest first
}

type catchUp struct {
	sequence uint64
	sentAt   time.Duration
}

// New makes an engine from what was on disk.
//
// SyncedIn is kept beside the register: without it a member that was killed and came back would take a late pass of
// the same view for the first one, and fall behind what it had already vouched for.
func New(id string, held Register, syncedIn uint64) *Replica {
	return &Replica{id: id, held: held, syncedView: syncedIn, catchUps: map[string]catchUp{}}
}

// Ready is what a step brings.
type Ready struct {
	Messages         []Outbound
	MustSave         bool // Held changed
	CommittedChanged bool // Committed changed
}

func (replica *Replica) ready() Ready {
	o := Ready{replica.outbound, replica.heldChanged, replica.committedChanged}
	replica.outbound, replica.heldChanged, replica.committedChanged = nil, false, false
	return o
}

// Held is what must be kept on disk.
func (replica *Replica) Held() Register { return replica.held }

// SyncedView is kept beside it.
func (replica *Replica) SyncedView() uint64 { return replica.syncedView }

// Committed is the newest register known to be committed, and whether any is.
func (replica *Replica) Committed() (Register, bool) { return replica.committed, replica.hasCommitted }

// CommittedView is the view in which this machine last saw a commit.
func (replica *Replica) CommittedView() uint64 { return replica.committedView }

// IsHead tells whether orders enter here.
func (replica *Replica) IsHead() bool {
	return len(replica.view.Chain) > 0 && replica.view.Chain[0] == replica.id
}

// InstallView takes on a view.
func (replica *Replica) InstallView(now time.Duration, v membership.View) Ready {
	if v.Number <= replica.view.Number {
		return replica.ready()
	}
	replica.view, replica.pending = v, nil
	if replica.IsHead() {
		replica.syncedView, replica.heldChanged = v.Number, true
		replica.pending = []Register{replica.held}
		replica.forward(now)
	}
	return replica.ready()
}

// forward sends the register on, or, at the tail, tells that it is committed.
func (replica *Replica) forward(now time.Duration) {
	replica.forwardedAt = now
	i := replica.view.Position(replica.id)
	if i < 0 {
		return
	}
	reg := replica.held
	if i+1 < len(replica.view.Chain) {
		replica.outbound = append(replica.outbound, Outbound{replica.view.Chain[i+1], Message{Kind: Forward, From: replica.id, ViewNumber: replica.view.Number, Sequence: reg.Sequence, Register: &reg}, true})
		return
	}
	for _, m := range replica.view.Members() {
		msg := Message{Kind: Commit, From: replica.id, ViewNumber: replica.view.Number, Sequence: reg.Sequence}
		if replica.view.Position(m.ID) < 0 {
			msg.Register = &reg
		}
		replica.outbound = append(replica.outbound, Outbound{m.ID, msg, true})
	}
}

// Proposed is what became of an order at the head: the number that must be committed in view N for it to hold, or, where
// it conflicts, for its refusal to hold.
type Proposed struct {
	ViewNumber, Sequence uint64
	Conflicts            bool
}

// Propose takes an order at the head.
func (replica *Replica) Propose(now time.Duration, o Command) (Proposed, Ready) {
	conflicts := replica.held.ConflictsWith(o)
	if next := replica.held.Apply(o); next.Sequence != replica.held.Sequence {
		replica.held, replica.heldChanged = next, true
		replica.pending = append(replica.pending, next)
		replica.forward(now)
	}
	return Proposed{replica.view.Number, replica.held.Sequence, conflicts}, replica.ready()
}

// Step takes in a message.
func (replica *Replica) Step(now time.Duration, m Message) Ready {
	switch m.Kind {
	case Forward:
		i := replica.view.Position(replica.id)
		if m.ViewNumber != replica.view.Number || m.Register == nil || i < 1 || replica.view.Chain[i-1] != m.From {
			break // of another view: its sender may not commit through us
		}
		synced := replica.syncedView == replica.view.Number
		if synced && m.Register.Sequence < replica.held.Sequence {
			break // late
		}
		if !synced || m.Register.Sequence > replica.held.Sequence {
			replica.held, replica.heldChanged, replica.syncedView = *m.Register, true, replica.view.Number
		}
		if !slices.ContainsFunc(replica.pending, func(r Register) bool { return r.Sequence == replica.held.Sequence }) &&
			(replica.committedView != replica.view.Number || replica.committed.Sequence < replica.held.Sequence) {
			replica.pending = append(replica.pending, replica.held)
		}
		replica.forward(now)
	case Commit:
		if m.ViewNumber != replica.view.Number {
			break
		}
		if m.Register != nil {
			replica.commit(*m.Register, m.ViewNumber)
			break
		}
		for i, r := range replica.pending {
			if r.Sequence == m.Sequence {
				replica.pending = replica.pending[i+1:]
				replica.commit(r, m.ViewNumber)
				break
			}
		}
	case CatchUp:
		// Never as a commit of this machine's own view, which may be an older one: what was entered here would count as committed.
		if m.Register != nil {
			replica.commit(*m.Register, max(m.ViewNumber, replica.committedView))
		}
	}
	return replica.ready()
}

func (replica *Replica) commit(r Register, n uint64) {
	if replica.hasCommitted && r.Sequence < replica.committed.Sequence {
		return
	}
	replica.committedChanged = replica.committedChanged || !replica.hasCommitted || r.Sequence > replica.committed.Sequence || n != replica.committedView
	replica.committed, replica.hasCommitted, replica.committedView = r, true, n
}

// SendCatchUp answers a machine that has committed less than this one: once in a while, as the register may be large.
func (replica *Replica) SendCatchUp(now time.Duration, id string, seq uint64, known bool) Ready {
	t, ok := replica.catchUps[id]
	if replica.hasCommitted && (!known || seq < replica.committed.Sequence) && id != replica.id && (!ok || t.sequence < replica.committed.Sequence || now-t.sentAt >= catchUpRetryInterval) {
		replica.catchUps[id] = catchUp{replica.committed.Sequence, now}
		reg := replica.committed
		replica.outbound = append(replica.outbound, Outbound{id, Message{Kind: CatchUp, From: replica.id, ViewNumber: replica.committedView, Register: &reg}, false})
	}
	return replica.ready()
}

// Tick repeats what was passed and is not committed.
func (replica *Replica) Tick(now time.Duration) Ready {
	if replica.syncedView == replica.view.Number && len(replica.pending) > 0 && now-replica.forwardedAt >= forwardRetryInterval+time.Duration(len(replica.held.Body))*transferTimePerByte {
		replica.forward(now)
	}
	return replica.ready()
}

// ChainSynced tells whether a commit was seen in the present view by one who was filled in it: by then every member of the
// chain has been, as a commit is what all of them have on stable storage.
func (replica *Replica) ChainSynced() bool {
	return replica.syncedView == replica.view.Number && replica.hasCommitted && replica.committedView == replica.view.Number
}
