// Package controller is what a control-plane governor decides: it joins the lasting state (controlplane/coordinator), the replicas' lives
// (controlplane/registry), the tables (controlplane/weighting) and the streams of its proxy governors, called foragers. It is free of
// I/O: events in, actions out, clock and chance handed in. The daemon and the apiary drive the same code, and the
// same events always give the same actions.
package controller

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/chainreplication"
	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/controlplane/weighting"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/messages"
)

const (
	heldUp      = time.Second            // between two ticks
	lateBy      = 500 * time.Millisecond // between two ticks: what comes now may have lain in a socket
	lateFor     = 300 * time.Millisecond // after that, calls are refused for so long
	forgetEvery = 2 * time.Second
	gossipEvery = time.Second
	tellAgain   = 3 * time.Second        // changes are told to other combs for so long, as links lose some
	signEvery   = 400 * time.Millisecond // foragers hear at least this often
	newsEvery   = 200 * time.Millisecond // changes that may wait are told this often
	silentBeats = 3.6                    // a replica silent for so many beats counts as gone
	youngFor    = 2.2                    // beats after which a comb that started knows all replicas
)

// TickEvery is how often a Tick event is due.
const TickEvery = 100 * time.Millisecond

// Settings are what a comb is told at its start.
type Settings struct {
	Zone          string        `cbor:"1,keyasint"`
	Control       string        `cbor:"2,keyasint"` // where replicas and operators call it
	Zones         []string      `cbor:"3,keyasint"` // in order
	Seeds         []string      `cbor:"4,keyasint"` // where governors of the first start are called
	LinkMbps      float64       `cbor:"5,keyasint"`
	DrainDeadline time.Duration `cbor:"6,keyasint"`
	Heartbeat     time.Duration `cbor:"7,keyasint"`
	Seed          uint64        `cbor:"8,keyasint"` // of its chance

	Regions map[string]string `cbor:"9,keyasint,omitempty"` // by zone
}

// Message is what combs say to one another.
type Message struct {
	Core  *coordinator.Message     `cbor:"1,keyasint,omitempty"`
	Lives []registry.Life          `cbor:"2,keyasint,omitempty"`
	Fleet *messages.GatewaySummary `cbor:"3,keyasint,omitempty"`
	Fell  []outlier.Out            `cbor:"4,keyasint,omitempty"`
}

// Event is something that happened. One of its fields is set; an event with none lets time pass.
type Event struct {
	Start   bool                      `cbor:"1,keyasint,omitempty"`
	Beat    *registry.Life            `cbor:"2,keyasint,omitempty"` // a replica's own word
	Leave   string                    `cbor:"3,keyasint,omitempty"` // a replica's word that it ends
	Order   *chainreplication.Command `cbor:"4,keyasint,omitempty"`
	Read    bool                      `cbor:"5,keyasint,omitempty"`
	Joined  *Joined                   `cbor:"6,keyasint,omitempty"`
	Left    uint64                    `cbor:"7,keyasint,omitempty"` // a stream has ended
	Report  *messages.LoadReport      `cbor:"8,keyasint,omitempty"`
	Message *Message                  `cbor:"9,keyasint,omitempty"`
	Written *Written                  `cbor:"10,keyasint,omitempty"`
	Met     []string                  `cbor:"11,keyasint,omitempty"` // addresses where other combs may be
	Token   uint64                    `cbor:"12,keyasint,omitempty"` // with Beat, Leave, Order, Read: the answer carries it
	Stream  uint64                    `cbor:"13,keyasint,omitempty"` // with Report
	From    *membership.Member        `cbor:"14,keyasint,omitempty"` // with Message

	Windows *maintenance.Command `cbor:"15,keyasint,omitempty"` // with Token

	Leaving bool          `cbor:"16,keyasint,omitempty"` // it has been told to end
	Wall    time.Duration `cbor:"17,keyasint,omitempty"` // the time of day, beside any event; 0: not told
}

// Joined tells of a forager's new stream.
type Joined struct {
	Stream  uint64 `cbor:"1,keyasint"` // not used before
	Forager string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
}

// Written tells what became of the last Write.
type Written struct {
	Problem string `cbor:"1,keyasint,omitempty"`
}

