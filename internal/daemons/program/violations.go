package program

import (
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/invariant"
)

const (
	violationLogRate  = 1  // log lines a second
	violationLogBurst = 20 // log lines at once
)

// reportViolations has violations of invariants logged, at a bounded rate. The daemon serves on: what is wrong by then would not be
// right after a crash, and all that still works would be lost.
func reportViolations(logger *log.Logger) {
	limiter := rate.NewLimiter(violationLogRate, violationLogBurst)
	invariant.SetReporter(func(violation invariant.Violation) {
		if limiter.Allow() {
			logger.Error().Str("event", "invariant_violated").Stringer("invariant", violation.Name).Str("evidence", violation.Evidence).Msg("")
		}
	})
}
