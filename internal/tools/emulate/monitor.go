package emulate

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Invariant is a rule that a governor must keep whatever happens. Its text is part of results.
type Invariant string

// The invariants that every run checks.
const (
	ProxiesHaveEndpoints Invariant = "no proxy is left without a replica"
	EffectsAppliedOnce   Invariant = "no effect happens twice"
	DrainGraceRespected  Invariant = "drains are kept"
	WarmupLoadBounded    Invariant = "no cold replica is pushed over"
	ChannelQueueBounded  Invariant = "the queue stays short"
)

// Violation is an invariant that did not hold.
type Violation struct {
	Invariant Invariant `json:"Rule"`
	At        float64   // seconds from the start
	Detail    string
}

const (
	// timingTolerance is added to limits of time, as the platform adds it.
	timingTolerance = 300 * time.Millisecond
	// checkInterval is how often invariants are checked that no event can violate by itself.
	checkInterval = 100 * time.Millisecond
	// traceSeconds and maxTraceLines bound the trace that a result shows of the time before its first violation.
	traceSeconds  = 60.0
	maxTraceLines = 400
)

// monitor checks the invariants all through a run.
type monitor struct {
	sim           *Simulation
	unservedSince map[*proxy][]rules.Time // by traffic group; 0: has a replica
	unservedOrder []*proxy                // keys of unservedSince, and some that are no longer in it
	violated      map[Invariant]bool
	recentTrace   []LogEntry // what governors were told and ordered
}

func (m *monitor) start(sim *Simulation) {
	m.sim, m.unservedSince, m.violated = sim, map[*proxy][]rules.Time{}, map[Invariant]bool{}
	sim.schedule(checkInterval, m.check)
}

// trace keeps a line to be shown if an invariant is violated, until one is.
func (m *monitor) trace(text string) {
	if len(m.sim.result.Violations) > 0 {
		return
	}
	m.recentTrace = append(m.recentTrace, LogEntry{m.sim.elapsedSeconds(), text})
	if excess := len(m.recentTrace) - maxTraceLines; excess > maxTraceLines { // now and then, as it moves all others
		m.recentTrace = slices.Delete(m.recentTrace, 0, excess)
	}
}

// violate counts a violation, and keeps the first one of each invariant.
func (m *monitor) violate(invariant Invariant, format string, args ...any) {
	result := &m.sim.result
	violation := Violation{invariant, m.sim.elapsedSeconds(), fmt.Sprintf(format, args...)}
	result.ViolationCount++
	if m.violated[invariant] {
		return
	}
	m.violated[invariant] = true
	if len(result.Violations) == 0 {
		result.Trace = m.traceBefore(violation)
	}
	result.Violations = append(result.Violations, violation)
	if m.sim.config.OnViolation != nil {
		m.sim.config.OnViolation(m.sim, violation)
	}
}

// traceBefore is the trace of the time before a violation; nil if there is none.
func (m *monitor) traceBefore(violation Violation) []LogEntry {
	var trace []LogEntry
	for _, entry := range m.recentTrace[max(len(m.recentTrace)-maxTraceLines, 0):] {
		if entry.At >= violation.At-traceSeconds {
			trace = append(trace, entry)
		}
	}
	return trace
}

// updateUnserved notes which traffic groups of a proxy have no replica left in their tables. A proxy that has not joined a
// governor counts as served.
func (m *monitor) updateUnserved(p *proxy, joined bool) {
	since := m.unservedSince[p]
	unserved := false
	for group, table := range p.tables {
		if joined && !p.hasReplica(table) {
			unserved = true
			if since == nil {
				since = make([]rules.Time, len(p.tables))
			}
			if since[group] == 0 {
				since[group] = m.sim.now
			}
		} else if since != nil {
			since[group] = 0
		}
	}
	if !unserved {
		delete(m.unservedSince, p)
		return
	}
	if _, listed := m.unservedSince[p]; !listed {
		m.unservedOrder = append(m.unservedOrder, p)
	}
	m.unservedSince[p] = since
}

