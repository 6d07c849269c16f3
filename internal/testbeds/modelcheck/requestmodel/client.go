package requestmodel

// clientSteps adds the steps of a client: its request starts, is hedged, or is abandoned, and a request that was in transit on
// a closed connection is lost or still reaches the replica.
func (e *explorer) clientSteps(s state, i int) {
	c := s.clients[i]
	if c.state == notStarted {
		e.sendAttempt(s, i, 0, e.label("client %d sends a request", i))
	}
	if c.state == inFlight && c.attempts[1].state == notStarted && c.attempts[0].state == inFlight && e.bounds.Idempotent[i] && !c.disconnected {
		e.sendAttempt(s, i, 1, "hedge")
	}
	if c.state == inFlight && !c.disconnected {
		e.disconnect(s, i)
	}
	for r := range replicaCount {
		if c.delayed&(1<<r) == 0 {
			continue
		}
		next := s
		next.clients[i].delayed &^= 1 << r
		e.add(next, "delayed request of client %d to replica %d is lost", i, r)
		next.clients[i].executions++
		e.add(next, "delayed request of client %d to replica %d arrives and is executed", i, r)
	}
}

// disconnect adds the step in which a client disconnects. The attempts of an idempotent request are canceled; others continue.
func (e *explorer) disconnect(s state, i int) {
	s.clients[i].disconnected = true
	if e.bounds.Idempotent[i] {
		for k := range s.conns {
			if s.conns[k].state == connBusy && int(s.conns[k].client) == i {
				s.closeConn(k)
			}
		}
		s.clients[i].state, s.clients[i].outcome = finished, outcomeClientDisconnected
	}
	e.add(s, "client %d disconnects", i)
}
