package rules

import (
	"math"
	"math/bits"
	"slices"
)

// proxy is the record of a joined proxy.
type proxy struct {
	id        ProxyID
	zone      ZoneID
	rate      float64
	fresh     bool    // it held only its standing tables when it joined
	entryCost float64 // channel entries for each entry of its tables when it is bound
	table     [2]*table
	messages  []Time         // when messages were written to it, within the message span
	lastStep  int            // the last Step that wrote to it
	ejections []pairEjection // oldest first
}

// join adds a proxy, in place of an earlier stream of its own.
func (g *Governor) join(e Joined) {
	if g.leave(e.Proxy); !g.started {
		return
	}
	p := &proxy{id: e.Proxy, zone: e.Zone, fresh: e.Fresh, entryCost: 1}
	if e.MayHoldEjections {
		p.entryCost = 2
	}
	if e.FlowRate > 0 && !math.IsInf(e.FlowRate, 0) {
		p.rate = e.FlowRate
	}
	g.proxies[p.id] = p
	g.unbound = append(g.unbound, p)
}

// leave removes a proxy.
func (g *Governor) leave(id ProxyID) {
	p := g.proxies[id]
	if p == nil {
		return
	}
	is := func(q *proxy) bool { return q == p }
	for _, t := range p.table {
		if t != nil {
			t.proxies, t.flows = slices.DeleteFunc(t.proxies, is), max(t.flows-g.expected(p, t), 0)
		}
	}
	g.unbound = slices.DeleteFunc(g.unbound, is)
	if len(p.ejections) > 0 {
		g.ejecting = slices.DeleteFunc(g.ejecting, is)
	}
	delete(g.proxies, id)
}

// expected is the flows that a proxy will bring a table within the speed window, by the rate it joined with.
func (g *Governor) expected(p *proxy, t *table) float64 {
	groups := float64(bits.OnesCount16(uint16(g.cfg.groups[t.kind]))) / float64(len(g.groups))
	return p.rate * groups * speedPeriods * g.cfg.period.Seconds()
}

// countTraffic adds a proxy's flows to those of its traffic group and of its tables.
func (g *Governor) countTraffic(e GroupTraffic) {
	i := slices.IndexFunc(g.groups, func(tg group) bool { return tg.id == e.Group })
	p := g.proxies[e.Proxy]
	if i < 0 || p == nil || e.Flows <= 0 {
		return
	}
	g.groups[i].flows += float64(e.Flows)
	g.newFlows += float64(e.Flows)
	for _, t := range p.table {
		if t != nil && g.cfg.groups[t.kind].has(e.Group) {
			t.flows += float64(e.Flows)
		}
	}
}
