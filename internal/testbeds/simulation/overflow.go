package simulation

import (
	"slices"
	"time"
)

// OverflowStrategy is the way in which an overloaded site forwards requests.
type OverflowStrategy string

// The strategies. LeaseOverflow is the one of dataplane/overflow; the others are for comparison.
const (
	LeaseOverflow  OverflowStrategy = "leases"
	NoOverflow     OverflowStrategy = "none"
	RandomOverflow OverflowStrategy = "random" // to a random site, without asking
	OracleOverflow OverflowStrategy = "oracle" // to the first site with spare slots, known without delay
)

// OverflowScenario describes a simulation of several sites, some of which are overloaded most of the time.
type OverflowScenario struct {
	Seed            uint64
	Sites           int
	OverloadedSites int     // the first ones
	LoadFactor      float64 // load of overloaded sites relative to the base load
	Duration        time.Duration
	WithFaults      bool // one-way link cuts and delays, a site restart, and a further overloaded site
	Strategy        OverflowStrategy
}

// OverflowResult has the measurements of a scenario.
type OverflowResult struct {
	Violations                 []string
	Lookups, UnansweredLookups int // client lookups, and those not answered within their deadline
	Orders, AnsweredOrders     int // client orders, and those that were answered
	UncertainOrders            int // orders that may have been executed
	ForwardedRequests          int
	LocalLatencies             []time.Duration // of requests served by their own site, if it is not overloaded
	ForwardedLatencies         []time.Duration // of forwarded requests that were answered

	// UsedSlotSeconds is the slot time that forwarded requests used at other sites. IdleSlotSeconds is the slot time
	// that was free at sites without overload while others rejected requests.
	UsedSlotSeconds, IdleSlotSeconds float64
}

// P99 returns the 99th percentile, or 0 if there are no latencies.
func P99(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
