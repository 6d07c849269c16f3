package emulate

import (
	"slices"
	"sort"
	"time"

	"zincloft.example/zincloft/rules"
)

// tableSnapshot is a table as it stood when a message was written: nobody changes it. Proxies share it.
type tableSnapshot struct {
	replicas          []rules.ReplicaID
	weights           []float64
	cumulativeWeights []float64 // of the weights up to each line
}

func (v *tableSnapshot) totalWeight() float64 {
	if v == nil || len(v.cumulativeWeights) == 0 {
		return 0
	}
	return v.cumulativeWeights[len(v.cumulativeWeights)-1]
}

// indexAt is the line that a draw below total falls on.
func (v *tableSnapshot) indexAt(draw float64) int {
	return min(sort.SearchFloat64s(v.cumulativeWeights, draw), len(v.cumulativeWeights)-1)
}

// flow is what a client wants done.
type flow struct {
	group         int
	proxy         *proxy
	arrivedAt     rules.Time
	clientAttempt int     // the client's try
	admissionDraw float64 // decides whether a level lets it in, whenever it comes
	work          float64
	effects       int // effects, in this try of the client
	retries       int // of the proxy, in this try of the client
	attempted     []rules.ReplicaID
	generation    int // the client's try that the give-up belongs to
	current       *attempt
	ended         bool
}

// proxy routes the flows of some clients by its tables.
type proxy struct {
	sim         *Simulation
	id          rules.ProxyID
	zone        int
	rate        float64
	selector    float64
	up          bool
	incarnation int
	governor    *governor // joined to; nil: none
	fresh       bool
	busyUntil   rules.Time       // it stands still until then
	tables      []*tableSnapshot // by group
	admissions  []rules.Admit
	joinedAt    rules.Time // of the join

	ejected        map[rules.ReplicaID]bool
	failureStreaks map[rules.ReplicaID]int
	avoidUntil     map[rules.ReplicaID]rules.Time
	connections    map[rules.ReplicaID]rules.Time // open connections, by last use
	inFlight       map[rules.ReplicaID]int        // own flows there
	activeAttempts []*attempt                     // under way
	usage          [][2]int                       // by group, since the last period: came, and let in and not served
}

func newProxy(sim *Simulation, i int) *proxy {
	f := sim.fleet
	p := &proxy{sim: sim, id: rules.ProxyID(i), zone: i % f.Zones, rate: gammaVariate(sim.arrivalStream, f.ProxyRateCV), selector: sim.randomStream.Float64(), up: true, fresh: true}
	p.initialize()
	return p
}

// initialize gives a proxy what it has at its start: a standing table of up to eight replicas of its zone.
func (p *proxy) initialize() {
	f := p.sim.fleet
	p.ejected, p.failureStreaks = map[rules.ReplicaID]bool{}, map[rules.ReplicaID]int{}
	p.avoidUntil, p.connections = map[rules.ReplicaID]rules.Time{}, map[rules.ReplicaID]rules.Time{}
	p.inFlight, p.activeAttempts = map[rules.ReplicaID]int{}, nil
	p.usage = make([][2]int, len(f.Groups))
	p.admissions = make([]rules.Admit, len(f.Groups))
	p.tables = make([]*tableSnapshot, len(f.Groups))
	standing := &tableSnapshot{}
	var near []*replica
	for _, r := range p.sim.replicas {
		if r.zone == p.zone && r.state == rules.Ready {
			near = append(near, r)
		}
	}
	p.sim.randomStream.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	for _, r := range near[:min(len(near), 8)] {
		standing.replicas = append(standing.replicas, r.id)
		standing.weights = append(standing.weights, 1)
		standing.cumulativeWeights = append(standing.cumulativeWeights, float64(len(standing.cumulativeWeights)+1))
	}
	for g := range p.tables {
		p.tables[g] = standing
		p.admissions[g] = rules.Admit{Level: 1, Retry: rules.RetryUnrun}
	}
}

