// Package capacity measures what a node of the gateway carries, by traffic group, from what it served and how busy that
// kept it; and tells what is left of a region when nodes go. It is free of I/O.
package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Groups of traffic: what may run more than once, and what may not. They are planned for apart.
const (
	Lookups = "lookups"
	Orders  = "orders"
)

const (
	smoothingFactor = 0.2  // weight of a new sample
	minBusyShare    = 0.02 // less busy than this, a sample tells nothing
	maxLateShare    = 0.05 // share of late answers from which a node is taken to be at its end, however busy it says it is
)

// Meter measures one node.
type Meter struct {
	served map[string]int
	late   int
	rates  map[string]float64 // requests a second that it could serve, by group, as they come now
}

// RecordServed counts an answered request, and whether the node itself held it up for long.
func (m *Meter) RecordServed(group string, late bool) {
	if m.served == nil {
		m.served = map[string]int{}
	}
	m.served[group]++
	if late {
		m.late++
	}
}

// Sample ends a period. Busy is the share of its processor that the node used. It returns requests a second that the
// node carries, by group; none until it has been busy enough to tell.
func (m *Meter) Sample(over time.Duration, busy float64) map[string]float64 {
	n := 0
	for _, k := range m.served {
		n += k
	}
	if over > 0 && n > 0 && (busy >= minBusyShare || float64(m.late) > maxLateShare*float64(n)) {
		scale := 1 / min(max(busy, minBusyShare), 1)
		if float64(m.late) > maxLateShare*float64(n) {
			scale = 1
		}
		if m.rates == nil {
			m.rates = map[string]float64{}
		}
		for _, g := range []string{Lookups, Orders} {
			now := float64(m.served[g]) / over.Seconds() * scale
			if had, ok := m.rates[g]; ok {
				now = had + (now-had)*smoothingFactor
			}
			m.rates[g] = now
		}
	}
	m.served, m.late = nil, 0
	return maps.Clone(m.rates)
}

// Node is what is known of one.
type Node struct {
	Name     string             `json:"node" cbor:"1,keyasint"`
	Zone     string             `json:"zone" cbor:"2,keyasint"`
	Region   string             `json:"region" cbor:"3,keyasint"`
	Capacity map[string]float64 `json:"carries" cbor:"4,keyasint,omitempty"` // requests a second, by group
}

// Floor is what must always be carried.
type Floor struct {
	Region  string  `json:"region" cbor:"1,keyasint"`
	Group   string  `json:"group" cbor:"2,keyasint"`
	Minimum float64 `json:"least" cbor:"3,keyasint"` // requests a second
}

// FaultTolerance are to be borne beside what is planned.
type FaultTolerance struct {
	Machines int `json:"machines" cbor:"1,keyasint"`
	Zones    int `json:"zones" cbor:"2,keyasint"`
}

// RemainingAfterLosses is what the nodes of a region carry of a group without those that are out, after the worst loss that must be borne:
// the strongest machines, or the strongest zones where the region has several, whichever is more. So where all that is
// left stands in one zone, nothing is left.
func RemainingAfterLosses(nodes []Node, region, group string, out func(string) bool, l FaultTolerance) float64 {
	sum, zones := 0.0, map[string]float64{}
	var each []float64
	for _, n := range nodes {
		if n.Region != region {
			continue
		}
		if _, ok := zones[n.Zone]; !ok {
			zones[n.Zone] = 0 // a zone whose nodes are all out is no more to be lost, but it is one
		}
		if out(n.Name) {
			continue
		}
		c := n.Capacity[group]
		sum += c
		zones[n.Zone] += c
		each = append(each, c)
	}
	slices.SortFunc(each, func(a, b float64) int { return cmp.Compare(b, a) })
	machines := 0.0
	for _, c := range each[:min(max(l.Machines, 0), len(each))] {
		machines += c
	}
	by := slices.SortedFunc(maps.Values(zones), func(a, b float64) int { return cmp.Compare(b, a) })
	zone := 0.0
	if len(by) > 1 {
		for _, c := range by[:min(max(l.Zones, 0), len(by)-1)] {
			zone += c
		}
	}
	return sum - max(machines, zone)
}
