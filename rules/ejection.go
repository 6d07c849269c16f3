package rules

import (
	"math"
	"slices"
)

// pairEjection is a current or recent ejection of a replica at one proxy.
type pairEjection struct {
	replica   *replica
	active    bool
	expiresAt Time
	duration  Time // doubles with each renewal
}

// ejectionOf returns a proxy's record of a replica's ejection, or nil.
func (p *proxy) ejectionOf(r *replica) *pairEjection {
	i := slices.IndexFunc(p.ejections, func(s pairEjection) bool { return s.replica == r })
	if i < 0 {
		return nil
	}
	return &p.ejections[i]
}

// ejectedShare is the largest share of weight that is ejected in any of a proxy's tables, counting r, if given, as ejected.
func (g *Governor) ejectedShare(p *proxy, r *replica) (most float64) {
	for _, t := range p.table {
		if t == nil {
			continue
		}
		ejected, total := 0.0, 0.0
		if r != nil {
			ejected = r.sent[t.id]
		}
		for _, s := range p.ejections {
			if s.active && s.replica != r {
				ejected += s.replica.sent[t.id]
			}
		}
		if ejected == 0 {
			continue
		}
		for _, other := range g.replicas {
			total += other.sent[t.id]
		}
		most = max(most, ejected/max(total, math.SmallestNonzeroFloat32))
	}
	return most
}

// ejectPair ejects a replica at one proxy for a limited time.
func (g *Governor) ejectPair(now Time, p *proxy, r *replica, duration Time) {
	s := p.ejectionOf(r)
	if s == nil {
		if len(p.ejections) == 0 {
			g.ejecting = append(g.ejecting, p)
		}
		p.ejections = append(p.ejections, pairEjection{replica: r})
		s = &p.ejections[len(p.ejections)-1]
	}
	s.active, s.duration, s.expiresAt = true, duration, now+duration
	g.orders = append(g.orders, PairEjection{p.id, r.id, true})
}

// readmitPair ends a replica's ejection at a proxy.
func (g *Governor) readmitPair(p *proxy, s *pairEjection) {
	s.active = false
	g.orders = append(g.orders, PairEjection{p.id, s.replica.id, false})
}

// dropStaleEjections deletes ejections of forgotten replicas, and those that ended at least one duration ago. Until then a
// renewed ejection takes twice as long.
func (g *Governor) dropStaleEjections(now Time) {
	g.ejecting = slices.DeleteFunc(g.ejecting, func(p *proxy) bool {
		p.ejections = slices.DeleteFunc(p.ejections, func(s pairEjection) bool {
			return g.byID[s.replica.id] != s.replica || !s.active && now >= s.expiresAt+s.duration
		})
		return len(p.ejections) == 0
	})
}
