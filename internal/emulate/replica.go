package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// attemptOutcome is what became of a try.
type attemptOutcome int

const (
	succeeded         attemptOutcome = iota
	answeredBadly                    // an answer, but a bad one: it ran
	connectionRefused                // no connection to be had: it never ran
	unreachable                      // nobody there: it never ran
	connectionReset                  // the connection broke: it may have run
	timedOut                         // no answer in time: it may have run
)

// attempt is one sending of a flow to a replica.
type attempt struct {
	flow               *flow
	proxy              *proxy
	replica            *replica
	sentAt             rules.Time
	work               float64    // seconds of a core at speed 1
	startedAt          rules.Time // of the work
	running            bool
	waiting            bool
	done               bool // answered, given up or lost
	fails              bool // it will be answered badly
	replicaIncarnation int  // of the replica that took it
}

// replica is a machine that does work: so many cores at a speed, and one queue in the order of arrival.
type replica struct {
	sim         *Simulation
	id          rules.ReplicaID
	zone        int
	kind        int
	cores       int
	speed       float64
	startedAt   rules.Time // 0: long ago
	state       rules.State
	up          bool
	overloaded  bool // pushed over while cold: it stays down
	incarnation int

	hung, errorShare, slowdown, stolenShare, falseReports float64 // by troubles: swallows; share that fails; times slower; share of cores; reports nought
	partialShare                                          float64 // share of proxies whose flows fail

	queue []*attempt
	busy  int // cores

	connections int // connections that are open

	busySeconds float64 // core seconds since the last report
	busySince   rules.Time
	report      rules.Report
	hasReport   bool // there is a report

	arrivedWork  [overloadWindowParts]float64 // work that came, by part of FallAfter
	possibleWork [overloadWindowParts]float64 // work that it could do meanwhile
	windowPart   int64
}

// overloadWindowParts is how finely the load of a cold replica is watched.
const overloadWindowParts = 20

func (sim *Simulation) addReplica(zone, kind int, started rules.Time) *replica {
	k := sim.fleet.Kinds[kind]
	r := &replica{sim: sim, id: rules.ReplicaID(len(sim.replicas)), zone: zone, kind: kind, cores: k.Cores, speed: k.Speed, startedAt: started,
		state: rules.Ready, up: true, slowdown: 1, busySince: sim.now}
	sim.replicas = append(sim.replicas, r)
	r.scheduleReport()
	return r
}

// scheduleReport writes a load report at intervals.
func (r *replica) scheduleReport() {
	life := r.incarnation
	r.sim.schedule(r.sim.uniform(r.sim.fleet.LoadReportInterval/2, r.sim.fleet.LoadReportInterval*3/2), func() {
		if r.incarnation != life || r.state == rules.Gone {
			return
		}
		util := 0.0
		if span := time.Duration(r.sim.now - r.busySince).Seconds(); span > 0 {
			util = min(r.busySeconds/span/float64(r.cores)+r.stolenShare, 1)
		}
		noise := 1 + 0.08*r.sim.randomStream.NormFloat64()
		r.report = rules.Report{Util: min(max(util*noise, 0), 1), InFlight: float64(r.busy + len(r.queue)), ServiceTime: rules.Absent, Rate: rules.Absent}
		if r.falseReports > 0 {
			r.report.Util, r.report.InFlight = 0, 0
		}
		r.hasReport, r.busySeconds, r.busySince = true, 0, r.sim.now
		r.scheduleReport()
	})
}

// warmth is the share of its capacity that a replica has.
func (r *replica) warmth() float64 {
	f := r.sim.fleet
	if r.startedAt == 0 {
		return 1
	}
	return min(f.WarmupInitialShare+(1-f.WarmupInitialShare)*float64(r.sim.now-r.startedAt)/float64(f.WarmupDuration), 1)
}

func (r *replica) isWarmingUp() bool {
	return r.startedAt != 0 && r.sim.now-r.startedAt < rules.Time(r.sim.fleet.WarmupDuration)
}

