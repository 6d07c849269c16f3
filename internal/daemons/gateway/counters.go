package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	figures "github.com/VictoriaMetrics/metrics"
)

// counter names an event that is counted and logged every countersInterval. docs/operate/gateway.md lists them.
type counter string

const (
	countBadRequest           counter = "bad_request"            // a request that is malformed or ambiguous
	countDraining             counter = "draining"               // rejected while draining for a maintenance window, so that another gateway serves it
	countNoRoute              counter = "no_route"               // answered 404
	countBodyTooLarge         counter = "body_too_large"         // answered 413
	countBodyMemoryFull       counter = "body_memory_full"       // bodies of other requests hold all memory meant for them
	countHeadMemoryFull       counter = "head_memory_full"       // heads of other requests hold all memory meant for them
	countBodyAborted          counter = "body_aborted"           // the rest of the body never came
	countClientGone           counter = "client_gone"            // nobody waits for the answer any more
	countDeadlineTooClose     counter = "deadline_too_close"     // too little time left for any attempt
	countOverloaded           counter = "overloaded"             // no endpoint could take the request
	countNoEndpoint           counter = "no_endpoint_known"      // the control plane has told of no endpoint of the service
	countHedged               counter = "hedged"                 // sent to a second replica beside the first
	countRetryBudgetExhausted counter = "retry_budget_exhausted" // a retry that the budget did not allow

	countNoConfig          counter = "no_configuration"    // rejected, as no configuration has come yet
	countFailuresNotLogged counter = "failures_not_logged" // failed requests that got no log line of their own

	countAttemptPrefix counter = "attempt_" // followed by the cause why an attempt failed
	countFinalPrefix   counter = "final_"   // followed by the status of an answer that promises nothing
)

const countersInterval = 10 * time.Second

// eventCounters counts events for the figures and, since the last line, for the log. It is safe for concurrent use.
type eventCounters struct {
	set      *figures.Set
	counters sync.Map // of *figures.Counter by counter

	mu     sync.Mutex
	logged map[counter]uint64 // counts at the last log line
}

func newEventCounters(set *figures.Set) *eventCounters {
	return &eventCounters{set: set, logged: map[counter]uint64{}}
}

func (e *eventCounters) add(event counter) {
	known, ok := e.counters.Load(event)
	if !ok {
		known, _ = e.counters.LoadOrStore(event, e.set.GetOrCreateCounter(fmt.Sprintf("zincloft_gateway_events_total{event=%q}", event)))
	}
	known.(*figures.Counter).Inc()
}

// deltaSinceLogged returns what was counted since the last call.
func (e *eventCounters) deltaSinceLogged() map[counter]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := map[counter]uint64{}
	e.counters.Range(func(event, known any) bool {
		total := known.(*figures.Counter).Get()
		if since := total - e.logged[event.(counter)]; since > 0 {
			counts[event.(counter)] = since
		}
		e.logged[event.(counter)] = total
		return true
	})
	return counts
}

// String lists all counts so far, for tests.
func (e *eventCounters) String() string {
	var counts []string
	e.counters.Range(func(event, known any) bool {
		counts = append(counts, fmt.Sprintf("%s=%d", event, known.(*figures.Counter).Get()))
		return true
	})
	slices.Sort(counts)
	return strings.Join(counts, " ")
}

func (g *Gateway) count(event counter) { g.counters.add(event) }

// logCounters logs what was counted since the last call.
func (g *Gateway) logCounters() {
	counts := g.counters.deltaSinceLogged()
	if len(counts) == 0 {
		return
	}
	entry := g.logger.Info().Str("event", "counters")
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		entry = entry.Uint64(string(event), counts[event])
	}
	entry.Msg("")
}
