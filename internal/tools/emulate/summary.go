package emulate

import (
	"bytes"
	"fmt"
	"io"
)

// summaryInterval is the number of seconds per line of a summary.
const summaryInterval = 5

// WriteSummary writes a human-readable summary: metrics of the run, violations, one line per five seconds, and the fault log.
func (r *Result) WriteSummary(out io.Writer) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "service %.4f  worst ten seconds %.4f  median %v  99th percentile %v  crossing zones %.3f\n",
		r.ServiceLevel, r.WorstServiceLevel, r.P50, r.P99, r.CrossZoneShare)
	for outcome, n := range r.Outcomes {
		fmt.Fprintf(&text, "%s %d  ", FlowOutcome(outcome), n)
	}
	fmt.Fprintf(&text, "(%d events)\n", r.EventCount)
	if len(r.Violations) == 0 {
		fmt.Fprintln(&text, "rules kept")
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(&text, "RULE BROKEN at %.2f s: %s: %s\n", violation.At, violation.Invariant, violation.Detail)
	}
	fmt.Fprintf(&text, "%5s %8s %8s %6s %8s %8s %7s %6s %6s %6s %7s %5s\n",
		"from", "offered", "in time", "late", "blocked", "dropped", "tries", "bad", "cold", "load", "waiting", "warm")
	for from := 0; from < len(r.Seconds); from += summaryInterval {
		s := aggregate(r.Seconds[from:min(from+summaryInterval, len(r.Seconds))])
		fmt.Fprintf(&text, "%5d %8d %8d %6d %8d %8d %7d %6d %6d %6.2f %7.2f %5d\n", from, s.Offered, s.InTime, s.Late, s.Rejected, s.Dropped,
			s.Attempts, s.FailedAttempts, s.WarmupAttempts, s.Utilization, s.ChannelFill, s.WarmReplicas)
	}
	for _, entry := range r.FaultLog {
		fmt.Fprintf(&text, "%7.2f s  %s\n", entry.At, entry.Text)
	}
	if _, err := out.Write(text.Bytes()); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// aggregate combines seconds into one line of a summary: the sum of the counts, the mean utilization, the highest channel fill
// and the final number of warm replicas.
func aggregate(seconds []Second) Second {
	var total Second
	for _, second := range seconds {
		total.Offered += second.Offered
		total.InTime += second.InTime
		total.Late += second.Late
		total.Rejected += second.Rejected
		total.Dropped += second.Dropped
		total.Attempts += second.Attempts
		total.FailedAttempts += second.FailedAttempts
		total.WarmupAttempts += second.WarmupAttempts
		total.Utilization += second.Utilization / float64(len(seconds))
		total.ChannelFill = max(total.ChannelFill, second.ChannelFill)
		total.WarmReplicas = second.WarmReplicas
	}
	return total
}
