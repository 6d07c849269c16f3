package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// queuedReport is a report queued for a governor.
type queuedReport struct {
	key   uint64 // identifies the subject
	event rules.Event
	since rules.Time // start of the covered period
}

// usageKeyFlag distinguishes keys of proxies from those of replicas.
const usageKeyFlag = 1 << 32

func replicaKey(id int) uint64 { return uint64(id) }

func usageKey(proxy rules.ProxyID, group int) uint64 {
	return usageKeyFlag | uint64(proxy)<<8 | uint64(group)
}

// reportQueue holds undelivered reports, oldest first. Reports with the same key are merged, so the fleet size bounds the queue.
type reportQueue struct {
	pending       []queuedReport
	positions     map[uint64]int // by key; counted from the first report ever added
	firstPosition int            // of pending[0]
}

// add appends a report or merges it into the queued one with the same key.
func (q *reportQueue) add(report queuedReport) {
	if q.positions == nil {
		q.positions = map[uint64]int{}
	}
	if position, queued := q.positions[report.key]; queued {
		q.pending[position-q.firstPosition].merge(report.event)
		return
	}
	q.positions[report.key] = q.firstPosition + len(q.pending)
	q.pending = append(q.pending, report)
}

// remove removes the oldest report. The queue must not be empty.
func (q *reportQueue) remove() queuedReport {
	report := q.pending[0]
	q.pending = q.pending[1:]
	q.firstPosition++
	delete(q.positions, report.key)
	return report
}

// merge adds a later report with the same key.
func (r *queuedReport) merge(later rules.Event) {
	switch earlier := r.event.(type) {
	case rules.EndpointStats:
		r.event = mergeStats(earlier, later.(rules.EndpointStats))
	case rules.GroupTraffic:
		usage := later.(rules.GroupTraffic)
		earlier.Flows += usage.Flows
		earlier.Dropped += usage.Dropped
		r.event = earlier
	}
}

// mergeStats adds the counts, averages latencies weighted by successful attempts and keeps the latest load report.
func mergeStats(earlier, later rules.EndpointStats) rules.EndpointStats {
	earlierSuccesses, laterSuccesses := earlier.Attempts-earlier.Dropped, later.Attempts-later.Dropped
	if all := earlierSuccesses + laterSuccesses; all > 0 {
		earlier.MeanLatency = (earlier.MeanLatency*time.Duration(earlierSuccesses) + later.MeanLatency*time.Duration(laterSuccesses)) / time.Duration(all)
	}
	earlier.Attempts += later.Attempts
	earlier.Dropped += later.Dropped
	if later.Report.Utilization >= 0 {
		earlier.Report = later.Report
	}
	return earlier
}
