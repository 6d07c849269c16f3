package testkit

import (
	"fmt"
	"strings"
)

// traceNames maps the names of types and fields to the ones under which kept traces print them. A trace is a recording: a
// type that is renamed in the code keeps its printed name, so that recordings made before and after can be compared.
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

// TraceType returns the name of v's type as kept traces print it.
func TraceType(v any) string { return traceNames.Replace(fmt.Sprintf("%T", v)) }

// TraceValue returns v with the names of its fields, as kept traces print it.
func TraceValue(v any) string { return traceNames.Replace(fmt.Sprintf("%+v", v)) }
