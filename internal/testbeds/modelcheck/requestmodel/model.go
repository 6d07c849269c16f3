// Package requestmodel is a model checker for the forwarding of requests to replicas: a small state machine without I/O that is
// explored exhaustively. It covers two clients with up to two attempts each, two replicas and two connections, in every order of
// events: deliveries; responses that are complete, truncated, unsolicited, delayed, without a request ID or with that of another
// request; resets and timeouts; client disconnects; connections dropped by the replica.
//
// Retry decisions are made by dataplane/retry. The handling of connections by internal/daemons/replica is modeled independently
// (gateway.go). Faults can be injected to verify that the exploration detects them.
//
// The model assumes that replicas reject only requests that they do not execute.
package requestmodel

import "zincloft.example/zincloft/internal/testbeds/modelcheck/breadthfirst"

// Fault is a bug that is injected into the model.
type Fault int

// Faults.
const (
	NoFault                          Fault = iota
	ReusesWithBufferedBytes                // a connection is reused with unread bytes after the response
	RetriesNonIdempotentAfterTimeout       // a non-idempotent request is retried after a timeout
	IgnoresRequestID                       // the request ID of a response is not checked
	TreatsResetAsNotExecuted               // a reset is treated as proof that the request was not executed
	ReusesPastKeepAlive                    // a pooled connection is reused after its keep-alive timeout
	TrustsUnidentifiedRejection            // a rejection without a request ID is accepted
	ReportsLastExecution                   // the execution status of the last attempt is reported instead of the strongest of all
	RetriesForDisconnectedClient           // a request is retried after its client has disconnected
	ReusesAfterTimeout                     // a connection returns to the pool after a timeout
	ReusesHedgedConnection                 // the connection of a canceled attempt returns to the pool before its response
)

// Bounds limit an exploration.
type Bounds struct {
	Idempotent           [2]bool // by client: whether its request is idempotent
	UnsolicitedResponses uint8   // number of responses without a request
	Failures             uint8   // number of resets, timeouts, and truncated or invalid responses
	MaxStates            int     // exploration stops beyond this number
}

// Result is the result of an exploration.
type Result = breadthfirst.Result

// Explore explores all states within the bounds breadth first until an invariant is violated.
func Explore(bounds Bounds, fault Fault) Result {
	return breadthfirst.Explore(newExplorer(bounds, fault), bounds.MaxStates)
}
