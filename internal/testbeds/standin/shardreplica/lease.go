package shardreplica

import (
	"slices"
	"time"
)

// maxKey is the greatest shard key; the smallest is 0.
const maxKey = 65535

// keySpan is a contiguous range of keys that are in the same state. Times are those of Record.now.
type keySpan struct {
	from, to     int    // inclusive
	highestFence uint64 // of all grants and releases
	granted      bool   // granted, and since then not released
	heldSince    time.Duration
	until        time.Duration // end of the lease of the last grant, which a release leaves unchanged
	slowUntil    time.Duration // end of the warm-up
}

func (s *keySpan) heldAt(now time.Duration) bool { return s.granted && now < s.until }

// end closes the hold of the span and returns it.
func (s *keySpan) end(replica string, now time.Duration) Hold {
	s.granted = false
	return s.hold(replica, min(now, s.until))
}

func (s *keySpan) hold(replica string, end time.Duration) Hold {
	return Hold{Replica: replica, From: s.from, To: s.to, Begin: s.heldSince, End: end}
}

// leaseTable holds the state of every key of a replica, as sorted spans that cover all keys.
type leaseTable struct {
	replica string
	spans   []keySpan
	ended   []Hold
}

func newLeaseTable(replica string) leaseTable {
	return leaseTable{replica: replica, spans: []keySpan{{to: maxKey}}}
}

func (t *leaseTable) index(key int) int {
	return slices.IndexFunc(t.spans, func(s keySpan) bool { return key <= s.to })
}

func (t *leaseTable) find(key uint16) *keySpan { return &t.spans[t.index(int(key))] }

// splitAt makes a span begin at a key.
func (t *leaseTable) splitAt(key int) {
	if key > maxKey {
		return
	}
	i := t.index(key)
	if t.spans[i].from == key {
		return
	}
	upper := t.spans[i]
	upper.from = key
	t.spans[i].to = key - 1
	t.spans = slices.Insert(t.spans, i+1, upper)
}

// within returns spans that cover exactly a range of keys. They may be modified until the next call.
func (t *leaseTable) within(from, to int) []keySpan {
	t.splitAt(from)
	t.splitAt(to + 1)
	return t.spans[t.index(from) : t.index(to)+1]
}

// merge joins neighbouring spans in the same state.
func (t *leaseTable) merge() {
	merged := t.spans[:1]
	for _, span := range t.spans[1:] {
		last := &merged[len(merged)-1]
		expected := span
		expected.from, expected.to = last.from, last.to
		if *last == expected {
			last.to = span.to
		} else {
			merged = append(merged, span)
		}
	}
	t.spans = merged
}

// lease is what a grant gives to a replica.
type lease struct {
	from, to  int
	fence     uint64
	arrival   time.Duration
	until     time.Duration
	slowUntil time.Duration // for keys that the replica does not hold yet
}

// grant grants or renews a lease. It returns false, and changes nothing, if a higher fence was seen on any key.
func (t *leaseTable) grant(l lease) bool {
	defer t.merge()
	spans := t.within(l.from, l.to)
	if slices.ContainsFunc(spans, func(s keySpan) bool { return s.highestFence > l.fence }) {
		return false
	}
	for i := range spans {
		span := &spans[i]
		if !span.heldAt(l.arrival) {
			if span.granted {
				t.ended = append(t.ended, span.end(t.replica, l.arrival))
			}
			span.granted, span.heldSince, span.slowUntil = true, l.arrival, l.slowUntil
		}
		span.highestFence, span.until = l.fence, l.until
	}
	return true
}

// release ends the holds of a range of keys.
func (t *leaseTable) release(from, to int, fence uint64, now time.Duration) {
	defer t.merge()
	spans := t.within(from, to)
	for i := range spans {
		spans[i].highestFence = max(spans[i].highestFence, fence)
		if spans[i].granted {
			t.ended = append(t.ended, spans[i].end(t.replica, now))
		}
	}
}

func (t *leaseTable) endAll(now time.Duration) { t.release(0, maxKey, 0, now) }

// holds returns all holds until now, including those that have not ended.
func (t *leaseTable) holds(now time.Duration) []Hold {
	holds := slices.Clone(t.ended)
	for i := range t.spans {
		if t.spans[i].granted {
			holds = append(holds, t.spans[i].hold(t.replica, min(now, t.spans[i].until)))
		}
	}
	return holds
}
