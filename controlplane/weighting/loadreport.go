package weighting

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/messages"
	"zincloft.example/zincloft/rules"
)

// RecordReport records a gateway's load report, which is passed to the governors at the next tick. The report also acknowledges that the gateway
// has applied all earlier updates.
func (m *Manager) RecordReport(now time.Duration, gateway string, report *messages.LoadReport) {
	proxy, ok := m.proxyIDs[gateway]
	if !ok || report.PeriodMillis <= 0 {
		return
	}
	for name, service := range m.services {
		service.recordReport(now, m.joined[gateway].Zone, proxy, name, report)
	}
}

// recordReport records the part of a load report that concerns one service.
func (s *service) recordReport(now time.Duration, zone rules.ZoneID, proxy rules.ProxyID, name string, report *messages.LoadReport) {
	period := time.Duration(report.PeriodMillis) * time.Millisecond
	s.pendingEvents = append(s.pendingEvents, rules.Applied{Proxy: proxy, Version: s.publishedVersion})
	if requests := report.Requests[name]; requests > 0 {
		s.pendingEvents = append(s.pendingEvents, rules.GroupTraffic{Proxy: proxy, Flows: requests, Window: period})
	}
	batch := &intake.Batch{Proxy: proxy, Window: period, ReceivedAt: governorTime(now)}
	for _, stats := range report.Endpoints {
		id, ok := s.replicaIDs[stats.Replica]
		if !ok || stats.Attempts <= 0 {
			continue
		}
		record := endpointRecord(id, stats)
		s.pendingEvents = append(s.pendingEvents, rules.EndpointStats{
			Replica:     id,
			Zone:        zone,
			Attempts:    record.Attempts,
			Dropped:     record.Dropped,
			MeanLatency: record.MeanLatency,
			Window:      period,
			Report:      record.Report,
		})
		batch.Records = append(batch.Records, record)
	}
	if len(batch.Records) > 0 {
		s.intake.AddBatch(governorTime(now), batch)
	}
}

// endpointRecord converts a gateway's statistics of one replica. Load values that the replica does not report are set to rules.Absent.
func endpointRecord(id rules.ReplicaID, stats messages.EndpointStats) intake.Record {
	load := rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	if stats.Slots > 0 {
		load.Utilization = min(float64(stats.Running)/float64(stats.Slots), 1)
		load.InFlight = float64(stats.Running + stats.Waiting)
	}
	return intake.Record{
		Replica:     id,
		Attempts:    stats.Attempts,
		Dropped:     min(stats.Dropped, stats.Attempts),
		MeanLatency: time.Duration(stats.MeanLatencyMicros) * time.Microsecond,
		Report:      load,
	}
}
