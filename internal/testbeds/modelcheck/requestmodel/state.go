package requestmodel

import "zincloft.example/zincloft/dataplane/retry"

const (
	clientCount  = 2
	replicaCount = 2
	connCount    = 2
	maxAttempts  = 2
	queueLength  = 2 // messages on the wire, and messages in a buffer
)

// state is a state of the whole model. It is comparable, so that it can be hashed.
type state struct {
	clients   [clientCount]client
	conns     [connCount]conn
	surplus   uint8 // responses that nobody asked for, still to come
	failures  uint8 // still to come
	violation violation
}

// client is a client and what the gateway holds of its request.
type client struct {
	state      progress
	gone       bool
	attempts   [maxAttempts]attempt
	outcome    outcome
	execution  retry.Execution // of its attempts, the strongest
	executions uint8
	delayed    uint8 // bits of replicas: the request of a closed connection may still arrive there
	sent       uint8 // attempts
}

type attempt struct {
	state     progress
	replica   uint8
	execution retry.Execution
}

// conn is a connection between the gateway and a replica.
type conn struct {
	state           connState
	replica         uint8
	client          uint8 // whose attempt it carries
	attempt         uint8
	uses            uint8
	carried         uint8 // bits of clients whose requests it has carried
	tainted         bool  // a response to another request came on it
	pastKeepAlive   bool  // beyond the time that the replica stated
	forgotten       bool  // by the replica
	closing         bool  // its end is on the way to the gateway
	closedByReplica bool  // its end has arrived

	request   clientID // on the way to the replica
	executing clientID // at the replica
	answered  uint8    // bits of clients: answered or rejected by the replica, which may say so once more
	rejected  uint8    // bits of clients

	wire   [queueLength]message // on the way to the gateway
	buffer [queueLength]message // at the gateway, not read yet
}

// message is what a replica sends.
type message struct {
	kind        messageKind
	namedClient clientID // whose request it names
	origin      clientID // whose request it is about in truth
}

// clientID is a client's number from 1; 0: nobody.
type clientID uint8

func idOf(client int) clientID { return clientID(client + 1) }

// bit is the client's bit in sets of clients.
func (id clientID) bit() uint8 { return 1 << (id - 1) }

// other is the other client.
func (id clientID) other() clientID { return 3 - id }

type messageKind uint8

const (
	noMessage messageKind = iota
	response
	rejection
	truncated
	garbage
)

type connState uint8

const (
	connClosed connState = iota
	connIdle
	connBusy
)

// progress is that of a request or of an attempt.
type progress uint8

const (
	notStarted progress = iota
	inFlight
	finished
)

// outcome is how a client's request ended.
type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeNotExecuted // 503: it was not executed, and never will be
	outcomeUnknown     // 502 or 504
	outcomeClientGone
)

// push appends a message to a queue, where there is room.
func push(queue *[queueLength]message, m message) bool {
	for i := range queue {
		if queue[i].kind == noMessage {
			queue[i] = m
			return true
		}
	}
	return false
}

func pop(queue *[queueLength]message) message {
	m := queue[0]
	queue[0], queue[1] = queue[1], message{}
	return m
}

// closeConn closes a connection at the gateway. What it had sent may still arrive.
func (s *state) closeConn(k int) {
	c := &s.conns[k]
	if c.request > 0 {
		s.clients[c.request-1].delayed |= 1 << c.replica
	}
	*c = conn{}
}

// swapReplicas returns the same state with the replicas' numbers exchanged.
func (s state) swapReplicas() state {
	for i := range s.clients {
		c := &s.clients[i]
		c.delayed = c.delayed>>1 | c.delayed&1<<1
		for j := range c.attempts {
			if c.attempts[j].state != notStarted {
				c.attempts[j].replica = 1 - c.attempts[j].replica
			}
		}
	}
	for k := range s.conns {
		if s.conns[k].state != connClosed {
			s.conns[k].replica = 1 - s.conns[k].replica
		}
	}
	return s
}

// swapConns returns the same state with the connections' numbers exchanged.
func (s state) swapConns() state {
	s.conns[0], s.conns[1] = s.conns[1], s.conns[0]
	return s
}
