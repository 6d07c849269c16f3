package requestmodel

import (
	"fmt"
	"hash/maphash"
	"math"
	"slices"
)

// explorer explores the states within its bounds breadth first.
type explorer struct {
	bounds     Bounds
	fault      Fault
	seed       maphash.Seed
	successors []step // result of successorsOf, reused
	labeled    bool   // whether steps get labels; set only to build a trace, as formatting dominates the run time
}

// step is a transition to a successor state.
type step struct {
	state state
	label string
}

// node is a reached state with the index of its predecessor, or -1 for the initial state.
type node struct {
	state  state
	parent int
}

func newExplorer(bounds Bounds, fault Fault) *explorer {
	return &explorer{bounds: bounds, fault: fault, seed: maphash.MakeSeed()}
}

func (e *explorer) explore() Result {
	initial := state{unsolicited: e.bounds.UnsolicitedResponses, failures: e.bounds.Failures}
	reached := []node{{state: initial, parent: -1}}
	seen := map[uint64]struct{}{e.hash(initial): {}}
	for head := 0; head < len(reached); head++ {
		if len(reached) > e.bounds.MaxStates {
			return Result{States: len(reached)}
		}
		for _, next := range e.successorsOf(reached[head].state) {
			h := e.hash(next.state)
			if _, ok := seen[h]; ok {
				continue
			}
			seen[h] = struct{}{}
			reached = append(reached, node{next.state, head})
			if violation := e.check(&next.state); violation != "" {
				return Result{States: len(reached), Violation: violation, Trace: e.trace(reached)}
			}
		}
	}
	return Result{States: len(reached), Complete: true}
}

// trace returns the labels of the steps that lead to the last reached state.
func (e *explorer) trace(reached []node) (labels []string) {
	e.labeled = true
	for i := len(reached) - 1; i > 0; i = reached[i].parent {
		steps := e.successorsOf(reached[reached[i].parent].state)
		taken := slices.IndexFunc(steps, func(s step) bool { return s.state == reached[i].state })
		if taken >= 0 {
			labels = append(labels, steps[taken].label)
		}
	}
	slices.Reverse(labels)
	return labels
}

// hash returns the same value for states that differ only in the numbering of connections or replicas.
func (e *explorer) hash(s state) uint64 {
	h := uint64(math.MaxUint64)
	for _, v := range [...]state{s, s.swapReplicas()} {
		h = min(h, maphash.Comparable(e.seed, v), maphash.Comparable(e.seed, v.swapConns()))
	}
	return h
}

// successorsOf returns all steps from a state. The result is valid until the next call.
func (e *explorer) successorsOf(s state) []step {
	e.successors = e.successors[:0]
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
	e.successors = append(e.successors, step{s, e.label(format, args...)})
}

// label formats a step's label if labels are enabled.
func (e *explorer) label(format string, args ...any) string {
	if !e.labeled {
		return ""
	}
	return fmt.Sprintf(format, args...)
}
