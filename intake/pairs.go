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
	pairHalfLifePeriods   = 8    // half-life of counts, in periods
	evidenceBudgetPart    = 64   // at most 1/64 of the budget is reported as pairs per period
	rescaleAfterHalfLives = 32   // half-lives after which counts are rescaled
	minRememberedDrops    = 0.05 // pairs with fewer decayed drops are deleted
	generalFailureShare   = 0.5  // share of all attempts dropped above which a replica gets no new pairs
)

// pairTable keeps pairs of a proxy and a replica with dropped attempts, and the total counts of each proxy and each replica
// for comparison. Counts decay exponentially. They are stored with forward decay, scaled by the time since a landmark
// (Cormode, Shkapenyuk, Srivastava and Xu, 2009), so that decay neither changes the order of pairs nor requires updates.
// A full table evicts the pair with the fewest drops, so pairs that fail repeatedly outlast those that failed once.
type pairTable struct {
	capacity         int
	halfLife         time.Duration
	landmark         rules.Time
	now              rules.Time
	scale            float64 // weight of counts that are added now
	pairs            map[pairKey]*pair
	byDrops          pairHeap
	byReplica        map[rules.ReplicaID]decayingCount
	byProxy          map[rules.ProxyID]decayingCount
	retries          map[rules.ReplicaID]count // attempts at pairs after their first drop
	current, pending []*pair                   // pairs with drops in this period; in the previous one, not yet reported
}

type pairKey struct {
	proxy   rules.ProxyID
	replica rules.ReplicaID
}

type pair struct {
	pairKey
	count
	heapIndex int  // index in byDrops
	queued    bool // in current or pending
}

func newPairTable(capacity int, halfLife time.Duration) pairTable {
	return pairTable{capacity: capacity, halfLife: halfLife, scale: 1, pairs: map[pairKey]*pair{}, byReplica: map[rules.ReplicaID]decayingCount{},
		byProxy: map[rules.ProxyID]decayingCount{}, retries: map[rules.ReplicaID]count{}}
}

// advance sets the current time and deletes decayed pairs.
func (t *pairTable) advance(now rules.Time) {
	if t.landmark == 0 {
		t.landmark = now
	}
	t.now = max(now, t.now)
	halfLives := float64(t.now-t.landmark) / float64(t.halfLife)
	if halfLives > rescaleAfterHalfLives {
		t.rescale(math.Exp2(-halfLives))
		t.landmark, halfLives = t.now, 0
	}
	t.scale = math.Exp2(halfLives)
	for len(t.byDrops) > 0 && t.byDrops[0].dropped < minRememberedDrops*t.scale {
		t.remove(t.byDrops[0])
	}
}

func (t *pairTable) rescale(by float64) {
	for _, p := range t.pairs { // preserves the heap order
		p.attempts, p.dropped = p.attempts*by, p.dropped*by
	}
	scaleAndPrune(t.byReplica, func(d decayingCount) decayingCount {
		return decayingCount{d.scaled(by), d.latest.scaled(by), d.latestAt}
	})
	scaleAndPrune(t.byProxy, func(d decayingCount) decayingCount {
		return decayingCount{d.scaled(by), d.latest.scaled(by), d.latestAt}
	})
	scaleAndPrune(t.retries, func(c count) count { return c.scaled(by) })
}

func (t *pairTable) addReplica(r rules.ReplicaID, attempts, dropped float64) {
	t.byReplica[r] = t.addCurrent(t.byReplica[r], count{attempts, dropped})
}

// addProxy adds to a proxy's counts. Drops are weighted by the share of attempts that the replica does not drop, as drops of a
// failing replica are no evidence against the proxy.
func (t *pairTable) addProxy(p rules.ProxyID, r rules.ReplicaID, attempts, dropped float64) {
	t.byProxy[p] = t.addCurrent(t.byProxy[p], count{attempts, dropped * (1 - t.dropShare(r))})
}

// dropShare is the share of attempts that a replica drops.
func (t *pairTable) dropShare(r rules.ReplicaID) float64 {
	d := t.byReplica[r]
	return min(max(d.dropped/max(d.attempts, t.scale), d.latest.dropped/max(d.latest.attempts, t.scale)), 1)
}

