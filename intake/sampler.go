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
	cleanRoomPart = 4  // a quarter of a stratum's room is left to records without drops
	minClassRoom  = 2  // and two at least; with one, what it stands for has no bound on its spread
	minRoom       = 4  // records that any stratum may keep
	minStrata     = 16 // rooms are by no fewer strata than this, until it is known how many there are
)

// sampledRecord is a kept record, with its sender.
type sampledRecord struct {
	replica             rules.ReplicaID
	proxy               rules.ProxyID
	zone                rules.ZoneID
	attempts, dropped   int32
	meanLatency, window time.Duration
	ageWeight           float64 // 1 for a fresh record
	rank                float64
}

// size is what a record's chance to be kept is proportional to.
func (it *sampledRecord) size() float64 { return float64(it.attempts) * it.ageWeight }

// counts are a record's attempts and drops, weighted by age, where it stands for so many like it.
func (it *sampledRecord) counts(stands float64) (tries, dropped float64) {
	return float64(it.attempts) * it.ageWeight * stands, float64(it.dropped) * it.ageWeight * stands
}

// sampler samples records by strata, each with a room of its own. In a stratum, records with drops come before those
// without, which keep a quarter of the room; in each of the two classes the records of highest rank stay (priority
// sampling: rank is size by a uniform draw, and one that stays stands for max(size, threshold), where the threshold
// is the highest rank that did not; Duffield, Lund and Thorup, 2007). Totals of any choice of records are then
// unbiased. Rooms never grow within a period, so what stays is always the highest of all that came.
type sampler struct {
	seed         uint64
	draws        uint64
	budget       int
	kept         int
	strata       map[uint32]*stratum
	strataBefore int // strata of the period before
	spare        []*stratum
}

type stratum struct {
	room          int
	failed, clean class
}

func newSampler(seed uint64, budget int) sampler {
	return sampler{seed: seed, budget: budget, strata: map[uint32]*stratum{}}
}

// draw is uniform over (0, 1].
func (s *sampler) draw() float64 {
	s.draws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.seed)
	binary.LittleEndian.PutUint64(b[8:], s.draws)
	return float64(xxhash.Sum64(b[:])>>11+1) / (1 << 53)
}

// offer takes a record in and reports whether it is kept for now.
func (s *sampler) offer(key uint32, it sampledRecord) bool {
	st := s.strata[key]
	if st == nil {
		st = s.newStratum(key)
	}
	it.rank = it.size() / s.draw()
	c, most := &st.clean, st.room-max(st.room/cleanRoomPart, minClassRoom)
	if it.dropped > 0 {
		c = &st.failed
	}
	failed, clean := len(st.failed.items), len(st.clean.items)
	switch {
	case failed+clean < st.room:
		s.kept++
		c.push(it)
	case it.dropped > 0 && failed < most:
		st.clean.evictLowest()
		c.push(it)
	case it.dropped == 0 && clean < st.room-most: // failed ones came first and hold the others' part
		st.failed.evictLowest()
		c.push(it)
	case it.rank > c.items[0].rank:
		c.threshold = max(c.threshold, c.items[0].rank)
		c.items[0] = it
		heap.Fix(c, 0)
	default:
		c.threshold = max(c.threshold, it.rank)
		return false
	}
	return true
}

func (s *sampler) newStratum(key uint32) *stratum {
	st := &stratum{}
	if n := len(s.spare); n > 0 {
		st, s.spare = s.spare[n-1], s.spare[:n-1]
	}
	if st.room = s.budget / max(s.strataBefore, len(s.strata)+1, minStrata); s.kept >= s.budget {
		st.room = 0
	}
	st.room = max(st.room, minRoom)
	s.strata[key] = st
	return st
}

// each calls f for all kept records, by stratum, with how many records like it each stands for.
func (s *sampler) each(f func(key uint32, it *sampledRecord, stands float64)) {
	for _, key := range slices.Sorted(maps.Keys(s.strata)) {
		st := s.strata[key]
		for _, c := range []*class{&st.failed, &st.clean} {
			for i := range c.items {
				it := &c.items[i]
				f(key, it, max(it.size(), c.threshold)/it.size())
			}
		}
	}
}

// reset begins a new period, with no records.
func (s *sampler) reset() {
	s.strataBefore = len(s.strata)
	for _, st := range s.strata {
		st.failed.items, st.clean.items = st.failed.items[:0], st.clean.items[:0]
		st.failed.threshold, st.clean.threshold = 0, 0
		if len(s.spare) < len(s.strata) {
			s.spare = append(s.spare, st)
		}
	}
	clear(s.strata)
	s.kept = 0
}

// class is a heap of records, lowest rank first.
type class struct {
	items     []sampledRecord
	threshold float64
}

// push adds a record. Unlike heap.Push it allocates nothing.
func (c *class) push(it sampledRecord) {
	c.items = append(c.items, it)
	heap.Fix(c, len(c.items)-1)
}

// evictLowest evicts the record of lowest rank, for which the others stand from now on.
func (c *class) evictLowest() {
	last := len(c.items) - 1
	c.threshold = max(c.threshold, c.items[0].rank)
	c.items[0] = c.items[last]
	if c.items = c.items[:last]; last > 0 {
		heap.Fix(c, 0)
	}
}

// Len, Less and Swap are sort.Interface's, Push and Pop heap.Interface's.
func (c *class) Len() int { return len(c.items) }

func (c *class) Less(i, j int) bool { return c.items[i].rank < c.items[j].rank }

func (c *class) Swap(i, j int) { c.items[i], c.items[j] = c.items[j], c.items[i] }

func (c *class) Push(x any) { c.items = append(c.items, x.(sampledRecord)) }

func (c *class) Pop() any {
	last := c.items[len(c.items)-1]
	c.items = c.items[:len(c.items)-1]
	return last
}