// coreRate is the work that one core does in a second.
func (r *replica) coreRate() float64 { return r.speed * r.warmth() / r.slowdown * (1 - r.stolenShare) }

// receive takes a try in from the network.
func (r *replica) receive(t *attempt) {
	sim := r.sim
	t.replicaIncarnation = r.incarnation
	if !r.up {
		r.respond(t, unreachable)
		return
	}
	if r.hung > 0 {
		return // nothing comes, ever
	}
	if r.errorShare > 0 && sim.randomStream.Float64() < r.errorShare || r.partialShare > 0 && t.proxy.selector < r.partialShare {
		sim.schedule(2*time.Millisecond, func() { r.respond(t, answeredBadly) })
		return
	}
	if !t.proxy.useConnection(r) {
		if float64(r.connections) >= float64(sim.fleet.MaxConnectionsPerCore*r.cores) {
			r.respond(t, connectionRefused)
			return
		}
		t.proxy.openConnection(r)
		t.work += sim.fleet.HandshakeWork.Seconds() * r.speed
	}
	sim.monitor.recordWarmupWork(r, t.work)
	if !r.up { // that was too much
		r.respond(t, connectionReset)
		return
	}
	t.waiting = true
	r.queue = append(r.queue, t)
	r.serve()
}

// serve begins work on what waits, as cores come free.
func (r *replica) serve() {
	for r.up && r.hung == 0 && r.busy < r.cores && len(r.queue) > 0 {
		t := r.queue[0]
		r.queue[0] = nil
		r.queue = r.queue[1:]
		if t.done {
			continue
		}
		t.waiting, t.running = false, true
		r.busy++
		took := time.Duration(t.work / r.coreRate() * float64(time.Second))
		life, from := r.incarnation, r.sim.now
		r.sim.schedule(took, func() {
			if r.incarnation != life || !t.running {
				return
			}
			r.release(t, from)
			t.flow.effects++
			r.sim.monitor.checkEffects(t)
			r.respond(t, succeeded)
		})
		t.startedAt = from
	}
}

// release frees the core of a try.
func (r *replica) release(t *attempt, from rules.Time) {
	t.running = false
	r.busy--
	r.busySeconds += time.Duration(r.sim.now - from).Seconds()
	r.serve()
}

// cancel ends the work on a try that nobody waits for any more.
func (r *replica) cancel(t *attempt) {
	if t.running && r.incarnation == t.replicaIncarnation {
		r.release(t, t.startedAt)
	}
	t.waiting = false // the queue passes over it
}

// respond sends word of a try back.
func (r *replica) respond(t *attempt, o attemptOutcome) {
	took, cut := r.sim.networkDelay(r.zone, t.proxy.zone)
	if cut {
		return
	}
	life := r.incarnation
	r.sim.schedule(took, func() {
		if o == succeeded && r.incarnation != life {
			o = connectionReset
		}
		t.proxy.handleOutcome(t, o)
	})
}

// crash takes a replica down: what it had under way is reset, or never heard of again where it vanishes.
func (r *replica) crash(vanish bool) {
	if !r.up {
		return
	}
	r.up = false
	r.incarnation++
	r.queue, r.busy, r.busySeconds, r.hasReport, r.connections = nil, 0, 0, false, 0
	for _, p := range r.sim.proxies {
		delete(p.connections, r.id)
	}
	if vanish {
		return
	}
	for _, p := range r.sim.proxies {
		p.resetAttempts(r)
	}
}

// restart starts a replica that was down, cold.
func (r *replica) restart() {
	if r.up || r.overloaded || r.state == rules.Gone {
		return
	}
	r.up, r.startedAt = true, r.sim.now
	r.arrivedWork, r.possibleWork = [overloadWindowParts]float64{}, [overloadWindowParts]float64{}
	r.scheduleReport()
	r.sim.discovery.update(r)
}
