// Package exchange is where the client side and the server side meet: events go in, orders come out.
package exchange

import (
	"time"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/rules"
)

// Event is a fact, or in its place a batch of a proxy's reports or what machines tell of their loads, and the connection
// that it came by, if it came by one.
type Event struct {
	From  any
	Fact  rules.Event
	Batch *intake.Batch
	Loads []intake.Load
	Read  time.Time // when a report came
}

// report tells whether an event may wait behind all others. Joins, leaves, marks and the list may not: a drain must
// be on its way however much is reported.
func (e Event) report() bool {
	switch e.Fact.(type) {
	case nil, rules.Sums, rules.Intake:
		return true
	}
	return false
}

// Clients is the side of the proxies and collectors.
type Clients interface {
	// Heed takes note of an event and tells whether it counts: late words of a replaced stream do not.
	Heed(Event) bool
	// Carry writes the orders of one Step to the proxies concerned.
	Carry([]rules.Order)
	// Forget drops what is held of a replica that is gone.
	Forget(rules.ReplicaID)
}

// Names finds replicas by the name that discovery gives them, and names by replica.
type Names interface {
	ID(name []byte) (rules.ReplicaID, bool)
	Name(rules.ReplicaID) (string, bool)
}

// List is the side of discovery. Its answers come as events.
type List interface {
	Names
	Observe(on bool)
	Fetch()
	// Forget frees the name of a replica that is gone.
	Forget(rules.ReplicaID)
}

// Exchange carries events to the one goroutine that decides, and its orders back to both sides. Reports have a lane
// of their own, so that nothing else ever waits behind them.
type Exchange struct {
	first, reports chan Event
	closed         chan struct{}
	clients        Clients
	list           List
}

// New returns an Exchange in which so many reports may wait, and as many other events.
func New(room int) *Exchange {
	return &Exchange{first: make(chan Event, room), reports: make(chan Event, room), closed: make(chan struct{})}
}

// Connect names the two sides. It is called once, before any other call.
func (x *Exchange) Connect(c Clients, l List) { x.clients, x.list = c, l }

// Close lets all that wait in Post go.
func (x *Exchange) Close() { close(x.closed) }

func (x *Exchange) lane(e Event) chan Event {
	if e.report() {
		return x.reports
	}
	return x.first
}

// Post hands an event over. It waits while its lane is full, so that whoever sends too much is not read from.
func (x *Exchange) Post(e Event) {
	select {
	case x.lane(e) <- e:
	case <-x.closed:
	}
}

// Offer hands an event over, unless its lane is full. It is for reports of streams: a proxy's marks come behind them.
func (x *Exchange) Offer(e Event) bool {
	select {
	case x.lane(e) <- e:
		return true
	default:
		return false
	}
}

// First is where events come out that must not wait, Reports where the others do.
func (x *Exchange) First() <-chan Event   { return x.first }
func (x *Exchange) Reports() <-chan Event { return x.reports }

// Heed returns those events that count.
func (x *Exchange) Heed(events []Event) []Event {
	counting := events[:0]
	for _, e := range events {
		if e.From == nil || x.clients.Heed(e) {
			counting = append(counting, e)
		}
	}
	return counting
}

// Deliver hands the orders of one Step to the sides that carry them out, and returns those that are for the
// caller itself: timers, log lines, and replicas to forget.
func (x *Exchange) Deliver(orders []rules.Order) (own []rules.Order) {
	var lines []rules.Order
	var gone []rules.ReplicaID
	for _, o := range orders {
		switch o := o.(type) {
		case rules.Observe:
			x.list.Observe(o.On)
		case rules.FetchList:
			x.list.Fetch()
		case rules.Forget:
			gone, own = append(gone, o.Replica), append(own, o)
		case rules.WakeAfter, rules.Log, rules.Probe, rules.Tell:
			own = append(own, o)
		default:
			lines = append(lines, o)
		}
	}
	if len(lines) > 0 {
		x.clients.Carry(lines)
	}
	for _, r := range gone { // the Step's last removals have named them
		x.clients.Forget(r)
		x.list.Forget(r)
	}
	return own
}

// ID finds a replica by the name that discovery gives it.
func (x *Exchange) ID(name []byte) (rules.ReplicaID, bool) { return x.list.ID(name) }

// Name is a replica's name.
func (x *Exchange) Name(id rules.ReplicaID) (string, bool) { return x.list.Name(id) }
