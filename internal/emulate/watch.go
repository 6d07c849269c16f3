package emulate

import (
	"fmt"
	"slices"
	"time"

	"zincloft.example/zincloft/rules"
)

// Rule is one of the five.
type Rule string

// The rules.
const (
	Bare     Rule = "no proxy is left without a replica"
	Twice    Rule = "no effect happens twice"
	Drains   Rule = "drains are kept"
	ColdFall Rule = "no cold replica is pushed over"
	Queue    Rule = "the queue stays short"
)

// Break is a rule that broke.
type Break struct {
	Rule   Rule    `json:"Rule"`
	At     float64 // seconds from the start
	Detail string
}

// slack is by how much limits of time are longer, as on the platform.
const slack = 300 * time.Millisecond

// checkEach is how often what has no event of its own is looked at.
const checkEach = 100 * time.Millisecond

// watch checks the rules all through a run.
type watch struct {
	w      *World
	bares  map[*proxy][]rules.Time // by group; 0: has a line
	order  []*proxy
	broken map[Rule]bool
	lately []Note // what governors were told and ordered, for as long as minute
}

// minute is how far back a trace of what led to a break goes, and lines how many it has at most.
const (
	minute     = 60.0
	traceLines = 400
)

// trace keeps a line of what happened, to be shown if a rule breaks.
func (x *watch) trace(text string) {
	if len(x.w.res.Breaks) > 0 {
		return
	}
	x.lately = append(x.lately, Note{x.w.seconds(), text})
	if drop := len(x.lately) - traceLines; drop > traceLines {
		x.lately = slices.Delete(x.lately, 0, drop)
	}
}

func (x *watch) init(w *World) {
	x.w, x.bares, x.broken = w, map[*proxy][]rules.Time{}, map[Rule]bool{}
	w.in(checkEach, x.check)
}

func (x *watch) broke(rule Rule, format string, args ...any) {
	b := Break{rule, x.w.seconds(), fmt.Sprintf(format, args...)}
	x.w.res.Broken++
	if x.broken[rule] {
		return
	}
	x.broken[rule] = true
	if len(x.w.res.Breaks) == 0 {
		for _, n := range x.lately[max(len(x.lately)-traceLines, 0):] {
			if n.At >= b.At-minute {
				x.w.res.Before = append(x.w.res.Before, n)
			}
		}
	}
	x.w.res.Breaks = append(x.w.res.Breaks, b)
	if x.w.play.OnBreak != nil {
		x.w.play.OnBreak(x.w, b)
	}
}

// bare notes which of a proxy's groups have nothing to pick.
func (x *watch) bare(p *proxy, joined bool) {
	since := x.bares[p]
	any := false
	for g, v := range p.views {
		lacks := true
		if v != nil {
			for _, r := range v.replicas {
				if !p.shut[r] {
					lacks = false
					break
				}
			}
		}
		if lacks && joined {
			if since == nil {
				since = make([]rules.Time, len(p.views))
			}
			if any = true; since[g] == 0 {
				since[g] = x.w.now
			}
		} else if since != nil {
			since[g] = 0
		}
	}
	if !any {
		delete(x.bares, p)
		return
	}
	if _, is := x.bares[p]; !is {
		x.order = append(x.order, p)
	}
	x.bares[p] = since
}

// check looks at proxies that have nothing to pick, and at cold replicas.
func (x *watch) check() {
	w := x.w
	w.in(checkEach, x.check)
	kept := x.order[:0]
	for _, p := range x.order {
		since, is := x.bares[p]
		if !is {
			continue
		}
		kept = append(kept, p)
		if p.gov == nil || !p.up {
			continue
		}
		for g, at := range since {
			if at == 0 || w.now-at <= rules.Time(w.fleet.BareMost+slack) || !p.gov.offers(p, g, at) {
				continue
			}
			x.broke(Bare, "proxy %d of governor %d has no replica for %s since %.2f s", p.id, p.gov.n, w.fleet.Groups[g].Name,
				time.Duration(at-w.begun).Seconds())
			since[g] = w.now
		}
	}
	x.order = kept
	for _, r := range w.replicas {
		if r.up && r.cold() {
			x.flow(r)
		}
	}
}

