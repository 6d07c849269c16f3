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
	// RequestTimeout is when a caller is refused that could not be answered: callers go elsewhere after a second.
	RequestTimeout = 900 * time.Millisecond

	proposeForwardWindow = 500 * time.Millisecond // an order is sent to the head for so long after it came
	proposeRetryInterval = 150 * time.Millisecond
	slowWriteThreshold   = 400 * time.Millisecond // a write that takes longer makes the disk count as sick
	writeRetryInterval   = 300 * time.Millisecond // until a write that failed is tried again
	hintsWriteInterval   = time.Second            // hints alone are written this often at the most
	maxProposalAge       = 350 * time.Millisecond // an order whose sender last heard the head so long ago was held up on its way
	never                = -time.Hour
)

// PersistentState is what lies on disk.
type PersistentState struct {
	DiskID     string                    `cbor:"1,keyasint"` // its identity
	View       membership.DurableState   `cbor:"2,keyasint"`
	Register   chainreplication.Register `cbor:"3,keyasint"`
	SyncedView uint64                    `cbor:"4,keyasint"`

	// Lives are kept as a hint only: a comb that comes back after a loss of all machines would else know those few
	// replicas that beat first, and have all traffic sent to them.
	Instances []registry.Instance `cbor:"5,keyasint,omitempty"`
}

// DecodePersistentState reads what lies on disk.
func DecodePersistentState(raw []byte) (k PersistentState, err error) {
	return k, cbor.Unmarshal(raw, &k)
}

// Initialize completes what was on disk by what an empty one begins with: at the very first start the identity that the
// seeds' first view names; else another one, as a machine that has lost its disk has lost its word.
func (k *PersistentState) Initialize(addr string, seeds []string, firstStart bool, chance string) {
	if k.DiskID != "" {
		return
	}
	if k.DiskID = addr + "/" + chance; firstStart {
		k.DiskID = addr + "/0"
		if first := InitialView(seeds); first.HasVoter(k.DiskID) {
			k.View.View = first
		}
	}
}

// Message is what core machines say to one another about the lasting state.
type Message struct {
	View                *membership.Message       `cbor:"1,keyasint,omitempty"`
	Chain               *chainreplication.Message `cbor:"2,keyasint,omitempty"`
	ProposeRequest      *messages.ProposeRequest  `cbor:"3,keyasint,omitempty"`
	ProposeResponse     *messages.ProposeResponse `cbor:"4,keyasint,omitempty"`
	ConfirmViewRequest  *messages.ConfirmView     `cbor:"5,keyasint,omitempty"`
	ConfirmViewResponse *messages.ConfirmView     `cbor:"6,keyasint,omitempty"`
	CommitStatus        *messages.CommitStatus    `cbor:"7,keyasint,omitempty"`
}

// Outbound is a message for the machine at an address.
type Outbound struct {
	To      string
	Message Message
}

// Response ends a caller's order or question.
type Response struct {
	RequestID  uint64
	Status     int
	Body       []byte
	RedirectTo string // with a redirect: the control address of who answers
}

// Actions are what is to be done, in the order of their kinds.
type Actions struct {
	Messages           []Outbound
	Responses          []Response
	StateToPersist     []byte // not nil: to be brought on stable storage, then told to Written
	RegisterCommitted  bool   // another register is committed
	ViewInstalled      bool   // another view is held
	DiskHealth         string // not empty: what has become of the disk
	StandstillDetected bool   // this machine was found to have stood still with its clock
}

type pendingProposal struct {
	command      chainreplication.Command
	accepted     bool
	position     chainreplication.Proposed
	receivedAt   time.Duration
	sentAt       time.Duration // to another machine; never: nothing of it is under way
	retryAt      time.Duration // when it may be sent once more
	retriedEarly bool          // it was sent once more before that
	deadline     time.Duration
}

type pendingRead struct {
	viewNumber, sequence uint64
	confirmations        map[string]bool
	requested            bool
	deadline             time.Duration
}

type deferredMessage struct {
	generation uint64
	to         membership.Member
	message    Message
}