// connect joins a governor that lives, drawn by chance.
func (p *proxy) connect() {
	if !p.up || p.governor != nil {
		return
	}
	var alive []*governor
	for _, g := range p.sim.governors {
		if g.up {
			alive = append(alive, g)
		}
	}
	if len(alive) == 0 {
		p.sim.schedule(p.sim.uniform(p.sim.fleet.DisconnectDetectionDelay, 2*p.sim.fleet.DisconnectDetectionDelay), p.connect)
		return
	}
	g := alive[p.sim.randomStream.IntN(len(alive))]
	p.governor, p.joinedAt = g, p.sim.now
	g.join(p)
}

// disconnect ends a proxy's stream; it dials again after noticing.
func (p *proxy) disconnect() {
	if p.governor == nil {
		return
	}
	p.governor.leave(p)
	p.governor = nil
	p.sim.schedule(p.sim.uniform(p.sim.fleet.DisconnectDetectionDelay, 2*p.sim.fleet.DisconnectDetectionDelay), p.connect)
}

// crash takes a proxy down, with all flows that it has.
func (p *proxy) crash() {
	if !p.up {
		return
	}
	p.up = false
	p.incarnation++
	if p.governor != nil {
		p.governor.leave(p)
		p.governor = nil
	}
	for _, t := range slices.Clone(p.activeAttempts) {
		t.replica.cancel(t)
		t.done = true
		p.removeAttempt(t)
		t.flow.fail(p.sim, connectionReset)
	}
	for r := range p.connections {
		p.sim.replicas[r].connections--
	}
	clear(p.connections)
}

// restart starts a proxy again, with a standing table only.
func (p *proxy) restart() {
	if p.up {
		return
	}
	p.up, p.fresh = true, true
	p.initialize()
	p.connect()
}

// scheduleArrival has the proxy's next flow come.
func (p *proxy) scheduleArrival() {
	sim := p.sim
	rate := p.rate * sim.arrivalFactor(p)
	wait := sim.arrivalStream.ExpFloat64() / rate
	sim.schedule(time.Duration(wait*float64(time.Second)), func() {
		if sim.now >= sim.end {
			return
		}
		f := &flow{proxy: p, arrivedAt: sim.now, admissionDraw: sim.arrivalStream.Float64()}
		draw := sim.arrivalStream.Float64() * sim.cumulativeShares[len(sim.cumulativeShares)-1]
		for f.group = 0; draw > sim.cumulativeShares[f.group]; f.group++ {
		}
		f.work = sim.fleet.Groups[f.group].MeanWork.Seconds()
		if sim.fleet.WorkDistribution == Exponential {
			f.work *= sim.arrivalStream.ExpFloat64()
		}
		sim.recordArrival(f)
		f.arrive()
		p.scheduleArrival()
	})
}

// arrive is a client's try at the proxy.
func (f *flow) arrive() {
	p, sim := f.proxy, f.proxy.sim
	f.generation++
	f.effects, f.retries, f.attempted = 0, 0, f.attempted[:0]
	if !p.up {
		f.fail(sim, unreachable)
		return
	}
	p.usage[f.group][0]++
	if f.admissionDraw >= p.admissions[f.group].Level {
		sim.current.Rejected++
		f.reject(sim)
		return
	}
	timer := f.generation
	sim.schedule(time.Duration(sim.clientTimeoutShare()*float64(sim.fleet.Groups[f.group].Expiry)), func() {
		if f.generation == timer && !f.ended {
			f.abandon()
		}
	})
	if wait := p.busyUntil - sim.now; wait > 0 { // it is at work on a table
		sim.schedule(time.Duration(wait), func() {
			if f.generation == timer && !f.ended && p.up {
				p.sendAttempt(f)
			}
		})
		return
	}
	p.sendAttempt(f)
}

