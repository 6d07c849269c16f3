package emulate

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"zincloft.example/zincloft/rules"
)

// Decider is the decision logic of one governor. It maps events to orders without I/O or a clock of its own. rules.Governor
// implements it.
type Decider interface {
	// Step processes the events since the last step and returns the resulting orders.
	Step(now rules.Time, events []rules.Event) []rules.Order
}

// PickPolicy determines how proxies choose among the endpoints of a table.
type PickPolicy int

// The pick policies.
const (
	// PickWeighted draws one replica by weight.
	PickWeighted PickPolicy = iota
	// PickPowerOfTwoChoices draws two by weight and uses the one with fewer attempts of this proxy in flight.
	PickPowerOfTwoChoices
)

// Config is the configuration of one run. Equal configurations produce identical runs.
type Config struct {
	Fleet  Fleet
	Faults []Fault
	Seed   uint64 // for both random streams and the governors
	// NewDecider creates the decider of a governor each time that the governor starts. If nil, rules.Governor is used.
	NewDecider func(sim *Simulation, governor int) Decider
	PickPolicy PickPolicy
	// AdjustSettings, if not nil, modifies the initial settings of governors.
	AdjustSettings func(*rules.Settings)
	// OnViolation, if not nil, is called at the first violation of each invariant.
	OnViolation func(*Simulation, Violation)
	// UnlimitedChannel makes channels infinitely fast and disables their invariant, for deciders that do not respect channel limits.
	UnlimitedChannel bool
}

// simulationEpoch is the simulated time at the start of a run. It is not 0, because a start time of 0 means that a replica started
// long before the run.
const simulationEpoch = rules.Time(1_000_000 * time.Second)

// Simulation is the state of a run. It is not safe for concurrent use.
type Simulation struct {
	config   Config
	fleet    *Fleet
	settings rules.Settings

	now        rules.Time // simulated clock
	start      rules.Time
	end        rules.Time // end of arrivals
	events     eventQueue
	eventCount uint64 // events scheduled and executed so far; also the sequence of scheduled events

	// Arrivals have a separate random stream, so that all deciders receive the same flows.
	arrivalStream *rand.Rand
	randomStream  *rand.Rand // everything else

	replicas         []*replica
	machineKinds     []int // of the initial replicas
	proxies          []*proxy
	governors        []*governor
	discovery        discovery
	arrivalRate      float64   // total flows per second
	cumulativeShares []float64 // of the traffic groups
	faults           []*activeFault
	zonePartitions   []int // by zone: number of active faults that partition it

	monitor       monitor
	result        Result
	currentSecond *Second
}

// Run executes a simulation. It returns an error if the fleet or a fault is invalid.
func Run(config Config) (*Result, error) {
	if err := config.Fleet.Validate(); err != nil {
		return nil, err
	}
	sim := &Simulation{
		config:        config,
		fleet:         &config.Fleet,
		now:           simulationEpoch,
		start:         simulationEpoch,
		arrivalStream: rand.New(rand.NewPCG(config.Seed, 1)),
		randomStream:  rand.New(rand.NewPCG(config.Seed, 2)),
	}
	if err := sim.build(); err != nil {
		return nil, err
	}
	sim.execute()
	return sim.summarize(), nil
}

// execute runs events in order until the end of the settling time.
func (sim *Simulation) execute() {
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		if next.at >= sim.end+rules.Time(sim.fleet.SettleTime) {
			return
		}
		sim.now = next.at
		sim.eventCount++
		next.action()
	}
}

// build creates the fleet and schedules the initial events. The order of its steps must not change, as each step draws from the
// random streams or schedules events.
func (sim *Simulation) build() error {
	fleet := sim.fleet
	sim.settings = fleet.Settings()
	if sim.config.AdjustSettings != nil {
		sim.config.AdjustSettings(&sim.settings)
	}
	sim.end = sim.start + rules.Time(fleet.Duration)
	sim.zonePartitions = make([]int, fleet.Zones)
	sim.result = Result{Seed: sim.config.Seed}
	sim.monitor.start(sim)
	sim.buildReplicas()
	sim.discovery.start(sim)
	for i := range fleet.Governors {
		sim.governors = append(sim.governors, newGovernor(sim, i))
	}
	sim.buildProxies()
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

// buildReplicas creates the initial replicas and derives the arrival rate from their capacity.
func (sim *Simulation) buildReplicas() {
	fleet := sim.fleet
	sim.machineKinds = assignKinds(fleet.Kinds, fleet.Replicas)
	for i := range fleet.Replicas {
		sim.addReplica(i%fleet.Zones, sim.machineKinds[i], 0)
	}
	sim.arrivalRate = fleet.Load * totalCapacity(sim.replicas) / fleet.meanFlowWork()
	total := 0.0
	for _, group := range fleet.Groups {
		total += group.Share
		sim.cumulativeShares = append(sim.cumulativeShares, total)
	}
}

// buildProxies creates the proxies and scales their rates to the total arrival rate.
func (sim *Simulation) buildProxies() {
	sum := 0.0
	for i := range sim.fleet.Proxies {
		p := newProxy(sim, i)
		sim.proxies = append(sim.proxies, p)
		sum += p.rate
	}
	for _, p := range sim.proxies {
		p.rate *= sim.arrivalRate / sum
	}
}

// elapsedSeconds returns the simulated time since the start of the run.
func (sim *Simulation) elapsedSeconds() float64 { return time.Duration(sim.now - sim.start).Seconds() }

// networkDelay draws the one-way delay between two zones. If partitioned is true, the message is lost.
func (sim *Simulation) networkDelay(from, to int) (delay time.Duration, partitioned bool) {
	delay = sim.fleet.LocalDelay
	if from != to {
		delay = sim.fleet.CrossZoneDelay
		partitioned = sim.zonePartitions[from] > 0 || sim.zonePartitions[to] > 0
	}
	return sim.uniform(delay*3/4, delay*5/4), partitioned
}

// warmReplicas returns the replicas that are up, ready and not warming up.
func (sim *Simulation) warmReplicas() []*replica {
	var warm []*replica
	for _, r := range sim.replicas {
		if r.up && r.state == rules.Ready && !r.isWarmingUp() {
			warm = append(warm, r)
		}
	}
	return warm
}

// GovernorViews returns the views of all running governors whose decider is a rules.Governor.
func (sim *Simulation) GovernorViews() []rules.View {
	var views []rules.View
	for _, g := range sim.governors {
		decider, ok := g.decider.(*rules.Governor)
		if !ok || !g.up {
			continue
		}
		var view rules.View
		decider.WriteView(sim.now, &view)
		views = append(views, view)
	}
	return views
}
