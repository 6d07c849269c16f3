package scalerun

import (
	"time"

	"zincloft.example/zincloft/controlplane/registry"
	"zincloft.example/zincloft/messages"
)

// Load that a synthetic gateway reports of each replica.
const (
	syntheticLatencyMicros = 200000
	syntheticRunning       = 2
)

// RequestLoad is the load that a synthetic gateway makes up: requests a second, each to a random replica of its zone.
type RequestLoad struct {
	PerSecond float64
	Random    func() float64 // of [0, 1)
}

// LoadReport returns what a gateway with such a load reports, as dataplane/router makes it.
func (l RequestLoad) LoadReport(instances []registry.Instance, period time.Duration) *messages.LoadReport {
	report := &messages.LoadReport{PeriodMillis: period.Milliseconds(), Requests: map[string]int{}}
	if len(instances) == 0 {
		return report
	}
	endpoints := map[string]int{} // index in report.Endpoints by instance ID
	for range int(l.PerSecond*period.Seconds() + l.Random()) {
		i := int(l.Random() * float64(len(instances)))
		instance := instances[i%len(instances)]
		report.Requests[instance.Service]++
		if known, ok := endpoints[instance.ID]; ok {
			report.Endpoints[known].Attempts++
			continue
		}
		endpoints[instance.ID] = len(report.Endpoints)
		report.Endpoints = append(report.Endpoints, messages.EndpointStats{
			Replica:           instance.ID,
			Attempts:          1,
			MeanLatencyMicros: syntheticLatencyMicros,
			Running:           syntheticRunning,
			Slots:             instance.Slots,
		})
	}
	return report
}
