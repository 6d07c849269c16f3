package connlimit

import (
	"cmp"
	"slices"
	"time"
)

// Rule is the reason for which a connection is reclaimed to make room for another one. Rules are listed by priority; within a rule,
// the connection to which it has applied for longest is reclaimed first.
type Rule int

// Reclaim rules.
const (
	// Finished connections have sent their last response and wait for the client to close them.
	Finished Rule = iota

	// NeverUsed connections have no answered request. An incomplete head does not count as use.
	NeverUsed

	// SlowFirstBody connections receive the body of their first request too slowly. The client gets a 408 before the close.
	SlowFirstBody

	// Idle connections are between two requests, or have received an incomplete head after an answered request.
	Idle

	// SlowBody is like SlowFirstBody for connections with an answered request.
	SlowBody

	// StalledReader connections have had no progress in sending a response for stalledReaderAge. Without this rule, clients that
	// do not read could occupy the listener until their write deadlines.
	StalledReader

	ruleCount
)

// String returns the rule's name in logs and metrics.
func (r Rule) String() string {
	return [...]string{"finished", "never_used", "slow_first_body", "idle", "slow_body", "stalled_reader"}[r]
}

const (
	// minIdleAge is the time after accept or after the last response during which a connection is not reclaimed, so that a request
	// already in transit can arrive.
	minIdleAge = 20 * time.Millisecond

	slowHeadAge      = 100 * time.Millisecond // since the first byte of the head
	slowBodyAge      = 250 * time.Millisecond // since the body's last progress
	stalledReaderAge = time.Second

	// writeChunkBytes is the size of a single write. Each completed write counts as progress.
	writeChunkBytes = 64 << 10

	// Up to limit/reclaimBatchDivisor connections are reclaimed at once, so that the search is not repeated for each new connection.
	reclaimBatchDivisor = 64
	maxReclaimBatch     = 8

	// While more than limit/newConnFloodDivisor connections have no answered request and are too young to be reclaimed, connections
	// with answered requests are kept: the young ones soon become reclaimable.
	newConnFloodDivisor = 8
)

// candidate is a connection that may be reclaimed.
type candidate struct {
	conn  *Conn
	state connState // when examined; reclaiming fails if it has changed
	rule  Rule
	since time.Duration // since when the rule has applied, relative to clockBase
}

// candidateOf returns the rule that applies to a connection, or will apply, and whether the connection may be reclaimed now. The
// rule is ruleCount if none applies.
func candidateOf(c *Conn) (candidate, bool) {
	state := c.state.Load()
	found := candidate{conn: c, state: state, since: state.since(), rule: ruleCount}
	var atLeast time.Duration
	switch state.phase() {
	case phaseResponded:
		found.rule = Finished
	case phaseNew:
		found.rule, atLeast = NeverUsed, minIdleAge
	case phaseIdle:
		found.rule, atLeast = Idle, minIdleAge
	case phaseHead:
		if found.rule, atLeast = NeverUsed, slowHeadAge; c.used.Load() {
			found.rule = Idle
		}
	case phaseBody:
		if found.rule, atLeast = SlowFirstBody, slowBodyAge; c.used.Load() {
			found.rule = SlowBody
		}
	case phaseBusy:
		began := c.writeStartedAt.Load()
		if began == 0 {
			return found, false
		}
		found.rule, found.since, atLeast = StalledReader, time.Duration(began), stalledReaderAge
	default:
		return found, false
	}
	return found, time.Since(clockBase)-found.since >= atLeast
}

// reclaim reclaims connections by the first rule that applies to any. It reports whether it closed one; connections with slow bodies
// are closed later, after their response.
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
		if found.reclaim() {
			closed++
			l.reclaimed[rule].Add(1)
		}
	}
	return closed > 0 && !rule.respondsBeforeClose()
}

// respondsBeforeClose reports whether connections reclaimed by a rule are closed by the server after a response.
func (r Rule) respondsBeforeClose() bool { return r == SlowFirstBody || r == SlowBody }

// candidates returns the connections that may be reclaimed.
func (l *Limiter) candidates() (candidates []candidate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tooYoung := 0
	for c := range l.conns {
		found, ok := candidateOf(c)
		if ok {
			candidates = append(candidates, found)
		} else if found.rule <= SlowFirstBody {
			tooYoung++
		}
	}
	if tooYoung > l.limit/newConnFloodDivisor {
		candidates = slices.DeleteFunc(candidates, func(found candidate) bool { return found.rule > SlowFirstBody })
	}
	return candidates
}

// reclaimBatch returns the number of connections reclaimed at once.
func (l *Limiter) reclaimBatch() int {
	return min(max(l.limit/reclaimBatchDivisor, 1), maxReclaimBatch)
}

// reclaim closes the connection, or makes the server answer 408, unless its state has changed since it was examined.
func (found candidate) reclaim() bool {
	c := found.conn
	if found.rule.respondsBeforeClose() {
		if !c.state.CompareAndSwap(found.state, newState(phaseBodyTimeout)) {
			return false
		}
		_ = c.SetReadDeadline(pastDeadline) // fails on a closed connection only, as reads do then
		return true
	}
	if phase := found.state.phase(); (phase == phaseNew || phase == phaseIdle) && c.hasUnreadBytes() {
		return false // a request has just arrived
	}
	if !c.state.CompareAndSwap(found.state, newState(phaseReclaimed)) {
		return false
	}
	_ = c.Close() // the connection is discarded in any case
	return true
}
