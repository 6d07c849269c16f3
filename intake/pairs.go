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
	pairMemory   = 8    // periods after which what was met at a pair counts for half
	evidencePart = 64   // by the budget, pairs that are told of in a period at most
	rescaleAfter = 32   // half-lives after which counts are scaled anew
	fadedDrops   = 0.05 // a pair with fewer drops is forgotten
)

// pairTable remembers pairs of a proxy and a replica at which tries were dropped, and the counts of each proxy and
// each replica that a pair's own are compared with. Counts fade by half in a half-life. They are kept scaled by the
// time since a landmark (forward decay; Cormode, Shkapenyuk, Srivastava and Xu, 2009), so that fading never changes
// the order of two pairs and costs nothing until a count is read. When the table is full, the pair with the fewest
// drops goes first: a pair that fails again and again outlives any number that failed once.
type pairTable struct {
	most       int
	half       time.Duration
	landmark   rules.Time
	now        rules.Time
	scale      float64 // of what is added now
	pairs      map[pairKey]*pair
	byDrops    pairHeap
	byReplica  map[rules.ReplicaID]count
	byProxy    map[rules.ProxyID]count
	again      map[rules.ReplicaID]count // further tries at pairs that had dropped one
	freshPairs []*pair                   // with drops since the last evidence
}

type pairKey struct {
	proxy   rules.ProxyID
	replica rules.ReplicaID
}

type count struct{ tries, dropped float64 }

type pair struct {
	pairKey
	count
	at    int // place in the heap
	fresh bool
}

func newPairTable(most int, half time.Duration) pairTable {
	return pairTable{most: most, half: half, scale: 1, pairs: map[pairKey]*pair{}, byReplica: map[rules.ReplicaID]count{},
		byProxy: map[rules.ProxyID]count{}, again: map[rules.ReplicaID]count{}}
}

// advance moves to a later time.
func (t *pairTable) advance(now rules.Time) {
	if t.landmark == 0 {
		t.landmark = now
	}
	t.now = max(now, t.now)
	halves := float64(t.now-t.landmark) / float64(t.half)
	if halves > rescaleAfter {
		t.rescale(math.Exp2(-halves))
		t.landmark, halves = t.now, 0
	}
	t.scale = math.Exp2(halves)
	for len(t.byDrops) > 0 && t.byDrops[0].dropped < fadedDrops*t.scale {
		t.remove(t.byDrops[0])
	}
}

func (t *pairTable) rescale(by float64) {
	for _, p := range t.pairs { // the heap's order stays
		p.tries, p.dropped = p.tries*by, p.dropped*by
	}
	scaled(t.byReplica, by)
	scaled(t.byProxy, by)
	scaled(t.again, by)
}

// scaled scales counts and forgets those that have faded.
func scaled[K comparable](counts map[K]count, by float64) {
	for k, c := range counts {
		if c.tries *= by; c.tries < fadedDrops {
			delete(counts, k)
			continue
		}
		c.dropped *= by
		counts[k] = c
	}
}

// met adds to what is known of a replica.
func (t *pairTable) met(r rules.ReplicaID, tries, dropped float64) {
	c := t.byReplica[r]
	t.byReplica[r] = count{c.tries + tries*t.scale, c.dropped + dropped*t.scale}
}

// by adds to what is known of a proxy. A drop at a replica counts by the part of its tries that it does not drop: that
// of one which fails for all says nothing of the proxy.
func (t *pairTable) by(p rules.ProxyID, r rules.ReplicaID, tries, dropped float64) {
	c, at := t.byProxy[p], t.byReplica[r]
	good := 1 - min(at.dropped/max(at.tries, t.scale), 1)
	t.byProxy[p] = count{c.tries + tries*t.scale, c.dropped + dropped*good*t.scale}
}

// add takes in what a proxy met at a replica and tells whether a pair was let go, or not taken, for want of room.
// Pairs without a drop are not remembered.
func (t *pairTable) add(proxy rules.ProxyID, replica rules.ReplicaID, tries, dropped float64) (full bool) {
	k := pairKey{proxy, replica}
	p := t.pairs[k]
	if p == nil {
		if dropped == 0 {
			return false
		}
		if len(t.pairs) >= t.most {
			if least := t.byDrops[0]; least.dropped >= dropped*t.scale {
				return true
			} else {
				t.remove(least)
				full = true
			}
		}
		p = &pair{pairKey: k, at: len(t.byDrops)}
		t.pairs[k] = p
		t.byDrops = append(t.byDrops, p)
	}
	further := count{tries * t.scale, dropped * t.scale}
	if p.dropped == 0 { // its first drop tells nothing of further ones
		one := min(t.scale, further.dropped)
		further = count{further.tries - one, further.dropped - one}
	}
	a := t.again[replica]
	t.again[replica] = count{a.tries + further.tries, a.dropped + further.dropped}
	p.tries, p.dropped = p.tries+tries*t.scale, p.dropped+dropped*t.scale
	heap.Fix(&t.byDrops, p.at)
	if dropped > 0 && !p.fresh {
		p.fresh = true
		t.freshPairs = append(t.freshPairs, p)
	}
	return full
}

func (t *pairTable) remove(p *pair) {
	heap.Remove(&t.byDrops, p.at)
	delete(t.pairs, p.pairKey)
	p.fresh = false
}

// forget drops all that is held of a replica.
func (t *pairTable) forget(r rules.ReplicaID) {
	delete(t.byReplica, r)
	delete(t.again, r)
	for k, p := range t.pairs {
		if k.replica == r {
			t.remove(p)
		}
	}
}

// evidence tells of pairs that failed since the last call and whose proxy is still joined, those with most drops
// first and of two alike the lower numbers; and how many more there were than it may tell of. Beside a pair's own
// counts stand those of its replica at all other proxies and of its proxy at all other replicas.
func (t *pairTable) evidence(most int, joined func(rules.ProxyID) bool) (out []rules.Pair, more int) {
	fresh := slices.DeleteFunc(t.freshPairs, func(p *pair) bool {
		was := p.fresh
		p.fresh = false
		return !was || !joined(p.proxy)
	})
	slices.SortFunc(fresh, func(a, b *pair) int {
		return cmp.Or(cmp.Compare(b.dropped, a.dropped), cmp.Compare(a.proxy, b.proxy), cmp.Compare(a.replica, b.replica))
	})
	if len(fresh) > most {
		more = len(fresh) - most
		fresh = fresh[:most]
	}
	for _, p := range fresh {
		r, x := t.byReplica[p.replica], t.byProxy[p.proxy]
		a := t.again[p.replica]
		less := count{p.tries, p.dropped * (1 - min(r.dropped/max(r.tries, t.scale), 1))}
		out = append(out, rules.Pair{Proxy: p.proxy, Replica: p.replica, Tries: p.tries / t.scale, Dropped: p.dropped / t.scale,
			Elsewhere: t.rate(r, p.count), Others: t.rate(x, less), Again: a.tries / t.scale, AgainDropped: a.dropped / t.scale})
	}
	clear(t.freshPairs[:cap(t.freshPairs)])
	t.freshPairs = t.freshPairs[:0]
	return out, more
}

// rate is the share of tries dropped, less those of a pair.
func (t *pairTable) rate(of, less count) float64 {
	tries := of.tries - less.tries
	if tries < t.scale { // less than one try tells nothing
		return 0
	}
	return min(max(of.dropped-less.dropped, 0)/tries, 1)
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
	h[i].at, h[j].at = i, j
}
func (h *pairHeap) Push(x any) { *h = append(*h, x.(*pair)) }
func (h *pairHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
