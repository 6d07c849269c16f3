package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	overflowStream = 1 // PCG stream of a scenario
	siteLinkJitter = 2 * time.Millisecond
)

// siteLink is a connection in one direction between two sites, by index.
type siteLink struct{ from, to int }

// overflowSimulation is the state of one scenario.
type overflowSimulation struct {
	scenario        OverflowScenario
	history         *historyChecksum // nil: not recorded
	random          *rand.Rand
	now             time.Duration
	queue           eventQueue
	lastEvent       int
	sites           []*site
	cutLinks        map[siteLink]bool
	delayingLinks   map[siteLink]bool
	delayedMessages map[siteLink][]func() // of delayingLinks
	requests        []*siteRequest
	result          OverflowResult
}

// RunOverflow simulates a scenario.
func RunOverflow(scenario OverflowScenario) OverflowResult { return runOverflow(scenario, nil) }

// runOverflow simulates a scenario and records it in history, which may be nil.
func runOverflow(scenario OverflowScenario, history *historyChecksum) OverflowResult {
	o := &overflowSimulation{
		scenario:        scenario,
		history:         history,
		random:          rand.New(rand.NewPCG(scenario.Seed, overflowStream)),
		cutLinks:        map[siteLink]bool{},
		delayingLinks:   map[siteLink]bool{},
		delayedMessages: map[siteLink][]func(){},
	}
	o.startAll()
	if scenario.WithFaults {
		o.scheduleFaults()
	}
	for len(o.queue) > 0 && o.now < scenario.Duration {
		next := o.queue.pop()
		o.now = next.at
		next.do()
	}
	for _, request := range o.requests {
		o.count(request)
	}
	history.endOverflow(o)
	return o.result
}

// startAll starts the sites and schedules their load.
func (o *overflowSimulation) startAll() {
	for i := range o.scenario.Sites {
		s := &site{index: i, slots: siteSlots, rate: siteBaseLoad * siteSlots / siteServiceTime.Seconds(), overloaded: i < o.scenario.OverloadedSites}
		o.sites = append(o.sites, s)
		o.startSite(s)
	}
	for _, s := range o.sites {
		o.scheduleArrival(s)
		o.schedulePeriodicTasks(s)
	}
	for i := range o.scenario.OverloadedSites {
		o.overload(o.sites[i], overloadStart, overloadEnd)
	}
}

// count adds a request to the result, and checks that no order was executed twice and that each answered order was
// executed.
func (o *overflowSimulation) count(request *siteRequest) {
	result := &o.result
	if !request.isOrder {
		result.Lookups++
		if !request.answered && request.arrivedAt < o.scenario.Duration-clientDeadline-time.Second {
			result.UnansweredLookups++
		}
		return
	}
	result.Orders++
	if request.answered {
		result.AnsweredOrders++
	}
	if request.uncertain {
		result.UncertainOrders++
	}
	if request.executions > 1 {
		result.Violations = append(result.Violations, fmt.Sprintf("order %d was executed %d times", request.id, request.executions))
	}
	if request.answered && request.executions != 1 {
		result.Violations = append(result.Violations, fmt.Sprintf("order %d was answered but executed %d times", request.id, request.executions))
	}
}

func (o *overflowSimulation) after(delay time.Duration, do func()) {
	o.lastEvent++
	o.queue.push(event{o.now + delay, o.lastEvent, do})
}

func (o *overflowSimulation) milliseconds(minimum, spread int) time.Duration {
	return time.Duration(minimum+o.random.IntN(spread)) * time.Millisecond
}

// siteLatency returns the network latency between two sites.
func siteLatency(a, b int) time.Duration { return time.Duration(10+(a*7+b*7)%71) * time.Millisecond }

// send delivers a message to another site, subject to link faults.
func (o *overflowSimulation) send(from, to int, arrive func()) {
	l := siteLink{from, to}
	o.after(siteLatency(from, to)+time.Duration(o.random.Int64N(int64(siteLinkJitter))), func() {
		switch {
		case o.cutLinks[l]:
		case o.delayingLinks[l]:
			o.delayedMessages[l] = append(o.delayedMessages[l], arrive)
		default:
			arrive()
		}
	})
}
