package intake

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

const (
	pairHalfLifePeriods   = 8    // half-life of a pair's counts, in periods
	evidenceBudgetPart    = 64   // pairs reported in a period are at most this part of the budget
	rescaleAfterHalfLives = 32   // half-lives after which all counts are rescaled
	minRememberedDrops    = 0.05 // a pair with fewer drops, decayed, is dropped
	generalFailureShare   = 0.5  // no new pair is kept of a replica that drops this share of all its attempts
)

// pairTable keeps the pairs of a proxy and a replica at which attempts were dropped, and the counts of each proxy and
// each replica that a pair's own are compared with. Counts decay by half in a half-life. They are kept scaled by the
// time since a landmark (forward decay; Cormode, Shkapenyuk, Srivastava and Xu, 2009), so that decay never changes
// the order of two pairs and costs nothing until a count is read. When the table is full, the pair with the fewest
// drops goes first: a pair that fails again and again outlives any number that failed once.
type pairTable struct {
	capacity       int
	halfLife       time.Duration
	landmark       rules.Time
	now            rules.Time
	scale          float64 // of what is added now
	pairs          map[pairKey]*pair
	byDrops        pairHeap
	byReplica      map[rules.ReplicaID]tally
	byProxy        map[rules.ProxyID]tally
	retries        map[rules.ReplicaID]count // later attempts at pairs that had dropped one
	fresh, pending []*pair                   // with drops in this period; in the one before, to be reported now
}

type pairKey struct {
	proxy   rules.ProxyID
	replica rules.ReplicaID
}

type pair struct {
	pairKey
	count
	heapIndex int  // place in the heap
	listed    bool // in one of the two lists
}

func newPairTable(capacity int, halfLife time.Duration) pairTable {
	return pairTable{capacity: capacity, halfLife: halfLife, scale: 1, pairs: map[pairKey]*pair{}, byReplica: map[rules.ReplicaID]tally{},
		byProxy: map[rules.ProxyID]tally{}, retries: map[rules.ReplicaID]count{}}
}

// advance moves to a later time.
func (t *pairTable) advance(now rules.Time) {
	if t.landmark == 0 {
		t.landmark = now
	}
	t.now = max(now, t.now)
	halves := float64(t.now-t.landmark) / float64(t.halfLife)
	if halves > rescaleAfterHalfLives {
		t.rescale(math.Exp2(-halves))
		t.landmark, halves = t.now, 0
	}
	t.scale = math.Exp2(halves)
	for len(t.byDrops) > 0 && t.byDrops[0].dropped < minRememberedDrops*t.scale {
		t.remove(t.byDrops[0])
	}
}

func (t *pairTable) rescale(by float64) {
	for _, p := range t.pairs { // the heap's order stays
		p.attempts, p.dropped = p.attempts*by, p.dropped*by
	}
	scaleAndPrune(t.byReplica, func(y tally) tally { return tally{y.scaled(by), y.latest.scaled(by), y.at} })
	scaleAndPrune(t.byProxy, func(y tally) tally { return tally{y.scaled(by), y.latest.scaled(by), y.at} })
	scaleAndPrune(t.retries, func(c count) count { return c.scaled(by) })
}

// addReplica adds to a replica's counts.
func (t *pairTable) addReplica(r rules.ReplicaID, tries, dropped float64) {
	t.byReplica[r] = t.plusNow(t.byReplica[r], count{tries, dropped})
}

// addProxy adds to a proxy's counts. A drop at a replica counts by the share of attempts that the replica does not drop: the
// drops of one that fails in general say nothing of the proxy.
func (t *pairTable) addProxy(p rules.ProxyID, r rules.ReplicaID, tries, dropped float64) {
	t.byProxy[p] = t.plusNow(t.byProxy[p], count{tries, dropped * (1 - t.dropShare(r))})
}

// dropShare is the share of attempts that a replica drops.
func (t *pairTable) dropShare(r rules.ReplicaID) float64 {
	y := t.byReplica[r]
	return min(max(y.dropped/max(y.attempts, t.scale), y.latest.dropped/max(y.latest.attempts, t.scale)), 1)
}

