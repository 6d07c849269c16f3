package experiment

import (
	"slices"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// maxHalvings is how often a figure of a fault is halved.
const maxHalvings = 4

// halvings make a fault smaller.
var halvings = []func(*emulate.Fault){
	func(f *emulate.Fault) { f.Share /= 2 },
	func(f *emulate.Fault) { f.Factor = 1 + (f.Factor-1)/2 },
	func(f *emulate.Fault) { f.Duration /= 2 },
}

// shrinker looks for a smaller scenario that violates the same invariant.
type shrinker struct {
	plan      Plan
	invariant emulate.Invariant
	smallest  Finding
	runs      int
}

// Shrink makes a finding that violates an invariant as small as it can while its first violation remains: without faults that
// are not needed, with smaller shares and factors and shorter times. It returns the smallest one, and how many runs that took.
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

// removeFaults leaves out each fault that is not needed.
func (s *shrinker) removeFaults() {
	for i := 0; i < len(s.smallest.Faults); {
		if len(s.smallest.Faults) == 1 || !s.accept(slices.Delete(slices.Clone(s.smallest.Faults), i, i+1)) {
			i++
		}
	}
}

// halve makes one figure of a fault smaller, as often as the violation remains.
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

// accept runs a scenario and keeps it if the invariant is still violated.
func (s *shrinker) accept(faults []emulate.Fault) bool {
	s.runs++
	result, err := emulate.Run(s.plan.config(Scenario{Faults: faults}, s.smallest.Seed, s.plan.Variants[0]))
	if err != nil || !slices.ContainsFunc(result.Violations, func(v emulate.Violation) bool { return v.Invariant == s.invariant }) {
		return false
	}
	s.smallest.Faults, s.smallest.Result = faults, result
	return true
}
