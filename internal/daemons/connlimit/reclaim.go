package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// Rule says why a connection was closed to make room for another one. Where several may be closed, the rule that stands first here decides;
// among those of one rule, the one that it has applied to for longest.
type Rule int

// The rules.
const (
	// Finished: its last response is written, and it only waits for the caller to close it.
	Finished Rule = iota

	// NeverUsed: no request of it was ever answered. The bytes of an incomplete head change nothing: who sends them one by one uses the
	// connection no more than who sends none.
	NeverUsed

	// SlowFirstBody: nothing of its first request was passed on, as the body comes too slowly. The caller is answered 408 before the close.
	SlowFirstBody

	// Idle: it is between two requests, or has an incomplete head of another one.
	Idle

	// SlowBody: as SlowFirstBody, on a connection that has had a request answered before.
	SlowBody

	// StalledReader: the caller has taken nothing of its response for stalledReaderAge. It carries a request, but one whose caller has
	// stopped; without this rule a few callers who never read would hold a listener for as long as write deadlines allow.
	StalledReader

	ruleCount
)

// String is the rule's name in logs and figures.
func (r Rule) String() string {
	return [...]string{"finished", "never_used", "slow_first_body", "idle", "slow_body", "stalled_reader"}[r]
}

const (
	// minAge is how long a connection is left to its caller after it was accepted, or after its last response: what follows on a live
	// connection arrives within a round trip, and is then found waiting in the kernel.
	minAge = 20 * time.Millisecond

	slowHeadAge      = 100 * time.Millisecond // since the head's first byte, whatever came of it
	slowBodyAge      = 250 * time.Millisecond // since the body's last progress
	stalledReaderAge = time.Second

	// writePartBytes is how much of a response is written at once: one part taken by the kernel is progress.
	writePartBytes = 64 << 10

	// reclaimBatchPart of the limit is closed at once, so that the search is not repeated for each new caller.
	reclaimBatchPart = 64
	maxReclaimBatch  = 8

	// floodPart: where more than this part of the limit is connections that have never had a request answered, and none of these may be closed
	// yet, nobody who has is closed for them: some of them will soon have been silent for long enough.
	floodPart = 8
)

// candidate is a connection that may be closed to make room.
type candidate struct {
	conn  *Conn
	state connState // that the connection must still be in
	rule  Rule
	since time.Duration // the rule has applied, from clockBase on
}

// candidateOf tells whether a connection may be closed, and by which rule that is, or will be; ruleCount: by none.
func candidateOf(c *Conn) (candidate, bool) {
	state := c.state.Load()
	found := candidate{conn: c, state: state, since: state.since(), rule: ruleCount}
	var atLeast time.Duration
	switch state.phase() {
	case phaseFinished:
		found.rule = Finished
	case phaseNew:
		found.rule, atLeast = NeverUsed, minAge
	case phaseIdle:
		found.rule, atLeast = Idle, minAge
	case phaseHead:
		if found.rule, atLeast = NeverUsed, slowHeadAge; c.used.Load() {
			found.rule = Idle
		}
	case phaseBody:
		if found.rule, atLeast = SlowFirstBody, slowBodyAge; c.used.Load() {
			found.rule = SlowBody
		}
	case phaseBusy:
		began := c.writeBegan.Load()
		if began == 0 {
			return found, false
		}
		found.rule, found.since, atLeast = StalledReader, time.Duration(began), stalledReaderAge
	default:
		return found, false
	}
	return found, time.Since(clockBase)-found.since >= atLeast
}

// reclaim closes connections by the first rule that applies to any. It reports whether it closed one; a slow body's connection closes only
// once its caller is answered.
func (l *Limiter) reclaim() bool {
	candidates := l.candidates()
	if len(candidates) == 0 {
		return false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rule, b.rule), cmp.Compare(a.since, b.since))
	})
	rule, closed := candidates[0].rule, 0
	for _, found := range candidates {
		if found.rule != rule || closed >= l.reclaimBatch() {
			break
		}
		if found.take() {
			closed++
			l.reclaimed[rule].Add(1)
		}
	}
	return closed > 0 && !rule.answersFirst()
}

// answersFirst tells whether connections that make room by a rule are closed by their server only, once it has answered.
func (r Rule) answersFirst() bool { return r == SlowFirstBody || r == SlowBody }

// candidates lists the connections that may be closed.
func (l *Limiter) candidates() (candidates []candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newcomers := 0
	for c := range l.conns {
		found, ok := candidateOf(c)
		if ok {
			candidates = append(candidates, found)
		} else if found.rule <= SlowFirstBody {
			newcomers++
		}
	}
	if newcomers > l.limit/floodPart {
		candidates = slices.DeleteFunc(candidates, func(found candidate) bool { return found.rule > SlowFirstBody })
	}
	return candidates
}

// reclaimBatch is how many connections are closed at once.
func (l *Limiter) reclaimBatch() int { return min(max(l.limit/reclaimBatchPart, 1), maxReclaimBatch) }

// take closes the connection, or has its request answered, unless something has happened on it since it was looked at.
func (found candidate) take() bool {
	c := found.conn
	if found.rule.answersFirst() {
		if !c.state.CompareAndSwap(found.state, newState(phaseShed)) {
			return false
		}
		_ = c.SetReadDeadline(longAgo) // fails on a closed connection only, whose reads end by themselves
		return true
	}
	if phase := found.state.phase(); (phase == phaseNew || phase == phaseIdle) && c.hasUnreadBytes() {
		return false // a request has just come
	}
	if !c.state.CompareAndSwap(found.state, newState(phaseReclaimed)) {
		return false
	}
	_ = c.Close() // it is given up, whatever has become of it
	return true
}
