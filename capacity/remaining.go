package capacity

import (
	"cmp"
	"maps"
	"slices"
)

// Node is what is known of a node's place and capacity.
type Node struct {
	Name     string             `json:"node" cbor:"1,keyasint"`
	Zone     string             `json:"zone" cbor:"2,keyasint"`
	Region   string             `json:"region" cbor:"3,keyasint"`
	Capacity map[string]float64 `json:"carries" cbor:"4,keyasint,omitempty"` // requests a second, by group
}

// Floor is the capacity of a group that a region must always keep.
type Floor struct {
	Region  string  `json:"region" cbor:"1,keyasint"`
	Group   string  `json:"group" cbor:"2,keyasint"`
	Minimum float64 `json:"least" cbor:"3,keyasint"` // requests a second
}

// FaultTolerance is what may be lost at any time besides what is planned: so many machines, or so many zones.
type FaultTolerance struct {
	Machines int `json:"machines" cbor:"1,keyasint"`
	Zones    int `json:"zones" cbor:"2,keyasint"`
}

// RemainingAfterLosses returns the capacity of a group that a region keeps without the nodes that are out, after the worst
// loss that must be survived: of the strongest machines, or of the strongest zones where the region has several, whichever is
// more. So nothing remains where all nodes that are left are in one zone.
func RemainingAfterLosses(nodes []Node, region, group string, out func(node string) bool, tolerance FaultTolerance) float64 {
	total := 0.0
	var machines []float64
	zones := map[string]float64{}
	for _, node := range nodes {
		if node.Region != region {
			continue
		}
		if _, ok := zones[node.Zone]; !ok {
			zones[node.Zone] = 0 // a zone whose nodes are all out can't be lost any more, but it is one
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

// SumOfLargest sums the largest count values, all of them where there are fewer; it sorts the values.
func SumOfLargest(values []float64, count int) float64 {
	slices.SortFunc(values, func(a, b float64) int { return cmp.Compare(b, a) })
	sum := 0.0
	for _, value := range values[:min(max(count, 0), len(values))] {
		sum += value
	}
	return sum
}