// Coordinator is one machine's part. Its calls are not made side by side.
type Coordinator struct {
	membership *membership.Node
	chain      *chainreplication.Replica
	hints      Hints

	generation, persistedGeneration, writingGeneration uint64
	writeInFlight                                      bool
	writeStartedAt                                     time.Duration
	writeRetryAt                                       time.Duration
	diskUnhealthy                                      bool
	hintsRevision                                      uint64
	hintsWrittenAt                                     time.Duration
	deferred                                           []deferredMessage
	loopback                                           []Message // to this machine itself, next

	proposals     map[uint64]*pendingProposal
	reads         map[uint64]*pendingRead
	lastRequestID uint64
	incarnation   uint64            // of this process: names its orders
	peerCommitted map[string]uint64 // what others said that they know to be committed
	actions       Actions
}

// Hints are what is kept beside the lasting state, and may be lost.
type Hints interface {
	Revision() uint64 // moves when Lives changes
	Instances() []registry.Instance
}

// New makes a core from what was on disk.
func New(self membership.Member, k PersistentState, seeds []string, chance func() float64, hints Hints) *Coordinator {
	c := &Coordinator{membership: membership.New(self, k.View, seeds, chance), chain: chainreplication.New(k.DiskID, k.Register, k.SyncedView), hints: hints,
		proposals: map[uint64]*pendingProposal{}, reads: map[uint64]*pendingRead{}, peerCommitted: map[string]uint64{}}
	c.hintsRevision = hints.Revision()
	c.incarnation = uint64(chance() * (1 << 53))
	return c
}

// InitialView is the view with which a system starts for the first time: its seeds, in order.
func InitialView(addrs []string) membership.View {
	v := membership.View{Number: 1}
	for _, addr := range slices.Compact(slices.Sorted(slices.Values(addrs))) {
		v.Voters = append(v.Voters, membership.Member{ID: addr + "/0", Addr: addr})
		v.Chain = append(v.Chain, addr+"/0")
	}
	return v
}

// Start begins with the view that was on disk.
func (c *Coordinator) Start(now time.Duration) Actions {
	if c.membership.View().Number > 0 {
		c.installView(now)
	}
	return c.takeActions(now)
}

// EncodeState encodes what must be on disk now.
func (c *Coordinator) EncodeState() ([]byte, error) {
	return cbor.Marshal(PersistentState{c.membership.Self().ID, c.membership.State(), c.chain.Held(), c.chain.SyncedView(), c.hints.Instances()})
}

// Self is this machine; View the view held; Register what is committed, if anything is known to be.
func (c *Coordinator) Self() membership.Member                     { return c.membership.Self() }
func (c *Coordinator) View() membership.View                       { return c.membership.View() }
func (c *Coordinator) Register() (chainreplication.Register, bool) { return c.chain.Committed() }

// BeginLeave has the others do without this machine. Left tells whether they can: a view without it in the chain has settled, so
// that a majority holds on disk what this one holds, and no caller waits here any more.
func (c *Coordinator) BeginLeave() { c.membership.Leave() }

// LeaveComplete tells whether nothing rests on this machine any more, or nobody is there to take it over. The others must be able to go
// on without it: a majority of the voters in the chain, each in contact now, have said that they were filled in this view and
// know what is committed here. Where its seat makes the number of voters even, it waits until that has been dropped.
func (c *Coordinator) LeaveComplete(now time.Duration) bool {
	v, id := c.membership.View(), c.membership.Self().ID
	if !c.membership.IsLeaving() || len(c.proposals)+len(c.reads) > 0 {
		return false
	}
	if c.membership.HasNoSuccessor(now) {
		return true
	}
	// Its seat must be somebody's, or one that nobody is there to take: a learner is about to, and an even roster drops it. That goes
	// for the seat of a disk that this machine had before, too.
	seat := slices.ContainsFunc(v.Voters, func(m membership.Member) bool { return m.Addr == c.membership.Self().Addr })
	if v.Position(id) >= 0 || v.HasVoter(id) && !c.membership.ConfirmsLatestView(v.Number) || seat && (len(v.Voters)%2 == 0 || len(v.Learners) > 0) {
		return false
	}
	r, _ := c.chain.Committed()
	hold := 0
	for _, m := range v.Voters {
		if v.Position(m.ID) >= 0 && c.membership.HasContact(now, m.ID) && c.membership.IsSynced(m.ID, v.Number) && c.peerCommitted[m.ID] >= r.Sequence {
			hold++
		}
	}
	return hold >= v.Quorum()
}

// ResetContact has all contact with the others made anew, where this machine's clock may have stood still with it.
func (c *Coordinator) ResetContact(now time.Duration) { c.membership.ResetContact(now) }

