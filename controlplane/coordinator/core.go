// Package coordinator is what one core machine decides about the lasting state: it joins the agreed view, the chain, the
// disk and the callers' orders and questions. It is free of I/O: calls tell what happened, and the actions they
// return tell what to do. A daemon and a simulation drive the same code.
package coordinator

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/messages"
)

const (
	// AnswerWithin is when a caller is refused that could not be answered: callers go elsewhere after a second.
	AnswerWithin = 900 * time.Millisecond

	enterWithin = 500 * time.Millisecond // an order is sent to the head for so long after it came
	enterAgain  = 150 * time.Millisecond
	slowDisk    = 400 * time.Millisecond // a write that takes longer makes the disk count as sick
	diskAgain   = 300 * time.Millisecond // until a write that failed is tried again
	hintsEvery  = time.Second            // hints alone are written this often at the most
	enterStale  = 350 * time.Millisecond // an order whose sender last heard the head so long ago was held up on its way
	never       = -time.Hour
)

// Kept is what lies on disk.
type Kept struct {
	Disk     string                    `cbor:"1,keyasint"` // its identity
	View     membership.DurableState   `cbor:"2,keyasint"`
	Register chainreplication.Register `cbor:"3,keyasint"`
	SyncedIn uint64                    `cbor:"4,keyasint"`

	// Lives are kept as a hint only: a comb that comes back after a loss of all machines would else know those few
	// replicas that beat first, and have all traffic sent to them.
	Lives []registry.Life `cbor:"5,keyasint,omitempty"`
}

// Decode reads what lies on disk.
func Decode(raw []byte) (k Kept, err error) { return k, cbor.Unmarshal(raw, &k) }

// Begin completes what was on disk by what an empty one begins with: at the very first start the identity that the
// seeds' first view names; else another one, as a machine that has lost its disk has lost its word.
func (k *Kept) Begin(addr string, seeds []string, firstStart bool, chance string) {
	if k.Disk != "" {
		return
	}
	if k.Disk = addr + "/" + chance; firstStart {
		k.Disk = addr + "/0"
		if first := First(seeds); first.HasVoter(k.Disk) {
			k.View.View = first
		}
	}
}

// Message is what core machines say to one another about the lasting state.
type Message struct {
	View      *membership.Message       `cbor:"1,keyasint,omitempty"`
	Chain     *chainreplication.Message `cbor:"2,keyasint,omitempty"`
	Enter     *messages.Enter           `cbor:"3,keyasint,omitempty"`
	Entered   *messages.Entered         `cbor:"4,keyasint,omitempty"`
	Confirm   *messages.Confirm         `cbor:"5,keyasint,omitempty"`
	Confirmed *messages.Confirm         `cbor:"6,keyasint,omitempty"`
	Committed *messages.Committed       `cbor:"7,keyasint,omitempty"`
}

// Send is a message for the machine at an address.
type Send struct {
	To      string
	Message Message
}

// Answer ends a caller's order or question.
type Answer struct {
	Token  uint64
	Status int
	Body   []byte
	Where  string // with a redirect: the control address of who answers
}

// Actions are what is to be done, in the order of their kinds.
type Actions struct {
	Send      []Send
	Answers   []Answer
	Write     []byte // not nil: to be brought on stable storage, then told to Written
	Committed bool   // another register is committed
	Viewed    bool   // another view is held
	Sick      string // not empty: what has become of the disk
	Stood     bool   // this machine was found to have stood still with its clock
}

type order struct {
	o        chainreplication.Command
	entered  bool
	at       chainreplication.Proposed
	came     time.Duration
	sentAt   time.Duration // to another machine; never: nothing of it is under way
	again    time.Duration // when it may be sent once more
	prompt   bool          // it was sent once more before that
	deadline time.Duration
}

type read struct {
	n, seq   uint64
	votes    map[string]bool
	asked    bool
	deadline time.Duration
}

