package load

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"zincloft.example/zincloft/internal/governor/resp"
)

const (
	reportPeriod = time.Second
	// collectorOffset is how long after the end of a period its reports are written.
	collectorOffset = 230 * time.Millisecond
	// collectorChunks is in how many parts a collector writes its reports, with pauses between them.
	collectorChunks = 8
	// attemptsPerInFlight derives the attempts in flight from those of a second, by Little's law with answers after 50 ms.
	attemptsPerInFlight = 20
	defaultUtilization  = "0.50"
	fastUtilization     = "0.25"
	reportWindow        = "1000.0" // milliseconds
	meanLatency         = "50.0"   // milliseconds
)

// collect writes the reports of a zone's proxies each second, until traffic has to end or the governor has gone.
func (s *site) collect(ctx context.Context, zone int) {
	conn, err := dial(ctx, s.address)
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	if _, err := conn.Write(resp.Append(nil, "telemetry", "az", zoneName(zone))); err != nil {
		return
	}
	offset := time.Duration(zone)*s.plan.CollectorPhase + collectorOffset
	if zone == s.plan.Zones-1 {
		offset += s.plan.LastCollectorDelay
	}
	for period := 1; s.wait(ctx, time.Duration(period)*reportPeriod+offset); period++ {
		if s.writePaced(conn, s.takeReports(zone)) != nil {
			return
		}
	}
}

// takeReports makes the reports of a zone's replicas, and starts their next period.
func (s *site) takeReports(zone int) [][]byte {
	stats := &s.zoneStats[zone]
	stats.mu.Lock()
	defer stats.mu.Unlock()
	var reports [][]byte
	for id, attempts := range stats.attempts {
		failures := stats.failures[id]
		if attempts == 0 {
			continue
		}
		words := []string{"upstream_stats", "az", zoneName(zone), "host", replicaName(id), "n", strconv.Itoa(attempts), "bad", strconv.Itoa(failures), "window", reportWindow}
		if failures < attempts {
			words = append(words, "avg", meanLatency, "report", s.loadReport(id, attempts))
		}
		reports = append(reports, resp.Append(nil, words...))
		stats.attempts[id], stats.failures[id] = 0, 0
	}
	return reports
}

// loadReport is what a replica reports of itself.
func (s *site) loadReport(replica, attempts int) string {
	utilization := defaultUtilization
	if s.plan.FastReplicas && isFast(replica) {
		utilization = fastUtilization
	}
	return fmt.Sprintf("inflight:%d,util:%s", 1+attempts/attemptsPerInFlight, utilization)
}

// writePaced writes reports over the time that the plan gives a collector.
func (s *site) writePaced(conn net.Conn, reports [][]byte) error {
	part := 1 + len(reports)/collectorChunks
	for i, report := range reports {
		if _, err := conn.Write(report); err != nil {
			return err
		}
		if s.plan.CollectorWriteTime > 0 && i%part == part-1 {
			time.Sleep(s.plan.CollectorWriteTime / collectorChunks)
		}
	}
	return nil
}
