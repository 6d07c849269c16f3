package emulate

import (
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// maxBootstrapReplicas is the number of replicas in the table that a proxy starts with.
const maxBootstrapReplicas = 8

// defaultAdmission applies to traffic groups without an admission order.
var defaultAdmission = rules.Admit{Level: 1, Retry: rules.RetryUnprocessed}

// proxy routes flows according to the tables of its governor.
type proxy struct {
	sim         *Simulation
	id          rules.ProxyID
	zone        int
	rate        float64 // mean flows per second
	faultDraw   float64 // drawn once; partial faults affect proxies with a low value
	up          bool
	incarnation int // incremented at each crash

	governor      *governor // nil if not connected
	bootstrapOnly bool      // has received no table from a governor
	joinedAt      rules.Time
	busyUntil     rules.Time       // end of applying messages
	tables        []*tableSnapshot // by traffic group
	admissions    []rules.Admit    // by traffic group
	ejected       map[rules.ReplicaID]bool

	failureStreaks map[rules.ReplicaID]int        // consecutive failures of its own attempts
	avoidUntil     map[rules.ReplicaID]rules.Time // set after a failure streak
	connections    map[rules.ReplicaID]rules.Time // last use of each open connection
	inFlight       map[rules.ReplicaID]int        // its own attempts
	activeAttempts []*attempt
	usage          []groupUsage // by traffic group
}

func newProxy(sim *Simulation, index int) *proxy {
	fleet := sim.fleet
	p := &proxy{
		sim:           sim,
		id:            rules.ProxyID(index),
		zone:          index % fleet.Zones,
		rate:          gammaVariate(sim.arrivalStream, fleet.ProxyRateCV),
		faultDraw:     sim.randomStream.Float64(),
		up:            true,
		bootstrapOnly: true,
	}
	p.initialize()
	return p
}

// initialize sets the initial state of a proxy: a bootstrap table of replicas in its zone for all traffic groups.
func (p *proxy) initialize() {
	groups := len(p.sim.fleet.Groups)
	p.ejected, p.failureStreaks = map[rules.ReplicaID]bool{}, map[rules.ReplicaID]int{}
	p.avoidUntil, p.connections = map[rules.ReplicaID]rules.Time{}, map[rules.ReplicaID]rules.Time{}
	p.inFlight, p.activeAttempts = map[rules.ReplicaID]int{}, nil
	p.usage = make([]groupUsage, groups)
	bootstrap := p.bootstrapTable()
	p.tables = slices.Repeat([]*tableSnapshot{bootstrap}, groups)
	p.admissions = slices.Repeat([]rules.Admit{defaultAdmission}, groups)
}

// bootstrapTable draws the table that a proxy uses until its first message.
func (p *proxy) bootstrapTable() *tableSnapshot {
	var local []*replica
	for _, r := range p.sim.replicas {
		if r.zone == p.zone && r.state == rules.Ready {
			local = append(local, r)
		}
	}
	p.sim.randomStream.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	bootstrap := &tableSnapshot{}
	for _, r := range local[:min(len(local), maxBootstrapReplicas)] {
		bootstrap.add(r.id, 1)
	}
	return bootstrap
}

// connect joins a random running governor, or retries later if there is none.
func (p *proxy) connect() {
	if !p.up || p.governor != nil {
		return
	}
	var running []*governor
	for _, g := range p.sim.governors {
		if g.up {
			running = append(running, g)
		}
	}
	if len(running) == 0 {
		p.scheduleReconnect()
		return
	}
	p.governor = running[p.sim.randomStream.IntN(len(running))]
	p.joinedAt = p.sim.now
	p.governor.join(p)
}

// scheduleReconnect reconnects after the loss of the stream has been detected.
func (p *proxy) scheduleReconnect() {
	detection := p.sim.fleet.DisconnectDetectionDelay
	p.sim.schedule(p.sim.uniform(detection, 2*detection), p.connect)
}

// disconnect breaks the stream to the governor and schedules a reconnect.
func (p *proxy) disconnect() {
	if p.governor == nil {
		return
	}
	p.governor.leave(p)
	p.governor = nil
	p.scheduleReconnect()
}

// crash stops a proxy. Its stream and connections are closed and its pending flows fail.
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
		t.flow.fail(connectionReset)
	}
	for id := range p.connections {
		p.sim.replicas[id].connections--
	}
	clear(p.connections)
}

// restart starts a crashed proxy with a bootstrap table.
func (p *proxy) restart() {
	if p.up {
		return
	}
	p.up, p.bootstrapOnly = true, true
	p.initialize()
	p.connect()
}

