package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// outcome is what became of a try.
type outcome int

const (
	good    outcome = iota
	failed          // an answer, but a bad one: it ran
	full            // no connection to be had: it never ran
	unheard         // nobody there: it never ran
	reset           // the connection broke: it may have run
	silent          // no answer in time: it may have run
)

// try is one sending of a flow to a replica.
type try struct {
	flow    *flow
	proxy   *proxy
	replica *replica
	sent    rules.Time
	work    float64    // seconds of a core at speed 1
	begun   rules.Time // of the work
	running bool
	waiting bool
	over    bool // answered, given up or lost
	fails   bool // it will be answered badly
	life    int  // of the replica that took it
}

// replica is a machine that does work: so many cores at a speed, and one queue in the order of arrival.
type replica struct {
	w       *World
	id      rules.ReplicaID
	zone    int
	kind    int
	cores   int
	speed   float64
	started rules.Time // 0: long ago
	state   rules.State
	up      bool
	fallen  bool // pushed over while cold: it stays down
	life    int

	hung, errors, slow, stolen, liar float64 // by troubles: swallows; share that fails; times slower; share of cores; reports nought
	partial                          float64 // share of proxies whose flows fail

	queue []*try
	busy  int // cores

	links int // connections that are open

	busyFor float64 // core seconds since the last report
	busyAt  rules.Time
	report  rules.LoadReport
	told    bool // there is a report

	came [fallParts]float64 // work that came, by part of FallAfter
	can  [fallParts]float64 // work that it could do meanwhile
	part int64
}

// fallParts is how finely the load of a cold replica is watched.
const fallParts = 20

func (w *World) add(zone, kind int, started rules.Time) *replica {
	k := w.fleet.Kinds[kind]
	r := &replica{w: w, id: rules.ReplicaID(len(w.replicas)), zone: zone, kind: kind, cores: k.Cores, speed: k.Speed, started: started,
		state: rules.Ready, up: true, slow: 1, busyAt: w.now}
	w.replicas = append(w.replicas, r)
	r.renew()
	return r
}

// renew writes a load report at intervals.
func (r *replica) renew() {
	life := r.life
	r.w.in(r.w.between(r.w.fleet.ReportEach/2, r.w.fleet.ReportEach*3/2), func() {
		if r.life != life || r.state == rules.Deregistered {
			return
		}
		util := 0.0
		if span := time.Duration(r.w.now - r.busyAt).Seconds(); span > 0 {
			util = min(r.busyFor/span/float64(r.cores)+r.stolen, 1)
		}
		noise := 1 + 0.08*r.w.chance.NormFloat64()
		r.report = rules.LoadReport{Utilization: min(max(util*noise, 0), 1), InFlight: float64(r.busy + len(r.queue)), ServiceTime: rules.Absent, Rate: rules.Absent}
		if r.liar > 0 {
			r.report.Utilization, r.report.InFlight = 0, 0
		}
		r.told, r.busyFor, r.busyAt = true, 0, r.w.now
		r.renew()
	})
}

// warmth is the share of its capacity that a replica has.
func (r *replica) warmth() float64 {
	f := r.w.fleet
	if r.started == 0 {
		return 1
	}
	return min(f.ColdFrom+(1-f.ColdFrom)*float64(r.w.now-r.started)/float64(f.WarmAfter), 1)
}

func (r *replica) cold() bool {
	return r.started != 0 && r.w.now-r.started < rules.Time(r.w.fleet.WarmAfter)
}

// pace is the work that one core does in a second.
func (r *replica) pace() float64 { return r.speed * r.warmth() / r.slow * (1 - r.stolen) }

// take takes a try in from the network.
func (r *replica) take(t *try) {
	w := r.w
	t.life = r.life
	if !r.up {
		r.answer(t, unheard)
		return
	}
	if r.hung > 0 {
		return // nothing comes, ever
	}
	if r.errors > 0 && w.chance.Float64() < r.errors || r.partial > 0 && t.proxy.lot < r.partial {
		w.in(2*time.Millisecond, func() { r.answer(t, failed) })
		return
	}
	if !t.proxy.link(r) {
		if float64(r.links) >= float64(w.fleet.Links*r.cores) {
			r.answer(t, full)
			return
		}
		t.proxy.open(r)
		t.work += w.fleet.Handshake.Seconds() * r.speed
	}
	w.watch.came(r, t.work)
	if !r.up { // that was too much
		r.answer(t, reset)
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
		if t.over {
			continue
		}
		t.waiting, t.running = false, true
		r.busy++
		took := time.Duration(t.work / r.pace() * float64(time.Second))
		life, from := r.life, r.w.now
		r.w.in(took, func() {
			if r.life != life || !t.running {
				return
			}
			r.stop(t, from)
			t.flow.ran++
			r.w.watch.effect(t)
			r.answer(t, good)
		})
		t.begun = from
	}
}

// stop frees the core of a try.
func (r *replica) stop(t *try, from rules.Time) {
	t.running = false
	r.busy--
	r.busyFor += time.Duration(r.w.now - from).Seconds()
	r.serve()
}

// cancel ends the work on a try that nobody waits for any more.
func (r *replica) cancel(t *try) {
	if t.running && r.life == t.life {
		r.stop(t, t.begun)
	}
	t.waiting = false // the queue passes over it
}

// answer sends word of a try back.
func (r *replica) answer(t *try, o outcome) {
	took, cut := r.w.way(r.zone, t.proxy.zone)
	if cut {
		return
	}
	life := r.life
	r.w.in(took, func() {
		if o == good && r.life != life {
			o = reset
		}
		t.proxy.hear(t, o)
	})
}

// die takes a replica down: what it had under way is reset, or never heard of again where it vanishes.
func (r *replica) die(vanish bool) {
	if !r.up {
		return
	}
	r.up = false
	r.life++
	r.queue, r.busy, r.busyFor, r.told, r.links = nil, 0, 0, false, 0
	for _, p := range r.w.proxies {
		delete(p.links, r.id)
	}
	if vanish {
		return
	}
	for _, p := range r.w.proxies {
		p.lost(r)
	}
}

// back starts a replica that was down, cold.
func (r *replica) back() {
	if r.up || r.fallen || r.state == rules.Deregistered {
		return
	}
	r.up, r.started = true, r.w.now
	r.came, r.can = [fallParts]float64{}, [fallParts]float64{}
	r.renew()
	r.w.list.change(r)
}