// HasQuorumContact tells whether this machine's word counts and reaches a majority.
func (c *Coordinator) HasQuorumContact(now time.Duration) bool {
	return c.membership.HasQuorumContact(now)
}

// Peers lists the other machines; Heard tells whether one hears and is heard.
func (c *Coordinator) Peers(now time.Duration) []membership.Member { return c.membership.Peers(now) }
func (c *Coordinator) IsReachable(now time.Duration, id string) bool {
	return c.membership.IsReachable(now, id)
}

// SetSeeds tells of addresses where other machines may be; they are greeted.
func (c *Coordinator) SetSeeds(addrs []string) { c.membership.SetSeeds(addrs) }

// Status is what an operator sees of the core from one machine.
type Status struct {
	Self              string         `json:"self"`
	HasQuorumContact  bool           `json:"in_touch"`
	View              uint64         `json:"view"`
	ConfigVersion     string         `json:"version"`   // of the configuration that is committed here
	CommittedSequence uint64         `json:"committed"` // orders
	HeldSequence      uint64         `json:"held"`
	EvacuatedZones    []string       `json:"evacuated"`
	DiskHealth        string         `json:"disk"`
	Members           []MemberStatus `json:"members"`
	UpToDateDisks     int            `json:"disks"`  // that hold what is committed, as far as is known here
	FaultTolerant     bool           `json:"enough"` // more than may be lost at once
	Shortfall         string         `json:"missing,omitempty"`
}

// MemberStatus is one core machine.
type MemberStatus struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Zone          string `json:"zone,omitempty"`
	APIAddress    string `json:"control,omitempty"`
	ChainPosition int    `json:"place"`  // in the chain, from 0; -1: not in it
	Unsynced      bool   `json:"fresh"`  // may not be filled yet
	Learner       bool   `json:"learns"` // is being filled, and does not vote yet
	Reachable     bool   `json:"heard"`
	Lag           int64  `json:"lag"` // orders behind what is committed here, as it last told; -1: not told
}

// Status tells how the core stands, as this machine knows.
func (c *Coordinator) Status(now time.Duration) Status {
	v, self := c.membership.View(), c.membership.Self()
	r, _ := c.chain.Committed()
	s := Status{Self: self.ID, HasQuorumContact: c.membership.HasQuorumContact(now), View: v.Number, ConfigVersion: fmt.Sprintf("%08x", r.Version), CommittedSequence: r.Sequence,
		HeldSequence: c.chain.Held().Sequence, EvacuatedZones: slices.Sorted(maps.Keys(r.EvacuatedZones)), DiskHealth: "well"}
	if c.diskUnhealthy {
		s.DiskHealth = "sick"
	}
	for _, m := range v.Members() {
		if known, ok := c.membership.KnownMember(m.ID); ok {
			m = known
		}
		i := MemberStatus{ID: m.ID, Address: m.Addr, Zone: m.Zone, APIAddress: m.APIAddr, ChainPosition: v.Position(m.ID), Learner: v.HasLearner(m.ID), Unsynced: slices.Contains(v.Unsynced, m.ID) && c.chain.CommittedView() != v.Number,
			Reachable: c.membership.IsReachable(now, m.ID), Lag: -1}
		if m.ID == self.ID {
			i.Zone, i.APIAddress, i.Reachable, i.Lag = self.Zone, self.APIAddr, true, 0
		} else if seq, ok := c.peerCommitted[m.ID]; ok {
			i.Lag = max(int64(r.Sequence)-int64(seq), 0)
		}
		if i.ChainPosition >= 0 && i.Reachable && !i.Unsynced && !i.Learner && i.Lag == 0 {
			s.UpToDateDisks++
		}
		s.Members = append(s.Members, i)
	}
	if most := len(v.Voters) - v.Quorum(); s.UpToDateDisks > most {
		s.FaultTolerant = true
	} else {
		s.Shortfall = fmt.Sprintf("%d of %d disks are known to hold what is committed; %d may be lost at once", s.UpToDateDisks, len(v.Voters), most)
	}
	return s
}

