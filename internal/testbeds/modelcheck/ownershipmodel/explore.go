package ownershipmodel

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// explorer explores the states within its bounds breadth first.
type explorer struct {
	bounds     Bounds
	fault      Fault
	seed       maphash.Seed
	successors []step              // result of successorsOf, reused
	labeled    bool                // whether steps get labels; set only to build a trace, as formatting dominates the run time
	converging map[uint64]struct{} // states from which every range is known to get its holder
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
	return &explorer{bounds: bounds, fault: fault, seed: maphash.MakeSeed(), converging: map[uint64]struct{}{}}
}

func (e *explorer) explore() Result {
	initial := e.initialState()
	reached := []node{{state: initial, parent: -1}}
	seen := map[uint64]struct{}{e.hash(&initial): {}}
	for head := 0; head < len(reached); head++ {
		if e.bounds.MaxStates > 0 && len(reached) > e.bounds.MaxStates {
			return Result{States: len(reached)}
		}
		for _, next := range e.successorsOf(reached[head].state) {
			h := e.hash(&next.state)
			if _, ok := seen[h]; ok {
				continue
			}
			seen[h] = struct{}{}
			reached = append(reached, node{next.state, head})
			if violated := e.check(&next.state); violated != noViolation {
				return Result{States: len(reached), Violation: violated.String(), Trace: e.trace(reached)}
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

// hash returns the same value for states that differ only in the numbering of the replicas' addresses.
func (e *explorer) hash(s *state) uint64 {
	return min(maphash.Comparable(e.seed, *s), maphash.Comparable(e.seed, s.swapReplicas()))
}

// successorsOf returns all steps from a state. The result is valid until the next call.
func (e *explorer) successorsOf(s state) []step {
	e.successors = e.successors[:0]
	e.timeSteps(s)
	e.crashSteps(s)
	e.configurationSteps(s)
	e.viewSteps(s)
	for member := range s.granters {
		e.proposalSteps(s, member)
		if s.granters[member].crashed {
			continue
		}
		e.authoritySteps(s, member)
		if e.mayAct(&s, member) {
			e.callSteps(s, member)
			e.changeSteps(s, member)
		}
	}
	for i := range s.calls {
		if s.calls[i].kind != noCall {
			e.deliverySteps(s, i)
		}
	}
	return e.successors
}

// add adds a step to a state that is brought into its canonical form.
func (e *explorer) add(s state, format string, args ...any) {
	e.normalize(&s)
	label := ""
	if e.labeled {
		label = fmt.Sprintf(format, args...)
	}
	e.successors = append(e.successors, step{s, label})
}
