package emulate

import (
	"time"

	"zincloft.example/zincloft/rules"
)

// queuedReport is a report on its way to a governor.
type queuedReport struct {
	key   uint64 // of what it is about
	event rules.Event
	since rules.Time // start of the period that it covers
}

// usageKeyFlag keeps the keys of proxies apart from those of replicas.
const usageKeyFlag = 1 << 32

func replicaKey(id int) uint64 { return uint64(id) }

func usageKey(proxy rules.ProxyID, group int) uint64 {
	return usageKeyFlag | uint64(proxy)<<8 | uint64(group)
}

// reportQueue holds the reports that a governor has yet to be delivered, oldest first. A report about something that is
// queued already is merged into the queued one, so that the queue is bounded by the size of the fleet.
type reportQueue struct {
	pending       []queuedReport
	positions     map[uint64]int // by key; counted from the first report ever queued
	firstPosition int            // of pending[0]
}

// add queues a report or merges it.
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

// remove takes the oldest report off a queue that is not empty.
func (q *reportQueue) remove() queuedReport {
	report := q.pending[0]
	q.pending = q.pending[1:]
	q.firstPosition++
	delete(q.positions, report.key)
	return report
}

// merge adds a later report about the same.
func (r *queuedReport) merge(later rules.Event) {
	switch earlier := r.event.(type) {
	case rules.EndpointStats:
		r.event = mergeSums(earlier, later.(rules.EndpointStats))
	case rules.GroupTraffic:
		usage := later.(rules.GroupTraffic)
		earlier.Flows += usage.Flows
		earlier.Dropped += usage.Dropped
		r.event = earlier
	}
}

// mergeSums adds up counts, weighs mean latencies by their attempts and keeps the latest load report.
func mergeSums(earlier, later rules.EndpointStats) rules.EndpointStats {
	earlierGood, laterGood := earlier.Attempts-earlier.Dropped, later.Attempts-later.Dropped
	if all := earlierGood + laterGood; all > 0 {
		earlier.MeanLatency = (earlier.MeanLatency*time.Duration(earlierGood) + later.MeanLatency*time.Duration(laterGood)) / time.Duration(all)
	}
	earlier.Attempts += later.Attempts
	earlier.Dropped += later.Dropped
	if later.Report.Utilization >= 0 {
		earlier.Report = later.Report
	}
	return earlier
}
