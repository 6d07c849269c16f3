package intake

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// reportedLoad is a replica's last load report and the time when it was made.
type reportedLoad struct {
	report          rules.LoadReport
	heardAt         rules.Time
	lastUtilization float64 // last delivered utilization; 1 before the first
	delivered       bool
}

// recordReport keeps the latest report of a replica's load.
func (a *Aggregator) recordReport(now rules.Time, age time.Duration, r *Record) {
	if r.Report.Utilization < 0 {
		return
	}
	at := now - rules.Time(age+max(r.ReportAge, 0))
	if l, ok := a.reports[r.Replica]; !ok || at > l.heardAt {
		if !ok {
			l.lastUtilization = 1
		}
		a.reports[r.Replica] = reportedLoad{report: r.Report, heardAt: at, lastUtilization: l.lastUtilization}
	}
}

// currentReport returns a replica's last report. A higher utilization applies at once, a lower one only in proportion to the
// report's age weight, so that a replica does not appear idle for lack of reports. Above MaxAge all values are Absent.
func (a *Aggregator) currentReport(now rules.Time, id rules.ReplicaID) rules.LoadReport {
	l, ok := a.reports[id]
	ageWeight := a.ageWeight(time.Duration(now - l.heardAt))
	if !ok || ageWeight == 0 {
		return rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	}
	out := l.report
	if out.Utilization < l.lastUtilization {
		out.Utilization = l.lastUtilization + ageWeight*(out.Utilization-l.lastUtilization)
	}
	if !l.delivered {
		l.lastUtilization, l.delivered = out.Utilization, true
		a.reports[id] = l
	}
	return out
}
