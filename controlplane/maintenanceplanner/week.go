package maintenanceplanner

import (
	"fmt"
	"math"
	"math/rand/v2"

	"zincloft.example/zincloft/dataplane/capacity"
)

// SlotsADay is how a drawn week is cut: in slots of half an hour.
const SlotsADay = 48

// Week draws a week's request for measurements: nodes over three regions of four zones, windows of one to eight nodes, load
// by the time of the day with its uncertainty.
func Week(seed uint64, nodes, windows int) *Request {
	c := rand.New(rand.NewPCG(seed, 1))
	r := &Request{Slots: 7 * SlotsADay, Losses: capacity.Losses{Machines: 1, Zones: 1}}
	sum := map[string]map[string]float64{}
	for i := range nodes {
		region := fmt.Sprintf("region-%d", i%3)
		n := capacity.Node{Name: fmt.Sprintf("edge-%d", i), Region: region, Zone: fmt.Sprintf("%s-%d", region, i/3%4),
			Carries: map[string]float64{capacity.Lookups: 8 + 4*c.Float64(), capacity.Orders: 2 + c.Float64()}}
		if sum[region] == nil {
			sum[region] = map[string]float64{}
		}
		for g, x := range n.Carries {
			sum[region][g] += x
		}
		r.Nodes = append(r.Nodes, n)
	}
	for i := range 3 {
		region := fmt.Sprintf("region-%d", i)
		for _, g := range []string{capacity.Lookups, capacity.Orders} {
			n := Need{Region: region, Group: g, Agreed: 0.3 * sum[region][g]}
			for s := range r.Slots {
				day := 0.5 - 0.5*math.Cos(2*math.Pi*(float64(s%SlotsADay)/SlotsADay-0.1*float64(i)))
				n.At = append(n.At, sum[region][g]*(0.2+0.4*day)*(1+0.1*c.Float64()))
			}
			r.Need = append(r.Need, n)
		}
	}
	perm := c.Perm(nodes)
	for i := range windows {
		w := Wish{Name: fmt.Sprintf("window-%d", i), Takes: 1 + c.IntN(4), Together: 1 + c.IntN(8)}
		for range 1 + c.IntN(8) {
			if len(perm) > 0 {
				w.Nodes = append(w.Nodes, r.Nodes[perm[0]].Name)
				perm = perm[1:]
			}
		}
		if len(w.Nodes) == 0 {
			break
		}
		w.Earliest = c.IntN(3 * SlotsADay)
		w.Latest = min(r.Slots, w.Earliest+2*SlotsADay+w.Takes*len(w.Nodes))
		if i > 0 && c.IntN(5) == 0 {
			w.Apart = []string{fmt.Sprintf("window-%d", c.IntN(i))}
		}
		r.Wishes = append(r.Wishes, w)
	}
	return r
}
