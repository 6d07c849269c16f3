package intake

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// reportedLoad is a replica's last load report, and the time from which it holds.
type reportedLoad struct {
	report          rules.LoadReport
	heardAt         rules.Time
	lastUtilization float64 // utilization as last delivered; 1 before the first
	delivered       bool
}

// recordReport keeps the latest report of a replica's load.
func (in *Aggregator) recordReport(now rules.Time, age time.Duration, r *Record) {
	if r.Report.Utilization < 0 {
		return
	}
	at := now - rules.Time(age+max(r.ReportAge, 0))
	if l, ok := in.reports[r.Replica]; !ok || at > l.heardAt {
		if !ok {
			l.lastUtilization = 1
		}
		in.reports[r.Replica] = reportedLoad{report: r.Report, heardAt: at, lastUtilization: l.lastUtilization}
	}
}

// currentReport returns a replica's last report as of now. An old report may raise the utilization at once, but lower it
// only in part: else a replica would look idle because nothing has come since. Past MaxAge all values are Absent.
func (in *Aggregator) currentReport(now rules.Time, id rules.ReplicaID) rules.LoadReport {
	l, ok := in.reports[id]
	trust := in.ageWeight(time.Duration(now - l.heardAt))
	if !ok || trust == 0 {
		return rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	}
	out := l.report
	if out.Utilization < l.lastUtilization {
		out.Utilization = l.lastUtilization + trust*(out.Utilization-l.lastUtilization)
	}
	if !l.delivered {
		l.lastUtilization, l.delivered = out.Utilization, true
		in.reports[id] = l
	}
	return out
}
