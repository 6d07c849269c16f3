package rules

import (
	"math"
	"time"
)

// replica is the record of one replica.
type replica struct {
	id       ReplicaID
	zone     ZoneID
	kind     KindID
	state    State
	listed   float64
	started  Time
	listedIn int // the last list that named it

	newAttempts, newDrops, newLoad, newReports float64 // since the last review
	newInFlight, queueDelay                    float64 // flows in flight, by its reports; seconds that they take
	newLatency, latency                        float64 // seconds that successful attempts took: new, over the speed window
	newWindow                                  time.Duration
	lastStatsAt                                Time  // the last review with statistics of it
	rounds                                     []int // by zone, the last with statistics of it; 0: none

	cold         bool    // its warm-up may not be over, when last weighed
	loadKnown    bool    // its load has been reported
	load         float64 // smoothed
	served, busy float64 // flows answered, and periods spent busy, over the speed window
	size         float64 // listed weight x measured speed

	attempts, drops float64 // over the health window
	overdue         float64 // responses expected since the last successful one
	ejected         bool    // by the health rules
	recentAttempts  float64 // attempts while a connection stays open
	refusedShare    float64 // share of attempts dropped, if by refused connections
	successes       float64 // successful responses in a row while ejected
	returnedAt      Time    // end of the last ejection

	spare, maxShare float64    // spare capacity; limit of its share, by its fair share
	table           [2]*table  // whose subset it is in, by kind
	wanted          [2]float64 // wanted weight there
	sent            []float64  // weight as last ordered, by table
	tables          int        // tables that hold it
}

// usable is the part of a replica's spare capacity that its limit leaves. It is never 0: else, where all limits are 0, all
// replicas would go to one table's subset, and the other tables would be empty.
func (r *replica) usable() float64 {
	return r.spare * max(min(r.maxShare, 1), math.SmallestNonzeroFloat32)
}

// sentWeight is a replica's weight as last ordered in the table whose subset it is in.
func (r *replica) sentWeight(kind int) float64 {
	if r.table[kind] == nil {
		return 0
	}
	return r.sent[r.table[kind].id]
}

// reportedLoad is the mean load of the reports since the last review.
func (r *replica) reportedLoad() float64 { return r.newLoad / r.newReports }

// warm reports whether a replica's warm-up is certainly over.
func (g *Governor) warm(now Time, r *replica) bool {
	return r.started == 0 || now-r.started >= Time(g.cfg.warmupTime)
}
