package emulate

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Invariant is one of the five.
type Invariant string

// The rules.
const (
	ProxiesHaveReplicas Invariant = "no proxy is left without a replica"
	EffectsHappenOnce   Invariant = "no effect happens twice"
	DrainsAreKept       Invariant = "drains are kept"
	WarmupIsBounded     Invariant = "no cold replica is pushed over"
	ChannelIsBounded    Invariant = "the queue stays short"
)

// Violation is a rule that broke.
type Violation struct {
	Invariant Invariant `json:"Rule"`
	At        float64   // seconds from the start
	Detail    string
}

// timingTolerance is by how much limits of time are longer, as on the platform.
const timingTolerance = 300 * time.Millisecond

// checkInterval is how often what has no event of its own is looked at.
const checkInterval = 100 * time.Millisecond

// monitor checks the rules all through a run.
type monitor struct {
	sim           *Simulation
	unservedSince map[*proxy][]rules.Time // by group; 0: has a line
	unservedOrder []*proxy
	violated      map[Invariant]bool
	recentTrace   []LogEntry // what governors were told and ordered, for as long as minute
}

// minute is how far back a trace of what led to a break goes, and lines how many it has at most.
const (
	traceSeconds = 60.0
	traceLines   = 400
)

// trace keeps a line of what happened, to be shown if a rule breaks.
func (x *monitor) trace(text string) {
	if len(x.sim.result.Violations) > 0 {
		return
	}
	x.recentTrace = append(x.recentTrace, LogEntry{x.sim.elapsedSeconds(), text})
	if drop := len(x.recentTrace) - traceLines; drop > traceLines {
		x.recentTrace = slices.Delete(x.recentTrace, 0, drop)
	}
}

func (x *monitor) start(sim *Simulation) {
	x.sim, x.unservedSince, x.violated = sim, map[*proxy][]rules.Time{}, map[Invariant]bool{}
	sim.schedule(checkInterval, x.check)
}

func (x *monitor) violate(rule Invariant, format string, args ...any) {
	b := Violation{rule, x.sim.elapsedSeconds(), fmt.Sprintf(format, args...)}
	x.sim.result.ViolationCount++
	if x.violated[rule] {
		return
	}
	x.violated[rule] = true
	if len(x.sim.result.Violations) == 0 {
		for _, n := range x.recentTrace[max(len(x.recentTrace)-traceLines, 0):] {
			if n.At >= b.At-traceSeconds {
				x.sim.result.Trace = append(x.sim.result.Trace, n)
			}
		}
	}
	x.sim.result.Violations = append(x.sim.result.Violations, b)
	if x.sim.config.OnViolation != nil {
		x.sim.config.OnViolation(x.sim, b)
	}
}

// updateUnserved notes which of a proxy's groups have nothing to pick.
func (x *monitor) updateUnserved(p *proxy, joined bool) {
	since := x.unservedSince[p]
	any := false
	for g, v := range p.tables {
		lacks := true
		if v != nil {
			for _, r := range v.replicas {
				if !p.ejected[r] {
					lacks = false
					break
				}
			}
		}
		if lacks && joined {
			if since == nil {
				since = make([]rules.Time, len(p.tables))
			}
			if any = true; since[g] == 0 {
				since[g] = x.sim.now
			}
		} else if since != nil {
			since[g] = 0
		}
	}
	if !any {
		delete(x.unservedSince, p)
		return
	}
	if _, is := x.unservedSince[p]; !is {
		x.unservedOrder = append(x.unservedOrder, p)
	}
	x.unservedSince[p] = since
}

// check looks at proxies that have nothing to pick, and at cold replicas.
func (x *monitor) check() {
	sim := x.sim
	sim.schedule(checkInterval, x.check)
	kept := x.unservedOrder[:0]
	for _, p := range x.unservedOrder {
		since, is := x.unservedSince[p]
		if !is {
			continue
		}
		kept = append(kept, p)
		if p.governor == nil || !p.up {
			continue
		}
		for g, at := range since {
			if at == 0 || sim.now-at <= rules.Time(sim.fleet.MaxUnservedTime+timingTolerance) || !p.governor.hasUsableReplica(p, g, at) {
				continue
			}
			x.violate(ProxiesHaveReplicas, "proxy %d of governor %d has no replica for %s since %.2f s", p.id, p.governor.index, sim.fleet.Groups[g].Name,
				time.Duration(at-sim.start).Seconds())
			since[g] = sim.now
		}
	}
	x.unservedOrder = kept
	for _, r := range sim.replicas {
		if r.up && r.isWarmingUp() {
			x.advanceWindow(r)
		}
	}
}

