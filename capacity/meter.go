// Package capacity estimates the capacity of a gateway node per traffic group, from its throughput and CPU utilization, and
// calculates the remaining capacity of a region after node losses. It does no I/O.
package capacity

import (
	"maps"
	"time"
)

// Traffic groups, whose capacity is planned separately.
const (
	Lookups = "lookups" // requests that may be executed more than once
	Orders  = "orders"  // requests that must not be executed more than once
)

const (
	smoothingFactor = 0.2  // weight of a new sample in the moving average
	minBusyShare    = 0.02 // CPU utilization below which a sample is ignored
	maxLateShare    = 0.05 // share of late responses above which a node counts as fully loaded
)

// Meter estimates the capacity of one node. The zero value is ready for use. It is not safe for concurrent use.
type Meter struct {
	served map[string]int
	late   int
	rates  map[string]float64 // requests per second by group that the node can serve in the present mix
}

// RecordServed counts a response. Late means that the node itself delayed it.
func (m *Meter) RecordServed(group string, late bool) {
	if m.served == nil {
		m.served = map[string]int{}
	}
	m.served[group]++
	if late {
		m.late++
	}
}

// Sample ends a period with the given CPU utilization (0 to 1). It returns the node's capacity in requests per second by group,
// or nil if there has been no usable sample yet.
func (m *Meter) Sample(period time.Duration, busy float64) map[string]float64 {
	if scale, ok := m.scale(period, busy); ok {
		m.update(period, scale)
	}
	m.served, m.late = nil, 0
	return maps.Clone(m.rates)
}

// scale returns the node's capacity as a multiple of its throughput, or false if the period gives no estimate.
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
