package emulate

import "zincloft.example/zincloft/rules"

// attemptOutcome is what became of an attempt, as its proxy learns it.
type attemptOutcome int

const (
	succeeded         attemptOutcome = iota
	answeredBadly                    // it ran
	connectionRefused                // the replica has no connection left: it never ran
	unreachable                      // nobody there: it never ran
	connectionReset                  // it may have run
	timedOut                         // it may have run
)

// neverRan reports whether the outcome proves that the replica did not begin.
func (o attemptOutcome) neverRan() bool { return o == connectionRefused || o == unreachable }

// attempt is one sending of a flow to a replica.
type attempt struct {
	flow    *flow
	proxy   *proxy
	replica *replica
	sentAt  rules.Time
	work    float64 // seconds of a core at speed 1, with the connection's handshake

	replicaIncarnation int        // that received it
	waiting            bool       // in the replica's queue
	running            bool       // on one of its cores
	startedAt          rules.Time // on the core
	done               bool       // answered, given up or lost: nothing that comes later counts
}