type gated struct {
	gen uint64
	to  membership.Member
	m   Message
}

// Core is one machine's part. Its calls are not made side by side.
type Core struct {
	view  *membership.Node
	chain *chainreplication.Replica
	hints Hints

	gen, saved, writing uint64
	busy                bool
	busySince           time.Duration
	retryAt             time.Duration
	sick                bool
	hintRev             uint64
	hintAt              time.Duration
	gated               []gated
	self                []Message // to this machine itself, next

	orders map[uint64]*order
	reads  map[uint64]*read
	token  uint64
	life   uint64            // of this process: names its orders
	told   map[string]uint64 // what others said that they know to be committed
	out    Actions
}

// Hints are what is kept beside the lasting state, and may be lost.
type Hints interface {
	Revision() uint64 // moves when Lives changes
	Lives() []registry.Life
}

// New makes a core from what was on disk.
func New(self membership.Member, k Kept, seeds []string, chance func() float64, hints Hints) *Core {
	c := &Core{view: membership.New(self, k.View, seeds, chance), chain: chainreplication.New(k.Disk, k.Register, k.SyncedIn), hints: hints,
		orders: map[uint64]*order{}, reads: map[uint64]*read{}, told: map[string]uint64{}}
	c.hintRev = hints.Revision()
	c.life = uint64(chance() * (1 << 53))
	return c
}

// First is the view with which a system starts for the first time: its seeds, in order.
func First(addrs []string) membership.View {
	v := membership.View{Number: 1}
	for _, addr := range slices.Compact(slices.Sorted(slices.Values(addrs))) {
		v.Voters = append(v.Voters, membership.Member{ID: addr + "/0", Addr: addr})
		v.Chain = append(v.Chain, addr+"/0")
	}
	return v
}

// Start begins with the view that was on disk.
func (c *Core) Start(now time.Duration) Actions {
	if c.view.View().Number > 0 {
		c.adopted(now)
	}
	return c.flush(now)
}

// Kept encodes what must be on disk now.
func (c *Core) Kept() ([]byte, error) {
	return cbor.Marshal(Kept{c.view.Self().ID, c.view.State(), c.chain.Held(), c.chain.SyncedView(), c.hints.Lives()})
}

// Self is this machine; View the view held; Register what is committed, if anything is known to be.
func (c *Core) Self() membership.Member                     { return c.view.Self() }
func (c *Core) View() membership.View                       { return c.view.View() }
func (c *Core) Register() (chainreplication.Register, bool) { return c.chain.Committed() }

// Leave has the others do without this machine. Left tells whether they can: a view without it in the chain has settled, so
// that a majority holds on disk what this one holds, and no caller waits here any more.
func (c *Core) Leave() { c.view.Leave() }

// Left tells whether nothing rests on this machine any more, or nobody is there to take it over. The others must be able to go
// on without it: a majority of the voters in the chain, each in contact now, have said that they were filled in this view and
// know what is committed here. Where its seat makes the number of voters even, it waits until that has been dropped.
func (c *Core) Left(now time.Duration) bool {
	v, id := c.view.View(), c.view.Self().ID
	if !c.view.IsLeaving() || len(c.orders)+len(c.reads) > 0 {
		return false
	}
	if c.view.HasNoSuccessor(now) {
		return true
	}
	// Its seat must be somebody's, or one that nobody is there to take: a learner is about to, and an even roster drops it. That goes
	// for the seat of a disk that this machine had before, too.
	seat := slices.ContainsFunc(v.Voters, func(m membership.Member) bool { return m.Addr == c.view.Self().Addr })
	if v.Position(id) >= 0 || v.HasVoter(id) && !c.view.ConfirmsLatestView(v.Number) || seat && (len(v.Voters)%2 == 0 || len(v.Learners) > 0) {
		return false
	}
	r, _ := c.chain.Committed()
	hold := 0
	for _, m := range v.Voters {
		if v.Position(m.ID) >= 0 && c.view.HasContact(now, m.ID) && c.view.IsSynced(m.ID, v.Number) && c.told[m.ID] >= r.Sequence {
			hold++
		}
	}
	return hold >= v.Quorum()
}

