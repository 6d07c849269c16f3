package emulate

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"zincloft.example/zincloft/rules"
)

// Decider decides for the proxies of one governor: it turns events into orders, without I/O and without a clock of its own.
// rules.Governor is one.
type Decider interface {
	// Step hands over what has happened since the last step, and returns what is to be done about it.
	Step(now rules.Time, events []rules.Event) []rules.Order
}

// PickPolicy is how proxies choose among the endpoints of a table.
type PickPolicy int

// The policies of choosing a replica.
const (
	// PickWeighted draws one replica by weight.
	PickWeighted PickPolicy = iota
	// PickPowerOfTwoChoices draws two by weight and takes the one at which the proxy itself has fewer flows in flight.
	PickPowerOfTwoChoices
)

// Config describes one run. Runs of equal configurations are equal, event by event.
type Config struct {
	Fleet  Fleet
	Faults []Fault
	Seed   uint64 // of both random streams and of the governors
	// NewDecider makes the decider of a governor each time that it starts. Nil means rules.Governor.
	NewDecider func(sim *Simulation, governor int) Decider
	PickPolicy PickPolicy
	// AdjustSettings may change the settings that governors are started with. Nil means no change.
	AdjustSettings func(*rules.Settings)
	// OnViolation is called with the simulation as it stands at the first violation of each invariant. It may be nil.
	OnViolation func(*Simulation, Violation)
	// UnlimitedChannel makes channels infinitely fast and lifts the invariant on them, for deciders that do not know of channels.
	UnlimitedChannel bool
}

// simulationEpoch is the simulated clock at the start of a run. It is not 0, as 0 means "long ago" for the time of a
// replica's start.
const simulationEpoch = rules.Time(1_000_000 * time.Second)

// Simulation is a run under way. It belongs to one goroutine.
type Simulation struct {
	config   Config
	fleet    *Fleet
	settings rules.Settings

	now        rules.Time // simulated clock
	start      rules.Time
	end        rules.Time // no flow arrives from then on
	events     eventQueue
	eventCount uint64 // events scheduled and executed so far; orders events of the same time

	// The arrival process has a random stream of its own, so that every decider meets the same flows.
	arrivalStream *rand.Rand
	randomStream  *rand.Rand // everything else

	replicas         []*replica
	machineKinds     []int // of the replicas that the run starts with
	proxies          []*proxy
	governors        []*governor
	discovery        discovery
	arrivalRate      float64   // flows a second, over all proxies
	cumulativeShares []float64 // of the traffic groups
	faults           []*activeFault
	zoneCuts         []int // faults in effect that partition a zone, by zone

	monitor monitor
	result  Result
	current *Second // the second under way
}

// Run simulates a configuration to its end. It fails if the fleet or a fault is invalid.
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

// execute runs the events in their order until the settling time is over or none is left.
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

// build creates the fleet and schedules its first events. The order of its steps is part of what a seed means: each draws
// from the random streams or schedules events.
func (sim *Simulation) build() error {
	fleet := sim.fleet
	sim.settings = fleet.Settings()
	if sim.config.AdjustSettings != nil {
		sim.config.AdjustSettings(&sim.settings)
	}
	sim.end = sim.start + rules.Time(fleet.Duration)
	sim.zoneCuts = make([]int, fleet.Zones)
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

// buildReplicas creates the replicas and derives the arrival rate from their capacity.
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

// buildProxies creates the proxies and scales their rates so that together they have the arrival rate.
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

// elapsedSeconds is the time since the start of the run.
func (sim *Simulation) elapsedSeconds() float64 { return time.Duration(sim.now - sim.start).Seconds() }

// networkDelay draws the one-way delay of a message between two zones. Partitioned reports that the message is lost.
func (sim *Simulation) networkDelay(from, to int) (delay time.Duration, partitioned bool) {
	delay = sim.fleet.LocalDelay
	if from != to {
		delay = sim.fleet.CrossZoneDelay
		partitioned = sim.zoneCuts[from] > 0 || sim.zoneCuts[to] > 0
	}
	return sim.uniform(delay*3/4, delay*5/4), partitioned
}

// warmReplicas returns the replicas that are up, in service and no longer warming up.
func (sim *Simulation) warmReplicas() []*replica {
	var warm []*replica
	for _, r := range sim.replicas {
		if r.up && r.state == rules.Ready && !r.isWarmingUp() {
			warm = append(warm, r)
		}
	}
	return warm
}

// GovernorViews returns what each running governor knows, for those decided by a rules.Governor.
func (sim *Simulation) GovernorViews() []rules.View {
	var views []rules.View
	for _, g := range sim.governors {
		decider, is := g.decider.(*rules.Governor)
		if !is || !g.up {
			continue
		}
		var view rules.View
		decider.WriteView(sim.now, &view)
		views = append(views, view)
	}
	return views
}
