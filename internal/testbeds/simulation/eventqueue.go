package simulation

import "time"

// event is a function that runs at a point in simulated time.
type event struct {
	at       time.Duration
	sequence int // scheduling order
	do       func()
}

// before orders events by time, then by scheduling order.
func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// eventQueue is a binary min-heap of events. It avoids container/heap, whose interface calls slow a run down.
type eventQueue []event

func (q *eventQueue) push(e event) {
	*q = append(*q, e)
	heap, i := *q, len(*q)-1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = e
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() event {
	heap := *q
	first, n := heap[0], len(heap)-1
	last := heap[n]
	heap[n] = event{}
	heap = heap[:n]
	*q = heap
	for i := 0; n > 0; {
		child := 2*i + 1
		if child+1 < n && heap[child+1].before(heap[child]) {
			child++
		}
		if child >= n || !heap[child].before(last) {
			heap[i] = last
			break
		}
		heap[i] = heap[child]
		i = child
	}
	return first
}
