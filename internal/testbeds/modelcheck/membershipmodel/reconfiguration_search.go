package membershipmodel

import (
	"hash/maphash"
	"slices"
	"time"
)

// deadlineInterval is how many states are explored between two looks at the clock.
const deadlineInterval = 1024

var worldSeed = maphash.MakeSeed()

// fingerprint stands for a state in the set of those seen.
func (w *world) fingerprint() uint64 { return maphash.Comparable(worldSeed, *w) }

// ExploreReconfiguration explores the reconfiguration model breadth first.
//
// Unlike ExploreMessages it keeps, of a state whose successors are known, no more than its fingerprint and its parent's
// number. The trace of a violation is found by taking the same steps again.
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
	start  world
	result Result

	numbers      map[uint64]uint32 // Of the states seen, by fingerprint.
	fingerprints []uint64          // By number.
	parents      []uint32          // By number.

	current    uint32  // Number of the state at hand.
	next       []world // States seen, to be expanded after those of the present depth.
	violatedBy step    // From the state at hand.
}

func newReconfigurationSearch(scope Scope, fault Fault) *reconfigurationSearch {
	model := newReconfigurationModel(scope, fault)
	search := &reconfigurationSearch{
		model:   model,
		start:   *model.initialWorld(),
		result:  Result{Complete: true},
		numbers: map[uint64]uint32{},
	}
	search.add(search.start.fingerprint())
	model.emit = search.visit
	return search
}

// add notes a state that is seen for the first time, as a successor of the one at hand.
func (search *reconfigurationSearch) add(digest uint64) {
	search.numbers[digest] = uint32(len(search.fingerprints))
	search.fingerprints = append(search.fingerprints, digest)
	search.parents = append(search.parents, search.current)
}

// visit takes a successor of the state at hand.
func (search *reconfigurationSearch) visit(w *world, s step) {
	if search.result.Violation != "" {
		return
	}
	digest := w.fingerprint()
	if _, seen := search.numbers[digest]; seen && search.model.violation == "" {
		return
	}
	if violation := search.model.violatedInvariant(w); violation != "" {
		search.result.Violation, search.violatedBy = violation, s
		return
	}
	search.add(digest)
	search.next = append(search.next, *w)
}

// run expands states, depth by depth, until there are no more, a limit is reached, or an invariant is violated.
func (search *reconfigurationSearch) run() {
	depth := []world{search.start}
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

// buildTrace takes the steps to the state at hand once more, and describes them and the one that violated the invariant.
func (search *reconfigurationSearch) buildTrace() {
	var path []uint64
	for number := search.current; number != 0; number = search.parents[number] {
		path = append(path, search.fingerprints[number])
	}
	slices.Reverse(path)
	w := search.start
	for _, digest := range path {
		next, description := search.model.findStep(&w, digest)
		search.result.Trace = append(search.result.Trace, description)
		w = next
	}
	search.result.Trace = append(search.result.Trace, search.violatedBy.String())
}

// findStep returns the successor with a fingerprint, and a description of the step that leads there.
func (model *reconfigurationModel) findStep(w *world, digest uint64) (world, string) {
	var found world
	var description string
	model.violation = ""
	model.emit = func(next *world, s step) {
		if description != "" || next.fingerprint() != digest {
			return
		}
		found, description = *next, s.String()
		switch {
		case next.proposal != w.proposal && !next.proposal.isNone():
			description += ": " + next.proposal.String()
		case next.newestView > w.newestView:
			description += ", which decides it"
		}
	}
	model.expand(w)
	return found, description
}
