package emulate

import (
	"container/heap"
	"time"

	"zincloft.example/zincloft/rules"
)

// event is an action at a simulated time.
type event struct {
	at       rules.Time
	sequence uint64 // breaks ties: events of the same time run in the order in which they were scheduled
	action   func()
}

// eventQueue is a heap of future events, the next one first.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface. The order is total, so that a run depends on nothing but its configuration.
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
	(*q)[last] = event{} // lets the action be collected
	*q = (*q)[:last]
	return popped
}

// schedule has an action run after a delay. A negative delay counts as none.
func (sim *Simulation) schedule(delay time.Duration, action func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{sim.now + rules.Time(max(delay, 0)), sim.eventCount, action})
}
