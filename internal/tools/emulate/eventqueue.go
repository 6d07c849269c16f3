package emulate

import (
	"container/heap"
	"time"

	"zincloft.example/zincloft/rules"
)

// event is an action scheduled at a simulated time.
type event struct {
	at       rules.Time
	sequence uint64 // tie-breaker: simultaneous events run in scheduling order
	action   func()
}

// eventQueue is a min-heap of future events, ordered by time and sequence.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface. The order is total, which keeps runs deterministic.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{} // releases the action for garbage collection
	*q = (*q)[:last]
	return popped
}

// schedule runs an action after a delay. A negative delay counts as 0.
func (sim *Simulation) schedule(delay time.Duration, action func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{sim.now + rules.Time(max(delay, 0)), sim.eventCount, action})
}
