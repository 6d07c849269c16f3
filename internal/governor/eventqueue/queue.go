// Package eventqueue connects the network code to the event loop. It queues the inputs from proxies, collectors, collectd and
// discovery, and dispatches the orders of each step to the components that execute them.
package eventqueue

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Input is one input of the event loop. It holds an event, a batch or load reports.
type Input struct {
	Connection any                  // client connection that it came from; nil: none
	Event      rules.Event          // a join, leave, acknowledgement, statistics, or an answer of discovery
	Batch      *intake.Batch        // statistics of a single proxy
	Loads      []intake.MachineLoad // load reports from collectd
	ReceivedAt time.Time            // set for reports
}

// isReport reports whether an input may wait behind all others. Joins, leaves, acknowledgements and the endpoint list may not,
// so that a drain takes effect under any load of reports.
func (in Input) isReport() bool {
	switch in.Event.(type) {
	case nil, rules.EndpointStats, rules.GroupTraffic:
		return true
	}
	return false
}

// Clients serves the connections of proxies and collectors. Its methods are called only by the event loop.
type Clients interface {
	// Accept updates the state of a proxy with an input and reports whether the input is current. Inputs from a stream
	// that has been replaced are not.
	Accept(Input) bool
	// Execute sends the orders of one step to the proxies concerned.
	Execute([]rules.Order)
	// Forget drops the state of a replica that has been removed.
	Forget(rules.ReplicaID)
}

// ReplicaNames maps replica names, as discovery gives them, to replica IDs and back.
type ReplicaNames interface {
	ID(name []byte) (rules.ReplicaID, bool)
	Name(rules.ReplicaID) (string, bool)
}

// Discovery is the client of service discovery. Its answers are posted as events.
type Discovery interface {
	ReplicaNames
	// Watch starts or stops watching changes of the endpoint list.
	Watch(on bool)
	// Fetch requests the full endpoint list once.
	Fetch()
	// Forget releases the name of a replica that has been removed.
	Forget(rules.ReplicaID)
}

// Queue carries inputs to the event loop and dispatches its orders. Reports have a queue of their own, so that they never
// delay other inputs.
type Queue struct {
	urgent, reports chan Input
	closed          chan struct{}
	clients         Clients
	discovery       Discovery
}

// New returns a Queue that holds up to capacity reports and as many other inputs.
func New(capacity int) *Queue {
	return &Queue{
		urgent:  make(chan Input, capacity),
		reports: make(chan Input, capacity),
		closed:  make(chan struct{}),
	}
}

// Connect sets the components that execute orders. It must be called once, before any other method.
func (q *Queue) Connect(clients Clients, discovery Discovery) {
	q.clients, q.discovery = clients, discovery
}

// Close unblocks all callers of Post. It must be called once.
func (q *Queue) Close() { close(q.closed) }

func (q *Queue) channelFor(in Input) chan Input {
	if in.isReport() {
		return q.reports
	}
	return q.urgent
}

// Post enqueues an input. It blocks while the queue is full, which applies back pressure: the caller's connection is not read
// meanwhile. After Close it does not block and drops inputs that have no room.
func (q *Queue) Post(in Input) {
	select {
	case q.channelFor(in) <- in:
	case <-q.closed:
	}
}

// TryPost enqueues an input unless the queue is full, and reports whether it did. It is used for reports on proxies' streams,
// where blocking would delay the acknowledgements that follow.
func (q *Queue) TryPost(in Input) bool {
	select {
	case q.channelFor(in) <- in:
		return true
	default:
		return false
	}
}

// Urgent returns the queue of all inputs except reports.
func (q *Queue) Urgent() <-chan Input { return q.urgent }

// Reports returns the queue of reports.
func (q *Queue) Reports() <-chan Input { return q.reports }

// FilterCurrent passes the inputs from connections to Clients.Accept and returns the inputs that are current. It reuses the
// slice.
func (q *Queue) FilterCurrent(inputs []Input) []Input {
	current := inputs[:0]
	for _, in := range inputs {
		if in.Connection == nil || q.clients.Accept(in) {
			current = append(current, in)
		}
	}
	return current
}

// Dispatch passes the orders of one step to Clients and Discovery and returns those for the caller: timers, log lines,
// replicas to forget, and orders that no component executes.
func (q *Queue) Dispatch(orders []rules.Order) (own []rules.Order) {
	var routing []rules.Order
	var forgotten []rules.ReplicaID
	for _, order := range orders {
		switch order := order.(type) {
		case rules.WatchList:
			q.discovery.Watch(order.On)
		case rules.FetchList:
			q.discovery.Fetch()
		case rules.Forget:
			forgotten, own = append(forgotten, order.Replica), append(own, order)
		case rules.WakeAfter, rules.Log, rules.Probe, rules.SendToPeer:
			own = append(own, order)
		default:
			routing = append(routing, order)
		}
	}
	if len(routing) > 0 {
		q.clients.Execute(routing)
	}
	for _, replica := range forgotten { // last, because Execute needs the names of removed replicas
		q.clients.Forget(replica)
		q.discovery.Forget(replica)
	}
	return own
}

// ID returns the ID of the replica with this name.
func (q *Queue) ID(name []byte) (rules.ReplicaID, bool) { return q.discovery.ID(name) }

// Name returns the name of a replica.
func (q *Queue) Name(id rules.ReplicaID) (string, bool) { return q.discovery.Name(id) }
