package connlimit

import (
	"fmt"
	"io"

	figures "github.com/VictoriaMetrics/metrics"
)

// WriteMetrics writes the listener's figures in the text exposition format.
func (l *Limiter) WriteMetrics(w io.Writer) {
	label := fmt.Sprintf("{listener=%q}", l.name)
	figures.WriteGaugeUint64(w, "zincloft_connections"+label, uint64(l.OpenCount()))
	figures.WriteGaugeUint64(w, "zincloft_connections_used"+label, uint64(max(l.used.Load(), 0)))
	figures.WriteGaugeUint64(w, "zincloft_connections_limit"+label, uint64(l.limit))
	figures.WriteCounterUint64(w, "zincloft_accept_waits_total"+label, l.acceptWaits.Load())
	figures.WriteCounterUint64(w, "zincloft_accept_errors_total"+label, l.acceptErrors.Load())
	for rule := range ruleCount {
		name := fmt.Sprintf("zincloft_connections_reclaimed_total{listener=%q,rule=%q}", l.name, rule.String())
		figures.WriteCounterUint64(w, name, l.Reclaimed(rule))
	}
}