// Tick lets time pass.
func (c *Coordinator) Tick(now time.Duration) Actions {
	if c.writeInFlight && now-c.writeStartedAt > slowWriteThreshold {
		c.setDiskUnhealthy(true, "slow")
	}
	if c.chain.ChainSynced() {
		c.membership.SetCommittedView(c.chain.CommittedView())
	}
	if c.generation == c.persistedGeneration {
		c.membership.SetSyncedView(c.chain.SyncedView())
	}
	c.applyMembershipReady(now, c.membership.Tick(now))
	c.applyChainReady(c.chain.Tick(now))
	return c.takeActions(now)
}

// Step takes a message of another machine.
func (c *Coordinator) Step(now time.Duration, from membership.Member, m Message) Actions {
	c.step(now, from, m)
	return c.takeActions(now)
}

func (c *Coordinator) step(now time.Duration, from membership.Member, m Message) {
	switch {
	case m.View != nil:
		c.applyMembershipReady(now, c.membership.Step(now, *m.View))
		c.expireProposalsAfterStandstill()
		if k := m.CommitStatus; k != nil {
			c.peerCommitted[from.ID] = k.Sequence
			c.applyChainReady(c.chain.SendCatchUp(now, from.ID, k.Sequence, k.Known))
		}
	case m.Chain != nil:
		c.applyChainReady(c.chain.Step(now, *m.Chain))
	case m.ProposeRequest != nil:
		// An order that was held up may have been given again by another way, answered, and undone since: operators' calls
		// have no number, so it must not take effect any more. Its age is told by this machine's own clock, since its sender
		// last heard it; the sender answers nobody before what it sent is too old to count.
		ans := &messages.ProposeResponse{RequestID: m.ProposeRequest.RequestID, HeadClock: c.membership.Clock(now)}
		if c.membership.IsRecentReading(now, m.ProposeRequest.HeadClock, maxProposalAge) && c.chain.IsHead() && c.membership.HasQuorumContact(now) && !c.diskUnhealthy {
			at, out := c.chain.Propose(now, m.ProposeRequest.Command)
			ans.ViewNumber, ans.Sequence, ans.Conflict, ans.Accepted = at.ViewNumber, at.Sequence, at.Conflicts, true
			c.applyChainReady(out)
		}
		// Not before it is on this disk: a head that is killed and back within the same view would else give its place to another
		// order, by which this one would be acknowledged.
		c.send(from, Message{ProposeResponse: ans}, ans.Accepted)
	case m.ProposeResponse != nil:
		c.membership.ObserveClock(now, from.ID, m.ProposeResponse.HeadClock)
		c.expireProposalsAfterStandstill()
		if o := c.proposals[m.ProposeResponse.RequestID]; o != nil && m.ProposeResponse.Accepted {
			o.accepted, o.position = true, chainreplication.Proposed{ViewNumber: m.ProposeResponse.ViewNumber, Sequence: m.ProposeResponse.Sequence, Conflicts: m.ProposeResponse.Conflict}
		} else if o != nil && !o.retriedEarly { // now that its clock is known, at once
			o.retriedEarly, o.retryAt = true, now
		}
	case m.ConfirmViewRequest != nil:
		c.send(from, Message{ConfirmViewResponse: &messages.ConfirmView{RequestID: m.ConfirmViewRequest.RequestID, ViewNumber: m.ConfirmViewRequest.ViewNumber, Confirmed: c.membership.ConfirmsLatestView(m.ConfirmViewRequest.ViewNumber)}}, true)
	case m.ConfirmViewResponse != nil:
		if r := c.reads[m.ConfirmViewResponse.RequestID]; r != nil && m.ConfirmViewResponse.Confirmed && m.ConfirmViewResponse.ViewNumber == r.viewNumber {
			r.confirmations[from.ID] = true
		}
	}
}

// expireProposalsAfterStandstill lets go of the orders at hand where this machine stood still with its clock: they may have lain in its sockets, been given
// again elsewhere and undone since. What has entered the chain goes its way.
func (c *Coordinator) expireProposalsAfterStandstill() {
	if !c.membership.TakeStandstill() {
		return
	}
	c.actions.StandstillDetected = true
	for _, x := range c.proposals {
		x.receivedAt = never
	}
}

// Propose takes a caller's order. Its Answer comes now or later: 200 once it is committed, or, where others were confirmed
// under its number with other content, 409 once that is; else 503.
func (c *Coordinator) Propose(now time.Duration, o chainreplication.Command) (uint64, Actions) {
	c.lastRequestID++
	o.ID = xxhash.Sum64String(fmt.Sprint(c.membership.Self().ID, " ", c.incarnation, " ", c.lastRequestID))
	c.proposals[c.lastRequestID] = &pendingProposal{command: o, receivedAt: now, deadline: now + RequestTimeout, sentAt: never, retryAt: now}
	return c.lastRequestID, c.takeActions(now)
}

