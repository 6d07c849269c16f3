package controlserver

import (
	"io"
	"time"

	metrics "github.com/VictoriaMetrics/metrics"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/telemetry"
)

// metricsTimeout limits how long a scrape waits for the goroutine of Run.
const metricsTimeout = time.Second

func (s *Server) newMetrics() *metrics.Set {
	set := telemetry.NewMetrics()
	set.RegisterMetricsWriter(s.writeMetrics)
	for _, conns := range []*connlimit.Limiter{s.callerConns, s.peerConns, s.metricsConns} {
		set.RegisterMetricsWriter(conns.WriteMetrics)
	}
	set.RegisterMetricsWriter(s.replicaCalls.WriteMetrics)
	return set
}

// writeMetrics writes the controller's metrics. If the goroutine of Run does not answer in time, it writes only
// zincloft_controlplane_responsive as 0, so that a blocked member can be detected.
func (s *Server) writeMetrics(w io.Writer) {
	type gauge struct {
		name  string
		value float64
	}
	type collected struct {
		gauges          []gauge
		deregistrations []controller.EvidenceCount
	}
	done := make(chan collected, 1)
	collect := func() {
		current := s.controller.Metrics(s.now())
		gauges := []gauge{
			{"zincloft_controlplane_quorum_contact", telemetry.BoolGauge(current.HasQuorumContact)},
			{"zincloft_controlplane_disk_healthy", telemetry.BoolGauge(current.DiskHealthy)},
			{"zincloft_controlplane_view_number", float64(current.ViewNumber)},
			{"zincloft_controlplane_chain_position", float64(current.ChainPosition)},
			{"zincloft_controlplane_voters", float64(current.Voters)},
			{"zincloft_controlplane_committed_sequence", float64(current.CommittedSequence)},
			{"zincloft_controlplane_config_version", float64(current.ConfigVersion)},
			{"zincloft_controlplane_evacuated_zones", float64(current.EvacuatedZones)},
			{"zincloft_controlplane_gateway_streams", float64(current.GatewayStreams)},
			{"zincloft_controlplane_instances", float64(current.Instances)},
			{"zincloft_controlplane_instances_draining", float64(current.DrainingInstances)},
			{"zincloft_controlplane_instances_timed_out", float64(current.TimedOutInstances)},
			{"zincloft_controlplane_instances_remembered", float64(current.TrackedInstances)},
			{"zincloft_controlplane_instances_limit", float64(current.TrackedInstancesLimit)},
			{"zincloft_controlplane_ownership_granting", telemetry.BoolGauge(current.Ownership.Granting)},
			{"zincloft_controlplane_ownership_ranges", float64(current.Ownership.Ranges)},
			{"zincloft_controlplane_ownership_releasing_keys", float64(current.Ownership.ReleasingKeys)},
			{"zincloft_controlplane_ownership_last_token", float64(current.Ownership.LastToken)},
			{"zincloft_controlplane_ownership_calls_in_flight", float64(current.Ownership.CallsInFlight)},
			{"zincloft_controlplane_call_body_bytes", float64(s.bodyBudget.Used())},
			{"zincloft_controlplane_pending_calls", float64(len(s.pendingCalls))},
		}
		done <- collected{gauges, current.Deregistrations}
	}
	select {
	case s.tasks <- collect:
	case <-time.After(metricsTimeout):
	}
	select {
	case current := <-done:
		metrics.WriteGaugeFloat64(w, "zincloft_controlplane_responsive", 1)
		for _, gauge := range current.gauges {
			metrics.WriteGaugeFloat64(w, gauge.name, gauge.value)
		}
		for _, count := range current.deregistrations {
			metrics.WriteCounterUint64(w, `zincloft_controlplane_deregistrations_total{evidence="`+string(count.Evidence)+`"}`, count.Count)
		}
	case <-time.After(metricsTimeout):
		metrics.WriteGaugeFloat64(w, "zincloft_controlplane_responsive", 0)
	}
}
