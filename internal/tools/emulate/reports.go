package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// deliveryInterval is the interval of report deliveries to a governor.
const deliveryInterval = 50 * time.Millisecond

// attemptStats aggregates attempts at one replica.
type attemptStats struct {
	attempts     int
	failures     int
	totalLatency time.Duration    // of successful attempts
	report       rules.LoadReport // the replica's latest load report
	hasReport    bool
}

func (s *attemptStats) add(t *attempt, outcome attemptOutcome, now rules.Time) {
	s.attempts++
	if outcome != succeeded {
		s.failures++
		return
	}
	s.totalLatency += time.Duration(now - t.sentAt)
	if t.replica.hasReport {
		s.report, s.hasReport = t.replica.report, true
	}
}

// meanLatency returns the mean latency of successful attempts, or 0 if there are none.
func (s *attemptStats) meanLatency() time.Duration {
	if n := s.attempts - s.failures; n > 0 {
		return s.totalLatency / time.Duration(n)
	}
	return 0
}

// loadReport returns the replica's latest load report, with all values absent if there is none.
func (s *attemptStats) loadReport() rules.LoadReport {
	if s.hasReport {
		return s.report
	}
	return rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
}

// groupUsage counts flows of a traffic group at a proxy since the last collection.
type groupUsage struct {
	arrived  int
	unserved int // admitted, but without a successful response
}

// recordAttempt adds an attempt to the statistics of the proxy's zone and, if proxies send reports, to those of the proxy.
func (g *governor) recordAttempt(p *proxy, t *attempt, outcome attemptOutcome) {
	id := t.replica.id
	if g.zoneStats[p.zone] == nil {
		g.zoneStats[p.zone] = make([]attemptStats, 0, len(g.sim.replicas))
	}
	for len(g.zoneStats[p.zone]) <= int(id) {
		g.zoneStats[p.zone] = append(g.zoneStats[p.zone], attemptStats{})
	}
	g.zoneStats[p.zone][id].add(t, outcome, g.sim.now)
	session := g.sessions[p.id]
	if g.intake == nil || session == nil {
		return
	}
	if session.replicaStats[id] == nil {
		session.replicaStats[id] = &attemptStats{}
	}
	session.replicaStats[id].add(t, outcome, g.sim.now)
}

// scheduleCollection collects the reports of a zone in each period and queues them after the report delay.
func (g *governor) scheduleCollection(zone, incarnation int) {
	sim := g.sim
	sim.schedule(sim.fleet.ReportPeriod, func() {
		if g.incarnation != incarnation {
			return
		}
		g.scheduleCollection(zone, incarnation)
		batch := append(g.collectStats(zone), g.collectUsage(zone)...)
		sim.randomStream.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		sim.schedule(sim.uniform(sim.fleet.MaxReportDelay/2, sim.fleet.MaxReportDelay)+g.reportDelay, func() {
			if g.incarnation == incarnation {
				g.enqueueReports(zone, batch)
			}
		})
	})
}

// collectStats collects and resets the replica statistics of a zone for the period that ends now.
func (g *governor) collectStats(zone int) []queuedReport {
	since := g.sim.now - rules.Time(g.sim.fleet.ReportPeriod)
	var batch []queuedReport
	for id := range g.zoneStats[zone] {
		stats := &g.zoneStats[zone][id]
		if stats.attempts == 0 {
			continue
		}
		batch = append(batch, queuedReport{replicaKey(id), rules.EndpointStats{
			Replica:     rules.ReplicaID(id),
			Zone:        rules.ZoneID(zone),
			Attempts:    stats.attempts,
			Dropped:     stats.failures,
			MeanLatency: stats.meanLatency(),
			Report:      stats.loadReport(),
		}, since})
		*stats = attemptStats{}
	}
	return batch
}

// collectUsage collects and resets the flow counts of a zone's proxies for the period that ends now.
func (g *governor) collectUsage(zone int) []queuedReport {
	since := g.sim.now - rules.Time(g.sim.fleet.ReportPeriod)
	var batch []queuedReport
	for _, session := range g.sessionOrder {
		p := session.proxy
		if p.zone != zone {
			continue
		}
		for group, usage := range p.usage {
			if usage.arrived == 0 {
				continue
			}
			batch = append(batch, queuedReport{usageKey(p.id, group), rules.GroupTraffic{
				Proxy:   p.id,
				Group:   rules.GroupID(group),
				Flows:   usage.arrived,
				Dropped: usage.unserved,
			}, since})
			p.usage[group] = groupUsage{}
		}
	}
	return batch
}

// enqueueReports queues the reports of a batch that are not lost to faults.
func (g *governor) enqueueReports(zone int, batch []queuedReport) {
	for _, r := range batch {
		if g.reportLoss == 0 || g.sim.randomStream.Float64() >= g.reportLoss {
			g.reportQueues[zone].add(r)
		}
	}
}

// scheduleDelivery delivers reports periodically, up to the fleet's rate limit.
func (g *governor) scheduleDelivery(incarnation int) {
	g.sim.schedule(deliveryInterval, func() {
		if g.incarnation != incarnation {
			return
		}
		g.scheduleDelivery(incarnation)
		budget := int(1e9)
		if rate := g.sim.fleet.MaxReportsPerSecond; rate > 0 {
			budget = int(rate * deliveryInterval.Seconds())
		}
		for budget > 0 {
			report, queued := g.nextReport()
			if !queued {
				return
			}
			if g.deliver(report) {
				budget--
			}
		}
	})
}

// nextReport removes and returns the oldest report of all zones.
func (g *governor) nextReport() (report queuedReport, queued bool) {
	var oldest *reportQueue
	for zone := range g.reportQueues {
		q := &g.reportQueues[zone]
		if len(q.pending) > 0 && (oldest == nil || q.pending[0].since < oldest.pending[0].since) {
			oldest = q
		}
	}
	if oldest == nil {
		return queuedReport{}, false
	}
	return oldest.remove(), true
}

// deliver posts a report with the window that it covers. It returns false if the intake already has the data from proxy reports;
// such reports do not count against the rate limit.
func (g *governor) deliver(report queuedReport) bool {
	sim, period := g.sim, g.sim.fleet.ReportPeriod
	age := time.Duration(sim.now-report.since) / period * period
	covered := max(age-period, period)
	switch e := report.event.(type) {
	case rules.EndpointStats:
		e.Window = covered
		if g.intake != nil {
			remaining, counts := g.intake.AdjustStats(sim.now, sim.now, e)
			if !counts {
				return false
			}
			e = remaining
		}
		g.post(e)
	case rules.GroupTraffic:
		e.Window = covered
		g.post(e)
	}
	return true
}
