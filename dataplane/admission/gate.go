// Package admission decides how deep a request may queue at a replica before it is refused instead, and when a refused
// client is told to come back. It is free of I/O; clock and chance are handed in.
//
// A request that would be answered late takes as much of a replica as one answered in time and is worth a part of it.
// So what cannot be answered within its route's target is refused at once, while its client can still be served by a
// new try; what has been refused before is refused last.
package admission

import "time"

const (
	targetPart  = 0.5  // of the target that work and waiting may take by estimate
	rankPart    = 0.15 // of its depth that each lower rank gives up to the ranks above
	rankMost    = 4
	returnTimes = 1.15 // a client that comes back may queue so many times deeper
	shallowest  = 1.0  // free slots are open to everyone
	returnedAt  = 0.85 // of the longest deadline seen at a route: with less left, a request has been tried before
	learn       = 0.05 // weight of a new sample
	backLeast   = 200 * time.Millisecond
	backTimes   = 2.0 // of the work's time, until a refused client finds room when little is refused
	crowd       = 4.0 // the more of the requests are refused, the later they are told to come
	leftPart    = 1.0 / 3
)

// Gate is one proxy governor's part, for one service.
type Gate struct {
	work    float64 // seconds that a request takes a slot, by estimate
	refused float64 // moving share
	longest map[string]time.Duration
}

// New makes a gate.
func New() *Gate { return &Gate{longest: map[string]time.Duration{}} }

// Answered takes the time of an answer, and how many requests to a slot the replica had when it was sent.
func (g *Gate) Answered(took time.Duration, fill float64) {
	sample := took.Seconds() / max(fill, 1)
	if g.work == 0 {
		g.work = sample
	}
	g.work += (sample - g.work) * learn
}

// Request is what bears on a decision.
type Request struct {
	Route    string
	Target   time.Duration // 0: none
	Priority int           // 0 is highest
	Left     time.Duration // until the client's deadline
}

// Depth is how many requests to a slot a replica may have for one more to be sent there.
func (g *Gate) Depth(r Request) float64 {
	back := g.returned(r)
	if r.Target <= 0 || g.work <= 0 {
		return 1e9
	}
	depth := targetPart * min(r.Target, r.Left).Seconds() / g.work
	depth *= 1 - rankPart*float64(min(max(r.Priority, 0), rankMost))
	if back {
		depth *= returnTimes
	}
	return max(depth, shallowest)
}

// returned tells whether a request has less time left than first tries at its route have.
func (g *Gate) returned(r Request) bool {
	if r.Left > g.longest[r.Route] {
		g.longest[r.Route] = r.Left
	}
	return float64(r.Left) < returnedAt*float64(g.longest[r.Route])
}

// Admitted and Refused count what became of requests. Refused tells when to come back: later the more is refused, and
// spread by chance, so that the refused do not come together.
func (g *Gate) Admitted() { g.refused -= g.refused * learn }

func (g *Gate) Refused(r Request, chance float64) time.Duration {
	g.refused += (1 - g.refused) * learn
	after := max(time.Duration(backTimes*g.work*float64(time.Second)), backLeast)
	after = time.Duration(float64(after) * (1 + crowd*g.refused) * (0.5 + chance))
	return max(min(after, time.Duration(float64(r.Left)*leftPart)), time.Millisecond)
}
