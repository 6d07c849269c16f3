package maintenanceplanner

import (
	"slices"

	"zincloft.example/zincloft/capacity"
)

// tolerance absorbs rounding errors in comparisons of capacities, in requests per second.
const tolerance = 1e-9

// stackZoneCount is the number of zones up to which worstZoneLoss needs no heap allocation.
const stackZoneCount = 8

// capacityTable tracks the remaining capacity for each demand in each slot while windows are placed.
type capacityTable struct {
	request    *Request
	nodeIndex  map[string]int // by name
	zones      []string
	zoneOfNode []int // index in zones

	capacity     [][]float64   // [demand][slot], of all nodes in service
	zoneCapacity [][][]float64 // [demand][zone][slot]
	machineLoss  []float64     // [demand], of the largest machines that may fail
	zoneCount    []int         // [demand], number of zones in its region
	outCount     [][]int       // [window][slot], number of nodes that are out
}

func newCapacityTable(r *Request) *capacityTable {
	t := &capacityTable{request: r, nodeIndex: map[string]int{}}
	zoneIndex := map[string]int{}
	for i, node := range r.Nodes {
		t.nodeIndex[node.Name] = i
		if _, ok := zoneIndex[node.Zone]; !ok {
			zoneIndex[node.Zone] = len(t.zones)
			t.zones = append(t.zones, node.Zone)
		}
		t.zoneOfNode = append(t.zoneOfNode, zoneIndex[node.Zone])
	}
	for _, demand := range r.Demands {
		t.addDemand(demand)
	}
	for range r.Windows {
		t.outCount = append(t.outCount, make([]int, r.SlotCount))
	}
	return t
}

// addDemand adds a demand, with all nodes in service.
func (t *capacityTable) addDemand(demand Demand) {
	r := t.request
	total, byZone, zones := 0.0, make([]float64, len(t.zones)), map[string]bool{}
	var machines []float64
	for i, node := range r.Nodes {
		if node.Region != demand.Region {
			continue
		}
		rate := node.Capacity[demand.Group]
		total += rate
		machines = append(machines, rate)
		byZone[t.zoneOfNode[i]] += rate
		zones[node.Zone] = true
	}
	var zoneRows [][]float64
	for _, rate := range byZone {
		zoneRows = append(zoneRows, slices.Repeat([]float64{rate}, r.SlotCount))
	}
	t.capacity = append(t.capacity, slices.Repeat([]float64{total}, r.SlotCount))
	t.zoneCapacity = append(t.zoneCapacity, zoneRows)
	t.machineLoss = append(t.machineLoss, capacity.SumOfLargest(machines, r.FaultTolerance.Machines))
	t.zoneCount = append(t.zoneCount, len(zones))
}

// noNode is the node index that stands for no additional node being out.
const noNode = -1

// remaining returns a demand's remaining capacity in a slot after the worst tolerated failure, with one additional node out (or
// noNode).
func (t *capacityTable) remaining(demand, slot, node int) float64 {
	required := t.request.Demands[demand]
	out, zone := 0.0, noNode
	if node != noNode && t.request.Nodes[node].Region == required.Region {
		out, zone = t.request.Nodes[node].Capacity[required.Group], t.zoneOfNode[node]
	}
	return t.capacity[demand][slot] - out - max(t.machineLoss[demand], t.worstZoneLoss(demand, slot, zone, out))
}

// worstZoneLoss returns the capacity of the largest zones that may fail, or 0 if the region has only one. The capacity of the given
// zone is reduced by out.
func (t *capacityTable) worstZoneLoss(demand, slot, zone int, out float64) float64 {
	zones := t.request.FaultTolerance.Zones
	if t.zoneCount[demand] < 2 || zones == 0 {
		return 0
	}
	var buffer [stackZoneCount]float64
	sums := buffer[:0]
	for z := range t.zones {
		sum := t.zoneCapacity[demand][z][slot]
		if z == zone {
			sum -= out
		}
		sums = append(sums, sum)
	}
	if zones == 1 {
		return slices.Max(sums)
	}
	return capacity.SumOfLargest(sums, min(zones, t.zoneCount[demand]-1))
}

// shortfall is the amount by which a demand is not met. demand is noDemand if all demands are met.
type shortfall struct {
	demand int // index
	amount float64
}

const noDemand = -1

// shortfall returns the first demand that is not met in a slot with an additional node out.
func (t *capacityTable) shortfall(slot, node int) shortfall {
	for i, demand := range t.request.Demands {
		if demand.Region != t.request.Nodes[node].Region {
			continue
		}
		if amount := demand.at(slot) - t.remaining(i, slot, node); amount > tolerance {
			return shortfall{demand: i, amount: amount}
		}
	}
	return shortfall{demand: noDemand}
}

// place marks a node as out from a start slot for its duration.
func (t *capacityTable) place(placed placement, start int) {
	node := t.request.Nodes[placed.node]
	for slot := start; slot < start+placed.duration; slot++ {
		t.outCount[placed.window][slot]++
		for i, demand := range t.request.Demands {
			if demand.Region == node.Region {
				t.capacity[i][slot] -= node.Capacity[demand.Group]
				t.zoneCapacity[i][t.zoneOfNode[placed.node]][slot] -= node.Capacity[demand.Group]
			}
		}
	}
}

// fits reports whether a node may be out in a slot.
func (t *capacityTable) fits(placed placement, slot int) bool {
	window := t.request.Windows[placed.window]
	if window.MaxConcurrent > 0 && t.outCount[placed.window][slot] >= window.MaxConcurrent {
		return false
	}
	for i, other := range t.request.Windows {
		if i != placed.window && t.outCount[i][slot] > 0 && window.conflictsWith(other) {
			return false
		}
	}
	return t.shortfall(slot, placed.node).demand == noDemand
}

// earliestFit returns the earliest start in [first, latest-duration] at which a node may be out for its duration.
func (t *capacityTable) earliestFit(placed placement, first, latest int) (start int, ok bool) {
	run := 0
	for slot := first; slot < latest; slot++ {
		run++
		if !t.fits(placed, slot) {
			run = 0
		}
		if run == placed.duration {
			return slot - placed.duration + 1, true
		}
	}
	return 0, false
}

// longestFit returns the length of the longest run of slots in [first, latest) in which a node may be out.
func (t *capacityTable) longestFit(placed placement, first, latest int) int {
	run, longest := 0, 0
	for slot := first; slot < latest; slot++ {
		run++
		if !t.fits(placed, slot) {
			run = 0
		}
		longest = max(longest, run)
	}
	return longest
}
