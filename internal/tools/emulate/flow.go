package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// flow is a request of a client. Its client may attempt it several times at its proxy, and the proxy each time at several
// replicas.
type flow struct {
	group         int
	proxy         *proxy
	arrivedAt     rules.Time
	work          float64 // seconds of a core at speed 1
	admissionDraw float64 // compared with the admission level; the same at each of the client's attempts

	clientAttempt int // retries of the client so far
	generation    int // changes when the client's attempt ends: callbacks of an earlier one do nothing
	effects       int // times that it took effect, in this attempt of the client
	retries       int // of the proxy, in this attempt of the client
	attempted     []rules.ReplicaID
	current       *attempt
	ended         bool
}

// scheduleArrival schedules the next flow of a proxy's arrival process, a Poisson process whose rate faults may change.
func (p *proxy) scheduleArrival() {
	sim := p.sim
	rate := p.rate * sim.arrivalFactor(p)
	interval := sim.arrivalStream.ExpFloat64() / rate
	sim.schedule(time.Duration(interval*float64(time.Second)), func() {
		if sim.now >= sim.end {
			return
		}
		f := p.drawFlow()
		sim.recordArrival(f)
		f.arrive()
		p.scheduleArrival()
	})
}

// drawFlow draws a flow's traffic group and work. The order of the draws is part of what a seed means.
func (p *proxy) drawFlow() *flow {
	sim := p.sim
	f := &flow{proxy: p, arrivedAt: sim.now, admissionDraw: sim.arrivalStream.Float64()}
	draw := sim.arrivalStream.Float64() * sim.cumulativeShares[len(sim.cumulativeShares)-1]
	for draw > sim.cumulativeShares[f.group] {
		f.group++
	}
	f.work = sim.fleet.Groups[f.group].MeanWork.Seconds()
	if sim.fleet.WorkDistribution == ExponentialWork {
		f.work *= sim.arrivalStream.ExpFloat64()
	}
	return f
}

// arrive is an attempt of the client: the proxy admits the flow and sends it on, once it is not busy applying a message.
func (f *flow) arrive() {
	p, sim := f.proxy, f.proxy.sim
	f.generation++
	f.effects, f.retries, f.attempted = 0, 0, f.attempted[:0]
	if !p.up {
		f.fail(unreachable)
		return
	}
	p.usage[f.group].arrived++
	if f.admissionDraw >= p.admissions[f.group].Level {
		sim.current.Rejected++
		f.reject()
		return
	}
	generation := f.generation
	patience := time.Duration(sim.clientTimeoutShare() * float64(sim.fleet.Groups[f.group].Expiry))
	sim.schedule(patience, func() {
		if f.generation == generation && !f.ended {
			f.abandon()
		}
	})
	if busy := p.busyUntil - sim.now; busy > 0 {
		sim.schedule(time.Duration(busy), func() {
			if f.generation == generation && !f.ended && p.up {
				p.sendAttempt(f)
			}
		})
		return
	}
	p.sendAttempt(f)
}

// abandon ends an attempt of the client that took longer than the client waits.
func (f *flow) abandon() {
	p := f.proxy
	if t := f.current; t != nil && !t.done {
		p.timeOut(t)
	}
	p.usage[f.group].unserved++
	f.fail(timedOut)
}

// fail ends an attempt of the client without a good answer. The client retries after a backoff, as often as it does.
func (f *flow) fail(outcome attemptOutcome) {
	if f.ended {
		return
	}
	sim := f.proxy.sim
	f.generation++
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
	if outcome == timedOut {
		sim.recordOutcome(Abandoned)
	} else {
		sim.recordOutcome(Dropped)
	}
}

// reject ends a flow that is not admitted. The answer is final: the same draw would be rejected again.
func (f *flow) reject() {
	f.generation++
	f.ended = true
	f.proxy.sim.recordOutcome(Rejected)
}