// Lost has all contact with the others made anew, where this machine's clock may have stood still with it.
func (c *Core) Lost(now time.Duration) { c.view.ResetContact(now) }

// InTouch tells whether this machine's word counts and reaches a majority.
func (c *Core) InTouch(now time.Duration) bool { return c.view.HasQuorumContact(now) }

// Peers lists the other machines; Heard tells whether one hears and is heard.
func (c *Core) Peers(now time.Duration) []membership.Member { return c.view.Peers(now) }
func (c *Core) Heard(now time.Duration, id string) bool     { return c.view.IsReachable(now, id) }

// Meet tells of addresses where other machines may be; they are greeted.
func (c *Core) Meet(addrs []string) { c.view.SetSeeds(addrs) }

// Standing is what an operator sees of the core from one machine.
type Standing struct {
	Self      string       `json:"self"`
	InTouch   bool         `json:"in_touch"`
	View      uint64       `json:"view"`
	Version   string       `json:"version"`   // of the configuration that is committed here
	Committed uint64       `json:"committed"` // orders
	Held      uint64       `json:"held"`
	Out       []string     `json:"evacuated"`
	Disk      string       `json:"disk"`
	Members   []MemberInfo `json:"members"`
	Disks     int          `json:"disks"`  // that hold what is committed, as far as is known here
	Enough    bool         `json:"enough"` // more than may be lost at once
	Missing   string       `json:"missing,omitempty"`
}

// MemberInfo is one core machine.
type MemberInfo struct {
	ID     string `json:"id"`
	Addr   string `json:"address"`
	Zone   string `json:"zone,omitempty"`
	Call   string `json:"control,omitempty"`
	Place  int    `json:"place"`  // in the chain, from 0; -1: not in it
	Fresh  bool   `json:"fresh"`  // may not be filled yet
	Learns bool   `json:"learns"` // is being filled, and does not vote yet
	Heard  bool   `json:"heard"`
	Lag    int64  `json:"lag"` // orders behind what is committed here, as it last told; -1: not told
}

// Describe tells how the core stands, as this machine knows.
func (c *Core) Describe(now time.Duration) Standing {
	v, self := c.view.View(), c.view.Self()
	r, _ := c.chain.Committed()
	s := Standing{Self: self.ID, InTouch: c.view.HasQuorumContact(now), View: v.Number, Version: fmt.Sprintf("%08x", r.Version), Committed: r.Sequence,
		Held: c.chain.Held().Sequence, Out: slices.Sorted(maps.Keys(r.EvacuatedZones)), Disk: "well"}
	if c.sick {
		s.Disk = "sick"
	}
	for _, m := range v.Members() {
		if known, ok := c.view.KnownMember(m.ID); ok {
			m = known
		}
		i := MemberInfo{ID: m.ID, Addr: m.Addr, Zone: m.Zone, Call: m.APIAddr, Place: v.Position(m.ID), Learns: v.HasLearner(m.ID), Fresh: slices.Contains(v.Unsynced, m.ID) && c.chain.CommittedView() != v.Number,
			Heard: c.view.IsReachable(now, m.ID), Lag: -1}
		if m.ID == self.ID {
			i.Zone, i.Call, i.Heard, i.Lag = self.Zone, self.APIAddr, true, 0
		} else if seq, ok := c.told[m.ID]; ok {
			i.Lag = max(int64(r.Sequence)-int64(seq), 0)
		}
		if i.Place >= 0 && i.Heard && !i.Fresh && !i.Learns && i.Lag == 0 {
			s.Disks++
		}
		s.Members = append(s.Members, i)
	}
	if most := len(v.Voters) - v.Quorum(); s.Disks > most {
		s.Enough = true
	} else {
		s.Missing = fmt.Sprintf("%d of %d disks are known to hold what is committed; %d may be lost at once", s.Disks, len(v.Voters), most)
	}
	return s
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) Actions {
	if c.busy && now-c.busySince > slowDisk {
		c.setSick(true, "slow")
	}
	if c.chain.ChainSynced() {
		c.view.SetCommittedView(c.chain.CommittedView())
	}
	if c.gen == c.saved {
		c.view.SetSyncedView(c.chain.SyncedView())
	}
	c.viewed(now, c.view.Tick(now))
	c.chained(c.chain.Tick(now))
	return c.flush(now)
}

