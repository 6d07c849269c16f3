package capacity

import (
	"cmp"
	"maps"
	"slices"
)

// Node is a node's location and capacity.
type Node struct {
	Name     string             `json:"node" cbor:"1,keyasint"`
	Zone     string             `json:"zone" cbor:"2,keyasint"`
	Region   string             `json:"region" cbor:"3,keyasint"`
	Capacity map[string]float64 `json:"carries" cbor:"4,keyasint,omitempty"` // requests per second, by group
}

// Floor is the minimum capacity of a group that a region must retain.
type Floor struct {
	Region  string  `json:"region" cbor:"1,keyasint"`
	Group   string  `json:"group" cbor:"2,keyasint"`
	Minimum float64 `json:"least" cbor:"3,keyasint"` // requests per second
}

// FaultTolerance is the number of machines or zones whose unplanned loss must be tolerated at any time.
type FaultTolerance struct {
	Machines int `json:"machines" cbor:"1,keyasint"`
	Zones    int `json:"zones" cbor:"2,keyasint"`
}

// RemainingAfterLosses returns the capacity of a group that remains in a region without the nodes that are out, after the worst
// tolerated loss: of the machines or, in a region of several zones, of the zones with the highest capacity, whichever is more.
// If all other nodes are in one of several zones, and a zone loss is tolerated, nothing remains.
func RemainingAfterLosses(nodes []Node, region, group string, out func(node string) bool, tolerance FaultTolerance) float64 {
	total := 0.0
	var machines []float64
	zones := map[string]float64{}
	for _, node := range nodes {
		if node.Region != region {
			continue
		}
		if _, ok := zones[node.Zone]; !ok {
			zones[node.Zone] = 0 // counts as a zone even if all its nodes are out
		}
		if out(node.Name) {
			continue
		}
		capacity := node.Capacity[group]
		total += capacity
		zones[node.Zone] += capacity
		machines = append(machines, capacity)
	}
	machineLoss := SumOfLargest(machines, tolerance.Machines)
	zoneLoss := 0.0
	if len(zones) > 1 {
		zoneLoss = SumOfLargest(slices.Collect(maps.Values(zones)), min(tolerance.Zones, len(zones)-1))
	}
	return total - max(machineLoss, zoneLoss)
}

// SumOfLargest returns the sum of the count largest values, or of all if there are fewer. It sorts values in place.
func SumOfLargest(values []float64, count int) float64 {
	slices.SortFunc(values, func(a, b float64) int { return cmp.Compare(b, a) })
	sum := 0.0
	for _, value := range values[:min(max(count, 0), len(values))] {
		sum += value
	}
	return sum
}
