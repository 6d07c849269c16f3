package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	// errorResponseTime is how long a faulty replica takes to answer badly.
	errorResponseTime = 2 * time.Millisecond
	// reportNoise is the standard deviation of a reported utilization, relative to the true one.
	reportNoise = 0.08
)

// replica is a machine that serves flows: some cores of a speed, and one queue in the order of arrival.
type replica struct {
	sim         *Simulation
	id          rules.ReplicaID
	zone        int
	kind        int // index into the fleet's kinds
	cores       int
	speed       float64
	startedAt   rules.Time // 0: long ago
	state       rules.State
	up          bool
	incarnation int  // changes at each crash
	overloaded  bool // crashed by overload while it warmed up: it stays down

	disturbances

	queue       []*attempt
	busy        int // cores
	connections int // open ones, of all proxies

	busySeconds float64    // of cores, since busySince
	busySince   rules.Time // of the last load report
	report      rules.LoadReport
	hasReport   bool

	overloadWindow
}

// disturbances are what faults do to a replica. Their rest state is undisturbed.
type disturbances struct {
	hung         float64 // above 0: receives attempts and answers none
	errorShare   float64 // of the attempts, answered badly
	slowdown     float64 // factor
	stolenShare  float64 // of each core, used by another program
	falseReports float64 // above 0: reports no load
	partialShare float64 // of the proxies, whose attempts are answered badly
}

var undisturbed = disturbances{slowdown: 1}

// addReplica starts a replica and returns it. Discovery does not know of it yet.
func (sim *Simulation) addReplica(zone, kind int, startedAt rules.Time) *replica {
	machine := sim.fleet.Kinds[kind]
	r := &replica{
		sim:          sim,
		id:           rules.ReplicaID(len(sim.replicas)),
		zone:         zone,
		kind:         kind,
		cores:        machine.Cores,
		speed:        machine.Speed,
		startedAt:    startedAt,
		state:        rules.Ready,
		up:           true,
		disturbances: undisturbed,
		busySince:    sim.now,
	}
	sim.replicas = append(sim.replicas, r)
	r.scheduleReport()
	return r
}

// scheduleReport renews the replica's load report at intervals, as long as it lives.
func (r *replica) scheduleReport() {
	incarnation := r.incarnation
	interval := r.sim.fleet.LoadReportInterval
	r.sim.schedule(r.sim.uniform(interval/2, interval*3/2), func() {
		if r.incarnation != incarnation || r.state == rules.Deregistered {
			return
		}
		r.renewReport()
		r.scheduleReport()
	})
}

// renewReport reports the utilization since the last report, with noise, and the attempts at the replica.
func (r *replica) renewReport() {
	utilization := 0.0
	if span := time.Duration(r.sim.now - r.busySince).Seconds(); span > 0 {
		utilization = min(r.busySeconds/span/float64(r.cores)+r.stolenShare, 1)
	}
	noise := 1 + reportNoise*r.sim.randomStream.NormFloat64()
	r.report = rules.LoadReport{
		Utilization: min(max(utilization*noise, 0), 1),
		InFlight:    float64(r.busy + len(r.queue)),
		ServiceTime: rules.Absent,
		Rate:        rules.Absent,
	}
	if r.falseReports > 0 {
		r.report.Utilization, r.report.InFlight = 0, 0
	}
	r.hasReport, r.busySeconds, r.busySince = true, 0, r.sim.now
}

// warmth is the share of its speed that a replica has: it rises linearly while it warms up.
func (r *replica) warmth() float64 {
	fleet := r.sim.fleet
	if r.startedAt == 0 {
		return 1
	}
	rise := (1 - fleet.WarmupInitialShare) * float64(r.sim.now-r.startedAt) / float64(fleet.WarmupDuration)
	return min(fleet.WarmupInitialShare+rise, 1)
}

func (r *replica) isWarmingUp() bool {
	return r.startedAt != 0 && r.sim.now-r.startedAt < rules.Time(r.sim.fleet.WarmupDuration)
}

// coreRate is the work that one core does in a second, in seconds of a core at speed 1.
func (r *replica) coreRate() float64 {
	return r.speed * r.warmth() / r.slowdown * (1 - r.stolenShare)
}

