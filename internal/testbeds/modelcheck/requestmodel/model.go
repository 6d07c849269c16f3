// Package requestmodel is a model checker for the way of requests to replicas and back: a small state machine without I/O,
// explored exhaustively. Two clients, two replicas, two connections and two attempts each meet in every order of what may
// happen between them: deliveries; responses that are complete, truncated, surplus, late, nameless or another request's;
// resets and silence; clients that leave; connections that the replica forgets.
//
// The decisions are those of dataplane/retry; what internal/daemons/replica makes of a connection's bytes is stated here once more,
// as rules (gateway.go). Faults can be planted to see that the check finds them.
//
// In one point the model trusts replicas: they reject only what they do not execute.
package requestmodel

// Fault is a bug that is planted on purpose.
type Fault int

// The faults.
const (
	NoFault                      Fault = iota
	ReusesWithBufferedBytes            // a connection is reused with bytes behind the response
	RetriesUnsafeAfterTimeout          // a request that is not idempotent goes to a second replica after a silence
	IgnoresRequestID                   // a response's identity is not compared
	TreatsResetAsNotExecuted           // a reset is taken for proof that the request was not executed
	ReusesPastKeepAlive                // a pooled connection is used beyond its keep-alive timeout
	TrustsUnidentifiedRejection        // a rejection that names no request is trusted
	ReportsLastExecution               // the execution of the last attempt counts, not the strongest of all
	RetriesForDisconnectedClient       // a request whose client has left is sent again
	ReusesAfterTimeout                 // a connection goes back to the pool when its attempt ends without a response
	ReusesHedgedConnection             // the connection of a slower attempt goes back to the pool before its response came
)

// Bounds limit an exploration.
type Bounds struct {
	Idempotent           [2]bool // whether each client's request is idempotent
	UnsolicitedResponses uint8   // responses that nobody asked for
	Failures             uint8   // resets, silences, truncated and invalid responses
	MaxStates            int     // the exploration ends after so many
}

// Result is what an exploration found.
type Result struct {
	States    int
	Complete  bool     // all states within the bounds were seen
	Violation string   // the promise that was broken; empty: none
	Trace     []string // the steps that lead to it
}

// Explore visits all states within the bounds, the nearest first, until a promise is broken.
func Explore(bounds Bounds, fault Fault) Result {
	return newExplorer(bounds, fault).explore()
}
