package emulate

import (
	"slices"
	"sort"
	"time"

	"zincloft.example/zincloft/rules"
)

// view is a table as it stood when a message was written: nobody changes it. Proxies share it.
type view struct {
	replicas []rules.ReplicaID
	weights  []float64
	sums     []float64 // of the weights up to each line
}

func (v *view) total() float64 {
	if v == nil || len(v.sums) == 0 {
		return 0
	}
	return v.sums[len(v.sums)-1]
}

// at is the line that a draw below total falls on.
func (v *view) at(draw float64) int {
	return min(sort.SearchFloat64s(v.sums, draw), len(v.sums)-1)
}

// flow is what a client wants done.
type flow struct {
	group   int
	proxy   *proxy
	born    rules.Time
	client  int     // the client's try
	lot     float64 // decides whether a level lets it in, whenever it comes
	work    float64
	ran     int // effects, in this try of the client
	repeats int // of the proxy, in this try of the client
	met     []rules.ReplicaID
	timer   int // the client's try that the give-up belongs to
	current *try
	ended   bool
}

// proxy routes the flows of some clients by its tables.
type proxy struct {
	w      *World
	id     rules.ProxyID
	zone   int
	rate   float64
	lot    float64
	up     bool
	life   int
	gov    *governor // joined to; nil: none
	fresh  bool
	until  rules.Time // it stands still until then
	views  []*view    // by group
	levels []rules.Admit
	since  rules.Time // of the join

	shut    map[rules.ReplicaID]bool
	streak  map[rules.ReplicaID]int
	avoid   map[rules.ReplicaID]rules.Time
	links   map[rules.ReplicaID]rules.Time // open connections, by last use
	flights map[rules.ReplicaID]int        // own flows there
	active  []*try                         // under way
	usage   [][2]int                       // by group, since the last period: came, and let in and not served
}

func newProxy(w *World, i int) *proxy {
	f := w.fleet
	p := &proxy{w: w, id: rules.ProxyID(i), zone: i % f.Zones, rate: gamma(w.flowing, f.ProxyCV), lot: w.chance.Float64(), up: true, fresh: true}
	p.begin()
	return p
}

// begin gives a proxy what it has at its start: a standing table of up to eight replicas of its zone.
func (p *proxy) begin() {
	f := p.w.fleet
	p.shut, p.streak = map[rules.ReplicaID]bool{}, map[rules.ReplicaID]int{}
	p.avoid, p.links = map[rules.ReplicaID]rules.Time{}, map[rules.ReplicaID]rules.Time{}
	p.flights, p.active = map[rules.ReplicaID]int{}, nil
	p.usage = make([][2]int, len(f.Groups))
	p.levels = make([]rules.Admit, len(f.Groups))
	p.views = make([]*view, len(f.Groups))
	standing := &view{}
	var near []*replica
	for _, r := range p.w.replicas {
		if r.zone == p.zone && r.state == rules.Ready {
			near = append(near, r)
		}
	}
	p.w.chance.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for _, r := range near[:min(len(near), 8)] {
		standing.replicas = append(standing.replicas, r.id)
		standing.weights = append(standing.weights, 1)
		standing.sums = append(standing.sums, float64(len(standing.sums)+1))
	}
	for g := range p.views {
		p.views[g] = standing
		p.levels[g] = rules.Admit{Level: 1, Retry: rules.RetryUnprocessed}
	}
}

// dial joins a governor that lives, drawn by chance.
func (p *proxy) dial() {
	if !p.up || p.gov != nil {
		return
	}
	var alive []*governor
	for _, g := range p.w.governors {
		if g.up {
			alive = append(alive, g)
		}
	}
	if len(alive) == 0 {
		p.w.in(p.w.between(p.w.fleet.Noticed, 2*p.w.fleet.Noticed), p.dial)
		return
	}
	g := alive[p.w.chance.IntN(len(alive))]
	p.gov, p.since = g, p.w.now
	g.join(p)
}

// part ends a proxy's stream; it dials again after noticing.
func (p *proxy) part() {
	if p.gov == nil {
		return
	}
	p.gov.leave(p)
	p.gov = nil
	p.w.in(p.w.between(p.w.fleet.Noticed, 2*p.w.fleet.Noticed), p.dial)
}

