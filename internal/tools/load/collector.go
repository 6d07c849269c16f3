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
	// collectorOffset is the delay from the end of a period until its reports are written.
	collectorOffset = 230 * time.Millisecond
	// collectorChunks is the number of chunks in which a collector writes its reports, with pauses between them.
	collectorChunks = 8
	// attemptsPerInFlight is the number of attempts per second for each attempt in flight, by Little's law with a latency of 50 ms.
	attemptsPerInFlight = 20
	defaultUtilization  = "0.50"
	fastUtilization     = "0.25"
	reportWindow        = "1000.0" // milliseconds
	meanLatency         = "50.0"   // milliseconds
)

// collect writes the reports of a zone's proxies every second until traffic is stopped or the connection fails.
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

// takeReports returns the reports on a zone's replicas for the current period and resets the counters.
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
		fields := []string{"upstream_stats", "az", zoneName(zone), "host", replicaName(id), "n", strconv.Itoa(attempts), "bad", strconv.Itoa(failures), "window", reportWindow}
		if failures < attempts {
			fields = append(fields, "avg", meanLatency, "report", s.loadReport(id, attempts))
		}
		reports = append(reports, resp.Append(nil, fields...))
		stats.attempts[id], stats.failures[id] = 0, 0
	}
	return reports
}

// loadReport returns the load that a replica reports.
func (s *site) loadReport(replica, attempts int) string {
	utilization := defaultUtilization
	if s.plan.FastReplicas && isFast(replica) {
		utilization = fastUtilization
	}
	return fmt.Sprintf("inflight:%d,util:%s", 1+attempts/attemptsPerInFlight, utilization)
}

// writePaced writes reports spread over the plan's CollectorWriteTime.
func (s *site) writePaced(conn net.Conn, reports [][]byte) error {
	chunk := 1 + len(reports)/collectorChunks
	for i, report := range reports {
		if _, err := conn.Write(report); err != nil {
			return err
		}
		if s.plan.CollectorWriteTime > 0 && i%chunk == chunk-1 {
			time.Sleep(s.plan.CollectorWriteTime / collectorChunks)
		}
	}
	return nil
}
