package controlserver

import (
	"io"
	"time"

	metrics "github.com/VictoriaMetrics/metrics"

	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/telemetry"
)

// metricsTimeout bounds how long the reader of the figures waits for the goroutine of Run, which has them.
const metricsTimeout = time.Second

// newMetrics makes the member's set of figures.
func (s *Server) newMetrics() *metrics.Set {
	set := telemetry.NewMetrics()
	set.RegisterMetricsWriter(s.writeMetrics)
	for _, conns := range []*connlimit.Limiter{s.callerConns, s.peerConns, s.metricsConns} {
		set.RegisterMetricsWriter(conns.WriteMetrics)
	}
	return set
}

// writeMetrics writes what the controller knows. Where the goroutine of Run doesn't answer in time, only that is written: a member that is
// stuck is to be seen as such.
func (s *Server) writeMetrics(w io.Writer) {
	type reading struct {
		name  string
		value float64
	}
	done := make(chan []reading, 1)
	read := func() {
		figures := s.controller.Metrics(s.now())
		done <- []reading{
			{"zincloft_controlplane_quorum_contact", telemetry.BoolGauge(figures.HasQuorumContact)},
			{"zincloft_controlplane_disk_healthy", telemetry.BoolGauge(figures.DiskHealthy)},
			{"zincloft_controlplane_view_number", float64(figures.ViewNumber)},
			{"zincloft_controlplane_chain_position", float64(figures.ChainPosition)},
			{"zincloft_controlplane_voters", float64(figures.Voters)},
			{"zincloft_controlplane_committed_sequence", float64(figures.CommittedSequence)},
			{"zincloft_controlplane_config_version", float64(figures.ConfigVersion)},
			{"zincloft_controlplane_evacuated_zones", float64(figures.EvacuatedZones)},
			{"zincloft_controlplane_gateway_streams", float64(figures.GatewayStreams)},
			{"zincloft_controlplane_instances", float64(figures.Instances)},
			{"zincloft_controlplane_instances_draining", float64(figures.DrainingInstances)},
			{"zincloft_controlplane_instances_timed_out", float64(figures.TimedOutInstances)},
			{"zincloft_controlplane_instances_remembered", float64(figures.TrackedInstances)},
			{"zincloft_controlplane_instances_limit", float64(figures.TrackedInstancesLimit)},
			{"zincloft_controlplane_call_body_bytes", float64(s.bodyBudget.Used())},
			{"zincloft_controlplane_pending_calls", float64(len(s.pendingCalls))},
		}
	}
	select {
	case s.tasks <- read:
	case <-time.After(metricsTimeout):
	}
	select {
	case readings := <-done:
		metrics.WriteGaugeFloat64(w, "zincloft_controlplane_responsive", 1)
		for _, reading := range readings {
			metrics.WriteGaugeFloat64(w, reading.name, reading.value)
		}
	case <-time.After(metricsTimeout):
		metrics.WriteGaugeFloat64(w, "zincloft_controlplane_responsive", 0)
	}
}