// Send is a message for the comb at an address.
type Send struct {
	To      string  `cbor:"1,keyasint"`
	Message Message `cbor:"2,keyasint"`
}

// Tell is a message for some foragers.
type Tell struct {
	Streams []uint64             `cbor:"1,keyasint"`
	State   messages.StateUpdate `cbor:"2,keyasint"`
}

// Answer ends a call.
type Answer struct {
	Token  uint64 `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
	Where  string `cbor:"4,keyasint,omitempty"` // a redirect's address, or a replica's address for later beats
}

// Note is an event worth a line in the log.
type Note struct {
	Warn   bool    `cbor:"1,keyasint,omitempty"`
	Event  string  `cbor:"2,keyasint"`
	Fields []Field `cbor:"3,keyasint,omitempty"`
}

// Field is one key=value of a Note.
type Field struct {
	Key   string `cbor:"1,keyasint"`
	Value any    `cbor:"2,keyasint"`
}

// Actions are what is to be done, in the order of their kinds.
type Actions struct {
	Send    []Send   `cbor:"1,keyasint,omitempty"`
	Write   []byte   `cbor:"2,keyasint,omitempty"` // to be brought on stable storage, then told by Written
	Tell    []Tell   `cbor:"3,keyasint,omitempty"`
	Answers []Answer `cbor:"4,keyasint,omitempty"`
	End     []uint64 `cbor:"5,keyasint,omitempty"` // streams
	Notes   []Note   `cbor:"6,keyasint,omitempty"`
	Ended   bool     `cbor:"7,keyasint,omitempty"` // after Leaving: nothing rests on this comb any more
}

// Comb is one control-plane governor. Its calls are not made side by side.
type Comb struct {
	set    Settings
	chance rand.PCG
	core   *coordinator.Coordinator
	reg    *registry.Registry
	config *gatewayconfig.Config // committed
	wasOut []string

	calls map[uint64]uint64 // the core's tokens, to the callers'

	steer    *weighting.Steer
	steerRev uint64

	streams  []*stream      // by number
	fleets   map[string]int // foragers of other combs, by identity
	gossipAt time.Duration
	newsAt   time.Duration
	forgotAt time.Duration
	revs     []revAt
	touched  map[string]bool // peers in touch at the last gossip
	alone    bool
	leaving  bool
	backAt   time.Duration // in touch since
	ticked   time.Duration
	woke     time.Duration // when it last came round after it was held up
	wall     time.Duration // the time of day, and when it was told
	walledAt time.Duration
	joining  []Joined // foragers that wait for a question to the others to begin, and those that wait for the one at hand
	asking   []Joined
	question uint64 // the core's token; 0: none
	falls    *outlier.Falls
	hived    hived
	out      Actions
}

type revAt struct {
	at  time.Duration
	rev uint64
}

// New makes a comb from what was on disk.
func New(now time.Duration, set Settings, self membership.Member, k coordinator.PersistentState) *Comb {
	site := weighting.Site{Seed: set.Seed, Zone: set.Zone, Zones: set.Zones, Combs: max(len(set.Seeds), 1), LinkMbps: set.LinkMbps, DrainGrace: set.DrainDeadline}
	c := &Comb{set: set, chance: *rand.NewPCG(set.Seed, 1), steer: weighting.New(site), falls: outlier.New(), calls: map[uint64]uint64{}, fleets: map[string]int{},
		touched: map[string]bool{}, alone: true, reg: registry.New(time.Duration(silentBeats * float64(set.Heartbeat)))}
	for i := range k.Instances {
		k.Instances[i].Age = 0 // heard now, as far as anyone knows; those that do not beat go as any silent one
	}
	c.reg.Merge(now, k.Instances)
	c.wasOut = sortedKeys(k.Register.EvacuatedZones) // a zone that was given back while this comb was away is doubted too
	c.ticked, c.woke = now, now-lateFor
	c.hived = hived{open: map[uint64]change{}, elsewhat: map[string]elsewhere{}, drained: map[string]time.Duration{}}
	c.core = coordinator.New(self, k, set.Seeds, rand.New(&c.chance).Float64, hints{c})
	return c
}

// hints are the lives of replicas, as they are kept on disk.
type hints struct{ c *Comb }

func (h hints) Revision() uint64 { return h.c.reg.Rev() }

// Instances marks as old what turns cold, or may have, as its zone is given back: this very write may be the one that does so.
func (h hints) Instances() []registry.Life {
	lives := h.c.reg.Changes(h.c.ticked, registry.All)
	for i, l := range lives {
		if l.Doubt || slices.Contains(h.c.wasOut, l.Zone) {
			lives[i].Doubt, lives[i].Old = false, true
		}
	}
	return lives
}

// Kept encodes what must be on disk now. The first one must be there before anything is listened on.
func (c *Comb) Kept() ([]byte, error) { return c.core.EncodeState() }

// Describe tells how the core stands, as this machine knows.
func (c *Comb) Describe(now time.Duration) coordinator.Status { return c.core.Status(now) }

// Core is the lasting state's part, to look at.
func (c *Comb) Core() *coordinator.Coordinator { return c.core }

// Config is what is committed; nil: nothing yet.
func (c *Comb) Config() *gatewayconfig.Config { return c.config }

func (c *Comb) note(event string, kv ...any) { c.noted(false, event, kv) }
func (c *Comb) warn(event string, kv ...any) { c.noted(true, event, kv) }

func (c *Comb) noted(warn bool, event string, kv []any) {
	n := Note{Warn: warn, Event: event}
	for i := 0; i+1 < len(kv); i += 2 {
		n.Fields = append(n.Fields, Field{kv[i].(string), kv[i+1]})
	}
	c.out.Notes = append(c.out.Notes, n)
}

// Step takes what happened at now and returns what is to be done.
func (c *Comb) Step(now time.Duration, e Event) Actions {
	c.late(now, e.Wall)
	if c.woke+lateFor > now && (e.Beat != nil || e.Order != nil || e.Windows != nil) {
		// It may have been sent long ago; its caller has gone on since, and what it asks may have been undone.
		c.answer(Answer{Token: e.Token, Status: http.StatusServiceUnavailable})
		out := c.out
		c.out = Actions{}
		return out
	}
	switch {
	case e.Start:
		c.ticked = now
		c.do(now, c.core.Start(now))
	case e.Beat != nil:
		c.beat(now, e.Token, *e.Beat)
	case e.Leave != "":
		if !c.core.HasQuorumContact(now) {
			c.answer(Answer{Token: e.Token, Status: http.StatusServiceUnavailable})
			break
		}
		c.gone(now, e.Leave, "itself")
		c.answer(Answer{Token: e.Token, Status: http.StatusOK})
	case e.Order != nil:
		token, a := c.core.Propose(now, *e.Order)
		c.calls[token] = e.Token
		c.do(now, a)
	case e.Read:
		token, a := c.core.Read(now)
		c.calls[token] = e.Token
		c.do(now, a)
	case e.Windows != nil:
		c.command(now, e.Token, e.Windows, 0)
	case e.Joined != nil:
		c.joined(now, *e.Joined)
	case e.Left != 0:
		c.left(now, e.Left)
	case e.Report != nil:
		if s := c.stream(e.Stream); s != nil {
			c.reported(now, s, e.Report)
		}
	case e.Message != nil:
		if e.From != nil {
			c.message(now, *e.From, e.Message)
		}
	case e.Written != nil:
		c.do(now, c.core.StatePersisted(now, e.Written.Problem))
	case e.Met != nil:
		c.core.SetSeeds(e.Met)
	case e.Leaving:
		c.leaving = true
		c.core.BeginLeave()
		c.note("leaving")
	default:
		c.tick(now)
	}
	out := c.out
	c.out = Actions{}
	return out
}

// late notices that this comb was held up: that it stood still, or, by the time of day, that its clock stood still with it.
// The time of day may also have been set; then contact is made anew without need, which takes a beat.
func (c *Comb) late(now, wall time.Duration) {
	if now-c.ticked > lateBy {
		c.woke = now
	}
	if wall == 0 {
		return
	}
	if jump := (wall - c.wall) - (now - c.walledAt); c.wall != 0 && jump > lateBy {
		c.warn("clock_stood", "for", jump)
		c.woke = now
		c.core.ResetContact(now)
	}
	c.wall, c.walledAt = wall, now
}

func (c *Comb) answer(a Answer) { c.out.Answers = append(c.out.Answers, a) }

func (c *Comb) send(to string, m Message) {
	if to != c.core.Self().Addr && to != "" {
		c.out.Send = append(c.out.Send, Send{to, m})
	}
}

func (c *Comb) tick(now time.Duration) {
	if now-c.ticked > heldUp { // frozen or starved: nobody could be heard meanwhile
		c.warn("held_up", "for", now-c.ticked)
		c.reg.Excuse(now)
	}
	c.ticked = now
	if now-c.forgotAt > forgetEvery {
		c.forgotAt = now
		c.falls.Forget(now)
	}
	c.do(now, c.core.Tick(now))
	c.touch(now)
	if c.alone && now-c.woke > lateFor {
		for _, s := range c.streams {
			c.out.End = append(c.out.End, s.n)
		}
	}
	if !c.alone {
		for _, id := range c.reg.Expire(now) {
			c.note("replica_silent", "id", id)
		}
	}
	c.gossip(now)
	c.drive(now)
	c.steer.Tick(now)
	c.tell(now, false)
	c.out.Ended = c.leaving && c.core.LeaveComplete(now)
}

// touch notes that this comb has lost a majority of the others, or has it back: then it could hear nobody meanwhile.
func (c *Comb) touch(now time.Duration) {
	alone := !c.core.HasQuorumContact(now)
	if alone == c.alone {
		return
	}
	c.alone = alone
	c.note("in_touch", "now", !alone, "view", c.core.View().Number)
	if !alone {
		c.reg.Excuse(now)
		c.backAt = now
	}
}

// do carries on what the core has decided.
func (c *Comb) do(now time.Duration, a coordinator.Actions) {
	if a.StandstillDetected {
		c.warn("clock_stood")
		c.woke = now
	}
	if a.DiskHealth != "" {
		c.warn("disk", "state", a.DiskHealth)
	}
	for _, s := range a.Messages {
		c.send(s.To, Message{Core: &s.Message})
	}
	if a.StateToPersist != nil {
		c.out.Write = a.StateToPersist
	}
	if a.ViewInstalled {
		v := c.core.View()
		c.note("view", "n", v.Number, "chain", v.Chain, "roster", len(v.Voters))
		for _, s := range c.streams {
			s.combs = false
		}
	}
	if a.RegisterCommitted {
		c.committed(now)
	}
	for _, x := range a.Responses {
		if x.RequestID == c.question {
			c.admit(now, x.Status)
		} else if token, ok := c.calls[x.RequestID]; ok {
			delete(c.calls, x.RequestID)
			c.answer(Answer{token, x.Status, x.Body, x.RedirectTo})
		} else if x2, ok := c.hived.open[x.RequestID]; ok {
			delete(c.hived.open, x.RequestID)
			c.proposed(now, x2, x.Status)
		}
	}
}

// committed puts a register that nobody can lose any more in force.
func (c *Comb) committed(now time.Duration) {
	r, _ := c.core.Register()
	if (c.config == nil || c.config.Version != r.Version) && len(r.Body) > 0 {
		conf, err := gatewayconfig.Parse(r.Body)
		if err != nil {
			c.warn("config_unreadable", "version", r.Version, "error", err.Error())
		} else {
			c.config = conf
			c.steer.Configure(now, conf, c.foragers())
			c.steerRev = registry.All
			c.note("config", "version", r.Version, "seq", r.Sequence, "routes", conf.Routes)
		}
	}
	c.evacuated(now, r)
	c.tell(now, true)
}

// evacuated has the replicas of zones that were given back spared until they have said how they are.
func (c *Comb) evacuated(now time.Duration, r chainreplication.Register) {
	for _, zone := range c.wasOut {
		if !r.EvacuatedZones[zone] {
			c.reg.Doubt(now, zone)
		}
	}
	if out := sortedKeys(r.EvacuatedZones); !slices.Equal(out, c.wasOut) {
		c.note("evacuations", "zones", out, "seq", r.Sequence)
		c.wasOut = out
	}
}

// beat takes a replica's own word.
func (c *Comb) beat(now time.Duration, token uint64, l registry.Life) {
	if !c.core.HasQuorumContact(now) {
		c.answer(Answer{Token: token, Status: http.StatusServiceUnavailable})
		return
	}
	if news, urgent := c.reg.Beat(now, l); news {
		if urgent {
			c.note("draining", "id", l.ID)
		}
		if urgent || l.Cold > 0 { // it may have been warm, or cold until sooner, for the others
			c.gossipNow(now, []registry.Life{l})
		}
		c.tell(now, urgent)
	}
	c.answer(Answer{Token: token, Status: http.StatusOK, Where: c.nearest(now, l.Zone)})
}

// nearest is a comb in the replica's zone, where there is another one in touch; bytes between zones cost.
func (c *Comb) nearest(now time.Duration, zone string) string {
	if zone == c.set.Zone {
		return c.set.Control
	}
	for _, m := range c.core.Peers(now) {
		if m.Zone == zone && m.APIAddr != "" && c.core.IsReachable(now, m.ID) {
			return m.APIAddr
		}
	}
	return ""
}

// gone takes a replica's end, by its own word or a forager's proof, and tells everybody at once.
func (c *Comb) gone(now time.Duration, id, by string) {
	if c.reg.Leave(now, id) {
		c.note("gone", "id", id, "by", by)
		c.gossipNow(now, []registry.Life{{ID: id, Gone: true}})
		c.tell(now, true)
	}
}

// message takes what another comb says.
func (c *Comb) message(now time.Duration, from membership.Member, m *Message) {
	if m.Core != nil {
		c.do(now, c.core.Step(now, from, *m.Core))
	}
	if m.Fleet != nil {
		c.fleets[from.ID] = m.Fleet.GatewayCount
		if len(m.Fleet.Nodes) > 0 || c.windows().On() {
			c.hived.elsewhat[from.ID] = elsewhere{now, *m.Fleet}
		}
	}
	for _, o := range m.Fell {
		c.falls.Heard(now, o)
		c.fell(o)
	}
	if len(m.Lives) > 0 {
		if news, urgent := c.reg.Merge(now, m.Lives); news {
			c.tell(now, urgent)
		}
	}
}

// gossipNow tells the other combs at once.
func (c *Comb) gossipNow(now time.Duration, lives []registry.Life) {
	for _, m := range c.core.Peers(now) {
		c.send(m.Addr, Message{Lives: lives})
	}
}

// gossip tells the other combs which replicas beat here, what changed lately, and all that is known to those that
// were out of touch.
func (c *Comb) gossip(now time.Duration) {
	if now < c.gossipAt {
		return
	}
	signs := c.reg.Signs(now, c.gossipAt-gossipEvery)
	c.gossipAt = now + gossipEvery
	c.revs = append(c.revs, revAt{now, c.reg.Rev()})
	for len(c.revs) > 1 && now-c.revs[0].at > tellAgain {
		c.revs = c.revs[1:]
	}
	lately := c.reg.Changes(now, c.revs[0].rev)
	fleet := messages.GatewaySummary{GatewayCount: len(c.streams)}
	if c.windows().On() {
		fleet = c.own(now)
	}
	for _, m := range c.core.Peers(now) {
		if m.ID == "" {
			continue
		}
		touch := c.core.IsReachable(now, m.ID)
		msg := Message{Lives: lately, Fleet: &fleet}
		if touch && !c.touched[m.ID] {
			msg.Lives = c.reg.Changes(now, registry.All)
		}
		c.touched[m.ID] = touch
		msg.Lives = with(msg.Lives, signs)
		c.send(m.Addr, msg)
	}
	for _, id := range sortedKeys(c.fleets) {
		if !c.core.IsReachable(now, id) {
			delete(c.fleets, id)
			delete(c.hived.elsewhat, id)
		}
	}
}

// with adds the signs of life of replicas that are not told of anyway.
func with(lives, signs []registry.Life) []registry.Life {
	told := map[string]bool{}
	for _, l := range lives {
		told[l.ID] = true
	}
	lives = slices.Clone(lives)
	for _, l := range signs {
		if !told[l.ID] {
			lives = append(lives, l)
		}
	}
	slices.SortStableFunc(lives, func(a, b registry.Life) int { return cmp.Compare(a.ID, b.ID) })
	return lives
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
