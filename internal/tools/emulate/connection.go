package emulate

import (
	"slices"
	"time"
)

// useConnection reports whether a connection to a replica is open and, if so, resets its idle timeout.
func (p *proxy) useConnection(r *replica) bool {
	if _, open := p.connections[r.id]; !open {
		return false
	}
	p.connections[r.id] = p.sim.now
	return true
}

// openConnection opens a connection that is closed after the fleet's idle timeout.
func (p *proxy) openConnection(r *replica) {
	p.connections[r.id] = p.sim.now
	r.connections++
	p.scheduleIdleClose(r, r.incarnation, p.incarnation)
}

// scheduleIdleClose closes a connection after the idle timeout unless it is used in the meantime.
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

// resetAttempts fails the accepted attempts at a replica that has just crashed.
func (p *proxy) resetAttempts(r *replica) {
	for _, t := range slices.Clone(p.activeAttempts) {
		accepted := t.executing || t.queued
		if t.replica == r && !t.done && t.replicaIncarnation == r.incarnation-1 && accepted {
			r.respond(t, connectionReset)
		}
	}
}
