package rules

// zoneRounds tracks the reporting rounds of a zone's collector. A round ends when the collector reports a replica that it has
// already reported in that round.
type zoneRounds struct {
	round, reported, reportedBefore int  // number of the round; replicas reported in it and in the previous one
	startedAt, lastStatsAt          Time // start of the round; its latest statistics
}

// complete reports whether the zone has reported about as many replicas as in the previous round.
func (z *zoneRounds) complete() bool {
	return float64(z.reported) >= completeRoundShare*float64(z.reportedBefore)
}

// trackRound records that a zone has reported a replica. Duplicate reports from two collectors of a zone, and reports that
// arrive together after a stall, count as one round.
func (g *Governor) trackRound(now Time, r *replica, id ZoneID) {
	if int(id) >= len(g.zones) {
		return
	}
	z := &g.zones[id]
	if r.lastRounds[id] == z.round && (z.round == 0 || now-z.startedAt >= Time(float64(g.cfg.period)*minRoundPeriods)) {
		z.round, z.reportedBefore, z.reported, z.startedAt = z.round+1, z.reported, 0, now
	}
	if z.lastStatsAt = now; r.lastRounds[id] != z.round {
		r.lastRounds[id], z.reported = z.round, z.reported+1
	}
}
