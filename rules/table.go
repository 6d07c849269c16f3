package rules

import "cmp"

// table is a weight table of the replicas that its traffic groups may use. Where there are several tables of a kind, each
// gives most of its weight to a subset of the replicas.
type table struct {
	id               TableID
	kind             int
	zone             ZoneID // home tables only
	paired           *table // home tables only, if there are several: common table of the same proxies
	proxies          []*proxy
	flows            float64 // received by its proxies, over the speed window
	entries          float64 // number of entries that it holds
	admits           []Admit // last ordered, by index in Governor.groups
	subset           []*replica
	spare, totalSize float64 // usable spare capacity of its subset; size of all replicas it accepts
	attempts, drops  float64 // of its subset, over the health window
	urgent, changes  []change
	movedFlows       float64 // flows that its pending changes move
}

// change is a pending weight change of a table.
type change struct {
	replica       *replica
	weight, delta float64
}

// spareCapacity is the spare capacity of a table's subset, without share limits.
func (t *table) spareCapacity() (sum float64) {
	for _, r := range t.subset {
		sum += r.spare
	}
	return sum
}

// warmRatio is 1 for a warm replica. For a cold one it is the ratio of ordered to wanted weights of the table's warm replicas.
// Proxies use relative weights, so a cold replica would exceed its wanted share while the others' weights are too low.
func (t *table) warmRatio(r *replica) float64 {
	if !r.cold {
		return 1
	}
	want, sent := 0.0, 0.0
	for _, o := range t.subset {
		if o.sent[t.id] > 0 && !o.cold && o.state == Ready {
			want, sent = want+o.wanted[t.kind], sent+o.sent[t.id]
		}
	}
	if want == 0 {
		return 1
	}
	return min(sent/want, 1)
}

// accepts reports whether a table serves the replicas and proxies of a zone.
func (t *table) accepts(z ZoneID) bool { return t.kind == common || t.zone == z }

// byMovedFlows sorts tables by the flows that their pending changes move, in descending order.
func byMovedFlows(a, b *table) int { return cmp.Compare(b.movedFlows, a.movedFlows) }

// coldExcess is the number of flows per period beyond the capacity of a table's warm replicas, per cold replica of its subset.
// It is 0 if at least minWarm warm replicas have an ordered weight no lower than r's wanted weight.
func (g *Governor) coldExcess(now Time, t *table, r *replica, minWarm int) float64 {
	flows, cold := t.flows/speedPeriods*(1+g.dropShare), 0.0
	for _, o := range t.subset {
		if o.state == Ready && !g.warm(now, o) {
			cold++
		} else if o.state == Ready && o.sent[t.id] > 0 && o.sent[t.id] >= r.wanted[t.kind] {
			if flows, minWarm = flows-o.size*g.speed, minWarm-1; minWarm <= 0 {
				return 0
			}
		}
	}
	return flows / max(cold, 1)
}

// setWeight orders a replica's weight in a table.
func (g *Governor) setWeight(t *table, r *replica, weight float64) {
	if r.sent[t.id] == 0 {
		r.tables, t.entries = r.tables+1, t.entries+1
	}
	if weight == 0 {
		r.tables, t.entries = r.tables-1, t.entries-1
	}
	r.sent[t.id] = weight
	g.orders = append(g.orders, EndpointWeight{t.id, r.id, weight})
}

// resend clears a table and orders its subset and admission levels again.
func (g *Governor) resend(t *table) {
	g.orders = append(g.orders, ClearTable{t.id})
	for _, r := range g.replicas {
		if r.sent[t.id] > 0 {
			r.sent[t.id], r.tables = 0, r.tables-1
		}
	}
	t.entries = 0
	for _, r := range t.subset {
		if r.wanted[t.kind] > 0 {
			g.setWeight(t, r, r.wanted[t.kind])
		}
	}
	for _, o := range t.admits {
		if o.Groups != 0 {
			g.orders = append(g.orders, o)
		}
	}
}
