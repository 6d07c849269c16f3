package emulate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// worstWindowSeconds is the length of the window whose service level is a result's worst.
	worstWindowSeconds = 10
	// maxLatency and latencyDigits bound and resolve the histogram of latencies.
	maxLatency    = 10 * time.Minute
	latencyDigits = 3
)

// startMetrics begins the counts, and closes a second of them each simulated second.
func (sim *Simulation) startMetrics() {
	sim.current = &Second{}
	sim.result.latency = hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencyDigits)
	for _, group := range sim.fleet.Groups {
		sim.result.Groups = append(sim.result.Groups, GroupResult{Name: group.Name})
	}
	sim.schedule(time.Second, sim.closeSecond)
}

// closeSecond adds the second under way to the result. Faults may be triggered by its figures.
func (sim *Simulation) closeSecond() {
	busy, cores := 0, 0
	for _, r := range sim.replicas {
		if !r.up {
			continue
		}
		busy, cores = busy+r.busy, cores+r.cores
		sim.current.RunningReplicas++
		if !r.isWarmingUp() {
			sim.current.WarmReplicas++
		}
	}
	sim.current.Utilization = float64(busy) / float64(max(cores, 1))
	closed := *sim.current
	sim.result.Seconds = append(sim.result.Seconds, closed)
	*sim.current = Second{}
	sim.triggerFaults(closed)
	sim.schedule(time.Second, sim.closeSecond)
}

// recordArrival counts a flow that arrives.
func (sim *Simulation) recordArrival(f *flow) {
	sim.current.Offered++
	utility := sim.fleet.Groups[f.group].Utility
	sim.current.RequestedUtility += utility
	sim.result.Groups[f.group].RequestedUtility += utility
	sim.result.Outcomes[Pending]++
}

// recordAttempt counts an attempt that is sent.
func (sim *Simulation) recordAttempt(t *attempt) {
	sim.current.Attempts++
	if t.replica.isWarmingUp() {
		sim.current.WarmupAttempts++
	}
	if t.replica.zone != t.proxy.zone {
		sim.current.CrossZoneAttempts++
	}
}

// recordDelivery counts a flow that is answered well.
func (sim *Simulation) recordDelivery(f *flow) {
	group := sim.fleet.Groups[f.group]
	latency := time.Duration(sim.now - f.arrivedAt)
	_ = sim.result.latency.RecordValue(latency.Microseconds()) // fails beyond the histogram's range only, which no client waits for
	utility := group.Utility
	if latency > group.LatencyBudget {
		utility *= group.LateShare
		sim.recordOutcome(DeliveredLate)
	} else {
		sim.recordOutcome(DeliveredInTime)
	}
	sim.current.DeliveredUtility += utility
	sim.result.Groups[f.group].DeliveredUtility += utility
}

// recordOutcome counts the end of a flow. The second's rejections are counted where they happen.
func (sim *Simulation) recordOutcome(outcome FlowOutcome) {
	sim.result.Outcomes[Pending]--
	sim.result.Outcomes[outcome]++
	switch outcome {
	case DeliveredInTime:
		sim.current.InTime++
	case DeliveredLate:
		sim.current.Late++
	case Dropped, Abandoned:
		sim.current.Dropped++
	}
}

// summarize computes the figures of the whole run.
func (sim *Simulation) summarize() *Result {
	result := &sim.result
	result.EventCount = sim.eventCount
	requested, delivered := 0.0, 0.0
	for _, group := range result.Groups {
		requested, delivered = requested+group.RequestedUtility, delivered+group.DeliveredUtility
	}
	attempts, failed, crossZone := 0, 0, 0
	for _, second := range result.Seconds {
		attempts, failed, crossZone = attempts+second.Attempts, failed+second.FailedAttempts, crossZone+second.CrossZoneAttempts
	}
	result.ServiceLevel = delivered / max(requested, 1e-9)
	result.WorstServiceLevel = worstServiceLevel(result.Seconds, int(sim.fleet.Duration/time.Second))
	result.P50 = time.Duration(result.latency.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(result.latency.ValueAtQuantile(99)) * time.Microsecond
	result.CrossZoneShare = float64(crossZone) / float64(max(attempts, 1))
	result.FailedAttemptsPerFlow = float64(failed) / float64(max(result.Offered(), 1))
	return result
}

// worstServiceLevel is the lowest service level of all windows within the first so many seconds.
func worstServiceLevel(seconds []Second, length int) float64 {
	worst := 1.0
	for from := 0; from+worstWindowSeconds <= length; from++ {
		requested, delivered := 0.0, 0.0
		for _, second := range seconds[from:min(from+worstWindowSeconds, len(seconds))] {
			requested, delivered = requested+second.RequestedUtility, delivered+second.DeliveredUtility
		}
		if requested > 0 {
			worst = min(worst, delivered/requested)
		}
	}
	return worst
}
