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

// passAgain is how long a pass may stay without its commit before it is repeated: links lose what was under way.
const passAgain = 300 * time.Millisecond

const (
	tellAgain = time.Second          // a register that was told to one that lacks it
	byteTakes = 30 * time.Nanosecond // of a register on its way and on disk, at the slowest: a large one is not passed again sooner
)

// Register is the lasting state. It is not changed once made.
type Register struct {
	Seq     uint64          `cbor:"1,keyasint"` // orders so far
	Version uint64          `cbor:"2,keyasint"`
	Body    []byte          `cbor:"3,keyasint,omitempty"` // of the configuration, as it was sent
	Out     map[string]bool `cbor:"4,keyasint,omitempty"` // zones being emptied

	// Notes are small states that the gateway keeps for itself (grants of maintenance windows, roll-outs), by name.
	Notes map[string]Note `cbor:"5,keyasint,omitempty"`

	// Taken names the orders lately taken, newest last: one that is entered again, after a view change or late, changes
	// nothing. Claims are the highest numbers that operators were confirmed under, with what they sent. Both
	// are bounded, and part of what is passed and kept.
	Taken  []uint64 `cbor:"6,keyasint,omitempty"`
	Claims []Claim  `cbor:"7,keyasint,omitempty"`
}

// Claim is a configuration's number and the checksum of its bytes.
type Claim struct {
	Version uint64 `cbor:"1,keyasint"`
	Sum     uint64 `cbor:"2,keyasint"`
}

func byVersion(a, b Claim) int { return cmp.Compare(a.Version, b.Version) }

const (
	takenMost  = 64 // orders are entered again for half a second; eight at once may be under way
	claimsMost = 64 // the highest numbers; a lower one that comes again cannot be told from a new one
)

// Note is one of them. Whoever changes it names the revision that it saw: of two at once one is taken.
type Note struct {
	Rev   uint64   `cbor:"1,keyasint"`
	Value []byte   `cbor:"2,keyasint,omitempty"`
	By    []string `cbor:"3,keyasint,omitempty"` // the latest changes, newest last, so that a proposer finds its own
}

// byMost is how many changes of a note are remembered by name.
const byMost = 8

// TookBy tells whether a change was taken.
func (n Note) TookBy(by string) bool { return slices.Contains(n.By, by) }

// Order is one change. Each may be given again without harm.
type Order struct {
	ID uint64 `cbor:"9,keyasint,omitempty"` // given where it came in: entered twice, it is taken once; 0: not known again

	Body    []byte `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"` // with Out: an evacuation begins or ends
	Out     bool   `cbor:"4,keyasint,omitempty"`

	Note  string `cbor:"5,keyasint,omitempty"` // with the next three: a note is changed
	If    uint64 `cbor:"6,keyasint,omitempty"` // the revision that it must have
	By    string `cbor:"7,keyasint,omitempty"`
	Value []byte `cbor:"8,keyasint,omitempty"`
}

// Conflicts tells whether an order claims a number that others were confirmed under with other content: the two cannot
// both be confirmed.
func (r Register) Conflicts(o Order) bool {
	c, ok := r.claimed(o)
	return ok && c.Sum != xxhash.Sum64(o.Body)
}

func (r Register) claimed(o Order) (Claim, bool) {
	if o.Version == 0 || o.Note != "" || o.Zone != "" {
		return Claim{}, false
	}
	if i := slices.IndexFunc(r.Claims, func(c Claim) bool { return c.Version == o.Version }); i >= 0 {
		return r.Claims[i], true
	}
	return Claim{r.Version, xxhash.Sum64(r.Body)}, o.Version == r.Version // kept by a build that knew no claims
}