// hasReplica reports whether a table names a replica that is not ejected for the proxy.
func (p *proxy) hasReplica(table *tableSnapshot) bool {
	return table != nil && slices.ContainsFunc(table.replicas, func(id rules.ReplicaID) bool { return !p.ejected[id] })
}

// check runs the checks that time alone can violate.
func (m *monitor) check() {
	m.sim.schedule(checkInterval, m.check)
	kept := m.unservedOrder[:0]
	for _, p := range m.unservedOrder {
		since, unserved := m.unservedSince[p]
		if !unserved {
			continue
		}
		kept = append(kept, p)
		if p.governor != nil && p.up {
			m.checkUnserved(p, since)
		}
	}
	m.unservedOrder = kept
	for _, r := range m.sim.replicas {
		if r.up && r.isWarmingUp() {
			m.advanceWindow(r)
		}
	}
}

// checkUnserved checks that no traffic group of a proxy has been without a replica for too long while its governor knew a
// usable one. A violation starts the time anew.
func (m *monitor) checkUnserved(p *proxy, since []rules.Time) {
	sim := m.sim
	limit := rules.Time(sim.fleet.MaxUnservedTime + timingTolerance)
	for group, at := range since {
		if at == 0 || sim.now-at <= limit || !p.governor.hasUsableReplica(p, group, at) {
			continue
		}
		m.violate(ProxiesHaveEndpoints, "proxy %d of governor %d has no replica for %s since %.2f s", p.id, p.governor.index, sim.fleet.Groups[group].Name,
			time.Duration(at-sim.start).Seconds())
		since[group] = sim.now
	}
}

// checkDrain checks that an attempt does not go to a replica of which the governor has known for too long that it drains or
// is gone.
func (m *monitor) checkDrain(p *proxy, r *replica) {
	g := p.governor
	if g == nil {
		return
	}
	since, unavailable := g.unavailableSince[r.id]
	if !unavailable {
		return
	}
	if late := m.sim.now - max(since, p.joinedAt); late > rules.Time(m.sim.fleet.DrainGrace+timingTolerance) {
		m.violate(DrainGraceRespected, "proxy %d sends to replica %d %.2f s after governor %d was told that it drains or is gone", p.id, r.id,
			time.Duration(m.sim.now-since).Seconds(), g.index)
	}
}

// checkEffects checks that a flow that the proxy retried has not taken effect twice where that matters.
func (m *monitor) checkEffects(t *attempt) {
	f := t.flow
	if f.effects < 2 || f.retries == 0 {
		return
	}
	switch group := m.sim.fleet.Groups[f.group]; group.Effect {
	case EffectNonRetriable:
		m.violate(EffectsAppliedOnce, "a flow of %s took effect %d times", group.Name, f.effects)
	case EffectDeduped:
		if m.sim.now-f.arrivedAt > rules.Time(group.DedupWindow) {
			m.violate(EffectsAppliedOnce, "a flow of %s was repeated outside its window", group.Name)
		}
	}
}

// checkChannel checks the lines that are queued in a governor's channel.
func (m *monitor) checkChannel(g *governor) {
	lines, capacity := g.queuedLines(), m.sim.fleet.ChannelCapacity
	m.sim.current.ChannelFill = max(m.sim.current.ChannelFill, lines/capacity)
	if !m.sim.config.UnlimitedChannel && lines > capacity {
		m.violate(ChannelQueueBounded, "%.0f lines wait in the channel of governor %d, %.0f may", lines, g.index, capacity)
	}
}

// checkMessages checks how many messages a proxy was sent within the message window.
func (m *monitor) checkMessages(g *governor, session *proxySession) {
	fleet := m.sim.fleet
	if n := len(session.recentMessages); !m.sim.config.UnlimitedChannel && fleet.MaxMessages > 0 && n > fleet.MaxMessages {
		m.violate(ChannelQueueBounded, "governor %d has sent proxy %d %d messages within %v", g.index, session.proxy.id, n, fleet.MessageWindow)
	}
}