// Receive takes a message of another machine.
func (c *Core) Receive(now time.Duration, from membership.Member, m Message) Actions {
	c.receive(now, from, m)
	return c.flush(now)
}

func (c *Core) receive(now time.Duration, from membership.Member, m Message) {
	switch {
	case m.View != nil:
		c.viewed(now, c.view.Step(now, *m.View))
		c.stood()
		if k := m.Committed; k != nil {
			c.told[from.ID] = k.Seq
			c.chained(c.chain.SendCatchUp(now, from.ID, k.Seq, k.Known))
		}
	case m.Chain != nil:
		c.chained(c.chain.Step(now, *m.Chain))
	case m.Enter != nil:
		// An order that was held up may have been given again by another way, answered, and undone since: operators' calls
		// have no number, so it must not take effect any more. Its age is told by this machine's own clock, since its sender
		// last heard it; the sender answers nobody before what it sent is too old to count.
		ans := &messages.Entered{Token: m.Enter.Token, Clock: c.view.Clock(now)}
		if c.view.IsRecentReading(now, m.Enter.Echo, enterStale) && c.chain.IsHead() && c.view.HasQuorumContact(now) && !c.sick {
			at, out := c.chain.Propose(now, m.Enter.Order)
			ans.N, ans.Seq, ans.Conflicts, ans.OK = at.ViewNumber, at.Sequence, at.Conflicts, true
			c.chained(out)
		}
		// Not before it is on this disk: a head that is killed and back within the same view would else give its place to another
		// order, by which this one would be acknowledged.
		c.send(from, Message{Entered: ans}, ans.OK)
	case m.Entered != nil:
		c.view.ObserveClock(now, from.ID, m.Entered.Clock)
		c.stood()
		if o := c.orders[m.Entered.Token]; o != nil && m.Entered.OK {
			o.entered, o.at = true, chainreplication.Proposed{ViewNumber: m.Entered.N, Sequence: m.Entered.Seq, Conflicts: m.Entered.Conflicts}
		} else if o != nil && !o.prompt { // now that its clock is known, at once
			o.prompt, o.again = true, now
		}
	case m.Confirm != nil:
		c.send(from, Message{Confirmed: &messages.Confirm{Token: m.Confirm.Token, N: m.Confirm.N, OK: c.view.ConfirmsLatestView(m.Confirm.N)}}, true)
	case m.Confirmed != nil:
		if r := c.reads[m.Confirmed.Token]; r != nil && m.Confirmed.OK && m.Confirmed.N == r.n {
			r.votes[from.ID] = true
		}
	}
}

// stood lets go of the orders at hand where this machine stood still with its clock: they may have lain in its sockets, been given
// again elsewhere and undone since. What has entered the chain goes its way.
func (c *Core) stood() {
	if !c.view.TakeStandstill() {
		return
	}
	c.out.Stood = true
	for _, x := range c.orders {
		x.came = never
	}
}