// add adds a proxy's attempts at a replica and reports whether a pair was evicted, or not added, because the table is full.
// Pairs without drops are not kept.
func (t *pairTable) add(proxy rules.ProxyID, replica rules.ReplicaID, attempts, dropped float64) (full bool) {
	k := pairKey{proxy, replica}
	p := t.pairs[k]
	if p == nil {
		if p, full = t.insert(k, dropped); p == nil {
			return full
		}
	}
	c := count{attempts, dropped}.scaled(t.scale)
	retried := c
	if p.dropped == 0 { // the first drop is not a retry
		first := min(t.scale, c.dropped)
		retried = c.plus(count{-first, -first})
	}
	t.retries[replica] = t.retries[replica].plus(retried)
	p.count = p.plus(c)
	heap.Fix(&t.byDrops, p.heapIndex)
	if dropped > 0 && !p.queued {
		p.queued = true
		t.current = append(t.current, p)
	}
	return full
}

// insert adds a pair and reports whether the table was full. A full table evicts the pair with the fewest drops. Insert
// returns nil if the new pair has no more drops than that one, has none, or if its replica fails in general.
func (t *pairTable) insert(k pairKey, dropped float64) (p *pair, full bool) {
	latest := t.byReplica[k.replica].latest
	if dropped == 0 || latest.dropped-dropped*t.scale > generalFailureShare*latest.attempts {
		return nil, false
	}
	if len(t.pairs) >= t.capacity {
		fewest := t.byDrops[0]
		if fewest.dropped >= dropped*t.scale {
			return nil, true
		}
		t.remove(fewest)
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
	p.queued = false
}

// forgetReplica deletes all counts of a replica.
func (t *pairTable) forgetReplica(r rules.ReplicaID) {
	delete(t.byReplica, r)
	delete(t.retries, r)
	for k, p := range t.pairs {
		if k.replica == r {
			t.remove(p)
		}
	}
}

// evidence returns up to limit pairs that failed in the previous period and whose proxy is still joined, and the number of
// omitted ones. They are sorted by drops in excess of what the replica or the proxy drops elsewhere, then by ID, so that pairs
// of a replica that fails in general do not displace those that fail alone. The delay of a period is necessary because a
// replica that begins to fail in general drops only part of that period's attempts.
func (t *pairTable) evidence(limit int, joined func(rules.ProxyID) bool) (out []rules.PairStats, omitted int) {
	due := slices.DeleteFunc(t.pending, func(p *pair) bool { return !p.queued || !joined(p.proxy) })
	for _, p := range due {
		p.queued = false
	}
	for _, p := range due {
		r, x, a := t.byReplica[p.replica], t.byProxy[p.proxy], t.retries[p.replica]
		own := count{p.attempts, p.dropped * (1 - t.dropShare(p.replica))}
		out = append(out, rules.PairStats{Proxy: p.proxy, Replica: p.replica, Attempts: p.attempts / t.scale, Dropped: p.dropped / t.scale,
			ReplicaDropShare: t.dropShareWithout(r, p.count), ProxyDropShare: t.dropShareWithout(x, own), RetriedAttempts: a.attempts / t.scale, RetriedDropped: a.dropped / t.scale})
	}
	excess := func(e rules.PairStats) float64 {
		return e.Dropped - e.Attempts*max(e.ReplicaDropShare, e.ProxyDropShare)
	}
	slices.SortFunc(out, func(a, b rules.PairStats) int {
		return cmp.Or(cmp.Compare(excess(b), excess(a)), cmp.Compare(a.Proxy, b.Proxy), cmp.Compare(a.Replica, b.Replica))
	})
	if len(out) > limit {
		omitted = len(out) - limit
		out = out[:limit]
	}
	clear(due)
	t.pending, t.current = t.current, due[:0]
	return out, omitted
}

// dropShareWithout is the share of dropped attempts without those of a pair: over all counts or the latest period, whichever
// is higher.
func (t *pairTable) dropShareWithout(all decayingCount, pair count) (most float64) {
	for _, c := range []count{all.count, all.latest} {
		if attempts := c.attempts - pair.attempts; attempts >= t.scale { // at least one attempt
			most = max(most, min(max(c.dropped-pair.dropped, 0)/attempts, 1))
		}
	}
	return most
}
