package gateway

import (
	"time"
)

// reasonSlow is the reason in the record of a request that was answered after its latency target.
const reasonSlow = "slow"

// recordIfSlow records a request if its answer, by the given attempt, came later than the latency target of its route.
func (f *forwarding) recordIfSlow(answered attemptResult, answeredAfter time.Duration) {
	target := f.route.LatencyTarget
	if target <= 0 || answeredAfter <= target {
		return
	}
	f.gateway.count(countAnsweredLate)
	f.reason = reasonSlow
	record := f.record(answered.Response.Status, endedByReplica)
	record.Duration = answeredAfter
	record.Target = target
	record.Overhead = answeredAfter - f.attemptTime
	f.addAttempt(&record, answered)
	f.recordNumber = f.gateway.slowRequests.add(record)
	f.recordedIn = &f.gateway.slowRequests
	if !f.gateway.reasonLimiter.allow(reasonSlow) {
		return
	}
	entry := f.gateway.logger.Info().Str("event", "request_slow").Str("attempt", record.AttemptID).Str("route", record.Route).
		Str("service", record.Service).Int("status", record.Status).Dur("target", target).Dur("duration", record.Duration).
		Dur("overhead", record.Overhead).Uint64("config_version", record.ConfigVersion)
	logShardKey(entry, record).Strs("attempts", record.attemptSummaries()).Msg("request answered after its latency target")
}

// addAttempt puts the answered attempt into the record in place of the pending one at the same endpoint.
func (f *forwarding) addAttempt(record *FailedRequest, answered attemptResult) {
	attempt := newAttemptRecord(answered, f.arrivedAt, f.request.Deadline)
	if !replacePending(record.Attempts, attempt) {
		record.Attempts = append(record.Attempts, attempt)
	}
}
