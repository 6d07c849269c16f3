package membershipmodel

import (
	"hash/maphash"
	"slices"
	"time"
)

// deadlineInterval is the number of states between checks of the deadline.
const deadlineInterval = 1024

var clusterStateSeed = maphash.MakeSeed()

// fingerprint identifies a state in the set of explored states.
func (cs *clusterState) fingerprint() uint64 { return maphash.Comparable(clusterStateSeed, *cs) }

// ExploreReconfiguration explores the reconfiguration model breadth first.
//
// Unlike ExploreMessages, it keeps only the fingerprint and the parent's number of an expanded state. The trace of a violation is
// reconstructed by repeating the steps.
func ExploreReconfiguration(scope Scope, fault Fault) Result {
	search := newReconfigurationSearch(scope, fault)
	search.run()
	if search.result.Violation != "" {
		search.buildTrace()
	}
	return search.result
}

// reconfigurationSearch is one exploration.
type reconfigurationSearch struct {
	model  *reconfigurationModel
	start  clusterState
	result Result

	numbers      map[uint64]uint32 // State numbers, by fingerprint.
	fingerprints []uint64          // By state number.
	parents      []uint32          // By state number.

	current       uint32         // Number of the state being expanded.
	next          []clusterState // States of the next depth.
	violatingStep step           // Step from the current state that violated the invariant.
}

func newReconfigurationSearch(scope Scope, fault Fault) *reconfigurationSearch {
	model := newReconfigurationModel(scope, fault)
	search := &reconfigurationSearch{
		model:   model,
		start:   *model.initialState(),
		result:  Result{Complete: true},
		numbers: map[uint64]uint32{},
	}
	search.add(search.start.fingerprint())
	model.emit = search.visit
	return search
}

// add records a new state as a successor of the current one.
func (search *reconfigurationSearch) add(digest uint64) {
	search.numbers[digest] = uint32(len(search.fingerprints))
	search.fingerprints = append(search.fingerprints, digest)
	search.parents = append(search.parents, search.current)
}

// visit processes a successor of the current state.
func (search *reconfigurationSearch) visit(cs *clusterState, s step) {
	if search.result.Violation != "" {
		return
	}
	digest := cs.fingerprint()
	if _, seen := search.numbers[digest]; seen && search.model.violation == "" {
		return
	}
	if violation := search.model.violatedInvariant(cs); violation != "" {
		search.result.Violation, search.violatingStep = violation, s
		return
	}
	search.add(digest)
	search.next = append(search.next, *cs)
}

// run expands states depth by depth until none are left, a limit is reached, or an invariant is violated.
func (search *reconfigurationSearch) run() {
	depth := []clusterState{search.start}
	for len(depth) > 0 {
		for i := range depth {
			search.current = search.numbers[depth[i].fingerprint()]
			search.model.expand(&depth[i])
			search.result.States++
			search.result.Complete = !search.limitReached()
			if search.result.Violation != "" || !search.result.Complete {
				return
			}
		}
		depth, search.next = search.next, depth[:0]
	}
}

func (search *reconfigurationSearch) limitReached() bool {
	scope, states := search.model.scope, search.result.States
	if scope.MaxStates != 0 && states >= scope.MaxStates {
		return true
	}
	return states%deadlineInterval == 0 && !scope.Deadline.IsZero() && time.Now().After(scope.Deadline)
}

// buildTrace repeats the steps to the current state and describes them and the step that violated the invariant.
func (search *reconfigurationSearch) buildTrace() {
	var path []uint64
	for number := search.current; number != 0; number = search.parents[number] {
		path = append(path, search.fingerprints[number])
	}
	slices.Reverse(path)
	cs := search.start
	for _, digest := range path {
		next, description := search.model.findStep(&cs, digest)
		search.result.Trace = append(search.result.Trace, description)
		cs = next
	}
	search.result.Trace = append(search.result.Trace, search.violatingStep.String())
}

// findStep returns the successor with the given fingerprint and a description of the step that leads to it.
func (model *reconfigurationModel) findStep(cs *clusterState, digest uint64) (clusterState, string) {
	var found clusterState
	var description string
	model.violation = ""
	model.emit = func(next *clusterState, s step) {
		if description != "" || next.fingerprint() != digest {
			return
		}
		found, description = *next, s.String()
		switch {
		case next.proposal != cs.proposal && !next.proposal.isNone():
			description += ": " + next.proposal.String()
		case next.newestView > cs.newestView:
			description += ", which decides it"
		}
	}
	model.expand(cs)
	return found, description
}
