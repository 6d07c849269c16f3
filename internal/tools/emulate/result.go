package emulate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// FlowOutcome is the final state of a flow.
type FlowOutcome int

// The outcomes of flows. Each flow has exactly one.
const (
	DeliveredInTime FlowOutcome = iota // response within its latency budget
	DeliveredLate                      // response after its latency budget
	Rejected                           // rejected by admission control
	Dropped                            // failed at its proxy
	Abandoned                          // client timeout
	Pending                            // not completed at the end of the run
	flowOutcomeCount
)

var flowOutcomeNames = [flowOutcomeCount]string{"in time", "late", "blocked", "dropped", "given up", "pending"}

// String returns the name of the outcome in results.
func (o FlowOutcome) String() string { return flowOutcomeNames[o] }

// Second holds the metrics of one second of a run.
type Second struct {
	Offered           int     // arrived flows
	InTime            int     // flows with a response within their latency budget
	Late              int     // flows with a later response
	Rejected          int     `json:"Blocked"` // flows rejected by admission control
	Dropped           int     // flows that failed or timed out
	ClientRetries     int     `json:"Again"`
	Attempts          int     `json:"Tries"`   // sent to replicas
	FailedAttempts    int     `json:"Bad"`     // ended without a successful response
	WarmupAttempts    int     `json:"Cold"`    // sent to replicas that were warming up
	CrossZoneAttempts int     `json:"Crossed"` // sent to another zone
	RequestedUtility  float64 `json:"Asked"`   // total utility of the arrived flows
	DeliveredUtility  float64 `json:"Served"`  // of the responses
	ChannelLines      float64 `json:"Lines"`   // sent through all channels
	Messages          int     // sent through all channels
	ChannelFill       float64 `json:"Waiting"` // highest fill level of any channel, as a share of its capacity
	Utilization       float64 `json:"Load"`    // busy cores as a share of all cores of running replicas, at the end of the second
	RunningReplicas   int     `json:"Ready"`   // at the end of the second
	WarmReplicas      int     `json:"Warm"`    // running replicas that are not warming up
}

// LogEntry is a timestamped line of text.
type LogEntry struct {
	At   float64 // seconds from the start
	Text string
}

// GroupResult holds the utility of a traffic group.
type GroupResult struct {
	Name             string
	RequestedUtility float64 `json:"Asked"`
	DeliveredUtility float64 `json:"Served"`
}

// Result is the result of a run. Its JSON keys must not change, as they are those of existing result files.
type Result struct {
	Seed                  uint64
	Seconds               []Second
	FaultLog              []LogEntry            `json:"Notes"`  // start and end of faults
	Violations            []Violation           `json:"Breaks"` // the first of each invariant
	Trace                 []LogEntry            `json:"Before"` // events and orders of governors in the minute before the first violation
	ViolationCount        int                   `json:"Broken"` // total over all invariants
	Outcomes              [flowOutcomeCount]int `json:"Ended"`  // flows by outcome
	Groups                []GroupResult
	EventCount            uint64        `json:"Events"`
	ServiceLevel          float64       `json:"Service"` // delivered utility as a share of the requested utility
	WorstServiceLevel     float64       `json:"Worst"`   // lowest service level of any ten-second window
	P50                   time.Duration // median latency of flows with a response
	P99                   time.Duration // 99th percentile latency of flows with a response
	CrossZoneShare        float64       `json:"Crossed"` // of the attempts
	FailedAttemptsPerFlow float64       `json:"Wasted"`
	Steps                 int           // always 0; kept for compatibility with readers of result files

	latency *hdrhistogram.Histogram // microseconds
}

// Offered returns the number of arrived flows.
func (r *Result) Offered() int {
	total := 0
	for _, n := range r.Outcomes {
		total += n
	}
	return total
}
