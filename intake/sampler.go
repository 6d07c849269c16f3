package intake

import (
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zincloft.example/zincloft/rules"
)

const (
	cleanCapacityDivisor = 4  // records without drops get a quarter of a stratum's capacity
	minCleanCapacity     = 2  // but at least two; an estimate from one record has unbounded variance
	minStratumCapacity   = 4  // smallest capacity of a stratum
	minStrata            = 16 // fewest strata assumed when the budget is divided
)

// sampledRecord is a sampled record with its sender.
type sampledRecord struct {
	replica             rules.ReplicaID
	proxy               rules.ProxyID
	zone                rules.ZoneID
	attempts, dropped   int32
	meanLatency, window time.Duration
	ageWeight           float64 // 1 for a fresh record
	rank                float64
}

// size is the value that a record's sampling probability is proportional to.
func (record *sampledRecord) size() float64 { return float64(record.attempts) * record.ageWeight }

// counts returns a record's attempts and drops times its age weight and its sampling weight.
func (record *sampledRecord) counts(weight float64) (attempts, dropped float64) {
	return float64(record.attempts) * record.ageWeight * weight, float64(record.dropped) * record.ageWeight * weight
}

// sampler does stratified priority sampling (Duffield, Lund and Thorup, 2007). The capacity of a stratum is divided between
// records with drops, which take precedence, and records without, which keep a quarter of it. Within each of the two, the
// records of highest rank are kept; the rank is the size divided by a uniform random number. A kept record represents
// max(size, threshold), where the threshold is the highest rank of the discarded ones, so estimated totals are unbiased.
// A stratum's capacity never changes within a period, so the kept records always have the highest ranks.
type sampler struct {
	seed           uint64
	draws          uint64
	budget         int
	kept           int
	strata         map[uint32]*stratum
	previousStrata int // number of strata in the previous period
	freeStrata     []*stratum
}

type stratum struct {
	capacity      int
	failed, clean rankHeap
}

func newSampler(seed uint64, budget int) sampler {
	return sampler{seed: seed, budget: budget, strata: map[uint32]*stratum{}}
}

// uniform returns a pseudorandom number, uniformly distributed over (0, 1].
func (s *sampler) uniform() float64 {
	s.draws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.seed)
	binary.LittleEndian.PutUint64(b[8:], s.draws)
	return float64(xxhash.Sum64(b[:])>>11+1) / (1 << 53)
}

// offer adds a record and reports whether it is kept for now.
func (s *sampler) offer(key uint32, record sampledRecord) bool {
	st := s.strata[key]
	if st == nil {
		st = s.newStratum(key)
	}
	record.rank = record.size() / s.uniform()
	c, maxFailed := &st.clean, st.capacity-max(st.capacity/cleanCapacityDivisor, minCleanCapacity)
	if record.dropped > 0 {
		c = &st.failed
	}
	failed, clean := len(st.failed.items), len(st.clean.items)
	switch {
	case failed+clean < st.capacity:
		s.kept++
		c.push(record)
	case record.dropped > 0 && failed < maxFailed:
		st.clean.evictLowest()
		c.push(record)
	case record.dropped == 0 && clean < st.capacity-maxFailed: // records with drops occupy capacity reserved for those without
		st.failed.evictLowest()
		c.push(record)
	case record.rank > c.items[0].rank:
		c.threshold = max(c.threshold, c.items[0].rank)
		c.items[0] = record
		heap.Fix(c, 0)
	default:
		c.threshold = max(c.threshold, record.rank)
		return false
	}
	return true
}

func (s *sampler) newStratum(key uint32) *stratum {
	st := &stratum{}
	if n := len(s.freeStrata); n > 0 {
		st, s.freeStrata = s.freeStrata[n-1], s.freeStrata[:n-1]
	}
	if st.capacity = s.budget / max(s.previousStrata, len(s.strata)+1, minStrata); s.kept >= s.budget {
		st.capacity = 0
	}
	st.capacity = max(st.capacity, minStratumCapacity)
	s.strata[key] = st
	return st
}

// each calls f for all sampled records, by stratum, with their sampling weights.
func (s *sampler) each(f func(key uint32, record *sampledRecord, weight float64)) {
	for _, key := range slices.Sorted(maps.Keys(s.strata)) {
		st := s.strata[key]
		for _, c := range []*rankHeap{&st.failed, &st.clean} {
			for i := range c.items {
				record := &c.items[i]
				f(key, record, max(record.size(), c.threshold)/record.size())
			}
		}
	}
}

// reset deletes all records and begins a new period.
func (s *sampler) reset() {
	s.previousStrata = len(s.strata)
	for _, st := range s.strata {
		st.failed.items, st.clean.items = st.failed.items[:0], st.clean.items[:0]
		st.failed.threshold, st.clean.threshold = 0, 0
		if len(s.freeStrata) < len(s.strata) {
			s.freeStrata = append(s.freeStrata, st)
		}
	}
	clear(s.strata)
	s.kept = 0
}

// rankHeap is a heap of records with the lowest rank first.
type rankHeap struct {
	items     []sampledRecord
	threshold float64
}

// push adds a record. Unlike heap.Push it does not allocate.
func (c *rankHeap) push(record sampledRecord) {
	c.items = append(c.items, record)
	heap.Fix(c, len(c.items)-1)
}

// evictLowest evicts the record of lowest rank and raises the threshold to that rank.
func (c *rankHeap) evictLowest() {
	last := len(c.items) - 1
	c.threshold = max(c.threshold, c.items[0].rank)
	c.items[0] = c.items[last]
	if c.items = c.items[:last]; last > 0 {
		heap.Fix(c, 0)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *rankHeap) Len() int { return len(c.items) }

func (c *rankHeap) Less(i, j int) bool { return c.items[i].rank < c.items[j].rank }

func (c *rankHeap) Swap(i, j int) { c.items[i], c.items[j] = c.items[j], c.items[i] }

func (c *rankHeap) Push(x any) { c.items = append(c.items, x.(sampledRecord)) }

func (c *rankHeap) Pop() any {
	last := c.items[len(c.items)-1]
	c.items = c.items[:len(c.items)-1]
	return last
}
