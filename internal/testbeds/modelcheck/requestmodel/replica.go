package requestmodel

// deliverySteps adds the steps that deliver messages and the end of the stream to the gateway.
func (e *explorer) deliverySteps(s state, k int) {
	c := &s.conns[k]
	if c.wire[0].kind != noMessage {
		m := pop(&c.wire)
		if push(&c.buffer, m) {
			e.add(s, "%v arrives on connection %d", m, k)
		}
		return
	}
	if c.closing && !c.closedByReplica {
		c.closedByReplica = true
		e.add(s, "the close of connection %d arrives", k)
	}
}

// replicaSteps adds all steps of a replica on a connection.
func (e *explorer) replicaSteps(s state, k int) {
	if s.conns[k].closing {
		return
	}
	e.receiveSteps(s, k)
	e.respondSteps(s, k)
	e.unsolicitedSteps(s, k)
	e.dropConnSteps(s, k)
}

// replicaAction is the externally visible part of a replica's step.
type replicaAction struct {
	isFailure bool // counts against Bounds.Failures
	closes    bool // closes the connection after the message
	message   message
	label     string
}

// send adds the step in which the replica performs an action, if the bounds and the queue allow it.
func (e *explorer) send(s state, k int, sent replicaAction) {
	if sent.isFailure {
		if s.failures == 0 {
			return
		}
		s.failures--
	}
	c := &s.conns[k]
	if sent.message.kind != noMessage && !push(&c.wire, sent.message) {
		return
	}
	c.closing = c.closing || sent.closes
	e.add(s, "on connection %d the replica %s", k, sent.label)
}

// receiveSteps adds the steps for an arriving request: it is executed, rejected, lost, or refused because the connection was
// dropped.
func (e *explorer) receiveSteps(s state, k int) {
	id := s.conns[k].request
	if id == 0 {
		return
	}
	s.conns[k].request = 0
	if s.conns[k].droppedByReplica {
		e.send(s, k, replicaAction{closes: true, label: "resets the dropped connection"})
		return
	}
	if s.conns[k].executing != 0 {
		return
	}
	e.send(s, k, replicaAction{isFailure: true, closes: true, label: "closes the connection without executing the request"})
	rejected := s
	rejected.conns[k].answered |= id.bit()
	rejected.conns[k].rejected |= id.bit()
	e.send(rejected, k, replicaAction{message: message{rejection, id, id}, label: "rejects the request"})
	e.send(rejected, k, replicaAction{isFailure: true, message: message{rejection, 0, id}, label: "rejects the request without a request ID"})
	s.conns[k].executing = id
	s.clients[id-1].executions++
	e.add(s, "on connection %d the replica executes the request of client %d", k, id-1)
}

// respondSteps adds the steps that end an executed request.
func (e *explorer) respondSteps(s state, k int) {
	id := s.conns[k].executing
	if id == 0 {
		return
	}
	s.conns[k].executing = 0
	s.conns[k].answered |= id.bit()
	for _, sent := range []replicaAction{
		{message: message{response, id, id}, label: "responds"},
		{message: message{response, id, id}, closes: true, label: "responds and closes"},
		{message: message{response, 0, id}, isFailure: true, label: "responds without a request ID"},
		{message: message{response, id.other(), id}, isFailure: true, label: "responds with another request's ID"},
		{message: message{truncated, id, id}, isFailure: true, closes: true, label: "sends a truncated response"},
		{message: message{invalid, 0, 0}, isFailure: true, closes: true, label: "sends an invalid response"},
		{isFailure: true, closes: true, label: "closes the connection"},
	} {
		e.send(s, k, sent)
	}
}

// unsolicitedSteps adds the steps in which a replica repeats a response or sends invalid bytes without a request.
func (e *explorer) unsolicitedSteps(s state, k int) {
	if s.unsolicited == 0 {
		return
	}
	s.unsolicited--
	for id := clientID(1); id <= clientCount; id++ {
		switch c := &s.conns[k]; {
		case c.answered&id.bit() == 0:
		case c.rejected&id.bit() != 0:
			e.send(s, k, replicaAction{message: message{rejection, id, id}, label: "repeats a rejection"})
			e.send(s, k, replicaAction{message: message{rejection, 0, id}, label: "repeats a rejection without a request ID"})
		default:
			e.send(s, k, replicaAction{message: message{response, id, id}, label: "repeats a response"})
			e.send(s, k, replicaAction{message: message{response, 0, id}, label: "repeats a response without a request ID"})
		}
	}
	if s.conns[k].uses > 0 {
		e.send(s, k, replicaAction{message: message{invalid, 0, 0}, label: "sends unsolicited bytes"})
	}
}

// dropConnSteps adds the steps in which the replica drops an idle connection, with or without closing it. Before the keep-alive
// timeout this counts as a failure.
func (e *explorer) dropConnSteps(s state, k int) {
	c := &s.conns[k]
	if c.state != connIdle || c.droppedByReplica || !c.pastKeepAlive && s.failures == 0 {
		return
	}
	if !c.pastKeepAlive {
		s.failures--
	}
	c.droppedByReplica = true
	e.add(s, "the replica drops connection %d without closing it", k)
	c.closing = true
	e.add(s, "the replica closes connection %d", k)
}
