package experiment

import (
	"slices"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// maxHalvings is the maximum number of times that a parameter of a fault is halved.
const maxHalvings = 4

// halvings are the steps that reduce one parameter of a fault.
var halvings = []func(*emulate.Fault){
	func(f *emulate.Fault) { f.Share /= 2 },
	func(f *emulate.Fault) { f.Factor = 1 + (f.Factor-1)/2 },
	func(f *emulate.Fault) { f.Duration /= 2 },
}

// shrinker searches for a minimal scenario that violates an invariant.
type shrinker struct {
	plan      Plan
	invariant emulate.Invariant
	smallest  Finding
	runs      int
}

// Shrink minimizes a finding with a violation while its first violated invariant is still violated. It removes faults and reduces
// their share, factor and duration. It returns the smallest finding and the number of runs.
func Shrink(plan Plan, finding Finding) (Finding, int) {
	s := &shrinker{plan: plan, invariant: finding.Result.Violations[0].Invariant, smallest: finding}
	s.removeFaults()
	for i := range s.smallest.Faults {
		for _, halve := range halvings {
			s.halve(i, halve)
		}
	}
	return s.smallest, s.runs
}

// removeFaults removes each fault that the violation does not depend on.
func (s *shrinker) removeFaults() {
	for i := 0; i < len(s.smallest.Faults); {
		if len(s.smallest.Faults) == 1 || !s.accept(slices.Delete(slices.Clone(s.smallest.Faults), i, i+1)) {
			i++
		}
	}
}

// halve repeatedly reduces one parameter of a fault while the violation remains.
func (s *shrinker) halve(i int, halve func(*emulate.Fault)) {
	for range maxHalvings {
		faults := slices.Clone(s.smallest.Faults)
		before := faults[i]
		halve(&faults[i])
		if faults[i] == before || !s.accept(faults) {
			return
		}
	}
}

// accept runs a scenario and makes it the smallest finding if the invariant is still violated.
func (s *shrinker) accept(faults []emulate.Fault) bool {
	s.runs++
	result, err := emulate.Run(s.plan.config(Scenario{Faults: faults}, s.smallest.Seed, s.plan.Variants[0]))
	if err != nil || !slices.ContainsFunc(result.Violations, func(v emulate.Violation) bool { return v.Invariant == s.invariant }) {
		return false
	}
	s.smallest.Faults, s.smallest.Result = faults, result
	return true
}
