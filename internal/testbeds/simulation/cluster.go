package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/invariant"
)

// Bounds used by the invariants, and parameters of the simulated system.
const (
	catchUpTime         = 4 * time.Second        // a restarted member counts as unavailable for this long
	restartTime         = 300 * time.Millisecond // process start-up time
	recoveryTime        = 15 * time.Second       // after losses beyond the tolerance, members recover within it once all are back
	faultFreeBeforeCall = 6 * time.Second        // a call that starts after this long without faults must be answered
	contactTimeout      = 3 * time.Second        // a member without quorum contact for this long must acknowledge nothing; gateways are checked after as long without faults

	configPropagationBound = 2 * time.Second
	drainDeadline          = 2 * time.Second
	evacuationBound        = 5 * time.Second

	warmupRate        = 4.0 // requests per second that a replica accepts while it warms up
	warmupBurstFactor = 1.5
	warmupSlack       = 5.0

	defaultZones = 2
	serviceName  = "shop"
)

// Phases at the end of a run, measured from the end of the last fault.
const (
	controlPlaneSettleTime = 4 * time.Second // only in schedules with a Tolerance
	finalReadDelay         = 8 * time.Second
	runGrace               = 14 * time.Second
)

// randomStream is the PCG stream of a run. The schedule generators use other streams, so one seed gives them
// independent numbers.
const randomStream = 2

// cluster is the state of one simulation run.
type cluster struct {
	schedule Schedule
	history  *historyChecksum // nil: not recorded
	result   Result
	random   *rand.Rand

	now       time.Duration
	queue     eventQueue
	lastEvent int

	members         []*member
	memberByAddress map[string]*member
	gateways        []*gatewayNode
	replicas        []*replica
	lastToken       uint64 // of calls and streams

	cutLinks    map[link]int // number of active cuts by link
	lastArrival map[link]time.Duration
	healedAt    map[link]time.Duration // end of the last cut by link
	retryLog    retryLog

	shardKeys  []shardKey // the keys that requests to the sharded service bear, sorted
	keyedTally keyedTally

	faultActiveUntil  time.Duration         // latest time at which a known fault is active
	unavailableSince  map[int]time.Duration // unavailable members, by index
	onAcknowledgement []Fault               // deferred until the next acknowledgement
	onViewChange      []Fault               // deferred until the next view change
	onWindowGrant     []Fault               // deferred until the next maintenance window is granted
	finished          bool                  // the final read has ended

	committedBySequence map[uint64]string        // description of the register committed with each sequence number
	committedAt         map[uint64]time.Duration // first commit time by configuration version
	versionByBody       map[string]uint64        // of configurations that operators submitted
	acknowledgedVersion uint64                   // highest acknowledged version
	acknowledgedAt      time.Duration
	evacuatedAt         map[string]time.Duration // zones with an acknowledged evacuation that has not been reverted
	restoreCalls        []*operatorCall
	controlPlaneHistory controlPlaneHistory

	windowState      maintenance.State // last committed state
	windowRevision   uint64
	windowsChangedAt time.Duration
}

// Run simulates a schedule and stops at the first violation.
func Run(schedule Schedule) Result { return run(schedule, nil) }

// run simulates a schedule and records it in history, which may be nil.
func run(schedule Schedule, history *historyChecksum) Result {
	c := newCluster(schedule, history)
	c.startAll()
	for _, fault := range schedule.Faults {
		c.after(fault.At, func() { c.injectFault(fault) })
	}
	for i, action := range schedule.Actions {
		c.after(action.At, func() { c.startAction(i, action) })
	}
	end := schedule.endOfFaultsAndActions()
	if schedule.ExceedsTolerance {
		end += recoveryTime
		c.faultActiveUntil = end - catchUpTime
	}
	if schedule.Tolerance > 0 {
		c.controlPlaneHistory.initialize()
		c.monitorControlPlane()
		end += controlPlaneSettleTime
	}
	c.after(end+finalReadDelay, c.finalRead)
	for len(c.queue) > 0 && c.now < end+runGrace && len(c.result.Violations) == 0 {
		next := c.queue.pop()
		c.now = next.at
		c.runEvent(next.do)
	}
	history.end(c)
	return c.result
}

