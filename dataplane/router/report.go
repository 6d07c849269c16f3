package router

import (
	"time"

	"zincloft.example/zincloft/dataplane/loadbalancer"
	"zincloft.example/zincloft/messages"
)

// staleAfter is how long a gateway that heard no member trusts what it knows of instances enough to report it as fresh.
const staleAfter = 3 * time.Second

// Report returns what was observed since the last report, a period ago, and resets it. busy is how busy the gateway was
// meanwhile, from 0 to 1.
func (r *Router) Report(now, period time.Duration, busy float64) *messages.LoadReport {
	report := &messages.LoadReport{PeriodMillis: period.Milliseconds(), Requests: r.requestCounts}
	if r.maintenanceEnabled {
		report.Status = r.gatewayStatus(now, period, busy)
	}
	r.requestCounts = map[string]int{}
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

// InitialReport returns the report that a member gets at the beginning of a stream, as it may have lost it. That an instance is
// warming up is part of it: a member that knows of it by this gateway alone would else have all gateways take it for warm
// until its next heartbeat.
func (r *Router) InitialReport(now time.Duration) *messages.LoadReport {
	report := &messages.LoadReport{Sequence: r.sequence}
	for _, endpoint := range r.balancer.All() {
		instance := endpoint.Instance(now)
		instance.Stale = instance.Stale || r.silenceBeforeStream > staleAfter
		report.Instances = append(report.Instances, instance)
	}
	return report
}
