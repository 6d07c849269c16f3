package rules

// zoneRounds tracks what a zone's collector has passed on. A round ends when the collector reports a replica again that it has
// already reported in that round.
type zoneRounds struct {
	round, reported, reportedBefore int  // rounds so far; replicas reported in this one and in the one before
	startedAt, lastStatsAt          Time // start of this round; its latest statistics
}

// complete reports whether a zone has reported about as many replicas as in the round before.
func (z *zoneRounds) complete() bool {
	return float64(z.reported) >= completeRoundShare*float64(z.reportedBefore)
}

// trackRound records that a zone has reported a replica. Reports of two collectors of a zone on the same time, or of one
// after a stall, count as one round.
func (g *Governor) trackRound(now Time, r *replica, id ZoneID) {
	if int(id) >= len(g.zones) {
		return
	}
	z := &g.zones[id]
	if r.rounds[id] == z.round && (z.round == 0 || now-z.startedAt >= Time(float64(g.cfg.period)*minRoundPeriods)) {
		z.round, z.reportedBefore, z.reported, z.startedAt = z.round+1, z.reported, 0, now
	}
	if z.lastStatsAt = now; r.rounds[id] != z.round {
		r.rounds[id], z.reported = z.round, z.reported+1
	}
}
