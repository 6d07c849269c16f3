// Package requestmodel is the way of requests to replicas and back as a small state machine without I/O, explored
// exhaustively: two clients, two replicas, two connections, two tries each, and every order of what may happen between
// them (deliveries, answers that are whole, cut, surplus, late, nobody's or another's, resets, silence, clients that
// leave, connections that are forgotten). The decisions are those of dataplane/retry; what internal/replica makes of a
// connection's bytes is told here once more, as rules. Faults can be put in to see that the check finds them.
//
// Against what a replica may say the model has it tell the truth in one point: it refuses only what it does not run.
package requestmodel

import (
	"fmt"
	"hash/maphash"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// Fault is a bug put in on purpose.
type Fault int

const (
	NoFault                   Fault = iota
	ReusesWithBufferedBytes         // a connection is used again with bytes behind the answer
	RetriesUnsafeAfterSilence       // an unsafe request goes to a second replica after a silence
	IgnoresIdentity                 // an answer's identity is not compared
	TrustsReset                     // a reset is taken for proof that the request has not run
	ReusesPastKeepAlive             // a pooled connection is used beyond its Keep-Alive
	TrustsNamelessRejection         // a refusal that names nobody is believed
	ReportsLastExecution            // the verdict of the last try counts, not the worst of all
	RetriesForGoneClient            // a request whose client has left is offered again
	ReusesAfterSilence              // a connection goes back to the pool when its try ends without an answer
	KeepsHedgedConnection           // the connection of a beaten try goes back to the pool before its answer came
)

// Bounds limit what happens in a run.
type Bounds struct {
	Safe             [2]bool // the clients' requests
	SurplusResponses uint8   // answers that nobody asked for
	Failures         uint8   // resets, silences, cut and spoilt answers
	MaxStates        int     // exploring ends after so many
}

// Result is what an exploration found.
type Result struct {
	States    int
	Complete  bool
	Violation string // empty: nothing
	Trace     []string
}

type (
	messageKind uint8
	message     struct {
		kind        messageKind
		namedClient uint8 // that it names: a client, from 1; 0: none
		origin      uint8 // whose it is in truth; 0: nobody's
	}
	conn struct {
		state           uint8 // closed, idle, busy
		replica         uint8
		client          uint8 // whose try it carries
		attempt         uint8
		uses            uint8
		carried         uint8 // bits of clients
		tainted         bool
		pastKeepAlive   bool // beyond the time that the replica told
		forgotten       bool // by the replica
		closing         bool // its end is on the way
		closedByReplica bool // and has arrived
		request         uint8
		executing       uint8 // at the replica
		answered        uint8 // bits: answered or refused there, so that it may say so once more
		rejected        uint8 // bits
		wire            [2]message
		buffer          [2]message
	}
	attempt struct {
		state     uint8 // not made, under way, ended
		replica   uint8
		execution retry.Execution
	}
	client struct {
		state      uint8 // to come, under way, told
		gone       bool
		attempts   [2]attempt
		outcome    uint8
		execution  retry.Execution
		executions uint8
		delayed    uint8 // bits of replicas that a closed connection's request may still reach
		sent       uint8
	}
	state struct {
		clients   [2]client
		conns     [2]conn
		surplus   uint8
		failures  uint8
		violation uint8
	}
	step struct {
		state state
		label string
	}
)

const (
	noMessage messageKind = iota
	response
	rejection
	truncated
	garbage
)

const (
	connClosed = iota
	connIdle
	connBusy
)

const (
	notStarted = iota
	inFlight
	finished
)

const (
	outcomeNone = iota
	outcomeAnswered
	outcomeNotExecuted
	outcomeUnknown
	outcomeClientGone
)

const (
	noViolation = iota
	wrongCaller
	sentPastKeepAlive
	sentBehindBytes
	sentForGoneClient
	sentOnBusyConn
)

var violations = [...]string{"", "an answer went to another caller", "a request was sent on a connection past its time",
	"a request was sent on a connection with bytes behind the answer", "a request was offered though its client had left", "a request was sent on a connection that still carried another"}

// explorer explores one set of bounds.
type explorer struct {
	bounds     Bounds
	fault      Fault
	successors []step
	labelled   bool // steps have labels
	seed       maphash.Seed
}

func (m *explorer) label(format string, args ...any) string {
	if !m.labelled {
		return ""
	}
	return fmt.Sprintf(format, args...)
}

func (m *explorer) add(s state, format string, args ...any) {
	for i := range s.clients { // what bears on nothing any more
		if c := &s.clients[i]; c.state == finished {
			*c = client{state: finished, outcome: c.outcome, executions: c.executions, delayed: c.delayed}
			if m.bounds.Safe[i] && c.outcome != outcomeNotExecuted {
				c.executions, c.delayed = 0, 0
			}
		}
		if m.bounds.Safe[i] {
			s.clients[i].executions = min(s.clients[i].executions, 1)
		}
	}
	m.successors = append(m.successors, step{s, m.label(format, args...)})
}

// hash is the same for states that differ in the names of connections and replicas only.
func (m *explorer) hash(s state) uint64 {
	other := s
	for i := range other.clients {
		c := &other.clients[i]
		c.delayed = c.delayed>>1 | c.delayed&1<<1
		for j := range c.attempts {
			if c.attempts[j].state != notStarted {
				c.attempts[j].replica = 1 - c.attempts[j].replica
			}
		}
	}
	for k := range other.conns {
		if other.conns[k].state != connClosed {
			other.conns[k].replica = 1 - other.conns[k].replica
		}
	}
	h := uint64(1<<64 - 1)
	for _, v := range [...]state{s, other} {
		h = min(h, maphash.Comparable(m.seed, v))
		v.conns[0], v.conns[1] = v.conns[1], v.conns[0]
		h = min(h, maphash.Comparable(m.seed, v))
	}
	return h
}

// check tells which promise a state breaks.
func (m *explorer) check(s *state) string {
	if s.violation != noViolation {
		return violations[s.violation]
	}
	for i, c := range s.clients {
		if !m.bounds.Safe[i] && c.executions > 1 {
			return "an unsafe request ran twice"
		}
		if c.outcome == outcomeNotExecuted && c.executions > 0 {
			return "a request that ran was told not to have run"
		}
	}
	return ""
}

func push(q *[2]message, x message) bool {
	for i := range q {
		if q[i].kind == noMessage {
			q[i] = x
			return true
		}
	}
	return false
}

func pop(q *[2]message) message {
	x := q[0]
	q[0], q[1] = q[1], message{}
	return x
}

// closeConn ends a connection at the forager. What it had sent may still arrive.
func closeConn(s *state, k int) {
	c := &s.conns[k]
	if c.request > 0 {
		s.clients[c.request-1].delayed |= 1 << c.replica
	}
	*c = conn{}
}

// sendAttempt sends a client's next try to each replica in turn that has not had it, by each connection that could be taken.
func (m *explorer) sendAttempt(s state, i, n int, label string) bool {
	offered := false
	for r := uint8(0); r < 2; r++ {
		if n == 1 && s.clients[i].attempts[0].replica == r {
			continue
		}
		fresh := false
		for k := range s.conns {
			c := s.conns[k]
			old := c.state == connIdle && c.replica == r && (c.carried>>i)&1 == 0 && !c.closedByReplica
			if old && (c.pastKeepAlive && m.fault != ReusesPastKeepAlive || c.buffer[0].kind != noMessage && m.fault != ReusesWithBufferedBytes) {
				old = false
			}
			if !old && (c.state != connClosed || fresh) {
				continue
			}
			t := s
			c = t.conns[k]
			if !old {
				fresh = true
				c = conn{replica: r}
			}
			if c.pastKeepAlive {
				t.violation = sentPastKeepAlive
			}
			if c.buffer[0].kind != noMessage {
				t.violation = sentBehindBytes
			}
			if c.request+c.executing > 0 {
				t.violation = sentOnBusyConn
			}
			if t.clients[i].gone {
				t.violation = sentForGoneClient
			}
			c.state, c.client, c.attempt, c.request = connBusy, uint8(i), uint8(n), uint8(i+1)
			c.uses++
			c.carried |= 1 << i
			t.conns[k] = c
			t.clients[i].state = inFlight
			t.clients[i].sent++
			t.clients[i].attempts[n] = attempt{state: inFlight, replica: r}
			m.add(t, "%s; try %d of client %d to replica %d on connection %d (use %d)", label, n, i, r, k, c.uses)
			offered = true
		}
	}
	return offered
}

// endAttempt takes a try's verdict and goes on as internal/gateway does.
func (m *explorer) endAttempt(s state, k int, v retry.Execution, keep bool, label string) {
	c := s.conns[k]
	i, n := int(c.client), int(c.attempt)
	if keep {
		c.state, c.client, c.attempt = connIdle, 0, 0
		s.conns[k] = c
	} else {
		closeConn(&s, k)
	}
	cl := &s.clients[i]
	if cl.state != inFlight {
		m.add(s, "%s", label)
		return
	}
	cl.attempts[n].state, cl.attempts[n].execution = finished, v
	if v == retry.Answered {
		for j := range s.conns { // the beaten one is closed
			if b := &s.conns[j]; b.state == connBusy && int(b.client) == i {
				if m.fault == KeepsHedgedConnection {
					b.state, b.client, b.attempt = connIdle, 0, 0
				} else {
					closeConn(&s, j)
				}
			}
		}
		cl.state, cl.outcome = finished, outcomeAnswered
		m.add(s, "%s: told", label)
		return
	}
	if v > cl.execution || m.fault == ReportsLastExecution {
		cl.execution = v
	}
	pending := cl.attempts[0].state == inFlight || cl.attempts[1].state == inFlight
	if pending {
		m.add(s, "%s", label)
		return
	}
	safe := m.bounds.Safe[i] || m.fault == RetriesUnsafeAfterSilence
	again := retry.ShouldRetry(v, retry.State{Idempotent: safe, MaxAttempts: 2, Attempts: int(cl.sent), TimeLeft: time.Second})
	if cl.gone && m.fault != RetriesForGoneClient {
		again = false
	}
	if again && m.sendAttempt(s, i, 1, label) {
		return
	}
	cl.state = finished
	switch {
	case cl.gone:
		cl.outcome = outcomeClientGone
	case retry.FinalStatus(cl.execution, false) == 503:
		cl.outcome = outcomeNotExecuted
	default:
		cl.outcome = outcomeUnknown
	}
	m.add(s, "%s: the end", label)
}

// readMessage is what internal/replica makes of the next bytes on a connection that carries a try.
func (m *explorer) readMessage(s state, k int) {
	c := &s.conns[k]
	x := pop(&c.buffer)
	i := c.client
	label := m.label("connection %d reads %v", k, x)
	id := x.namedClient
	if m.fault == IgnoresIdentity {
		id = i + 1
	}
	quiet := c.buffer[0].kind == noMessage && !c.closedByReplica || m.fault == ReusesWithBufferedBytes
	switch {
	case x.kind == garbage || x.kind == truncated:
		m.endAttempt(s, k, retry.MayHaveExecuted, false, label)
	case id != 0 && id != i+1:
		c.tainted = true
		m.add(s, "%s: another's", label)
	case x.kind == rejection && (id != 0 || m.fault == TrustsNamelessRejection):
		m.endAttempt(s, k, retry.NotExecuted, quiet && !c.tainted, label)
	case x.kind == rejection || id == 0:
		m.endAttempt(s, k, retry.MayHaveExecuted, false, label)
	default:
		if x.origin != i+1 {
			s.violation = wrongCaller
		}
		m.endAttempt(s, k, retry.Answered, quiet && !c.tainted, label)
	}
}

func (m *explorer) expand(s state) []step {
	m.successors = m.successors[:0]
	for i := range s.clients {
		c := s.clients[i]
		if c.state == notStarted {
			m.sendAttempt(s, i, 0, m.label("client %d asks", i))
		}
		if c.state == inFlight && c.attempts[1].state == notStarted && c.attempts[0].state == inFlight && m.bounds.Safe[i] && !c.gone {
			m.sendAttempt(s, i, 1, "a second beside the first")
		}
		if c.state == inFlight && !c.gone {
			t := s
			t.clients[i].gone = true
			if m.bounds.Safe[i] {
				for k := range t.conns {
					if t.conns[k].state == connBusy && int(t.conns[k].client) == i {
						closeConn(&t, k)
					}
				}
				t.clients[i].state, t.clients[i].outcome = finished, outcomeClientGone
			}
			m.add(t, "client %d leaves", i)
		}
		for r := range 2 {
			if c.delayed&(1<<r) != 0 {
				t := s
				t.clients[i].delayed &^= 1 << r
				m.add(t, "what client %d had sent to replica %d is lost", i, r)
				t.clients[i].executions++
				m.add(t, "what client %d had sent to replica %d arrives after all, and runs", i, r)
			}
		}
	}
	for k := range s.conns {
		if s.conns[k].state == connClosed {
			continue
		}
		m.arrivals(s, k)
		m.replicaSteps(s, k)
		c := s.conns[k]
		switch {
		case c.state == connBusy && c.buffer[0].kind != noMessage:
			m.readMessage(s, k)
		case c.state == connBusy && c.closedByReplica:
			v := retry.MayHaveExecuted
			if m.fault == TrustsReset {
				v = retry.NotExecuted
			}
			m.endAttempt(s, k, v, false, m.label("connection %d ended", k))
		case c.state == connBusy && s.failures > 0:
			t := s
			t.failures--
			m.endAttempt(t, k, retry.MayHaveExecuted, m.fault == ReusesAfterSilence, m.label("silence on connection %d", k))
		case c.state == connIdle && !c.pastKeepAlive:
			t := s
			t.conns[k].pastKeepAlive = true
			m.add(t, "connection %d has rested for its time", k)
		case c.state == connIdle:
			t := s
			closeConn(&t, k)
			m.add(t, "connection %d is swept", k)
		}
	}
	return m.successors
}

// arrivals move what is on the way.
func (m *explorer) arrivals(s state, k int) {
	c := s.conns[k]
	if c.wire[0].kind != noMessage {
		t := s
		x := pop(&t.conns[k].wire)
		if push(&t.conns[k].buffer, x) {
			m.add(t, "%v arrives on connection %d", x, k)
		}
	} else if c.closing && !c.closedByReplica {
		t := s
		t.conns[k].closedByReplica = true
		m.add(t, "the end of connection %d arrives", k)
	}
}

// replicaSteps is all that the other end may do.
func (m *explorer) replicaSteps(s state, k int) {
	c := s.conns[k]
	emit := func(s state, breaks, ends bool, x message, label string) {
		t := &s.conns[k]
		if breaks {
			if s.failures == 0 {
				return
			}
			s.failures--
		}
		if x.kind != noMessage && !push(&t.wire, x) {
			return
		}
		t.closing = t.closing || ends
		m.add(s, "on connection %d the replica %s", k, label)
	}
	if c.closing {
		return
	}
	if q := c.request; q > 0 {
		t := s
		t.conns[k].request = 0
		switch {
		case c.forgotten:
			emit(t, false, true, message{}, "knows nothing of the connection")
		case c.executing == 0:
			emit(t, true, true, message{}, "breaks off before it ran anything")
			u := t
			u.conns[k].answered |= 1 << (q - 1)
			u.conns[k].rejected |= 1 << (q - 1)
			emit(u, false, false, message{rejection, q, q}, "refuses")
			emit(u, true, false, message{rejection, 0, q}, "refuses and names nobody")
			t.conns[k].executing = q
			t.clients[q-1].executions++
			m.add(t, "on connection %d the replica runs what client %d asks", k, q-1)
		}
	}
	if q := c.executing; q > 0 {
		t := s
		t.conns[k].executing = 0
		t.conns[k].answered |= 1 << (q - 1)
		emit(t, false, false, message{response, q, q}, "answers")
		emit(t, false, true, message{response, q, q}, "answers and closes")
		emit(t, true, false, message{response, 0, q}, "answers and names nobody")
		emit(t, true, false, message{response, 3 - q, q}, "answers and names another")
		emit(t, true, true, message{truncated, q, q}, "cuts its answer short")
		emit(t, true, true, message{garbage, 0, 0}, "sends what is no answer")
		emit(t, true, true, message{}, "breaks off")
	}
	if s.surplus > 0 {
		t := s
		t.surplus--
		for q := uint8(1); q <= 2; q++ {
			if c.answered>>(q-1)&1 == 0 {
				continue
			}
			if c.rejected>>(q-1)&1 == 1 {
				emit(t, false, false, message{rejection, q, q}, "refuses once more")
				emit(t, false, false, message{rejection, 0, q}, "refuses once more and names nobody")
				continue
			}
			emit(t, false, false, message{response, q, q}, "answers once more")
			emit(t, false, false, message{response, 0, q}, "answers once more and names nobody")
		}
		if c.uses > 0 {
			emit(t, false, false, message{garbage, 0, 0}, "sends bytes")
		}
	}
	if c.state == connIdle && !c.forgotten && (c.pastKeepAlive || s.failures > 0) {
		t := s
		if !c.pastKeepAlive {
			t.failures--
		}
		t.conns[k].forgotten = true
		m.add(t, "the replica forgets connection %d", k)
		t.conns[k].closing = true
		m.add(t, "the replica closes connection %d", k)
	}
}

// Explore sees all states within the bounds, the nearest first.
func Explore(b Bounds, fault Fault) Result {
	m := &explorer{bounds: b, fault: fault, seed: maphash.MakeSeed()}
	type node struct {
		s    state
		from int
	}
	begin := state{surplus: b.SurplusResponses, failures: b.Failures}
	all := []node{{s: begin, from: -1}}
	seen := map[uint64]struct{}{m.hash(begin): {}}
	for at := 0; at < len(all); at++ {
		if len(all) > b.MaxStates {
			return Result{States: len(all)}
		}
		for _, n := range m.expand(all[at].s) {
			h := m.hash(n.state)
			if _, ok := seen[h]; ok {
				continue
			}
			seen[h] = struct{}{}
			all = append(all, node{n.state, at})
			if broken := m.check(&n.state); broken != "" {
				r := Result{States: len(all), Violation: broken}
				m.labelled = true
				for i := len(all) - 1; i > 0; i = all[i].from {
					for _, x := range m.expand(all[all[i].from].s) {
						if x.state == all[i].s {
							r.Trace = append([]string{x.label}, r.Trace...)
							break
						}
					}
				}
				return r
			}
		}
	}
	return Result{States: len(all), Complete: true}
}
