package emulate

import "zincloft.example/zincloft/rules"

// attemptOutcome is the result of an attempt as observed by its proxy.
type attemptOutcome int

const (
	succeeded         attemptOutcome = iota
	errorResponse                    // executed by the replica
	connectionRefused                // connection limit reached; not executed
	unreachable                      // replica down or no eligible endpoint; not executed
	connectionReset                  // possibly executed
	timedOut                         // possibly executed
)

// notExecuted reports whether the outcome proves that the replica did not start executing the attempt.
func (o attemptOutcome) notExecuted() bool { return o == connectionRefused || o == unreachable }

// attempt is one transmission of a flow to a replica.
type attempt struct {
	flow    *flow
	proxy   *proxy
	replica *replica
	sentAt  rules.Time
	work    float64 // core-seconds at speed 1, including a connection handshake

	replicaIncarnation int        // incarnation of the replica that received the attempt
	queued             bool       // in the replica's queue
	executing          bool       // on one of the replica's cores
	startedAt          rules.Time // start of execution
	done               bool       // completed, timed out or canceled; later callbacks are ignored
}