// Read takes a caller's question for the configuration.
//
// It is answered with what is committed, once a majority has said that no later view may have been decided: a machine
// that was cut off must not answer with what it last knew. One outside the chain sends the caller to the tail.
func (c *Coordinator) Read(now time.Duration) (uint64, Actions) {
	c.lastRequestID++
	v := c.membership.View()
	switch {
	case !c.membership.HasQuorumContact(now):
		c.actions.Responses = append(c.actions.Responses, Response{RequestID: c.lastRequestID, Status: http.StatusServiceUnavailable})
	case v.Position(c.membership.Self().ID) < 0:
		a, tail := Response{RequestID: c.lastRequestID, Status: http.StatusServiceUnavailable}, ""
		for _, p := range c.membership.Peers(now) { // the last that votes: it holds all that is committed
			if p.APIAddr != "" && v.HasVoter(p.ID) && v.Position(p.ID) >= 0 && (a.RedirectTo == "" || v.Position(p.ID) > v.Position(tail)) {
				a.Status, a.RedirectTo, tail = http.StatusTemporaryRedirect, p.APIAddr, p.ID
			}
		}
		c.actions.Responses = append(c.actions.Responses, a)
	default:
		c.reads[c.lastRequestID] = &pendingRead{confirmations: map[string]bool{}, viewNumber: v.Number, sequence: c.chain.Held().Sequence, deadline: now + RequestTimeout}
	}
	return c.lastRequestID, c.takeActions(now)
}

// StatePersisted tells what became of the last Write: its problem, or none.
func (c *Coordinator) StatePersisted(now time.Duration, problem string) Actions {
	took := now - c.writeStartedAt
	c.writeInFlight = false
	if problem != "" {
		c.setDiskUnhealthy(true, problem)
		c.writeRetryAt = now + writeRetryInterval
		return c.takeActions(now)
	}
	c.setDiskUnhealthy(took > slowWriteThreshold, "slow")
	c.persistedGeneration = c.writingGeneration
	i := 0
	for ; i < len(c.deferred) && c.deferred[i].generation <= c.persistedGeneration; i++ {
		c.send(c.deferred[i].to, c.deferred[i].message, false)
	}
	c.deferred = append([]deferredMessage(nil), c.deferred[i:]...)
	return c.takeActions(now)
}

func (c *Coordinator) setDiskUnhealthy(sick bool, why string) {
	if sick == c.diskUnhealthy {
		return
	}
	c.diskUnhealthy = sick
	c.membership.SetDiskUnhealthy(sick)
	if c.actions.DiskHealth = "well"; sick {
		c.actions.DiskHealth = why
	}
}

// send hands a message over, or keeps it until what is held now is on stable storage: nothing may be promised that a
// loss of power would undo.
func (c *Coordinator) send(to membership.Member, m Message, durable bool) {
	if durable && c.generation != c.persistedGeneration {
		c.deferred = append(c.deferred, deferredMessage{c.generation, to, m})
		return
	}
	if to.ID == c.membership.Self().ID {
		c.loopback = append(c.loopback, m)
		return
	}
	c.actions.Messages = append(c.actions.Messages, Outbound{to.Addr, m})
}

func (c *Coordinator) applyMembershipReady(now time.Duration, o membership.Ready) {
	if o.MustSave {
		c.generation++
	}
	for _, s := range o.Messages {
		m := Message{View: &s.Message}
		if s.Message.Kind == membership.Heartbeat {
			r, known := c.chain.Committed()
			m.CommitStatus = &messages.CommitStatus{Sequence: r.Sequence, Known: known}
		}
		c.send(s.To, m, s.AfterSave)
	}
	if o.ViewInstalled {
		c.installView(now)
	}
}

func (c *Coordinator) installView(now time.Duration) {
	c.actions.ViewInstalled = true
	c.applyChainReady(c.chain.InstallView(now, c.membership.View()))
}

func (c *Coordinator) applyChainReady(o chainreplication.Ready) {
	if o.MustSave {
		c.generation++
	}
	for _, s := range o.Messages {
		if to, ok := c.lookupMember(s.To); ok {
			c.send(to, Message{Chain: &s.Message}, s.AfterSave)
		}
	}
	c.actions.RegisterCommitted = c.actions.RegisterCommitted || o.CommittedChanged
}

