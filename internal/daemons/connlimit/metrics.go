package connlimit

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// WriteMetrics writes the listener's metrics in the Prometheus text exposition format.
func (l *Limiter) WriteMetrics(w io.Writer) {
	label := fmt.Sprintf("{listener=%q}", l.name)
	metrics.WriteGaugeUint64(w, "zincloft_connections"+label, uint64(l.OpenCount()))
	metrics.WriteGaugeUint64(w, "zincloft_connections_used"+label, uint64(max(l.used.Load(), 0)))
	metrics.WriteGaugeUint64(w, "zincloft_connections_limit"+label, uint64(l.limit))
	metrics.WriteCounterUint64(w, "zincloft_accept_waits_total"+label, l.acceptWaits.Load())
	metrics.WriteCounterUint64(w, "zincloft_accept_errors_total"+label, l.acceptErrors.Load())
	for rule := range ruleCount {
		name := fmt.Sprintf("zincloft_connections_reclaimed_total{listener=%q,rule=%q}", l.name, rule.String())
		metrics.WriteCounterUint64(w, name, l.Reclaimed(rule))
	}
}
