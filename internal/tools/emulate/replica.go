package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	// errorResponseTime is the time until an injected error response.
	errorResponseTime = 2 * time.Millisecond
	// reportNoise is the relative standard deviation of reported utilization.
	reportNoise = 0.08
)

// replica is a server with a number of cores of equal speed and a FIFO queue.
type replica struct {
	sim         *Simulation
	id          rules.ReplicaID
	zone        int
	kind        int // index into the fleet's kinds
	cores       int
	speed       float64
	startedAt   rules.Time // 0: started long before the run
	state       rules.State
	up          bool
	incarnation int  // incremented at each crash
	overloaded  bool // crashed by overload during warm-up; never restarts

	degradations

	queue       []*attempt
	busy        int // busy cores
	connections int // open connections of all proxies

	busySeconds float64    // core-seconds since busySince
	busySince   rules.Time // time of the last load report
	report      rules.LoadReport
	hasReport   bool

	overloadWindow
}

// degradations are the effects of faults on a replica. noDegradation is the default.
type degradations struct {
	hung          float64 // above 0: accepts attempts without responding
	errorShare    float64 // share of attempts that receive an error response
	slowdown      float64 // divisor of the speed
	cpuStealShare float64 // share of each core used by another process
	falseReports  float64 // above 0: reports zero load
	partialShare  float64 // share of proxies that receive error responses
}

var noDegradation = degradations{slowdown: 1}

// addReplica starts a replica without registering it with discovery.
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
		degradations: noDegradation,
		busySince:    sim.now,
	}
	sim.replicas = append(sim.replicas, r)
	r.scheduleReport()
	return r
}

// scheduleReport updates the load report of a replica periodically until it crashes or is deregistered.
func (r *replica) scheduleReport() {
	incarnation := r.incarnation
	interval := r.sim.fleet.LoadReportInterval
	r.sim.schedule(r.sim.uniform(interval/2, interval*3/2), func() {
		if r.incarnation != incarnation || r.state == rules.Deregistered {
			return
		}
		r.updateReport()
		r.scheduleReport()
	})
}

// updateReport sets the load report to the utilization since the last report, with noise, and the attempts in progress.
func (r *replica) updateReport() {
	utilization := 0.0
	if span := time.Duration(r.sim.now - r.busySince).Seconds(); span > 0 {
		utilization = min(r.busySeconds/span/float64(r.cores)+r.cpuStealShare, 1)
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

// warmupFactor returns the current speed as a share of full speed. It rises linearly during warm-up.
func (r *replica) warmupFactor() float64 {
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

// coreRate returns the work per second of one core, in core-seconds at speed 1.
func (r *replica) coreRate() float64 {
	return r.speed * r.warmupFactor() / r.slowdown * (1 - r.cpuStealShare)
}

// receive handles an arriving attempt: it is dropped, answered with an error, refused or queued.
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
	if r.drawsErrorResponse(t) {
		sim.schedule(errorResponseTime, func() { r.respond(t, errorResponse) })
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
	if !r.up { // crashed by overload
		r.respond(t, connectionReset)
		return
	}
	t.queued = true
	r.queue = append(r.queue, t)
	r.serve()
}

// drawsErrorResponse draws whether an injected fault answers an attempt with an error.
func (r *replica) drawsErrorResponse(t *attempt) bool {
	return r.errorShare > 0 && r.sim.randomStream.Float64() < r.errorShare || r.partialShare > 0 && t.proxy.faultDraw < r.partialShare
}

// serve starts queued attempts while cores are idle.
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
	t.queued, t.executing = false, true
	t.startedAt = r.sim.now
	r.busy++
	incarnation := r.incarnation
	r.sim.schedule(time.Duration(t.work/r.coreRate()*float64(time.Second)), func() {
		if r.incarnation != incarnation || !t.executing {
			return
		}
		r.release(t)
		t.flow.effects++
		r.sim.monitor.checkEffects(t)
		r.respond(t, succeeded)
	})
}

// release frees the core of an attempt and starts queued ones.
func (r *replica) release(t *attempt) {
	t.executing = false
	r.busy--
	r.busySeconds += time.Duration(r.sim.now - t.startedAt).Seconds()
	r.serve()
}

// cancel stops the execution of an attempt whose proxy no longer waits for it. Queued attempts that are done are skipped by serve.
func (r *replica) cancel(t *attempt) {
	if t.executing && r.incarnation == t.replicaIncarnation {
		r.release(t)
	}
	t.queued = false
}

// respond sends the outcome of an attempt to its proxy. If the replica crashes before a successful response arrives, the proxy
// observes a connection reset; across a partition it observes nothing.
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

// crash stops a replica. Its connections are reset unless it crashes silently.
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

// restart starts a crashed replica, which warms up again.
func (r *replica) restart() {
	if r.up || r.overloaded || r.state == rules.Deregistered {
		return
	}
	r.up, r.startedAt = true, r.sim.now
	r.arrivedWork, r.capacity = [overloadBuckets]float64{}, [overloadBuckets]float64{}
	r.scheduleReport()
	r.sim.discovery.update(r)
}
