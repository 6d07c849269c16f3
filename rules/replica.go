package rules

import (
	"math"
	"time"
)

// replica is the state of one replica.
type replica struct {
	id       ReplicaID
	zone     ZoneID
	kind     KindID
	state    State
	listed   float64 // listed weight
	started  Time
	listedIn int // list revision that last contained it

	newAttempts, newDrops, newLoad, newReports float64 // since the last review
	newInFlight, queueDelay                    float64 // reported flows in flight; seconds that it needs to answer them
	newLatency, latency                        float64 // total seconds of successful attempts: since the last review, over the speed window
	newWindow                                  time.Duration
	lastStatsAt                                Time  // last review with statistics of it
	lastRounds                                 []int // by zone, last round with statistics of it; 0: none

	cold         bool    // may have been warming up when weights were last computed
	loadKnown    bool    // its load has been reported
	load         float64 // smoothed
	served, busy float64 // flows answered and busy periods, over the speed window
	size         float64 // listed weight times measured speed

	attempts, drops  float64 // over the health window
	missingResponses float64 // expected responses that are missing since the last successful one
	ejected          bool    // by updateHealth, ejectUnresponsive or a prior measurement
	recentAttempts   float64 // attempts within the idle timeout of a connection
	refusedShare     float64 // share of attempts dropped, if attributed to refused connections
	successes        float64 // consecutive successful responses while ejected
	returnedAt       Time    // end of the last ejection

	spare, maxShare float64    // spare capacity; limit of its traffic share, as a multiple of its fair share
	table           [2]*table  // table whose subset contains it, by kind
	wanted          [2]float64 // target weight in that table
	sent            []float64  // last ordered weight, by table
	tables          int        // number of tables that hold it
}

// usableSpare is the part of a replica's spare capacity that its share limit permits. It is never 0: if all limits were 0, all
// replicas would be assigned to one table's subset and the other subsets would be empty.
func (r *replica) usableSpare() float64 {
	return r.spare * max(min(r.maxShare, 1), math.SmallestNonzeroFloat32)
}

// sentWeight is a replica's last ordered weight in the table whose subset contains it.
func (r *replica) sentWeight(kind int) float64 {
	if r.table[kind] == nil {
		return 0
	}
	return r.sent[r.table[kind].id]
}

// reportedLoad is the mean utilization in the reports since the last review.
func (r *replica) reportedLoad() float64 { return r.newLoad / r.newReports }

// warm reports whether a replica has been running for at least the longest warm-up time.
func (g *Governor) warm(now Time, r *replica) bool {
	return r.started == 0 || now-r.started >= Time(g.cfg.warmupTime)
}
