package emulate

import (
	"slices"
	"time"
)

// useConnection reports whether a connection to a replica is open, and renews its idle time-out.
func (p *proxy) useConnection(r *replica) bool {
	if _, open := p.connections[r.id]; !open {
		return false
	}
	p.connections[r.id] = p.sim.now
	return true
}

// openConnection opens a connection. It closes once it has been idle for the fleet's time-out, and within twice that.
func (p *proxy) openConnection(r *replica) {
	p.connections[r.id] = p.sim.now
	r.connections++
	p.scheduleIdleClose(r, r.incarnation, p.incarnation)
}

// scheduleIdleClose checks a connection after the time-out, and closes it if it was not used meanwhile.
func (p *proxy) scheduleIdleClose(r *replica, replicaIncarnation, proxyIncarnation int) {
	sim, timeout := p.sim, p.sim.fleet.ConnectionIdleTimeout
	sim.schedule(timeout, func() {
		lastUse, open := p.connections[r.id]
		if !open || r.incarnation != replicaIncarnation || p.incarnation != proxyIncarnation {
			return
		}
		if remaining := time.Duration(lastUse) + timeout - time.Duration(sim.now); remaining > 0 {
			sim.schedule(remaining, func() { p.scheduleIdleClose(r, replicaIncarnation, proxyIncarnation) })
			return
		}
		delete(p.connections, r.id)
		r.connections--
	})
}

// resetAttempts ends the attempts at a replica that has just crashed and reset its connections.
func (p *proxy) resetAttempts(r *replica) {
	for _, t := range slices.Clone(p.activeAttempts) {
		accepted := t.running || t.waiting
		if t.replica == r && !t.done && t.replicaIncarnation == r.incarnation-1 && accepted {
			r.respond(t, connectionReset)
		}
	}
}
