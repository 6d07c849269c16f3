// Package exchange is where the client side and the server side meet: events go in, orders come out.
package exchange

import "zincloft.example/zincloft/rules"

// Event is a fact and the connection that it came by, if it came by one.
type Event struct {
	From any
	Fact rules.Event
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
	ID(name string) (rules.ReplicaID, bool)
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

// Exchange carries events to the one goroutine that decides, and its orders back to both sides.
type Exchange struct {
	inbox   chan Event
	closed  chan struct{}
	clients Clients
	list    List
}

// New returns an Exchange in which so many events may wait.
func New(room int) *Exchange {
	return &Exchange{inbox: make(chan Event, room), closed: make(chan struct{})}
}

// Connect names the two sides. It is called once, before any other call.
func (x *Exchange) Connect(c Clients, l List) { x.clients, x.list = c, l }

// Close lets all that wait in Post go.
func (x *Exchange) Close() { close(x.closed) }

// Post hands an event over. It waits while the inbox is full, so that whoever sends too much is not read from.
func (x *Exchange) Post(e Event) {
	select {
	case x.inbox <- e:
	case <-x.closed:
	}
}

// Inbox is where events come out.
func (x *Exchange) Inbox() <-chan Event { return x.inbox }

// Heed returns the facts of those events that count.
func (x *Exchange) Heed(events []Event) []rules.Event {
	var facts []rules.Event
	for _, e := range events {
		if e.From == nil || x.clients.Heed(e) {
			facts = append(facts, e.Fact)
		}
	}
	return facts
}

// Deliver hands the orders of one Step to the sides that carry them out, and returns those that are for the
// caller itself: timers and log lines.
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
			gone = append(gone, o.Replica)
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
func (x *Exchange) ID(name string) (rules.ReplicaID, bool) { return x.list.ID(name) }

// Name is a replica's name.
func (x *Exchange) Name(id rules.ReplicaID) (string, bool) { return x.list.Name(id) }
