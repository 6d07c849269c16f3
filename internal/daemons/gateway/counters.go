package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// counter names an event that is counted and logged every countersInterval. docs/operate/gateway.md lists the events.
type counter string

const (
	countBadRequest           counter = "bad_request"            // malformed or ambiguous request
	countDraining             counter = "draining"               // rejected while draining for a maintenance window
	countNoRoute              counter = "no_route"               // answered 404
	countBodyTooLarge         counter = "body_too_large"         // answered 413
	countBodyMemoryFull       counter = "body_memory_full"       // request body memory exhausted
	countHeadMemoryFull       counter = "head_memory_full"       // request head memory exhausted
	countBodyAborted          counter = "body_aborted"           // the client closed the connection before the end of the body
	countClientGone           counter = "client_gone"            // the client disconnected
	countDeadlineTooClose     counter = "deadline_too_close"     // not enough time left for an attempt
	countOverloaded           counter = "overloaded"             // no endpoint could take the request
	countNoEndpoint           counter = "no_endpoint_known"      // the endpoint table has no endpoint of the service
	countOwnerWait            counter = "owner_wait"             // waited for an owner of its shard key
	countOwnerPending         counter = "owner_pending"          // answered 503, as the shard key had no owner in time
	countNotOwner             counter = "not_owner"              // the replica did not hold the shard key
	countHedged               counter = "hedged"                 // sent to a second replica while the first attempt is pending
	countAnsweredLate         counter = "answered_late"          // answered by a replica after the latency target
	countRetryBudgetExhausted counter = "retry_budget_exhausted" // retry denied by the retry budget

	countNoConfig          counter = "no_configuration"    // rejected because no configuration has been received
	countFailuresNotLogged counter = "failures_not_logged" // failed requests not logged because of the rate limit

	countAttemptPrefix counter = "attempt_" // followed by the cause of the failed attempt
	countFinalPrefix   counter = "final_"   // followed by the status of a response that leaves open whether the request was executed
)

const countersInterval = 10 * time.Second

// eventCounters counts events for the metrics and the periodic log line. It is safe for concurrent use.
type eventCounters struct {
	set      *metrics.Set
	counters sync.Map // of *metrics.Counter by counter

	mu     sync.Mutex
	logged map[counter]uint64 // counts at the last log line
}

func newEventCounters(set *metrics.Set) *eventCounters {
	return &eventCounters{set: set, logged: map[counter]uint64{}}
}

func (e *eventCounters) add(event counter) {
	known, ok := e.counters.Load(event)
	if !ok {
		known, _ = e.counters.LoadOrStore(event, e.set.GetOrCreateCounter(fmt.Sprintf("zincloft_gateway_events_total{event=%q}", event)))
	}
	known.(*metrics.Counter).Inc()
}

// deltaSinceLogged returns the non-zero counts since the last call.
func (e *eventCounters) deltaSinceLogged() map[counter]uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := map[counter]uint64{}
	e.counters.Range(func(event, known any) bool {
		total := known.(*metrics.Counter).Get()
		if since := total - e.logged[event.(counter)]; since > 0 {
			counts[event.(counter)] = since
		}
		e.logged[event.(counter)] = total
		return true
	})
	return counts
}

// String formats the total counts, for tests.
func (e *eventCounters) String() string {
	var counts []string
	e.counters.Range(func(event, known any) bool {
		counts = append(counts, fmt.Sprintf("%s=%d", event, known.(*metrics.Counter).Get()))
		return true
	})
	slices.Sort(counts)
	return strings.Join(counts, " ")
}

func (g *Gateway) count(event counter) { g.counters.add(event) }

// logCounters logs the counts since the last call.
func (g *Gateway) logCounters() {
	counts := g.counters.deltaSinceLogged()
	if len(counts) == 0 {
		return
	}
	entry := g.logger.Info().Str("event", "counters")
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		entry = entry.Uint64(string(event), counts[event])
	}
	entry.Msg("event counts since the last report")
}
