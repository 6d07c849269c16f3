package requestmodel

import (
	"fmt"
	"hash/maphash"
	"math"

	"zincloft.example/zincloft/internal/testbeds/modelcheck/breadthfirst"
)

// explorer is the model within its bounds.
type explorer struct {
	bounds     Bounds
	fault      Fault
	seed       maphash.Seed
	successors []step // result of Successors, reused
	labeled    bool   // whether steps get labels
}

// step is a transition to a successor state.
type step = breadthfirst.Step[state]

func newExplorer(bounds Bounds, fault Fault) *explorer {
	return &explorer{bounds: bounds, fault: fault, seed: maphash.MakeSeed()}
}

// Initial implements breadthfirst.Model.
func (e *explorer) Initial() state {
	return state{unsolicited: e.bounds.UnsolicitedResponses, failures: e.bounds.Failures}
}

// Violation implements breadthfirst.Model.
func (e *explorer) Violation(s *state) string { return e.check(s) }

// Digest implements breadthfirst.Model. It returns the same value for states that differ only in the numbering of connections or
// replicas.
func (e *explorer) Digest(s *state) uint64 {
	h := uint64(math.MaxUint64)
	for _, v := range [...]state{*s, s.swapReplicas()} {
		h = min(h, maphash.Comparable(e.seed, v), maphash.Comparable(e.seed, v.swapConns()))
	}
	return h
}

// Successors implements breadthfirst.Model.
func (e *explorer) Successors(s state, labeled bool) []step {
	e.successors, e.labeled = e.successors[:0], labeled
	for i := range s.clients {
		e.clientSteps(s, i)
	}
	for k := range s.conns {
		if s.conns[k].state == connClosed {
			continue
		}
		e.deliverySteps(s, k)
		e.replicaSteps(s, k)
		e.gatewaySteps(s, k)
	}
	return e.successors
}

// add adds a step. It clears what can no longer have an effect, which reduces the number of distinct states.
func (e *explorer) add(s state, format string, args ...any) {
	for i := range s.clients {
		c := &s.clients[i]
		if c.state == finished {
			*c = client{state: finished, outcome: c.outcome, executions: c.executions, delayed: c.delayed}
			if e.bounds.Idempotent[i] && c.outcome != outcomeNotExecuted {
				c.executions, c.delayed = 0, 0
			}
		}
		if e.bounds.Idempotent[i] {
			c.executions = min(c.executions, 1)
		}
	}
	e.successors = append(e.successors, step{State: s, Label: e.label(format, args...)})
}

// label formats a step's label if labels are enabled.
func (e *explorer) label(format string, args ...any) string {
	if !e.labeled {
		return ""
	}
	return fmt.Sprintf(format, args...)
}
