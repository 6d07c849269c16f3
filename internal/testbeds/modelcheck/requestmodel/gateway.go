package requestmodel

import (
	"net/http"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// sendAttempt sends a client's n-th attempt to each replica in turn that has not had the request, by each connection that
// could be taken. It tells whether there was any.
func (e *explorer) sendAttempt(s state, i, n int, label string) (sent bool) {
	for r := uint8(0); r < replicaCount; r++ {
		if n == 1 && s.clients[i].attempts[0].replica == r {
			continue
		}
		dialed := false // a second new connection would make the same state
		for k := range s.conns {
			reused := e.isReusable(&s.conns[k], i, r)
			if !reused && (s.conns[k].state != connClosed || dialed) {
				continue
			}
			next := s
			if !reused {
				dialed = true
				next.conns[k] = conn{replica: r}
			}
			next.sendOn(k, i, n)
			e.add(next, "%s; attempt %d of client %d to replica %d on connection %d (use %d)", label, n, i, r, k, next.conns[k].uses)
			sent = true
		}
	}
	return sent
}

// isReusable tells whether an idle connection to replica r may carry client i's request.
func (e *explorer) isReusable(c *conn, i int, r uint8) bool {
	if c.state != connIdle || c.replica != r || c.carried&idOf(i).bit() != 0 || c.closedByReplica {
		return false
	}
	if c.pastKeepAlive && e.fault != ReusesPastKeepAlive {
		return false
	}
	return c.buffer[0].kind == noMessage || e.fault == ReusesWithBufferedBytes
}

// sendOn sends client i's n-th attempt on a connection, and notes which rule that breaks.
func (s *state) sendOn(k, i, n int) {
	c := &s.conns[k]
	if c.pastKeepAlive {
		s.violation = sentPastKeepAlive
	}
	if c.buffer[0].kind != noMessage {
		s.violation = sentBehindBytes
	}
	if c.request > 0 || c.executing > 0 {
		s.violation = sentOnBusyConn
	}
	if s.clients[i].gone {
		s.violation = sentForGoneClient
	}
	c.state, c.client, c.attempt, c.request = connBusy, uint8(i), uint8(n), idOf(i)
	c.uses++
	c.carried |= idOf(i).bit()
	s.clients[i].state = inFlight
	s.clients[i].sent++
	s.clients[i].attempts[n] = attempt{state: inFlight, replica: c.replica}
}

// gatewaySteps are the gateway's on a connection: it reads, finds its end, gives up waiting, and sweeps idle ones.
func (e *explorer) gatewaySteps(s state, k int) {
	c := s.conns[k]
	switch {
	case c.state == connBusy && c.buffer[0].kind != noMessage:
		e.readMessage(s, k)
	case c.state == connBusy && c.closedByReplica:
		execution := retry.MayHaveExecuted
		if e.fault == TreatsResetAsNotExecuted {
			execution = retry.NotExecuted
		}
		e.endAttempt(s, k, execution, false, e.label("connection %d ended", k))
	case c.state == connBusy && s.failures > 0:
		s.failures--
		e.endAttempt(s, k, retry.MayHaveExecuted, e.fault == ReusesAfterTimeout, e.label("silence on connection %d", k))
	case c.state == connIdle && !c.pastKeepAlive:
		s.conns[k].pastKeepAlive = true
		e.add(s, "connection %d has been idle for its keep-alive timeout", k)
	case c.state == connIdle:
		s.closeConn(k)
		e.add(s, "connection %d is swept", k)
	}
}

// readMessage is what internal/daemons/replica makes of the next message on a connection that carries an attempt.
func (e *explorer) readMessage(s state, k int) {
	c := &s.conns[k]
	m := pop(&c.buffer)
	own := idOf(int(c.client))
	label := e.label("connection %d reads %v", k, m)
	named := m.namedClient
	if e.fault == IgnoresRequestID {
		named = own
	}
	quiet := c.buffer[0].kind == noMessage && !c.closedByReplica || e.fault == ReusesWithBufferedBytes
	reusable := quiet && !c.tainted
	switch {
	case m.kind == garbage || m.kind == truncated:
		e.endAttempt(s, k, retry.MayHaveExecuted, false, label)
	case named != 0 && named != own:
		c.tainted = true
		e.add(s, "%s: another request's", label)
	case m.kind == rejection && (named != 0 || e.fault == TrustsUnidentifiedRejection):
		e.endAttempt(s, k, retry.NotExecuted, reusable, label)
	case m.kind == rejection || named == 0:
		e.endAttempt(s, k, retry.MayHaveExecuted, false, label)
	default:
		if m.origin != own {
			s.violation = wrongCaller
		}
		e.endAttempt(s, k, retry.Answered, reusable, label)
	}
}

// endAttempt takes the execution of the attempt on a connection and goes on as internal/daemons/gateway does.
func (e *explorer) endAttempt(s state, k int, execution retry.Execution, keepConn bool, label string) {
	i, n := int(s.conns[k].client), int(s.conns[k].attempt)
	if keepConn {
		s.conns[k].release()
	} else {
		s.closeConn(k)
	}
	c := &s.clients[i]
	if c.state != inFlight {
		e.add(s, "%s", label)
		return
	}
	c.attempts[n].state, c.attempts[n].execution = finished, execution
	if execution == retry.Answered {
		e.endSlowerAttempt(&s, i)
		c.state, c.outcome = finished, outcomeAnswered
		e.add(s, "%s: answered", label)
		return
	}
	if execution > c.execution || e.fault == ReportsLastExecution {
		c.execution = execution
	}
	if c.attempts[0].state == inFlight || c.attempts[1].state == inFlight {
		e.add(s, "%s", label)
		return
	}
	if e.shouldRetry(c, i, execution) && e.sendAttempt(s, i, 1, label) {
		return
	}
	c.state, c.outcome = finished, c.finalOutcome()
	e.add(s, "%s: the end", label)
}

// release puts a connection back into the pool.
func (c *conn) release() { c.state, c.client, c.attempt = connIdle, 0, 0 }

// endSlowerAttempt closes the connection of the attempt that another one was faster than.
func (e *explorer) endSlowerAttempt(s *state, i int) {
	for k := range s.conns {
		c := &s.conns[k]
		if c.state != connBusy || int(c.client) != i {
			continue
		}
		if e.fault == ReusesHedgedConnection {
			c.release()
		} else {
			s.closeConn(k)
		}
	}
}

func (e *explorer) shouldRetry(c *client, i int, execution retry.Execution) bool {
	if c.gone && e.fault != RetriesForDisconnectedClient {
		return false
	}
	idempotent := e.bounds.Idempotent[i] || e.fault == RetriesUnsafeAfterTimeout
	return retry.ShouldRetry(execution, retry.State{Idempotent: idempotent, MaxAttempts: maxAttempts, Attempts: int(c.sent), TimeLeft: time.Second})
}

// finalOutcome is what a client hears whose attempts have all ended without a response.
func (c *client) finalOutcome() outcome {
	switch {
	case c.gone:
		return outcomeClientGone
	case retry.FinalStatus(c.execution, false) == http.StatusServiceUnavailable:
		return outcomeNotExecuted
	}
	return outcomeUnknown
}
