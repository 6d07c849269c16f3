package intake

import (
	"math"
	"time"

	"zincloft.example/zincloft/rules"
)

// LoadMetric is one of the values of a load report.
type LoadMetric int

// The metrics.
const (
	Utilization LoadMetric = iota // share of a replica's cores that is busy, 0 to 1
	InFlight                      // flows in flight
	LatencyMS                     // milliseconds that it takes for a flow, without waiting
	metricCount
)

// Kind is how a machine's value is to be interpreted.
type Kind int

// The kinds, as collectd's network protocol numbers them.
const (
	Counter  Kind = iota // a count that only grows, and wraps at 32 or 64 bits
	Gauge                // the value itself
	Derive               // a count that may fall; a fall means that it was reset
	Absolute             // a count since the last reading
)

// MachineLoad is a machine's reading of one metric of a replica.
type MachineLoad struct {
	Replica    rules.ReplicaID
	Metric     LoadMetric
	Kind       Kind
	Value      float64       // of a Gauge
	Count      uint64        // of the others
	Interval   time.Duration // of an Absolute: what it was counted over
	Scale      float64       // the metric is Scale x the value, or x its growth a second, + Offset
	Offset     float64
	MeasuredAt rules.Time // by the machine's clock
}

// Bounds on what a metric can be. Beyond them it is no load but a fault of the sender or of the mapping.
const (
	maxUtilization  = 1.5 // cores that run ahead of their nominal speed may show a little over 1
	maxInFlight     = 1e6
	maxLatencyMS    = 1e6 // milliseconds
	maxAheadPeriods = 1   // periods that a machine's clock may be ahead of the governor's
	excuseDropShare = 0.1 // share of dropped attempts from which the lower of two utilizations counts
)

var maxOfMetric = [metricCount]float64{maxUtilization, maxInFlight, maxLatencyMS}

// machineValue is a machine's last reading of a metric.
type machineValue struct {
	measuredAt rules.Time // 0: none
	value      float64
	valid      bool   // value is valid; a count has none before the second reading
	count      uint64 // of kinds that count
}

// AddLoad takes in a machine's reading and returns the cause under which it is counted: Kept, or why it is rejected. Clocks
// must agree with the governor's: a reading more than a period in the future, or older than MaxAge, is rejected, and so is
// one that is not newer than the last, such as a repeat.
func (in *Aggregator) AddLoad(now rules.Time, l MachineLoad) Cause {
	fate := in.storeLoad(now, l)
	in.counts[fate]++
	return fate
}

func (in *Aggregator) storeLoad(now rules.Time, l MachineLoad) Cause {
	if l.Metric < 0 || l.Metric >= metricCount {
		return Impossible
	}
	words := in.machineLoads[l.Replica]
	if words == nil {
		words = new([metricCount]machineValue)
		in.machineLoads[l.Replica] = words
	}
	w := &words[l.Metric]
	switch {
	case l.MeasuredAt > now+rules.Time(maxAheadPeriods*in.settings.Period):
		return InFuture
	case time.Duration(now-l.MeasuredAt) > in.settings.MaxAge:
		return TooOld
	case l.MeasuredAt <= w.measuredAt:
		return Repeated
	}
	v, good := l.Value, true
	if l.Kind != Gauge {
		v, good = l.growthRate(*w)
	}
	v = l.Scale*v + l.Offset
	if good && !(v >= 0 && v <= maxOfMetric[l.Metric]) { // NaN too
		return Impossible
	}
	if l.Metric == Utilization {
		v = min(v, 1)
	}
	*w = machineValue{measuredAt: l.MeasuredAt, value: v, valid: good, count: l.Count}
	return Kept
}

// growthRate is the growth of a count a second since the last reading, and whether there is one.
func (l *MachineLoad) growthRate(last machineValue) (float64, bool) {
	if l.Kind == Absolute {
		return float64(l.Count) / l.Interval.Seconds(), l.Interval > 0
	}
	if last.measuredAt == 0 {
		return 0, false
	}
	grown := float64(l.Count - last.count) // modulo 2^64
	if l.Count < last.count {
		if l.Kind == Derive {
			return 0, false
		}
		if last.count <= math.MaxUint32 {
			grown = float64(uint32(l.Count) - uint32(last.count))
		}
	}
	return grown / time.Duration(l.MeasuredAt-last.measuredAt).Seconds(), true
}

// applyMachineLoad puts machines' readings into a replica's report where they are fresher. age is that of the report.
//
// A machine's utilization may raise a replica's at once, but lower it only in proportion to its age weight, as with reports
// of proxies. Where attempts are dropped, the lower of both counts: a high load excuses drops, and a machine that is busy
// with something else must not keep a failing replica in the tables. Nor can it bring one back, as only successful
// responses do that; and a replica without statistics has no report to put a reading into.
func (in *Aggregator) applyMachineLoad(now rules.Time, s *rules.EndpointStats, age time.Duration) {
	words := in.machineLoads[s.Replica]
	if words == nil {
		return
	}
	fresher := func(f LoadMetric, told float64) (machineValue, bool) {
		w := words[f]
		own := time.Duration(now - w.measuredAt)
		return w, w.valid && own <= in.settings.MaxAge && (told < 0 || own < age)
	}
	if w, is := fresher(InFlight, s.Report.InFlight); is {
		s.Report.InFlight = w.value
	}
	if w, is := fresher(LatencyMS, s.Report.ServiceTime); is {
		s.Report.ServiceTime = w.value
	}
	if w, is := fresher(Utilization, s.Report.Utilization); is {
		before, told := in.lastUtilization[s.Replica]
		if !told {
			before = 1
		}
		util := w.value
		if util < before {
			util = before + in.ageWeight(time.Duration(now-w.measuredAt))*(util-before)
		}
		if s.Report.Utilization >= 0 && float64(s.Dropped) >= excuseDropShare*float64(s.Attempts) {
			util = min(util, s.Report.Utilization)
		}
		s.Report.Utilization = util
	}
	if s.Report.Utilization >= 0 {
		in.lastUtilization[s.Replica] = s.Report.Utilization
	}
}