// Order takes a caller's order. Its Answer comes now or later: 200 once it is committed, or, where others were confirmed
// under its number with other content, 409 once that is; else 503.
func (c *Core) Order(now time.Duration, o chainreplication.Command) (uint64, Actions) {
	c.token++
	o.ID = xxhash.Sum64String(fmt.Sprint(c.view.Self().ID, " ", c.life, " ", c.token))
	c.orders[c.token] = &order{o: o, came: now, deadline: now + AnswerWithin, sentAt: never, again: now}
	return c.token, c.flush(now)
}

// Read takes a caller's question for the configuration.
//
// It is answered with what is committed, once a majority has said that no later view may have been decided: a machine
// that was cut off must not answer with what it last knew. One outside the chain sends the caller to the tail.
func (c *Core) Read(now time.Duration) (uint64, Actions) {
	c.token++
	v := c.view.View()
	switch {
	case !c.view.HasQuorumContact(now):
		c.out.Answers = append(c.out.Answers, Answer{Token: c.token, Status: http.StatusServiceUnavailable})
	case v.Position(c.view.Self().ID) < 0:
		a, tail := Answer{Token: c.token, Status: http.StatusServiceUnavailable}, ""
		for _, p := range c.view.Peers(now) { // the last that votes: it holds all that is committed
			if p.APIAddr != "" && v.HasVoter(p.ID) && v.Position(p.ID) >= 0 && (a.Where == "" || v.Position(p.ID) > v.Position(tail)) {
				a.Status, a.Where, tail = http.StatusTemporaryRedirect, p.APIAddr, p.ID
			}
		}
		c.out.Answers = append(c.out.Answers, a)
	default:
		c.reads[c.token] = &read{votes: map[string]bool{}, n: v.Number, seq: c.chain.Held().Sequence, deadline: now + AnswerWithin}
	}
	return c.token, c.flush(now)
}

// Written tells what became of the last Write: its problem, or none.
func (c *Core) Written(now time.Duration, problem string) Actions {
	took := now - c.busySince
	c.busy = false
	if problem != "" {
		c.setSick(true, problem)
		c.retryAt = now + diskAgain
		return c.flush(now)
	}
	c.setSick(took > slowDisk, "slow")
	c.saved = c.writing
	i := 0
	for ; i < len(c.gated) && c.gated[i].gen <= c.saved; i++ {
		c.send(c.gated[i].to, c.gated[i].m, false)
	}
	c.gated = append([]gated(nil), c.gated[i:]...)
	return c.flush(now)
}

func (c *Core) setSick(sick bool, why string) {
	if sick == c.sick {
		return
	}
	c.sick = sick
	c.view.SetDiskUnhealthy(sick)
	if c.out.Sick = "well"; sick {
		c.out.Sick = why
	}
}

// send hands a message over, or keeps it until what is held now is on stable storage: nothing may be promised that a
// loss of power would undo.
func (c *Core) send(to membership.Member, m Message, durable bool) {
	if durable && c.gen != c.saved {
		c.gated = append(c.gated, gated{c.gen, to, m})
		return
	}
	if to.ID == c.view.Self().ID {
		c.self = append(c.self, m)
		return
	}
	c.out.Send = append(c.out.Send, Send{to.Addr, m})
}

func (c *Core) viewed(now time.Duration, o membership.Ready) {
	if o.MustSave {
		c.gen++
	}
	for _, s := range o.Messages {
		m := Message{View: &s.Message}
		if s.Message.Kind == membership.Heartbeat {
			r, known := c.chain.Committed()
			m.Committed = &messages.Committed{Seq: r.Sequence, Known: known}
		}
		c.send(s.To, m, s.AfterSave)
	}
	if o.ViewInstalled {
		c.adopted(now)
	}
}

func (c *Core) adopted(now time.Duration) {
	c.out.Viewed = true
	c.chained(c.chain.InstallView(now, c.view.View()))
}

func (c *Core) chained(o chainreplication.Ready) {
	if o.MustSave {
		c.gen++
	}
	for _, s := range o.Messages {
		if to, ok := c.member(s.To); ok {
			c.send(to, Message{Chain: &s.Message}, s.AfterSave)
		}
	}
	c.out.Committed = c.out.Committed || o.CommittedChanged
}

