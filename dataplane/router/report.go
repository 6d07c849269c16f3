package router

import (
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/messages"
)

// staleAfter is the time without updates after which a gateway reports its instances as stale.
const staleAfter = 3 * time.Second

// Report returns the load report for the period since the last report and resets the statistics. cpuUtilization is the share of
// its CPU that the gateway used in this period, a number in [0, 1].
func (r *Router) Report(now, period time.Duration, cpuUtilization float64) *messages.LoadReport {
	report := &messages.LoadReport{PeriodMillis: period.Milliseconds(), Requests: r.requestCounts}
	if r.maintenanceEnabled {
		report.Status = r.gatewayStatus(now, period, cpuUtilization)
	}
	r.requestCounts = map[string]int{}
	report.KeyLoads = r.takeKeyLoads()
	for _, endpoint := range r.balancer.All() {
		if endpoint.Attempts == 0 && endpoint.Successes == 0 && endpoint.Failures == 0 {
			continue
		}
		report.Endpoints = append(report.Endpoints, endpointStats(endpoint))
		endpoint.ResetStats()
	}
	return report
}

func endpointStats(endpoint *loadbalancer.Endpoint) messages.EndpointStats {
	stats := messages.EndpointStats{
		Replica:  endpoint.ID,
		Attempts: endpoint.Successes + endpoint.Failures,
		Dropped:  endpoint.Failures,
		Running:  endpoint.Running,
		Waiting:  endpoint.Waiting,
		Slots:    endpoint.ReportedSlots,
	}
	if endpoint.Successes > 0 {
		stats.MeanLatencyMicros = (endpoint.TotalLatency / time.Duration(endpoint.Successes)).Microseconds()
	}
	return stats
}

// InitialReport returns the instances that this gateway knows, for a member that may have lost its state. It is sent at the
// start of a stream. It includes warm-up states; otherwise a member that learns of an instance only from this gateway would
// treat it as warm until its next heartbeat.
func (r *Router) InitialReport(now time.Duration) *messages.LoadReport {
	report := &messages.LoadReport{Sequence: r.sequence}
	for _, endpoint := range r.balancer.All() {
		instance := endpoint.Instance(now)
		instance.Stale = instance.Stale || r.gapBeforeStream > staleAfter
		report.Instances = append(report.Instances, instance)
	}
	return report
}
