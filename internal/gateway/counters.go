package gateway

import (
	"maps"
	"slices"
	"time"
)

// counter names an event that is counted and logged every countersInterval. docs/operate/gateway.md lists them.
type counter string

const (
	countBadRequest           counter = "bad_request"            // a request that is malformed or ambiguous
	countDraining             counter = "draining"               // rejected while draining for a maintenance window, so that another gateway serves it
	countNoRoute              counter = "no_route"               // answered 404
	countBodyTooLarge         counter = "body_too_large"         // answered 413
	countBodyMemoryFull       counter = "body_memory_full"       // bodies of other requests hold all memory meant for them
	countBodyAborted          counter = "body_aborted"           // the rest of the body never came
	countClientGone           counter = "client_gone"            // nobody waits for the answer any more
	countDeadlineTooClose     counter = "deadline_too_close"     // too little time left for any attempt
	countOverloaded           counter = "overloaded"             // no endpoint could take the request
	countHedged               counter = "hedged"                 // sent to a second replica beside the first
	countRetryBudgetExhausted counter = "retry_budget_exhausted" // a retry that the budget did not allow

	countAttemptPrefix counter = "attempt_" // followed by the cause why an attempt failed
	countFinalPrefix   counter = "final_"   // followed by the status of an answer that promises nothing
)

const countersInterval = 10 * time.Second

func (g *Gateway) count(event counter) {
	g.mu.Lock()
	g.counters[event]++
	g.mu.Unlock()
}

// logCounters logs what was counted since the last call.
func (g *Gateway) logCounters() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.counters) == 0 {
		return
	}
	entry := g.logger.Info().Str("event", "counters")
	for _, event := range slices.Sorted(maps.Keys(g.counters)) {
		entry = entry.Int(string(event), g.counters[event])
	}
	entry.Msg("")
	clear(g.counters)
}
