package rules

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

// Governor makes the decisions for the proxies that have joined it. The zero value is ready for a Start event. It is not
// safe for concurrent use.
type Governor struct {
	started  bool
	cfg      config
	seed     uint64
	draws    uint32
	timerID  uint64 // of the pending Wake
	replicas []*replica
	byID     map[ReplicaID]*replica
	proxies  map[ProxyID]*proxy
	unbound  []*proxy // joined but not yet bound, highest rate first
	ejecting []*proxy // proxies with pair ejections
	tables   []*table
	groups   []group // lowest utility per latency budget first

	listRevision int  // List events so far
	listedAt     Time // time of the last one
	watching     bool
	listRetryAt  Time

	reviewedAt                 Time
	statsPending, hasStats     bool          // statistics arrived since the last review; have ever been reviewed
	longestWindow, statsWindow time.Duration // windows of statistics: longest since the last review, and smoothed
	zones                      []zoneRounds
	ejectionsLeft              int     // replicas that may still be ejected
	timerAt                    Time    // due time of the pending Wake
	bindAfter                  Time    // until then, proxies that hold tables of an earlier run are not bound
	newFlows                   float64 // received by proxies since the last review

	meanLoad, dropShare float64 // mean load of the replicas in service; share of dropped attempts
	demand              float64 // attempts relative to the fleet's capacity, or its load if higher
	speed               float64 // flows that a replica of size 1 answers in a fully utilized period
	saturated           bool
	admittedShares      []float64 // admitted shares of the offered work, latest first

	reviews                   int
	orderCount                int  // orders of earlier Steps
	removalsSentAt            Time // last removal of replicas from tables that hold them outside their subset
	orders                    []Order
	step, nextTable           int // number of Steps; table that addOutsideReplicas handles next
	channel                   []channelBatch
	channelVersion            uint16  // version of the channel's last batch
	queuedEntries             float64 // entries not known to have left the channel
	stepEntries, stepMessages float64 // entries and messages queued by this Step
}

// AppendMeasurements appends the measurements of each replica that are kept across restarts, and sorts m by replica.
func (g *Governor) AppendMeasurements(m []PriorMeasurement) []PriorMeasurement {
	for _, r := range g.replicas {
		if g.byID[r.id] == r && r.size > 0 && r.listed > 0 && r.served > 0 && r.busy > 0 {
			m = append(m, PriorMeasurement{Replica: r.id, Speed: r.size / r.listed, Throughput: r.served / r.busy, Ejected: r.ejected})
		}
	}
	slices.SortFunc(m, func(a, b PriorMeasurement) int { return cmp.Compare(a.Replica, b.Replica) })
	return m
}

// anyLeaving reports whether any replica is draining, or deregistered and not yet forgotten.
func (g *Governor) anyLeaving() bool {
	return slices.ContainsFunc(g.replicas, func(r *replica) bool { return r.state != Ready })
}

// randomDuration returns a pseudorandom duration between least and most that depends on the seed and the number of draws.
func (g *Governor) randomDuration(least, most time.Duration) Time {
	g.draws++
	b := binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, g.seed), g.draws)
	part := float64(crc32.ChecksumIEEE(b)) / (1 << 32)
	return Time(least) + Time(part*float64(most-least))
}

// indicator returns 1 for true and 0 for false.
func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// decay is the factor by which an exponentially decaying sum with the given window shrinks over a number of periods.
func decay(periods, window float64) float64 { return math.Exp(-periods / window) }
