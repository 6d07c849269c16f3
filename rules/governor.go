package rules

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Governor decides for the proxies that are joined to it. The zero value is ready for a Start event. It is not safe for
// concurrent use.
type Governor struct {
	started  bool
	cfg      config
	seed     uint64
	draws    uint32
	timerID  uint64 // of the pending Wake
	replicas []*replica
	byID     map[ReplicaID]*replica
	proxies  map[ProxyID]*proxy
	unbound  []*proxy // joined and not yet bound, most flows first
	ejecting []*proxy // proxies with pair ejections
	tables   []*table
	groups   []group // least utility by latency budget first

	listRevision int  // List events so far
	listedAt     Time // when the last one came
	observing    bool
	listRetryAt  Time

	reviewedAt                 Time
	statsPending, hasStats     bool          // statistics came since the last review; have ever been reviewed
	longestWindow, statsWindow time.Duration // what statistics cover: the longest since the last review, and smoothed
	zones                      []zoneRounds
	ejectionsLeft              int     // replicas that may still be ejected
	timerAt                    Time    // when the pending Wake is due
	bindAfter                  Time    // until then, or the first statistics, proxies keep the tables of an earlier run
	newFlows                   float64 // that came to proxies since the last review

	meanLoad, dropShare float64 // of the replicas in service
	demand              float64 // attempts by what the fleet can answer, or its load if that is more
	speed               float64 // flows that a replica of size 1 answers in a period of full utilization
	saturated           bool
	admitted            []float64 // admitted part of the requested work, latest first

	reviews                   int  // reviews so far
	orderCount                int  // orders of earlier Steps
	removalsSentAt            Time // when removals were last sent to tables that have the replica outside their subset
	orders                    []Order
	step, nextTable           int // Steps so far; the table that is completed next
	channel                   []channelBatch
	channelVersion            uint16  // of the channel's last batch
	queuedEntries             float64 // entries that may wait in the channel
	stepEntries, stepMessages float64 // entries and messages put into it by this Step
}

// AppendMeasurements appends to m what is worth keeping of each replica over a restart, and sorts it by replica.
func (g *Governor) AppendMeasurements(m []PriorMeasurement) []PriorMeasurement {
	for _, r := range g.replicas {
		if g.byID[r.id] == r && r.size > 0 && r.listed > 0 && r.served > 0 && r.busy > 0 {
			m = append(m, PriorMeasurement{Replica: r.id, Speed: r.size / r.listed, Throughput: r.served / r.busy, Ejected: r.ejected})
		}
	}
	slices.SortFunc(m, func(a, b PriorMeasurement) int { return cmp.Compare(a.Replica, b.Replica) })
	return m
}

// anyLeaving reports whether some replica is draining, or deregistered and not yet forgotten.
func (g *Governor) anyLeaving() bool {
	return slices.ContainsFunc(g.replicas, func(r *replica) bool { return r.state != Ready })
}

// randomDuration draws a duration between least and most, from the seed.
func (g *Governor) randomDuration(least, most time.Duration) Time {
	g.draws++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, g.seed), g.draws)
	part := float64(crc32.ChecksumIEEE(b)) / (1 << 32)
	return Time(least) + Time(part*float64(most-least))
}

// indicator is 1 if a condition holds, else 0.
func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// decay is the factor by which an exponentially decaying sum over a window shrinks in some periods.
func decay(periods, window float64) float64 { return math.Exp(-periods / window) }
