// Package router is what a proxy governor decides: which replica a request goes to, whether to another one, what is
// refused, and what it holds in force of what its control-plane governor tells. It joins dataplane/loadbalancer, dataplane/admission and
// dataplane/retry. It is free of I/O; clock and chance are handed in, and the same calls always bring the same results.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/membership"
	"zincloft.example/zincloft/dataplane/admission"
	"zincloft.example/zincloft/dataplane/capacity"
	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/dataplane/outlier"
	"zincloft.example/zincloft/dataplane/retry"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/messages"
)

const (
	tellFalls = 400 * time.Millisecond // between two words of the same replica
	toldMost  = 1024
	fewest    = 8 // foragers that a budget's part is by, until it is known how many there are
)

// GrantsHold is how long rights to call cold replicas hold after the last word of the comb that dealt them. It is also the
// longest silence between two words of one stream: after more, this node or the comb was held up, and what still comes is old.
const GrantsHold = time.Second

// apartAfter is how long a forager that hears no comb sends to replicas as it likes: as late as any word of coldness may be.
const apartAfter = 2 * time.Second

// apartPart is the part of what a cold replica may be sent that foragers which hear no comb together send to any.
const apartPart = 0.9

// unsureAfter is how long a forager that heard no comb trusts what it knows of replicas enough to tell it on as new.
const unsureAfter = 3 * time.Second

// LeaveFor is how long after readiness has fallen the platform has noticed and looked elsewhere.
const LeaveFor = 2500 * time.Millisecond

// Settings are what a forager is told at its start.
type Settings struct {
	Zone       string  `cbor:"1,keyasint"`
	Zones      int     `cbor:"2,keyasint"`
	RetryRatio float64 `cbor:"3,keyasint"` // further tries for each request, over all foragers
	RetrySlack float64 `cbor:"4,keyasint"` // further tries beyond the ratio in a window, over all foragers
	Seed       uint64  `cbor:"5,keyasint"` // of its chance

	ColdTimes float64 `cbor:"6,keyasint,omitempty"` // times what it bears that a cold replica may be sent in a second, over all foragers
	ColdSlack float64 `cbor:"7,keyasint,omitempty"` // requests beyond that
}

// Ask is a request that looks for a replica.
type Ask struct {
	Service string            `cbor:"1,keyasint"`
	Tried   []string          `cbor:"2,keyasint,omitempty"` // replicas that it was at
	Request admission.Request `cbor:"3,keyasint"`
	Spare   bool              `cbor:"4,keyasint,omitempty"` // only one with free slots will do
}

// Picked is a replica for a request; each one that has an ID must be ended by End.
type Picked struct {
	N    uint64        `cbor:"1,keyasint,omitempty"`
	ID   string        `cbor:"2,keyasint,omitempty"` // empty: there is none
	Addr string        `cbor:"3,keyasint,omitempty"`
	Wait time.Duration `cbor:"4,keyasint,omitempty"` // where there is none: when to come back
}

// End is a try's end.
type End struct {
	N           uint64               `cbor:"1,keyasint"` // of Picked
	Outcome     loadbalancer.Outcome `cbor:"2,keyasint,omitempty"`
	Took        time.Duration        `cbor:"3,keyasint,omitempty"`
	Refused     bool                 `cbor:"4,keyasint,omitempty"` // nobody listens there
	Misdirected bool                 `cbor:"5,keyasint,omitempty"` // another replica answered there
	Load        [3]int               `cbor:"6,keyasint,omitempty"` // running, waiting, slots by the replica's word; no slots: not told
}

// Ended is what follows from a try's end for others.
type Ended struct {
	Fell *outlier.Word `cbor:"1,keyasint,omitempty"` // the comb is to know at once
	Gone string        `cbor:"2,keyasint,omitempty"` // likewise: this replica's address is another's
}

// Taken is what follows from a comb's word.
type Taken struct {
	Ended   []string              `cbor:"1,keyasint,omitempty"` // replicas to which no connection is wanted any more
	Config  *gatewayconfig.Config `cbor:"-"`                    // another one is in force; nil: the same as before
	Problem string                `cbor:"3,keyasint,omitempty"` // of a configuration that was not taken
	Table   bool                  `cbor:"4,keyasint,omitempty"` // a whole state came
	Late    bool                  `cbor:"5,keyasint,omitempty"` // the stream is to be left; nothing was taken from it
}

