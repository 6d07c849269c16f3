package maintenanceplanner

import (
	"fmt"
	"math"
	"math/rand/v2"

	"zincloft.example/zincloft/dataplane/capacity"
)

// SlotsPerDay is how a drawn week is cut: in slots of half an hour.
const SlotsPerDay = 48

// GenerateWeek draws a week's request for measurements: nodes over three regions of four zones, windows of one to eight nodes, load
// by the time of the day with its uncertainty.
func GenerateWeek(seed uint64, nodes, windows int) *Request {
	c := rand.New(rand.NewPCG(seed, 1))
	r := &Request{SlotCount: 7 * SlotsPerDay, FaultTolerance: capacity.FaultTolerance{Machines: 1, Zones: 1}}
	sum := map[string]map[string]float64{}
	for i := range nodes {
		region := fmt.Sprintf("region-%d", i%3)
		n := capacity.Node{Name: fmt.Sprintf("edge-%d", i), Region: region, Zone: fmt.Sprintf("%s-%d", region, i/3%4),
			Capacity: map[string]float64{capacity.Lookups: 8 + 4*c.Float64(), capacity.Orders: 2 + c.Float64()}}
		if sum[region] == nil {
			sum[region] = map[string]float64{}
		}
		for g, x := range n.Capacity {
			sum[region][g] += x
		}
		r.Nodes = append(r.Nodes, n)
	}
	for i := range 3 {
		region := fmt.Sprintf("region-%d", i)
		for _, g := range []string{capacity.Lookups, capacity.Orders} {
			n := Demand{Region: region, Group: g, Floor: 0.3 * sum[region][g]}
			for s := range r.SlotCount {
				day := 0.5 - 0.5*math.Cos(2*math.Pi*(float64(s%SlotsPerDay)/SlotsPerDay-0.1*float64(i)))
				n.Forecast = append(n.Forecast, sum[region][g]*(0.2+0.4*day)*(1+0.1*c.Float64()))
			}
			r.Demands = append(r.Demands, n)
		}
	}
	perm := c.Perm(nodes)
	for i := range windows {
		w := WindowRequest{Name: fmt.Sprintf("window-%d", i), DurationSlots: 1 + c.IntN(4), MaxConcurrent: 1 + c.IntN(8)}
		for range 1 + c.IntN(8) {
			if len(perm) > 0 {
				w.Nodes = append(w.Nodes, r.Nodes[perm[0]].Name)
				perm = perm[1:]
			}
		}
		if len(w.Nodes) == 0 {
			break
		}
		w.Earliest = c.IntN(3 * SlotsPerDay)
		w.Latest = min(r.SlotCount, w.Earliest+2*SlotsPerDay+w.DurationSlots*len(w.Nodes))
		if i > 0 && c.IntN(5) == 0 {
			w.Conflicts = []string{fmt.Sprintf("window-%d", c.IntN(i))}
		}
		r.Windows = append(r.Windows, w)
	}
	return r
}
