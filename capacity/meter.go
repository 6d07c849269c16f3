// Package capacity measures what a node of the gateway can serve, by traffic group, from what it has served and how busy that
// kept it; and calculates what is left of a region's capacity when nodes go. It is free of I/O.
package capacity

import (
	"maps"
	"time"
)

// Groups of traffic, which are planned for separately.
const (
	Lookups = "lookups" // requests that may run more than once
	Orders  = "orders"  // requests that may not
)

const (
	smoothingFactor = 0.2  // weight of a new sample
	minBusyShare    = 0.02 // of the processor; below it, a sample says nothing
	maxLateShare    = 0.05 // of the answers; above it, a node is at its limit however busy it reports to be
)

// Meter measures the capacity of one node. The zero Meter is ready for use. It must not be used by several goroutines at once.
type Meter struct {
	served map[string]int
	late   int
	rates  map[string]float64 // requests a second that it could serve of the present mix, by group
}

// RecordServed counts an answered request, and whether the node itself delayed it for long.
func (m *Meter) RecordServed(group string, late bool) {
	if m.served == nil {
		m.served = map[string]int{}
	}
	m.served[group]++
	if late {
		m.late++
	}
}

// Sample ends a period. Busy is the share of its processor that the node used. It returns the requests a second that the node
// can serve, by group; nil until the node has been busy enough to tell.
func (m *Meter) Sample(period time.Duration, busy float64) map[string]float64 {
	if scale, ok := m.scale(period, busy); ok {
		m.update(period, scale)
	}
	m.served, m.late = nil, 0
	return maps.Clone(m.rates)
}

// scale is how many times as much as it served the node could have served; false where the period does not tell.
func (m *Meter) scale(period time.Duration, busy float64) (float64, bool) {
	served := 0
	for _, count := range m.served {
		served += count
	}
	if period <= 0 || served == 0 {
		return 0, false
	}
	if atLimit := float64(m.late) > maxLateShare*float64(served); atLimit {
		return 1, true
	}
	if busy < minBusyShare {
		return 0, false
	}
	return 1 / min(busy, 1), true
}

func (m *Meter) update(period time.Duration, scale float64) {
	if m.rates == nil {
		m.rates = map[string]float64{}
	}
	for _, group := range []string{Lookups, Orders} {
		rate := float64(m.served[group]) / period.Seconds() * scale
		if previous, ok := m.rates[group]; ok {
			rate = previous + (rate-previous)*smoothingFactor
		}
		m.rates[group] = rate
	}
}