type pick struct {
	r       *loadbalancer.Replica
	service string
	fill    float64 // requests to a slot that it had
}

// Forager is one proxy governor's part. Its calls are not made side by side.
type Forager struct {
	set      Settings
	pcg      rand.PCG
	chance   func() float64
	config   *gatewayconfig.Config
	spread   *loadbalancer.Spread
	budgets  map[string]*retry.Budget
	gates    map[string]*admission.Gate
	requests map[string]int
	told     map[string]time.Duration // when the comb was told of a replica that broke
	open     map[uint64]pick
	picks    uint64
	seq      uint64 // of the register in force
	combs    []membership.Member
	foragers int
	tabled   bool
	heardAt  time.Duration // a comb, last
	silence  time.Duration // before the stream at hand
	streamed bool          // a stream is held, whole
	granted  bool          // rights are held
	isApart  bool          // no comb was heard for long

	measured bool // windows are used
	meter    capacity.Meter
	load     map[string]int
	underway int
	phase    maintenance.Phase
	fence    uint64
	drainsAt time.Duration
}

// New makes one that holds nothing.
func New(set Settings) *Forager {
	f := &Forager{set: set, pcg: *rand.NewPCG(set.Seed, 1), spread: loadbalancer.New(set.Zone), budgets: map[string]*retry.Budget{}, gates: map[string]*admission.Gate{},
		requests: map[string]int{}, told: map[string]time.Duration{}, open: map[uint64]pick{}, load: map[string]int{}, phase: maintenance.Serving}
	f.chance = rand.New(&f.pcg).Float64
	return f
}

// Pick chooses a replica and counts the request there.
func (f *Forager) Pick(now time.Duration, a Ask) Picked {
	f.lapse(now)
	f.apart(now)
	g := f.gate(a.Service)
	had := func(id string) bool { return slices.Contains(a.Tried, id) }
	var r *loadbalancer.Replica
	if a.Spare {
		r = f.spread.Spare(now, a.Service, had, f.chance)
	} else {
		r = f.spread.Pick(now, a.Service, had, g.Depth(a.Request), f.chance)
	}
	if r == nil {
		return Picked{Wait: g.Refused(a.Request, f.chance())}
	}
	g.Admitted()
	f.picks++
	f.open[f.picks] = pick{r, a.Service, r.Fill(now)}
	f.spread.Begin(now, r)
	return Picked{N: f.picks, ID: r.ID, Addr: r.Addr}
}

// lapse drops the rights of a comb that has been silent.
func (f *Forager) lapse(now time.Duration) {
	if f.granted && now-f.heardAt > GrantsHold {
		f.grants(now, nil)
	}
}

// apart has this node, where it has heard no comb for long, send each replica no more than its part of what a cold one may be
// sent: it has no word of those that turn cold.
func (f *Forager) apart(now time.Duration) {
	apart := f.tabled && f.config != nil && now-f.heardAt > apartAfter
	if apart == f.isApart {
		return
	}
	f.isApart = apart
	if !apart {
		f.spread.Apart(nil)
		return
	}
	by := map[string]time.Duration{}
	for name, svc := range f.config.Services {
		if bears := apartPart * (svc.WarmupRate*f.set.ColdTimes + f.set.ColdSlack); svc.WarmupRate > 0 && bears > 0 {
			by[name] = time.Duration(float64(max(f.foragers, fewest)) / bears * float64(time.Second))
		}
	}
	f.spread.Apart(by)
}

// Right is what this node may send to a replica while it is cold, a second.
func (f *Forager) Right(now time.Duration, id string) float64 {
	f.lapse(now)
	return f.spread.Right(id)
}

func (f *Forager) gate(service string) *admission.Gate {
	if f.gates[service] == nil {
		f.gates[service] = admission.New()
	}
	return f.gates[service]
}

func (f *Forager) budget(service string) *retry.Budget {
	b := f.budgets[service]
	if b == nil {
		b = retry.NewBudget(f.set.RetryRatio/2, max(f.set.RetrySlack/float64(max(f.foragers, fewest))/2, 1))
		f.budgets[service] = b
	}
	return b
}

// Arrived counts a client's request; it must be ended by Done.
func (f *Forager) Arrived(service string) {
	f.requests[service]++
	f.underway++
	f.budget(service).Earn()
}