// Apply returns the register after an order; an order that changes nothing leaves Seq as it is.
func (r Register) Apply(o Order) Register {
	if o.ID != 0 && slices.Contains(r.Taken, o.ID) {
		return r
	}
	switch {
	case o.Note != "":
		n := r.Notes[o.Note]
		if n.Rev != o.If || n.TookBy(o.By) {
			return r
		}
		by := append(slices.Clone(n.By), o.By)
		notes := maps.Clone(r.Notes)
		if notes == nil {
			notes = map[string]Note{}
		}
		notes[o.Note] = Note{n.Rev + 1, o.Value, by[max(len(by)-byMost, 0):]}
		r.Notes = notes
	case o.Zone != "":
		if r.Out[o.Zone] == o.Out {
			return r
		}
		out := maps.Clone(r.Out)
		if out == nil {
			out = map[string]bool{}
		}
		if o.Out {
			out[o.Zone] = true
		} else {
			delete(out, o.Zone)
		}
		r.Out = out
	default:
		if _, ok := r.claimed(o); ok || o.Version == 0 {
			return r
		}
		if o.Version > r.Version {
			r.Version, r.Body = o.Version, o.Body
		} // else it was overtaken: its number is claimed all the same, so that nobody else is confirmed under it
		r.Claims = append(slices.Clone(r.Claims), Claim{o.Version, xxhash.Sum64(o.Body)})
		if len(r.Claims) > claimsMost { // the lowest goes: of many numbers that were overtaken, none pushes out the newest
			lowest := slices.MinFunc(r.Claims, byVersion).Version
			r.Claims = slices.DeleteFunc(r.Claims, func(c Claim) bool { return c.Version == lowest })
		}
	}
	if o.ID != 0 {
		r.Taken = append(slices.Clone(r.Taken[max(len(r.Taken)-takenMost+1, 0):]), o.ID)
	}
	r.Seq++
	return r
}

// Kind tells messages apart.
type Kind uint8

const (
	Pass Kind = iota + 1
	Done      // from the tail: committed
	Told      // the committed register whole, to one that lacks it, and the view in which its commit was seen
)

// Message is what members say to one another.
type Message struct {
	Kind Kind      `cbor:"1,keyasint"`
	From string    `cbor:"2,keyasint"`
	N    uint64    `cbor:"3,keyasint,omitempty"` // the view
	Seq  uint64    `cbor:"4,keyasint,omitempty"`
	Reg  *Register `cbor:"5,keyasint,omitempty"`
}

// Send is an action. With Durable set it must wait until what is held now is on stable storage. To may be this
// machine itself.
type Send struct {
	To      string // identity
	Message Message
	Durable bool
}

// Engine is one machine's part.
type Engine struct {
	id        string
	view      membership.View
	held      Register
	committed Register
	known     bool // committed holds something
	at        uint64
	syncedIn  uint64 // the last view of which a pass was taken, or whose head this was
	passedAt  time.Duration
	out       []Send
	changed   bool
	news      bool
	told      map[string]told
	pending   []Register // passed in this view, not committed yet, oldest first
}

type told struct {
	seq uint64
	at  time.Duration
}

// New makes an engine from what was on disk.
//
// SyncedIn is kept beside the register: without it a member that was killed and came back would take a late pass of
// the same view for the first one, and fall behind what it had already vouched for.
func New(id string, held Register, syncedIn uint64) *Engine {
	return &Engine{id: id, held: held, syncedIn: syncedIn, told: map[string]told{}}
}

// Output is what a step brings.
type Output struct {
	Send      []Send
	Save      bool // Held changed
	Committed bool // Committed changed
}

func (e *Engine) flush() Output {
	o := Output{e.out, e.changed, e.news}
	e.out, e.changed, e.news = nil, false, false
	return o
}

// Held is what must be kept on disk.
func (e *Engine) Held() Register { return e.held }

// SyncedIn is kept beside it.
func (e *Engine) SyncedIn() uint64 { return e.syncedIn }

// Committed is the newest register known to be committed, and whether any is.
func (e *Engine) Committed() (Register, bool) { return e.committed, e.known }

// CommittedIn is the view in which this machine last saw a commit.
func (e *Engine) CommittedIn() uint64 { return e.at }

// Head tells whether orders enter here.
func (e *Engine) Head() bool { return len(e.view.Chain) > 0 && e.view.Chain[0] == e.id }

// Adopt takes on a view.
func (e *Engine) Adopt(now time.Duration, v membership.View) Output {
	if v.N <= e.view.N {
		return e.flush()
	}
	e.view, e.pending = v, nil
	if e.Head() {
		e.syncedIn, e.changed = v.N, true
		e.pending = []Register{e.held}
		e.pass(now)
	}
	return e.flush()
}

