package gateway

import (
	figures "github.com/VictoriaMetrics/metrics"

	"zincloft.example/zincloft/internal/daemons/connlimit"
	"zincloft.example/zincloft/internal/daemons/telemetry"
)

// gatewayMetrics are the figures that the gateway tells of itself. What is counted on the way of every request has a counter here;
// rarer events are in eventCounters.
type gatewayMetrics struct {
	set      *figures.Set
	answered *figures.Counter // requests whose client got a replica's response
	rejected *figures.Counter // requests that reached no replica, or were proven not executed
	failed   *figures.Counter // requests that may have executed, or whose client left
	attempts *figures.Counter
}

func newGatewayMetrics(set *figures.Set, g *Gateway) *gatewayMetrics {
	for _, conns := range []*connlimit.Limiter{g.frontConns, g.readinessConns, g.metricsConns} {
		set.RegisterMetricsWriter(conns.WriteMetrics)
	}
	figure := func(name string, read func() float64) { set.NewGauge(name, read) }
	figure("zincloft_gateway_ready", func() float64 { return telemetry.BoolGauge(g.isReady()) })
	figure("zincloft_gateway_stopping", func() float64 { return telemetry.BoolGauge(g.stopping.Load()) })
	figure("zincloft_gateway_body_bytes", func() float64 { return float64(g.bodyBudget.Used()) })
	figure("zincloft_gateway_head_bytes", func() float64 { return float64(g.headBudget.Used()) })
	figure("zincloft_gateway_replica_connections", func() float64 { return float64(g.pool.OpenCount()) })
	figure("zincloft_gateway_replica_connections_opened", func() float64 { return float64(g.pool.OpenedCount()) })
	figure("zincloft_gateway_config_version", func() float64 {
		if config := g.config.Load(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	locked := func(name string, read func() float64) {
		set.NewGauge(name, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return read()
		})
	}
	locked("zincloft_gateway_requests_in_flight", func() float64 { return float64(g.router.InFlight()) })
	locked("zincloft_gateway_register_sequence", func() float64 { return float64(g.router.Sequence()) })
	locked("zincloft_gateway_table_update", func() float64 { return float64(g.router.UpdateCount()) })
	locked("zincloft_gateway_table_age_seconds", func() float64 { return (g.now() - g.router.LastUpdateAt()).Seconds() })
	locked("zincloft_gateway_endpoints", func() float64 { return float64(len(g.router.Balancer().All())) })
	outcome := func(name string) *figures.Counter {
		return set.NewCounter(`zincloft_gateway_requests_total{outcome="` + name + `"}`)
	}
	return &gatewayMetrics{
		set:      set,
		answered: outcome("answered"),
		rejected: outcome("rejected"),
		failed:   outcome("failed"),
		attempts: set.NewCounter("zincloft_gateway_attempts_total"),
	}
}