// Done counts the end of a client's request: of a safe route or not, and whether this node itself held it up for long.
func (f *Forager) Done(now time.Duration, safe, late bool) {
	f.underway--
	if f.measured {
		group := capacity.Orders
		if safe {
			group = capacity.Lookups
		}
		f.meter.RecordServed(group, late)
		f.load[group]++
	}
}

// Underway is how many requests of clients are not at their end.
func (f *Forager) Underway() int { return f.underway }

// Serves tells whether this node calls itself ready, as far as its window goes; Refuses, whether it turns requests away:
// by then the platform has had the time to look elsewhere.
func (f *Forager) Serves() bool { return f.phase == maintenance.Serving }
func (f *Forager) Refuses(now time.Duration) bool {
	return f.phase != maintenance.Serving && now-f.drainsAt > LeaveFor
}

// window takes the word on this node's window. Only a newer one counts; one that is not there any more is over.
func (f *Forager) window(now time.Duration, w messages.MaintenanceWindow) {
	switch {
	case w.Phase == "" || w.Phase == maintenance.Returning:
		if f.phase, f.fence = maintenance.Serving, max(w.FencingToken, f.fence); w.Phase == "" {
			f.fence = 0
		}
	case w.FencingToken > f.fence || f.phase == maintenance.Serving && w.FencingToken == f.fence:
		if f.fence = w.FencingToken; f.phase == maintenance.Serving {
			f.phase, f.drainsAt = maintenance.Draining, now
		}
	}
}

// bee is what this node tells of itself. It says that it is drained once nothing is under way and nobody has come for
// as long as the platform takes to look elsewhere.
func (f *Forager) bee(now, over time.Duration, busy float64) *messages.GatewayStatus {
	if f.phase == maintenance.Draining && f.underway == 0 && now-f.drainsAt > LeaveFor {
		f.phase = maintenance.Drained
	}
	b := &messages.GatewayStatus{Ready: f.config != nil && f.tabled, Phase: f.phase, FencingToken: f.fence, CapacityByGroup: f.meter.Sample(over, busy), LoadByGroup: map[string]float64{}}
	for g, n := range f.load {
		b.LoadByGroup[g] = float64(n) / max(over.Seconds(), 0.1)
	}
	clear(f.load)
	return b
}

// Spend takes one further try from the budget, if there is one.
func (f *Forager) Spend(service string) bool { return f.budget(service).Spend() }

// End books what became of a try.
func (f *Forager) End(now time.Duration, e End) (out Ended) {
	p, ok := f.open[e.N]
	if !ok {
		return
	}
	delete(f.open, e.N)
	f.spread.End(now, p.r, e.Outcome, e.Took)
	if e.Outcome == loadbalancer.Good {
		f.gate(p.service).Answered(e.Took, p.fill)
	}
	if e.Outcome == loadbalancer.Silent || e.Outcome == loadbalancer.Uncalled {
		out.Fell = f.broke(now, outlier.Word{Replica: p.r.ID, Refused: e.Refused})
	}
	if e.Misdirected && f.spread.Misdirected(now, p.r.ID) {
		out.Gone = p.r.ID
	}
	if e.Load[2] > 0 {
		p.r.Load(now, e.Load[0], e.Load[1], e.Load[2])
	}
	return out
}

// broke has the comb told of a replica that broke, once in a while.
func (f *Forager) broke(now time.Duration, w outlier.Word) *outlier.Word {
	if at, ok := f.told[w.Replica]; ok && now-at < tellFalls {
		return nil
	}
	if len(f.told) > toldMost {
		clear(f.told)
	}
	f.told[w.Replica] = now
	return &w
}

