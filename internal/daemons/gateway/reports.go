package gateway

import (
	"syscall"
	"time"

	"zincloft.example/zincloft/fleet"
	"zincloft.example/zincloft/internal/daemons/peertransport"
	"zincloft.example/zincloft/messages"
)

// ReportInterval is the time between two load reports to the control plane.
const ReportInterval = time.Second

// minReportPeriod bounds the division by a report's period.
const minReportPeriod = 0.001 // seconds

// sendReports sends load reports, and at once what cannot wait for the next one, until done is closed.
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

// initialReport is the report that a member gets at the beginning of a stream.
func (g *Gateway) initialReport() *messages.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.InitialReport(g.now())
}

// loadReport is what was observed since the last report, a period ago.
func (g *Gateway) loadReport(period time.Duration) *messages.LoadReport {
	busy := g.cpuUsage(period)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.router.Report(g.now(), period, busy)
}

// cpuUsage is the part of its processor cores that the process used since the last call, a period ago; 0 where the
// system does not say.
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
