// Package breadthfirst explores the states of a model breadth first, so that the trace of a violation is as short as possible.
package breadthfirst

import "slices"

// Step is a transition to a successor state.
type Step[S comparable] struct {
	State S
	Label string // describes the step; empty if labels were not requested
}

// Model is a state machine.
type Model[S comparable] interface {
	// Initial returns the initial state.
	Initial() S

	// Successors returns all steps from a state. The result is valid until the next call. Labels are requested only to build a
	// trace, because formatting them dominates the run time.
	Successors(state S, labeled bool) []Step[S]

	// Digest returns a hash of a state. States with the same digest are taken to be equivalent, and only one is explored.
	Digest(state *S) uint64

	// Violation returns the invariant that a state violates, or "".
	Violation(state *S) string
}

// Result is the result of an exploration.
type Result struct {
	States    int
	Complete  bool     // all states within the bounds were explored
	Violation string   // the violated invariant, or ""
	Trace     []string // the steps that lead to the violation
}

// node is a reached state with the index of its predecessor, or noParent for the initial state.
type node[S comparable] struct {
	state  S
	parent int
}

const noParent = -1

// Explore explores all states of a model until an invariant is violated or more than maxStates states were reached; 0 means no
// limit.
func Explore[S comparable](model Model[S], maxStates int) Result {
	initial := model.Initial()
	reached := []node[S]{{state: initial, parent: noParent}}
	seen := map[uint64]struct{}{model.Digest(&initial): {}}
	for head := 0; head < len(reached); head++ {
		if maxStates > 0 && len(reached) > maxStates {
			return Result{States: len(reached)}
		}
		for _, next := range model.Successors(reached[head].state, false) {
			digest := model.Digest(&next.State)
			if _, ok := seen[digest]; ok {
				continue
			}
			seen[digest] = struct{}{}
			reached = append(reached, node[S]{next.State, head})
			if violation := model.Violation(&next.State); violation != "" {
				return Result{States: len(reached), Violation: violation, Trace: trace(model, reached)}
			}
		}
	}
	return Result{States: len(reached), Complete: true}
}

// trace returns the labels of the steps that lead to the last reached state.
func trace[S comparable](model Model[S], reached []node[S]) (labels []string) {
	for i := len(reached) - 1; reached[i].parent != noParent; i = reached[i].parent {
		steps := model.Successors(reached[reached[i].parent].state, true)
		taken := slices.IndexFunc(steps, func(s Step[S]) bool { return s.State == reached[i].state })
		if taken >= 0 {
			labels = append(labels, steps[taken].Label)
		}
	}
	slices.Reverse(labels)
	return labels
}