// Take puts in force what a comb tells. Within a life nothing goes back: an older register is passed over.
func (f *Forager) Take(now time.Duration, s *messages.StateUpdate) (t Taken) {
	switch {
	case s.Full:
		f.streamed, f.silence = true, now-f.heardAt
	case f.streamed && now-f.heardAt > GrantsHold:
		f.Left(now)
		return Taken{Late: true}
	}
	f.heardAt = now
	if len(s.Config) > 0 && (f.config == nil || f.config.Version < s.ConfigVersion) {
		c, err := gatewayconfig.Parse(s.Config)
		if err != nil {
			t.Problem = err.Error()
		} else {
			f.config, t.Config = c, c
		}
	}
	t.Table = s.Full
	f.tabled = f.tabled || s.Full
	t.Ended = f.spread.Lives(now, s.Full && !s.Bootstrapping, s.Instances)
	if s.Sequence > 0 && s.Sequence >= f.seq {
		f.seq = s.Sequence
		f.spread.Evacuated(now, s.EvacuatedZones)
		f.measured = s.MaintenanceEnabled
		f.window(now, s.Maintenance)
	}
	for _, l := range s.Weights {
		f.spread.Line(l.Replica, float64(l.Weight))
	}
	f.spread.Shuns(s.Full, s.PairEjections)
	if s.WarmupRatesComplete || s.Full { // nothing that another comb, or this one in a former life, dealt holds on
		grants := map[string]float64{}
		for _, l := range s.WarmupRates {
			grants[l.Replica] = float64(l.WarmupRate)
		}
		f.grants(now, grants)
	}
	for _, o := range s.Ejections {
		f.spread.Fell(now, o.Replica, time.Duration(o.Millis)*time.Millisecond)
	}
	if len(s.Members) > 0 {
		f.combs = s.Members
	}
	if s.GatewayCount > 0 {
		f.foragers = s.GatewayCount
	}
	if f.config != nil && (t.Config != nil || s.GatewayCount > 0) {
		caps := map[string]int{}
		for name, svc := range f.config.Services {
			if svc.MaxConnections > 0 {
				caps[name] = loadbalancer.Part(svc.MaxConnections, f.foragers, f.set.Zones)
			}
		}
		f.spread.Caps(caps)
	}
	return t
}

// Left tells that the stream has ended: what its comb dealt is dealt to others now.
func (f *Forager) Left(now time.Duration) {
	f.streamed = false
	f.grants(now, nil)
}

func (f *Forager) grants(now time.Duration, all map[string]float64) {
	f.granted = len(all) > 0
	f.spread.Grants(now, all)
}

// Report is what was met since the last one, so long ago, and how busy this node was meanwhile, from 0 to 1.
func (f *Forager) Report(now, over time.Duration, busy float64) *messages.LoadReport {
	rep := &messages.LoadReport{PeriodMillis: over.Milliseconds(), Requests: f.requests}
	if f.measured {
		rep.Status = f.bee(now, over, busy)
	}
	f.requests = map[string]int{}
	for _, r := range f.spread.All() {
		if r.Tries == 0 && r.Good == 0 && r.Dropped == 0 {
			continue
		}
		s := messages.EndpointStats{Replica: r.ID, Attempts: r.Good + r.Dropped, Dropped: r.Dropped, Running: r.Running, Waiting: r.Waiting, Slots: r.Told}
		if r.Good > 0 {
			s.MeanLatencyMicros = (r.Took / time.Duration(r.Good)).Microseconds()
		}
		r.Tries, r.Dropped, r.Good, r.Took, r.Told = 0, 0, 0, 0, 0
		rep.Endpoints = append(rep.Endpoints, s)
	}
	return rep
}

// First is what a comb that may have lost it is told at the beginning of a stream. That a replica is cold is told too:
// else a comb that knows of it by us alone has all foragers take it for warm until it beats again.
func (f *Forager) First(now time.Duration) *messages.LoadReport {
	rep := &messages.LoadReport{Sequence: f.seq}
	for _, r := range f.spread.All() {
		l := r.Life(now)
		l.Stale = l.Stale || f.silence > unsureAfter
		rep.Instances = append(rep.Instances, l)
	}
	return rep
}

// Candidates are the addresses of combs to call, best first: those of the own zone, then all others by chance, also those
// that the caller knows of besides.
func (f *Forager) Candidates(also []string) []string {
	var near, far []string
	for _, m := range f.combs {
		if m.Zone == f.set.Zone {
			near = append(near, m.Addr)
		} else {
			far = append(far, m.Addr)
		}
	}
	for _, a := range also {
		if !slices.Contains(near, a) && !slices.Contains(far, a) {
			far = append(far, a)
		}
	}
	for i := range far {
		j := i + int(f.chance()*float64(len(far)-i))
		far[i], far[j] = far[j], far[i]
	}
	return append(near, far...)
}

// Combs lists the combs that were told of. Seq is the number of the register in force, and Config the configuration;
// nil: none yet. Spread is the replicas' part, to look at.
func (f *Forager) Combs() []membership.Member    { return f.combs }
func (f *Forager) Seq() uint64                   { return f.seq }
func (f *Forager) Config() *gatewayconfig.Config { return f.config }
func (f *Forager) Spread() *loadbalancer.Spread  { return f.spread }
