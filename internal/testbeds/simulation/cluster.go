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

// Bounds that the invariants rest on, and what the simulated processes take.
const (
	catchUpTime         = 4 * time.Second        // a member that has come back counts as lost for so long
	restartTime         = 300 * time.Millisecond // of a process
	faultFreeBeforeCall = 6 * time.Second        // after so long without faults a call must be acknowledged
	contactTimeout      = 3 * time.Second        // after so long without contact to a quorum nothing may be acknowledged; calm before gateways are judged

	configPropagationBound = 2 * time.Second
	drainDeadline          = 2 * time.Second
	evacuationBound        = 5 * time.Second

	warmupRate        = 4.0 // requests a second that a replica bears while it warms up
	warmupBurstFactor = 1.5
	warmupSlack       = 5.0

	defaultZones = 2
	serviceName  = "shop"
)

// Times at the end of a run, from the last fault's end.
const (
	coreSettleTime = 4 * time.Second // only in schedules with a Tolerance
	finalReadDelay = 8 * time.Second
	runGrace       = 14 * time.Second
)

// randomStream is the stream of the generator that a run draws from. The generators of schedules use others, so that one
// seed gives all of them different numbers.
const randomStream = 2

// cluster is everything that one run simulates, and what is known of it so far.
type cluster struct {
	schedule Schedule
	history  *historyChecksum // nil: none is kept
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

	cutLinks    map[link]int // how many cuts a link is under
	lastArrival map[link]time.Duration
	retryLog    retryLog

	faultActiveUntil  time.Duration         // until when a fault acts, or has acted
	unavailableSince  map[int]time.Duration // members that are lost, by index
	onAcknowledgement []Fault               // faults that wait for the next acknowledgement,
	onViewChange      []Fault               // for the next view,
	onWindowGrant     []Fault               // and for the next grant of a maintenance window
	finished          bool                  // the final read is over

	committedBySequence map[uint64]string        // what was committed under each number
	committedAt         map[uint64]time.Duration // versions, when first committed anywhere
	versionByBody       map[string]uint64        // of configurations that operators sent
	acknowledgedVersion uint64                   // the newest
	acknowledgedAt      time.Duration
	evacuatedAt         map[string]time.Duration // zones whose evacuation was acknowledged and not taken back since
	restoreCalls        []*operatorCall          // that take an evacuation back
	coreHistory         coreHistory

	windowState      maintenance.State // as committed
	windowRevision   uint64
	windowsChangedAt time.Duration
}

// Run simulates a schedule. It ends early with the first violation.
func Run(schedule Schedule) Result { return run(schedule, nil) }

// run simulates a schedule and adds what happens to a history, if one is given.
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
	if schedule.Tolerance > 0 {
		c.coreHistory.initialize()
		c.monitorCore()
		end += coreSettleTime
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

// runEvent carries out an event. An invariant that the decision code itself finds violated is a violation as any other.
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
		unavailableSince:    map[int]time.Duration{},
		committedBySequence: map[uint64]string{},
		committedAt:         map[uint64]time.Duration{},
		versionByBody:       map[string]uint64{},
		evacuatedAt:         map[string]time.Duration{},
	}
	for i := range schedule.Members {
		m := newMember(i, fmt.Sprintf("member %d", i), fmt.Sprintf("10.0.0.%d:7000", i+1))
		m.disk.skipsFolderSync = schedule.PlantedBug == SkipFolderSync
		c.addMember(m)
	}
	return c
}

func (c *cluster) addMember(m *member) {
	c.members = append(c.members, m)
	c.memberByAddress[m.address] = m
}

// startAll starts the members that there are from the beginning, the gateways and the replicas.
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
}

// after schedules something. What is scheduled for one moment happens in the order in which it was scheduled.
func (c *cluster) after(delay time.Duration, do func()) {
	c.lastEvent++
	c.queue.push(event{c.now + delay, c.lastEvent, do})
}

// randomBelow draws a duration from zero up to a bound, which must be positive.
func (c *cluster) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(bound)))
}

// randomMilliseconds draws a duration of whole milliseconds below n of them.
func (c *cluster) randomMilliseconds(n int) time.Duration {
	return time.Duration(c.random.IntN(n)) * time.Millisecond
}

// tracef adds a line to the trace.
func (c *cluster) tracef(format string, args ...any) {
	c.result.Trace = append(c.result.Trace, fmt.Sprintf("%8.3f  ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

// violationf reports that an invariant does not hold.
func (c *cluster) violationf(format string, args ...any) {
	c.tracef("VIOLATION: "+format, args...)
	c.result.Violations = append(c.result.Violations, fmt.Sprintf(format, args...))
}

// faultFreeFor reports whether for so long no fault has acted anywhere.
func (c *cluster) faultFreeFor(span time.Duration) bool { return c.now > c.faultActiveUntil+span }

// extendFaultPeriod notes that a fault has just begun or ended to act on the members. Only schedules with a Tolerance count so;
// in others injectFault knows beforehand how long a fault lasts.
func (c *cluster) extendFaultPeriod() {
	if c.schedule.Tolerance > 0 {
		c.faultActiveUntil = max(c.faultActiveUntil, c.now+restartTime)
	}
}

// zoneName is the zone of the node of an index.
func (c *cluster) zoneName(index int) string { return string(rune('a' + index%c.zoneCount())) }

func (c *cluster) zoneCount() int {
	if c.schedule.Zones > 0 {
		return c.schedule.Zones
	}
	return defaultZones
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func sortedTokens[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