// offers tells whether a governor's list has shown a ready, warm replica to a proxy ever since.
func (g *governor) offers(p *proxy, group int, since rules.Time) bool {
	f := g.w.fleet
	for r, e := range g.known {
		warm := e.StartedAt == 0 || since-e.StartedAt >= rules.Time(f.WarmAfter)
		if _, out := g.told[r]; !out && e.State == rules.Ready && warm && (!f.Groups[group].HomeOnly || int(e.Zone) == p.zone) {
			return true
		}
	}
	return false
}

// sent checks that a try does not go where the governor knows that a replica drains or is gone.
func (x *watch) sent(p *proxy, r *replica) {
	g := p.gov
	if g == nil {
		return
	}
	at, is := g.told[r.id]
	if !is {
		return
	}
	if late := x.w.now - max(at, p.since); late > rules.Time(x.w.fleet.DrainGrace+slack) {
		x.broke(Drains, "proxy %d sends to replica %d %.2f s after governor %d was told that it drains or is gone", p.id, r.id,
			time.Duration(x.w.now-at).Seconds(), g.n)
	}
}

// effect checks that what a proxy repeated has not taken effect twice.
func (x *watch) effect(t *try) {
	f := t.flow
	if f.ran < 2 || f.repeats == 0 {
		return
	}
	switch e := x.w.fleet.Groups[f.group]; e.Effect {
	case "non-retriable":
		x.broke(Twice, "a flow of %s took effect %d times", e.Name, f.ran)
	case "deduped":
		if x.w.now-f.born > rules.Time(e.Window) {
			x.broke(Twice, "a flow of %s was repeated outside its window", e.Name)
		}
	}
}

// part is the number of the present part of FallAfter.
func (x *watch) part() int64 {
	return int64(x.w.now) * fallParts / int64(x.w.fleet.FallAfter)
}

// flow brings a cold replica's parts up to now.
func (x *watch) flow(r *replica) {
	part := x.part()
	if r.part == 0 || part-r.part >= fallParts {
		r.came, r.can = [fallParts]float64{}, [fallParts]float64{}
		r.part = part - 1
	}
	for r.part < part {
		r.part++
		i := r.part % fallParts
		r.came[i] = 0
		r.can[i] = r.pace() * float64(r.cores) * x.w.fleet.FallAfter.Seconds() / fallParts
	}
}

// came adds work that a cold replica is brought. It falls over when that was too much for too long.
func (x *watch) came(r *replica, work float64) {
	if !r.cold() {
		return
	}
	x.flow(r)
	r.came[r.part%fallParts] += work
	came, can := 0.0, 0.0
	for i := range r.came {
		if r.can[i] == 0 {
			return // not up for long enough
		}
		came, can = came+r.came[i], can+r.can[i]
	}
	if came < can*x.w.fleet.FallMultiple {
		return
	}
	r.die(false)
	r.fallen, r.state = true, rules.Gone
	x.w.list.change(r)
	x.broke(ColdFall, "replica %d, %.1f s old, was brought %.1f times what it can do", r.id, time.Duration(x.w.now-r.started).Seconds(), came/can)
}

// channel checks the lines that wait.
func (x *watch) channel(g *governor) {
	lines := g.waits()
	x.w.second.Waiting = max(x.w.second.Waiting, lines/x.w.fleet.QueueCap)
	if !x.w.play.FreeChannel && lines > x.w.fleet.QueueCap {
		x.broke(Queue, "%.0f lines wait in the channel of governor %d, %.0f may", lines, g.n, x.w.fleet.QueueCap)
	}
}

// message checks how many messages a proxy is sent.
func (x *watch) message(g *governor, m *member) {
	if n := len(m.sent); !x.w.play.FreeChannel && x.w.fleet.MessageCap > 0 && n > x.w.fleet.MessageCap {
		x.broke(Queue, "governor %d has sent proxy %d %d messages within %v", g.n, m.p.id, n, x.w.fleet.MessageSec)
	}
}
