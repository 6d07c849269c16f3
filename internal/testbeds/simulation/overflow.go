package simulation

import (
	"slices"
	"time"
)

// OverflowStrategy is how sites hand on requests for which they have no room.
type OverflowStrategy string

// The strategies. LeaseOverflow is that of dataplane/overflow, the others are there for comparison.
const (
	LeaseOverflow  OverflowStrategy = "leases"
	NoOverflow     OverflowStrategy = "none"
	RandomOverflow OverflowStrategy = "random" // to any other site, without asking
	OracleOverflow OverflowStrategy = "oracle" // to whichever has room at the moment, seen without delay
)

// OverflowScenario is what a simulation of several sites does, of which some are overloaded for most of the time.
type OverflowScenario struct {
	Seed            uint64
	Sites           int
	OverloadedSites int     // of them
	LoadFactor      float64 // times the usual load
	Duration        time.Duration
	WithFaults      bool // links that are cut in one direction or hold messages back, a site that restarts, further overload later
	Strategy        OverflowStrategy
}

// OverflowResult is what was seen.
type OverflowResult struct {
	Violations                 []string
	Lookups, UnansweredLookups int             // first attempts, and those not answered within their deadline
	Orders, AnsweredOrders     int             // orders, and those that were answered
	UncertainOrders            int             // orders that may have run
	ForwardedRequests          int             // requests
	LocalLatencies             []time.Duration // of the own clients of sites that were not overloaded
	ForwardedLatencies         []time.Duration // of forwarded requests that were answered

	// Seconds of slots at other sites that forwarded requests used, and of slots at sites that were not overloaded that were
	// free while others rejected requests.
	UsedSlotSeconds, IdleSlotSeconds float64
}

// P99 is the latency that 99 in 100 stay within; 0 if there are none.
func P99(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(latencies)
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}
