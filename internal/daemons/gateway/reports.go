package gateway

import (
	"syscall"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/messages"
)

// ReportInterval is the interval of load reports to the control plane.
const ReportInterval = time.Second

// minReportPeriod is the smallest period that cpuUsage divides by.
const minReportPeriod = 0.001 // seconds

// sendReports sends periodic load reports, and urgent observations immediately, until done is closed.
func (s *controlStream) sendReports(done <-chan struct{}) {
	g := s.gateway
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	reportedAt := time.Now()
	for {
		select {
		case <-done:
			return
		case observation := <-g.observations:
			s.send(&peertransport.Frame{LoadReport: &messages.LoadReport{Observations: []fleet.Observation{observation}}})
		case endpoint := <-g.misdirected:
			g.pool.CloseIdle(endpoint)
			s.send(&peertransport.Frame{LoadReport: &messages.LoadReport{Deregistered: []string{endpoint}}})
		case <-ticker.C:
			s.send(&peertransport.Frame{LoadReport: g.loadReport(time.Since(reportedAt))})
			reportedAt = time.Now()
		}
	}
}

// initialReport returns the first report of a stream.
func (g *Gateway) initialReport() *messages.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.InitialReport(g.now())
}

// loadReport returns the report for the period since the last one.
func (g *Gateway) loadReport(period time.Duration) *messages.LoadReport {
	usage := g.cpuUsage(period)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Report(g.now(), period, usage)
}

// cpuUsage returns the share of the configured CPU cores used over the period since the last call, or 0 if the system call
// fails.
func (g *Gateway) cpuUsage(period time.Duration) float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	share := (used - g.cpuTime).Seconds() / max(period.Seconds(), minReportPeriod) / g.settings.CPUCores
	g.cpuTime = used
	return share
}
