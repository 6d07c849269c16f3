package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// flow is a client request. The client may retry it at its proxy, and on each client attempt the proxy may try several replicas.
type flow struct {
	group         int
	proxy         *proxy
	arrivedAt     rules.Time
	work          float64 // core-seconds at speed 1
	admissionDraw float64 // compared with the admission level; constant across client attempts

	clientRetries int // so far
	generation    int // incremented when a client attempt starts or ends; callbacks of earlier generations do nothing
	effects       int // completed executions in this client attempt
	retries       int // by the proxy in this client attempt
	attempted     []rules.ReplicaID
	current       *attempt
	ended         bool
}

// scheduleArrival schedules the next flow of a proxy. Arrivals are a Poisson process whose rate faults may scale.
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

// drawFlow draws the traffic group and the work of a flow. The order of the draws must not change: it defines the runs of a seed.
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

// arrive starts a client attempt. If the flow is admitted, the proxy sends it as soon as it is not busy applying a message.
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
		sim.currentSecond.Rejected++
		f.reject()
		return
	}
	generation := f.generation
	timeout := time.Duration(sim.clientTimeoutShare() * float64(sim.fleet.Groups[f.group].Expiry))
	sim.schedule(timeout, func() {
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

// abandon ends a client attempt that exceeded the client timeout.
func (f *flow) abandon() {
	p := f.proxy
	if t := f.current; t != nil && !t.done {
		p.timeOut(t)
	}
	p.usage[f.group].unserved++
	f.fail(timedOut)
}

// fail ends an unsuccessful client attempt. The client retries after a backoff while it has retries left.
func (f *flow) fail(outcome attemptOutcome) {
	if f.ended {
		return
	}
	sim := f.proxy.sim
	f.generation++
	if f.clientRetries < sim.maxClientRetries() {
		f.clientRetries++
		sim.currentSecond.ClientRetries++
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

// reject ends a flow that is not admitted. Clients do not retry it, because the admission draw of a flow is fixed.
func (f *flow) reject() {
	f.generation++
	f.ended = true
	f.proxy.sim.recordOutcome(Rejected)
}
