package requestmodel

import (
	"net/http"
	"time"

	"zincloft.example/zincloft/dataplane/retry"
)

// sendAttempt adds a step for each replica and connection on which a client's n-th attempt can be sent, and reports whether there
// was one. The second attempt goes to another replica than the first.
func (e *explorer) sendAttempt(s state, i, n int, label string) (sent bool) {
	for r := uint8(0); r < replicaCount; r++ {
		if n == 1 && s.clients[i].attempts[0].replica == r {
			continue
		}
		dialed := false // further new connections lead to equivalent states
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

// isReusable reports whether a connection is idle and may carry client i's request to replica r.
func (e *explorer) isReusable(c *conn, i int, r uint8) bool {
	if c.state != connIdle || c.replica != r || c.carried&idOf(i).bit() != 0 || c.closedByReplica {
		return false
	}
	if c.pastKeepAlive && e.fault != ReusesPastKeepAlive {
		return false
	}
	return c.buffer[0].kind == noMessage || e.fault == ReusesWithBufferedBytes
}

// sendOn sends client i's n-th attempt on a connection and records a violated invariant.
func (s *state) sendOn(k, i, n int) {
	c := &s.conns[k]
	if c.pastKeepAlive {
		s.violation = sentPastKeepAlive
	}
	if c.buffer[0].kind != noMessage {
		s.violation = sentWithBufferedBytes
	}
	if c.request > 0 || c.executing > 0 {
		s.violation = sentOnBusyConn
	}
	if s.clients[i].disconnected {
		s.violation = sentForDisconnectedClient
	}
	c.state, c.client, c.attempt, c.request = connBusy, uint8(i), uint8(n), idOf(i)
	c.uses++
	c.carried |= idOf(i).bit()
	s.clients[i].state = inFlight
	s.clients[i].sent++
	s.clients[i].attempts[n] = attempt{state: inFlight, replica: c.replica}
}

// gatewaySteps adds the gateway's steps on a connection: reading a message or the end of the stream, timing out, and closing an
// idle connection.
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
		e.endAttempt(s, k, execution, false, e.label("connection %d was closed by the replica", k))
	case c.state == connBusy && s.failures > 0:
		s.failures--
		e.endAttempt(s, k, retry.MayHaveExecuted, e.fault == ReusesAfterTimeout, e.label("attempt on connection %d times out", k))
	case c.state == connIdle && !c.pastKeepAlive:
		s.conns[k].pastKeepAlive = true
		e.add(s, "connection %d reaches its keep-alive timeout", k)
	case c.state == connIdle:
		s.closeConn(k)
		e.add(s, "idle connection %d is closed", k)
	}
}

// readMessage handles the next message on a connection that carries an attempt, as internal/daemons/replica does.
func (e *explorer) readMessage(s state, k int) {
	c := &s.conns[k]
	m := pop(&c.buffer)
	expected := idOf(int(c.client))
	label := e.label("connection %d reads %v", k, m)
	claimed := m.claimedClient
	if e.fault == IgnoresRequestID {
		claimed = expected
	}
	noPendingInput := c.buffer[0].kind == noMessage && !c.closedByReplica || e.fault == ReusesWithBufferedBytes
	reusable := noPendingInput && !c.hadMismatch
	switch {
	case m.kind == invalid || m.kind == truncated:
		e.endAttempt(s, k, retry.MayHaveExecuted, false, label)
	case claimed != 0 && claimed != expected:
		c.hadMismatch = true
		e.add(s, "%s: skipped, as it is for another request", label)
	case m.kind == rejection && (claimed != 0 || e.fault == TrustsUnidentifiedRejection):
		e.endAttempt(s, k, retry.NotExecuted, reusable, label)
	case m.kind == rejection || claimed == 0:
		e.endAttempt(s, k, retry.MayHaveExecuted, false, label)
	default:
		if m.origin != expected {
			s.violation = wrongClient
		}
		e.endAttempt(s, k, retry.Answered, reusable, label)
	}
}

// endAttempt ends the attempt on a connection and answers or retries the request, as internal/daemons/gateway does.
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
		e.cancelOtherAttempt(&s, i)
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
	e.add(s, "%s: failed", label)
}

// release returns a connection to the pool.
func (c *conn) release() { c.state, c.client, c.attempt = connIdle, 0, 0 }

// cancelOtherAttempt closes the connection of the request's other attempt if that is still in flight.
func (e *explorer) cancelOtherAttempt(s *state, i int) {
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
	if c.disconnected && e.fault != RetriesForDisconnectedClient {
		return false
	}
	idempotent := e.bounds.Idempotent[i] || e.fault == RetriesNonIdempotentAfterTimeout
	return retry.ShouldRetry(execution, retry.State{Idempotent: idempotent, MaxAttempts: maxAttempts, Attempts: int(c.sent), TimeLeft: time.Second})
}

// finalOutcome returns the outcome of a request whose attempts have all ended without a response.
func (c *client) finalOutcome() outcome {
	switch {
	case c.disconnected:
		return outcomeClientDisconnected
	case retry.FinalStatus(c.execution, false) == http.StatusServiceUnavailable:
		return outcomeNotExecuted
	}
	return outcomeUnknown
}
