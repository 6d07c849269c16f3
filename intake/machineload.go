package intake

import (
	"math"
	"time"

	"zincloft.example/zincloft/rules"
)

// LoadMetric is a value of a load report.
type LoadMetric int

// The metrics.
const (
	Utilization LoadMetric = iota // busy share of the replica's cores, 0 to 1
	InFlight                      // flows in flight
	LatencyMS                     // milliseconds for a flow, without queueing
	metricCount
)

// Kind is the type of a machine's value.
type Kind int

// The kinds, as collectd's network protocol numbers them.
const (
	Counter  Kind = iota // increasing count that wraps at 32 or 64 bits
	Gauge                // current value
	Derive               // count whose decrease means a reset
	Absolute             // count since the last reading
)

// MachineLoad is a machine's reading of one metric of a replica.
type MachineLoad struct {
	Replica    rules.ReplicaID
	Metric     LoadMetric
	Kind       Kind
	Value      float64       // Gauge only
	Count      uint64        // other kinds
	Interval   time.Duration // Absolute only: time span of the count
	Scale      float64       // metric = Scale * (value, or growth per second) + Offset
	Offset     float64
	MeasuredAt rules.Time // by the machine's clock
}

// Limits of plausible values. Values beyond them indicate a faulty sender or a wrong mapping.
const (
	maxUtilization  = 1.5 // cores above their nominal clock rate may report more than 1
	maxInFlight     = 1e6
	maxLatencyMS    = 1e6 // milliseconds
	maxAheadPeriods = 1   // largest lead of a machine's clock, in periods
	excuseDropShare = 0.1 // lowest share of dropped attempts at which the lower of two utilizations applies
)

var maxOfMetric = [metricCount]float64{maxUtilization, maxInFlight, maxLatencyMS}

// machineValue is the last reading of a metric.
type machineValue struct {
	measuredAt rules.Time // 0: none
	value      float64
	valid      bool   // false for a count before its second reading
	count      uint64 // Counter, Derive and Absolute only
}

// AddLoad adds a machine's reading and returns Kept or the cause of its rejection. It rejects readings that are implausible,
// more than a period in the future, older than MaxAge, or not newer than the last one.
func (a *Aggregator) AddLoad(now rules.Time, l MachineLoad) Cause {
	cause := a.storeLoad(now, l)
	a.counts[cause]++
	return cause
}

func (a *Aggregator) storeLoad(now rules.Time, l MachineLoad) Cause {
	if l.Metric < 0 || l.Metric >= metricCount {
		return Impossible
	}
	readings := a.machineLoads[l.Replica]
	if readings == nil {
		readings = new([metricCount]machineValue)
		a.machineLoads[l.Replica] = readings
	}
	last := &readings[l.Metric]
	switch {
	case l.MeasuredAt > now+rules.Time(maxAheadPeriods*a.settings.Period):
		return InFuture
	case time.Duration(now-l.MeasuredAt) > a.settings.MaxAge:
		return TooOld
	case l.MeasuredAt <= last.measuredAt:
		return Repeated
	}
	v, valid := l.Value, true
	if l.Kind != Gauge {
		v, valid = l.growthRate(*last)
	}
	v = l.Scale*v + l.Offset
	if valid && !(v >= 0 && v <= maxOfMetric[l.Metric]) { // also rejects NaN
		return Impossible
	}
	if l.Metric == Utilization {
		v = min(v, 1)
	}
	*last = machineValue{measuredAt: l.MeasuredAt, value: v, valid: valid, count: l.Count}
	return Kept
}

// growthRate returns the growth of a count per second since the last reading, and whether it is known.
func (l *MachineLoad) growthRate(last machineValue) (float64, bool) {
	if l.Kind == Absolute {
		return float64(l.Count) / l.Interval.Seconds(), l.Interval > 0
	}
	if last.measuredAt == 0 {
		return 0, false
	}
	growth := float64(l.Count - last.count) // modulo 2^64
	if l.Count < last.count {
		if l.Kind == Derive {
			return 0, false
		}
		if last.count <= math.MaxUint32 {
			growth = float64(uint32(l.Count) - uint32(last.count))
		}
	}
	return growth / time.Duration(l.MeasuredAt-last.measuredAt).Seconds(), true
}

// applyMachineLoad replaces values of a replica's load report by machine readings that are newer than age, the report's age.
//
// A higher utilization applies at once, a lower one only in proportion to its age weight, as with reports of proxies. If
// attempts are dropped, the lower of both utilizations applies: package rules excuses drops at a high load, and other work on
// the machine must not excuse a failing replica.
func (a *Aggregator) applyMachineLoad(now rules.Time, s *rules.EndpointStats, age time.Duration) {
	readings := a.machineLoads[s.Replica]
	if readings == nil {
		return
	}
	newer := func(metric LoadMetric, reported float64) (machineValue, bool) {
		v := readings[metric]
		readingAge := time.Duration(now - v.measuredAt)
		return v, v.valid && readingAge <= a.settings.MaxAge && (reported < 0 || readingAge < age)
	}
	if v, ok := newer(InFlight, s.Report.InFlight); ok {
		s.Report.InFlight = v.value
	}
	if v, ok := newer(LatencyMS, s.Report.ServiceTime); ok {
		s.Report.ServiceTime = v.value
	}
	if v, ok := newer(Utilization, s.Report.Utilization); ok {
		previous, known := a.lastUtilization[s.Replica]
		if !known {
			previous = 1
		}
		utilization := v.value
		if utilization < previous {
			utilization = previous + a.ageWeight(time.Duration(now-v.measuredAt))*(utilization-previous)
		}
		if s.Report.Utilization >= 0 && float64(s.Dropped) >= excuseDropShare*float64(s.Attempts) {
			utilization = min(utilization, s.Report.Utilization)
		}
		s.Report.Utilization = utilization
	}
	if s.Report.Utilization >= 0 {
		a.lastUtilization[s.Replica] = s.Report.Utilization
	}
}