// add adds a proxy's attempts at a replica and reports whether a pair was evicted, or not taken in, for want of room.
// Pairs without a drop are not kept.
func (t *pairTable) add(proxy rules.ProxyID, replica rules.ReplicaID, tries, dropped float64) (full bool) {
	k := pairKey{proxy, replica}
	p := t.pairs[k]
	if p == nil {
		if p, full = t.insert(k, dropped); p == nil {
			return full
		}
	}
	c := count{tries, dropped}.scaled(t.scale)
	further := c
	if p.dropped == 0 { // its first drop says nothing of later ones
		one := min(t.scale, c.dropped)
		further = c.plus(count{-one, -one})
	}
	t.retries[replica] = t.retries[replica].plus(further)
	p.count = p.plus(c)
	heap.Fix(&t.byDrops, p.heapIndex)
	if dropped > 0 && !p.listed {
		p.listed = true
		t.fresh = append(t.fresh, p)
	}
	return full
}

// insert adds a pair that has dropped attempts, and says whether the table was full. A full table evicts the pair with the
// fewest drops, or, if the new pair has no more than that one, takes in none and returns nil. So it does for a pair without
// a drop, and for one whose replica fails in general.
func (t *pairTable) insert(k pairKey, dropped float64) (p *pair, full bool) {
	all := t.byReplica[k.replica].latest
	if dropped == 0 || all.dropped-dropped*t.scale > generalFailureShare*all.attempts {
		return nil, false
	}
	if len(t.pairs) >= t.capacity {
		least := t.byDrops[0]
		if least.dropped >= dropped*t.scale {
			return nil, true
		}
		t.remove(least)
		full = true
	}
	p = &pair{pairKey: k, heapIndex: len(t.byDrops)}
	t.pairs[k] = p
	t.byDrops = append(t.byDrops, p)
	return p, full
}

func (t *pairTable) remove(p *pair) {
	heap.Remove(&t.byDrops, p.heapIndex)
	delete(t.pairs, p.pairKey)
	p.listed = false
}

// forgetReplica drops all counts of a replica.
func (t *pairTable) forgetReplica(r rules.ReplicaID) {
	delete(t.byReplica, r)
	delete(t.retries, r)
	for k, p := range t.pairs {
		if k.replica == r {
			t.remove(p)
		}
	}
}

// evidence returns the pairs that failed in the period before and whose proxy is still joined, at most limit of them, and how many
// more there were. Those with most drops beyond what the replica, or the proxy, drops elsewhere come first, then lower IDs:
// so pairs of a replica that fails in general don't displace those that fail alone. They are delayed by a period, since a
// replica that begins to fail in general drops only a part of that period's attempts.
func (t *pairTable) evidence(limit int, joined func(rules.ProxyID) bool) (out []rules.PairStats, more int) {
	due := slices.DeleteFunc(t.pending, func(p *pair) bool { return !p.listed || !joined(p.proxy) })
	for _, p := range due {
		p.listed = false
	}
	for _, p := range due {
		r, x, a := t.byReplica[p.replica], t.byProxy[p.proxy], t.retries[p.replica]
		less := count{p.attempts, p.dropped * (1 - t.dropShare(p.replica))}
		out = append(out, rules.PairStats{Proxy: p.proxy, Replica: p.replica, Attempts: p.attempts / t.scale, Dropped: p.dropped / t.scale,
			ReplicaDropShare: t.dropShareWithout(r, p.count), ProxyDropShare: t.dropShareWithout(x, less), RetriedAttempts: a.attempts / t.scale, RetriedDropped: a.dropped / t.scale})
	}
	beyond := func(e rules.PairStats) float64 {
		return e.Dropped - e.Attempts*max(e.ReplicaDropShare, e.ProxyDropShare)
	}
	slices.SortFunc(out, func(a, b rules.PairStats) int {
		return cmp.Or(cmp.Compare(beyond(b), beyond(a)), cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Replica, b.Replica))
	})
	if len(out) > limit {
		more = len(out) - limit
		out = out[:limit]
	}
	clear(due)
	t.pending, t.fresh = t.fresh, due[:0]
	return out, more
}

// dropShareWithout is the share of attempts dropped, less those of a pair: of all counts, or of the latest period if that is more.
func (t *pairTable) dropShareWithout(of tally, less count) (most float64) {
	for _, c := range []count{of.count, of.latest} {
		if tries := c.attempts - less.attempts; tries >= t.scale { // less than one attempt says nothing
			most = max(most, min(max(c.dropped-less.dropped, 0)/tries, 1))
		}
	}
	return most
}
