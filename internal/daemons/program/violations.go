package program

import (
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"zincloft.example/zincloft/invariant"
)

const (
	violationLogRate  = 1  // log lines per second
	violationLogBurst = 20 // log lines in a burst
)

// logViolations logs invariant violations at a limited rate. The daemon keeps running, as a crash would not repair the state and
// would interrupt everything that still works.
func logViolations(logger *log.Logger) {
	limiter := rate.NewLimiter(violationLogRate, violationLogBurst)
	invariant.SetReporter(func(violation invariant.Violation) {
		if limiter.Allow() {
			logger.Error().Str("event", "invariant_violated").Stringer("invariant", violation.Name).Str("evidence", violation.Evidence).Msg("invariant violated")
		}
	})
}