// abandon is the client's.
func (f *flow) abandon() {
	p := f.proxy
	if t := f.current; t != nil && !t.done {
		t.done = true
		t.replica.cancel(t)
		p.removeAttempt(t)
		p.recordOutcome(t, timedOut)
	}
	p.usage[f.group][1]++
	f.fail(p.sim, timedOut)
}

// fail ends a client's try without a good answer; it may come again.
func (f *flow) fail(sim *Simulation, o attemptOutcome) {
	if f.ended {
		return
	}
	f.generation++ // the give-up is void
	if f.clientAttempt < sim.clientRetries() {
		f.clientAttempt++
		sim.current.ClientRetries++
		sim.schedule(time.Duration(sim.randomStream.ExpFloat64()*float64(sim.fleet.ClientBackoff)), func() {
			if !f.ended {
				f.arrive()
			}
		})
		return
	}
	f.ended = true
	if o == timedOut {
		sim.recordOutcome(Abandoned)
	} else {
		sim.recordOutcome(Dropped)
	}
}

// reject ends a flow that is not let in: the final answer comes at once, and by its lot it would be blocked again.
func (f *flow) reject(sim *Simulation) {
	f.generation++
	f.ended = true
	sim.recordOutcome(Rejected)
}

// sendAttempt tries a flow at a replica of the proxy's table.
func (p *proxy) sendAttempt(f *flow) {
	sim := p.sim
	id, has := p.pick(f)
	if !has {
		p.usage[f.group][1]++
		f.fail(sim, unreachable)
		return
	}
	r := sim.replicas[id]
	t := &attempt{flow: f, proxy: p, replica: r, sentAt: sim.now, work: f.work}
	f.current = t
	f.attempted = append(f.attempted, id)
	p.activeAttempts = append(p.activeAttempts, t)
	p.inFlight[id]++
	sim.monitor.checkDrain(p, r)
	sim.current.Attempts++
	if r.isWarmingUp() {
		sim.current.WarmupAttempts++
	}
	if r.zone != p.zone {
		sim.current.CrossZoneAttempts++
	}
	took, cut := sim.networkDelay(p.zone, r.zone)
	if !cut {
		sim.schedule(took, func() {
			if !t.done {
				r.receive(t)
			}
		})
	}
	// A try that may be followed after any failure is given up early.
	if l := p.admissions[f.group]; l.Retry >= rules.RetryOnce && f.retries < int(l.Retry-rules.RetryUnrun) {
		sim.schedule(time.Duration(sim.fleet.AttemptTimeoutFactor*float64(sim.fleet.Groups[f.group].LatencyBudget)), func() {
			if !t.done {
				t.done = true
				r.cancel(t)
				p.removeAttempt(t)
				p.recordOutcome(t, timedOut)
				p.retry(f, timedOut)
			}
		})
	}
}

// pick chooses a replica: not one that it shuts out or that the flow has met, and none that it avoids unless there
// is nothing else.
func (p *proxy) pick(f *flow) (rules.ReplicaID, bool) {
	v := p.tables[f.group]
	total := v.totalWeight()
	if total <= 0 {
		return 0, false
	}
	open := func(r rules.ReplicaID, avoids bool) bool {
		return !p.ejected[r] && !slices.Contains(f.attempted, r) && !(avoids && p.avoidUntil[r] > p.sim.now)
	}
	draw := func(avoids bool) (rules.ReplicaID, bool) {
		for range 8 {
			if r := v.replicas[v.indexAt(p.sim.randomStream.Float64()*total)]; open(r, avoids) {
				return r, true
			}
		}
		sum := 0.0
		for i, r := range v.replicas {
			if open(r, avoids) {
				sum += v.weights[i]
			}
		}
		at := p.sim.randomStream.Float64() * sum
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
		if r, has = draw(false); !has && len(f.attempted) > 0 { // all have been met
			r, has = v.replicas[v.indexAt(p.sim.randomStream.Float64()*total)], true
			has = !p.ejected[r]
		}
	}
	if has && p.sim.config.PickPolicy == PickTwoChoices {
		if other, is := draw(true); is && p.inFlight[other] < p.inFlight[r] {
			r = other
		}
	}
	return r, has
}

