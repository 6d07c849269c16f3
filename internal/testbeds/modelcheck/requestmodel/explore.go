package requestmodel

import (
	"fmt"
	"hash/maphash"
	"math"
	"slices"
)

// explorer explores one set of bounds, breadth first.
type explorer struct {
	bounds     Bounds
	fault      Fault
	seed       maphash.Seed
	successors []step // of the state that is expanded
	labelled   bool   // steps have labels: only those of a trace, as they cost most of the time
}

// step is a step to another state.
type step struct {
	state state
	label string
}

// node is a state that was reached, and the index of the one it was reached from; -1: the first.
type node struct {
	state state
	from  int
}

func newExplorer(bounds Bounds, fault Fault) *explorer {
	return &explorer{bounds: bounds, fault: fault, seed: maphash.MakeSeed()}
}

func (e *explorer) explore() Result {
	first := state{surplus: e.bounds.UnsolicitedResponses, failures: e.bounds.Failures}
	reached := []node{{state: first, from: -1}}
	seen := map[uint64]struct{}{e.hash(first): {}}
	for at := 0; at < len(reached); at++ {
		if len(reached) > e.bounds.MaxStates {
			return Result{States: len(reached)}
		}
		for _, next := range e.expand(reached[at].state) {
			h := e.hash(next.state)
			if _, ok := seen[h]; ok {
				continue
			}
			seen[h] = struct{}{}
			reached = append(reached, node{next.state, at})
			if broken := e.check(&next.state); broken != "" {
				return Result{States: len(reached), Violation: broken, Trace: e.trace(reached)}
			}
		}
	}
	return Result{States: len(reached), Complete: true}
}

// trace returns the labels of the steps to the state that was reached last.
func (e *explorer) trace(reached []node) (labels []string) {
	e.labelled = true
	for i := len(reached) - 1; i > 0; i = reached[i].from {
		steps := e.expand(reached[reached[i].from].state)
		taken := slices.IndexFunc(steps, func(s step) bool { return s.state == reached[i].state })
		if taken >= 0 {
			labels = append(labels, steps[taken].label)
		}
	}
	slices.Reverse(labels)
	return labels
}

// hash is the same for states that differ in the numbers of connections and replicas only.
func (e *explorer) hash(s state) uint64 {
	h := uint64(math.MaxUint64)
	for _, v := range [...]state{s, s.swapReplicas()} {
		h = min(h, maphash.Comparable(e.seed, v), maphash.Comparable(e.seed, v.swapConns()))
	}
	return h
}

// expand returns all steps from a state, until the next call.
func (e *explorer) expand(s state) []step {
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

// add adds a step. What bears on nothing any more is cleared, so that fewer states differ.
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

// label formats a step's label, where labels are wanted.
func (e *explorer) label(format string, args ...any) string {
	if !e.labelled {
		return ""
	}
	return fmt.Sprintf(format, args...)
}
