package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/telemetry"
)

const millisPerSecond = 1000

// gatewayMetrics are the gateway's own metrics. Counters updated for every request are fields; other events are counted in
// eventCounters.
type gatewayMetrics struct {
	set      *metrics.Set
	answered *metrics.Counter // requests answered with a replica's response
	rejected *metrics.Counter // requests that reached no replica, or were confirmed not executed
	failed   *metrics.Counter // requests that may have been executed, or whose client disconnected
	attempts *metrics.Counter
	services *serviceCounters
}

func newGatewayMetrics(set *metrics.Set, g *Gateway) *gatewayMetrics {
	for _, conns := range []*connlimit.Limiter{g.frontConns, g.readinessConns, g.metricsConns} {
		set.RegisterMetricsWriter(conns.WriteMetrics)
	}
	gauge := func(name string, read func() float64) { set.NewGauge(name, read) }
	gauge("zincloft_gateway_ready", func() float64 { return telemetry.BoolGauge(g.isReady()) })
	gauge("zincloft_gateway_stopping", func() float64 { return telemetry.BoolGauge(g.stopping.Load()) })
	gauge("zincloft_gateway_body_bytes", func() float64 { return float64(g.bodyBudget.Used()) })
	gauge("zincloft_gateway_head_bytes", func() float64 { return float64(g.headBudget.Used()) })
	gauge("zincloft_gateway_replica_connections", func() float64 { return float64(g.pool.OpenCount()) })
	gauge("zincloft_gateway_replica_connections_opened", func() float64 { return float64(g.pool.OpenedCount()) })
	gauge("zincloft_gateway_config_version", func() float64 {
		if config := g.config.Load(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	gauge("zincloft_gateway_config_applied_timestamp_seconds", func() float64 { return float64(g.configAppliedAt.Load()) / millisPerSecond })
	lockedGauge := func(name string, read func() float64) {
		set.NewGauge(name, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return read()
		})
	}
	lockedGauge("zincloft_gateway_requests_in_flight", func() float64 { return float64(g.router.InFlight()) })
	lockedGauge("zincloft_gateway_register_sequence", func() float64 { return float64(g.router.Sequence()) })
	lockedGauge("zincloft_gateway_table_update", func() float64 { return float64(g.router.UpdateCount()) })
	lockedGauge("zincloft_gateway_table_age_seconds", func() float64 { return (g.now() - g.router.LastUpdateAt()).Seconds() })
	lockedGauge("zincloft_gateway_endpoints", func() float64 { return float64(len(g.router.Balancer().All())) })
	outcomeCounter := func(name string) *metrics.Counter {
		return set.NewCounter(`zincloft_gateway_requests_total{outcome="` + name + `"}`)
	}
	return &gatewayMetrics{
		set:      set,
		answered: outcomeCounter("answered"),
		rejected: outcomeCounter("rejected"),
		failed:   outcomeCounter("failed"),
		attempts: set.NewCounter("zincloft_gateway_attempts_total"),
		services: newServiceCounters(set),
	}
}