// hasUsableReplica tells whether a governor's list has shown a ready, warm replica to a proxy ever since.
func (g *governor) hasUsableReplica(p *proxy, group int, since rules.Time) bool {
	f := g.sim.fleet
	for r, e := range g.listed {
		warm := e.StartedAt == 0 || since-e.StartedAt >= rules.Time(f.WarmupDuration)
		if _, out := g.unavailableSince[r]; !out && e.State == rules.Ready && warm && (!f.Groups[group].HomeOnly || int(e.Zone) == p.zone) {
			return true
		}
	}
	return false
}

// checkDrain checks that a try does not go where the governor knows that a replica drains or is gone.
func (x *monitor) checkDrain(p *proxy, r *replica) {
	g := p.governor
	if g == nil {
		return
	}
	at, is := g.unavailableSince[r.id]
	if !is {
		return
	}
	if late := x.sim.now - max(at, p.joinedAt); late > rules.Time(x.sim.fleet.DrainGrace+timingTolerance) {
		x.violate(DrainsAreKept, "proxy %d sends to replica %d %.2f s after governor %d was told that it drains or is gone", p.id, r.id,
			time.Duration(x.sim.now-at).Seconds(), g.index)
	}
}

// checkEffects checks that what a proxy repeated has not taken effect twice.
func (x *monitor) checkEffects(t *attempt) {
	f := t.flow
	if f.effects < 2 || f.retries == 0 {
		return
	}
	switch e := x.sim.fleet.Groups[f.group]; e.Effect {
	case "non-retriable":
		x.violate(EffectsHappenOnce, "a flow of %s took effect %d times", e.Name, f.effects)
	case "deduped":
		if x.sim.now-f.arrivedAt > rules.Time(e.DedupWindow) {
			x.violate(EffectsHappenOnce, "a flow of %s was repeated outside its window", e.Name)
		}
	}
}

// currentPart is the number of the present part of FallAfter.
func (x *monitor) currentPart() int64 {
	return int64(x.sim.now) * overloadWindowParts / int64(x.sim.fleet.OverloadWindow)
}

// advanceWindow brings a cold replica's parts up to now.
func (x *monitor) advanceWindow(r *replica) {
	part := x.currentPart()
	if r.windowPart == 0 || part-r.windowPart >= overloadWindowParts {
		r.arrivedWork, r.possibleWork = [overloadWindowParts]float64{}, [overloadWindowParts]float64{}
		r.windowPart = part - 1
	}
	for r.windowPart < part {
		r.windowPart++
		i := r.windowPart % overloadWindowParts
		r.arrivedWork[i] = 0
		r.possibleWork[i] = r.coreRate() * float64(r.cores) * x.sim.fleet.OverloadWindow.Seconds() / overloadWindowParts
	}
}

// recordWarmupWork adds work that a cold replica is brought. It falls over when that was too much for too long.
func (x *monitor) recordWarmupWork(r *replica, work float64) {
	if !r.isWarmingUp() {
		return
	}
	x.advanceWindow(r)
	r.arrivedWork[r.windowPart%overloadWindowParts] += work
	came, can := 0.0, 0.0
	for i := range r.arrivedWork {
		if r.possibleWork[i] == 0 {
			return // not up for long enough
		}
		came, can = came+r.arrivedWork[i], can+r.possibleWork[i]
	}
	if came < can*x.sim.fleet.OverloadMultiple {
		return
	}
	r.crash(false)
	r.overloaded, r.state = true, rules.Gone
	x.sim.discovery.update(r)
	x.violate(WarmupIsBounded, "replica %d, %.1f s old, was brought %.1f times what it can do", r.id, time.Duration(x.sim.now-r.startedAt).Seconds(), came/can)
}

// checkChannel checks the lines that wait.
func (x *monitor) checkChannel(g *governor) {
	lines := g.queuedLines()
	x.sim.current.ChannelFill = max(x.sim.current.ChannelFill, lines/x.sim.fleet.ChannelCapacity)
	if !x.sim.config.FreeChannel && lines > x.sim.fleet.ChannelCapacity {
		x.violate(ChannelIsBounded, "%.0f lines wait in the channel of governor %d, %.0f may", lines, g.index, x.sim.fleet.ChannelCapacity)
	}
}

// checkMessages checks how many messages a proxy is sent.
func (x *monitor) checkMessages(g *governor, m *proxySession) {
	if n := len(m.recentMessages); !x.sim.config.FreeChannel && x.sim.fleet.MaxMessages > 0 && n > x.sim.fleet.MaxMessages {
		x.violate(ChannelIsBounded, "governor %d has sent proxy %d %d messages within %v", g.index, m.proxy.id, n, x.sim.fleet.MessageWindow)
	}
}