// pass sends the register on, or, at the tail, tells that it is committed.
func (e *Engine) pass(now time.Duration) {
	e.passedAt = now
	i := e.view.Place(e.id)
	if i < 0 {
		return
	}
	reg := e.held
	if i+1 < len(e.view.Chain) {
		e.out = append(e.out, Send{e.view.Chain[i+1], Message{Kind: Pass, From: e.id, N: e.view.N, Seq: reg.Seq, Reg: &reg}, true})
		return
	}
	for _, m := range e.view.Members() {
		msg := Message{Kind: Done, From: e.id, N: e.view.N, Seq: reg.Seq}
		if e.view.Place(m.ID) < 0 {
			msg.Reg = &reg
		}
		e.out = append(e.out, Send{m.ID, msg, true})
	}
}

// Entered is what became of an order at the head: the number that must be committed in view N for it to hold, or, where
// it conflicts, for its refusal to hold.
type Entered struct {
	N, Seq    uint64
	Conflicts bool
}

// Enter takes an order at the head.
func (e *Engine) Enter(now time.Duration, o Order) (Entered, Output) {
	conflicts := e.held.Conflicts(o)
	if next := e.held.Apply(o); next.Seq != e.held.Seq {
		e.held, e.changed = next, true
		e.pending = append(e.pending, next)
		e.pass(now)
	}
	return Entered{e.view.N, e.held.Seq, conflicts}, e.flush()
}

// Receive takes in a message.
func (e *Engine) Receive(now time.Duration, m Message) Output {
	switch m.Kind {
	case Pass:
		i := e.view.Place(e.id)
		if m.N != e.view.N || m.Reg == nil || i < 1 || e.view.Chain[i-1] != m.From {
			break // of another view: its sender may not commit through us
		}
		synced := e.syncedIn == e.view.N
		if synced && m.Reg.Seq < e.held.Seq {
			break // late
		}
		if !synced || m.Reg.Seq > e.held.Seq {
			e.held, e.changed, e.syncedIn = *m.Reg, true, e.view.N
		}
		if !slices.ContainsFunc(e.pending, func(r Register) bool { return r.Seq == e.held.Seq }) &&
			(e.at != e.view.N || e.committed.Seq < e.held.Seq) {
			e.pending = append(e.pending, e.held)
		}
		e.pass(now)
	case Done:
		if m.N != e.view.N {
			break
		}
		if m.Reg != nil {
			e.commit(*m.Reg, m.N)
			break
		}
		for i, r := range e.pending {
			if r.Seq == m.Seq {
				e.pending = e.pending[i+1:]
				e.commit(r, m.N)
				break
			}
		}
	case Told:
		// Never as a commit of this machine's own view, which may be an older one: what was entered here would count as committed.
		if m.Reg != nil {
			e.commit(*m.Reg, max(m.N, e.at))
		}
	}
	return e.flush()
}

func (e *Engine) commit(r Register, n uint64) {
	if e.known && r.Seq < e.committed.Seq {
		return
	}
	e.news = e.news || !e.known || r.Seq > e.committed.Seq || n != e.at
	e.committed, e.known, e.at = r, true, n
}

// Lacks answers a machine that has committed less than this one: once in a while, as the register may be large.
func (e *Engine) Lacks(now time.Duration, id string, seq uint64, known bool) Output {
	t, ok := e.told[id]
	if e.known && (!known || seq < e.committed.Seq) && id != e.id && (!ok || t.seq < e.committed.Seq || now-t.at >= tellAgain) {
		e.told[id] = told{e.committed.Seq, now}
		reg := e.committed
		e.out = append(e.out, Send{id, Message{Kind: Told, From: e.id, N: e.at, Reg: &reg}, false})
	}
	return e.flush()
}

// Tick repeats what was passed and is not committed.
func (e *Engine) Tick(now time.Duration) Output {
	if e.syncedIn == e.view.N && len(e.pending) > 0 && now-e.passedAt >= passAgain+time.Duration(len(e.held.Body))*byteTakes {
		e.pass(now)
	}
	return e.flush()
}

// Settled tells whether a commit was seen in the present view by one who was filled in it: by then every member of the
// chain has been, as a commit is what all of them have on stable storage.
func (e *Engine) Settled() bool { return e.syncedIn == e.view.N && e.known && e.at == e.view.N }
