package rules

import (
	"math"
	"math/bits"
	"slices"
)

// proxy is the state of a joined proxy.
type proxy struct {
	id        ProxyID
	zone      ZoneID
	rate      float64 // flows per second at the time of joining
	fresh     bool    // had only its default tables when it joined
	entryCost float64 // channel entries per table entry when it is bound
	table     [2]*table
	messages  []Time         // send times of messages within the message span
	lastStep  int            // last Step that sent to it
	ejections []pairEjection // oldest first
}

// join adds a proxy and replaces an earlier stream of it.
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

func (g *Governor) leave(id ProxyID) {
	p := g.proxies[id]
	if p == nil {
		return
	}
	is := func(q *proxy) bool { return q == p }
	for _, t := range p.table {
		if t != nil {
			t.proxies, t.flows = slices.DeleteFunc(t.proxies, is), max(t.flows-g.expectedFlows(p, t), 0)
		}
	}
	g.unbound = slices.DeleteFunc(g.unbound, is)
	if len(p.ejections) > 0 {
		g.ejecting = slices.DeleteFunc(g.ejecting, is)
	}
	delete(g.proxies, id)
}

// expectedFlows estimates a proxy's flows for a table over the speed window, from the rate that it joined with.
func (g *Governor) expectedFlows(p *proxy, t *table) float64 {
	groups := float64(bits.OnesCount16(uint16(g.cfg.groups[t.kind]))) / float64(len(g.groups))
	return p.rate * groups * speedPeriods * g.cfg.period.Seconds()
}

// countTraffic adds a proxy's flows to the counts of the traffic group and of the proxy's tables.
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