// applyMessage installs the tables, admissions and ejections of a message.
func (p *proxy) applyMessage(message proxyMessage) {
	for group, table := range message.tables {
		if table != nil {
			p.tables[group], p.admissions[group] = table, message.admissions[group]
		}
	}
	if message.ejected != nil {
		p.ejected = message.ejected
	}
	p.bootstrapOnly = false
	p.sim.monitor.updateUnserved(p, true)
}

// sendAttempt sends a flow to a replica chosen from its table.
func (p *proxy) sendAttempt(f *flow) {
	sim := p.sim
	id, found := p.pick(f)
	if !found {
		p.usage[f.group].unserved++
		f.fail(unreachable)
		return
	}
	r := sim.replicas[id]
	t := &attempt{flow: f, proxy: p, replica: r, sentAt: sim.now, work: f.work}
	f.current = t
	f.attempted = append(f.attempted, id)
	p.activeAttempts = append(p.activeAttempts, t)
	p.inFlight[id]++
	sim.monitor.checkDrain(p, r)
	sim.recordAttempt(t)
	if delay, partitioned := sim.networkDelay(p.zone, r.zone); !partitioned {
		sim.schedule(delay, func() {
			if !t.done {
				r.receive(t)
			}
		})
	}
	// Attempts that may be retried after any failure have a short timeout, which leaves time for the retry.
	if p.retriesAnyFailure(f) {
		timeout := time.Duration(sim.fleet.AttemptTimeoutFactor * float64(sim.fleet.Groups[f.group].LatencyBudget))
		sim.schedule(timeout, func() {
			if !t.done {
				p.timeOut(t)
				p.retry(f, timedOut)
			}
		})
	}
}

// timeOut cancels an attempt and records it as timed out.
func (p *proxy) timeOut(t *attempt) {
	t.done = true
	t.replica.cancel(t)
	p.removeAttempt(t)
	p.recordOutcome(t, timedOut)
}

// handleOutcome processes the response or failure of an attempt.
func (p *proxy) handleOutcome(t *attempt, outcome attemptOutcome) {
	if t.done || !p.up {
		return
	}
	t.done = true
	p.removeAttempt(t)
	p.recordOutcome(t, outcome)
	f := t.flow
	if outcome != succeeded {
		p.retry(f, outcome)
		return
	}
	f.ended = true
	f.generation++
	p.sim.recordDelivery(f)
}

// retriesAnyFailure reports whether the retry policy allows another attempt after any failure, including timeouts.
func (p *proxy) retriesAnyFailure(f *flow) bool {
	policy := p.admissions[f.group].Retry
	return policy >= rules.RetryOnce && f.retries < int(policy-rules.RetryUnprocessed)
}

// retry sends a flow again if the retry policy allows it, and fails it otherwise.
func (p *proxy) retry(f *flow, outcome attemptOutcome) {
	allowed := false
	switch p.admissions[f.group].Retry {
	case rules.RetryUnprocessed:
		allowed = outcome.notExecuted() && f.retries < 1
	case rules.RetryOnce:
		allowed = f.retries < 1
	case rules.RetryTwice:
		allowed = f.retries < 2
	}
	if allowed {
		f.retries++
		p.sendAttempt(f)
		return
	}
	p.usage[f.group].unserved++
	f.fail(outcome)
}

func (p *proxy) removeAttempt(t *attempt) {
	i := slices.Index(p.activeAttempts, t)
	if i < 0 {
		return
	}
	p.activeAttempts = slices.Delete(p.activeAttempts, i, i+1)
	p.inFlight[t.replica.id]--
	if p.inFlight[t.replica.id] == 0 {
		delete(p.inFlight, t.replica.id)
	}
}

// recordOutcome records a completed attempt for reports and for the local avoidance of failing replicas.
func (p *proxy) recordOutcome(t *attempt, outcome attemptOutcome) {
	sim, id := p.sim, t.replica.id
	if p.governor != nil {
		p.governor.recordAttempt(p, t, outcome)
	}
	if outcome == succeeded {
		delete(p.failureStreaks, id)
		return
	}
	sim.currentSecond.FailedAttempts++
	if sim.fleet.FailuresToAvoid == 0 {
		return
	}
	p.failureStreaks[id]++
	if p.failureStreaks[id] >= sim.fleet.FailuresToAvoid {
		delete(p.failureStreaks, id)
		p.avoidUntil[id] = sim.now + rules.Time(sim.fleet.AvoidDuration)
	}
}
