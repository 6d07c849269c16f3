package requestmodel

// deliverySteps move what is on the way to the gateway.
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
		e.add(s, "the end of connection %d arrives", k)
	}
}

// replicaSteps are all that a replica may do on a connection.
func (e *explorer) replicaSteps(s state, k int) {
	if s.conns[k].closing {
		return
	}
	e.receiveSteps(s, k)
	e.respondSteps(s, k)
	e.surplusSteps(s, k)
	e.forgetSteps(s, k)
}

// sending is what a replica does beside changing its state.
type sending struct {
	isFailure bool // it is one of the bounded failures
	closes    bool // it closes the connection behind the message
	message   message
	label     string
}

// send adds the step to a state in which the replica has sent something, where the bounds and the wire have room for it.
func (e *explorer) send(s state, k int, sent sending) {
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

// receiveSteps are those on a request that arrives: it meets a forgotten connection, is rejected, lost or executed.
func (e *explorer) receiveSteps(s state, k int) {
	id := s.conns[k].request
	if id == 0 {
		return
	}
	s.conns[k].request = 0
	if s.conns[k].forgotten {
		e.send(s, k, sending{closes: true, label: "knows nothing of the connection"})
		return
	}
	if s.conns[k].executing != 0 {
		return
	}
	e.send(s, k, sending{isFailure: true, closes: true, label: "breaks off before it executed anything"})
	rejected := s
	rejected.conns[k].answered |= id.bit()
	rejected.conns[k].rejected |= id.bit()
	e.send(rejected, k, sending{message: message{rejection, id, id}, label: "rejects"})
	e.send(rejected, k, sending{isFailure: true, message: message{rejection, 0, id}, label: "rejects and names nobody"})
	s.conns[k].executing = id
	s.clients[id-1].executions++
	e.add(s, "on connection %d the replica executes what client %d asks", k, id-1)
}

// respondSteps are those on a request that was executed.
func (e *explorer) respondSteps(s state, k int) {
	id := s.conns[k].executing
	if id == 0 {
		return
	}
	s.conns[k].executing = 0
	s.conns[k].answered |= id.bit()
	for _, sent := range []sending{
		{message: message{response, id, id}, label: "responds"},
		{message: message{response, id, id}, closes: true, label: "responds and closes"},
		{message: message{response, 0, id}, isFailure: true, label: "responds and names nobody"},
		{message: message{response, id.other(), id}, isFailure: true, label: "responds and names another request"},
		{message: message{truncated, id, id}, isFailure: true, closes: true, label: "truncates its response"},
		{message: message{garbage, 0, 0}, isFailure: true, closes: true, label: "sends what is no response"},
		{isFailure: true, closes: true, label: "breaks off"},
	} {
		e.send(s, k, sent)
	}
}

// surplusSteps are responses that nobody asked for.
func (e *explorer) surplusSteps(s state, k int) {
	if s.surplus == 0 {
		return
	}
	s.surplus--
	for id := clientID(1); id <= clientCount; id++ {
		switch c := &s.conns[k]; {
		case c.answered&id.bit() == 0:
		case c.rejected&id.bit() != 0:
			e.send(s, k, sending{message: message{rejection, id, id}, label: "rejects once more"})
			e.send(s, k, sending{message: message{rejection, 0, id}, label: "rejects once more and names nobody"})
		default:
			e.send(s, k, sending{message: message{response, id, id}, label: "responds once more"})
			e.send(s, k, sending{message: message{response, 0, id}, label: "responds once more and names nobody"})
		}
	}
	if s.conns[k].uses > 0 {
		e.send(s, k, sending{message: message{garbage, 0, 0}, label: "sends bytes"})
	}
}

// forgetSteps have the replica forget or close an idle connection: past its keep-alive timeout, or sooner as a failure.
func (e *explorer) forgetSteps(s state, k int) {
	c := &s.conns[k]
	if c.state != connIdle || c.forgotten || !c.pastKeepAlive && s.failures == 0 {
		return
	}
	if !c.pastKeepAlive {
		s.failures--
	}
	c.forgotten = true
	e.add(s, "the replica forgets connection %d", k)
	c.closing = true
	e.add(s, "the replica closes connection %d", k)
}
