// Package invariant counts violations of what must hold in a running process, whatever faults it meets.
//
// A check stands beside the state that it protects and costs a comparison. What a violation leads to is the process's choice: the
// daemons count and log it and serve on (SetReporter); without a reporter, as in tests, the first violation panics with it. The package
// does no I/O and is safe for concurrent use.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Violation is one case in which an invariant did not hold.
type Violation struct {
	Name     Name
	Evidence string // the values that contradict each other
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

// SetReporter has report called with each violation from now on; nil restores the panic.
func SetReporter(report Reporter) {
	if report == nil {
		reporter.Store(nil)
		return
	}
	reporter.Store(&report)
}

// Check counts and reports a violation unless holds. The evidence is made only then.
func Check(name Name, holds bool, evidence func() string) {
	if !holds {
		violated(Violation{name, evidence()})
	}
}

// NotBelow checks that a value which may only rise has not gone back.
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

// Count is how often an invariant was violated since the process started.
func Count(name Name) uint64 { return counts[name].Load() }

// Total is how often any invariant was violated since the process started.
func Total() uint64 {
	var total uint64
	for i := range counts {
		total += counts[i].Load()
	}
	return total
}
