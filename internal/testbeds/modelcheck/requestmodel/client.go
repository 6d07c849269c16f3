package requestmodel

// clientSteps are a client's: it asks, its request is hedged, it leaves, and what it had sent on a closed connection is lost
// or arrives after all.
func (e *explorer) clientSteps(s state, i int) {
	c := s.clients[i]
	if c.state == notStarted {
		e.sendAttempt(s, i, 0, e.label("client %d asks", i))
	}
	if c.state == inFlight && c.attempts[1].state == notStarted && c.attempts[0].state == inFlight && e.bounds.Idempotent[i] && !c.gone {
		e.sendAttempt(s, i, 1, "hedged")
	}
	if c.state == inFlight && !c.gone {
		e.leave(s, i)
	}
	for r := range replicaCount {
		if c.delayed&(1<<r) == 0 {
			continue
		}
		next := s
		next.clients[i].delayed &^= 1 << r
		e.add(next, "what client %d had sent to replica %d is lost", i, r)
		next.clients[i].executions++
		e.add(next, "what client %d had sent to replica %d arrives after all, and is executed", i, r)
	}
}

// leave has a client leave: the attempts of an idempotent request are canceled, others are left to end.
func (e *explorer) leave(s state, i int) {
	s.clients[i].gone = true
	if e.bounds.Idempotent[i] {
		for k := range s.conns {
			if s.conns[k].state == connBusy && int(s.conns[k].client) == i {
				s.closeConn(k)
			}
		}
		s.clients[i].state, s.clients[i].outcome = finished, outcomeClientGone
	}
	e.add(s, "client %d leaves", i)
}