// die takes a proxy down, with all flows that it has.
func (p *proxy) die() {
	if !p.up {
		return
	}
	p.up = false
	p.life++
	if p.gov != nil {
		p.gov.leave(p)
		p.gov = nil
	}
	for _, t := range slices.Clone(p.active) {
		t.replica.cancel(t)
		t.over = true
		p.unlink(t)
		t.flow.lose(p.w, reset)
	}
	for r := range p.links {
		p.w.replicas[r].links--
	}
	clear(p.links)
}

// back starts a proxy again, with a standing table only.
func (p *proxy) back() {
	if p.up {
		return
	}
	p.up, p.fresh = true, true
	p.begin()
	p.dial()
}

// next has the proxy's next flow come.
func (p *proxy) next() {
	w := p.w
	rate := p.rate * w.burst(p)
	wait := w.flowing.ExpFloat64() / rate
	w.in(time.Duration(wait*float64(time.Second)), func() {
		if w.now >= w.end {
			return
		}
		f := &flow{proxy: p, born: w.now, lot: w.flowing.Float64()}
		draw := w.flowing.Float64() * w.shares[len(w.shares)-1]
		for f.group = 0; draw > w.shares[f.group]; f.group++ {
		}
		f.work = w.fleet.Groups[f.group].Work.Seconds()
		if w.fleet.WorkModel == Exponential {
			f.work *= w.flowing.ExpFloat64()
		}
		w.offer(f)
		f.come()
		p.next()
	})
}

// come is a client's try at the proxy.
func (f *flow) come() {
	p, w := f.proxy, f.proxy.w
	f.timer++
	f.ran, f.repeats, f.met = 0, 0, f.met[:0]
	if !p.up {
		f.lose(w, unheard)
		return
	}
	p.usage[f.group][0]++
	if f.lot >= p.levels[f.group].Level {
		w.second.Blocked++
		f.refuse(w)
		return
	}
	timer := f.timer
	w.in(time.Duration(w.impatience()*float64(w.fleet.Groups[f.group].Expiry)), func() {
		if f.timer == timer && !f.ended {
			f.giveUp()
		}
	})
	if wait := p.until - w.now; wait > 0 { // it is at work on a table
		w.in(time.Duration(wait), func() {
			if f.timer == timer && !f.ended && p.up {
				p.send(f)
			}
		})
		return
	}
	p.send(f)
}

// giveUp is the client's.
func (f *flow) giveUp() {
	p := f.proxy
	if t := f.current; t != nil && !t.over {
		t.over = true
		t.replica.cancel(t)
		p.unlink(t)
		p.note(t, silent)
	}
	p.usage[f.group][1]++
	f.lose(p.w, silent)
}

// lose ends a client's try without a good answer; it may come again.
func (f *flow) lose(w *World, o outcome) {
	if f.ended {
		return
	}
	f.timer++ // the give-up is void
	if f.client < w.patience() {
		f.client++
		w.second.Again++
		w.in(time.Duration(w.chance.ExpFloat64()*float64(w.fleet.Backoff)), func() {
			if !f.ended {
				f.come()
			}
		})
		return
	}
	f.ended = true
	if o == silent {
		w.ended(GivenUp)
	} else {
		w.ended(Dropped)
	}
}

// refuse ends a flow that is not let in: the final answer comes at once, and by its lot it would be blocked again.
func (f *flow) refuse(w *World) {
	f.timer++
	f.ended = true
	w.ended(Blocked)
}

// send tries a flow at a replica of the proxy's table.
func (p *proxy) send(f *flow) {
	w := p.w
	id, has := p.pick(f)
	if !has {
		p.usage[f.group][1]++
		f.lose(w, unheard)
		return
	}
	r := w.replicas[id]
	t := &try{flow: f, proxy: p, replica: r, sent: w.now, work: f.work}
	f.current = t
	f.met = append(f.met, id)
	p.active = append(p.active, t)
	p.flights[id]++
	w.watch.sent(p, r)
	w.second.Tries++
	if r.cold() {
		w.second.Cold++
	}
	if r.zone != p.zone {
		w.second.Crossed++
	}
	took, cut := w.way(p.zone, r.zone)
	if !cut {
		w.in(took, func() {
			if !t.over {
				r.take(t)
			}
		})
	}
	// A try that may be followed after any failure is given up early.
	if l := p.levels[f.group]; l.Retry >= rules.RetryOnce && f.repeats < int(l.Retry-rules.RetryUnprocessed) {
		w.in(time.Duration(w.fleet.FirstWait*float64(w.fleet.Groups[f.group].LatencyBudget)), func() {
			if !t.over {
				t.over = true
				r.cancel(t)
				p.unlink(t)
				p.note(t, silent)
				p.again(f, silent)
			}
		})
	}
}

