package ownershipmodel

import (
	"fmt"
	"hash/maphash"

	"zincloft.example/zincloft/internal/testbeds/modelcheck/breadthfirst"
)

// explorer is the model within its bounds.
type explorer struct {
	bounds     Bounds
	fault      Fault
	seed       maphash.Seed
	successors []step              // result of Successors, reused
	labeled    bool                // whether steps get labels
	converging map[uint64]struct{} // states from which every range is known to get its holder
}

// step is a transition to a successor state.
type step = breadthfirst.Step[state]

func newExplorer(bounds Bounds, fault Fault) *explorer {
	return &explorer{bounds: bounds, fault: fault, seed: maphash.MakeSeed(), converging: map[uint64]struct{}{}}
}

// Initial implements breadthfirst.Model.
func (e *explorer) Initial() state { return e.initialState() }

// Violation implements breadthfirst.Model.
func (e *explorer) Violation(s *state) string {
	if violated := e.check(s); violated != noViolation {
		return violated.String()
	}
	return ""
}

// Digest implements breadthfirst.Model. It returns the same value for states that differ only in the numbering of the replicas'
// addresses.
func (e *explorer) Digest(s *state) uint64 {
	return min(maphash.Comparable(e.seed, *s), maphash.Comparable(e.seed, s.swapReplicas()))
}

// Successors implements breadthfirst.Model.
func (e *explorer) Successors(s state, labeled bool) []step {
	e.successors, e.labeled = e.successors[:0], labeled
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
	e.successors = append(e.successors, step{State: s, Label: label})
}