// handleOutcome takes in what became of a try.
func (p *proxy) handleOutcome(t *attempt, o attemptOutcome) {
	if t.done || !p.up {
		return
	}
	t.done = true
	p.removeAttempt(t)
	p.recordOutcome(t, o)
	f := t.flow
	if o == succeeded {
		f.ended = true
		f.generation++
		p.sim.recordDelivery(f)
		return
	}
	p.retry(f, o)
}

// retry tries a flow once more, as far as the governor ordered.
func (p *proxy) retry(f *flow, o attemptOutcome) {
	never := o == connectionRefused || o == unreachable
	may := false
	switch p.admissions[f.group].Retry {
	case rules.RetryUnrun:
		may = never && f.retries < 1
	case rules.RetryOnce:
		may = f.retries < 1
	case rules.RetryTwice:
		may = f.retries < 2
	}
	if may {
		f.retries++
		p.sendAttempt(f)
		return
	}
	p.usage[f.group][1]++
	f.fail(p.sim, o)
}

func (p *proxy) removeAttempt(t *attempt) {
	if i := slices.Index(p.activeAttempts, t); i >= 0 {
		p.activeAttempts = slices.Delete(p.activeAttempts, i, i+1)
		if p.inFlight[t.replica.id]--; p.inFlight[t.replica.id] == 0 {
			delete(p.inFlight, t.replica.id)
		}
	}
}

// recordOutcome counts a try that has ended, for the sums and for what the proxy avoids.
func (p *proxy) recordOutcome(t *attempt, o attemptOutcome) {
	sim, r := p.sim, t.replica.id
	if p.governor != nil {
		p.governor.recordAttempt(p, t, o)
	}
	if o == succeeded {
		delete(p.failureStreaks, r)
		return
	}
	sim.current.FailedAttempts++
	if sim.fleet.FailuresToAvoid == 0 {
		return
	}
	if p.failureStreaks[r]++; p.failureStreaks[r] >= sim.fleet.FailuresToAvoid {
		delete(p.failureStreaks, r)
		p.avoidUntil[r] = sim.now + rules.Time(sim.fleet.AvoidDuration)
	}
}

// useConnection tells whether a connection to a replica is open, and uses it.
func (p *proxy) useConnection(r *replica) bool {
	if _, is := p.connections[r.id]; is {
		p.connections[r.id] = p.sim.now
		return true
	}
	return false
}

// openConnection opens a connection; it closes when it has lain idle.
func (p *proxy) openConnection(r *replica) {
	p.connections[r.id] = p.sim.now
	r.connections++
	p.scheduleIdleClose(r, r.incarnation, p.incarnation)
}

func (p *proxy) scheduleIdleClose(r *replica, life, own int) {
	p.sim.schedule(p.sim.fleet.ConnectionIdleTimeout, func() {
		last, is := p.connections[r.id]
		if !is || r.incarnation != life || p.incarnation != own {
			return
		}
		if left := time.Duration(last) + p.sim.fleet.ConnectionIdleTimeout - time.Duration(p.sim.now); left > 0 {
			p.sim.schedule(left, func() { p.scheduleIdleClose(r, life, own) })
			return
		}
		delete(p.connections, r.id)
		r.connections--
	})
}

// resetAttempts tells a proxy that a replica has reset its connections.
func (p *proxy) resetAttempts(r *replica) {
	for _, t := range slices.Clone(p.activeAttempts) {
		if t.replica == r && !t.done && t.replicaIncarnation == r.incarnation-1 && (t.running || t.waiting) {
			r.respond(t, connectionReset)
		}
	}
}
