package emulate

import (
	"maps"
	"slices"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Limits of a simulated intake. The daemon derives its limits from the machine.
const (
	intakeBudget   = 20_000
	intakeMaxPairs = 2_000
)

func newIntake(sim *Simulation) *intake.Aggregator {
	period := sim.fleet.ReportPeriod
	return intake.New(intake.Settings{Seed: sim.config.Seed, Period: period, Budget: intakeBudget, HalfLife: 2 * period, MaxAge: 10 * period,
		MaxPairs: intakeMaxPairs, Zones: sim.fleet.Zones})
}

// scheduleProxyReport makes a proxy report its attempt statistics per replica in each period.
func (g *governor) scheduleProxyReport(session *proxySession, incarnation int) {
	sim, period := g.sim, g.sim.fleet.ReportPeriod
	sim.schedule(sim.uniform(period*9/10, period*11/10), func() {
		if g.incarnation != incarnation || g.sessions[session.proxy.id] != session {
			return
		}
		g.scheduleProxyReport(session, incarnation)
		batch := intake.NewBatch()
		session.batchSequence++
		batch.Proxy, batch.Sequence, batch.Window = session.proxy.id, session.batchSequence, period
		for _, id := range slices.Sorted(maps.Keys(session.replicaStats)) {
			batch.Records = append(batch.Records, attemptRecord(id, session.replicaStats[id]))
		}
		clear(session.replicaStats)
		sim.schedule(sim.fleet.LocalDelay, func() {
			batch.ReceivedAt = sim.now
			if g.incarnation == incarnation && len(batch.Records) > 0 {
				g.intake.AddBatch(sim.now, batch)
			}
			batch.Free()
		})
	})
}

func attemptRecord(id rules.ReplicaID, stats *attemptStats) intake.Record {
	return intake.Record{
		Replica:     id,
		Attempts:    stats.attempts,
		Dropped:     stats.failures,
		MeanLatency: stats.meanLatency(),
		Report:      stats.loadReport(),
	}
}

// scheduleIntakeFlush posts the aggregated reports of the intake when they are due.
func (g *governor) scheduleIntakeFlush(incarnation int) {
	g.sim.schedule(deliveryInterval, func() {
		if g.incarnation != incarnation {
			return
		}
		g.scheduleIntakeFlush(incarnation)
		if !g.intake.FlushDue(g.sim.now) {
			return
		}
		for _, e := range g.intake.Flush(g.sim.now) {
			g.post(e)
		}
	})
}