func (c *Coordinator) lookupMember(id string) (membership.Member, bool) {
	if id == c.membership.Self().ID {
		return c.membership.Self(), true
	}
	for _, m := range c.membership.View().Members() {
		if m.ID == id {
			return m, true
		}
	}
	return c.membership.KnownMember(id)
}

// takeActions brings everything as far as it goes and returns what is to be done.
func (c *Coordinator) takeActions(now time.Duration) Actions {
	for {
		c.advance(now)
		if len(c.loopback) == 0 {
			break
		}
		m := c.loopback[0]
		c.loopback = c.loopback[1:]
		c.step(now, c.membership.Self(), m)
	}
	rev := c.hints.Revision()
	news := rev != c.hintsRevision && now-c.hintsWrittenAt > hintsWriteInterval
	if !c.writeInFlight && (c.generation != c.persistedGeneration || c.diskUnhealthy || news) && now >= c.writeRetryAt {
		if raw, err := c.EncodeState(); err == nil {
			c.actions.StateToPersist, c.writeInFlight, c.writeStartedAt, c.writingGeneration = raw, true, now, c.generation
			c.hintsRevision, c.hintsWrittenAt = rev, now
		}
	}
	out := c.actions
	c.actions = Actions{}
	return out
}

// advance moves orders and reads on as far as they go.
func (c *Coordinator) advance(now time.Duration) {
	v := c.membership.View()
	touch := c.membership.HasQuorumContact(now)
	r, known := c.chain.Committed()
	var outs []chainreplication.Ready
	for _, token := range slices.Sorted(maps.Keys(c.proposals)) {
		x := c.proposals[token]
		if x.accepted && v.Number != x.position.ViewNumber {
			x.accepted = false // that head's word counts no more; each order may be entered again, and is taken once
		}
		status := 0
		switch {
		case x.accepted && known && c.chain.CommittedView() == x.position.ViewNumber && r.Sequence >= x.position.Sequence:
			if status = http.StatusOK; x.position.Conflicts {
				status = http.StatusConflict
			}
		case (!touch || now > x.deadline || !x.accepted && now > x.receivedAt+proposeForwardWindow) && now > x.sentAt+maxProposalAge:
			// The caller is let go only now: what is under way is too old to take effect, over something newer, any more.
			status = http.StatusServiceUnavailable
		case touch && !x.accepted && len(v.Chain) > 0 && now >= x.retryAt && now <= x.receivedAt+proposeForwardWindow:
			x.retryAt = now + proposeRetryInterval
			if v.Chain[0] != c.membership.Self().ID {
				if m, ok := c.lookupMember(v.Chain[0]); ok {
					x.sentAt = now
					c.send(m, Message{ProposeRequest: &messages.ProposeRequest{RequestID: token, Command: x.command, HeadClock: c.membership.PeerClock(m.ID)}}, false)
				}
			} else if !c.diskUnhealthy {
				at, out := c.chain.Propose(now, x.command)
				x.accepted, x.position = true, at
				outs = append(outs, out)
			}
		}
		if status != 0 {
			c.actions.Responses = append(c.actions.Responses, Response{RequestID: token, Status: status})
			delete(c.proposals, token)
		}
	}
	for _, token := range slices.Sorted(maps.Keys(c.reads)) {
		x := c.reads[token]
		a := Response{RequestID: token}
		switch {
		case !touch || now > x.deadline || v.Number != x.viewNumber:
			a.Status = http.StatusServiceUnavailable
		case len(x.confirmations) >= v.Quorum() && c.chain.CommittedView() == v.Number && known && r.Sequence >= x.sequence:
			if a.Status, a.Body = http.StatusOK, r.Body; len(r.Body) == 0 {
				a.Status = http.StatusNotFound
			}
		case !x.requested:
			x.requested = true
			for _, m := range v.Voters {
				c.send(m, Message{ConfirmViewRequest: &messages.ConfirmView{RequestID: token, ViewNumber: v.Number}}, false)
			}
		}
		if a.Status != 0 {
			c.actions.Responses = append(c.actions.Responses, a)
			delete(c.reads, token)
		}
	}
	for _, out := range outs {
		c.applyChainReady(out)
	}
}
