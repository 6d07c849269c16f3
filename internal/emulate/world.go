package emulate

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"zincloft.example/zincloft/rules"
)

// Decider is what steers the proxies of one governor. rules.Governor is one.
type Decider interface {
	Step(now rules.Time, events []rules.Event) []rules.Order
}

// PickPolicy is how proxies choose among the lines of a table.
type PickPolicy int

// Ways of picking.
const (
	PickWeighted   PickPolicy = iota
	PickTwoChoices            // two by weight; the one that the proxy itself has fewer flows at
)

// Config is one run.
type Config struct {
	Fleet  Fleet
	Faults []Fault
	Seed   uint64
	// New makes the decider of a governor at each of its starts; nil: rules.Governor, with Settings.
	NewDecider func(w *Simulation, governor int) Decider
	PickPolicy PickPolicy
	// Settings changes what governors are told; nil: nothing.
	AdjustSettings func(*rules.Settings)
	// OnBreak is called with the world as it stands when a rule breaks for the first time; may be nil.
	OnViolation func(*Simulation, Violation)
	// FreeChannel takes the channel's pace and rule away, for deciders that know of none.
	FreeChannel bool
}

// Simulation is a run under way. All of it is used by one goroutine.
type Simulation struct {
	config     Config
	fleet      *Fleet
	settings   rules.Settings
	now        rules.Time
	start      rules.Time
	end        rules.Time // no flow begins from then on
	events     eventQueue
	eventCount uint64 // events so far

	arrivalStream, randomStream *rand.Rand // flows and their work; all else: so that deciders meet the same flows
	replicas                    []*replica
	machineKinds                []int
	proxies                     []*proxy
	governors                   []*governor
	discovery                   discovery
	arrivalRate                 float64 // flows a second, over all proxies
	cumulativeShares            []float64
	faults                      []*activeFault
	zoneCuts                    []int // troubles that cut a zone off, by zone
	monitor                     monitor
	result                      Result
	current                     *Second
}

// simulationEpoch is the emulated clock at the start: any time that is not 0, as 0 means long ago.
const simulationEpoch = rules.Time(1_000_000 * time.Second)

type event struct {
	at       rules.Time
	sequence uint64
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Run plays a run to its end.
func Run(p Config) (*Result, error) {
	if err := p.Fleet.Validate(); err != nil {
		return nil, err
	}
	sim := &Simulation{config: p, fleet: &p.Fleet, now: simulationEpoch, start: simulationEpoch,
		arrivalStream: rand.New(rand.NewPCG(p.Seed, 1)), randomStream: rand.New(rand.NewPCG(p.Seed, 2))}
	if err := sim.build(); err != nil {
		return nil, err
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at >= sim.end+rules.Time(sim.fleet.SettleTime) {
			break
		}
		sim.now = e.at
		sim.eventCount++
		e.action()
	}
	return sim.summarize(), nil
}

func (sim *Simulation) build() error {
	f := sim.fleet
	sim.settings = f.Settings()
	if sim.config.AdjustSettings != nil {
		sim.config.AdjustSettings(&sim.settings)
	}
	sim.end = sim.start + rules.Time(f.Duration)
	sim.zoneCuts = make([]int, f.Zones)
	sim.result = Result{Seed: sim.config.Seed}
	sim.monitor.start(sim)
	sim.machineKinds = assignKinds(f.Kinds, f.Replicas)
	for i := range f.Replicas {
		sim.addReplica(i%f.Zones, sim.machineKinds[i], 0)
	}
	all, each := f.capacity(sim.replicas)
	sim.arrivalRate = f.Load * all / each
	total := 0.0
	for _, g := range f.Groups {
		total += g.Share
		sim.cumulativeShares = append(sim.cumulativeShares, total)
	}
	sim.discovery.start(sim)
	for i := range f.Governors {
		sim.governors = append(sim.governors, newGovernor(sim, i))
	}
	sum := 0.0
	for i := range f.Proxies {
		p := newProxy(sim, i)
		sim.proxies = append(sim.proxies, p)
		sum += p.rate
	}
	for _, p := range sim.proxies {
		p.rate *= sim.arrivalRate / sum
	}
	for _, g := range sim.governors {
		g.start()
	}
	for _, p := range sim.proxies {
		sim.schedule(sim.uniform(0, time.Second), p.connect)
		p.scheduleArrival()
	}
	sim.startMetrics()
	return sim.scheduleFaults()
}

// assignKinds gives each machine a kind, so that each kind has its share.
func assignKinds(kinds []MachineKind, n int) (of []int) {
	total := 0.0
	for _, k := range kinds {
		total += k.Share
	}
	owed := make([]float64, len(kinds))
	for range n {
		best := 0
		for k := range kinds {
			if owed[k] += kinds[k].Share / total; owed[k] > owed[best] {
				best = k
			}
		}
		owed[best]--
		of = append(of, best)
	}
	return of
}

// schedule has something happen after a time.
func (sim *Simulation) schedule(after time.Duration, do func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{sim.now + rules.Time(max(after, 0)), sim.eventCount, do})
}

// uniform draws a time.
func (sim *Simulation) uniform(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.randomStream.Float64()*float64(most-least))
}

// elapsedSeconds is a time on the run's clock.
func (sim *Simulation) elapsedSeconds() float64 { return time.Duration(sim.now - sim.start).Seconds() }

// networkDelay is how long a message takes between two zones, one way; cut tells that it never arrives.
func (sim *Simulation) networkDelay(from, to int) (took time.Duration, cut bool) {
	took = sim.fleet.LocalDelay
	if from != to {
		took = sim.fleet.CrossZoneDelay
		cut = sim.zoneCuts[from] > 0 || sim.zoneCuts[to] > 0
	}
	return sim.uniform(took*3/4, took*5/4), cut
}

// gammaVariate draws with mean 1 and a coefficient of variation, by Marsaglia and Tsang (2000).
func gammaVariate(r *rand.Rand, cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	shape := 1 / (cv * cv)
	boost := 1.0
	a := shape
	if a < 1 {
		boost, a = math.Pow(r.Float64(), 1/a), a+1
	}
	d := a - 1.0/3
	c := 1 / math.Sqrt(9*d)
	for {
		x := r.NormFloat64()
		v := 1 + c*x
		if v <= 0 {
			continue
		}
		v = v * v * v
		if math.Log(1-r.Float64()) < x*x/2+d-d*v+d*math.Log(v) {
			return d * v * boost / shape
		}
	}
}
