package emulate

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Invariant is a property that a governor must maintain under all faults. Its text is part of results.
type Invariant string

// The invariants checked in every run.
const (
	ProxiesHaveEndpoints Invariant = "no proxy is left without a replica"
	EffectsAppliedOnce   Invariant = "no effect happens twice"
	DrainGraceRespected  Invariant = "drains are kept"
	WarmupLoadBounded    Invariant = "no cold replica is pushed over"
	ChannelQueueBounded  Invariant = "the queue stays short"
)

// Violation is a detected violation of an invariant.
type Violation struct {
	Invariant Invariant `json:"Rule"`
	At        float64   // seconds from the start
	Detail    string
}

const (
	// timingTolerance is added to time limits. The platform applies the same tolerance.
	timingTolerance = 300 * time.Millisecond
	// checkInterval is the interval of the checks for time-based invariants.
	checkInterval = 100 * time.Millisecond
	// traceSeconds and maxTraceLines limit the trace that precedes the first violation in a result.
	traceSeconds  = 60.0
	maxTraceLines = 400
)

// monitor checks the invariants during a run.
type monitor struct {
	sim           *Simulation
	unservedSince map[*proxy][]rules.Time // by traffic group; 0 if it has an endpoint
	unservedOrder []*proxy                // keys of unservedSince; may contain removed ones
	violated      map[Invariant]bool
	recentTrace   []LogEntry // events and orders of governors
}

func (m *monitor) start(sim *Simulation) {
	m.sim, m.unservedSince, m.violated = sim, map[*proxy][]rules.Time{}, map[Invariant]bool{}
	sim.schedule(checkInterval, m.check)
}

// trace records a line for the trace of the first violation. It does nothing after that.
func (m *monitor) trace(text string) {
	if len(m.sim.result.Violations) > 0 {
		return
	}
	m.recentTrace = append(m.recentTrace, LogEntry{m.sim.elapsedSeconds(), text})
	if excess := len(m.recentTrace) - maxTraceLines; excess > maxTraceLines { // amortizes the cost of moving the remaining lines
		m.recentTrace = slices.Delete(m.recentTrace, 0, excess)
	}
}

// violate counts a violation and records the first one of each invariant.
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

// traceBefore returns the trace lines that precede a violation.
func (m *monitor) traceBefore(violation Violation) []LogEntry {
	var trace []LogEntry
	for _, entry := range m.recentTrace[max(len(m.recentTrace)-maxTraceLines, 0):] {
		if entry.At >= violation.At-traceSeconds {
			trace = append(trace, entry)
		}
	}
	return trace
}

// updateUnserved records the time since which each traffic group of a proxy has had no usable endpoint. A proxy that has not
// joined a governor counts as served.
func (m *monitor) updateUnserved(p *proxy, joined bool) {
	since := m.unservedSince[p]
	unserved := false
	for group, table := range p.tables {
		if joined && !p.hasEndpoint(table) {
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

// hasEndpoint reports whether a table contains a replica that is not ejected for the proxy.
func (p *proxy) hasEndpoint(table *tableSnapshot) bool {
	return table != nil && slices.ContainsFunc(table.replicas, func(id rules.ReplicaID) bool { return !p.ejected[id] })
}

// check runs the checks of time-based invariants.
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

// checkUnserved reports traffic groups of a proxy that have had no endpoint for too long although the governor knew a usable
// one. A violation restarts the period.
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

// checkDrain reports an attempt to a replica that the governor has known to be draining or deregistered for longer than the
// drain grace.
func (m *monitor) checkDrain(p *proxy, r *replica) {
	g := p.governor
	if g == nil {
		return
	}
	since, unavailable := g.unavailableSince[r.id]
	if !unavailable {
		return
	}
	if elapsed := m.sim.now - max(since, p.joinedAt); elapsed > rules.Time(m.sim.fleet.DrainGrace+timingTolerance) {
		m.violate(DrainGraceRespected, "proxy %d sends to replica %d %.2f s after governor %d was told that it drains or is gone", p.id, r.id,
			time.Duration(m.sim.now-since).Seconds(), g.index)
	}
}

// checkEffects reports a flow that was executed more than once because of proxy retries and is not safe to repeat.
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

// checkChannel checks the queue length of a governor's channel.
func (m *monitor) checkChannel(g *governor) {
	lines, capacity := g.queuedLines(), m.sim.fleet.ChannelCapacity
	m.sim.currentSecond.ChannelFill = max(m.sim.currentSecond.ChannelFill, lines/capacity)
	if !m.sim.config.UnlimitedChannel && lines > capacity {
		m.violate(ChannelQueueBounded, "%.0f lines wait in the channel of governor %d, %.0f may", lines, g.index, capacity)
	}
}

// checkMessages checks the number of messages sent to a proxy within the message window.
func (m *monitor) checkMessages(g *governor, session *proxySession) {
	fleet := m.sim.fleet
	if n := len(session.recentMessages); !m.sim.config.UnlimitedChannel && fleet.MaxMessages > 0 && n > fleet.MaxMessages {
		m.violate(ChannelQueueBounded, "governor %d has sent proxy %d %d messages within %v", g.index, session.proxy.id, n, fleet.MessageWindow)
	}
}
