package emulate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// worstWindowSeconds is the window length of Result.WorstServiceLevel.
	worstWindowSeconds = 10
	// maxLatency and latencyDigits are the range and precision of the latency histogram.
	maxLatency    = 10 * time.Minute
	latencyDigits = 3
)

// startMetrics initializes the metrics and schedules the per-second snapshots.
func (sim *Simulation) startMetrics() {
	sim.currentSecond = &Second{}
	sim.result.latency = hdrhistogram.New(1, int64(maxLatency/time.Microsecond), latencyDigits)
	for _, group := range sim.fleet.Groups {
		sim.result.Groups = append(sim.result.Groups, GroupResult{Name: group.Name})
	}
	sim.schedule(time.Second, sim.closeSecond)
}

// closeSecond adds the current second to the result and evaluates fault triggers on it.
func (sim *Simulation) closeSecond() {
	busy, cores := 0, 0
	for _, r := range sim.replicas {
		if !r.up {
			continue
		}
		busy, cores = busy+r.busy, cores+r.cores
		sim.currentSecond.RunningReplicas++
		if !r.isWarmingUp() {
			sim.currentSecond.WarmReplicas++
		}
	}
	sim.currentSecond.Utilization = float64(busy) / float64(max(cores, 1))
	closed := *sim.currentSecond
	sim.result.Seconds = append(sim.result.Seconds, closed)
	*sim.currentSecond = Second{}
	sim.triggerFaults(closed)
	sim.schedule(time.Second, sim.closeSecond)
}

// recordArrival counts an arriving flow as pending.
func (sim *Simulation) recordArrival(f *flow) {
	sim.currentSecond.Offered++
	utility := sim.fleet.Groups[f.group].Utility
	sim.currentSecond.RequestedUtility += utility
	sim.result.Groups[f.group].RequestedUtility += utility
	sim.result.Outcomes[Pending]++
}

// recordAttempt counts a sent attempt.
func (sim *Simulation) recordAttempt(t *attempt) {
	sim.currentSecond.Attempts++
	if t.replica.isWarmingUp() {
		sim.currentSecond.WarmupAttempts++
	}
	if t.replica.zone != t.proxy.zone {
		sim.currentSecond.CrossZoneAttempts++
	}
}

// recordDelivery counts a successful response and its utility.
func (sim *Simulation) recordDelivery(f *flow) {
	group := sim.fleet.Groups[f.group]
	latency := time.Duration(sim.now - f.arrivedAt)
	_ = sim.result.latency.RecordValue(latency.Microseconds()) // only fails out of range, and clients time out earlier
	utility := group.Utility
	if latency > group.LatencyBudget {
		utility *= group.LateShare
		sim.recordOutcome(DeliveredLate)
	} else {
		sim.recordOutcome(DeliveredInTime)
	}
	sim.currentSecond.DeliveredUtility += utility
	sim.result.Groups[f.group].DeliveredUtility += utility
}

// recordOutcome counts the final outcome of a flow. Rejections of the current second are counted in flow.arrive.
func (sim *Simulation) recordOutcome(outcome FlowOutcome) {
	sim.result.Outcomes[Pending]--
	sim.result.Outcomes[outcome]++
	switch outcome {
	case DeliveredInTime:
		sim.currentSecond.InTime++
	case DeliveredLate:
		sim.currentSecond.Late++
	case Dropped, Abandoned:
		sim.currentSecond.Dropped++
	}
}

// summarize computes the metrics of the whole run.
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

// worstServiceLevel returns the lowest service level of any window within the first length seconds.
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
