// Package eventqueue is where the client side and the server side meet: events go in, orders come out.
package eventqueue

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Event is a fact, or in its place a batch of a proxy's reports or what machines tell of their loads, and the connection
// that it came by, if it came by one.
type Event struct {
	Connection any
	Fact       rules.Event
	Batch      *intake.Batch
	Loads      []intake.MachineLoad
	ReceivedAt time.Time // when a report came
}

// isReport tells whether an event may wait behind all others. Joins, leaves, marks and the list may not: a drain must
// be on its way however much is reported.
func (e Event) isReport() bool {
	switch e.Fact.(type) {
	case nil, rules.EndpointStats, rules.GroupTraffic:
		return true
	}
	return false
}

// Clients is the side of the proxies and collectors.
type Clients interface {
	// Heed takes note of an event and tells whether it counts: late words of a replaced stream do not.
	Accept(Event) bool
	// Carry writes the orders of one Step to the proxies concerned.
	Execute([]rules.Order)
	// Forget drops what is held of a replica that is gone.
	Forget(rules.ReplicaID)
}

// ReplicaNames finds replicas by the name that discovery gives them, and names by replica.
type ReplicaNames interface {
	ID(name []byte) (rules.ReplicaID, bool)
	Name(rules.ReplicaID) (string, bool)
}

// Discovery is the side of discovery. Its answers come as events.
type Discovery interface {
	ReplicaNames
	Watch(on bool)
	Fetch()
	// Forget frees the name of a replica that is gone.
	Forget(rules.ReplicaID)
}

// Queue carries events to the one goroutine that decides, and its orders back to both sides. Reports have a lane
// of their own, so that nothing else ever waits behind them.
type Queue struct {
	urgent, reports chan Event
	closed          chan struct{}
	clients         Clients
	discovery       Discovery
}

// New returns an Exchange in which so many reports may wait, and as many other events.
func New(capacity int) *Queue {
	return &Queue{urgent: make(chan Event, capacity), reports: make(chan Event, capacity), closed: make(chan struct{})}
}

// Connect names the two sides. It is called once, before any other call.
func (q *Queue) Connect(clients Clients, discovery Discovery) {
	q.clients, q.discovery = clients, discovery
}

// Close lets all that wait in Post go.
func (q *Queue) Close() { close(q.closed) }

func (q *Queue) channel(e Event) chan Event {
	if e.isReport() {
		return q.reports
	}
	return q.urgent
}

// Post hands an event over. It waits while its lane is full, so that whoever sends too much is not read from.
func (q *Queue) Post(e Event) {
	select {
	case q.channel(e) <- e:
	case <-q.closed:
	}
}

// TryPost hands an event over, unless its lane is full. It is for reports of streams: a proxy's marks come behind them.
func (q *Queue) TryPost(e Event) bool {
	select {
	case q.channel(e) <- e:
		return true
	default:
		return false
	}
}

// Urgent is where events come out that must not wait, Reports where the others do.
func (q *Queue) Urgent() <-chan Event  { return q.urgent }
func (q *Queue) Reports() <-chan Event { return q.reports }

// DropStale returns those events that count.
func (q *Queue) DropStale(events []Event) []Event {
	current := events[:0]
	for _, e := range events {
		if e.Connection == nil || q.clients.Accept(e) {
			current = append(current, e)
		}
	}
	return current
}

// Dispatch hands the orders of one Step to the sides that carry them out, and returns those that are for the
// caller itself: timers, log lines, and replicas to forget.
func (q *Queue) Dispatch(orders []rules.Order) (own []rules.Order) {
	var table []rules.Order
	var forgotten []rules.ReplicaID
	for _, o := range orders {
		switch o := o.(type) {
		case rules.Observe:
			q.discovery.Watch(o.On)
		case rules.FetchList:
			q.discovery.Fetch()
		case rules.Forget:
			forgotten, own = append(forgotten, o.Replica), append(own, o)
		case rules.WakeAfter, rules.Log, rules.Probe, rules.SendToPeer:
			own = append(own, o)
		default:
			table = append(table, o)
		}
	}
	if len(table) > 0 {
		q.clients.Execute(table)
	}
	for _, r := range forgotten { // the Step's last removals have named them
		q.clients.Forget(r)
		q.discovery.Forget(r)
	}
	return own
}

// ID finds a replica by the name that discovery gives it.
func (q *Queue) ID(name []byte) (rules.ReplicaID, bool) { return q.discovery.ID(name) }

// Name is a replica's name.
func (q *Queue) Name(id rules.ReplicaID) (string, bool) { return q.discovery.Name(id) }
