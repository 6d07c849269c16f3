package requestmodel

import "zincloft.example/zincloft/dataplane/retry"

const (
	clientCount  = 2
	replicaCount = 2
	connCount    = 2
	maxAttempts  = 2
	queueLength  = 2 // messages in transit, and messages in a buffer
)

// state is a state of the model. It must be comparable, as it is hashed.
type state struct {
	clients     [clientCount]client
	conns       [connCount]conn
	unsolicited uint8 // remaining unsolicited responses
	failures    uint8 // remaining failures
	violation   violation
}

// client is a client with the gateway's state of its request.
type client struct {
	state        progress
	disconnected bool
	attempts     [maxAttempts]attempt
	outcome      outcome
	execution    retry.Execution // strongest of all attempts
	executions   uint8
	delayed      uint8 // set of replicas at which a request sent on a closed connection may still arrive
	sent         uint8 // number of attempts sent
}

type attempt struct {
	state     progress
	replica   uint8
	execution retry.Execution
}

// conn is a connection between the gateway and a replica.
type conn struct {
	state            connState
	replica          uint8
	client           uint8 // index of the client whose attempt it carries
	attempt          uint8
	uses             uint8
	carried          uint8 // set of clients whose requests it has carried
	hadMismatch      bool  // a response to another request was received
	pastKeepAlive    bool  // idle for longer than the keep-alive timeout announced by the replica
	droppedByReplica bool  // without closing it
	closing          bool  // closed by the replica; the close is in transit
	closedByReplica  bool  // the close has arrived at the gateway

	request   clientID // in transit to the replica
	executing clientID // being executed by the replica
	answered  uint8    // set of clients whose requests the replica has answered or rejected
	rejected  uint8    // set of clients whose requests the replica has rejected

	wire   [queueLength]message // in transit to the gateway
	buffer [queueLength]message // received by the gateway but not read
}

// message is a message from a replica.
type message struct {
	kind          messageKind
	claimedClient clientID // client of the request ID in the message; 0 if there is none
	origin        clientID // client whose request caused the message
}

// clientID is 1 + the index of a client, or 0 for none. It also serves as the ID of the client's request.
type clientID uint8

func idOf(client int) clientID { return clientID(client + 1) }

// bit returns the set that contains only this client.
func (id clientID) bit() uint8 { return 1 << (id - 1) }

func (id clientID) other() clientID { return 3 - id }

type messageKind uint8

const (
	noMessage messageKind = iota
	response
	rejection
	truncated
	invalid
)

type connState uint8

const (
	connClosed connState = iota
	connIdle
	connBusy
)

// progress is the progress of a request or an attempt.
type progress uint8

const (
	notStarted progress = iota
	inFlight
	finished
)

// outcome is the result of a request as reported to its client.
type outcome uint8

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeNotExecuted // status 503: not executed, and will not be
	outcomeUnknown     // status 502 or 504
	outcomeClientDisconnected
)

// push appends a message to a queue and reports whether there was room.
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

// closeConn closes a connection at the gateway. A request in transit may still arrive at the replica.
func (s *state) closeConn(k int) {
	c := &s.conns[k]
	if c.request > 0 {
		s.clients[c.request-1].delayed |= 1 << c.replica
	}
	*c = conn{}
}

// swapReplicas returns the state with the two replicas exchanged.
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

// swapConns returns the state with the two connections exchanged.
func (s state) swapConns() state {
	s.conns[0], s.conns[1] = s.conns[1], s.conns[0]
	return s
}
