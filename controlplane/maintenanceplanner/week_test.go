package maintenanceplanner

import (
	"fmt"
	"math"
	"math/rand/v2"

	"zincloft.example/zincloft/capacity"
)

// slotsPerDay is the number of half-hour slots per day.
const slotsPerDay = 48

const (
	weekRegions        = 3
	weekZonesPerRegion = 4
)

// generateWeek generates a deterministic benchmark request for one week: nodes in three regions of four zones, windows of one to eight
// nodes, and a daily load curve with random variation.
func generateWeek(seed uint64, nodes, windows int) *Request {
	random := rand.New(rand.NewPCG(seed, 1))
	r := &Request{SlotCount: 7 * slotsPerDay, FaultTolerance: capacity.FaultTolerance{Machines: 1, Zones: 1}}
	total := r.generateNodes(random, nodes)
	r.generateDemands(random, total)
	r.generateWindows(random, windows)
	return r
}

// generateNodes adds nodes and returns their total capacity by region and group.
func (r *Request) generateNodes(random *rand.Rand, count int) map[string]map[string]float64 {
	total := map[string]map[string]float64{}
	for i := range count {
		region := weekRegion(i % weekRegions)
		node := capacity.Node{
			Name:   fmt.Sprintf("edge-%d", i),
			Region: region,
			Zone:   fmt.Sprintf("%s-%d", region, i/weekRegions%weekZonesPerRegion),
			Capacity: map[string]float64{
				capacity.Lookups: 8 + 4*random.Float64(),
				capacity.Orders:  2 + random.Float64(),
			},
		}
		if total[region] == nil {
			total[region] = map[string]float64{}
		}
		for group, rate := range node.Capacity {
			total[region][group] += rate
		}
		r.Nodes = append(r.Nodes, node)
	}
	return total
}

func weekRegion(i int) string { return fmt.Sprintf("region-%d", i) }

// generateDemands adds demands that follow a daily load curve, shifted by region.
func (r *Request) generateDemands(random *rand.Rand, total map[string]map[string]float64) {
	for i := range weekRegions {
		region := weekRegion(i)
		for _, group := range []string{capacity.Lookups, capacity.Orders} {
			demand := Demand{Region: region, Group: group, Floor: 0.3 * total[region][group]}
			for slot := range r.SlotCount {
				timeOfDay := float64(slot%slotsPerDay)/slotsPerDay - 0.1*float64(i)
				busy := 0.5 - 0.5*math.Cos(2*math.Pi*timeOfDay)
				demand.Forecast = append(demand.Forecast, total[region][group]*(0.2+0.4*busy)*(1+0.1*random.Float64()))
			}
			r.Demands = append(r.Demands, demand)
		}
	}
}

// generateWindows adds random windows until the count is reached or no nodes are left.
func (r *Request) generateWindows(random *rand.Rand, count int) {
	unused := random.Perm(len(r.Nodes))
	for i := range count {
		window := WindowRequest{Name: fmt.Sprintf("window-%d", i), DurationSlots: 1 + random.IntN(4), MaxConcurrent: 1 + random.IntN(8)}
		for range 1 + random.IntN(8) {
			if len(unused) > 0 {
				window.Nodes = append(window.Nodes, r.Nodes[unused[0]].Name)
				unused = unused[1:]
			}
		}
		if len(window.Nodes) == 0 {
			break
		}
		window.Earliest = random.IntN(3 * slotsPerDay)
		window.Latest = min(r.SlotCount, window.Earliest+2*slotsPerDay+window.DurationSlots*len(window.Nodes))
		if i > 0 && random.IntN(5) == 0 {
			window.Conflicts = []string{fmt.Sprintf("window-%d", random.IntN(i))}
		}
		r.Windows = append(r.Windows, window)
	}
}