// receive takes an attempt from the network: it is answered badly, refused, swallowed or queued.
func (r *replica) receive(t *attempt) {
	sim := r.sim
	t.replicaIncarnation = r.incarnation
	if !r.up {
		r.respond(t, unreachable)
		return
	}
	if r.hung > 0 {
		return
	}
	if r.answersBadly(t) {
		sim.schedule(errorResponseTime, func() { r.respond(t, answeredBadly) })
		return
	}
	if !t.proxy.useConnection(r) {
		if r.connections >= sim.fleet.MaxConnectionsPerCore*r.cores {
			r.respond(t, connectionRefused)
			return
		}
		t.proxy.openConnection(r)
		t.work += sim.fleet.HandshakeWork.Seconds() * r.speed
	}
	sim.monitor.recordWarmupWork(r, t.work)
	if !r.up { // that work has pushed it over
		r.respond(t, connectionReset)
		return
	}
	t.waiting = true
	r.queue = append(r.queue, t)
	r.serve()
}

// answersBadly draws whether a fault of the replica hits an attempt.
func (r *replica) answersBadly(t *attempt) bool {
	return r.errorShare > 0 && r.sim.randomStream.Float64() < r.errorShare || r.partialShare > 0 && t.proxy.selector < r.partialShare
}

// serve starts queued attempts while cores are free.
func (r *replica) serve() {
	for r.up && r.hung == 0 && r.busy < r.cores && len(r.queue) > 0 {
		t := r.queue[0]
		r.queue[0] = nil
		r.queue = r.queue[1:]
		if !t.done {
			r.run(t)
		}
	}
}

// run occupies a core with an attempt until its work is done.
func (r *replica) run(t *attempt) {
	t.waiting, t.running = false, true
	t.startedAt = r.sim.now
	r.busy++
	incarnation := r.incarnation
	r.sim.schedule(time.Duration(t.work/r.coreRate()*float64(time.Second)), func() {
		if r.incarnation != incarnation || !t.running {
			return
		}
		r.release(t)
		t.flow.effects++
		r.sim.monitor.checkEffects(t)
		r.respond(t, succeeded)
	})
}

// release frees the core of an attempt for the next one.
func (r *replica) release(t *attempt) {
	t.running = false
	r.busy--
	r.busySeconds += time.Duration(r.sim.now - t.startedAt).Seconds()
	r.serve()
}

// cancel ends the work on an attempt that nobody waits for any more. The queue passes over one that has not started.
func (r *replica) cancel(t *attempt) {
	if t.running && r.incarnation == t.replicaIncarnation {
		r.release(t)
	}
	t.waiting = false
}

// respond sends the outcome of an attempt to its proxy. If the replica crashes while an answer is under way, the connection
// is reset instead; if a zone is partitioned, the proxy hears nothing.
func (r *replica) respond(t *attempt, outcome attemptOutcome) {
	delay, partitioned := r.sim.networkDelay(r.zone, t.proxy.zone)
	if partitioned {
		return
	}
	incarnation := r.incarnation
	r.sim.schedule(delay, func() {
		if outcome == succeeded && r.incarnation != incarnation {
			outcome = connectionReset
		}
		t.proxy.handleOutcome(t, outcome)
	})
}

// crash takes a replica down. Its connections are reset; where it vanishes silently, proxies hear nothing.
func (r *replica) crash(silently bool) {
	if !r.up {
		return
	}
	r.up = false
	r.incarnation++
	r.queue, r.busy, r.busySeconds, r.hasReport, r.connections = nil, 0, 0, false, 0
	for _, p := range r.sim.proxies {
		delete(p.connections, r.id)
	}
	if silently {
		return
	}
	for _, p := range r.sim.proxies {
		p.resetAttempts(r)
	}
}

// restart starts a replica that was down: it warms up again.
func (r *replica) restart() {
	if r.up || r.overloaded || r.state == rules.Deregistered {
		return
	}
	r.up, r.startedAt = true, r.sim.now
	r.arrivedWork, r.possibleWork = [overloadWindowParts]float64{}, [overloadWindowParts]float64{}
	r.scheduleReport()
	r.sim.discovery.update(r)
}
