package testkit

import (
	"fmt"
	"strings"
)

// traceNames maps type and field names in the code to the names in the golden traces. Golden traces are not rewritten when a type or
// field is renamed.
var traceNames = strings.NewReplacer(
	"rules.EndpointStats", "rules.Sums",
	"rules.GroupTraffic", "rules.Intake",
	"rules.PairEjection", "rules.Shun",
	"rules.PriorMeasurement", "rules.Recalled",
	"rules.ReplicaEjection", "rules.Withdraw",
	"rules.WatchList", "rules.Observe",
	"Attempts:", "Tries:",
	"Delay:", "Took:",
	"Ejected:", "Out:",
	"FlowRate:", "Rate:",
	"MayHoldEjections:", "Unsure:",
	"MeanLatency:", "Took:",
	"ReceivedAt:", "Read:",
	"ReportAge:", "Heard:",
	"SentAt:", "Sent:",
	"Sequence:", "Seq:",
	"Throughput:", "Answers:",
	"UnknownReplicas:", "Unknown:",
	"Utilization:", "Util:",
	"Window:", "Over:",
)

// TraceType returns the name of v's type as printed in golden traces.
func TraceType(v any) string { return traceNames.Replace(fmt.Sprintf("%T", v)) }

// TraceValue returns v with its field names as printed in golden traces.
func TraceValue(v any) string { return traceNames.Replace(fmt.Sprintf("%+v", v)) }
