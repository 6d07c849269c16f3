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
	pairHalfLifePeriods   = 8    // periods after which what was met at a pair counts for half
	evidenceBudgetPart    = 64   // by the budget, pairs that are told of in a period at most
	rescaleAfterHalfLives = 32   // half-lives after which counts are scaled anew
	minRememberedDrops    = 0.05 // a pair with fewer drops is forgotten
	generalFailureShare   = 0.5  // pairs of a replica that drops so much of all it gets are not remembered anew
)

// pairTable remembers pairs of a proxy and a replica at which tries were dropped, and the counts of each proxy and
// each replica that a pair's own are compared with. Counts fade by half in a half-life. They are kept scaled by the
// time since a landmark (forward decay; Cormode, Shkapenyuk, Srivastava and Xu, 2009), so that fading never changes
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
	retries        map[rules.ReplicaID]count // further tries at pairs that had dropped one
	fresh, pending []*pair                   // with drops in this period; in the one before, to be told of now
}

type pairKey struct {
	proxy   rules.ProxyID
	replica rules.ReplicaID
}

type count struct{ attempts, dropped float64 }

// tally is what fades, and what came in the latest period that brought any: a replica that has just begun to fail
// for all shows it there, long before its good past has faded.
type tally struct {
	count
	latest count
	at     rules.Time
}

func (t *pairTable) plusNow(y tally, c count) tally {
	if y.at != t.now {
		y.latest, y.at = count{}, t.now
	}
	c.attempts, c.dropped = c.attempts*t.scale, c.dropped*t.scale
	y.count, y.latest = y.plus(c), y.latest.plus(c)
	return y
}

func (c count) plus(d count) count { return count{c.attempts + d.attempts, c.dropped + d.dropped} }

func (c count) scaled(by float64) count { return count{c.attempts * by, c.dropped * by} }

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

// scaleAndPrune scales counts and forgets those that have faded.
func scaleAndPrune[K comparable, C interface{ all() float64 }](counts map[K]C, scaled func(C) C) {
	for k, c := range counts {
		if c = scaled(c); c.all() < minRememberedDrops {
			delete(counts, k)
		} else {
			counts[k] = c
		}
	}
}

func (c count) all() float64 { return c.attempts }

// addReplica adds to what is known of a replica.
func (t *pairTable) addReplica(r rules.ReplicaID, tries, dropped float64) {
	t.byReplica[r] = t.plusNow(t.byReplica[r], count{tries, dropped})
}

// addProxy adds to what is known of a proxy. A drop at a replica counts by the part of its tries that it does not drop: that
// of one which fails for all says nothing of the proxy.
func (t *pairTable) addProxy(p rules.ProxyID, r rules.ReplicaID, tries, dropped float64) {
	t.byProxy[p] = t.plusNow(t.byProxy[p], count{tries, dropped * (1 - t.dropShare(r))})
}

// dropShare is the share of tries that a replica drops.
func (t *pairTable) dropShare(r rules.ReplicaID) float64 {
	y := t.byReplica[r]
	return min(max(y.dropped/max(y.attempts, t.scale), y.latest.dropped/max(y.latest.attempts, t.scale)), 1)
}

// add takes in what a proxy met at a replica and tells whether a pair was let go, or not taken, for want of room.
// Pairs without a drop are not remembered.
func (t *pairTable) add(proxy rules.ProxyID, replica rules.ReplicaID, tries, dropped float64) (full bool) {
	k := pairKey{proxy, replica}
	p := t.pairs[k]
	if p == nil {
		if all := t.byReplica[replica].latest; dropped == 0 || all.dropped-dropped*t.scale > generalFailureShare*all.attempts {
			return false
		}
		if len(t.pairs) >= t.capacity {
			if least := t.byDrops[0]; least.dropped >= dropped*t.scale {
				return true
			} else {
				t.remove(least)
				full = true
			}
		}
		p = &pair{pairKey: k, heapIndex: len(t.byDrops)}
		t.pairs[k] = p
		t.byDrops = append(t.byDrops, p)
	}
	c := count{tries, dropped}.scaled(t.scale)
	further := c
	if p.dropped == 0 { // its first drop tells nothing of further ones
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

func (t *pairTable) remove(p *pair) {
	heap.Remove(&t.byDrops, p.heapIndex)
	delete(t.pairs, p.pairKey)
	p.listed = false
}

// forgetReplica drops all that is held of a replica.
func (t *pairTable) forgetReplica(r rules.ReplicaID) {
	delete(t.byReplica, r)
	delete(t.retries, r)
	for k, p := range t.pairs {
		if k.replica == r {
			t.remove(p)
		}
	}
}

// evidence tells of pairs that failed in the period before and whose proxy is still joined, those first with most drops
// beyond what its replica, or its proxy, drops elsewhere, and of two alike the lower numbers; and how many more there
// were than it may tell of. So pairs of a replica that fails for all don't stand before those that fail alone. They wait
// for a period, since a replica that begins to fail for all drops only a part of that period's tries.
func (t *pairTable) evidence(most int, joined func(rules.ProxyID) bool) (out []rules.PairStats, more int) {
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
	if len(out) > most {
		more = len(out) - most
		out = out[:most]
	}
	clear(due)
	t.pending, t.fresh = t.fresh, due[:0]
	return out, more
}

// dropShareWithout is the share of tries dropped, less those of a pair: of all that is remembered, or of the latest period if that
// is more.
func (t *pairTable) dropShareWithout(of tally, less count) (most float64) {
	for _, c := range []count{of.count, of.latest} {
		if tries := c.attempts - less.attempts; tries >= t.scale { // less than one try tells nothing
			most = max(most, min(max(c.dropped-less.dropped, 0)/tries, 1))
		}
	}
	return most
}

// pairHeap has the pair with the fewest drops first, and of two alike the lower numbers.
type pairHeap []*pair

// Len, Less and Swap are sort.Interface's, Push and Pop heap.Interface's.
func (h pairHeap) Len() int { return len(h) }
func (h pairHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].dropped, h[j].dropped), cmp.Compare(h[i].proxy, h[j].proxy), cmp.Compare(h[i].replica, h[j].replica)) < 0
}
func (h pairHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *pairHeap) Push(x any) { *h = append(*h, x.(*pair)) }
func (h *pairHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