// runEvent executes an event. A panic with an invariant.Violation from production code is reported as a violation.
func (c *cluster) runEvent(event func()) {
	defer func() {
		switch panicked := recover().(type) {
		case nil:
		case invariant.Violation:
			c.violationf("%s", panicked)
		default:
			panic(panicked)
		}
	}()
	event()
}

func newCluster(schedule Schedule, history *historyChecksum) *cluster {
	c := &cluster{
		schedule:            schedule,
		history:             history,
		random:              rand.New(rand.NewPCG(schedule.Seed, randomStream)),
		memberByAddress:     map[string]*member{},
		cutLinks:            map[link]int{},
		lastArrival:         map[link]time.Duration{},
		healedAt:            map[link]time.Duration{},
		unavailableSince:    map[int]time.Duration{},
		committedBySequence: map[uint64]string{},
		committedAt:         map[uint64]time.Duration{},
		versionByBody:       map[string]uint64{},
		evacuatedAt:         map[string]time.Duration{},
	}
	for i := range schedule.Members {
		m := newMember(i, fmt.Sprintf("member %d", i), fmt.Sprintf("10.0.0.%d:7000", i+1))
		m.disk.skipsDirectorySync = schedule.PlantedBug == SkipDirectorySync
		c.addMember(m)
	}
	return c
}

func (c *cluster) addMember(m *member) {
	c.members = append(c.members, m)
	c.memberByAddress[m.address] = m
}

// startAll starts the initial members, gateways and replicas.
func (c *cluster) startAll() {
	for _, m := range c.members {
		if c.schedule.MaxStartDelay == 0 {
			c.startMember(m, true)
		} else {
			c.after(c.randomBelow(c.schedule.MaxStartDelay), func() { c.startMember(m, true) })
		}
	}
	for i := range c.schedule.Gateways {
		g := newGatewayNode(i)
		c.gateways = append(c.gateways, g)
		c.startGateway(g)
	}
	for i := range c.schedule.Replicas {
		c.startReplica(i%c.zoneCount(), false)
	}
	c.startSharding()
}

// after schedules a function to run after a delay. Functions scheduled for the same time run in scheduling order.
func (c *cluster) after(delay time.Duration, do func()) {
	c.lastEvent++
	c.queue.push(event{c.now + delay, c.lastEvent, do})
}

// randomBelow returns a random duration in [0, bound). The bound must be positive.
func (c *cluster) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(bound)))
}

// randomMilliseconds returns a random whole number of milliseconds in [0, n).
func (c *cluster) randomMilliseconds(n int) time.Duration {
	return time.Duration(c.random.IntN(n)) * time.Millisecond
}

func (c *cluster) tracef(format string, args ...any) {
	c.result.Trace = append(c.result.Trace, fmt.Sprintf("%8.3f  ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

func (c *cluster) violationf(format string, args ...any) {
	c.tracef("VIOLATION: "+format, args...)
	c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, args...))
}

// faultFreeFor reports whether no fault has been active for at least the duration.
func (c *cluster) faultFreeFor(duration time.Duration) bool {
	return c.now > c.faultActiveUntil+duration
}

// extendFaultPeriod marks the present as affected by a fault that has just started or ended. It applies to schedules
// with a Tolerance only; in others, injectFault knows the duration in advance.
func (c *cluster) extendFaultPeriod() {
	if c.schedule.Tolerance > 0 {
		c.faultActiveUntil = max(c.faultActiveUntil, c.now+restartTime)
	}
}

// zoneName returns the zone of the node with the given index.
func (c *cluster) zoneName(index int) string { return string(rune('a' + index%c.zoneCount())) }

func (c *cluster) zoneCount() int {
	if c.schedule.Zones > 0 {
		return c.schedule.Zones
	}
	return defaultZones
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedTokens[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
