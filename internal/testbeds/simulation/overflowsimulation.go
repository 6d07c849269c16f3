package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	overflowStream = 1 // of the generator that a scenario draws from
	siteLinkJitter = 2 * time.Millisecond
)

// siteLink is one direction between two sites, by their indexes.
type siteLink struct{ from, to int }

// overflowSimulation is everything that one scenario simulates.
type overflowSimulation struct {
	scenario        OverflowScenario
	history         *historyChecksum // nil: none is kept
	random          *rand.Rand
	now             time.Duration
	queue           eventQueue
	lastEvent       int
	sites           []*site
	cutLinks        map[siteLink]bool
	delayingLinks   map[siteLink]bool
	delayedMessages map[siteLink][]func() // of links that hold back
	requests        []*siteRequest
	result          OverflowResult
}

// RunOverflow simulates a scenario.
func RunOverflow(scenario OverflowScenario) OverflowResult { return runOverflow(scenario, nil) }

// runOverflow simulates a scenario and adds what happens to a history, if one is given.
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

// count adds a request to the result, and checks that no order ran twice and that each that was answered ran.
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
		result.Violations = append(result.Violations, fmt.Sprintf("order %d ran %d times", request.id, request.executions))
	}
	if request.answered && request.executions != 1 {
		result.Violations = append(result.Violations, fmt.Sprintf("order %d was answered and ran %d times", request.id, request.executions))
	}
}

func (o *overflowSimulation) after(delay time.Duration, do func()) {
	o.lastEvent++
	o.queue.push(event{o.now + delay, o.lastEvent, do})
}

func (o *overflowSimulation) milliseconds(least, span int) time.Duration {
	return time.Duration(least+o.random.IntN(span)) * time.Millisecond
}

// siteLatency is what a message between two sites takes.
func siteLatency(a, b int) time.Duration { return time.Duration(10+(a*7+b*7)%71) * time.Millisecond }

// send takes a message to another site, if it arrives.
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