func (c *Core) member(id string) (membership.Member, bool) {
	if id == c.view.Self().ID {
		return c.view.Self(), true
	}
	for _, m := range c.view.View().Members() {
		if m.ID == id {
			return m, true
		}
	}
	return c.view.KnownMember(id)
}

// flush brings everything as far as it goes and returns what is to be done.
func (c *Core) flush(now time.Duration) Actions {
	for {
		c.advance(now)
		if len(c.self) == 0 {
			break
		}
		m := c.self[0]
		c.self = c.self[1:]
		c.receive(now, c.view.Self(), m)
	}
	rev := c.hints.Revision()
	news := rev != c.hintRev && now-c.hintAt > hintsEvery
	if !c.busy && (c.gen != c.saved || c.sick || news) && now >= c.retryAt {
		if raw, err := c.Kept(); err == nil {
			c.out.Write, c.busy, c.busySince, c.writing = raw, true, now, c.gen
			c.hintRev, c.hintAt = rev, now
		}
	}
	out := c.out
	c.out = Actions{}
	return out
}

// advance moves orders and reads on as far as they go.
func (c *Core) advance(now time.Duration) {
	v := c.view.View()
	touch := c.view.HasQuorumContact(now)
	r, known := c.chain.Committed()
	var outs []chainreplication.Ready
	for _, token := range slices.Sorted(maps.Keys(c.orders)) {
		x := c.orders[token]
		if x.entered && v.Number != x.at.ViewNumber {
			x.entered = false // that head's word counts no more; each order may be entered again, and is taken once
		}
		status := 0
		switch {
		case x.entered && known && c.chain.CommittedView() == x.at.ViewNumber && r.Sequence >= x.at.Sequence:
			if status = http.StatusOK; x.at.Conflicts {
				status = http.StatusConflict
			}
		case (!touch || now > x.deadline || !x.entered && now > x.came+enterWithin) && now > x.sentAt+enterStale:
			// The caller is let go only now: what is under way is too old to take effect, over something newer, any more.
			status = http.StatusServiceUnavailable
		case touch && !x.entered && len(v.Chain) > 0 && now >= x.again && now <= x.came+enterWithin:
			x.again = now + enterAgain
			if v.Chain[0] != c.view.Self().ID {
				if m, ok := c.member(v.Chain[0]); ok {
					x.sentAt = now
					c.send(m, Message{Enter: &messages.Enter{Token: token, Order: x.o, Echo: c.view.PeerClock(m.ID)}}, false)
				}
			} else if !c.sick {
				at, out := c.chain.Propose(now, x.o)
				x.entered, x.at = true, at
				outs = append(outs, out)
			}
		}
		if status != 0 {
			c.out.Answers = append(c.out.Answers, Answer{Token: token, Status: status})
			delete(c.orders, token)
		}
	}
	for _, token := range slices.Sorted(maps.Keys(c.reads)) {
		x := c.reads[token]
		a := Answer{Token: token}
		switch {
		case !touch || now > x.deadline || v.Number != x.n:
			a.Status = http.StatusServiceUnavailable
		case len(x.votes) >= v.Quorum() && c.chain.CommittedView() == v.Number && known && r.Sequence >= x.seq:
			if a.Status, a.Body = http.StatusOK, r.Body; len(r.Body) == 0 {
				a.Status = http.StatusNotFound
			}
		case !x.asked:
			x.asked = true
			for _, m := range v.Voters {
				c.send(m, Message{Confirm: &messages.Confirm{Token: token, N: v.Number}}, false)
			}
		}
		if a.Status != 0 {
			c.out.Answers = append(c.out.Answers, a)
			delete(c.reads, token)
		}
	}
	for _, out := range outs {
		c.chained(out)
	}
}
