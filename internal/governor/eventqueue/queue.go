// Package eventqueue connects the network code with the goroutine that decides: events of proxies, collectors, machines
// and discovery go in, and the orders of each step go back to those that carry them out.
package eventqueue

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Input is one input of the deciding goroutine: a fact, or in its place a batch of a proxy's reports or load reports of
// machines.
type Input struct {
	Connection any                  // of the client side, by which it came; nil where it came by none
	Event      rules.Event          // a join, a leave, an acknowledgement, sums, or an answer of discovery
	Batch      *intake.Batch        // reports of a single proxy
	Loads      []intake.MachineLoad // load reports of machines
	ReceivedAt time.Time            // of a report
}

// isReport reports whether an event may wait behind all others. Joins, leaves, acknowledgements and the endpoint list may
// not: a drain must take effect however much is reported.
func (e Input) isReport() bool {
	switch e.Event.(type) {
	case nil, rules.EndpointStats, rules.GroupTraffic:
		return true
	}
	return false
}

// Clients are the connections of proxies and collectors. Only the deciding goroutine calls them.
type Clients interface {
	// Accept updates the state of a proxy with an event and reports whether the event is current: what a replaced
	// stream still sends is not.
	Accept(Input) bool
	// Execute writes the orders of one step to the proxies concerned.
	Execute([]rules.Order)
	// Forget drops the state of a replica that is gone.
	Forget(rules.ReplicaID)
}

// ReplicaNames maps the names that discovery gives to replicas to the numbers that the rules use, and back.
type ReplicaNames interface {
	ID(name []byte) (rules.ReplicaID, bool)
	Name(rules.ReplicaID) (string, bool)
}

// Discovery is the client of discovery. Its answers are posted as events.
type Discovery interface {
	ReplicaNames
	// Watch begins to follow changes of the endpoint list, or ends that.
	Watch(on bool)
	// Fetch requests the full endpoint list once.
	Fetch()
	// Forget releases the name of a replica that is gone.
	Forget(rules.ReplicaID)
}

// Queue carries events to the one goroutine that decides and dispatches its orders. Reports have a lane of their own, so
// that nothing else ever waits behind them.
type Queue struct {
	urgent, reports chan Input
	closed          chan struct{}
	clients         Clients
	discovery       Discovery
}

// New returns a Queue that holds up to capacity reports and as many other events.
func New(capacity int) *Queue {
	return &Queue{
		urgent:  make(chan Input, capacity),
		reports: make(chan Input, capacity),
		closed:  make(chan struct{}),
	}
}

// Connect sets who carries out orders. It must be called once, before any other method.
func (q *Queue) Connect(clients Clients, discovery Discovery) {
	q.clients, q.discovery = clients, discovery
}

// Close releases all callers that wait in Post. It must be called once.
func (q *Queue) Close() { close(q.closed) }

func (q *Queue) channelFor(e Input) chan Input {
	if e.isReport() {
		return q.reports
	}
	return q.urgent
}

// Post enqueues an event. It waits while the event's lane is full, which is the back pressure on peers that send too much:
// meanwhile they are not read from. After Close it waits no longer and drops what has no room.
func (q *Queue) Post(e Input) {
	select {
	case q.channelFor(e) <- e:
	case <-q.closed:
	}
}

// TryPost enqueues an event unless its lane is full, and reports whether it did. It is for the reports on proxies'
// streams: acknowledgements come behind them on the same stream and must not be delayed.
func (q *Queue) TryPost(e Input) bool {
	select {
	case q.channelFor(e) <- e:
		return true
	default:
		return false
	}
}

// Urgent is the lane of all events but reports.
func (q *Queue) Urgent() <-chan Input { return q.urgent }

// Reports is the lane of reports.
func (q *Queue) Reports() <-chan Input { return q.reports }

// FilterCurrent has the client side take note of the events of its connections and returns those that are current. It reuses
// the slice.
func (q *Queue) FilterCurrent(events []Input) []Input {
	current := events[:0]
	for _, e := range events {
		if e.Connection == nil || q.clients.Accept(e) {
			current = append(current, e)
		}
	}
	return current
}

// Dispatch hands the orders of one step to the sides that carry them out and returns those that are the caller's own:
// timers, log lines, and replicas to forget.
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
	for _, replica := range forgotten { // only now: the step's last removals needed their names
		q.clients.Forget(replica)
		q.discovery.Forget(replica)
	}
	return own
}

// ID returns the number of the replica with this name.
func (q *Queue) ID(name []byte) (rules.ReplicaID, bool) { return q.discovery.ID(name) }

// Name returns the name of a replica.
func (q *Queue) Name(id rules.ReplicaID) (string, bool) { return q.discovery.Name(id) }
