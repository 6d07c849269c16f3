// Package invariant checks invariants at run time and counts their violations.
//
// A process sets a Reporter to log violations and continue. Without one, as in tests, a violation panics. The package does no I/O and is
// safe for concurrent use.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation is a violation of an invariant.
type Violation struct {
	Name     Name
	Evidence string // the contradictory values
}

func (v Violation) String() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Evidence)
}

// Reporter is called with each violation, on the goroutine that found it. It must not block.
type Reporter func(Violation)

var (
	reporter atomic.Pointer[Reporter]
	counts   [len(Statements)]atomic.Uint64
)

// SetReporter sets the reporter of all further violations. With nil, violations panic.
func SetReporter(report Reporter) {
	if report == nil {
		reporter.Store(nil)
		return
	}
	reporter.Store(&report)
}

// Check counts and reports a violation unless holds is true. It calls evidence only for a violation.
func Check(name Name, holds bool, evidence func() string) {
	if !holds {
		violated(Violation{name, evidence()})
	}
}

// NotBelow checks that a monotonic value has not decreased.
func NotBelow(name Name, value, previous uint64) {
	if value < previous {
		violated(Violation{name, fmt.Sprintf("%d after %d", value, previous)})
	}
}

func violated(violation Violation) {
	counts[violation.Name].Add(1)
	report := reporter.Load()
	if report == nil {
		panic(violation)
	}
	(*report)(violation)
}

// Count returns the number of violations of an invariant since the process started.
func Count(name Name) uint64 { return counts[name].Load() }

// Total returns the number of violations of all invariants since the process started.
func Total() uint64 {
	var total uint64
	for i := range counts {
		total += counts[i].Load()
	}
	return total
}