// pick chooses a replica: not one that it shuts out or that the flow has met, and none that it avoids unless there
// is nothing else.
func (p *proxy) pick(f *flow) (rules.ReplicaID, bool) {
	v := p.views[f.group]
	total := v.total()
	if total <= 0 {
		return 0, false
	}
	open := func(r rules.ReplicaID, avoids bool) bool {
		return !p.shut[r] && !slices.Contains(f.met, r) && !(avoids && p.avoid[r] > p.w.now)
	}
	draw := func(avoids bool) (rules.ReplicaID, bool) {
		for range 8 {
			if r := v.replicas[v.at(p.w.chance.Float64()*total)]; open(r, avoids) {
				return r, true
			}
		}
		sum := 0.0
		for i, r := range v.replicas {
			if open(r, avoids) {
				sum += v.weights[i]
			}
		}
		at := p.w.chance.Float64() * sum
		for i, r := range v.replicas {
			if open(r, avoids) {
				if at -= v.weights[i]; at <= 0 {
					return r, true
				}
			}
		}
		return 0, false
	}
	r, has := draw(true)
	if !has {
		if r, has = draw(false); !has && len(f.met) > 0 { // all have been met
			r, has = v.replicas[v.at(p.w.chance.Float64()*total)], true
			has = !p.shut[r]
		}
	}
	if has && p.w.play.Picking == OfTwo {
		if other, is := draw(true); is && p.flights[other] < p.flights[r] {
			r = other
		}
	}
	return r, has
}

// hear takes in what became of a try.
func (p *proxy) hear(t *try, o outcome) {
	if t.over || !p.up {
		return
	}
	t.over = true
	p.unlink(t)
	p.note(t, o)
	f := t.flow
	if o == good {
		f.ended = true
		f.timer++
		p.w.deliver(f)
		return
	}
	p.again(f, o)
}

// again tries a flow once more, as far as the governor ordered.
func (p *proxy) again(f *flow, o outcome) {
	never := o == full || o == unheard
	may := false
	switch p.levels[f.group].Retry {
	case rules.RetryUnprocessed:
		may = never && f.repeats < 1
	case rules.RetryOnce:
		may = f.repeats < 1
	case rules.RetryTwice:
		may = f.repeats < 2
	}
	if may {
		f.repeats++
		p.send(f)
		return
	}
	p.usage[f.group][1]++
	f.lose(p.w, o)
}

func (p *proxy) unlink(t *try) {
	if i := slices.Index(p.active, t); i >= 0 {
		p.active = slices.Delete(p.active, i, i+1)
		if p.flights[t.replica.id]--; p.flights[t.replica.id] == 0 {
			delete(p.flights, t.replica.id)
		}
	}
}

// note counts a try that has ended, for the sums and for what the proxy avoids.
func (p *proxy) note(t *try, o outcome) {
	w, r := p.w, t.replica.id
	if p.gov != nil {
		p.gov.met(p, t, o)
	}
	if o == good {
		delete(p.streak, r)
		return
	}
	w.second.Bad++
	if w.fleet.Fails == 0 {
		return
	}
	if p.streak[r]++; p.streak[r] >= w.fleet.Fails {
		delete(p.streak, r)
		p.avoid[r] = w.now + rules.Time(w.fleet.AvoidFor)
	}
}

// link tells whether a connection to a replica is open, and uses it.
func (p *proxy) link(r *replica) bool {
	if _, is := p.links[r.id]; is {
		p.links[r.id] = p.w.now
		return true
	}
	return false
}

// open opens a connection; it closes when it has lain idle.
func (p *proxy) open(r *replica) {
	p.links[r.id] = p.w.now
	r.links++
	p.idle(r, r.life, p.life)
}

func (p *proxy) idle(r *replica, life, own int) {
	p.w.in(p.w.fleet.LinkIdle, func() {
		last, is := p.links[r.id]
		if !is || r.life != life || p.life != own {
			return
		}
		if left := time.Duration(last) + p.w.fleet.LinkIdle - time.Duration(p.w.now); left > 0 {
			p.w.in(left, func() { p.idle(r, life, own) })
			return
		}
		delete(p.links, r.id)
		r.links--
	})
}

// lost tells a proxy that a replica has reset its connections.
func (p *proxy) lost(r *replica) {
	for _, t := range slices.Clone(p.active) {
		if t.replica == r && !t.over && t.life == r.life-1 && (t.running || t.waiting) {
			r.answer(t, reset)
		}
	}
}
